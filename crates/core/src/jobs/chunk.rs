//! Chunks: groups of a job's tasks that share one placement record, and the state of that record.

use crate::controller::Controller;
use crate::jobs::{Task, TaskState};

/// Consecutive tasks of a job that share a placement record.
#[derive(Clone, Debug)]
pub struct Chunk {
    /// The tasks of the chunk, in the order of their numbers.
    pub tasks: Vec<Task>,
    /// Whether the chunk has changes that no write of its record includes yet.
    pub dirty: bool,
    /// Monotonic time at which the chunk became dirty.
    pub dirty_ms: u64,
    /// Whether a write or a read of the record is in flight.
    pub busy: bool,
    /// Whether waiting tasks have new probes that no write of the record includes yet: the tasks
    /// can't start on these machines until such a write is stored.
    pub blocks_starts: bool,
    /// Version of the latest record that was sent to the key-value store.
    pub version: u32,
    /// Version of the latest record that is known to be stored.
    pub stored_version: u32,
    /// Revision of the record's keys in the key-value store; 0 if the record has no keys of its
    /// own.
    pub revision: u64,
    /// Number of keys over which the stored record is split, all with the same revision.
    pub pieces: u32,
    /// Whether the stored record is embedded in the job's record and has no keys of its own.
    pub inline: bool,
    /// Monotonic time before which no write is attempted, because the record is too large.
    pub deferred_until_ms: u64,
}

impl Chunk {
    /// Returns whether all tasks of the chunk are done.
    pub fn is_complete(&self) -> bool {
        self.tasks.iter().all(|task| task.state.is_done())
    }
}

impl Controller {
    /// Creates a chunk of `len` unplaced tasks that has no stored record yet.
    pub(crate) fn new_chunk(&mut self, len: u32) -> Chunk {
        let tasks = (0..len)
            .map(|_| {
                self.arrivals += 1;
                Task {
                    state: TaskState::Unplaced,
                    probes: Vec::new(),
                    zone: None,
                    times_passed_over: 0,
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
