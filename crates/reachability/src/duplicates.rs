//! Detection of heartbeats that were delivered late or twice.

/// Position of a message among all messages of one machine.
///
/// Numbers are ordered by agent epoch first: every message of a later epoch is newer than any
/// message of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageNumber {
    /// Incarnation of the machine's agent; it increases whenever the agent's lease expires or the
    /// agent restarts.
    pub agent_epoch: u64,
    /// Sequence number within the agent epoch.
    pub sequence: u64,
}

/// How recent a heartbeat is, compared with the messages received earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Newer than every message received so far.
    New,
    /// Newer than every earlier heartbeat, but not newer than a status received by another path,
    /// such as the answer to a command. The heartbeat carries no new information, but its sender
    /// may still wait for an answer.
    Superseded,
    /// Not newer than an earlier heartbeat, or of an earlier agent epoch: the heartbeat is a
    /// duplicate, or was delayed for so long that its sender no longer waits for an answer. It
    /// carries no information, and an answer to it must not renew a lease.
    Duplicate,
}

/// The newest message numbers received from one machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DuplicateDetector {
    /// Number of the newest message of any kind.
    newest: MessageNumber,
    /// Number of the newest message that was recorded as a heartbeat.
    newest_heartbeat: MessageNumber,
}

impl DuplicateDetector {
    /// Records a heartbeat and returns how recent it is.
    pub fn record_heartbeat(&mut self, number: MessageNumber) -> Freshness {
        let of_earlier_epoch = number.agent_epoch < self.newest.agent_epoch;
        if number <= self.newest_heartbeat || of_earlier_epoch {
            return Freshness::Duplicate;
        }
        self.newest_heartbeat = number;
        if number <= self.newest {
            return Freshness::Superseded;
        }
        self.newest = number;
        Freshness::New
    }

    /// Records a status that is not a heartbeat to be answered: the answer to a command, or a
    /// heartbeat that another controller has already answered. Returns whether it is newer than
    /// every message received so far.
    pub fn record_status(&mut self, number: MessageNumber) -> bool {
        let is_newer = number > self.newest;
        if is_newer {
            self.newest = number;
        }
        is_newer
    }
}
