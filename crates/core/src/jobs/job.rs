//! One job in the leader's memory: what was submitted, its state, and the counts of its tasks.

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
    /// The write of its acceptance is in flight.
    Recording,
    /// Accepted, with dependencies that are not known to be recorded as done.
    Waiting,
    /// Accepted, and its tasks may run.
    Live,
    /// The write of its abort is in flight; nothing starts until its outcome is known.
    Aborting,
    /// The outcome of writing its abort is indeterminate: its tasks are stopped, and the write
    /// is repeated until the abort is known to be recorded.
    AbortIndeterminate,
    /// Recorded as aborted; its placement records remain until no task is on a machine.
    Aborted,
    /// All tasks are done, and the write that says so is in flight.
    Finishing,
    /// Recorded as done.
    Done,
    /// Its record can't be decoded: it is left unchanged, and reported as an error.
    Unreadable,
}

impl JobState {
    /// Whether it is accepted, and not known to be recorded as ended.
    pub fn is_accepted(self) -> bool {
        matches!(self, JobState::Live | JobState::Waiting)
    }
}

/// A job in the leader's memory. Its counts of tasks follow from the states of its tasks.
#[derive(Clone, Debug)]
pub struct Job {
    /// The identifier that its user chose.
    pub id: String,
    /// What was submitted.
    pub spec: JobSpec,
    /// Key of the image that its tasks need.
    pub image: ImageKey,
    /// Its team, by position in the settings.
    pub team: usize,
    /// Changed by [`Controller::set_job_state`] alone.
    pub state: JobState,
    /// The store's revision of its record; 0 before the record is known to be stored.
    pub revision: u64,
    /// Time of day of its submission.
    pub at_ms: u64,
    /// Time of day from which on it could run: of its submission, or of the end of the last of
    /// its dependencies.
    pub ready_ms: u64,
    /// Dependencies whose ends are not known to be recorded.
    pub pending_dependencies: BTreeSet<String>,
    /// Effective priority, see [`crate::jobs::dependencies`].
    pub priority: Priority,
    /// Effective deadline, see [`crate::jobs::dependencies`].
    pub deadline: Option<Deadline>,
    /// The effective deadline is missed unless it starts now; updated each heartbeat round.
    pub deadline_at_risk: bool,
    /// Chunks with tasks that were placed, by number.
    pub chunks: BTreeMap<u32, Chunk>,
    /// Ranges, both ends included, of chunks that the job's own record says are done.
    pub done_chunks: Vec<(u32, u32)>,
    /// A write or a read of the job's own record is in flight.
    pub busy: bool,
    /// Another controller has stopped a task of it: no task starts before its record was read.
    pub must_reread_record: bool,
    /// Batch record that holds it, unless it has a record of its own.
    pub page: Option<u64>,
    /// It is in a batch record and is to get a record of its own.
    pub own: bool,
    /// Zone chosen for the whole job, if its tasks have to run together.
    pub zone: Option<u16>,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that a heartbeat has confirmed on a machine.
    pub on: u32,
    /// Tasks that are placed and wait for a machine.
    pub waiting: u32,
    /// Number of the first task that has not been placed.
    pub next: u32,
    /// No machine could take a task of it: steady clock before which it is not placed again.
    pub placement_from_ms: u64,
    /// Machines on which a task of it failed.
    pub failed_on: Vec<MachineIndex>,
    /// Whether its failures are attributed to the job itself.
    pub health: JobHealth,
    /// Trial starts since its failures were attributed to it.
    pub trials: u32,
    /// Steady clock of the next trial start.
    pub next_trial_ms: u64,
    /// Tasks that occupy a machine, or are about to.
    pub bound: u32,
    /// Steady clock of its abort; before that, of its entry into memory.
    pub aborted_ms: u64,
    /// Steady clock before which its record is not written, since the store refused it.
    pub deferred_until_ms: u64,
    /// Steady clock at which its record was last read again.
    pub read_ms: u64,
    /// Objectives of its class that it can't meet any more; updated each heartbeat round.
    pub missed_objectives: u8,
    /// Highest ratio of demand to supply among its constraints; updated each heartbeat round.
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
            at_ms: submitted_ms,
            ready_ms: submitted_ms,
            pending_dependencies: BTreeSet::new(),
            deadline: None,
            deadline_at_risk: false,
            chunks: BTreeMap::new(),
            done_chunks: Vec::new(),
            busy: false,
            must_reread_record: false,
            page: None,
            own: false,
            zone: None,
            done: 0,
            on: 0,
            waiting: 0,
            next: 0,
            placement_from_ms: 0,
            failed_on: Vec::new(),
            health: JobHealth::Untried,
            trials: 0,
            next_trial_ms: 0,
            bound: 0,
            aborted_ms: now_ms,
            deferred_until_ms: 0,
            read_ms: now_ms,
            missed_objectives: 0,
            ratio,
        };
        job.deadline = job.own_deadline();
        job
    }

    /// Resources that one task of it needs.
    pub fn resources(&self) -> Resources {
        Resources { cpus: self.spec.cpus, gpus: self.spec.gpus, memory_gb: self.spec.memory_gb }
    }

    /// Fraction of its tasks' resources that preemption can free when it has this priority. The
    /// tasks of a gang are not preempted singly, unless the gang has the lowest priority.
    pub fn preemptible_fraction(&self, priority: Priority) -> f64 {
        f64::from(u8::from(self.spec.shape != JobKind::Gang || priority == Priority::Low))
    }

    /// Work that is left, in seconds of machine time, by the submitted estimate.
    pub fn remaining_s(&self) -> f64 {
        f64::from(self.spec.tasks.saturating_sub(self.done)) * self.spec.estimate_s
    }

    /// A task by its number, if its chunk is in memory.
    pub fn task(&self, task: u32) -> Option<&Task> {
        self.chunks.get(&(task / TASKS_PER_CHUNK))?.tasks.get((task % TASKS_PER_CHUNK) as usize)
    }

    /// A task by its number, if its chunk is in memory.
    pub fn task_mut(&mut self, task: u32) -> Option<&mut Task> {
        self.chunks
            .get_mut(&(task / TASKS_PER_CHUNK))?
            .tasks
            .get_mut((task % TASKS_PER_CHUNK) as usize)
    }

    /// The chunk of a task, if it is in memory.
    pub fn chunk_of(&mut self, task: u32) -> Option<&mut Chunk> {
        self.chunks.get_mut(&(task / TASKS_PER_CHUNK))
    }

    /// Whether the job's own record says that the chunk of this task is done.
    pub fn in_done_chunk(&self, task: u32) -> bool {
        let chunk = task / TASKS_PER_CHUNK;
        self.done_chunks.iter().any(|(first, last)| (*first..=*last).contains(&chunk))
    }

    /// The answer to a status query.
    pub fn answer(&self) -> JobAnswer {
        let status = match self.state {
            JobState::Done => JobStatus::Done,
            JobState::Aborted => JobStatus::Aborted,
            _ if self.on > 0 => JobStatus::Running,
            _ => JobStatus::Queued,
        };
        let has_counts = matches!(status, JobStatus::Queued | JobStatus::Running);
        let count = |tasks: u32| has_counts.then_some(tasks);
        JobAnswer { id: self.id.clone(), status, done: count(self.done), running: count(self.on) }
    }

    /// The tasks of all chunks in memory with their numbers, in order.
    pub fn tasks(&self) -> impl Iterator<Item = (u32, &Task)> {
        self.chunks.iter().flat_map(|(chunk_number, chunk)| {
            let first_task = chunk_number * TASKS_PER_CHUNK;
            chunk.tasks.iter().enumerate().map(move |(at, task)| (first_task + at as u32, task))
        })
    }

    /// Number of tasks in a chunk.
    pub fn chunk_len(&self, chunk: u32) -> u32 {
        (self.spec.tasks - chunk * TASKS_PER_CHUNK).min(TASKS_PER_CHUNK)
    }

    /// Whether its next task may be placed: its chunk is open, or another may be opened. This
    /// bounds the memory and the records that a large job array takes.
    pub fn may_open(&self) -> bool {
        self.chunks.contains_key(&(self.next / TASKS_PER_CHUNK))
            || self.chunks.values().filter(|chunk| !chunk.whole()).count() < MAX_OPEN_CHUNKS
    }

    /// The ranges of done chunks once these are done as well.
    pub fn done_chunks_with(&self, more: &[u32]) -> Vec<(u32, u32)> {
        let recorded = self.done_chunks.iter().flat_map(|(first, last)| *first..=*last);
        let mut all: Vec<u32> = recorded.chain(more.iter().copied()).collect();
        all.sort_unstable();
        ranges(all)
    }

    /// Number of chunks that the job's tasks make.
    pub fn chunk_count(&self) -> u32 {
        self.spec.tasks.div_ceil(TASKS_PER_CHUNK)
    }

    /// Moves a task from one state to another in the job's counts.
    pub(super) fn count_transition(&mut self, old: &TaskState, new: &TaskState) {
        let adjust = |count: &mut u32, before: bool, after: bool| {
            *count = *count + u32::from(after) - u32::from(before);
        };
        adjust(&mut self.waiting, old.is_waiting(), new.is_waiting());
        adjust(&mut self.on, old.is_confirmed_on_machine(), new.is_confirmed_on_machine());
        adjust(&mut self.done, old.is_done(), new.is_done());
        adjust(&mut self.bound, old.machine().is_some(), new.machine().is_some());
    }
}

impl Controller {
    /// A job as it enters memory, without tasks or dependencies. `at_ms` is the time of day of its
    /// submission.
    pub(crate) fn new_job(
        &self,
        spec: JobSpec,
        team: usize,
        state: JobState,
        revision: u64,
        at_ms: u64,
    ) -> Job {
        let ratio = self.ratio_of(&spec);
        // `quartzgate-loadtest service-report --logs` reads this line and `begun`.
        tracing::debug!(job = %spec.id, class = %spec.class, tasks = spec.tasks, "job entered");
        Job::new(spec, team, state, revision, at_ms, self.context.now.steady_ms, ratio)
    }
}
