//! The invariants that are checked at each task start and each write, and those that must hold
//! once all faults have ended. `users` checks the invariants of answers.

use std::collections::{BTreeMap, BTreeSet};

use super::workers::HeldTask;
use super::{job_of, Cluster, Worker, ABORT_DEADLINE_MS, MEMORY_GB};
use quartzgate_core::records::{
    read_placement, BatchRecord, EpochRecord, JobRecord, RecordedStatus, BATCH_PREFIX, EPOCH_KEY,
    FORMAT_KEY, PLACEMENT_PREFIX,
};
use quartzgate_core::{Call, Peer};
use quartzgate_feature_gates::{ActivationRecord, ActivationStatus, FeatureGates};
use quartzgate_wire::from_cbor;
use quartzgate_wire::msg::{
    Change, JobKind, JobSpec, JobStatus, MeshMessage, Order, OrdersRequest, Transaction,
};

/// Longest time that a job may wait, after all faults have ended, while a suitable machine has
/// free capacity.
const MAX_WAIT_MS: u64 = 90_000;
/// Longest time that ready controllers may take, after all faults have ended, to answer queries
/// of an accepted job.
const MAX_ANSWER_MS: u64 = 75_000;
/// Interval at which users query their jobs.
const QUERY_INTERVAL_MS: u64 = 5_000;
/// Prefix of the keys of mailbox records.
const MAILBOX_PREFIX: &str = "view/post/";
/// Tolerance for rounding errors in sums of resources.
const EPSILON: f64 = 1e-6;

/// A controller process that has told a user that a job is aborted.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AbortConfirmation {
    pub node: usize,
    pub incarnation: u32,
    pub job: String,
}

/// A start order that was sent after the abort of its job had been confirmed to a user.
#[derive(Clone, Debug)]
#[allow(dead_code, reason = "shown by assertions that fail")]
pub struct StartAfterAbort {
    pub task: String,
    pub by: usize,
    pub after_ms: u64,
}

/// An attempt whose start a controller has sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SentStart {
    task: String,
    attempt: u64,
}

/// Resources that live tasks use on a machine.
struct Usage {
    cpus: f64,
    memory_gb: f64,
}

impl Cluster {
    /// Asserts that no invariant has been violated so far.
    pub fn assert_no_violations(&self) {
        assert!(self.violations.is_empty(), "seed {}: {:#?}", self.seed, self.violations);
    }

    pub(super) fn violation(&mut self, description: String) {
        self.violations.push(description);
    }

    // Task starts.

    /// Checks the invariants of a task that is about to start on a machine.
    pub(super) fn check_start(&mut self, machine: &str, task: &str, spec: &JobSpec) {
        self.check_runs_once(machine, task);
        let (now, aborted) = (self.now, self.abort_confirmed_at.get(&spec.id).copied());
        if aborted.is_some_and(|at| now > at + ABORT_DEADLINE_MS) {
            self.violation(format!("ran_cancelled {task} at {now}"));
        }
        self.check_dependencies_are_done(task, spec);
        self.check_cpu_quota(spec);
        self.check_gpu_quota(spec);
        self.check_spread(machine, task, spec);
        self.check_placement_constraints(machine, spec);
    }

    /// `ran_twice`: a task is live on at most one machine.
    fn check_runs_once(&mut self, machine: &str, task: &str) {
        let now = self.now;
        let holds = |worker: &Worker| {
            worker.holds_tasks(now) && worker.tasks.get(task).is_some_and(HeldTask::is_live)
        };
        let others = self.workers.iter().filter(|(name, w)| *name != machine && holds(w));
        let describe = |(other, _): (&String, &Worker)| {
            format!("ran_twice {task}: {machine} while on {other} at {now}")
        };
        let found: Vec<String> = others.map(describe).collect();
        self.violations.extend(found);
    }

