//! Machines rented and returned: by demand, price and what became of them.

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_wire::msg::{
    CloudStatus, JobKind, JobSpec, MachineList, MachineNames, Priority, ProvisionRequest,
};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::config::Config;
use crate::controller::{Controller, InFlight};
use crate::fleet::machines::{Machine, MachineState, Resources};
use crate::ids::MachineIndex;
use crate::jobs::{Job, JobState, TaskState};
use crate::storage::rate_limiter::RateLimiter;
use crate::{Outcome, Peer};

/// A machine that was rented and has not reported yet.
#[derive(Clone, Debug)]
struct PendingProvision {
    kind: String,
    zone: Option<u16>,
    spot: bool,
    since_ms: u64,
}

pub(crate) struct Provisioner {
    calls: RateLimiter,
    list_at_ms: u64,
    listed_once: bool,
    listing: bool,
    coming: BTreeMap<String, PendingProvision>,
    /// Types, zones and kinds that were refused, and until when they are left alone.
    refused: BTreeMap<(String, u16, bool), u64>,
    hires: u64,
    hiring: usize,
    asked: BTreeMap<(String, u16, bool), u32>,
    returning: Vec<MachineIndex>,
    /// Names on the list that is being read, and on the last one read whole.
    reading: BTreeSet<String>,
    listed: Option<BTreeSet<String>>,
    /// When each was asked for.
    reading_ms: u64,
    listed_ms: u64,
}

/// The cloud takes at most this many machines in one hire and one return.
const HIRE_MOST: u32 = 50;
const RETURN_MOST: usize = 100;
/// A machine costs at least this long (PROTOCOL).
const MIN_CHARGE_S: f64 = 60.0;
/// Machines that take longer than this many boot times are given up.
const BOOT_PATIENCE: f64 = 3.5;

impl Provisioner {
    pub fn new(cfg: &Config) -> Self {
        Provisioner {
            calls: RateLimiter::new(cfg.platform.params.cloud.rps * 0.8),
            list_at_ms: 0,
            listed_once: false,
            listing: false,
            coming: BTreeMap::new(),
            refused: BTreeMap::new(),
            hires: 0,
            hiring: 0,
            asked: BTreeMap::new(),
            returning: Vec::new(),
            reading: BTreeSet::new(),
            listed: None,
            reading_ms: 0,
            listed_ms: 0,
        }
    }

    /// Machines that were rented and have not reported yet.
    pub fn expected(&self) -> usize {
        self.coming.len()
    }
}

/// Demand of one job that no machine has room for now.
struct Unmet {
    spec: JobSpec,
    tasks: u32,
}

/// Machines of one type, zone and kind with so much room each, in thousandths.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    kind: String,
    zone: Option<u16>,
    spot: bool,
    room: [i64; 3],
}

impl Place {
    fn resources(&self) -> Resources {
        let [cpus, gpus, memory_gb] = self.room.map(|r| r as f64 / 1000.0);
        Resources { cpus, gpus, memory_gb }
    }

    /// The same machine with so many tasks more on it.
    fn with(&self, need: &Resources, tasks: u32) -> Place {
        let mut room = self.resources();
        room.add(need, -f64::from(tasks));
        Place { room: thousandths(&room), ..self.clone() }
    }
}

fn thousandths(room: &Resources) -> [i64; 3] {
    [room.cpus, room.gpus, room.memory_gb].map(|r| (r * 1000.0).round() as i64)
}

/// Free room of a fleet. Machines that are alike in it are counted, not listed, so that
/// weighing demand against it does not grow with the fleet.
#[derive(Default)]
struct Pool {
    places: BTreeMap<Place, u32>,
}

impl Pool {
    fn add(&mut self, place: Place, machines: u32) {
        if machines > 0 {
            *self.places.entry(place).or_default() += machines;
        }
    }

    fn remove(&mut self, place: &Place, machines: u32) {
        if let Some(n) = self.places.get_mut(place) {
            *n -= machines;
            if *n == 0 {
                self.places.remove(place);
            }
        }
    }

    /// Tasks that fit where they may.
    fn holds(&self, need: &Resources, may: impl Fn(&Place) -> bool) -> u32 {
        let places = self.places.iter().filter(|(p, _)| may(p));
        places
            .map(|(p, n)| p.resources().holds(need).saturating_mul(*n))
            .fold(0, u32::saturating_add)
    }

