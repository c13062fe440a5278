//! A machine as the leader knows it: its state, its tasks and how it can be reached.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use quartzgate_reachability::{DuplicateDetector, Reachability};
use quartzgate_wire::msg::{HeartbeatTask, Priority};

use super::resources::Resources;
use crate::ids::{scoped_to_epoch, ImageKey, JobIndex, TaskKey};

/// The part of a fencing token that counts within an epoch.
const TOKEN_COUNTER_MASK: u64 = 0xff_ffff;

/// Where a machine is between its provisioning and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Provisioned or named in a record; this leader has not had a heartbeat of it yet.
    Provisioning,
    /// Has sent a heartbeat that does not show a fencing token of this epoch yet.
    Registering,
    /// Shows a fencing token of this epoch: its heartbeats prove what runs on it.
    Ready,
    /// Silent for longer than its lease: its tasks have stopped.
    LeaseExpired,
    /// Being released to the cloud.
    Releasing,
    /// Released, failed or interrupted: nothing can run on it.
    Terminated,
}

/// Tasks that a machine held when it lost everything.
pub(super) struct LostTasks {
    /// Tasks that were placed on the machine.
    pub placed: Vec<TaskKey>,
    /// Tasks that an earlier leader may have started there.
    pub unproven: Vec<TaskKey>,
}

/// What the leader knows of one machine. Times are of the steady clock in milliseconds.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name that the cloud gave it.
    pub name: String,
    /// Address of its agent, once known.
    pub addr: Option<SocketAddr>,
    /// Machine type; empty until known.
    pub kind: String,
    /// Index of its zone in the platform's settings.
    pub zone: Option<u16>,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Changed by `Controller::set_machine_state` alone.
    pub state: MachineState,
    /// Incarnation of its agent.
    pub agent_epoch: u64,
    /// Detects heartbeats that arrive twice or late.
    pub(super) duplicates: DuplicateDetector,
    /// Whether commands arrive at it.
    pub reachability: Reachability,
    /// Token of its newest heartbeat.
    pub(super) acknowledged_token: u64,
    /// Token that its commands carry: the epoch and a counter that rises whenever a command's
    /// outcome is unknown, so that the agent refuses that command if it arrives late.
    pub(super) fencing_token: u64,
    /// When one of its heartbeats was last answered, which renewed its lease.
    pub(super) last_answered_ms: Option<u64>,
    /// When the last message of it arrived; 0 if none has.
    pub(super) last_heard_ms: u64,
    /// Since when this leader knows it.
    pub(super) known_since_ms: u64,
    /// When the cloud will interrupt it, if it gave notice.
    pub interruption_at_ms: Option<u64>,
    /// Tasks placed on it, with their attempt numbers.
    pub tasks: BTreeMap<TaskKey, u64>,
    /// Tasks that have a probe in its queue.
    pub queue: Vec<TaskKey>,
    /// E\[W\] of the queue in seconds, estimated anew each heartbeat interval.
    pub wait_s: f64,
    /// Tasks that an earlier leader may have started here.
    pub unproven: Vec<TaskKey>,
    /// What its tasks use.
    pub used: Resources,
    /// What tasks of each priority use and would give up to higher ones, lowest first.
    pub preemptible_by_priority: [Resources; 4],
    /// What services of each priority use; they don't end by themselves. As of this interval.
    pub services_by_priority: [Resources; 4],
    /// Since when nothing has run on it.
    pub idle_since_ms: u64,
    /// Starts bound to it that are not sent yet: task and attempt number.
    pub pending_starts: Vec<(TaskKey, u64)>,
    /// The last direct command to it was not answered.
    pub cut: bool,
    /// When a direct command last failed after it was reachable, or after a retry was due.
    pub(super) unreachable_since_ms: u64,
    /// The controller that relays its heartbeats, by its index in the settings.
    pub(super) relayed_by: Option<usize>,
    /// The lease proxy that mails its heartbeats, by its index in the settings.
    pub via: Option<usize>,
    /// Whether a call with commands waits for its answer.
    pub(super) command_in_flight: bool,
    /// Tasks of its newest heartbeat.
    pub(super) reported_tasks: Vec<HeartbeatTask>,
    /// The newest heartbeat began an agent epoch: all that ran in earlier ones is gone.
    pub(super) new_agent_epoch: bool,
    /// Images that tasks have run from here.
    pub images: BTreeSet<ImageKey>,
    /// Jobs whose tasks failed here since one last completed.
    pub failures: BTreeSet<JobIndex>,
    /// Suspected faulty: gets no new work. Changed by `Controller::update_quarantine` alone.
    pub quarantined: bool,
    /// When a quarantined machine is drained and released.
    pub(super) evict_from_ms: u64,
    /// Until when no start is sent to it.
    no_starts_until_ms: u64,
    /// When it was last asked for its status.
    pub inspected_ms: u64,
}

