//! Settings of the core: the platform's settings, the operators' settings, and the durations
//! derived from them. Most durations are ratios to a setting, so that they are valid for any
//! deployment.

use std::collections::BTreeSet;

use quartzgate_feature_gates::{GateTable, GATES};
use quartzgate_wire::settings::{Platform, SettingsError, StateLimits};
use serde::Deserialize;

/// Operators' settings, read from YAML. Every key is optional.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Number of probes placed for each short task.
    pub probes: usize,
    /// Tasks with an estimated run time above this, in seconds, get a single probe at the best
    /// machine.
    pub long_task_s: f64,
    /// Demand/supply ratio above which tasks with scarce constraints may be started first.
    pub ratio_threshold: f64,
    /// Expected wait E\[W\], in seconds, above which tasks with scarce constraints are started
    /// first.
    pub wait_threshold_s: f64,
    /// Maximum number of times that a queued task may be overtaken by other tasks.
    pub slack_cap: u32,
    /// Idle time after which a machine is released, as a multiple of its boot time or of the
    /// minimum charge of one minute, whichever is larger.
    pub idle_ratio: f64,
    /// Resources of ordinary machines that are kept free for starts of production jobs, as a share
    /// of the resources that production uses.
    pub warm_share: f64,
    /// Whether this controller agrees to activate format 2 of the records, and thereby any later
    /// one. Once all controllers agree, the first version of the program can no longer be put back
    /// into service.
    pub new_format: bool,
    /// Accepted jobs share batch records while less than this fraction of a second's write budget
    /// is left.
    pub share_pages_below: f64,
    /// Names of formats and features that this controller does not agree to activate.
    pub withhold: Vec<String>,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            probes: 2,
            long_task_s: 600.0,
            ratio_threshold: 1.0,
            wait_threshold_s: 30.0,
            slack_cap: 5,
            idle_ratio: 0.5,
            warm_share: 0.1,
            new_format: true,
            share_pages_below: 0.5,
            withhold: Vec::new(),
        }
    }
}

impl Operator {
    /// Checks that every value is in range and that every withheld step is known. The error names
    /// the setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        let check_range = |field: &str, value: f64, low: f64, high: f64| {
            if (low..=high).contains(&value) {
                return Ok(());
            }
            Err(SettingsError {
                field: field.into(),
                requirement: format!("must be from {low} to {high}"),
            })
        };
        check_range("probes", self.probes as f64, 1.0, 16.0)?;
        check_range("long_task_s", self.long_task_s, 1.0, 1e6)?;
        check_range("ratio_threshold", self.ratio_threshold, 0.0, 1e6)?;
        check_range("wait_threshold_s", self.wait_threshold_s, 0.0, 1e6)?;
        check_range("slack_cap", self.slack_cap as f64, 0.0, 1e6)?;
        check_range("idle_ratio", self.idle_ratio, 0.0, 1e4)?;
        check_range("warm_share", self.warm_share, 0.0, 10.0)?;
        check_range("share_pages_below", self.share_pages_below, 0.0, 1.0)?;
        GATES.check_step_names(&self.withhold).map_err(|unknown| SettingsError {
            field: "withhold".into(),
            requirement: unknown.to_string(),
        })
    }

    /// Returns the names of the formats and features that this controller does not agree to
    /// activate.
    pub fn withheld(&self) -> BTreeSet<String> {
        let first = GATES.formats.first().filter(|_| !self.new_format);
        let named = self.withhold.iter().cloned();
        named.chain(first.map(|v| v.name.to_string())).collect()
    }
}

/// All settings of one controller.
#[derive(Clone, Debug)]
pub struct Config {
    /// Settings supplied by the platform.
    pub platform: Platform,
    /// Settings supplied by the operators.
    pub operator: Operator,
    /// Limits of the key-value store that hold both now and after an announced reduction.
    pub lowest: StateLimits,
    /// Formats and features that this build supports.
    pub table: &'static GateTable,
}

/// Time, defined by the protocol, after which a worker ignores the answer to its heartbeat.
const ANSWER_IGNORED_AFTER_MS: u64 = 4_000;
/// Allowance for clock drift. Monotonic clocks drift apart by up to 0.05%, which is counted twice,
/// once for each end.
const DRIFT_ALLOWANCE: f64 = 0.001;

fn seconds_to_ms(seconds: f64) -> u64 {
    (seconds * 1000.0).ceil() as u64
}

impl Config {
    /// Creates the settings of a controller with the feature gates that this build supports.
    pub fn new(platform: Platform, operator: Operator) -> Self {
        let lowest = platform.params.state.lowest();
        Config { platform, operator, lowest, table: &GATES }
    }

