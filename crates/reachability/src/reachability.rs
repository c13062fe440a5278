//! The state machine that tracks whether one machine receives the messages sent to it.

/// Durations from which the rules for reachability are derived, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between two heartbeats of a machine.
    pub heartbeat_interval_ms: u64,
    /// Time without an answered heartbeat after which an agent epoch ends.
    pub lease_ms: u64,
}

/// Whether messages are believed to reach the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachabilityState {
    /// There is no evidence that messages fail to reach the machine.
    Reachable,
    /// A command was not answered, or the lease expired. The machine gets no new work until there
    /// is evidence that messages reach it.
    Suspected,
    /// Consecutive commands or agent epochs were lost while heartbeats arrived. The machine's
    /// capacity does not count as usable.
    OneWayUnreachable {
        /// Time at which the state was entered.
        since_ms: u64,
        /// Earliest time at which the state may be left.
        until_ms: u64,
    },
}

/// The path that a command took to the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandRoute {
    /// The command was sent directly from this controller.
    Direct,
    /// The command was sent through another controller. This path is slow and lossy, so a missing
    /// answer is no evidence that the machine is unreachable.
    Relayed,
}

/// A machine is one-way unreachable after this many consecutive commands without an answer, each
/// preceded by a heartbeat.
const UNANSWERED_COMMANDS_LIMIT: u32 = 2;
/// A machine is one-way unreachable after this many consecutive agent epochs that ended although a
/// heartbeat of that epoch was answered.
const LOST_EPOCHS_LIMIT: u32 = 2;
/// A backoff doubles from its initial length at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Earlier outages no longer lengthen the backoff if the last of them ended more than this many
/// leases ago.
const FORGET_OUTAGES_AFTER_LEASES: u64 = 8;

/// The evidence of whether messages reach one machine, and the resulting state.
#[derive(Clone, Debug)]
pub struct Reachability {
    state: ReachabilityState,
    /// Number of consecutive direct commands without an answer, each preceded by a heartbeat.
    unanswered_commands: u32,
    /// Whether a heartbeat has arrived since the last command without an answer.
    heard_since_command: bool,
    /// Number of consecutive agent epochs that ended although a heartbeat was answered.
    lost_epochs: u32,
    /// Time at which the first message of the present agent epoch arrived.
    epoch_began_ms: u64,
    /// Whether a heartbeat of the present agent epoch was answered.
    heartbeat_answered: bool,
    /// Number of recent outages, which determines the minimum duration of the next outage.
    recent_outages: u32,
    /// Time at which the last outage ended.
    recovered_ms: u64,
    /// Earliest time for the next command during an outage in which commands are lost.
    next_command_ms: u64,
    /// Present backoff between commands during an outage.
    command_backoff_ms: u64,
}

impl Default for Reachability {
    fn default() -> Self {
        Reachability {
            state: ReachabilityState::Reachable,
            unanswered_commands: 0,
            heard_since_command: true,
            lost_epochs: 0,
            epoch_began_ms: 0,
            heartbeat_answered: false,
            recent_outages: 0,
            recovered_ms: 0,
            next_command_ms: 0,
            command_backoff_ms: 0,
        }
    }
}

impl Reachability {
    /// Returns the state that follows from the evidence so far.
    pub fn state(&self) -> ReachabilityState {
        self.state
    }

    /// Returns whether the machine is believed to send heartbeats but receive no messages.
    pub fn is_one_way_unreachable(&self) -> bool {
        matches!(self.state, ReachabilityState::OneWayUnreachable { .. })
    }

    /// Returns whether new work may be assigned to the machine.
    pub fn accepts_new_work(&self) -> bool {
        self.state == ReachabilityState::Reachable
    }

    /// Returns whether a command may be sent now. During an outage in which commands are lost, they
    /// are sent with exponential backoff.
    pub fn may_send_command(&self, now_ms: u64) -> bool {
        !self.is_one_way_unreachable()
            || !self.commands_are_lost()
            || now_ms >= self.next_command_ms
    }

    /// Returns whether the machine has been one-way unreachable for at least a lease with either
    /// both channels failing (neither commands nor answers to heartbeats reach it) or consecutive
    /// agent epochs lost.
    pub fn is_permanently_unreachable(&self, now_ms: u64, timing: &Timing) -> bool {
        let ReachabilityState::OneWayUnreachable { since_ms, .. } = self.state else {
            return false;
        };
        let both_channels_fail = self.commands_are_lost() && self.lost_epochs > 0;
        (both_channels_fail || self.epochs_are_lost()) && now_ms >= since_ms + timing.lease_ms
    }

    /// Records the arrival of a new heartbeat, the first of an agent epoch if `starts_epoch`.
    pub fn on_heartbeat(&mut self, now_ms: u64, starts_epoch: bool, timing: &Timing) {
        self.heard_since_command = true;
        if starts_epoch {
            self.on_new_epoch(now_ms, timing);
        } else if self.epoch_outlasted_lease(now_ms, timing) {
            self.lost_epochs = 0;
        }
        self.end_outage_if_over(now_ms);
    }

