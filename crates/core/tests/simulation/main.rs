//! Deterministic simulation tests of the scheduling core.
//!
//! `cluster` is an in-memory cluster: controllers, state service, cloud, workers and users on one
//! simulated clock, joined by a network that delays, loses, holds and reorders messages. It checks
//! the invariants (numbered as in `docs/design.md`) at every start and every answer and records each
//! violation. Each of the other modules holds the tests of one module or one family of faults. A
//! run is determined by its seed.

mod abort_confirmations;
mod aborts;
mod blocked_work;
mod blocked_work_search;
mod cluster;
mod dependencies;
mod duplicate_commands;
mod failover;
mod fault_search;
mod fleet_size;
mod format_upgrade;
mod inline_placements;
mod input_validation;
mod job_batches;
mod job_lifecycle;
mod large_jobs;
mod late_copies;
mod machine_faults;
mod overlapping_faults;
mod overload;
mod partitions;
mod process_restarts;
mod process_stalls;
mod race_conditions;
mod random_faults;
mod reachability;
mod rolling_upgrades;
mod state_service_faults;
mod unanswered_queries;
mod zone_rules;