    /// Places as many of these tasks as fit; how many do not.
    fn fill(&mut self, need: &Resources, mut tasks: u32, may: impl Fn(&Place) -> bool) -> u32 {
        if tasks == 0 {
            return 0;
        }
        let fit = self.places.iter().filter(|(p, _)| may(p) && p.resources().fits(need));
        let found: Vec<(Place, u32)> = fit.map(|(p, n)| (p.clone(), *n)).collect();
        for (place, machines) in found {
            let holds = place.resources().holds(need).max(1);
            let full = (tasks / holds).min(machines);
            self.take(&place, full, need, holds);
            tasks -= full * holds;
            if full < machines && tasks > 0 {
                self.take(&place, 1, need, tasks);
                tasks = 0;
            }
            if tasks == 0 {
                break;
            }
        }
        tasks
    }

    /// So many machines take so many tasks each.
    fn take(&mut self, place: &Place, machines: u32, need: &Resources, tasks: u32) {
        self.remove(place, machines);
        self.add(place.with(need, tasks), machines);
    }
}

impl Controller {
    pub(crate) fn tick_provisioning(&mut self) {
        let now = self.context.now.steady_ms;
        let lag = (self.context.config.platform.params.cloud.list_lag_s * 1000.0) as u64;
        if now >= self.provisioner.list_at_ms && !self.provisioner.listing {
            self.provisioner.list_at_ms =
                now + lag.max(2 * self.context.config.heartbeat_interval_ms());
            self.list_machines(None);
        }
        self.release_idle();
        self.provision();
        self.send_releases();
    }

    pub(crate) fn list_machines(&mut self, since: Option<String>) {
        let mut target = "/machines?most=500".to_string();
        match &since {
            Some(s) => target.push_str(&format!("&since={s}")),
            None => self.provisioner.reading_ms = self.context.now.steady_ms,
        }
        self.provisioner.listing = true;
        self.call(Peer::Cloud, "GET", target, Vec::new(), 2000, InFlight::List { since });
    }

    pub(crate) fn on_list(&mut self, since: Option<String>, outcome: Outcome) {
        self.provisioner.listing = false;
        if since.is_none() {
            self.provisioner.reading.clear();
        }
        if !self.may_command_workers() {
            return;
        }
        let Outcome::Answer(r) = outcome else { return };
        if r.status != 200 {
            return;
        }
        let Ok(list) = from_cbor::<MachineList>(&r.body) else { return };
        self.provisioner.listed_once = true;
        let now = self.context.now.steady_ms;
        let last = list.machines.last().map(|m| m.name.clone());
        let mut failed = Vec::new();
        for l in list.machines {
            self.provisioner.reading.insert(l.name.clone());
            let known = self.machines.find(&l.name);
            // The list lags: what we have returned may still be on it.
            if known.and_then(|ix| self.machines.get(ix)).is_some_and(|m| {
                matches!(m.state, MachineState::Terminated | MachineState::Returning)
            }) {
                continue;
            }
            let zone = self
                .context
                .config
                .platform
                .params
                .zones
                .iter()
                .position(|z| *z == l.zone)
                .map(|z| z as u16);
            match l.status {
                CloudStatus::Failed => {
                    let ix = self.machine(&l.name);
                    self.provisioner.coming.remove(&l.name);
                    tracing::info!(machine = %l.name, "the cloud lists it as failed");
                    failed.push(ix);
                }
                CloudStatus::Booting => {
                    let patience = self.max_write_delay_ms(&l.kind);
                    let age = (l.age_s * 1000.0) as u64;
                    self.provisioner.coming.entry(l.name.clone()).or_insert(PendingProvision {
                        kind: l.kind,
                        zone,
                        spot: l.spot,
                        since_ms: now.saturating_sub(age),
                    });
                    if known.is_some_and(|ix| self.heard(ix)) {
                        self.provisioner.coming.remove(&l.name);
                    } else if age > patience {
                        tracing::info!(machine = %l.name, age_s = l.age_s, "never came up");
                        self.provisioner.coming.remove(&l.name);
                        let ix = self.machine(&l.name);
                        self.begin_release(ix);
                    }
                }
                CloudStatus::Running => {
                    let ix = self.machine(&l.name);
                    let Some(m) = self.machines.get_mut(ix) else { continue };
                    m.listed = true;
                    let unheard = m.last_heard_ms == 0;
                    if m.addr.is_none() {
                        m.addr = l.addr.parse().ok();
                    }
                    if m.kind.is_empty() {
                        m.kind = l.kind.clone();
                        m.zone = zone;
                        m.spot = l.spot;
                    }
                    let quiet =
                        now >= m.probed_ms + 2 * self.context.config.heartbeat_interval_ms();
                    if unheard && quiet {
                        self.inspect(ix);
                    }
                    if !unheard {
                        self.provisioner.coming.remove(&l.name);
                    }
                }
            }
        }
        for ix in failed {
            // It has stopped: nothing is on it. Deleting it tidies the list.
            if self.machines.get(ix).is_some_and(|m| m.state != MachineState::Terminated) {
                self.set_machine_state(ix, MachineState::LeaseExpired);
                self.begin_release(ix);
            }
        }
        if list.more {
            return self.list_machines(last);
        }
        self.provisioner.listed = Some(std::mem::take(&mut self.provisioner.reading));
        self.provisioner.listed_ms = self.provisioner.reading_ms;
    }

