//! Users: what they ask, what they are told, and the rules of answers.

use super::*;

impl World {
    pub fn ask(&mut self, node: usize, method: &'static str, path: &str, body: Vec<u8>) -> usize {
        let ask = self.asks.len();
        let mut parts = path.split('/');
        let told = match path {
            "/api/jobs" => named_in(&body),
            _ => parts.nth(3).map(String::from),
        };
        let told = told.and_then(|id| self.told.get(&id).copied());
        self.asks.push(Ask {
            node,
            method,
            path: path.into(),
            body,
            told,
            sent_ms: self.now,
            answer: None,
        });
        self.after(1, Msg::User { node, ask: ask as u64 });
        ask
    }

    pub fn submit(&mut self, node: usize, spec: &JobSpec) -> usize {
        self.jobs.insert(spec.id.clone(), spec.clone());
        self.ask(node, "POST", "/api/jobs", to_cbor(spec))
    }

    /// Jobs that a job needs, directly or through others.
    pub fn before(&self, id: &str) -> Vec<String> {
        let (mut out, mut open) = (Vec::new(), vec![id.to_string()]);
        while let Some(at) = open.pop() {
            for dep in self.jobs.get(&at).into_iter().flat_map(|j| &j.dependencies) {
                if !out.contains(dep) {
                    out.push(dep.clone());
                    open.push(dep.clone());
                }
            }
        }
        out
    }

    /// How a job stands on record.
    pub fn recorded(&self, id: &str) -> Option<quartzgate_core::records::RecordedStatus> {
        let (value, _, _) = self.state.keys.get(&format!("jobs/{id}"))?;
        value.deserialized::<quartzgate_core::records::JobRecord>().ok().map(|r| r.status)
    }

    /// What has been switched on.
    pub fn stands(&self) -> StandingRecord {
        let key = self.state.keys.get(FORMAT);
        key.map_or(StandingRecord::first(), |(v, _, _)| v.deserialized().unwrap())
    }

    /// No job shares a record: each is turned away that can't have one of its own.
    pub fn without_pages(&mut self) {
        for n in 0..self.size() {
            self.withhold.insert(n, vec!["format-4".into()]);
        }
        self.start_anew();
    }

    /// All controllers as their settings are now.
    pub fn start_anew(&mut self) {
        for n in 0..self.size() {
            self.kill(n);
            self.start(n);
        }
    }

    /// All controllers anew, all small jobs in pages or only while changes are scarce; until one
    /// leads and all steps are taken.
    pub fn start_paged(&mut self, paged: bool) {
        self.paged = paged;
        self.start_anew();
        let ready = |w: &World| w.stands().version >= 4 && w.leader().is_some();
        self.until(20_000, "all steps are taken", ready);
    }

    /// Writes that are held.
    pub fn steps_held(&self) -> usize {
        self.held.len()
    }

    /// Replaces a controller by one of another build: away for a moment, then back.
    pub fn replace(&mut self, n: usize, table: &'static Table, ms: u64) {
        self.old.remove(&n);
        self.tables.insert(n, table);
        self.kill_for(n, ms);
    }

    pub fn size(&self) -> usize {
        self.nodes.len()
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.nodes[n].is_some()
    }

    /// The latch stands.
    pub fn latched(&self) -> bool {
        self.state.keys.contains_key("format")
    }

    pub fn abort(&mut self, node: usize, id: &str) -> usize {
        self.abort_asked.insert(id.to_string());
        self.ask(node, "POST", &format!("/api/jobs/{id}/abort"), Vec::new())
    }

    pub fn poll(&mut self, node: usize, id: &str) -> usize {
        self.ask(node, "GET", &format!("/api/jobs/{id}"), Vec::new())
    }

    pub fn status(&self, ask: usize) -> u16 {
        self.asks[ask].answer.as_ref().map_or(0, |r| r.status)
    }

    /// Submits until it is accepted, as a user would, on whatever node answers.
    pub fn submit_surely(&mut self, spec: &JobSpec) {
        self.insist(60_000, |w, n| w.submit(n, spec), |s| s == 200 || s == 201);
    }

    pub fn abort_surely(&mut self, id: &str) {
        self.insist(60_000, |w, n| w.abort(n, id), |s| s == 200);
    }

    /// Asks node after node until the answer is as wanted.
    pub fn insist(
        &mut self,
        within_ms: u64,
        mut ask: impl FnMut(&mut World, usize) -> usize,
        good: impl Fn(u16) -> bool,
    ) {
        let end = self.now + within_ms;
        let mut node = 0;
        while self.now < end {
            let a = ask(self, node);
            self.run(1_200);
            if good(self.status(a)) {
                return;
            }
            node = (node + 1) % self.nodes.len();
        }
        panic!("no answer as wanted within {within_ms} ms; breaches: {:?}", self.breaches);
    }

