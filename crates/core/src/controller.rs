//! The controller: receives events, routes them to the modules, and returns the resulting actions.

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_wire::http::Response;
use quartzgate_wire::msg::MachineType;
use rand::rngs::SmallRng;

use crate::api::abort_confirmations::AbortConfirmations;
use crate::api::admission::AdmissionControl;
use crate::api::forwarding::ForwardFailures;
use crate::api::query_tracking::{OverdueJob, QueryTracker};
use crate::api::refusal::RefusalReason;
use crate::api::status_queries::StatusQueries;
use crate::api::status_reads::StatusReads;
use crate::config::Config;
use crate::context::{CallTable, Context};
use crate::fleet::machines::{Machines, Resources};
use crate::fleet::provisioning::Provisioner;
use crate::fleet::{FleetCall, OutOfZoneWorkers};
use crate::ids::MachineIndex;
use crate::in_flight::InFlight;
use crate::jobs::dependencies::DependencyGraph;
use crate::jobs::Jobs;
use crate::lease_proxy::mailbox::Mailbox;
use crate::lease_proxy::LeaseProxy;
use crate::membership::stall::ProcessStall;
use crate::membership::{Membership, Role};
use crate::placement::demand_ratios::DemandRatios;
use crate::placement::gangs::GangHold;
use crate::placement::quota::QuotaClaim;
use crate::placement::search_budget::SearchBudget;
use crate::recovery::{RecordedJobReads, Recovery, RecoveryCall};
use crate::storage::calls::StorageCall;
use crate::storage::feature_state::FeatureState;
use crate::storage::job_batches::JobBatches;
use crate::storage::read_budget::ReadPurpose;
use crate::storage::record_writer::RecordWriter;
use crate::terminal_jobs::TerminalJobs;
use crate::{Action, Event, LoadState, Now, Outcome, Peer, RequestId};

/// Resources used by a team.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TeamUsage {
    /// Resources of placed tasks that are not proven to have ended.
    pub reserved: Resources,
    /// Resources of tasks on machines.
    pub bound: Resources,
    /// Resources of tasks that may still be on machines because they are not proven to be gone.
    pub unproven: Resources,
    /// The part of the team's limit that is held for a job, see [`crate::placement`].
    pub hold: Option<QuotaClaim>,
    /// What the team's first gang needs that fits on machines and not within the limit.
    pub blocked_gang: Option<QuotaClaim>,
    /// What a task needs of the team's first job with unplaced tasks that fit on machines and not
    /// within the limit.
    pub blocked_job: Option<QuotaClaim>,
}

/// A controller: routes each event to the modules that own the affected state, and collects their
/// actions.
///
/// Every controller uses the fields up to `machine_types_requested_ms`; most fields after it serve
/// only the leader. The leader's in-memory state is rebuilt from the records when it is elected and
/// cleared when it steps down.
pub struct Controller {
    pub(crate) context: Context,
    calls: CallTable<InFlight>,
    pub(crate) storage_calls: CallTable<StorageCall>,
    pub(crate) recovery_calls: CallTable<RecoveryCall>,
    pub(crate) fleet_calls: CallTable<FleetCall>,
    pub(crate) membership: Membership,
    pub(crate) terminal_jobs: TerminalJobs,
    pub(crate) dependency_graph: DependencyGraph,
    pub(crate) feature_state: FeatureState,
    pub(crate) lease_proxy: LeaseProxy,
    pub(crate) status_queries: StatusQueries,
    pub(crate) status_reads: StatusReads,
    pub(crate) abort_confirmations: AbortConfirmations,
    pub(crate) query_tracker: QueryTracker,
    pub(crate) forward_failures: ForwardFailures,
    pub(crate) job_batches: JobBatches,
    pub(crate) mailbox: Mailbox,
    pub(crate) out_of_zone_workers: OutOfZoneWorkers,
    pub(crate) stall: ProcessStall,
    pub(crate) machine_types: Vec<MachineType>,
    pub(crate) machine_types_at_ms: Option<u64>,
    pub(crate) machine_types_requested_ms: u64,
    // Fields most of which serve only the leader.
    pub(crate) jobs: Jobs,
    pub(crate) machines: Machines,
    pub(crate) teams: Vec<TeamUsage>,
    pub(crate) record_writer: RecordWriter,
    pub(crate) provisioner: Provisioner,
    pub(crate) recovery: Recovery,
    pub(crate) ratios: DemandRatios,
    pub(crate) search_budget: SearchBudget,
    pub(crate) load: LoadState,
    /// Metrics of sockets and of received requests, reported by the event loop.
    pub(crate) event_loop_metrics: Vec<(String, f64)>,
    pub(crate) admission: AdmissionControl,
    pub(crate) epoch_began_ms: u64,
    pub(crate) attempts: u64,
    pub(crate) arrivals: u64,
    pub(crate) machines_to_dispatch: BTreeSet<MachineIndex>,
    pub(crate) machines_to_command: BTreeSet<MachineIndex>,
    pub(crate) placement_due: bool,
    pub(crate) reprobe_due: bool,
    pub(crate) drain_due: bool,
    pub(crate) preempt_due: bool,
    last_placement_ms: u64,
    last_reprobe_ms: u64,
    last_preemption_ms: u64,
    /// When placement last took a snapshot of the free capacity.
    pub(crate) last_capacity_snapshot_ms: u64,
    pub(crate) supply_changed: bool,
    pub(crate) next_round_ms: u64,
    pub(crate) next_second_ms: u64,
    pub(crate) recorded_job_reads: RecordedJobReads,
    /// Number of heartbeats answered with a redirect.
    pub(crate) redirected_heartbeats: u64,
    /// Resources reserved for gangs, by machine.
    pub(crate) gang_holds: BTreeMap<MachineIndex, GangHold>,
    /// Number of duplicate heartbeats that were dropped.
    pub(crate) duplicates_dropped: u64,
}