    /// The last list that was read whole does not show it, and describes a moment at
    /// which it must have existed: it is gone. The list lags; it describes a later one
    /// if it shows a machine with a later name (names are in order of creation), or if
    /// we have known the machine for longer than a list can lag. Any other machine may
    /// be up and full of work without being listed.
    pub(crate) fn unlisted(&self, m: &Machine) -> bool {
        let Some(list) = &self.provisioner.listed else { return false };
        let lag_ms = (2000.0 * self.context.config.platform.params.cloud.list_lag_s) as u64;
        let later = list.last().is_some_and(|last| *last > m.name);
        let known = self.provisioner.listed_ms >= m.since_ms + lag_ms;
        (later || known) && !list.contains(&m.name)
    }

    fn heard(&self, ix: MachineIndex) -> bool {
        self.machines.get(ix).is_some_and(|m| m.last_heard_ms > 0)
    }

    /// Age past which a machine that has not come up is given up.
    fn max_write_delay_ms(&self, kind: &str) -> u64 {
        (self.boot_ms(kind) as f64 * BOOT_PATIENCE) as u64 + self.context.config.lease_ms()
    }

    /// How long a machine may be idle before it goes back: the longer, the less it
    /// costs beside the ordinary price of its type.
    fn idle_patience_ms(&self, kind: &str, spot: bool) -> f64 {
        let stay_ms = (self.boot_ms(kind) as f64).max(MIN_CHARGE_S * 1000.0);
        let t = self.types.iter().find(|t| t.name == kind && spot && t.spot_price > 0.0);
        let cheaper = t.map_or(1.0, |t| (t.price / t.spot_price).max(1.0));
        self.context.config.operator.idle_ratio * stay_ms * cheaper
    }

    fn boot_ms(&self, kind: &str) -> u64 {
        let s = self.types.iter().find(|t| t.name == kind).map_or(60.0, |t| t.boot_s);
        (s * 1000.0) as u64
    }

    /// Sends a machine back; its tasks are gone once the cloud has said so.
    pub(crate) fn begin_release(&mut self, ix: MachineIndex) {
        let state = self.machines.get(ix).map(|m| m.state);
        let under_way = matches!(state, Some(MachineState::Returning | MachineState::Terminated));
        if !under_way && !self.provisioner.returning.contains(&ix) {
            self.set_machine_state(ix, MachineState::Returning);
            self.provisioner.returning.push(ix);
        }
    }

    fn send_releases(&mut self) {
        let now = self.context.now.steady_ms;
        if self.provisioner.returning.is_empty() || !self.provisioner.calls.take(now, 1.0, 0.2) {
            return;
        }
        let all = std::mem::take(&mut self.provisioner.returning);
        let (go, rest) = all.split_at(all.len().min(RETURN_MOST));
        self.provisioner.returning = rest.to_vec();
        let names: Vec<String> =
            go.iter().filter_map(|ix| self.machines.get(*ix)).map(|m| m.name.clone()).collect();
        tracing::info!(machines = ?names, "returning");
        let body = to_cbor(&MachineNames { machines: names });
        let pending = InFlight::Return { machines: go.to_vec(), epoch: self.epoch() };
        self.call(Peer::Cloud, "POST", "/machines/return".into(), body, 3000, pending);
    }

