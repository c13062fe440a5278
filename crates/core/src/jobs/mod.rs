//! Jobs and tasks in the leader's memory, and the one function that changes a
//! task's state.

pub(crate) mod dependencies;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use quartzgate_wire::msg::{JobAnswer, JobKind, JobSpec, JobStatus, Priority, TaskStatus};

use crate::controller::Controller;
use crate::fleet::fault_attribution::JobHealth;
use crate::fleet::machines::{MachineState, Resources};
use crate::ids::{ImageKey, JobIndex, MachineIndex, TaskKey};
use crate::jobs::dependencies::Deadline;
use crate::placement::placer::MAX_OPEN_CHUNKS;
use crate::storage::records::{ranges, PlacementRecord, ProbeSet, RecordedStatus, TASKS_PER_CHUNK};

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskState {
    /// Not dealt: in no share, on no machine.
    Unplaced,
    /// Dealt and provably on no machine: may be bound.
    Waiting,
    /// May be on a machine where an earlier owner could have started it.
    Unproven,
    /// Bound: its start has been ordered, or is about to be.
    Starting { machine: MachineIndex, attempt: u64 },
    /// Reported by its machine.
    On { machine: MachineIndex, attempt: u64, status: TaskStatus, since_ms: u64 },
    /// Told to stop, still on its machine.
    Stopping { machine: MachineIndex, attempt: u64, grace: bool },
    /// Completed; on record once its chunk's record has reached this version.
    Done { version: u32 },
    /// Its job was aborted and it is provably on no machine.
    Dropped,
}

impl TaskState {
    /// Machine that the task occupies, as far as this owner knows.
    pub fn machine(&self) -> Option<(MachineIndex, u64)> {
        match *self {
            TaskState::Starting { machine, attempt }
            | TaskState::On { machine, attempt, .. }
            | TaskState::Stopping { machine, attempt, .. } => Some((machine, attempt)),
            _ => None,
        }
    }

    /// Counts against the team's limit: dealt, and not provably ended.
    pub fn reserved(&self) -> bool {
        !matches!(self, TaskState::Unplaced | TaskState::Done { .. } | TaskState::Dropped)
    }
}

/// A machine that a task may be bound to once the record that names it stands.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    pub machine: MachineIndex,
    /// The chunk's version from which on the record names this machine.
    pub version: u32,
    /// An earlier owner may have started the task here.
    pub unproven: bool,
}

#[derive(Clone, Debug)]
pub struct Task {
    pub state: TaskState,
    pub probes: Vec<Probe>,
    /// Zone fixed by the deal, for jobs with a zone rule.
    pub zone: Option<u16>,
    pub slack: u32,
    pub arrived: u64,
    pub since_ms: u64,
    pub failures: u32,
    pub not_before_ms: u64,
}

#[derive(Clone, Debug)]
pub struct Chunk {
    pub tasks: Vec<Task>,
    /// The record lags behind memory, and since when.
    pub dirty: bool,
    pub dirty_ms: u64,
    /// A write or a read of the record is under way.
    pub busy: bool,
    /// Waiting tasks were given machines that the record does not name yet.
    pub blocks_starts: bool,
    /// Version of the newest record sent, and of the newest known to stand.
    pub version: u32,
    pub acked: u32,
    pub revision: u64,
    /// Keys over which the record that stands is spread, all with this stamp.
    pub pieces: u32,
    /// The record that stands is within the job's own; there are no keys and no stamp.
    pub inline: bool,
    /// The record is too large to be written; it is not tried again before then.
    pub deferred_until_ms: u64,
}

