//! A job in the leader's memory: the submitted specification, the job's state, and the counts of
//! its tasks by state.

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_wire::msg::{JobAnswer, JobKind, JobSpec, JobStatus, Priority};

use crate::controller::Controller;
use crate::fleet::fault_attribution::JobHealth;
use crate::fleet::machines::Resources;
use crate::ids::{ImageKey, MachineIndex};
use crate::jobs::dependencies::Deadline;
use crate::jobs::{Chunk, Task, TaskState};
use crate::placement::placer::MAX_OPEN_CHUNKS;
use crate::storage::records::{ranges, TASKS_PER_CHUNK};

/// The state of a job in the leader's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// The write that records the job's acceptance is in flight.
    Recording,
    /// Accepted; some dependencies are not known to be recorded as done.
    Waiting,
    /// Accepted; the job's tasks may run.
    Live,
    /// The write of the job's abort is in flight; no task starts until its outcome is known.
    Aborting,
    /// The outcome of writing the job's abort is indeterminate: its tasks are stopped, and the
    /// write is retried until the abort is known to be recorded.
    AbortIndeterminate,
    /// Recorded as aborted; the job's placement records remain until no task is on a machine.
    Aborted,
    /// All tasks are done, and the write that records the job as done is in flight.
    Finishing,
    /// Recorded as done.
    Done,
    /// The job's record can't be decoded: the record is left unchanged, and an error is logged.
    Unreadable,
}

impl JobState {
    /// Returns whether the job is accepted and its end is neither recorded nor being recorded.
    pub fn is_accepted(self) -> bool {
        matches!(self, JobState::Live | JobState::Waiting)
    }
}

/// A job in the leader's memory. Its counts of tasks are derived from the states of its tasks.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifier of the job, chosen by the user who submitted it.
    pub id: String,
    /// The specification as it was submitted.
    pub spec: JobSpec,
    /// Key of the image that the job's tasks need.
    pub image: ImageKey,
    /// The job's team, as a position in the list of teams in the settings.
    pub team: usize,
    /// State of the job; only [`Controller::set_job_state`] changes it.
    pub state: JobState,
    /// Revision of the job's record in the key-value store; 0 until the record is known to be
    /// stored.
    pub revision: u64,
    /// Wall-clock time of the submission.
    pub submitted_ms: u64,
    /// Wall-clock time from which on the job could run: the time of its submission, or the time at
    /// which its last dependency was found to be done.
    pub ready_ms: u64,
    /// Dependencies whose terminal states are not known to be recorded.
    pub pending_dependencies: BTreeSet<String>,
    /// Effective priority: the job's own or one inherited from a dependent, see
    /// [`crate::jobs::dependencies`].
    pub priority: Priority,
    /// Effective deadline: the job's own or one inherited from a dependent, see
    /// [`crate::jobs::dependencies`].
    pub deadline: Option<Deadline>,
    /// Whether the job has an inherited priority and must start now for its effective deadline to
    /// be met; updated once per heartbeat interval.
    pub deadline_at_risk: bool,
    /// Chunks that are in memory, by number.
    pub chunks: BTreeMap<u32, Chunk>,
    /// Ranges, both ends included, of the chunks that are done according to the job's own record.
    pub done_chunks: Vec<(u32, u32)>,
    /// Whether a write or a read of the job's own record is in flight.
    pub busy: bool,
    /// Whether another controller has stopped a task of the job, so that no task starts until the
    /// job's record has been reread.
    pub must_reread_record: bool,
    /// Number of the batch record that holds the job; `None` if the job has a record of its own.
    pub batch_number: Option<u64>,
    /// Whether the job, if it is in a batch record, has to get a record of its own.
    pub needs_own_record: bool,
    /// Zone chosen for the whole job, if its tasks have to run in the same zone.
    pub zone: Option<u16>,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks that a heartbeat has confirmed on a machine, including those being stopped.
    pub confirmed_tasks: u32,
    /// Number of tasks that are placed and wait for a machine.
    pub waiting: u32,
    /// Number of the task at which the next search for unplaced tasks begins; no earlier task is
    /// unplaced.
    pub next_unplaced: u32,
    /// Monotonic time before which the job is not placed, because no machine could take its tasks.
    pub placement_from_ms: u64,
    /// Machines on which a task of the job has failed.
    pub failed_on: Vec<MachineIndex>,
    /// Whether the job is known to run successfully or to fail on every machine; only
    /// `Controller::set_job_health` changes it.
    pub health: JobHealth,
    /// Number of trial starts since the job's failures were attributed to it.
    pub trials: u32,
    /// Monotonic time of the next trial start.
    pub next_trial_ms: u64,
    /// Number of tasks that are bound: those that occupy a machine or are being started on one.
    pub bound_tasks: u32,
    /// Monotonic time at which the job was aborted; until then, the time at which it was loaded
    /// into memory.
    pub aborted_or_loaded_ms: u64,
    /// Monotonic time before which the job's record is not written, because the store refused it.
    pub deferred_until_ms: u64,
    /// Monotonic time at which the job's record was last reread; at first, the time at which the
    /// job was loaded into memory. Also set when the job's last dependency is done.
    pub record_read_ms: u64,
    /// Number of deadline objectives that the job can no longer meet; updated once per heartbeat
    /// interval.
    pub missed_objectives: u8,
    /// Highest ratio of demand to supply among the job's constraints; updated once per heartbeat
    /// interval.
    pub ratio: f64,
}