    pub(crate) fn on_released(&mut self, machines: Vec<MachineIndex>, outcome: Outcome) {
        let done = matches!(&outcome, Outcome::Answer(r) if r.status == 200);
        for ix in machines {
            if done {
                let name = self.machines.get(ix).map(|m| m.name.clone()).unwrap_or_default();
                self.provisioner.coming.remove(&name);
                self.set_machine_state(ix, MachineState::Terminated);
            } else if !self.provisioner.returning.contains(&ix) {
                // Perhaps executed: asked again until the cloud confirms.
                self.provisioner.returning.push(ix);
            }
        }
    }

    /// Free room of the fleet, with what is coming up already.
    fn pool(&self) -> Pool {
        let mut free = Pool::default();
        for (_, m) in self.machines.iter().filter(|(_, m)| m.usable()) {
            // What the lowest priority uses makes way.
            let mut room = self.free_resources(m);
            room.add(&m.low(), 1.0);
            let room = thousandths(&room);
            free.add(Place { kind: m.kind.clone(), zone: m.zone, spot: m.spot, room }, 1);
        }
        let mut coming = |kind: &String, zone, spot, machines| {
            if let Some(all) = self.capacity_of(kind) {
                let room = thousandths(&all);
                free.add(Place { kind: kind.clone(), zone, spot, room }, machines);
            }
        };
        for c in self.provisioner.coming.values() {
            coming(&c.kind, c.zone, c.spot, 1);
        }
        for ((kind, zone, spot), n) in &self.provisioner.asked {
            coming(kind, Some(*zone), *spot, *n);
        }
        free
    }

    fn may_place(&self, spec: &JobSpec, place: &Place) -> bool {
        let all = self.capacity_of(&place.kind);
        !all.is_some_and(|all| self.misuses_gpus(spec, &all))
            && self.allows(spec, &place.kind, place.zone, place.spot)
    }

    /// Scarce GPUs are neither hired nor counted on for work that needs none.
    fn misuses_gpus(&self, spec: &JobSpec, all: &Resources) -> bool {
        all.gpus > 0.0 && spec.gpus <= 0.0 && self.ratios.gpus_scarce()
    }

    /// Tasks that wait and have no room now, after what is coming up already.
    fn unmet(&self) -> Vec<Unmet> {
        let mut free = self.pool();
        let mut jobs: Vec<_> =
            self.jobs.iter().filter(|(_, j)| j.state == JobState::Live).collect();
        jobs.sort_by_key(|(ix, j)| (std::cmp::Reverse(j.priority), *ix));
        let mut out = Vec::new();
        let mut extra: Vec<f64> = vec![0.0; self.teams.len()];
        for (_, job) in jobs {
            if job.spec.shape == JobKind::Gang {
                if job.failing_everywhere() {
                    continue;
                }
                out.extend(self.unmet_gang(job, &mut free));
                continue;
            }
            let dealt = job.tasks().filter(|(_, t)| t.state == TaskState::Waiting).count() as u32;
            let known: u32 =
                job.tasks().filter(|(_, t)| t.state != TaskState::Unplaced).count() as u32;
            let folded: u32 =
                job.done_chunks.iter().flat_map(|(a, b)| *a..=*b).map(|c| job.chunk_len(c)).sum();
            let undealt = job.spec.tasks.saturating_sub(known + folded);
            // No more than the team's limit lets run.
            let limit = self.context.config.platform.params.teams[job.team].cpus_max;
            let allowed = if limit > 0.0 {
                let left = limit - self.teams[job.team].reserved.cpus - extra[job.team];
                (left / job.spec.cpus.max(1e-9)).max(0.0) as u32
            } else {
                u32::MAX
            };
            let undealt = undealt.min(allowed);
            extra[job.team] += f64::from(undealt) * job.spec.cpus;
            let mut wanting = job.asking(dealt + undealt);
            // Guests use what is spare: nothing is hired for them while some of it runs.
            if self.is_best_effort(job) {
                wanting = wanting.min(u32::from(job.bound == 0));
            }
            let need = job.resources();
            if job.spec.spread {
                out.extend(self.unmet_spread(job, wanting, &mut free));
                continue;
            }
            wanting = free.fill(&need, wanting, |place| self.may_place(&job.spec, place));
            if wanting > 0 {
                out.push(Unmet { spec: job.spec.clone(), tasks: wanting });
            }
        }
        // Ordinary room kept warm for production starts.
        if let Some(u) = self.warm_room(&free) {
            out.push(u);
        }
        out
    }