impl Chunk {
    /// All of its tasks are done.
    pub fn whole(&self) -> bool {
        self.tasks.iter().all(|t| matches!(t.state, TaskState::Done { .. }))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// The acceptance is being recorded.
    Recording,
    /// Accepted; not all jobs that it needs are known to be done on record.
    Waiting,
    Live,
    /// Its abort is being recorded; until that is known nothing starts.
    Aborting,
    /// Its abort may have been recorded, now or later: its tasks are stopped, and the abort is
    /// recorded again until it is known to stand.
    Doubtful,
    /// Aborted on record; shares remain until no task is on a machine.
    Aborted,
    /// All tasks are done; this is being recorded.
    Finishing,
    Done,
    /// Its record can't be read: left alone, loudly.
    Unreadable,
}

impl JobState {
    /// Accepted, and not ended on record as far as is known.
    pub fn lives(self) -> bool {
        matches!(self, JobState::Live | JobState::Waiting)
    }
}

#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub spec: JobSpec,
    pub image: ImageKey,
    pub team: usize,
    pub state: JobState,
    pub revision: u64,
    pub at_ms: u64,
    /// Time of day from which on it could run: its acceptance, or the last end of those
    /// that it needs.
    pub ready_ms: u64,
    /// Jobs that it needs and whose ends are not known to be on record.
    pub waits_on: BTreeSet<String>,
    /// Priority and deadline that it counts as having; see `chains.rs`.
    pub priority: Priority,
    pub due: Option<Deadline>,
    /// What it works towards is in danger unless it starts now, looked at each round.
    pub pressed: bool,
    pub chunks: BTreeMap<u32, Chunk>,
    pub done_chunks: Vec<(u32, u32)>,
    /// A write or a read of the job's own record is under way.
    pub busy: bool,
    /// Somebody else has stopped a task of it: its record is read before another starts.
    pub unsure: bool,
    /// Page that holds it, unless it has a record of its own.
    pub page: Option<u64>,
    /// It is in a page and is to get a record of its own.
    pub own: bool,
    /// Zone fixed for the whole job (`together`).
    pub zone: Option<u16>,
    pub done: u32,
    pub on: u32,
    /// Tasks dealt and waiting for a machine.
    pub waiting: u32,
    /// First task that has not been dealt.
    pub next: u32,
    /// No machine could take a task of it: not dealt again before then.
    pub placement_from_ms: u64,
    /// Machines on which a task of it failed.
    pub errors_on: Vec<MachineIndex>,
    pub health: JobHealth,
    /// Trials since it was taken for mistaken, and when the next is due.
    pub trials: u32,
    pub trial_ms: u64,
    /// Tasks that occupy a machine, or are about to.
    pub bound: u32,
    pub aborted_ms: u64,
    /// Its record was refused by the state service; it is not tried again before then.
    pub deferred_until_ms: u64,
    /// When its record was last read again.
    pub read_ms: u64,
    /// How many of its class's deadlines it has lost, looked at each report round.
    pub lost: u8,
    /// Highest demand/supply ratio among its constraints, weighed each report round.
    pub ratio: f64,
}

impl Job {
    pub fn resources(&self) -> Resources {
        Resources { cpus: self.spec.cpus, gpus: self.spec.gpus, memory_gb: self.spec.memory_gb }
    }

    /// Share of its tasks' room that others may count on when it has this priority: a
    /// gang does not make way in part, unless it is of the lowest.
    pub fn gives_way(&self, priority: Priority) -> f64 {
        f64::from(u8::from(self.spec.shape != JobKind::Gang || priority == Priority::Low))
    }

    /// Work that the job still needs, by its owner's estimate, in seconds.
    pub fn remaining_s(&self) -> f64 {
        f64::from(self.spec.tasks.saturating_sub(self.done)) * self.spec.estimate_s
    }

    pub fn task(&self, task: u32) -> Option<&Task> {
        self.chunks.get(&(task / TASKS_PER_CHUNK))?.tasks.get((task % TASKS_PER_CHUNK) as usize)
    }

    pub fn task_mut(&mut self, task: u32) -> Option<&mut Task> {
        self.chunks
            .get_mut(&(task / TASKS_PER_CHUNK))?
            .tasks
            .get_mut((task % TASKS_PER_CHUNK) as usize)
    }

    pub fn chunk_of(&mut self, task: u32) -> Option<&mut Chunk> {
        self.chunks.get_mut(&(task / TASKS_PER_CHUNK))
    }

    pub fn in_done_chunk(&self, task: u32) -> bool {
        let c = task / TASKS_PER_CHUNK;
        self.done_chunks.iter().any(|(a, b)| (*a..=*b).contains(&c))
    }

    pub fn answer(&self) -> JobAnswer {
        let status = match self.state {
            JobState::Done => JobStatus::Done,
            JobState::Aborted => JobStatus::Aborted,
            _ if self.on > 0 => JobStatus::Running,
            _ => JobStatus::Queued,
        };
        let count = |n| matches!(status, JobStatus::Queued | JobStatus::Running).then_some(n);
        JobAnswer { id: self.id.clone(), status, done: count(self.done), running: count(self.on) }
    }