impl Controller {
    /// Creates a controller in its initial state, with its settings and its random number
    /// generator.
    pub fn new(cfg: Config, rng: SmallRng) -> Self {
        let teams = vec![TeamUsage::default(); cfg.platform.params.teams.len()];
        let record_writer = RecordWriter::new(&cfg.platform.params.state);
        let provisioner = Provisioner::new(&cfg);
        let admission = AdmissionControl::new(RecordWriter::write_rate(&cfg.platform.params.state));
        let membership = Membership::new(&cfg);
        let feature_state = FeatureState::new(&cfg);
        let search_budget = SearchBudget::new(cfg.platform.params.limits.cpu_share);
        let terminal_jobs = TerminalJobs::new(cfg.max_terminal_jobs());
        let lease_proxy = LeaseProxy::new(&cfg);
        let stall = ProcessStall::default();
        let status_reads = StatusReads::new(cfg.max_waiting_status_queries());
        let query_tracker = QueryTracker::new(cfg.max_timed_requests());
        Controller {
            context: Context::new(cfg, rng),
            calls: CallTable::default(),
            storage_calls: CallTable::default(),
            recovery_calls: CallTable::default(),
            fleet_calls: CallTable::default(),
            membership,
            terminal_jobs,
            dependency_graph: DependencyGraph::default(),
            feature_state,
            lease_proxy,
            status_queries: StatusQueries::default(),
            status_reads,
            abort_confirmations: AbortConfirmations::default(),
            query_tracker,
            forward_failures: ForwardFailures::default(),
            job_batches: JobBatches::default(),
            mailbox: Mailbox::default(),
            out_of_zone_workers: OutOfZoneWorkers::default(),
            stall,
            machine_types: Vec::new(),
            machine_types_at_ms: None,
            machine_types_requested_ms: 0,
            jobs: Jobs::default(),
            machines: Machines::default(),
            teams,
            record_writer,
            provisioner,
            recovery: Recovery::default(),
            ratios: DemandRatios::default(),
            search_budget,
            load: LoadState::Normal,
            event_loop_metrics: Vec::new(),
            admission,
            epoch_began_ms: 0,
            attempts: 0,
            arrivals: 0,
            machines_to_dispatch: BTreeSet::new(),
            machines_to_command: BTreeSet::new(),
            placement_due: false,
            reprobe_due: false,
            drain_due: false,
            preempt_due: false,
            last_placement_ms: 0,
            last_reprobe_ms: 0,
            last_preemption_ms: 0,
            last_capacity_snapshot_ms: 0,
            supply_changed: false,
            next_round_ms: 0,
            next_second_ms: 0,
            recorded_job_reads: RecordedJobReads::default(),
            redirected_heartbeats: 0,
            gang_holds: BTreeMap::new(),
            duplicates_dropped: 0,
        }
    }

