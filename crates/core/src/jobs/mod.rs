//! Jobs and tasks in the leader's memory, and the functions that change their states.
//!
//! The tables hold what the leader knows about each accepted job that has not ended. Every change
//! of a task's state goes through [`Controller::set_task_state`] and every change of a job's state
//! through [`Controller::set_job_state`]: they keep the counts of jobs, teams and machines equal to
//! what the states say.

pub(crate) mod dependencies;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use quartzgate_wire::msg::{JobAnswer, JobKind, JobSpec, JobStatus, Priority, TaskStatus};

use crate::controller::Controller;
use crate::fleet::fault_attribution::JobHealth;
use crate::fleet::machines::{MachineState, Machines, Resources};
use crate::ids::{ImageKey, JobIndex, MachineIndex, TaskKey};
use crate::jobs::dependencies::Deadline;
use crate::placement::placer::MAX_OPEN_CHUNKS;
use crate::storage::records::{ranges, PlacementRecord, ProbeSet, RecordedStatus, TASKS_PER_CHUNK};

/// The state of a task, as far as this leader knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskState {
    /// Not placed: in no placement record, on no machine.
    Unplaced,
    /// Placed and provably on no machine: may be bound to one of its probes.
    Waiting,
    /// Possibly on a machine where an earlier leader could have started it.
    Unproven,
    /// Bound: the command to start it has been sent, or is about to be.
    Starting { machine: MachineIndex, attempt: u64 },
    /// Reported by its machine, since this moment of the steady clock.
    On { machine: MachineIndex, attempt: u64, status: TaskStatus, since_ms: u64 },
    /// Commanded to stop, still on its machine; `grace` if it may save a checkpoint first.
    Stopping { machine: MachineIndex, attempt: u64, grace: bool },
    /// Completed; this is durable once the record of its chunk has reached this version.
    Done { version: u32 },
    /// Its job was aborted and it is provably on no machine.
    Dropped,
}

impl TaskState {
    /// The machine that the task occupies, as far as this leader knows, and the attempt.
    pub fn machine(&self) -> Option<(MachineIndex, u64)> {
        match *self {
            TaskState::Starting { machine, attempt }
            | TaskState::On { machine, attempt, .. }
            | TaskState::Stopping { machine, attempt, .. } => Some((machine, attempt)),
            _ => None,
        }
    }

    /// Whether it counts against the team's limit: placed, and not provably ended.
    pub fn reserved(&self) -> bool {
        !matches!(self, TaskState::Unplaced | TaskState::Done { .. } | TaskState::Dropped)
    }

    fn is_waiting(&self) -> bool {
        matches!(self, TaskState::Waiting)
    }

    fn is_unproven(&self) -> bool {
        matches!(self, TaskState::Unproven)
    }

    /// Confirmed on a machine by a heartbeat, and not yet known to have left it.
    fn is_confirmed_on_machine(&self) -> bool {
        matches!(self, TaskState::On { .. } | TaskState::Stopping { .. })
    }

    fn is_done(&self) -> bool {
        matches!(self, TaskState::Done { .. })
    }
}

/// A machine that a task may be bound to once the record that names it is durable.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// The machine.
    pub machine: MachineIndex,
    /// The first version of the chunk's record that names this machine.
    pub version: u32,
    /// An earlier leader may have started the task here.
    pub unproven: bool,
}

