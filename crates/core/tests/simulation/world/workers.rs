//! The cloud and the workers: machines, their reports, what they execute, and the rules of starts.

use super::*;

impl World {
    pub(super) fn cloud_call(&mut self, call: &Call) -> Response {
        let path = call.target.split('?').next().unwrap();
        match (call.method, path) {
            ("GET", "/machine_types") => {
                let t = MachineType {
                    name: "k8".into(),
                    cpus: 8.0,
                    gpus: self.gpus,
                    memory_gb: MEMORY_GB,
                    cache_gb: 50.0,
                    fetch_gb_per_s: 1.0,
                    price: 0.4,
                    spot_price: 0.1,
                    boot_s: 3.0,
                    zones: vec!["a".into(), "b".into()],
                };
                Response::new(200, to_cbor(&MachineTypes { types: vec![t] }))
            }
            ("GET", _) => {
                let machines = self
                    .workers
                    .iter()
                    .filter(|(name, _)| !self.unlisted.contains(*name))
                    .filter(|(_, w)| self.now >= w.born_ms + self.list_lag_ms)
                    .map(|(name, w)| ListedMachine {
                        name: name.clone(),
                        addr: addr_of(name),
                        kind: w.kind.clone(),
                        zone: w.zone.clone(),
                        spot: w.spot,
                        status: CloudStatus::Running,
                        age_s: match self.list_lag_ms {
                            0 => 50.0,
                            _ => (self.now - w.born_ms) as f64 / 1e3 + 0.1,
                        },
                    })
                    .collect();
                Response::new(200, to_cbor(&MachineList { machines, more: false }))
            }
            ("POST", "/machines/return") if self.returns_off => Response::new(503, Vec::new()),
            ("POST", "/machines/return") => {
                let names: MachineNames = from_cbor(&call.body).unwrap();
                for n in names.machines {
                    self.workers.remove(&n);
                }
                Response::new(200, Vec::new())
            }
            _ => {
                let hire: HireRequest = from_cbor(&call.body).unwrap();
                if self.cloud_off {
                    return Response::new(503, Vec::new());
                }
                if let Some(known) = self.hires.get(&hire.hire) {
                    return Response::new(200, to_cbor(&MachineNames { machines: known.clone() }));
                }
                let mut machines = Vec::new();
                for _ in 0..hire.count.min(4) {
                    let name = format!("vm-{:06}", self.next_machine);
                    self.next_machine += 1;
                    let zone = hire.zone.clone();
                    let ms = self.rng.random_range(self.boot_ms.0..=self.boot_ms.1);
                    self.after(ms, Msg::Boot { machine: name.clone(), zone });
                    machines.push(name);
                }
                self.hires.insert(hire.hire, machines.clone());
                Response::new(200, to_cbor(&MachineNames { machines }))
            }
        }
    }

    pub fn report_of(&mut self, name: &str) -> Option<Report> {
        let w = self.workers.get_mut(name)?;
        w.seq += 1;
        Some(Report {
            machine: name.into(),
            addr: addr_of(name),
            kind: w.kind.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            tenure: w.tenure,
            seq: w.seq,
            token: w.token,
            notice_s: None,
            tasks: w
                .tasks
                .iter()
                .map(|(t, h)| ReportTask {
                    task: t.clone(),
                    attempt: h.attempt,
                    status: h.status,
                    cause: h.cause,
                    saved: None,
                })
                .collect(),
        })
    }

    pub(super) fn report(&mut self, name: &str) {
        let jitter = self.rng.random_range(0..REPORT_MS / 2);
        let now = self.now;
        let Some(w) = self.workers.get(name) else { return };
        if w.dead {
            return;
        }
        self.after(REPORT_MS * 3 / 4 + jitter, Msg::Report { worker: name.into() });
        let w = self.workers.get_mut(name).unwrap();
        if now < w.hung_until || w.waiting {
            return;
        }
        w.waiting = true;
        let node = w.node;
        let body = to_cbor(&self.report_of(name).unwrap());
        let worker = name.to_string();
        if let Some(c) = self.copies {
            if self.rng.random_bool(c.share) {
                let late = self.rng.random_range(c.from_ms..=c.to_ms);
                let node = self.rng.random_range(0..self.nodes.len());
                self.after(late, Msg::Copy { node, body: body.clone() });
            }
        }
        if self.kept_copies > 0.0 && self.rng.random_bool(self.kept_copies) {
            self.keep_copy(body.clone());
        }
        // No answer within four seconds: the next node.
        self.after(
            4_000,
            Msg::Answer { worker: worker.clone(), sent_ms: now, status: 0, body: Vec::new() },
        );
        let end = End::Worker(worker.clone());
        if self.mute.contains(&worker) {
            return;
        }
        if self.nodes[node].is_none() {
            return self
                .after(1, Msg::Answer { worker, sent_ms: now, status: 1, body: Vec::new() });
        }
        if self.cut_between(&end, &End::Node(node)).is_none() && !self.rng.random_bool(self.loss) {
            let d = self.delay();
            self.after(d, Msg::Checkin { worker, node, sent_ms: now, body });
        }
    }