    /// Demand of a job that is spread: each zone takes no more than the half.
    fn unmet_spread(&self, job: &Job, wanting: u32, free: &mut Pool) -> Vec<Unmet> {
        let zones = &self.context.config.platform.params.zones;
        let need = job.resources();
        let most = job.spec.tasks.div_ceil(2);
        let mut counts = vec![0u32; zones.len()];
        for (_, t) in job.tasks().filter(|(_, t)| t.state.machine().is_some()) {
            if let Some(z) = t.zone {
                counts[z as usize] += 1;
            }
        }
        let mut short = vec![0u32; zones.len()];
        for _ in 0..wanting {
            let fits = |p: &&Place| {
                p.zone.is_some_and(|z| counts[z as usize] < most)
                    && self.may_place(&job.spec, p)
                    && p.resources().fits(&need)
            };
            let place = free.places.keys().filter(fits);
            let place = place.min_by_key(|p| p.zone.map_or(0, |z| counts[z as usize])).cloned();
            if let Some(p) = place {
                free.take(&p, 1, &need, 1);
                counts[p.zone.unwrap_or(0) as usize] += 1;
                continue;
            }
            let open = (0..zones.len()).filter(|z| {
                counts[*z] < most && job.spec.zone.as_ref().is_none_or(|want| *want == zones[*z])
            });
            if let Some(z) = open.min_by_key(|z| counts[*z]) {
                counts[z] += 1;
                short[z] += 1;
            }
        }
        let in_zone = |z: usize| {
            let mut spec = job.spec.clone();
            spec.zone = Some(zones[z].clone());
            spec
        };
        let wanted = short.iter().enumerate().filter(|(_, n)| **n > 0);
        wanted.map(|(z, n)| Unmet { spec: in_zone(z), tasks: *n }).collect()
    }

    /// A gang's demand: all of it, in one zone if it must be together.
    fn unmet_gang(&self, job: &Job, free: &mut Pool) -> Option<Unmet> {
        if job.on > 0 || job.tasks().any(|(_, t)| t.state.machine().is_some()) {
            return None;
        }
        let need = job.resources();
        let zones = self.context.config.platform.params.zones.len() as u16;
        let choices: Vec<Option<u16>> =
            if job.spec.together { (0..zones).map(Some).collect() } else { vec![None] };
        let fits = |zone: Option<u16>, place: &Place| {
            (zone.is_none() || place.zone == zone) && self.may_place(&job.spec, place)
        };
        let allowed = |zone: &Option<u16>| {
            zone.is_none_or(|z| {
                let name = &self.context.config.platform.params.zones[z as usize];
                job.spec.zone.as_ref().is_none_or(|want| want == name)
            })
        };
        let room = |z: &Option<u16>| free.holds(&need, |p| fits(*z, p));
        let zone = choices.into_iter().filter(allowed).max_by_key(room)?;
        let wanting = free.fill(&need, job.spec.tasks, |p| fits(zone, p));
        let mut spec = job.spec.clone();
        if let Some(z) = zone {
            spec.zone = Some(self.context.config.platform.params.zones[z as usize].clone());
        }
        (wanting > 0).then_some(Unmet { spec, tasks: wanting })
    }

    /// Production tasks that would find no room, taken as a share of those running.
    fn warm_room(&self, free: &Pool) -> Option<Unmet> {
        let (need, wanted) = self.warm_needed()?;
        let largest = self.production().max_by(|a, b| a.spec.cpus.total_cmp(&b.spec.cpus))?;
        let have = free.holds(&need, |place| self.may_place(&largest.spec, place));
        // Work of lower priority makes room when production needs it.
        let preemptible_for: u32 = self
            .machines
            .iter()
            .filter(|(_, m)| m.usable() && !m.spot)
            .flat_map(|(_, m)| m.tasks.keys())
            .filter(|k| self.jobs.get(k.job).is_some_and(|j| j.priority < Priority::Production))
            .count() as u32;
        let short = wanted.saturating_sub(have.saturating_add(preemptible_for));
        (short > 0).then(|| Unmet { spec: largest.spec.clone(), tasks: short })
    }