    /// `too_early`: a task starts only after all dependencies of its job have completed and are
    /// recorded as done.
    fn check_dependencies_are_done(&mut self, task: &str, spec: &JobSpec) {
        let now = self.now;
        for dependency in &spec.dependencies {
            let all = self.jobs.get(dependency).map_or(0, |job| job.tasks as usize);
            if self.completed_tasks.get(dependency).map_or(0, BTreeSet::len) < all {
                self.violation(format!("too_early {task}: {dependency} is not done at {now}"));
            }
            if self.recorded_status(dependency) != Some(RecordedStatus::Done) {
                self.violation(format!("{task} starts before {dependency} is recorded as done"));
            }
        }
    }

    /// `quota`: the team's tasks stay within its CPU limit.
    fn check_cpu_quota(&mut self, spec: &JobSpec) {
        let now = self.now;
        let used: f64 = self
            .workers
            .values()
            .filter(|worker| worker.holds_tasks(now))
            .flat_map(Worker::live_tasks)
            .filter_map(|(task, _)| self.jobs.get(job_of(task)))
            .map(|job| job.cpus)
            .sum();
        if self.team_cpu_limit > 0.0 && used + spec.cpus > self.team_cpu_limit + EPSILON {
            self.violation(format!("quota: {} CPUs at {now}", used + spec.cpus));
        }
    }

    /// `quota`: the team's tasks stay within its GPU limit.
    fn check_gpu_quota(&mut self, spec: &JobSpec) {
        let now = self.now;
        let used: f64 = self
            .workers
            .values()
            .filter(|worker| worker.holds_tasks(now))
            .flat_map(Worker::live_tasks)
            .map(|(task, _)| self.jobs[job_of(task)].gpus)
            .sum();
        if self.team_gpu_limit > 0.0 && used + spec.gpus > self.team_gpu_limit + EPSILON {
            self.violation(format!("quota: {} GPUs at {now}", used + spec.gpus));
        }
    }

    /// `wrong_place`: no zone holds more than half (rounded up) of the tasks of a `spread` job.
    fn check_spread(&mut self, machine: &str, task: &str, spec: &JobSpec) {
        if !spec.spread {
            return;
        }
        let zone = self.workers[machine].zone.clone();
        let tasks_in_zone = self
            .workers
            .values()
            .filter(|worker| worker.zone == zone && worker.holds_tasks(self.now))
            .flat_map(Worker::live_tasks)
            .filter(|(other, _)| job_of(other) == spec.id)
            .count() as u32;
        if tasks_in_zone + 1 > spec.tasks.div_ceil(2) {
            self.violation(format!("wrong_place {task}: {} in {zone}", tasks_in_zone + 1));
        }
    }

    /// `wrong_place`: a task starts only on a machine that its job allows and, for a job with
    /// `together`, in the zone of its other tasks.
    fn check_placement_constraints(&mut self, machine: &str, spec: &JobSpec) {
        let worker = &self.workers[machine];
        let zone = worker.zone.clone();
        if !allows(spec, worker) {
            self.violation(format!("wrong_place {}: {machine} in {zone}", spec.id));
        }
        let runs_in_other_zone = |(name, worker): (&String, &Worker)| {
            name != machine
                && worker.zone != zone
                && worker.holds_tasks(self.now)
                && worker.live_tasks().any(|(task, _)| job_of(task) == spec.id)
        };
        if spec.together && self.workers.iter().any(runs_in_other_zone) {
            let id = &spec.id;
            self.violation(format!("wrong_place {id}: {machine}, others in another zone"));
        }
    }

    // Aborts.

    /// `ran_cancelled`: no task is live more than `cancel_s` after its job's confirmed abort.
    pub(super) fn check_not_aborted(&mut self, machine: &str, task: &str, held: &HeldTask) {
        let (now, aborted) = (self.now, self.abort_confirmed_at.get(job_of(task)).copied());
        if aborted.is_some_and(|at| now > at + ABORT_DEADLINE_MS) && held.is_live() {
            self.violation(format!("ran_cancelled {task} still on {machine} at {now}"));
        }
    }

