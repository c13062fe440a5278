//! What the world checks beyond the rules of each start and answer: places, refusals, and that
//! nobody waits while there is room.

use std::collections::BTreeMap;

use quartzgate_wire::msg::*;

use super::{World, CANCEL_MS, LEASE_MS, MEMORY_GB};

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
        let elsewhere = |(other, o): (&String, &super::Worker)| {
            let here = |t: &String| t.rsplit_once('/').is_some_and(|(j, _)| j == spec.id);
            let alive = |(t, h): (&String, &super::Held)| here(t) && h.status != TaskStatus::Exited;
            other != name && o.zone != w.zone && o.holds(self.now) && o.tasks.iter().any(alive)
        };
        if spec.together && self.workers.iter().any(elsewhere) {
            self.breaches.push(format!("wrong_place {}: {name}, others in another zone", spec.id));
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
        let fine = |w: &&super::Worker| !w.dead && w.hung_until <= now && !w.fails;
        let used = |w: &super::Worker| -> (f64, f64) {
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
}