    pub fn tasks(&self) -> impl Iterator<Item = (u32, &Task)> {
        self.chunks.iter().flat_map(|(c, chunk)| {
            chunk.tasks.iter().enumerate().map(move |(i, t)| (c * TASKS_PER_CHUNK + i as u32, t))
        })
    }

    /// Number of tasks in a chunk.
    pub fn chunk_len(&self, chunk: u32) -> u32 {
        (self.spec.tasks - chunk * TASKS_PER_CHUNK).min(TASKS_PER_CHUNK)
    }

    /// Whether its next task may be dealt: its chunk is open, or another may be opened.
    pub fn may_open(&self) -> bool {
        self.chunks.contains_key(&(self.next / TASKS_PER_CHUNK))
            || self.chunks.values().filter(|c| !c.whole()).count() < MAX_OPEN_CHUNKS
    }

    /// The chunks that are folded, once these are as well.
    pub fn done_chunks_with(&self, more: &[u32]) -> Vec<(u32, u32)> {
        let folded = self.done_chunks.iter().flat_map(|(a, b)| *a..=*b);
        let mut all: Vec<u32> = folded.chain(more.iter().copied()).collect();
        all.sort_unstable();
        ranges(all)
    }

    /// How many chunks the job's tasks make.
    pub fn chunk_count(&self) -> u32 {
        self.spec.tasks.div_ceil(TASKS_PER_CHUNK)
    }
}

#[derive(Default)]
pub struct Jobs {
    table: BTreeMap<JobIndex, Job>,
    by_id: HashMap<String, JobIndex>,
    next: u32,
}

impl Jobs {
    pub fn get(&self, ix: JobIndex) -> Option<&Job> {
        self.table.get(&ix)
    }

    pub fn get_mut(&mut self, ix: JobIndex) -> Option<&mut Job> {
        self.table.get_mut(&ix)
    }

    pub fn find(&self, id: &str) -> Option<JobIndex> {
        self.by_id.get(id).copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = (JobIndex, &Job)> {
        self.table.iter().map(|(ix, j)| (*ix, j))
    }

    pub fn indexes(&self) -> Vec<JobIndex> {
        self.table.keys().copied().collect()
    }

    pub fn len(&self) -> usize {
        self.table.len()
    }

    pub fn insert(&mut self, job: Job) -> JobIndex {
        let ix = JobIndex(self.next);
        self.next += 1;
        self.by_id.insert(job.id.clone(), ix);
        self.table.insert(ix, job);
        ix
    }

    pub fn remove(&mut self, ix: JobIndex) -> Option<Job> {
        let job = self.table.remove(&ix)?;
        self.by_id.remove(&job.id);
        Some(job)
    }

    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.get(key.job)?.task(key.task)
    }

    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.get_mut(key.job)?.task_mut(key.task)
    }
}

impl Controller {
    /// A job as it first stands in memory.
    pub(crate) fn new_job(
        &self,
        spec: JobSpec,
        team: usize,
        state: JobState,
        revision: u64,
        at_ms: u64,
    ) -> Job {
        let ratio = self.ratio_of(&spec);
        let priority = spec.priority;
        tracing::debug!(job = %spec.id, class = %spec.class, tasks = spec.tasks, "known");
        let mut job = Job {
            id: spec.id.clone(),
            image: ImageKey::of(&spec.image),
            spec,
            team,
            state,
            revision,
            at_ms,
            ready_ms: at_ms,
            waits_on: BTreeSet::new(),
            priority,
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
            aborted_ms: self.context.now.steady_ms,
            deferred_until_ms: 0,
            read_ms: self.context.now.steady_ms,
            lost: 0,
            ratio,
        };
        job.due = job.own_due();
        job
    }

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