/// One task of a job.
#[derive(Clone, Debug)]
pub struct Task {
    /// Changed by [`Controller::set_task_state`] alone.
    pub state: TaskState,
    /// The machines whose queues it is in, or will be once it waits.
    pub probes: Vec<Probe>,
    /// Zone that placement has chosen, for jobs with a zone rule.
    pub zone: Option<u16>,
    /// How often another task was bound before this one in a queue.
    pub slack: u32,
    /// Sequence number of its arrival, growing over all jobs.
    pub arrived: u64,
    /// Steady clock at its latest change of state.
    pub since_ms: u64,
    /// Attempts that have failed.
    pub failures: u32,
    /// Steady clock before which it is not started again (back-off).
    pub not_before_ms: u64,
}

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
    pub acked: u32,
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
    Doubtful,
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
    pub fn lives(self) -> bool {
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
    pub waits_on: BTreeSet<String>,
    /// Effective priority, see [`dependencies`].
    pub priority: Priority,
    /// Effective deadline, see [`dependencies`].
    pub due: Option<Deadline>,
    /// The effective deadline is missed unless it starts now; updated each heartbeat round.
    pub pressed: bool,
    /// Chunks with tasks that were placed, by number.
    pub chunks: BTreeMap<u32, Chunk>,
    /// Ranges, both ends included, of chunks that the job's own record says are done.
    pub done_chunks: Vec<(u32, u32)>,
    /// A write or a read of the job's own record is in flight.
    pub busy: bool,
    /// Another controller has stopped a task of it: no task starts before its record was read.
    pub unsure: bool,
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
    pub errors_on: Vec<MachineIndex>,
    /// Whether its failures are attributed to the job itself.
    pub health: JobHealth,
    /// Trial starts since its failures were attributed to it.
    pub trials: u32,
    /// Steady clock of the next trial start.
    pub trial_ms: u64,
    /// Tasks that occupy a machine, or are about to.
    pub bound: u32,
    /// Steady clock of its abort; before that, of its entry into memory.
    pub aborted_ms: u64,
    /// Steady clock before which its record is not written, since the store refused it.
    pub deferred_until_ms: u64,
    /// Steady clock at which its record was last read again.
    pub read_ms: u64,
    /// Objectives of its class that it can't meet any more; updated each heartbeat round.
    pub lost: u8,
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
            waits_on: BTreeSet::new(),
            due: None,
            pressed: false,
            chunks: BTreeMap::new(),
            done_chunks: Vec::new(),
            busy: false,
            unsure: false,
            page: None,
            own: false,
            zone: None,
            done: 0,
            on: 0,
            waiting: 0,
            next: 0,
            placement_from_ms: 0,
            errors_on: Vec::new(),
            health: JobHealth::Untried,
            trials: 0,
            trial_ms: 0,
            bound: 0,
            aborted_ms: now_ms,
            deferred_until_ms: 0,
            read_ms: now_ms,
            lost: 0,
            ratio,
        };
        job.due = job.own_due();
        job
    }

    /// Resources that one task of it needs.
    pub fn resources(&self) -> Resources {
        Resources { cpus: self.spec.cpus, gpus: self.spec.gpus, memory_gb: self.spec.memory_gb }
    }

    /// Fraction of its tasks' resources that preemption can free when it has this priority. The
    /// tasks of a gang are not preempted singly, unless the gang has the lowest priority.
    pub fn gives_way(&self, priority: Priority) -> f64 {
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
    fn count_transition(&mut self, old: &TaskState, new: &TaskState) {
        let adjust = |count: &mut u32, before: bool, after: bool| {
            *count = *count + u32::from(after) - u32::from(before);
        };
        adjust(&mut self.waiting, old.is_waiting(), new.is_waiting());
        adjust(&mut self.on, old.is_confirmed_on_machine(), new.is_confirmed_on_machine());
        adjust(&mut self.done, old.is_done(), new.is_done());
        adjust(&mut self.bound, old.machine().is_some(), new.machine().is_some());
    }
}

/// All jobs in memory, by index and by identifier. Indexes grow and are not used again.
#[derive(Default)]
pub struct Jobs {
    table: BTreeMap<JobIndex, Job>,
    by_id: HashMap<String, JobIndex>,
    next: u32,
}

impl Jobs {
    /// A job by its index.
    pub fn get(&self, index: JobIndex) -> Option<&Job> {
        self.table.get(&index)
    }

    /// A job by its index.
    pub fn get_mut(&mut self, index: JobIndex) -> Option<&mut Job> {
        self.table.get_mut(&index)
    }

    /// The index of the job with this identifier.
    pub fn find(&self, id: &str) -> Option<JobIndex> {
        self.by_id.get(id).copied()
    }