impl Job {
    fn new(
        spec: JobSpec,
        team: usize,
        state: JobState,
        revision: u64,
        submitted_ms: u64,
        now_ms: u64,
        ratio: f64,
    ) -> Job {
        let mut job = Job {
            id: spec.id.clone(),
            image: ImageKey::of(&spec.image),
            priority: spec.priority,
            spec,
            team,
            state,
            revision,
            submitted_ms,
            ready_ms: submitted_ms,
            pending_dependencies: BTreeSet::new(),
            deadline: None,
            deadline_at_risk: false,
            chunks: BTreeMap::new(),
            done_chunks: Vec::new(),
            busy: false,
            must_reread_record: false,
            batch_number: None,
            needs_own_record: false,
            zone: None,
            done: 0,
            confirmed_tasks: 0,
            waiting: 0,
            next_unplaced: 0,
            placement_from_ms: 0,
            failed_on: Vec::new(),
            health: JobHealth::Untried,
            trials: 0,
            next_trial_ms: 0,
            bound_tasks: 0,
            aborted_or_loaded_ms: now_ms,
            deferred_until_ms: 0,
            record_read_ms: now_ms,
            missed_objectives: 0,
            ratio,
        };
        job.deadline = job.own_deadline();
        job
    }

    /// Returns the resources that one task of the job needs.
    pub fn resources(&self) -> Resources {
        Resources { cpus: self.spec.cpus, gpus: self.spec.gpus, memory_gb: self.spec.memory_gb }
    }

    /// Returns the fraction of the resources of the job's tasks that counts as preemptible when the
    /// job has this priority. The tasks of a gang are not preempted one by one, so they count only
    /// if the gang has the lowest priority.
    pub fn preemptible_fraction(&self, priority: Priority) -> f64 {
        f64::from(u8::from(self.spec.kind != JobKind::Gang || priority == Priority::Low))
    }

    /// Returns the job's remaining work in seconds of machine time, according to the submitted
    /// estimate.
    pub fn remaining_s(&self) -> f64 {
        f64::from(self.spec.tasks.saturating_sub(self.done)) * self.spec.estimate_s
    }

    /// Returns a task by its number, if its chunk is in memory.
    pub fn task(&self, task: u32) -> Option<&Task> {
        self.chunks.get(&(task / TASKS_PER_CHUNK))?.tasks.get((task % TASKS_PER_CHUNK) as usize)
    }

    /// Returns a task by its number for modification, if its chunk is in memory.
    pub fn task_mut(&mut self, task: u32) -> Option<&mut Task> {
        self.chunks
            .get_mut(&(task / TASKS_PER_CHUNK))?
            .tasks
            .get_mut((task % TASKS_PER_CHUNK) as usize)
    }

    /// Returns the chunk of a task for modification, if the chunk is in memory.
    pub fn chunk_of(&mut self, task: u32) -> Option<&mut Chunk> {
        self.chunks.get_mut(&(task / TASKS_PER_CHUNK))
    }