    /// The one function that changes a task's state. It keeps the machines' room,
    /// the teams' licences and the jobs' counts in step.
    pub(crate) fn set_task_state(&mut self, key: TaskKey, state: TaskState) {
        let now = self.context.now.steady_ms;
        let Some(job) = self.jobs.get_mut(key.job) else { return };
        let (room, team) = (job.resources(), job.team);
        let (priority, preemptible_by_priority) =
            (job.priority as usize, job.gives_way(job.priority));
        let Some(task) = job.task_mut(key.task) else { return };
        let old = std::mem::replace(&mut task.state, state);
        let moved = std::mem::discriminant(&old) != std::mem::discriminant(&state);
        if moved {
            task.since_ms = now;
        }
        let waits = |s: &TaskState| matches!(s, TaskState::Waiting);
        let on = |s: &TaskState| matches!(s, TaskState::On { .. } | TaskState::Stopping { .. });
        let done = |s: &TaskState| matches!(s, TaskState::Done { .. });
        let unproven = |s: &TaskState| matches!(s, TaskState::Unproven);
        if unproven(&old) != unproven(&state) {
            let sign = if unproven(&state) { 1.0 } else { -1.0 };
            self.teams[team].unproven.add(&room, sign);
        }
        job.waiting = job.waiting + u32::from(waits(&state)) - u32::from(waits(&old));
        job.on = job.on + u32::from(on(&state)) - u32::from(on(&old));
        job.done = job.done + u32::from(done(&state)) - u32::from(done(&old));
        let bound = |s: &TaskState| u32::from(s.machine().is_some());
        job.bound = job.bound + bound(&state) - bound(&old);
        if old.reserved() != state.reserved() {
            let sign = if state.reserved() { 1.0 } else { -1.0 };
            self.teams[team].reserved.add(&room, sign);
            self.placement_due = true;
        }
        if old.machine() != state.machine() {
            if let Some((ix, _)) = old.machine() {
                self.teams[team].placed.add(&room, -1.0);
                if let Some(m) = self.machines.get_mut(ix) {
                    m.tasks.remove(&key);
                    m.used.add(&room, -1.0);
                    m.preemptible_by_priority[priority].add(&room, -preemptible_by_priority);
                    if m.tasks.is_empty() {
                        (m.used, m.preemptible_by_priority) = Default::default();
                        m.idle_since_ms = now;
                    }
                }
                self.machines_to_dispatch.insert(ix);
            }
            if let Some((ix, attempt)) = state.machine() {
                self.teams[team].placed.add(&room, 1.0);
                if let Some(m) = self.machines.get_mut(ix) {
                    m.tasks.insert(key, attempt);
                    m.used.add(&room, 1.0);
                    m.preemptible_by_priority[priority].add(&room, preemptible_by_priority);
                }
            }
        }
        if state == TaskState::Dropped {
            self.record_writer.touch_job(key.job);
        }
        if done(&state) && !done(&old) {
            self.set_job_health(key.job, JobHealth::Proven);
        }
        if waits(&state) && !waits(&old) {
            self.enqueue(key);
        }
    }

    /// The one function that changes a job's state.
    pub(crate) fn set_job_state(&mut self, ix: JobIndex, state: JobState) {
        let Some(job) = self.jobs.get_mut(ix) else { return };
        // Nothing of it is dealt before all that it needs is done on record.
        let state = match state {
            JobState::Live if !job.waits_on.is_empty() => JobState::Waiting,
            s => s,
        };
        // An end on record is an end: nothing that was under way brings the job back.
        if job.state == state || matches!(job.state, JobState::Aborted | JobState::Done) {
            return;
        }
        let old = std::mem::replace(&mut job.state, state);
        match state {
            JobState::Aborted => {
                tracing::info!(job = %job.id, "aborted");
                self.clear_unattributed_failures(ix);
                let Some(job) = self.jobs.get_mut(ix) else { return };
                job.aborted_ms = self.context.now.steady_ms;
                let idle = |s: TaskState| matches!(s, TaskState::Waiting | TaskState::Unplaced);
                let keys: Vec<u32> =
                    job.tasks().filter(|(_, t)| idle(t.state)).map(|(t, _)| t).collect();
                for task in keys {
                    self.set_task_state(TaskKey { job: ix, task }, TaskState::Dropped);
                }
                self.stop_tasks(ix);
                self.remember_terminal_state(ix, RecordedStatus::Aborted);
                self.unlink(ix);
            }
            JobState::Done => {
                let age_ms = self.context.now.wall_ms.saturating_sub(job.at_ms);
                let (class, tasks, due_s) = (&job.spec.class, job.spec.tasks, job.spec.deadline_s);
                let ready_ms = self.context.now.wall_ms.saturating_sub(job.ready_ms);
                tracing::debug!(job = %job.id, %class, tasks, age_ms, ready_ms, due_s, needs = ?job.spec.dependencies, "done");
                self.remember_terminal_state(ix, RecordedStatus::Done);
            }
            // Whoever has asked to cancel needs none of its tasks, whatever becomes of the record.
            JobState::Doubtful => self.stop_tasks(ix),
            JobState::Live if old == JobState::Aborting => self.touch_all(),
            JobState::Live if old == JobState::Waiting => {
                job.ready_ms = self.context.now.wall_ms;
                job.read_ms = self.context.now.steady_ms;
                self.record_writer.touch_job(ix);
                self.placement_due = true;
                self.preempt_due = true;
            }
            _ => {}
        }
    }

