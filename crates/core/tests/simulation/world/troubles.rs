//! Troubles of the world that need more than a switch: answers that are lost, copies that are kept
//! for the next leader, images that are fetched, users who look closely or ask for what can't be.

use super::*;

/// Copies that are kept for the next leader at most: the newest.
const COPIES_KEPT: usize = 120;

impl Worker {
    pub(super) fn has_to_fetch(&mut self, spec: &JobSpec, fetches: bool) -> bool {
        let lacks = fetches && !self.images.contains(&spec.image);
        if lacks {
            self.fetching.entry(spec.image.clone()).or_insert(spec.image_gb);
        }
        lacks
    }
}

impl World {
    /// All troubles are over: whoever is away is back, and nothing is held any more.
    pub fn end_troubles(&mut self) {
        self.heal();
        self.state.refuses.clear();
        self.state.fates.clear();
        (self.state.down, self.state.slow_ms, self.state.lost_answers) = (false, 0, 0.0);
        (self.state.late_writes, self.copies, self.kept_copies) = (None, None, 0.0);
        (self.returns_off, self.cancel_at_end) = (false, 0.0);
        self.mute.clear();
        self.deaf.clear();
        for n in 0..self.size() {
            if !self.is_up(n) {
                self.start(n);
            }
        }
    }

    /// Its user, or that of a job before it, wanted it cancelled.
    pub fn called_off(&self, id: &str) -> bool {
        let before = self.before(id);
        before.iter().any(|j| self.abort_asked.contains(j)) || self.abort_asked.contains(id)
    }

    /// What becomes of a transaction, if it is to get no answer.
    pub(super) fn fate_of(&mut self, txn: &Transaction) -> Option<Unanswered> {
        let path = |c: &Change| match c {
            Change::Set { set, .. } => set.clone(),
            Change::Delete { delete } => delete.clone(),
        };
        let paths: Vec<String> = txn.apply.iter().map(path).collect();
        let meets = |prefix: &str| paths.iter().any(|p| p.starts_with(prefix));
        let fate = self.state.fates.iter_mut().find(|f| f.left > 0 && meets(f.prefix));
        if let Some(fate) = fate {
            fate.left -= 1;
            return Some(fate.what);
        }
        let share = if txn.apply.is_empty() { 0.0 } else { self.state.lost_answers };
        (share > 0.0 && self.rng.random_bool(share)).then_some(Unanswered::AtOnce)
    }

    /// Carries out a transaction to which nobody gets an answer.
    pub(super) fn carry_out_late(&mut self, from: usize, txn: Transaction) {
        self.expire_leases();
        if txn.apply.iter().any(|c| matches!(c, Change::Set { set, .. } if set == FORMAT)) {
            self.stepping = Some(from);
        }
        self.transact(txn);
    }

    pub(super) fn keep_copy(&mut self, body: Vec<u8>) {
        if self.kept.len() >= COPIES_KEPT {
            self.kept.remove(0);
        }
        self.kept.push(body);
    }

    /// Another leads from now on: what was kept reaches every controller, before, in and after its
    /// reading of the records.
    pub(super) fn release_copies(&mut self) {
        for body in std::mem::take(&mut self.kept) {
            for node in 0..self.nodes.len() {
                let ms = [1, 12, 60, 400][self.rng.random_range(0..4usize)];
                let ms = ms + self.rng.random_range(0..=ms / 2);
                self.after(ms, Msg::Copy { node, body: body.clone() });
            }
        }
    }

    /// Something that is sent to a controller's mesh address; the status that it answers, if it
    /// answers at once.
    pub fn mesh(&mut self, node: usize, target: &str, body: Vec<u8>) -> Option<u16> {
        let now = Now { steady_ms: self.steady_ms(node), wall_ms: 1_000_000 + self.now };
        let (method, target) = ("POST".into(), target.to_string());
        let request = Request { method, target, body, close: false };
        let n = self.nodes[node].as_mut().unwrap();
        let (life, mut told) = (n.life, None);
        for action in n.core.handle(now, Event::Mesh { id: u64::MAX, request }) {
            match action {
                Action::Answer { id: u64::MAX, response } => told = Some(response.status),
                other => self.carry_out(node, life, vec![other]),
            }
        }
        told
    }

    /// A copy of a report as it is now, which arrives at a controller after so long.
    pub fn copy_later(&mut self, body: &[u8], node: usize, ms: u64) {
        self.after(ms, Msg::Copy { node, body: body.to_vec() });
    }