    fn provision(&mut self) {
        if self.types.is_empty() || !self.may_command_workers() || self.provisioner.hiring >= 4 {
            return;
        }
        let now = self.context.now.steady_ms;
        // What runs already is heard of first.
        let unheard = self.machines.iter().any(|(_, m)| {
            m.last_heard_ms == 0
                && matches!(m.state, MachineState::Provisioning)
                && m.addr.is_some()
        });
        let early = now < self.epoch_began_ms + 2 * self.context.config.heartbeat_interval_ms();
        if !self.provisioner.listed_once || early && unheard {
            return;
        }
        self.provisioner.refused.retain(|_, until| *until > now);
        let zones = self.context.config.platform.params.zones.clone();
        let mut wants: BTreeMap<(String, u16, bool), f64> = BTreeMap::new();
        for u in self.unmet() {
            let need =
                Resources { cpus: u.spec.cpus, gpus: u.spec.gpus, memory_gb: u.spec.memory_gb };
            let left = f64::from(u.tasks);
            let mut best: Vec<(f64, (String, u16, bool), u32)> = Vec::new();
            for t in &self.types {
                let all = Resources { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb };
                let holds = all.holds(&need);
                if holds == 0 || self.misuses_gpus(&u.spec, &all) {
                    continue;
                }
                for (z, name) in zones.iter().enumerate() {
                    if !t.zones.contains(name) {
                        continue;
                    }
                    for spot in [true, false] {
                        let key = (t.name.clone(), z as u16, spot);
                        if !self.allows(&u.spec, &t.name, Some(z as u16), spot)
                            || self.provisioner.refused.contains_key(&key)
                            || spot && t.spot_price <= 0.0
                        {
                            continue;
                        }
                        let price = if spot { t.spot_price } else { t.price };
                        // Price of the tasks it would hold, empty places included.
                        let used = f64::from(holds.min(left.ceil() as u32).max(1));
                        let already = wants.get(&key).copied().unwrap_or(0.0);
                        best.push((price / used * (1.0 + 0.01 * already), key, holds));
                    }
                }
            }
            best.sort_by(|a, b| a.0.total_cmp(&b.0));
            if let Some((_, key, holds)) = best.into_iter().next() {
                let machines = left / f64::from(holds);
                *wants.entry(key).or_default() += machines;
            }
        }
        for ((kind, zone, spot), machines) in wants {
            let count = (machines.ceil() as u32).min(HIRE_MOST);
            if count == 0 || !self.provisioner.calls.take(now, 1.0, 0.3) {
                continue;
            }
            self.provisioner.hires += 1;
            let name = format!("h-{}-{}", self.epoch(), self.provisioner.hires);
            tracing::info!(provision = %name, %kind, zone = %zones[zone as usize], spot, count, "hiring");
            let body = to_cbor(&ProvisionRequest {
                provision_id: name.clone(),
                kind: kind.clone(),
                zone: zones[zone as usize].clone(),
                spot,
                count,
            });
            self.provisioner.hiring += 1;
            *self.provisioner.asked.entry((kind.clone(), zone, spot)).or_default() += count;
            let pending =
                InFlight::Hire { kind, zone, spot, wanted: count, name, epoch: self.epoch() };
            self.call(Peer::Cloud, "POST", "/machines".into(), body, 3000, pending);
        }
    }

    pub(crate) fn on_provisioned(
        &mut self,
        kind: String,
        zone: u16,
        spot: bool,
        wanted: u32,
        name: String,
        outcome: Outcome,
    ) {
        let now = self.context.now.steady_ms;
        self.provisioner.hiring = self.provisioner.hiring.saturating_sub(1);
        let key = (kind.clone(), zone, spot);
        if let Some(n) = self.provisioner.asked.get_mut(&key) {
            *n = n.saturating_sub(wanted);
        }
        let hired = match &outcome {
            Outcome::Answer(r) if r.status == 200 => from_cbor::<MachineNames>(&r.body).ok(),
            _ => None,
        };
        let Some(hired) = hired else {
            // What a lost hire may still bring shows in the list.
            let pause = self.boot_ms(&kind) / 2;
            tracing::info!(provision = %name, %kind, spot, "hire refused");
            self.provisioner.refused.insert(key, now + pause);
            return;
        };
        tracing::info!(provision = %name, machines = ?hired.machines, "hired");
        if (hired.machines.len() as u32) < wanted {
            let pause = self.boot_ms(&kind) / 2;
            self.provisioner.refused.insert(key, now + pause);
        }
        for m in hired.machines {
            if self.machines.find(&m).is_some_and(|ix| self.heard(ix)) {
                continue;
            }
            let coming =
                PendingProvision { kind: kind.clone(), zone: Some(zone), spot, since_ms: now };
            self.provisioner.coming.insert(m, coming);
        }
    }