    /// Polls until the job is done.
    pub fn until_done(&mut self, id: &str, within_ms: u64) {
        let end = self.now + within_ms;
        let mut node = 0;
        while self.now < end {
            self.poll(node, id);
            self.run(500);
            if self.told.get(id) == Some(&JobStatus::Done) {
                return;
            }
            node = (node + 1) % self.nodes.len();
        }
        panic!(
            "{id} not done within {within_ms} ms; {:?}; breaches {:?}",
            self.done.get(id),
            self.breaches
        );
    }

    pub fn until(&mut self, within_ms: u64, what: &str, mut good: impl FnMut(&World) -> bool) {
        let end = self.now + within_ms;
        while self.now < end {
            if good(self) {
                return;
            }
            self.run(20);
        }
        panic!("{what}: not within {within_ms} ms; breaches: {:?}", self.breaches);
    }

    /// Tasks of a job that are on machines now.
    pub fn on(&self, id: &str) -> Vec<(String, String)> {
        let prefix = format!("{id}/");
        let mut out = Vec::new();
        for (name, w) in self.workers.iter().filter(|(_, w)| !w.dead) {
            for (t, h) in &w.tasks {
                if t.starts_with(&prefix) && h.status != TaskStatus::Exited {
                    out.push((t.clone(), name.clone()));
                }
            }
        }
        out
    }

    pub fn keep_rules(&self) {
        assert!(self.breaches.is_empty(), "seed {}: {:#?}", self.seed, self.breaches);
    }

    pub(super) fn user_answer(&mut self, ask: usize, response: Response) {
        let patience = if self.asks[ask].method == "GET" { 2_000 } else { 5_000 };
        if self.now > self.asks[ask].sent_ms + patience {
            return;
        }
        let id = match self.asks[ask].path.as_str() {
            "/api/jobs" => named_in(&self.asks[ask].body).unwrap_or_default(),
            path => path.split('/').nth(3).unwrap_or("").to_string(),
        };
        if response.status == 503 && response.retry_after_s.is_none() {
            self.breaches.push("a 503 without Retry-After".into());
        }
        self.check_refusal(ask, &id, response.status);
        let known = self.told.get(&id).copied();
        let asks_after = self.asks[ask].path != "/api/jobs";
        match response.status {
            200 | 201 => {
                if let Ok(a) = from_cbor::<JobAnswer>(&response.body) {
                    if !self.jobs.contains_key(&id) {
                        self.breaches.push(format!("invented {id}"));
                    }
                    let ended = |s: Option<JobStatus>| {
                        matches!(s, Some(JobStatus::Done | JobStatus::Aborted))
                    };
                    let told = self.asks[ask].told;
                    if ended(told) && told != Some(a.status) {
                        self.breaches.push(format!("went_back {id}: {told:?} then {:?}", a.status));
                    }
                    if a.status == JobStatus::Done {
                        let all = self.jobs.get(&id).map_or(0, |j| j.tasks as usize);
                        if self.done.get(&id).map_or(0, |d| d.len()) < all {
                            self.breaches.push(format!("not_done {id}"));
                        }
                    }
                    let cut_off = self
                        .before(&id)
                        .into_iter()
                        .filter_map(|p| self.aborted_at.get(&p).copied());
                    let first = cut_off.min();
                    let lives = matches!(a.status, JobStatus::Queued | JobStatus::Running);
                    if lives && first.is_some_and(|at| self.now > at + CANCEL_MS) {
                        self.breaches.push(format!("orphaned {id}: {:?}", a.status));
                    }
                    let asked = self.abort_asked.contains(&id);
                    let behind = self.before(&id).iter().any(|p| self.abort_asked.contains(p));
                    if a.status == JobStatus::Aborted && !asked && !behind {
                        self.breaches.push(format!("went_back {id}: nobody cancelled it"));
                    }
                    if a.status == JobStatus::Aborted {
                        let now = self.now;
                        let node = self.asks[ask].node;
                        self.told_at.insert((node, self.lives[node], id.clone()));
                        // To the millisecond, from the first confirmation that a user got.
                        if !self.aborted_at.contains_key(&id) {
                            self.aborted_at.insert(id.clone(), now);
                            self.edges.push((now, Edge::Confirmed));
                            self.after(CANCEL_MS + 1, Msg::CancelDue { job: id.clone() });
                        }
                    }
                    let (one, other) = (known, Some(a.status));
                    if ended(one) && ended(other) && one != other {
                        self.breaches.push(format!("went_back {id}: {one:?} and {other:?}"));
                    }
                    let news = known.is_none() || ended(one) != ended(other);
                    if !ended(known) {
                        self.told.insert(id.clone(), a.status);
                    }
                    if news && self.close_looks {
                        self.look_closely(&id);
                    }
                }
            }
            // What is sent along with the submission may be decided before it.
            404 if known.is_some() && self.asks[ask].told.is_none() && asks_after => {}
            404 | 400 | 422 if known.is_some() => {
                self.breaches.push(format!("forgotten {id}: {}", response.status))
            }
            _ => {}
        }
        self.asks[ask].answer = Some(response);
    }
}
