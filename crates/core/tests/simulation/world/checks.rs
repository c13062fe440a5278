//! What the world checks beyond the rules of each start and answer: places, refusals, and that
//! nobody waits while there is room.

use super::*;

/// How long a job may wait, troubles over, while a fitting machine has room.
pub const WAITS_MOST_MS: u64 = 90_000;

impl World {
    /// `wrong_place`: a task starts where its job does not allow it.
    pub(super) fn check_place(&mut self, name: &str, spec: &JobSpec) {
        let w = &self.workers[name];
        let zone = spec.zone.as_ref().is_none_or(|z| *z == w.zone);
        let kind = spec.types.as_ref().is_none_or(|t| t.contains(&w.kind));
        if !zone || !kind || w.spot && !spec.spot {
            self.breaches.push(format!("wrong_place {}: {name} in {}", spec.id, w.zone));
        }
        let elsewhere = |(other, o): (&String, &Worker)| {
            let here = |t: &String| t.rsplit_once('/').is_some_and(|(j, _)| j == spec.id);
            let alive = |(t, h): (&String, &Held)| here(t) && h.status != TaskStatus::Exited;
            other != name && o.zone != w.zone && o.holds(self.now) && o.tasks.iter().any(alive)
        };
        if spec.together && self.workers.iter().any(elsewhere) {
            self.breaches.push(format!("wrong_place {}: {name}, others in another zone", spec.id));
        }
    }

    /// `quota`: the same of GPUs, of a team and of a machine.
    pub(super) fn check_gpus(&mut self, spec: &JobSpec) {
        let now = self.now;
        let alive = self.workers.values().filter(|w| w.holds(now)).flat_map(|w| &w.tasks);
        let alive = alive.filter(|(_, h)| h.status != TaskStatus::Exited);
        let used: f64 = alive.map(|(t, _)| self.jobs[t.rsplit_once('/').unwrap().0].gpus).sum();
        if self.limit_gpus > 0.0 && used + spec.gpus > self.limit_gpus + 1e-6 {
            self.breaches.push(format!("quota: {} GPUs at {now}", used + spec.gpus));
        }
    }

    /// A start is sent after its job's cancellation was confirmed: never by one that has told so
    /// itself, and by one that can't know of it only as long as it may command at all.
    pub(super) fn check_late_start(&mut self, by: usize, task: &str, after_ms: u64) {
        let job = task.rsplit_once('/').map_or("", |(j, _)| j).to_string();
        let knew = self.told_at.contains(&(by, self.lives[by], job));
        if knew || after_ms > CANCEL_MS - LEASE_MS {
            self.breaches.push(format!(
                "{task} started by n{by} {after_ms} ms after its cancellation, told there: {knew}"
            ));
        }
    }

    /// A submission that can't run (422) or is malformed (400) is never taken, and refused for
    /// what it is.
    pub(super) fn check_refusal(&mut self, ask: usize, id: &str, status: u16) {
        let Some(wanted) = self.never.get(id).copied() else { return };
        if self.asks[ask].path != "/api/jobs" {
            return;
        }
        *self.odd_answers.entry(status).or_default() += 1;
        if status != wanted && !matches!(status, 429 | 503) {
            self.breaches.push(format!("{id} ought to be refused with {wanted} and got {status}"));
        }
    }