    /// `ran_cancelled`: no task of an aborted job is live when the abort's deadline passes.
    pub(super) fn check_aborted_job_has_ended(&mut self, job: &str) {
        let now = self.now;
        let mut found = Vec::new();
        for (name, worker) in self.workers.iter().filter(|(_, w)| w.holds_tasks(now)) {
            for (task, _) in worker.live_tasks().filter(|(task, _)| job_of(task) == job) {
                found.push(format!("ran_cancelled {task} still on {name} at {now}"));
            }
        }
        self.violations.extend(found);
    }

    /// Records and checks the starts in a controller's call: in a command, in a command to be
    /// relayed, and in a mailbox record.
    pub(super) fn record_starts_sent(&mut self, by: usize, call: &Call) {
        for start in starts_in(call) {
            let confirmed_at = self.abort_confirmed_at.get(job_of(&start.task)).copied();
            let left_at = *self.starts_sent.entry(start.clone()).or_insert(self.now);
            if let Some(at) = confirmed_at {
                self.check_start_after_abort(by, &start.task, left_at, at);
                let (task, after_ms) = (start.task, self.now - at);
                self.starts_after_abort.push(StartAfterAbort { task, by, after_ms });
            }
        }
    }

    /// Checks a start that is sent or handed on after its job's abort was confirmed. The process
    /// that confirmed the abort must never send one. Any other may only hand on a start that left
    /// the leader before the confirmation.
    fn check_start_after_abort(&mut self, by: usize, task: &str, left_at: u64, confirmed_at: u64) {
        let (incarnation, job) = (self.incarnations[by], job_of(task).to_string());
        let confirmation = AbortConfirmation { node: by, incarnation, job };
        let confirmed_by_sender = self.abort_confirmed_by.contains(&confirmation);
        if confirmed_by_sender || left_at > confirmed_at {
            let after_ms = self.now - confirmed_at;
            self.violation(format!(
                "{task} started by n{by} {after_ms} ms after its abort, confirmed there: \
                 {confirmed_by_sender}"
            ));
        }
    }

    // Writes.

    /// Checks that only the leader writes activations, that each adds exactly one step and removes
    /// none, and that every controller which is alive according to the state service supports it.
    pub(super) fn check_activation(&mut self, txn: &Transaction) {
        for change in &txn.apply {
            let Change::Set { set, value, .. } = change else { continue };
            if set != FORMAT_KEY {
                continue;
            }
            let old = self.activated_format();
            let new: ActivationRecord = value.deserialized().unwrap();
            let steps = new.version - old.version.min(new.version)
                + new.features.difference(&old.features).count() as u32;
            if self.activation_writer != self.leader() {
                let writer = self.activation_writer;
                self.violation(format!("{new:?} was set by {writer:?}, which is not the leader"));
            }
            if !new.includes(&old) || steps != 1 {
                self.violation(format!("{new:?} replaced {old:?}"));
            }
            for node in 0..self.nodes.len() {
                if self.is_registered(node) && !self.supports(node, &new) {
                    self.violation(format!("{new:?} was set while n{node} does not support it"));
                }
            }
        }
    }

    /// Returns whether a controller runs and its current process has registered its membership key,
    /// which is attached to its lease.
    fn is_registered(&self, node: usize) -> bool {
        let key = self.state.keys.get(&format!("members/n{node}"));
        let is_current = key.is_some_and(|k| k.revision > self.started_at_revision[node]);
        self.is_up(node) && is_current
    }

    fn supports(&self, node: usize, activated: &ActivationRecord) -> bool {
        let gates = FeatureGates::new(self.feature_table(node), BTreeSet::new());
        let understood = gates.interpret(Some(activated.clone()));
        matches!(understood, ActivationStatus::Active(_))
            && !self.first_version_controllers.contains(&node)
    }