    /// Tells the machines that hold tasks of a job, which is not to run any more.
    fn stop_tasks(&mut self, ix: JobIndex) {
        let Some(job) = self.jobs.get(ix) else { return };
        let machines = job.tasks().filter_map(|(_, t)| t.state.machine()).map(|(m, _)| m);
        self.machines_to_command.extend(machines.collect::<Vec<_>>());
    }

    fn remember_terminal_state(&mut self, ix: JobIndex, status: RecordedStatus) {
        if let Some(id) = self.jobs.get(ix).map(|j| j.id.clone()) {
            self.learn_terminal_state(&id, status);
        }
    }

    /// The record of a chunk as memory stands now; bumps the chunk's version.
    pub(crate) fn placement_record(&mut self, ix: JobIndex, chunk: u32) -> Option<PlacementRecord> {
        let epoch = self.epoch();
        let zones = &self.context.config.platform.params.zones;
        let job = self.jobs.get_mut(ix)?;
        let fixed = job.spec.spread || job.spec.together;
        let c = job.chunks.get_mut(&chunk)?;
        c.version += 1;
        c.blocks_starts = false;
        let mut record = PlacementRecord { epoch, ..Default::default() };
        let first = chunk * TASKS_PER_CHUNK;
        let mut names: BTreeMap<MachineIndex, u32> = BTreeMap::new();
        let done = c
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, t)| matches!(t.state, TaskState::Done { .. }))
            .map(|(i, _)| first + i as u32);
        record.done = ranges(done);
        for (i, task) in c.tasks.iter().enumerate() {
            if !task.state.reserved() {
                continue;
            }
            let n = first + i as u32;
            let mut set = Vec::with_capacity(task.probes.len());
            for p in &task.probes {
                let known = self.machines.get(p.machine);
                // What is gone holds nothing: the next owner need not look for it.
                let Some(m) = known.filter(|m| m.state != MachineState::Terminated) else {
                    continue;
                };
                let at = *names.entry(p.machine).or_insert_with(|| {
                    record.machines.push(m.name.clone());
                    record.machines.len() as u32 - 1
                });
                set.push(at);
            }
            set.sort_unstable();
            match record.sets.last_mut() {
                Some(last) if last.to + 1 == n && last.machines == set => last.to = n,
                _ => record.sets.push(ProbeSet { from: n, to: n, machines: set }),
            }
        }
        if fixed {
            record.zones = c
                .tasks
                .iter()
                .map(|t| t.zone.map_or(String::new(), |z| zones[z as usize].clone()))
                .collect();
        }
        Some(record)
    }

    /// A task has left its machine without being done: it waits again, or is gone
    /// with its job.
    pub(crate) fn return_to_queue(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get(key.job) else { return };
        let aborted = job.state == JobState::Aborted;
        let Some(task) = job.task(key.task) else { return };
        let next = if task.probes.iter().any(|p| p.unproven) {
            TaskState::Unproven
        } else if aborted {
            TaskState::Dropped
        } else {
            TaskState::Waiting
        };
        self.set_task_state(key, next);
    }

    /// A task is done, wherever that was seen.
    pub(crate) fn task_done(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get_mut(key.job) else { return };
        if matches!(job.state, JobState::Done | JobState::Finishing) {
            return;
        }
        let Some(chunk) = job.chunk_of(key.task) else { return };
        let version = chunk.version + 1;
        let seen = matches!(
            chunk.tasks.get((key.task % TASKS_PER_CHUNK) as usize).map(|t| t.state),
            Some(TaskState::Done { .. }) | None
        );
        if seen {
            return;
        }
        self.set_task_state(key, TaskState::Done { version });
        self.mark_dirty(key.job, key.task / TASKS_PER_CHUNK);
        let over = self.jobs.get(key.job).filter(|j| j.done >= j.spec.tasks);
        if over.is_some_and(|j| self.dependency_graph.needed(&j.id)) {
            self.record_writer.hurry();
        }
    }
}