    /// All jobs in the order of their indexes.
    pub fn iter(&self) -> impl Iterator<Item = (JobIndex, &Job)> {
        self.table.iter().map(|(index, job)| (*index, job))
    }

    /// All indexes in order.
    pub fn indexes(&self) -> Vec<JobIndex> {
        self.table.keys().copied().collect()
    }

    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Enters a job under the next index.
    pub fn insert(&mut self, job: Job) -> JobIndex {
        let index = JobIndex(self.next);
        self.next += 1;
        self.by_id.insert(job.id.clone(), index);
        self.table.insert(index, job);
        index
    }

    /// Removes a job.
    pub fn remove(&mut self, index: JobIndex) -> Option<Job> {
        let job = self.table.remove(&index)?;
        self.by_id.remove(&job.id);
        Some(job)
    }

    /// A task by its key, if its chunk is in memory.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.get(key.job)?.task(key.task)
    }

    /// A task by its key, if its chunk is in memory.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.get_mut(key.job)?.task_mut(key.task)
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
        tracing::debug!(job = %spec.id, class = %spec.class, tasks = spec.tasks, "job entered");
        Job::new(spec, team, state, revision, at_ms, self.context.now.steady_ms, ratio)
    }

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
            acked: 0,
            revision: 0,
            pieces: 0,
            inline: false,
            deferred_until_ms: 0,
        }
    }

    /// The one function that changes a task's state. It keeps the machines' used resources, the
    /// teams' usage and the jobs' counts consistent with it.
    pub(crate) fn set_task_state(&mut self, key: TaskKey, state: TaskState) {
        let now_ms = self.context.now.steady_ms;
        let Some(job) = self.jobs.get_mut(key.job) else { return };
        let Some(task) = job.task_mut(key.task) else { return };
        let old = std::mem::replace(&mut task.state, state);
        if std::mem::discriminant(&old) != std::mem::discriminant(&state) {
            task.since_ms = now_ms;
        }
        job.count_transition(&old, &state);
        self.update_team_usage(key.job, &old, &state);
        if old.machine() != state.machine() {
            self.update_machine_usage(key, &old, &state);
        }
        if state == TaskState::Dropped {
            self.record_writer.touch_job(key.job);
        }
        if state.is_done() && !old.is_done() {
            self.set_job_health(key.job, JobHealth::Proven);
        }
        if state.is_waiting() && !old.is_waiting() {
            self.enqueue(key);
        }
    }

    /// Moves a task's resources between the sums of its team.
    fn update_team_usage(&mut self, job_index: JobIndex, old: &TaskState, new: &TaskState) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let resources = job.resources();
        let usage = &mut self.teams[job.team];
        let sign = |counted: bool| if counted { 1.0 } else { -1.0 };
        if old.is_unproven() != new.is_unproven() {
            usage.unproven.add(&resources, sign(new.is_unproven()));
        }
        if old.reserved() != new.reserved() {
            usage.reserved.add(&resources, sign(new.reserved()));
            self.placement_due = true;
        }
        if old.machine() != new.machine() {
            if old.machine().is_some() {
                usage.placed.add(&resources, -1.0);
            }
            if new.machine().is_some() {
                usage.placed.add(&resources, 1.0);
            }
        }
    }

    /// Moves a task from the machine of its old state to that of its new one.
    fn update_machine_usage(&mut self, key: TaskKey, old: &TaskState, new: &TaskState) {
        let Some(job) = self.jobs.get(key.job) else { return };
        let resources = job.resources();
        let priority = job.priority as usize;
        let preemptible = job.gives_way(job.priority);
        if let Some((machine_index, _)) = old.machine() {
            if let Some(machine) = self.machines.get_mut(machine_index) {
                machine.tasks.remove(&key);
                machine.used.add(&resources, -1.0);
                machine.preemptible_by_priority[priority].add(&resources, -preemptible);
                if machine.tasks.is_empty() {
                    // Rounding errors of many additions end here.
                    (machine.used, machine.preemptible_by_priority) = Default::default();
                    machine.idle_since_ms = self.context.now.steady_ms;
                }
            }
            self.machines_to_dispatch.insert(machine_index);
        }
        if let Some((machine_index, attempt)) = new.machine() {
            if let Some(machine) = self.machines.get_mut(machine_index) {
                machine.tasks.insert(key, attempt);
                machine.used.add(&resources, 1.0);
                machine.preemptible_by_priority[priority].add(&resources, preemptible);
            }
        }
    }

    /// The one function that changes a job's state. `Live` becomes `Waiting` for a job with
    /// dependencies that have not ended, and a recorded end is final: no outcome of a call that
    /// was in flight brings the job back.
    pub(crate) fn set_job_state(&mut self, ix: JobIndex, state: JobState) {
        let Some(job) = self.jobs.get_mut(ix) else { return };
        let state = match state {
            JobState::Live if !job.waits_on.is_empty() => JobState::Waiting,
            other => other,
        };
        if job.state == state || matches!(job.state, JobState::Aborted | JobState::Done) {
            return;
        }
        let old = std::mem::replace(&mut job.state, state);
        match state {
            JobState::Aborted => self.on_job_aborted(ix),
            JobState::Done => self.on_job_done(ix),
            // The user needs none of its tasks any more, whether or not the abort is recorded.
            JobState::Doubtful => self.stop_tasks(ix),
            JobState::Live if old == JobState::Aborting => self.touch_all(),
            JobState::Live if old == JobState::Waiting => self.on_dependencies_done(ix),
            _ => {}
        }
    }

    /// Drops the tasks that are on no machine, and stops the others.
    fn on_job_aborted(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get(job_index) else { return };
        tracing::info!(job = %job.id, "job aborted");
        self.clear_unattributed_failures(job_index);
        let Some(job) = self.jobs.get_mut(job_index) else { return };
        job.aborted_ms = self.context.now.steady_ms;
        let is_idle = |task: &Task| matches!(task.state, TaskState::Waiting | TaskState::Unplaced);
        let idle_tasks: Vec<u32> =
            job.tasks().filter(|(_, task)| is_idle(task)).map(|(number, _)| number).collect();
        for task in idle_tasks {
            self.set_task_state(TaskKey { job: job_index, task }, TaskState::Dropped);
        }
        self.stop_tasks(job_index);
        self.remember_terminal_state(job_index, RecordedStatus::Aborted);
        self.unlink(job_index);
    }

    fn on_job_done(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let now_ms = self.context.now.wall_ms;
        tracing::debug!(
            job = %job.id,
            class = %job.spec.class,
            tasks = job.spec.tasks,
            age_ms = now_ms.saturating_sub(job.at_ms),
            since_ready_ms = now_ms.saturating_sub(job.ready_ms),
            deadline_s = job.spec.deadline_s,
            dependencies = ?job.spec.dependencies,
            "job done"
        );
        self.remember_terminal_state(job_index, RecordedStatus::Done);
    }

    /// Its last dependency is recorded as done: its tasks may be placed.
    fn on_dependencies_done(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get_mut(job_index) else { return };
        job.ready_ms = self.context.now.wall_ms;
        job.read_ms = self.context.now.steady_ms;
        self.record_writer.touch_job(job_index);
        self.placement_due = true;
        self.preempt_due = true;
    }

    /// Sends commands to the machines that hold tasks of a job that must not run any more.
    fn stop_tasks(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let occupied = job.tasks().filter_map(|(_, task)| task.state.machine());
        self.machines_to_command.extend(occupied.map(|(machine, _)| machine));
    }

    fn remember_terminal_state(&mut self, job_index: JobIndex, status: RecordedStatus) {
        if let Some(id) = self.jobs.get(job_index).map(|job| job.id.clone()) {
            self.learn_terminal_state(&id, status);
        }
    }

    /// A task has left its machine without being done: it waits again, or is dropped with its
    /// aborted job. It stays unproven while an earlier leader may have started it elsewhere.
    pub(crate) fn return_to_queue(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get(key.job) else { return };
        let aborted = job.state == JobState::Aborted;
        let Some(task) = job.task(key.task) else { return };
        let next = if task.probes.iter().any(|probe| probe.unproven) {
            TaskState::Unproven
        } else if aborted {
            TaskState::Dropped
        } else {
            TaskState::Waiting
        };
        self.set_task_state(key, next);
    }

    /// A task is known to be done, from whatever source. Idempotent.
    pub(crate) fn task_done(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get_mut(key.job) else { return };
        if matches!(job.state, JobState::Done | JobState::Finishing) {
            return;
        }
        let Some(chunk) = job.chunk_of(key.task) else { return };
        let version = chunk.version + 1;
        let task = chunk.tasks.get((key.task % TASKS_PER_CHUNK) as usize);
        if task.is_none_or(|task| task.state.is_done()) {
            return;
        }
        self.set_task_state(key, TaskState::Done { version });
        self.mark_dirty(key.job, key.task / TASKS_PER_CHUNK);
        let completed = self.jobs.get(key.job).filter(|job| job.done >= job.spec.tasks);
        if completed.is_some_and(|job| self.dependency_graph.needed(&job.id)) {
            self.record_writer.hurry();
        }
    }

    /// The placement record of a chunk according to memory, under the chunk's next version.
    pub(crate) fn placement_record(&mut self, ix: JobIndex, chunk: u32) -> Option<PlacementRecord> {
        let epoch = self.epoch();
        let job = self.jobs.get_mut(ix)?;
        let has_zone_rule = job.spec.spread || job.spec.together;
        let first_task = chunk * TASKS_PER_CHUNK;
        let chunk = job.chunks.get_mut(&chunk)?;
        chunk.version += 1;
        chunk.blocks_starts = false;
        let done = done_tasks(chunk, first_task);
        let mut record = PlacementRecord { epoch, done, ..Default::default() };
        add_probe_sets(&mut record, chunk, first_task, &self.machines);
        if has_zone_rule {
            record.zones = zone_names(chunk, &self.context.config.platform.params.zones);
        }
        Some(record)
    }
}