    pub(super) fn worker_answer(&mut self, name: &str, sent_ms: u64, status: u16, body: &[u8]) {
        let nodes = self.nodes.len();
        let now = self.now;
        let unheard = self.deaf.get(name).is_some_and(|d| d.answers) && status > 1;
        let Some(w) = self.workers.get_mut(name).filter(|_| !unheard) else { return };
        if w.dead || !w.waiting || now > sent_ms + 4_000 || now < w.hung_until {
            if now >= sent_ms + 4_000 && status == 0 {
                w.waiting = false;
            }
            return;
        }
        if status == 0 && now < sent_ms + 4_000 {
            return;
        }
        w.waiting = false;
        match status {
            200 => {
                let Ok(a) = from_cbor::<ReportAnswer>(body) else { return };
                if a.token < w.token {
                    return;
                }
                w.token = a.token;
                w.lease_from = w.lease_from.max(sent_ms);
                self.execute(name, a.orders);
            }
            421 => {
                let owner = from_cbor::<Redirect>(body).ok().and_then(|r| r.owner);
                let to = owner.and_then(|o| o.trim_start_matches('n').parse::<usize>().ok());
                match to {
                    Some(n) if n != w.node => {
                        w.node = n;
                        self.after(100, Msg::Report { worker: name.into() });
                    }
                    _ => {
                        w.node = (w.node + 1) % nodes;
                        if let Some(ms) = self.hop_ms {
                            self.after(ms, Msg::Report { worker: name.into() });
                        }
                    }
                }
            }
            _ => w.node = (w.node + 1) % nodes,
        }
    }

    pub(super) fn worker_call(&mut self, name: &str, from: usize, life: u32, call: Call) {
        let now = self.now;
        if self.deaf.get(name).is_some_and(|d| d.orders) {
            let orders = from_cbor::<OrdersRequest>(&call.body).map_or(Vec::new(), |o| o.orders);
            let starts = orders.iter().filter(|o| matches!(o, Order::Start { .. })).count();
            *self.lost_starts.entry(name.to_string()).or_default() += starts as u32;
            return;
        }
        let Some(w) = self.workers.get_mut(name) else { return };
        if w.dead {
            return;
        }
        if now < w.hung_until {
            w.inbox.push((from, life, call));
            return;
        }
        self.expire_session(name);
        let end = End::Worker(name.to_string());
        let mut status = 200;
        if call.target == "/orders" {
            let o: OrdersRequest = from_cbor(&call.body).unwrap();
            let w = self.workers.get_mut(name).unwrap();
            if o.token < w.token || o.tenure != w.tenure {
                status = 409;
            } else {
                w.token = o.token;
                self.execute(name, o.orders);
            }
        }
        let body = to_cbor(&self.report_of(name).unwrap());
        self.back(from, life, call.id, Response::new(status, body), &end);
    }

    pub(super) fn execute(&mut self, name: &str, mut orders: Vec<Order>) {
        let now = self.now;
        let w = self.workers.get_mut(name).unwrap();
        if let Some((after, ms)) = w.hang_between.take_if(|(after, _)| orders.len() > *after) {
            w.rest = (w.tenure, orders.split_off(after));
            w.hung_until = now + ms;
        }
        for order in orders {
            match order {
                Order::Start { task, attempt } => self.start_task(name, task, attempt),
                Order::Stop { task, attempt, .. } => {
                    let w = self.workers.get_mut(name).unwrap();
                    if let Some(h) = w.tasks.get_mut(&task) {
                        if h.attempt == attempt && h.status != TaskStatus::Exited {
                            h.status = TaskStatus::Exited;
                            h.cause = Some(Cause::Stopped);
                        }
                    }
                }
                Order::Forget { task, attempt } => {
                    let w = self.workers.get_mut(name).unwrap();
                    if w.tasks
                        .get(&task)
                        .is_some_and(|h| h.attempt == attempt && h.status == TaskStatus::Exited)
                    {
                        w.tasks.remove(&task);
                        self.edges.push((now, Edge::Cleared));
                    }
                }
            }
        }
    }

