//! Chunks: the tasks of a job that share one placement record, and the state of that record.

use crate::controller::Controller;
use crate::jobs::{Task, TaskState};

/// Consecutive tasks of a job that share a placement record.
#[derive(Clone, Debug)]
pub struct Chunk {
    /// Its tasks, in the order of their numbers.
    pub tasks: Vec<Task>,
    /// The stored record lags behind memory.
    pub dirty: bool,
    /// Steady clock since when it does.
    pub dirty_ms: u64,
    /// A write or a read of the record is in flight.
    pub busy: bool,
    /// Waiting tasks were given machines that the stored record does not name yet.
    pub blocks_starts: bool,
    /// Version of the newest record that was sent.
    pub version: u32,
    /// Version of the newest record that is known to be stored.
    pub stored_version: u32,
    /// The store's revision of the record's keys; 0 if there are none.
    pub revision: u64,
    /// Number of keys over which the stored record is spread, all with this revision.
    pub pieces: u32,
    /// The stored record is part of the job's record, and has no keys of its own.
    pub inline: bool,
    /// Steady clock before which no write is tried, since the record is too large.
    pub deferred_until_ms: u64,
}

impl Chunk {
    /// Whether all of its tasks are done.
    pub fn whole(&self) -> bool {
        self.tasks.iter().all(|task| task.state.is_done())
    }
}

impl Controller {
    /// A chunk of so many unplaced tasks, without a record.
    pub(crate) fn new_chunk(&mut self, len: u32) -> Chunk {
        let tasks = (0..len)
            .map(|_| {
                self.arrivals += 1;
                Task {
                    state: TaskState::Unplaced,
                    probes: Vec::new(),
                    zone: None,
                    slack: 0,
                    arrived: self.arrivals,
                    since_ms: self.context.now.steady_ms,
                    failures: 0,
                    not_before_ms: 0,
                }
            })
            .collect();
        Chunk {
            tasks,
            dirty: false,
            dirty_ms: 0,
            busy: false,
            blocks_starts: false,
            version: 0,
            stored_version: 0,
            revision: 0,
            pieces: 0,
            inline: false,
            deferred_until_ms: 0,
        }
    }
}