    /// Returns whether the chunk of this task is done according to the job's own record.
    pub fn in_done_chunk(&self, task: u32) -> bool {
        let chunk = task / TASKS_PER_CHUNK;
        self.done_chunks.iter().any(|(first, last)| (*first..=*last).contains(&chunk))
    }

    /// Builds the answer to a status query. The counts of tasks are set only while the job is
    /// queued or running.
    pub fn answer(&self) -> JobAnswer {
        let status = match self.state {
            JobState::Done => JobStatus::Done,
            JobState::Aborted => JobStatus::Aborted,
            _ if self.confirmed_tasks > 0 => JobStatus::Running,
            _ => JobStatus::Queued,
        };
        let has_counts = matches!(status, JobStatus::Queued | JobStatus::Running);
        let count = |tasks: u32| has_counts.then_some(tasks);
        JobAnswer {
            id: self.id.clone(),
            status,
            done: count(self.done),
            running: count(self.confirmed_tasks),
        }
    }

    /// Iterates over the tasks of all chunks in memory, with their numbers, in order.
    pub fn tasks(&self) -> impl Iterator<Item = (u32, &Task)> {
        self.chunks.iter().flat_map(|(chunk_number, chunk)| {
            let first_task = chunk_number * TASKS_PER_CHUNK;
            chunk
                .tasks
                .iter()
                .enumerate()
                .map(move |(offset, task)| (first_task + offset as u32, task))
        })
    }

    /// Returns the number of tasks in a chunk; only the last chunk may be shorter than the others.
    pub fn chunk_len(&self, chunk: u32) -> u32 {
        (self.spec.tasks - chunk * TASKS_PER_CHUNK).min(TASKS_PER_CHUNK)
    }

    /// Returns whether the chunk of the job's next task is in memory or another chunk may be opened
    /// for it. The limit on chunks bounds the memory and the number of records that a large job
    /// array takes.
    pub fn may_open_chunk(&self) -> bool {
        self.chunks.contains_key(&(self.next_unplaced / TASKS_PER_CHUNK))
            || self.chunks.values().filter(|chunk| !chunk.is_complete()).count() < MAX_OPEN_CHUNKS
    }

    /// Returns the ranges of done chunks, with the chunks in `more` added.
    pub fn done_chunks_with(&self, more: &[u32]) -> Vec<(u32, u32)> {
        let recorded = self.done_chunks.iter().flat_map(|(first, last)| *first..=*last);
        let mut all: Vec<u32> = recorded.chain(more.iter().copied()).collect();
        all.sort_unstable();
        ranges(all)
    }

    /// Returns the number of chunks into which the job's tasks are divided.
    pub fn chunk_count(&self) -> u32 {
        self.spec.tasks.div_ceil(TASKS_PER_CHUNK)
    }

    /// Updates the job's counts for a task that changes from one state to another.
    pub(super) fn count_transition(&mut self, old: &TaskState, new: &TaskState) {
        let adjust = |count: &mut u32, before: bool, after: bool| {
            *count = *count + u32::from(after) - u32::from(before);
        };
        adjust(&mut self.waiting, old.is_waiting(), new.is_waiting());
        adjust(
            &mut self.confirmed_tasks,
            old.is_confirmed_on_machine(),
            new.is_confirmed_on_machine(),
        );
        adjust(&mut self.done, old.is_done(), new.is_done());
        adjust(
            &mut self.bound_tasks,
            old.machine_and_attempt().is_some(),
            new.machine_and_attempt().is_some(),
        );
    }
}

impl Controller {
    /// Creates a job as it is loaded into memory, without chunks or pending dependencies.
    /// `submitted_ms` is the wall-clock time of its submission.
    pub(crate) fn new_job(
        &self,
        spec: JobSpec,
        team: usize,
        state: JobState,
        revision: u64,
        submitted_ms: u64,
    ) -> Job {
        let ratio = self.ratio_of(&spec);
        // `quartzgate-loadtest service-report --logs` parses this log line and the line `begun`.
        tracing::debug!(job = %spec.id, class = %spec.class, tasks = spec.tasks, "job entered");
        Job::new(spec, team, state, revision, submitted_ms, self.context.now.steady_ms, ratio)
    }
}