    /// Accepted jobs with a task that has not ended and is on no machine, though machines that fit
    /// have room for what its job needs at once, and its team is under its limit.
    pub fn waits_beside_room(&self) -> Vec<String> {
        let now = self.now;
        let fine = |w: &&Worker| !w.dead && w.hung_until <= now && !w.fails;
        let used = |w: &Worker| -> (f64, f64) {
            let alive = w.tasks.iter().filter(|(_, h)| h.status != TaskStatus::Exited);
            let jobs = alive.map(|(t, _)| &self.jobs[t.rsplit_once('/').unwrap().0]);
            jobs.fold((0.0, 0.0), |(c, m), j| (c + j.cpus, m + j.memory_gb))
        };
        let all_used: f64 = self.workers.values().filter(|w| w.holds(now)).map(|w| used(w).0).sum();
        let mut out = Vec::new();
        for (id, _) in self.told.iter().filter(|(_, s)| !matches!(s, JobStatus::Done)) {
            let Some(spec) = self.jobs.get(id) else { continue };
            let before = self.before(id);
            let called_off =
                |j: &String| self.abort_asked.contains(j) || self.mistaken.contains_key(j);
            let done = |j: &String| self.told.get(j) == Some(&JobStatus::Done);
            if called_off(id) || before.iter().any(called_off) || !before.iter().all(done) {
                continue;
            }
            let on = self.on(id);
            let ended = self.done.get(id).map_or(0, |d| d.len()) as u32;
            let open = spec.tasks.saturating_sub(ended).saturating_sub(on.len() as u32);
            if open == 0 {
                continue;
            }
            let zone_of = |m: &String| self.workers[m].zone.clone();
            let mut in_zone: BTreeMap<String, u32> = BTreeMap::new();
            on.iter().for_each(|(_, m)| *in_zone.entry(zone_of(m)).or_default() += 1);
            let bound = spec.together.then(|| on.first().map(|(_, m)| zone_of(m))).flatten();
            // How many of its tasks there is room for, by zone.
            let mut room: BTreeMap<String, u32> = BTreeMap::new();
            for w in self.workers.values().filter(fine) {
                let zone = spec.zone.as_ref().is_none_or(|z| *z == w.zone)
                    && bound.as_ref().is_none_or(|z| *z == w.zone);
                let kind = spec.types.as_ref().is_none_or(|t| t.contains(&w.kind));
                if zone && kind && (spec.spot || !w.spot) {
                    let (cpus, memory) = used(w);
                    let fits = ((w.cpus - cpus + 1e-6) / spec.cpus)
                        .min((MEMORY_GB - memory + 1e-6) / spec.memory_gb)
                        .floor()
                        .max(0.0);
                    *room.entry(w.zone.clone()).or_default() += fits as u32;
                }
            }
            if spec.spread {
                let most = spec.tasks.div_ceil(2);
                for (zone, n) in &mut room {
                    *n = (*n).min(most.saturating_sub(in_zone.get(zone).copied().unwrap_or(0)));
                }
            }
            let there = match spec.together {
                true => room.values().max().copied().unwrap_or(0),
                false => room.values().sum(),
            };
            let need = if spec.shape == Shape::Gang { open } else { 1 };
            let limit = self.limit_cpus;
            let under = limit <= 0.0 || all_used + f64::from(need) * spec.cpus <= limit + 1e-6;
            // GPUs are not looked at here: whoever wants some is taken to have none beside it.
            let under = under && spec.gpus <= 0.0;
            if there >= need && under {
                out.push(id.clone());
            }
        }
        out
    }

    /// Troubles over: no job waits for 90 s while a machine that fits has room and its team is
    /// under its limit. Ends as soon as none waits so.
    pub fn nobody_waits_beside_room(&mut self) {
        let mut since: BTreeMap<String, u64> = BTreeMap::new();
        loop {
            let waits = self.waits_beside_room();
            since.retain(|id, _| waits.contains(id));
            if waits.is_empty() {
                return;
            }
            for id in waits {
                let began = *since.entry(id.clone()).or_insert(self.now);
                assert!(
                    self.now < began + WAITS_MOST_MS,
                    "seed {}: {id} waits beside room for {} ms",
                    self.seed,
                    self.now - began
                );
            }
            self.run(500);
        }
    }

    /// Troubles over: nobody is forgotten, and nobody waits beside room.
    pub fn all_is_well(&mut self) {
        self.nobody_is_forgotten();
        self.nobody_waits_beside_room();
        self.keep_rules();
    }

    /// Once all troubles are over: every job that was accepted and not cancelled is answered
    /// for within 75 s by every controller that is ready, however often it has to be asked.
    pub fn nobody_is_forgotten(&mut self) {
        let until = self.now + 75_000;
        let ready: Vec<usize> =
            (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some()).collect();
        let asks: Vec<usize> =
            ready.iter().map(|n| self.ask(*n, "GET", "/ready", vec![])).collect();
        self.run(1_000);
        let ready = ready.into_iter().zip(asks).filter(|(_, a)| self.status(*a) == 200);
        let ready: Vec<usize> = ready.map(|(n, _)| n).collect();
        let kept = self.told.keys().filter(|j| !self.abort_asked.contains(*j));
        let mut open: Vec<(usize, String)> =
            kept.flat_map(|j| ready.iter().map(|n| (*n, j.clone()))).collect();
        let mut said: Vec<u16> = Vec::new();
        while !open.is_empty() && self.now < until {
            let asks: Vec<usize> = open.iter().map(|(n, j)| self.poll(*n, &j.clone())).collect();
            self.run(2_000);
            let left = open.into_iter().zip(asks).filter(|(_, a)| self.status(*a) != 200);
            (open, said) = left.map(|(o, a)| (o, self.status(a))).unzip();
        }
        assert!(
            open.is_empty(),
            "seed {}: not answered for within 75 s: {open:?}, {said:?}",
            self.seed
        );
        self.keep_rules();
    }