    /// Checks that each accepted job is stored in a batch record or a record of its own, and that
    /// its placement is not stored both inline and under a placement key.
    pub(super) fn check_jobs_stored_once(&mut self) {
        let mut batched = BTreeSet::new();
        for (_, stored) in self.state.keys.iter().filter(|(key, _)| key.starts_with(BATCH_PREFIX)) {
            match stored.value.deserialized::<BatchRecord>() {
                Ok(record) => batched.extend(record.ids().cloned()),
                Err(_) => return,
            }
        }
        let mut found = Vec::new();
        for id in self.observed_status.keys() {
            let own = self.state.keys.get(&format!("jobs/{id}"));
            if own.is_none() && !batched.contains(id) {
                found.push(format!("{id} is not stored"));
            }
            let record = own.and_then(|own| own.value.deserialized::<JobRecord>().ok());
            let inline = record.is_some_and(|record| record.placement.is_some());
            if inline && self.state.keys.contains_key(&format!("shares/{id}/0/0")) {
                found.push(format!("the placement of {id} is stored twice"));
            }
        }
        self.violations.extend(found);
    }

    /// Checks that no leader of an earlier epoch writes a placement.
    pub(super) fn check_writer_epoch(&mut self, txn: &Transaction) {
        let stored = self.state.keys.get(EPOCH_KEY);
        let record = stored.and_then(|stored| stored.value.deserialized::<EpochRecord>().ok());
        let epoch = record.map_or(0, |record| record.epoch);
        for change in &txn.apply {
            let Change::Set { set, value, .. } = change else { continue };
            let share = read_placement(set, value, 1).map(|share| share.record);
            if set.starts_with(PLACEMENT_PREFIX) && share.is_some_and(|share| share.epoch < epoch) {
                self.violation(format!("{set} was written by the leader of an earlier epoch"));
            }
        }
    }

    /// Returns the recorded status of a job that has a record of its own.
    pub fn recorded_status(&self, id: &str) -> Option<RecordedStatus> {
        let stored = self.state.keys.get(&format!("jobs/{id}"))?;
        stored.value.deserialized::<JobRecord>().ok().map(|record| record.status)
    }

    // After all faults have ended.

    /// Asserts that, after all faults have ended, no accepted job is lost and none waits while
    /// there is free capacity for it.
    pub fn assert_recovered(&mut self) {
        self.assert_no_accepted_job_is_lost();
        self.assert_no_job_waits_beside_free_capacity();
        self.assert_no_violations();
    }

    /// Asserts that, after all faults have ended, every ready controller answers a query of every
    /// job that was accepted and not aborted within 75 s, allowing for any number of retries.
    pub fn assert_no_accepted_job_is_lost(&mut self) {
        let until_ms = self.now + MAX_ANSWER_MS;
        let ready = self.ready_controllers();
        let kept = self.observed_status.keys().filter(|id| !self.abort_requested.contains(*id));
        let mut open: Vec<(usize, String)> =
            kept.flat_map(|id| ready.iter().map(|node| (*node, id.clone()))).collect();
        let mut answers: Vec<u16> = Vec::new();
        while !open.is_empty() && self.now < until_ms {
            let requests: Vec<usize> =
                open.iter().map(|(node, id)| self.query(*node, id)).collect();
            self.run_for_ms(2_000);
            let left = open.into_iter().zip(requests);
            let left = left.filter(|(_, request)| self.status_code(*request) != 200);
            (open, answers) =
                left.map(|(query, request)| (query, self.status_code(request))).unzip();
        }
        assert!(
            open.is_empty(),
            "seed {}: queries without an answer within 75 s: {open:?}, status codes {answers:?}",
            self.seed
        );
        self.assert_no_violations();
    }

    /// Returns the controllers that answer 200 to `/ready`.
    fn ready_controllers(&mut self) -> Vec<usize> {
        let up: Vec<usize> = (0..self.nodes.len()).filter(|node| self.is_up(*node)).collect();
        let requests: Vec<usize> =
            up.iter().map(|node| self.send_request(*node, "GET", "/ready", vec![])).collect();
        self.run_for_ms(1_000);
        let ready = up.into_iter().zip(requests);
        let ready = ready.filter(|(_, request)| self.status_code(*request) == 200);
        ready.map(|(node, _)| node).collect()
    }