    pub(super) fn start_task(&mut self, name: &str, task: String, attempt: u64) {
        let now = self.now;
        let (job_id, _) = task.rsplit_once('/').unwrap();
        let Some(spec) = self.jobs.get(job_id).cloned() else { return };
        if let Some(h) = self.workers[name].tasks.get(&task) {
            if h.attempt == attempt || h.status != TaskStatus::Exited {
                return;
            }
        }
        // The rules.
        for (other, w) in &self.workers {
            let here = w.tasks.get(&task).is_some_and(|h| h.status != TaskStatus::Exited);
            if other != name && here && w.holds(now) {
                self.breaches.push(format!("ran_twice {task}: {name} while on {other} at {now}"));
            }
        }
        if self.aborted_at.get(job_id).is_some_and(|a| now > a + CANCEL_MS) {
            self.breaches.push(format!("ran_cancelled {task} at {now}"));
        }
        let used: f64 = self
            .workers
            .values()
            .filter(|w| w.holds(now))
            .flat_map(|w| &w.tasks)
            .filter(|(_, h)| h.status != TaskStatus::Exited)
            .filter_map(|(t, _)| self.jobs.get(t.rsplit_once('/').unwrap().0))
            .map(|s| s.cpus)
            .sum();
        for dep in &spec.dependencies {
            let all = self.jobs.get(dep).map_or(0, |j| j.tasks as usize);
            if self.done.get(dep).map_or(0, |d| d.len()) < all {
                self.breaches.push(format!("too_early {task}: {dep} is not done at {now}"));
            }
            use quartzgate_core::records::RecordedStatus;
            if self.recorded(dep) != Some(RecordedStatus::Done) {
                self.breaches.push(format!("{task} starts before {dep}'s end is on record"));
            }
        }
        if self.limit_cpus > 0.0 && used + spec.cpus > self.limit_cpus + 1e-6 {
            self.breaches.push(format!("quota: {} CPUs at {now}", used + spec.cpus));
        }
        self.check_gpus(&spec);
        if spec.spread {
            let zone = self.workers[name].zone.clone();
            let there = self
                .workers
                .values()
                .filter(|w| w.zone == zone && w.holds(now))
                .flat_map(|w| &w.tasks)
                .filter(|(t, h)| {
                    t.rsplit_once('/').unwrap().0 == job_id && h.status != TaskStatus::Exited
                })
                .count() as u32;
            if there + 1 > spec.tasks.div_ceil(2) {
                self.breaches.push(format!("wrong_place {task}: {} in {zone}", there + 1));
            }
        }
        self.check_place(name, &spec);
        let run = self.left_of(&spec, &task);
        let mistaken = self.mistaken.get_mut(job_id).map(|failed| *failed += 1).is_some();
        let w = self.workers.get_mut(name).unwrap();
        let used: f64 = w
            .tasks
            .iter()
            .filter(|(_, h)| h.status != TaskStatus::Exited)
            .filter_map(|(t, _)| self.jobs.get(t.rsplit_once('/').unwrap().0))
            .map(|s| s.cpus)
            .sum();
        let (status, cause) = if used + spec.cpus > w.cpus + 1e-6 {
            (TaskStatus::Exited, Some(Cause::NoRoom))
        } else if w.fails || mistaken {
            (TaskStatus::Exited, Some(Cause::Error))
        } else if w.has_to_fetch(&spec, self.fetch_gb_per_s.is_some()) {
            (TaskStatus::Fetching, None)
        } else if spec.shape == Shape::Gang {
            (TaskStatus::Waiting, None)
        } else {
            (TaskStatus::Running, None)
        };
        w.tasks.insert(task.clone(), Held { attempt, status, cause, ends_ms: now + run });
        if status != TaskStatus::Exited {
            self.starts.entry(task).or_default().push((name.into(), now));
        }
    }