impl Machine {
    /// A machine of which only the name is known.
    pub(super) fn new(name: &str, fencing_token: u64, now_ms: u64) -> Self {
        Machine {
            name: name.to_string(),
            addr: None,
            kind: String::new(),
            zone: None,
            spot: false,
            state: MachineState::Provisioning,
            agent_epoch: 0,
            duplicates: DuplicateDetector::default(),
            reachability: Reachability::default(),
            acknowledged_token: 0,
            fencing_token,
            last_answered_ms: None,
            last_heard_ms: 0,
            known_since_ms: now_ms,
            interruption_at_ms: None,
            tasks: BTreeMap::new(),
            queue: Vec::new(),
            wait_s: 0.0,
            unproven: Vec::new(),
            used: Resources::default(),
            preemptible_by_priority: Default::default(),
            services_by_priority: Default::default(),
            idle_since_ms: now_ms,
            pending_starts: Vec::new(),
            cut: false,
            unreachable_since_ms: 0,
            relayed_by: None,
            via: None,
            command_in_flight: false,
            reported_tasks: Vec::new(),
            new_agent_epoch: false,
            images: BTreeSet::new(),
            failures: BTreeSet::new(),
            quarantined: false,
            evict_from_ms: 0,
            no_starts_until_ms: 0,
            inspected_ms: 0,
        }
    }

    /// Quarantined for long enough that it is drained and released.
    pub fn is_due_for_eviction(&self, now_ms: u64) -> bool {
        self.quarantined && now_ms >= self.evict_from_ms
    }

    /// What the lowest priority uses: every other priority may preempt it.
    pub fn low(&self) -> Resources {
        self.preemptible_by_priority[Priority::Low as usize]
    }

    /// Resources that work of this priority could free by preemption: below high priority
    /// only the lowest may be preempted.
    pub fn preemptible_for(&self, priority: Priority) -> Resources {
        let priorities_below = match priority {
            Priority::Low => 0,
            Priority::Normal => 1,
            high => high as usize,
        };
        sum(&self.preemptible_by_priority[..priorities_below])
    }

    /// Resources that work of this priority can't get from services as long as they run.
    pub fn used_by_services(&self, priority: Priority) -> Resources {
        sum(&self.services_by_priority[priority as usize..])
    }

    /// Whether it may hold work: ready, not quarantined, not about to be interrupted, and
    /// reachable.
    pub fn usable(&self) -> bool {
        self.state == MachineState::Ready
            && !self.quarantined
            && self.interruption_at_ms.is_none()
            && !self.reachability.is_one_way_unreachable()
    }

    /// Whether a task may be started on it now.
    pub fn takes_work(&self, now_ms: u64) -> bool {
        self.usable() && now_ms >= self.no_starts_until_ms && self.reachability.accepts_new_work()
    }

    /// Whether this leader has had any message of it.
    pub(super) fn has_been_heard(&self) -> bool {
        self.last_heard_ms > 0
    }

    /// Whether tasks are placed on it or may run there.
    pub(super) fn may_hold_tasks(&self) -> bool {
        !self.tasks.is_empty() || !self.unproven.is_empty()
    }

    /// Notes that it has answered a call: it is alive now, and commands reach it.
    pub(super) fn record_command_answered(&mut self, now_ms: u64) {
        self.last_heard_ms = now_ms;
        self.reachability.on_command_answered(now_ms);
    }

    /// Notes that its newest heartbeat is answered, which renews its lease, and by which
    /// controller the heartbeat was relayed, if any.
    pub(super) fn record_heartbeat_answered(&mut self, now_ms: u64, relayed_by: Option<usize>) {
        self.last_answered_ms = Some(now_ms);
        self.reachability.on_heartbeat_answered();
        self.relayed_by = relayed_by;
        self.cut = self.cut && relayed_by.is_some();
        self.via = None;
    }

    /// Notes that a superseded heartbeat is answered: the lease that this renews counts from
    /// the newest heartbeat at most.
    pub(super) fn record_superseded_answered(&mut self) {
        let last_answered_ms = self.last_answered_ms.unwrap_or(0);
        self.last_answered_ms = Some(last_answered_ms.max(self.last_heard_ms));
    }

    /// Sends no start to it until this time.
    pub(super) fn pause_starts(&mut self, until_ms: u64) {
        self.no_starts_until_ms = until_ms;
    }

    /// Raises the token, so that commands still on their way are refused when they arrive.
    pub(super) fn advance_fencing_token(&mut self, epoch: u64) {
        let counter = self.fencing_token & TOKEN_COUNTER_MASK;
        self.fencing_token = scoped_to_epoch(epoch, counter + 1);
    }

    /// Forgets all that was on the machine; returns the tasks that are lost.
    pub(super) fn clear_tasks(&mut self, epoch: u64, now_ms: u64) -> LostTasks {
        self.advance_fencing_token(epoch);
        self.reported_tasks.clear();
        self.pending_starts.clear();
        self.images.clear();
        self.reachability.on_lease_expired();
        self.idle_since_ms = now_ms;
        let unproven = std::mem::take(&mut self.unproven);
        LostTasks { placed: self.tasks.keys().copied().collect(), unproven }
    }
}

fn sum(amounts: &[Resources]) -> Resources {
    let mut total = Resources::default();
    amounts.iter().for_each(|amount| total.add(amount, 1.0));
    total
}