    /// Asserts that, after all faults have ended, no job waits for 90 s while a suitable machine
    /// has free capacity and the job's team is within its quota. Returns as soon as no such job
    /// waits.
    pub fn assert_no_job_waits_beside_free_capacity(&mut self) {
        let mut waiting_since: BTreeMap<String, u64> = BTreeMap::new();
        let mut next_query_ms = self.now;
        loop {
            if self.polls_jobs && self.now >= next_query_ms {
                next_query_ms = self.now + QUERY_INTERVAL_MS;
                let known: Vec<String> = self.observed_status.keys().cloned().collect();
                for (node, id) in (0..self.nodes.len()).cycle().zip(known) {
                    self.query(node, &id);
                }
            }
            let waiting = self.jobs_waiting_despite_free_capacity();
            waiting_since.retain(|id, _| waiting.contains(id));
            if waiting.is_empty() {
                return;
            }
            for id in waiting {
                let began = *waiting_since.entry(id.clone()).or_insert(self.now);
                assert!(
                    self.now < began + MAX_WAIT_MS,
                    "seed {}: {id} has waited for {} ms although there is free capacity: {:?}, \
                     live {:?}",
                    self.seed,
                    self.now - began,
                    self.jobs[&id],
                    self.live_tasks(&id)
                );
            }
            self.run_for_ms(500);
        }
    }