    /// Fetches what a machine lacks; whether a task has its image now.
    pub(super) fn fetch(&mut self, name: &str) -> bool {
        let (now, rate) = (self.now, self.fetch_gb_per_s.unwrap_or(f64::INFINITY));
        let Some(w) = self.workers.get_mut(name) else { return false };
        let jobs = &self.jobs;
        let image_of = |task: &str| jobs[task.rsplit_once('/').unwrap().0].image.clone();
        let wanted = |image: &String| {
            let waits = |(t, h): (&String, &Held)| {
                h.status == TaskStatus::Fetching && image_of(t) == *image
            };
            w.tasks.iter().any(waits)
        };
        // Given up when no task waits for it any more.
        let open: Vec<String> = w.fetching.keys().filter(|i| wanted(i)).cloned().collect();
        w.fetching.retain(|i, _| open.contains(i));
        let passed = (now - std::mem::replace(&mut w.fetched_ms, now)) as f64 / 1e3;
        let each = passed * rate / open.len().max(1) as f64;
        for image in open {
            let Some(left) = w.fetching.get_mut(&image) else { continue };
            *left -= each;
            if *left <= 0.0 {
                w.fetching.remove(&image);
                w.images.insert(image);
            }
        }
        let ready: Vec<String> = w
            .tasks
            .iter()
            .filter(|(t, h)| h.status == TaskStatus::Fetching && w.images.contains(&image_of(t)))
            .map(|(t, _)| t.clone())
            .collect();
        for task in &ready {
            let (job, _) = task.rsplit_once('/').unwrap();
            let spec = &self.jobs[job];
            let run = self.left_of(spec, task);
            let status = match spec.shape {
                Shape::Gang => TaskStatus::Waiting,
                _ => TaskStatus::Running,
            };
            let held = self.workers.get_mut(name).and_then(|w| w.tasks.get_mut(task));
            if let Some(held) = held {
                (held.status, held.ends_ms) = (status, now + run);
            }
        }
        !ready.is_empty()
    }

    /// A user has just been told something new of a job: it is asked about and submitted again at
    /// all nodes within milliseconds.
    pub(super) fn look_closely(&mut self, id: &str) {
        let spec = self.jobs.get(id).cloned();
        for node in 0..self.nodes.len() {
            self.poll(node, id);
            if let Some(spec) = &spec {
                self.ask(node, "POST", "/api/jobs", to_cbor(spec));
            }
        }
    }

    /// A job's last task has just ended.
    pub(super) fn ended(&mut self, id: &str) {
        self.edges.push((self.now, Edge::LastEnd));
        if !self.told.contains_key(id) {
            return;
        }
        if self.cancel_at_end > 0.0 && self.rng.random_bool(self.cancel_at_end) {
            let node = self.rng.random_range(0..self.nodes.len());
            self.abort(node, id);
        }
        if self.close_looks {
            self.look_closely(id);
        }
    }

    /// Users repeat submissions of unfinished jobs, cancel jobs that are done, and send jobs that
    /// fit nothing or lack a field.
    pub fn odd_request(&mut self, node: usize) {
        let told: Vec<(String, JobStatus)> =
            self.told.iter().map(|(id, s)| (id.clone(), *s)).collect();
        let n = self.rng.random_range(0..6u32);
        let one = (!told.is_empty()).then(|| told[self.rng.random_range(0..told.len())].clone());
        match (n, one) {
            (0 | 1, Some((id, status))) => {
                let mut spec = self.jobs[&id].clone();
                if n == 1 {
                    // Whatever the repeat says, the job is known.
                    (spec.cpus, spec.team) = (1_000.0, "nobody".into());
                }
                if !matches!(status, JobStatus::Aborted) {
                    self.ask(node, "POST", "/api/jobs", to_cbor(&spec));
                }
            }
            (2, Some((id, JobStatus::Done))) => drop(self.abort(node, &id)),
            (3, _) => drop(self.submit_never(node, |spec| spec.cpus = 64.0)),
            (4, _) => drop(self.submit_never(node, |spec| spec.zone = Some("nowhere".into()))),
            _ => drop(self.submit_lacking(node, "vcpus")),
        }
    }

    fn next_never(&mut self, status: u16) -> JobSpec {
        let id = format!("wk-9{:06}", self.never.len());
        self.never.insert(id.clone(), status);
        job(&id, Shape::Array, 1)
    }

    /// Submits a job that can never run.
    pub fn submit_never(&mut self, node: usize, how: impl Fn(&mut JobSpec)) -> usize {
        let mut spec = self.next_never(422);
        how(&mut spec);
        self.ask(node, "POST", "/api/jobs", to_cbor(&spec))
    }

    /// Submits a job without one of its fields.
    pub fn submit_lacking(&mut self, node: usize, field: &str) -> usize {
        let spec = self.next_never(400);
        let body = to_cbor(&without(&spec, field));
        self.ask(node, "POST", "/api/jobs", body)
    }

    /// Who sends starts of jobs whose cancellation a user was told of.
    pub(super) fn note_late_starts(&mut self, by: usize, call: &Call) {
        if call.target != "/orders" {
            return;
        }
        let orders = from_cbor::<OrdersRequest>(&call.body);
        for order in orders.map_or(Vec::new(), |o| o.orders) {
            let Order::Start { task, .. } = order else { continue };
            let job = task.rsplit_once('/').map_or("", |(j, _)| j);
            if let Some(at) = self.aborted_at.get(job) {
                let after_ms = self.now - at;
                self.check_late_start(by, &task, after_ms);
                self.late_starts.push(LateStart { task, by, after_ms });
            }
        }
    }
}

/// A submission as a map, without one of its fields.
pub fn without(spec: &JobSpec, field: &str) -> Value {
    let value = Value::serialized(spec).unwrap();
    let Ok(mut map) = value.into_map() else { unreachable!("a job is a map") };
    map.retain(|(k, _)| k.as_text() != Some(field));
    Value::Map(map)
}
