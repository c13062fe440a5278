//! The leader's record of a machine: its state, its tasks and its reachability.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use quartzgate_reachability::{DuplicateDetector, Reachability};
use quartzgate_wire::msg::{HeartbeatTask, Priority};

use super::resources::Resources;
use crate::ids::{scoped_to_epoch, ImageKey, JobIndex, TaskKey};

/// Mask of the counter in a fencing token. The counter rises within an epoch; the remaining bits
/// hold the epoch.
const TOKEN_COUNTER_MASK: u64 = 0xff_ffff;

/// The state of a machine in its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Provisioned or named in a record, but this leader has not received a heartbeat from the
    /// machine yet.
    Provisioning,
    /// The machine has sent a heartbeat but not acknowledged a fencing token of this epoch yet.
    Registering,
    /// The machine has acknowledged a fencing token of this epoch, so its heartbeats prove which
    /// tasks run on it.
    Ready,
    /// The machine's lease has expired, or the cloud lists the machine as failed: its tasks have
    /// stopped.
    LeaseExpired,
    /// The machine is being released to the cloud, which has not confirmed the release yet.
    Releasing,
    /// The cloud has confirmed the machine's release: nothing can run on it.
    Terminated,
}

/// Tasks that a machine may have run when it was lost.
pub(super) struct LostTasks {
    /// Tasks that were bound to the machine.
    pub placed: Vec<TaskKey>,
    /// Tasks that an earlier leader may have started on the machine.
    pub unproven: Vec<TaskKey>,
}

/// The leader's record of one machine. Times are milliseconds of the steady clock.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name that the cloud assigned to the machine.
    pub name: String,
    /// Address of the machine's agent; `None` until known.
    pub addr: Option<SocketAddr>,
    /// Machine type; empty until known.
    pub kind: String,
    /// Index of the machine's zone in the platform's settings.
    pub zone: Option<u16>,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// State in the life cycle. Only `Controller::set_machine_state` changes it.
    pub state: MachineState,
    /// Incarnation of the machine's agent; 0 until the first heartbeat.
    pub agent_epoch: u64,
    /// Detects heartbeats that were delivered twice or late.
    pub(super) duplicates: DuplicateDetector,
    /// Whether messages are believed to reach the machine.
    pub reachability: Reachability,
    /// Fencing token in the machine's newest heartbeat.
    pub(super) acknowledged_token: u64,
    /// Fencing token that messages to the machine carry: the epoch and a counter that rises
    /// whenever a command's outcome is unknown and before an attempt is forgotten, so that the
    /// agent refuses an earlier command if that, or a copy of it, arrives late.
    pub(super) fencing_token: u64,
    /// Lowest fencing token whose acknowledgement proves that no earlier command with an unknown
    /// outcome can take effect any more.
    pub(super) required_token: u64,
    /// Highest fencing token that a command with starts has carried; 0 if none was sent.
    pub(super) start_token: u64,
    /// When a heartbeat of the machine was last answered, which renewed its lease.
    pub(super) last_answered_ms: Option<u64>,
    /// When the last message from the machine arrived; 0 if none has arrived.
    pub(super) last_heard_ms: u64,
    /// When this leader first learned of the machine.
    pub(super) known_since_ms: u64,
    /// When the cloud will interrupt the machine; `None` without an interruption notice.
    pub interruption_at_ms: Option<u64>,
    /// Tasks bound to the machine, with their attempt numbers.
    pub tasks: BTreeMap<TaskKey, u64>,
    /// Tasks that have a probe in the machine's queue.
    pub probe_queue: Vec<TaskKey>,
    /// Expected wait in the queue (E\[W\]) in seconds, computed once per heartbeat interval.
    pub wait_s: f64,
    /// Tasks that an earlier leader may have started on the machine.
    pub unproven: Vec<TaskKey>,
    /// Resources that the machine's tasks use.
    pub used: Resources,
    /// Resources that tasks of each priority use and that higher priorities may preempt, lowest
    /// priority first.
    pub preemptible_by_priority: [Resources; 4],
    /// Resources used by services of each priority, computed once per heartbeat interval. Services
    /// don't end by themselves.
    pub services_by_priority: [Resources; 4],
    /// Start of the period in which no task has run on the machine.
    pub idle_since_ms: u64,
    /// Starts bound to the machine that have not been sent yet: task and attempt number.
    pub pending_starts: Vec<(TaskKey, u64)>,
    /// Whether the machine is considered unreachable by direct commands: the last command to it
    /// was not answered, or it is reached through other controllers.
    pub directly_unreachable: bool,
    /// When the machine became unreachable by direct commands, or when a direct retry last failed.
    pub(super) unreachable_since_ms: u64,
    /// Index in the settings of the controller that relays the machine's heartbeats.
    pub(super) relayed_by: Option<usize>,
    /// Index in the settings of the lease proxy that passes on the machine's heartbeats through the
    /// key-value store.
    pub lease_proxy: Option<usize>,
    /// Whether a command to the machine awaits its answer.
    pub(super) command_in_flight: bool,
    /// Tasks in the machine's newest heartbeat.
    pub(super) reported_tasks: Vec<HeartbeatTask>,
    /// Whether the newest heartbeat began a new agent epoch: all tasks of earlier agent epochs have
    /// ended.
    pub(super) new_agent_epoch: bool,
    /// Images of tasks that have run on the machine.
    pub images: BTreeSet<ImageKey>,
    /// Jobs whose tasks have failed on the machine since a task last completed on it.
    pub failures: BTreeSet<JobIndex>,
    /// Whether the machine is suspected to be faulty and gets no new work. Only
    /// `Controller::update_quarantine` changes it.
    pub quarantined: bool,
    /// When the machine is drained and released if it is quarantined.
    pub(super) evict_from_ms: u64,
    /// Before this time, no start is sent to the machine.
    no_starts_until_ms: u64,
    /// When the machine's status was last queried; 0 if never.
    pub worker_status_queried_ms: u64,
}