    /// How long a task runs once it has its image: a result that is kept is there at once, a
    /// replica runs on.
    pub(super) fn left_of(&self, spec: &JobSpec, task: &str) -> u64 {
        let n = task.rsplit_once('/').and_then(|(_, n)| n.parse().ok());
        let done = self.done.get(&spec.id);
        match (n.is_some_and(|n: u32| done.is_some_and(|d| d.contains(&n))), spec.shape) {
            (true, _) => 0,
            (_, Shape::Service) => u64::MAX / 2,
            _ => self.run_of(task),
        }
    }

    /// How long a task runs.
    pub(super) fn run_of(&self, task: &str) -> u64 {
        let job = task.rsplit_once('/').unwrap().0;
        self.run_ms.get(task).or(self.run_ms.get(job)).copied().unwrap_or(2_000)
    }

    pub(super) fn expire_session(&mut self, name: &str) {
        let now = self.now;
        let w = self.workers.get_mut(name).unwrap();
        if now > w.lease_from + w.lease_ms {
            w.tasks.clear();
            w.tenure += 1;
            w.lease_from = now;
        }
    }

    /// A worker's own life: leases, running tasks, gangs, changes to report.
    pub(super) fn work(&mut self, name: &str) {
        let now = self.now;
        let Some(w) = self.workers.get(name) else { return };
        if w.dead {
            return;
        }
        self.after(50, Msg::Work { worker: name.into() });
        if now < self.workers[name].hung_until {
            return;
        }
        self.expire_session(name);
        let w = self.workers.get_mut(name).unwrap();
        let (tenure, rest) = std::mem::take(&mut w.rest);
        if tenure == w.tenure {
            self.execute(name, rest);
        }
        let inbox = std::mem::take(&mut self.workers.get_mut(name).unwrap().inbox);
        for (from, life, call) in inbox {
            self.worker_call(name, from, life, call);
        }
        let mut changed = self.fetch(name);
        let tasks: Vec<String> = self.workers[name].tasks.keys().cloned().collect();
        for t in tasks {
            let (job_id, n) = t.rsplit_once('/').unwrap();
            let held = self.workers[name].tasks[&t].clone();
            let spec = self.jobs[job_id].clone();
            if self.aborted_at.get(job_id).is_some_and(|a| now > a + CANCEL_MS)
                && held.status != TaskStatus::Exited
            {
                self.breaches.push(format!("ran_cancelled {t} still on {name} at {now}"));
            }
            let mut next = held.clone();
            if spec.shape == Shape::Gang && held.status != TaskStatus::Exited {
                let peers = self
                    .workers
                    .values()
                    // The others notice a machine that hangs as they notice one that dies.
                    .filter(|w| !w.dead && w.hung_until <= now)
                    .flat_map(|w| &w.tasks)
                    .filter(|(p, h)| {
                        p.rsplit_once('/').unwrap().0 == job_id
                            && h.attempt == held.attempt
                            && (h.status != TaskStatus::Exited || h.cause == Some(Cause::Done))
                    })
                    .count() as u32;
                let whole = peers == spec.tasks;
                if held.status == TaskStatus::Waiting && whole {
                    next.status = TaskStatus::Running;
                    next.ends_ms = now + self.run_of(&t);
                } else if held.status == TaskStatus::Running && !whole {
                    next.status = TaskStatus::Exited;
                    next.cause = Some(Cause::Peers);
                }
            }
            if next.status == TaskStatus::Running && now >= next.ends_ms {
                next.status = TaskStatus::Exited;
                next.cause = Some(Cause::Done);
                let n: u32 = n.parse().unwrap();
                self.done.entry(job_id.to_string()).or_default().insert(n);
                if spec.shape == Shape::Gang {
                    let all: BTreeSet<u32> = (0..spec.tasks).collect();
                    self.done.insert(job_id.to_string(), all);
                }
                if self.done[job_id].len() == spec.tasks as usize {
                    self.ended(job_id);
                }
            }
            if next.status != held.status {
                changed = true;
                self.workers.get_mut(name).unwrap().tasks.insert(t, next);
            }
        }
        if changed && !self.workers[name].waiting {
            self.after(10, Msg::Report { worker: name.into() });
        }
    }
}