    /// Handles an event and returns the resulting actions, to be carried out in this order.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        let previous_ms = std::mem::replace(&mut self.context.now, now).steady_ms;
        let gap_ms = now.steady_ms.saturating_sub(previous_ms);
        if previous_ms > 0 && gap_ms > self.context.config.stall_threshold_ms() {
            self.on_process_stall(gap_ms);
        }
        match event {
            Event::Tick => self.on_tick(),
            Event::Client { id, request } => self.on_client_request(id, request),
            Event::Mesh { id, request } => self.on_mesh(id, request),
            Event::Load { state, metrics } => {
                self.search_budget.adapt_to_load(state);
                (self.load, self.event_loop_metrics) = (state, metrics);
            }
            Event::Outcome { call, outcome } => {
                if let Some(pending) = self.calls.take(call) {
                    self.on_outcome(pending, outcome);
                } else if let Some(call) = self.storage_calls.take(call) {
                    self.on_storage_outcome(call, outcome);
                } else if let Some(call) = self.recovery_calls.take(call) {
                    self.on_recovery_outcome(call, outcome);
                } else if let Some(call) = self.membership.take_call(call) {
                    self.on_membership_outcome(call, outcome);
                } else if let Some(call) = self.lease_proxy.take_call(call) {
                    self.on_lease_proxy_outcome(call, outcome);
                } else if let Some(purpose) = self.fleet_calls.take(call) {
                    self.on_fleet_outcome(purpose, outcome);
                }
            }
        }
        self.run_due_work();
        self.context.take_actions()
    }

    fn on_tick(&mut self) {
        self.tick_membership();
        self.verify_leadership();
        self.tick_held_heartbeats();
        self.read_format_keys_if_due();
        self.tick_machine_types();
        self.tick_lease_proxy();
        self.tick_recovery();
        self.tick_mailbox();
        self.tick_status_queries();
        self.tick_status_reads();
        self.tick_abort_confirmations();
        self.tick_dependencies();
        self.scan_batches();
        if !self.leads() {
            return;
        }
        let now = self.context.now.steady_ms;
        if now >= self.next_second_ms {
            self.next_second_ms = now + 1000.min(self.context.config.heartbeat_interval_ms());
            self.expire_silent_leases();
            self.query_silent_machines();
            self.release_silent_machines();
            self.fence_aborted_tasks();
            self.read_live_records();
            self.tick_provisioning();
            self.drain();
            self.retry_record_reads();
            self.read_unverified_jobs();
            self.read_recorded_jobs();
            self.retry_batch_reads();
            self.update_quota_holds();
            self.placement_due = true;
            self.dispatch_waiting_machines();
            self.log_metrics();
            self.preempt_due = true;
        }
        if now >= self.next_round_ms {
            self.next_round_ms = now + self.context.config.heartbeat_interval_ms();
            self.update_demand_ratios();
            self.reprobe_due = true;
        }
    }

    /// Runs the scheduling work that the event has made due or possible.
    fn run_due_work(&mut self) {
        if !self.leads() {
            return;
        }
        self.apply_terminal_states();
        self.flush_batch_intake();
        if std::mem::take(&mut self.drain_due) {
            self.drain();
        }
        let (now, batch_interval_ms) =
            (self.context.now.steady_ms, self.context.config.write_batch_ms());
        // Placements that become possible within a tenth of a write batch interval are made in one
        // pass.
        if self.placement_due && now >= self.last_placement_ms + batch_interval_ms / 10 {
            (self.placement_due, self.last_placement_ms) = (false, now);
            self.place_all();
            self.tick_gangs();
        }
        // Reprobing and preemption examine everything that waits, so each runs at most once per
        // write batch interval.
        if self.reprobe_due && now >= self.last_reprobe_ms + batch_interval_ms {
            self.last_reprobe_ms = now;
            self.reprobe();
        }
        self.dispatch_due_machines();
        if self.preempt_due && now >= self.last_preemption_ms + batch_interval_ms {
            self.last_preemption_ms = now;
            self.preempt_due = false;
            self.preempt();
        }
        for ix in std::mem::take(&mut self.machines_to_command) {
            self.send_command(ix);
        }
        self.flush();
    }

    pub(crate) fn on_outcome(&mut self, pending: InFlight, outcome: Outcome) {
        let current_epoch = self.epoch();
        match pending {
            InFlight::AbortNotice { job } => self.on_abort_notice_outcome(&job, outcome),
            InFlight::ProxiedJobRead { job, sent_ms } => {
                self.on_proxied_job_read(job, sent_ms, outcome)
            }
            InFlight::AcceptWithoutLeader { request, id, dependency_aborted } => {
                self.on_accept_without_leader(request, id, dependency_aborted, outcome)
            }
            InFlight::AbortRead { request, id } => self.on_abort_read(request, id, outcome),
            InFlight::AbortWithoutLeader { request, id } => {
                self.on_abort_without_leader(request, id, outcome)
            }
            InFlight::SubmittedJobRead { request, job, rejection } => {
                self.on_submitted_job_read(request, job, rejection, outcome)
            }
            InFlight::DependencyWalkRead { request, job } => {
                self.on_walk_read(request, job, outcome)
            }
            InFlight::ValidatedRead { read, epoch } => self.on_validated_read(read, epoch, outcome),
            InFlight::StatusRead { requests, id } => self.on_status_read(requests, id, outcome),
            InFlight::LiveJobComparison(comparison) => {
                self.on_live_jobs_compared(comparison, outcome)
            }
            InFlight::LookupBeforeSubmission { request, spec, dependency_aborted } => {
                self.on_lookup_before_submission(request, *spec, dependency_aborted, outcome)
            }
            InFlight::Batch(call) => self.on_batch_call(call, outcome),
            InFlight::Forward { request, sibling, user_request } => {
                self.on_forwarded(request, sibling, *user_request, outcome)
            }
            InFlight::MachineTypesRead => self.on_machine_types(outcome),
            InFlight::AcceptWrite { request, job, location, epoch } => {
                if epoch == current_epoch {
                    self.on_accept(request, job, location, outcome)
                } else {
                    self.answer_unavailable(request, RefusalReason::EpochChanged)
                }
            }
            InFlight::AbortWrite { request, job, location, epoch } => {
                if epoch == current_epoch {
                    self.on_abort_write(request, job, location, outcome)
                } else if let Some(request) = request {
                    self.answer_unavailable(request, RefusalReason::EpochChanged)
                }
            }
            // These outcomes concern the leader's in-memory state, which no longer exists if the
            // epoch has changed.
            InFlight::RecordedJobRead { epoch, .. } | InFlight::DependencyRead { epoch, .. }
                if epoch != current_epoch => {}
            InFlight::DependencyRead { job, .. } => self.on_dependency_read(job, outcome),
            InFlight::RecordedJobRead { job, .. } => self.on_recorded_job_read(job, outcome),
        }
    }

    pub(crate) fn call(
        &mut self,
        peer: Peer,
        method: &'static str,
        target: String,
        body: Vec<u8>,
        timeout_ms: u64,
        pending: InFlight,
    ) {
        let id = self.context.call(peer, method, target, body, timeout_ms);
        self.calls.insert(id, pending);
    }

    pub(crate) fn answer(&mut self, id: RequestId, response: Response) {
        self.track_answer(id, response.status, None);
        self.context.answer(id, response);
    }

    pub(crate) fn answer_error(&mut self, id: RequestId, status: u16, error: &str) {
        self.track_answer(id, status, None);
        self.context.answer_error(id, status, error);
    }

    /// Answers at once that the request cannot be decided now, and when to retry it.
    pub(crate) fn answer_unavailable(&mut self, id: RequestId, reason: RefusalReason) {
        self.track_answer(id, 503, Some(reason));
        self.context.answer_unavailable(id, reason);
    }

    /// Tracks an answer and reports a violation of the invariant that, without a fault, no job is
    /// refused for longer than the limit.
    fn track_answer(&mut self, id: RequestId, status: u16, reason: Option<RefusalReason>) {
        let now_ms = self.context.now.steady_ms;
        let healthy_since_ms = self.membership.store_reachable_since_ms();
        let overdue = self.query_tracker.on_response(id, status, now_ms, healthy_since_ms);
        if let Some(OverdueJob { job, unanswered_ms }) = overdue {
            let reason = reason.map_or("status", RefusalReason::name);
            tracing::error!(job = %job, unanswered_ms, reason, "a job has gone unanswered for too long");
            debug_assert!(false, "{job} unanswered for {unanswered_ms} ms: {reason}");
        }
    }

    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        crate::ids::scoped_to_epoch(self.epoch(), self.attempts)
    }

    /// Returns to the follower role because another controller has taken over, and drops the
    /// leader's in-memory state.
    pub(crate) fn step_down(&mut self) {
        if !matches!(self.membership.role(), Role::Follower) {
            tracing::info!(epoch = self.epoch(), "no longer leading");
        }
        self.set_role(Role::Follower);
    }

    pub(crate) fn clear_leader_state(&mut self) {
        self.drop_status_queries();
        self.drop_batches();
        self.jobs = Jobs::default();
        self.machines = Machines::default();
        self.teams.iter_mut().for_each(|t| *t = TeamUsage::default());
        self.record_writer = RecordWriter::new(self.store_limits());
        self.admission = AdmissionControl::new(RecordWriter::write_rate(self.store_limits()));
        self.dependency_graph.clear_graph();
        self.provisioner = Provisioner::new(&self.context.config);
        self.recovery = Recovery::default();
        self.ratios = DemandRatios::default();
        self.machines_to_dispatch.clear();
        self.machines_to_command.clear();
        self.attempts = 0;
        self.recorded_job_reads = RecordedJobReads::default();
        self.gang_holds.clear();
        self.clear_mailbox();
    }

    pub(crate) fn dispatch_all_machines(&mut self) {
        self.machines_to_dispatch.extend(self.machines.indexes());
    }

    /// Schedules a dispatch for all machines with queued tasks, because some of these may have
    /// become due.
    fn dispatch_waiting_machines(&mut self) {
        let waiting: Vec<MachineIndex> = self
            .machines
            .iter()
            .filter(|(_, m)| !m.probe_queue.is_empty())
            .map(|(ix, _)| ix)
            .collect();
        self.machines_to_dispatch.extend(waiting);
    }

    pub(crate) fn call_store(
        &mut self,
        method: &'static str,
        target: String,
        body: Vec<u8>,
        pending: InFlight,
    ) {
        let id = self.context.call_store(method, target, body);
        self.calls.insert(id, pending);
    }

    /// Charges a read to the budget if it may be made now; returns whether it may.
    pub(crate) fn may_read(&mut self, purpose: ReadPurpose) -> bool {
        self.membership.store_reads().take(self.context.now.steady_ms, purpose)
    }

    /// Charges a read that is made regardless of the budget.
    pub(crate) fn charge_read(&mut self, purpose: ReadPurpose) {
        self.membership.store_reads().charge(self.context.now.steady_ms, purpose)
    }

    /// Pauses writes, and on status 429 also reads, after the key-value store has asked for a
    /// pause.
    pub(crate) fn on_store_throttled(&mut self, status: u16) {
        use rand::Rng;
        let pause_ms = self.context.rng.random_range(100..300);
        let now = self.context.now.steady_ms;
        if status == 429 {
            self.membership.store_reads().pause(now, pause_ms);
        }
        self.record_writer.write_limiter.pause(now, pause_ms);
    }
}

impl Controller {
    /// Sets the read and write budgets from the limits that currently apply.
    pub(crate) fn apply_rate_limits(&mut self) {
        let limits = self.store_limits().clone();
        let controllers = self.context.config.platform.siblings.len() + 1;
        let reads = match self.membership.role() {
            Role::Recovering | Role::Leader => leader_share(limits.rps),
            _ => follower_share(limits.rps, controllers),
        };
        self.membership.store_reads().set_rate(reads);
        self.record_writer.write_limiter.set_rate(RecordWriter::write_rate(&limits));
        self.admission.set_rate(RecordWriter::write_rate(&limits));
    }
}

/// Returns the share of a key-value store limit that the leader may use; the rest is for the other
/// controllers.
pub(crate) fn leader_share(limit: f64) -> f64 {
    limit * 0.7
}

/// Returns the share of a key-value store limit for one controller that does not lead.
pub(crate) fn follower_share(limit: f64, controllers: usize) -> f64 {
    (limit * 0.3 / (controllers.max(2) - 1) as f64).max(2.0)
}