    /// Records that a heartbeat of the present agent epoch was answered.
    pub fn on_heartbeat_answered(&mut self) {
        self.heartbeat_answered = true;
    }

    /// Records that the machine acknowledged the newest fencing token that was sent to it, which
    /// ends a suspicion unless commands are lost.
    pub fn on_current_fencing_token(&mut self) {
        if self.state == ReachabilityState::Suspected && !self.commands_are_lost() {
            self.transition_to(ReachabilityState::Reachable);
        }
    }

    /// Records that the machine answered a command.
    pub fn on_command_answered(&mut self, now_ms: u64) {
        self.unanswered_commands = 0;
        if self.state == ReachabilityState::Suspected {
            self.transition_to(ReachabilityState::Reachable);
        }
        self.end_outage_if_over(now_ms);
    }

    /// Records that a command was not answered.
    ///
    /// The command counts as lost only if it was sent on a direct route and if a heartbeat has
    /// arrived since the last unanswered command: a machine from which nothing arrives is silent,
    /// not one-way unreachable.
    pub fn on_command_unanswered(&mut self, now_ms: u64, route: CommandRoute, timing: &Timing) {
        let heard_since_command = std::mem::take(&mut self.heard_since_command);
        if heard_since_command && route == CommandRoute::Direct {
            self.unanswered_commands += 1;
        }
        if self.is_one_way_unreachable() {
            self.extend_command_backoff(now_ms, timing);
        } else if self.commands_are_lost() {
            self.begin_outage(now_ms, timing);
        } else {
            self.transition_to(ReachabilityState::Suspected);
        }
    }

    /// Records that the machine's lease expired without a heartbeat. The next heartbeat may be one
    /// that the network delayed, so the machine is suspected until there is evidence that messages
    /// reach it. Only the record of earlier outages is kept.
    pub fn on_lease_expired(&mut self) {
        *self = Reachability {
            state: ReachabilityState::Suspected,
            recent_outages: self.recent_outages,
            recovered_ms: self.recovered_ms,
            ..Reachability::default()
        };
    }

    fn commands_are_lost(&self) -> bool {
        self.unanswered_commands >= UNANSWERED_COMMANDS_LIMIT
    }

    fn epochs_are_lost(&self) -> bool {
        self.lost_epochs >= LOST_EPOCHS_LIMIT
    }

    /// Records the start of an agent epoch. An agent begins a new epoch when its lease has expired,
    /// so an answer to a heartbeat of the previous epoch can't have arrived in time.
    fn on_new_epoch(&mut self, now_ms: u64, timing: &Timing) {
        if self.heartbeat_answered {
            self.lost_epochs += 1;
        }
        self.epoch_began_ms = now_ms;
        self.heartbeat_answered = false;
        if self.epochs_are_lost() {
            self.begin_outage(now_ms, timing);
        }
    }

    /// Returns whether the present agent epoch would have ended by now if no answer had reached the
    /// machine.
    fn epoch_outlasted_lease(&self, now_ms: u64, timing: &Timing) -> bool {
        let latest_end_ms = self.epoch_began_ms + timing.lease_ms + timing.heartbeat_interval_ms;
        self.heartbeat_answered && now_ms > latest_end_ms
    }

    fn extend_command_backoff(&mut self, now_ms: u64, timing: &Timing) {
        let max_backoff_ms = timing.heartbeat_interval_ms << MAX_BACKOFF_DOUBLINGS;
        self.command_backoff_ms = (2 * self.command_backoff_ms).min(max_backoff_ms);
        self.next_command_ms = now_ms + self.command_backoff_ms;
    }

    fn begin_outage(&mut self, now_ms: u64, timing: &Timing) {
        if self.is_one_way_unreachable() {
            return;
        }
        if now_ms > self.recovered_ms + FORGET_OUTAGES_AFTER_LEASES * timing.lease_ms {
            self.recent_outages = 0;
        }
        let doublings = self.recent_outages.min(MAX_BACKOFF_DOUBLINGS);
        let until_ms = now_ms + (timing.heartbeat_interval_ms << doublings);
        self.recent_outages += 1;
        self.command_backoff_ms = timing.heartbeat_interval_ms;
        self.next_command_ms = now_ms + self.command_backoff_ms;
        self.transition_to(ReachabilityState::OneWayUnreachable { since_ms: now_ms, until_ms });
    }

    /// Ends an outage if both channels work again and its minimum duration has passed.
    fn end_outage_if_over(&mut self, now_ms: u64) {
        let ReachabilityState::OneWayUnreachable { until_ms, .. } = self.state else { return };
        let both_channels_work = self.unanswered_commands == 0 && self.lost_epochs == 0;
        if now_ms >= until_ms && both_channels_work {
            self.recovered_ms = now_ms;
            self.transition_to(ReachabilityState::Reachable);
        }
    }

    /// Changes the state. Apart from `on_lease_expired`, no other function does so.
    fn transition_to(&mut self, state: ReachabilityState) {
        self.state = state;
    }
}