    /// Returns the accepted jobs with a task that has not completed and is on no machine although
    /// suitable machines have free capacity for the tasks that the job must start together, and its
    /// team is within its quota.
    fn jobs_waiting_despite_free_capacity(&self) -> Vec<String> {
        let open = self.observed_status.iter();
        let open = open.filter(|(_, status)| !matches!(status, JobStatus::Done));
        open.filter(|(id, _)| self.waits_despite_free_capacity(id))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn waits_despite_free_capacity(&self, id: &str) -> bool {
        let Some(spec) = self.jobs.get(id) else { return false };
        if !self.may_run(id) {
            return false;
        }
        let live = self.live_tasks(id).len() as u32;
        let ended = self.completed_tasks.get(id).map_or(0, BTreeSet::len) as u32;
        let unplaced = spec.tasks.saturating_sub(ended).saturating_sub(live);
        if unplaced == 0 {
            return false;
        }
        let free_slots = self.free_slots_by_zone(spec);
        let free_slots = match spec.together {
            true => free_slots.values().max().copied().unwrap_or(0),
            false => free_slots.values().sum(),
        };
        let needed = if spec.kind == JobKind::Gang { unplaced } else { 1 };
        free_slots >= needed && self.is_within_quota(spec, needed)
    }

    /// Returns whether nothing prevents a job from running: neither the job nor any of its direct
    /// or indirect dependencies is to be aborted or fails, and all of those dependencies are done.
    fn may_run(&self, id: &str) -> bool {
        let is_aborted_or_fails =
            |id: &str| self.abort_requested.contains(id) || self.failing_jobs.contains_key(id);
        let is_done = |id: &String| self.observed_status.get(id) == Some(&JobStatus::Done);
        let dependencies = self.transitive_dependencies(id);
        !is_aborted_or_fails(id)
            && !dependencies.iter().any(|id| is_aborted_or_fails(id))
            && dependencies.iter().all(is_done)
    }

    /// Returns the number of further tasks of a job that fit into the free capacity, by zone.
    fn free_slots_by_zone(&self, spec: &JobSpec) -> BTreeMap<String, u32> {
        let live = self.live_tasks(&spec.id);
        let zone_of = |machine: &String| &self.workers[machine].zone;
        let bound_zone = live.first().filter(|_| spec.together).map(|live| zone_of(&live.machine));
        let healthy = |worker: &&Worker| {
            !worker.dead && worker.hung_until_ms <= self.now && !worker.fails_all_tasks
        };
        let mut free_slots: BTreeMap<String, u32> = BTreeMap::new();
        for worker in self.workers.values().filter(healthy) {
            if allows(spec, worker) && bound_zone.is_none_or(|zone| *zone == worker.zone) {
                let used = self.usage_of(worker);
                let fits = ((worker.cpus - used.cpus + EPSILON) / spec.cpus)
                    .min((MEMORY_GB - used.memory_gb + EPSILON) / spec.memory_gb)
                    .floor()
                    .max(0.0);
                *free_slots.entry(worker.zone.clone()).or_default() += fits as u32;
            }
        }
        if spec.spread {
            for (zone, count) in &mut free_slots {
                let placed = live.iter().filter(|live| zone_of(&live.machine) == zone).count();
                let allowed = spec.tasks.div_ceil(2).saturating_sub(placed as u32);
                *count = (*count).min(allowed);
            }
        }
        free_slots
    }

    fn usage_of(&self, worker: &Worker) -> Usage {
        let jobs = worker.live_tasks().map(|(task, _)| &self.jobs[job_of(task)]);
        jobs.fold(Usage { cpus: 0.0, memory_gb: 0.0 }, |used, job| Usage {
            cpus: used.cpus + job.cpus,
            memory_gb: used.memory_gb + job.memory_gb,
        })
    }

    /// Returns whether the team's quota allows this many more tasks of a job. GPU usage is not
    /// counted: a job that needs GPUs is treated as exceeding the quota.
    fn is_within_quota(&self, spec: &JobSpec, tasks: u32) -> bool {
        let holding = self.workers.values().filter(|worker| worker.holds_tasks(self.now));
        let used: f64 = holding.map(|worker| self.usage_of(worker).cpus).sum();
        let needed = f64::from(tasks) * spec.cpus;
        let limit = self.team_cpu_limit;
        (limit <= 0.0 || used + needed <= limit + EPSILON) && spec.gpus <= 0.0
    }
}

/// Returns whether a job may run on a machine, given the machine's zone, type and spot status.
fn allows(spec: &JobSpec, worker: &Worker) -> bool {
    let zone = spec.zone.as_ref().is_none_or(|zone| *zone == worker.zone);
    let kind = spec.types.as_ref().is_none_or(|types| types.contains(&worker.kind));
    zone && kind && (spec.spot || !worker.spot)
}

/// Returns whether a controller's call starts a task.
pub(super) fn carries_starts(call: &Call) -> bool {
    !starts_in(call).is_empty()
}

/// Returns the starts in a controller's call to a worker, a relay or the state service.
fn starts_in(call: &Call) -> Vec<SentStart> {
    let orders = match call.peer {
        Peer::Worker(_) if call.target == "/orders" => {
            from_cbor::<OrdersRequest>(&call.body).map_or(Vec::new(), |request| request.orders)
        }
        Peer::Sibling(_) => orders_to_relay(&call.body),
        Peer::State if call.target == "/multi" => mailed_orders(&call.body),
        _ => Vec::new(),
    };
    let start = |order| match order {
        Order::Start { task, attempt } => Some(SentStart { task, attempt }),
        _ => None,
    };
    orders.into_iter().filter_map(start).collect()
}

/// An envelope of orders as it is relayed and mailed.
#[derive(serde::Deserialize)]
struct OrdersEnvelope {
    orders: OrdersRequest,
}

/// The part of a mailbox record that contains orders.
#[derive(serde::Deserialize)]
struct MailedEnvelopes {
    #[serde(default)]
    orders: Vec<OrdersEnvelope>,
}

/// Returns the orders in a mesh message that a peer is to relay.
fn orders_to_relay(body: &[u8]) -> Vec<Order> {
    let forward = from_cbor::<MeshMessage>(body).ok().and_then(|message| message.forward);
    let relayed = forward.filter(|forward| forward.path == "/orders");
    let envelope = relayed.and_then(|forward| from_cbor::<OrdersEnvelope>(&forward.body).ok());
    envelope.map_or(Vec::new(), |envelope| envelope.orders.orders)
}

/// Returns the orders in the mailbox records that a transaction writes.
fn mailed_orders(body: &[u8]) -> Vec<Order> {
    let changes = from_cbor::<Transaction>(body).map_or(Vec::new(), |txn| txn.apply);
    let mailed = changes.into_iter().filter_map(|change| match change {
        Change::Set { set, value, .. } if set.starts_with(MAILBOX_PREFIX) => {
            value.deserialized::<MailedEnvelopes>().ok()
        }
        _ => None,
    });
    mailed.flat_map(|record| record.orders).flat_map(|envelope| envelope.orders.orders).collect()
}
