//! The state machine that follows whether one machine receives what is sent to it.

/// Durations that the rules are derived from, in milliseconds.
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
    /// There is no evidence against it.
    Reachable,
    /// A command was not answered, or the lease expired: the machine gets no new work until it
    /// has shown that messages reach it.
    Suspected,
    /// Consecutive commands or agent epochs were lost while heartbeats arrived: the machine's
    /// capacity does not count.
    OneWayUnreachable {
        /// When the state was entered.
        since_ms: u64,
        /// The state is not left before this time.
        until_ms: u64,
    },
}

/// The path that a command took to the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandRoute {
    /// Straight from this controller.
    Direct,
    /// Through another controller. Such a path is slow and lossy, so a missing answer is no
    /// evidence against the machine.
    Relayed,
}

/// Consecutive commands without an answer, each after a heartbeat, that make a machine
/// one-way unreachable.
const UNANSWERED_COMMANDS_LIMIT: u32 = 2;
/// Consecutive agent epochs that ended although a heartbeat was answered, with the same effect.
const LOST_EPOCHS_LIMIT: u32 = 2;
/// A backoff grows to at most two to this power times its initial length.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// After this many leases of reachability, earlier outages no longer lengthen the backoff.
const FORGET_OUTAGES_AFTER_LEASES: u64 = 8;

/// What is known about whether messages reach one machine.
#[derive(Clone, Debug)]
pub struct Reachability {
    state: ReachabilityState,
    /// Consecutive commands without an answer, each sent after a heartbeat.
    unanswered_commands: u32,
    /// A heartbeat has arrived since the last command without an answer.
    heard_since_command: bool,
    /// Consecutive agent epochs that ended although a heartbeat was answered.
    lost_epochs: u32,
    /// When the first message of the present agent epoch arrived.
    epoch_began_ms: u64,
    /// A heartbeat of the present agent epoch was answered.
    heartbeat_answered: bool,
    /// Recent outages, which lengthen the next one's minimum duration.
    recent_outages: u32,
    /// When the last outage ended.
    recovered_ms: u64,
    /// Earliest time of the next command during an outage.
    next_command_ms: u64,
    /// Present pause between commands during an outage.
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
    /// The present state.
    pub fn state(&self) -> ReachabilityState {
        self.state
    }

    /// Whether the machine sends heartbeats but does not receive messages.
    pub fn is_one_way_unreachable(&self) -> bool {
        matches!(self.state, ReachabilityState::OneWayUnreachable { .. })
    }

    /// Whether new work may be assigned to the machine.
    pub fn accepts_new_work(&self) -> bool {
        self.state == ReachabilityState::Reachable
    }

    /// Whether a command is worth sending: during an outage commands are spaced out with an
    /// exponential backoff.
    pub fn may_send_command(&self, now_ms: u64) -> bool {
        !self.is_one_way_unreachable()
            || !self.commands_are_lost()
            || now_ms >= self.next_command_ms
    }

    /// Whether the machine is of no use and has been for at least a lease: neither commands
    /// nor answers to heartbeats reach it, or one agent epoch after the other is lost.
    pub fn is_permanently_unreachable(&self, now_ms: u64, timing: &Timing) -> bool {
        let ReachabilityState::OneWayUnreachable { since_ms, .. } = self.state else {
            return false;
        };
        let both_channels_fail = self.commands_are_lost() && self.lost_epochs > 0;
        (both_channels_fail || self.epochs_are_lost()) && now_ms >= since_ms + timing.lease_ms
    }

    /// A new heartbeat arrived, the first of an agent epoch if `starts_epoch`.
    pub fn on_heartbeat(&mut self, now_ms: u64, starts_epoch: bool, timing: &Timing) {
        self.heard_since_command = true;
        if starts_epoch {
            self.on_new_epoch(now_ms, timing);
        } else if self.epoch_outlasted_lease(now_ms, timing) {
            self.lost_epochs = 0;
        }
        self.end_outage_if_over(now_ms);
    }

    /// A heartbeat of the present agent epoch was answered.
    pub fn on_heartbeat_answered(&mut self) {
        self.heartbeat_answered = true;
    }

    /// The machine showed the newest fencing token that was sent to it.
    pub fn on_current_fencing_token(&mut self) {
        if self.state == ReachabilityState::Suspected && !self.commands_are_lost() {
            self.transition_to(ReachabilityState::Reachable);
        }
    }

    /// The machine answered a command.
    pub fn on_command_answered(&mut self, now_ms: u64) {
        self.unanswered_commands = 0;
        if self.state == ReachabilityState::Suspected {
            self.transition_to(ReachabilityState::Reachable);
        }
        self.end_outage_if_over(now_ms);
    }

    /// A command was not answered.
    ///
    /// It counts only if a heartbeat has arrived since the last such command, because a machine
    /// that sends nothing is silent and not one-way unreachable, and only on a direct route.
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

    /// The machine's lease expired without a heartbeat. The next one may have been delayed in
    /// the network, so the machine first has to show that messages reach it. Only the record
    /// of earlier outages is kept.
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

    /// An agent begins a new epoch when its lease has expired, so an answer to the previous
    /// epoch cannot have arrived in time.
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

    /// Whether the present agent epoch would have ended by now if no answer had arrived.
    fn epoch_outlasted_lease(&self, now_ms: u64, timing: &Timing) -> bool {
        let latest_end_ms = self.epoch_began_ms + timing.lease_ms + timing.heartbeat_interval_ms;
        self.heartbeat_answered && now_ms > latest_end_ms
    }

    fn extend_command_backoff(&mut self, now_ms: u64, timing: &Timing) {
        let longest_ms = timing.heartbeat_interval_ms << MAX_BACKOFF_DOUBLINGS;
        self.command_backoff_ms = (2 * self.command_backoff_ms).min(longest_ms);
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

    /// Ends an outage once both channels work again and its minimum duration has passed.
    fn end_outage_if_over(&mut self, now_ms: u64) {
        let ReachabilityState::OneWayUnreachable { until_ms, .. } = self.state else { return };
        let both_channels_work = self.unanswered_commands == 0 && self.lost_epochs == 0;
        if now_ms >= until_ms && both_channels_work {
            self.recovered_ms = now_ms;
            self.transition_to(ReachabilityState::Reachable);
        }
    }

    /// The only place where the state changes.
    fn transition_to(&mut self, state: ReachabilityState) {
        self.state = state;
    }
}