impl Machine {
    /// Creates the record of a machine of which only the name is known.
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
            required_token: fencing_token,
            start_token: 0,
            last_answered_ms: None,
            last_heard_ms: 0,
            known_since_ms: now_ms,
            interruption_at_ms: None,
            tasks: BTreeMap::new(),
            probe_queue: Vec::new(),
            wait_s: 0.0,
            unproven: Vec::new(),
            used: Resources::default(),
            preemptible_by_priority: Default::default(),
            services_by_priority: Default::default(),
            idle_since_ms: now_ms,
            pending_starts: Vec::new(),
            directly_unreachable: false,
            unreachable_since_ms: 0,
            relayed_by: None,
            lease_proxy: None,
            command_in_flight: false,
            reported_tasks: Vec::new(),
            new_agent_epoch: false,
            images: BTreeSet::new(),
            failures: BTreeSet::new(),
            quarantined: false,
            evict_from_ms: 0,
            no_starts_until_ms: 0,
            worker_status_queried_ms: 0,
        }
    }

    /// Returns whether the machine has been quarantined for long enough to be drained and released.
    pub fn is_due_for_eviction(&self, now_ms: u64) -> bool {
        self.quarantined && now_ms >= self.evict_from_ms
    }

    /// Returns the resources used by tasks of the lowest priority, which every other priority may
    /// preempt.
    pub fn low_priority_usage(&self) -> Resources {
        self.preemptible_by_priority[Priority::Low as usize]
    }

    /// Returns the resources that work of this priority could free by preemption. Work below high
    /// priority may preempt only the lowest priority.
    pub fn preemptible_for(&self, priority: Priority) -> Resources {
        let priorities_below = match priority {
            Priority::Low => 0,
            Priority::Normal => 1,
            high => high as usize,
        };
        sum(&self.preemptible_by_priority[..priorities_below])
    }

    /// Returns the resources used by services that work of this priority can't preempt.
    pub fn used_by_services(&self, priority: Priority) -> Resources {
        sum(&self.services_by_priority[priority as usize..])
    }

    /// Returns whether the machine may be given work: it is ready, not quarantined, not about to be
    /// interrupted, and not one-way unreachable.
    pub fn usable(&self) -> bool {
        self.state == MachineState::Ready
            && !self.quarantined
            && self.interruption_at_ms.is_none()
            && !self.reachability.is_one_way_unreachable()
    }

    /// Returns whether a task may be started on the machine now.
    pub fn accepts_starts(&self, now_ms: u64) -> bool {
        self.usable() && now_ms >= self.no_starts_until_ms && self.reachability.accepts_new_work()
    }

    /// Returns whether this leader has received any message from the machine.
    pub(super) fn has_been_heard_from(&self) -> bool {
        self.last_heard_ms > 0
    }

    /// Returns whether tasks are bound to the machine, or an earlier leader may have started some.
    pub(super) fn may_hold_tasks(&self) -> bool {
        !self.tasks.is_empty() || !self.unproven.is_empty()
    }

    /// Records that the machine has answered a call: it is alive now, and commands reach it.
    pub(super) fn record_command_answered(&mut self, now_ms: u64) {
        self.last_heard_ms = now_ms;
        self.reachability.on_command_answered(now_ms);
    }

    /// Records that the machine's newest heartbeat is answered, which renews its lease, and which
    /// controller relayed the heartbeat, if any.
    pub(super) fn record_heartbeat_answered(&mut self, now_ms: u64, relayed_by: Option<usize>) {
        self.last_answered_ms = Some(now_ms);
        self.reachability.on_heartbeat_answered();
        self.relayed_by = relayed_by;
        self.directly_unreachable = self.directly_unreachable && relayed_by.is_some();
        self.lease_proxy = None;
    }

    /// Records that a superseded heartbeat is answered. The renewed lease begins no later than the
    /// arrival of the machine's newest message.
    pub(super) fn record_superseded_answered(&mut self) {
        let last_answered_ms = self.last_answered_ms.unwrap_or(0);
        self.last_answered_ms = Some(last_answered_ms.max(self.last_heard_ms));
    }

    /// Prevents starts on the machine before this time.
    pub(super) fn pause_starts(&mut self, until_ms: u64) {
        self.no_starts_until_ms = until_ms;
    }

    /// Returns whether every earlier command with an unknown outcome is void, because the agent
    /// has acknowledged a later fencing token.
    pub(super) fn has_acknowledged_fence(&self) -> bool {
        self.acknowledged_token >= self.required_token
    }

    /// Records that a command with starts carries the present fencing token.
    pub(super) fn record_starts_sent(&mut self) {
        self.start_token = self.start_token.max(self.fencing_token);
    }

    /// Fences the commands that carry `token` or an earlier one: the agent refuses them from when
    /// it has seen the fencing token that is set here.
    pub(super) fn fence_commands(&mut self, token: u64, epoch: u64) {
        if self.fencing_token <= token {
            self.advance_fencing_token(epoch);
        }
        self.required_token = self.fencing_token;
    }

    /// Fences the starts that were sent, before the agent is told to forget an attempt. An agent
    /// that has forgotten the attempt would execute a copy of its start again. The message that
    /// contains the order to forget raises the agent's token itself, so no acknowledgement is
    /// required.
    pub(super) fn fence_sent_starts(&mut self, epoch: u64) {
        if self.fencing_token <= self.start_token {
            self.advance_fencing_token(epoch);
        }
    }

    fn advance_fencing_token(&mut self, epoch: u64) {
        let counter = self.fencing_token & TOKEN_COUNTER_MASK;
        self.fencing_token = scoped_to_epoch(epoch, counter + 1);
    }

    /// Clears everything that was on the machine and returns the lost tasks. The caller removes the
    /// placed tasks by requeueing them.
    pub(super) fn clear_tasks(&mut self, epoch: u64, now_ms: u64) -> LostTasks {
        self.fence_commands(self.fencing_token, epoch);
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