    /// What stands only grows, a step at a time, and no controller that lives, as far as
    /// the state service knows, lacks what is switched on.
    pub(super) fn check_steps(&mut self, txn: &Transaction) {
        for change in &txn.apply {
            let Change::Set { set, value, .. } = change else { continue };
            if set != FORMAT {
                continue;
            }
            let read = |v: &Value| v.deserialized::<StandingRecord>().unwrap();
            let old = self.state.keys.get(FORMAT);
            let old = old.map_or(StandingRecord::first(), |k| read(&k.0));
            let new = read(value);
            let steps = new.version - old.version.min(new.version)
                + new.features.difference(&old.features).count() as u32;
            if self.stepping != self.leader() {
                self.breaches
                    .push(format!("{new:?} was set by {:?}, not the leader", self.stepping));
            }
            if !new.covers(&old) || steps != 1 {
                self.breaches.push(format!("{new:?} was set over {old:?}"));
            }
            for n in 0..self.nodes.len() {
                let lives = self.nodes[n].is_some()
                    && self.state.keys.contains_key(&format!("members/n{n}"))
                    && self.knew_life(n);
                let table = self.table_of(n);
                let ladder = Ladder::new(table, BTreeSet::new());
                let knows = matches!(ladder.understand(Some(new.clone())), Stands::At(_));
                if lives && (!knows || self.old.contains(&n)) {
                    self.breaches.push(format!("{new:?} was set while n{n} lives, which lacks it"));
                }
            }
        }
    }

    /// The key on a controller's lease is of its present life.
    pub(super) fn knew_life(&self, n: usize) -> bool {
        let key = self.state.keys.get(&format!("members/n{n}"));
        key.is_some_and(|k| k.1 > self.born_rev[n])
    }

    pub(super) fn table_of(&self, n: usize) -> &'static Table {
        self.tables.get(&n).copied().unwrap_or(&TABLE)
    }

    /// A live job that was told to be accepted stands in a page or in a record of its own,
    /// and its share in one place only.
    pub(super) fn check_places(&mut self) {
        let mut paged = BTreeSet::new();
        for (_, v) in self.state.keys.iter().filter(|(k, _)| k.starts_with(PAGES)) {
            match v.0.deserialized::<PageRecord>() {
                Ok(page) => paged.extend(page.ids().cloned()),
                Err(_) => return,
            }
        }
        for id in self.told.keys() {
            let own = self.state.keys.get(&format!("jobs/{id}"));
            if own.is_none() && !paged.contains(id) {
                self.breaches.push(format!("{id} stands nowhere"));
            }
            let record = own.and_then(|k| k.0.deserialized::<JobRecord>().ok());
            let inline = record.is_some_and(|r| r.share.is_some());
            if inline && self.state.keys.contains_key(&format!("shares/{id}/0/0")) {
                self.breaches.push(format!("the share of {id} stands in two places"));
            }
        }
    }

    /// No share is ever written by an owner of an earlier view.
    pub(super) fn check_epochs(&mut self, txn: &Transaction) {
        use quartzgate_core::records::{read_share, View, SHARES};
        let view = self.state.keys.get(VIEW).and_then(|(v, _, _)| v.deserialized::<View>().ok());
        let epoch = view.map_or(0, |v| v.epoch);
        for change in &txn.apply {
            let Change::Set { set, value, .. } = change else { continue };
            let share = read_share(set, value, 1).map(|s| s.record);
            if set.starts_with(SHARES) && share.is_some_and(|s| s.epoch < epoch) {
                self.breaches.push(format!("{set} written by an owner of an earlier epoch"));
            }
        }
    }
}