    /// Sends back what has long been idle, is faulty, or is of no use.
    fn release_idle(&mut self) {
        let now = self.context.now.steady_ms;
        if now < self.epoch_began_ms + self.context.config.lease_ms() {
            return;
        }
        let heard: Vec<String> = self
            .provisioner
            .coming
            .keys()
            .filter(|n| self.machines.find(n).is_some_and(|ix| self.heard(ix)))
            .cloned()
            .collect();
        for name in heard {
            self.provisioner.coming.remove(&name);
        }
        let stale: Vec<String> = self
            .provisioner
            .coming
            .iter()
            .filter(|(_, c)| now > c.since_ms + self.max_write_delay_ms(&c.kind))
            .map(|(n, _)| n.clone())
            .collect();
        for name in stale {
            tracing::info!(machine = %name, "never came up");
            self.provisioner.coming.remove(&name);
            let ix = self.machine(&name);
            self.begin_release(ix);
        }
        // Production's warm room is not idle.
        let mut serve_by_proxy = self.warm_needed();
        for ix in self.machines.indexes() {
            let Some(m) = self.machines.get(ix) else { continue };
            let patience = self.idle_patience_ms(&m.kind, m.spot);
            let idle = m.state == MachineState::Ready
                && m.tasks.is_empty()
                && m.queue.is_empty()
                && m.unproven.is_empty()
                && !m.command_in_flight
                && now as f64 > m.idle_since_ms as f64 + patience;
            let faulty = m.condemned(now) && m.state == MachineState::Ready && m.tasks.is_empty();
            let lost = m.state == MachineState::LeaseExpired
                && now
                    > m.last_heard_ms.max(m.answered_ms.unwrap_or(0))
                        + 2 * self.context.config.lease_expiry_ms();
            if m.interruption_at_ms.is_some() && !lost {
                continue;
            }
            if idle && !faulty && !m.spot {
                if let Some((need, left)) = serve_by_proxy.as_mut().filter(|(_, n)| *n > 0) {
                    let holds = self.capacity_of(&m.kind).map_or(0, |c| c.holds(need));
                    *left = left.saturating_sub(holds);
                    continue;
                }
            }
            if idle || faulty || lost {
                tracing::info!(machine = %m.name, idle, faulty, lost, "giving back");
                self.begin_release(ix);
            }
        }
        // Machines that are gone and that nothing refers to need no memory.
        let long_gone = |m: &Machine| {
            m.state == MachineState::Terminated
                && m.tasks.is_empty()
                && now
                    > m.last_heard_ms.max(m.since_ms) + 20 * self.context.config.lease_expiry_ms()
        };
        let mut old: BTreeSet<MachineIndex> =
            self.machines.iter().filter(|(_, m)| long_gone(m)).map(|(ix, _)| ix).collect();
        if !old.is_empty() {
            for (_, t) in self.jobs.iter().flat_map(|(_, j)| j.tasks()) {
                t.probes.iter().for_each(|p| {
                    old.remove(&p.machine);
                });
            }
            old.into_iter().for_each(|ix| self.machines.remove(ix));
        }
    }

    fn production(&self) -> impl Iterator<Item = &Job> {
        self.jobs
            .iter()
            .map(|(_, j)| j)
            .filter(|j| j.state == JobState::Live && j.spec.priority == Priority::Production)
    }

    /// Room of the largest production task, and how many such to keep warm.
    fn warm_needed(&self) -> Option<(Resources, u32)> {
        let largest = self.production().max_by(|a, b| a.spec.cpus.total_cmp(&b.spec.cpus))?;
        let running: f64 = self.production().map(|j| f64::from(j.on)).sum();
        let wanted = (running * self.context.config.operator.warm_share).ceil() as u32;
        Some((largest.resources(), wanted))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/cloud.rs"]
mod tests;