    /// Returns the time between two heartbeats of a worker.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        seconds_to_ms(self.platform.params.workers.report_s)
    }

    /// Returns the duration of a worker's lease, measured from when the worker sent the heartbeat
    /// that was answered.
    pub fn lease_ms(&self) -> u64 {
        seconds_to_ms(self.platform.params.workers.lease_s)
    }

    /// Returns the time within which the tasks of a cancelled job must have stopped.
    fn cancel_ms(&self) -> u64 {
        seconds_to_ms(self.platform.params.workers.cancel_s)
    }

    /// Returns the margin for clock drift over the longest measured span and for two late timers.
    fn margin_ms(&self) -> u64 {
        seconds_to_ms(self.platform.params.workers.cancel_s * DRIFT_ALLOWANCE) + 250
    }

    /// Returns the lease bound: how long after its last proven contact with the key-value store a
    /// controller may continue to answer heartbeats. Within this bound, every task that it keeps
    /// alive stops in time for a cancellation that the controller did not see. A worker's lease is
    /// measured from when the worker sent the heartbeat, so the time after which it ignores an
    /// answer does not enter the calculation.
    pub fn lease_bound_ms(&self) -> u64 {
        self.cancel_ms().saturating_sub(self.lease_ms() + 2 * self.margin_ms())
    }

    /// Returns how long after this leader's last answer a worker that accepts only this leader's
    /// fencing token must have stopped all its tasks.
    pub fn lease_expiry_ms(&self) -> u64 {
        self.lease_ms() + self.margin_ms()
    }

    /// Returns how long after the start of an epoch a worker that never received the epoch's
    /// fencing token must have stopped all its tasks. By then, the earlier leader has stopped
    /// answering because of its lease bound, and the lease that it last renewed has expired.
    pub fn inherited_lease_expiry_ms(&self) -> u64 {
        self.lease_bound_ms() + self.lease_ms() + 2 * self.margin_ms()
    }

    /// Returns the time to live of a controller's lease in the key-value store.
    pub fn controller_lease_ttl_ms(&self) -> u64 {
        (self.lease_ms() / 4).max(1000)
    }

    /// Returns the length of the lease under which a leader starts tasks. It is shorter than a
    /// controller's lease, so that a start lease which a controller has granted to an earlier leader
    /// is over, or nearly so, when the next one is elected.
    pub fn start_lease_ms(&self) -> u64 {
        self.controller_lease_ttl_ms() * 3 / 4
    }

    /// Returns how long after granting a start lease a controller must take it for held, on its own
    /// clock.
    pub fn start_lease_expiry_ms(&self) -> u64 {
        let lease_ms = self.start_lease_ms();
        lease_ms + (lease_ms as f64 * DRIFT_ALLOWANCE).ceil() as u64 + 1
    }

    /// Returns the time between two renewals of a controller's lease.
    pub fn lease_renewal_ms(&self) -> u64 {
        self.controller_lease_ttl_ms() / 4
    }

    /// Returns how long a watch blocks at the key-value store while there is no change.
    pub fn watch_block_ms(&self) -> u64 {
        // Contact with the store must be proven several times within the lease bound.
        self.heartbeat_interval_ms().clamp(1000, 3000).min((self.lease_bound_ms() / 4).max(100))
    }

    /// Returns the time between two events above which the process must have stalled. Ticks come
    /// far more often than this, and a lease lasts longer.
    pub fn stall_threshold_ms(&self) -> u64 {
        self.controller_lease_ttl_ms() / 3
    }

    /// Returns the timeout of an ordinary call to the key-value store.
    pub fn store_timeout_ms(&self) -> u64 {
        (self.controller_lease_ttl_ms() / 3).clamp(400, 1000)
    }

    /// Returns the timeout of a call to a worker.
    pub fn worker_timeout_ms(&self) -> u64 {
        self.heartbeat_interval_ms().clamp(800, ANSWER_IGNORED_AFTER_MS / 2)
    }

    /// Returns how long a worker waits for the answer to its heartbeat.
    pub fn worker_answer_timeout_ms(&self) -> u64 {
        ANSWER_IGNORED_AFTER_MS
    }

    /// Returns how long a worker's heartbeat may be held before it is answered: well within the
    /// time after which the worker turns to another controller.
    pub fn max_heartbeat_hold_ms(&self) -> u64 {
        ANSWER_IGNORED_AFTER_MS * 3 / 4
    }

    /// Returns the timeout of a call to another controller: well within the two seconds that a user
    /// waits for the answer to a status query.
    pub fn mesh_timeout_ms(&self) -> u64 {
        1_000
    }

    /// Returns the timeout of a forwarded user request. The remaining time must suffice to decide
    /// the request on this controller from the records.
    pub fn forward_timeout_ms(&self) -> u64 {
        self.mesh_timeout_ms() * 2 / 5
    }

    /// Returns the longest time for which changes are collected into one write.
    pub fn write_batch_ms(&self) -> u64 {
        self.heartbeat_interval_ms() / 10
    }

    /// Returns the longest time for which other writes may delay a write that nothing waits for.
    pub fn max_write_delay_ms(&self) -> u64 {
        self.lease_ms() / 2
    }

    /// Returns the index of a team in the settings, if the team exists.
    pub fn team(&self, name: &str) -> Option<usize> {
        self.platform.params.teams.iter().position(|t| t.name == name)
    }
}
