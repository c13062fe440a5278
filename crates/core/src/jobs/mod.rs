//! Jobs and tasks in the leader's memory, and the functions that change their states.
//!
//! The tables hold what the leader knows about each accepted job that has not ended. Every change
//! of a task's or a job's state goes through one function each in [`transitions`], which keeps the
//! counts of jobs, teams and machines consistent with the states.

mod chunk;
pub(crate) mod dependencies;
mod job;
mod job_table;
mod snapshot;
mod task;
mod transitions;

pub use chunk::Chunk;
pub use job::{Job, JobState};
pub use job_table::Jobs;
pub use task::{Probe, Task, TaskState};