/// Ranges of the numbers of a chunk's done tasks.
fn done_tasks(chunk: &Chunk, first_task: u32) -> Vec<(u32, u32)> {
    let numbered = chunk.tasks.iter().enumerate();
    let done = numbered.filter(|(_, task)| task.state.is_done());
    ranges(done.map(|(at, _)| first_task + at as u32))
}

/// Adds the machines of each reserved task to a record; neighbours with the same ones share a set.
fn add_probe_sets(
    record: &mut PlacementRecord,
    chunk: &Chunk,
    first_task: u32,
    machines: &Machines,
) {
    let mut positions: BTreeMap<MachineIndex, u32> = BTreeMap::new();
    for (at, task) in chunk.tasks.iter().enumerate() {
        if !task.state.reserved() {
            continue;
        }
        let number = first_task + at as u32;
        let mut set = Vec::with_capacity(task.probes.len());
        for probe in &task.probes {
            let known = machines.get(probe.machine);
            // A terminated machine holds no task: the next leader need not ask it.
            let Some(machine) = known.filter(|m| m.state != MachineState::Terminated) else {
                continue;
            };
            let position = *positions.entry(probe.machine).or_insert_with(|| {
                record.machines.push(machine.name.clone());
                record.machines.len() as u32 - 1
            });
            set.push(position);
        }
        set.sort_unstable();
        match record.sets.last_mut() {
            Some(last) if last.to + 1 == number && last.machines == set => last.to = number,
            _ => record.sets.push(ProbeSet { from: number, to: number, machines: set }),
        }
    }
}

/// Names of the zones of a chunk's tasks; empty where none was chosen.
fn zone_names(chunk: &Chunk, zones: &[String]) -> Vec<String> {
    let name = |zone: u16| zones[zone as usize].clone();
    chunk.tasks.iter().map(|task| task.zone.map_or(String::new(), name)).collect()
}
