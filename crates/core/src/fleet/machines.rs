//! Machines: what their reports prove, what they are told, when they are presumed
//! empty.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use quartzgate_reachability::{
    CommandRoute, DuplicateDetector, Freshness, MessageNumber, Reachability, Timing,
};
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{
    ExitCause, Forward, Heartbeat, HeartbeatAnswer, JobKind, Order, OrdersRequest, Priority,
    Redirect,
};
use quartzgate_wire::msg::{HeartbeatTask, TaskStatus};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::capacity::forget_oldest;
use crate::controller::{Controller, InFlight};
use crate::fleet::fault_attribution::JobHealth;
use crate::ids::{
    epoch_of, parse_task, scoped_to_epoch, task_name, ImageKey, JobIndex, MachineIndex, TaskKey,
};
use crate::jobs::{JobState, TaskState};
use crate::lease_proxy::mailbox::Envelope;
use crate::membership::Role;
use crate::{Outcome, Peer, RequestId};

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

impl Resources {
    pub fn add(&mut self, other: &Resources, times: f64) {
        self.cpus += other.cpus * times;
        self.gpus += other.gpus * times;
        self.memory_gb += other.memory_gb * times;
    }

    pub fn minus(&self, other: &Resources) -> Resources {
        let mut r = *self;
        r.add(other, -1.0);
        r
    }

    /// Whether `need` fits, forgiving what binary fractions lose.
    pub fn fits(&self, need: &Resources) -> bool {
        const DUST: f64 = 1e-6;
        self.cpus + DUST >= need.cpus
            && self.gpus + DUST >= need.gpus
            && self.memory_gb + DUST >= need.memory_gb
    }

    /// How many tasks of `need` fit.
    pub fn holds(&self, need: &Resources) -> u32 {
        let part = |have: f64, want: f64| if want > 0.0 { (have + 1e-6) / want } else { 1e6 };
        let least = part(self.cpus, need.cpus)
            .min(part(self.gpus, need.gpus))
            .min(part(self.memory_gb, need.memory_gb));
        least.max(0.0) as u32
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Hired or named in a record, never heard under this owner.
    Provisioning,
    /// Heard, but has not shown our token yet.
    Registering,
    /// Shows our token: its reports are the truth.
    Ready,
    /// Silent for longer than its lease: its tasks are gone.
    LeaseExpired,
    /// Being returned.
    Returning,
    /// Returned, failed or taken: nothing can be on it.
    Terminated,
}

#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub addr: Option<SocketAddr>,
    pub kind: String,
    pub zone: Option<u16>,
    pub spot: bool,
    pub state: MachineState,
    pub agent_epoch: u64,
    /// Where its messages stand, so that late copies say nothing.
    pub duplicates: DuplicateDetector,
    pub reachability: Reachability,
    pub acknowledged_token: u64,
    /// Token that we command it with: the epoch and a counter that rises whenever
    /// an order's fate is unknown, so that a late order can't match.
    pub fencing_token: u64,
    /// When we last answered one of its reports.
    pub answered_ms: Option<u64>,
    /// When anything of its last reached us.
    pub last_heard_ms: u64,
    pub since_ms: u64,
    pub interruption_at_ms: Option<u64>,
    pub tasks: BTreeMap<TaskKey, u64>,
    pub queue: Vec<TaskKey>,
    /// E\[W\] of the queue, estimated anew each report round.
    pub wait_s: f64,
    /// Tasks that an earlier owner may have started here.
    pub unproven: Vec<TaskKey>,
    pub used: Resources,
    /// What of it each priority uses and would give up, the lowest first.
    pub preemptible_by_priority: [Resources; 4],
    /// What services of each priority use, which don't end by themselves, as of this round.
    pub services_by_priority: [Resources; 4],
    pub idle_since_ms: u64,
    /// Starts bound here and not sent yet.
    pub pending_starts: Vec<(TaskKey, u64)>,
    /// The last call to it was not answered, and since when that has been so.
    pub cut: bool,
    pub unreachable_since_ms: u64,
    /// The sibling that passes its reports on, by its place in the settings.
    pub relayed_by: Option<usize>,
    /// The keeper that posts its reports, by its place in the settings.
    pub via: Option<usize>,
    /// A call with orders is under way.
    pub command_in_flight: bool,
    pub reported: Vec<HeartbeatTask>,
    /// The newest report began a session: all of earlier ones is gone.
    pub fresh_session: bool,
    /// Images that tasks have run from here, by key.
    pub images: BTreeSet<ImageKey>,
    /// Jobs whose tasks failed here since one last completed.
    pub failures: BTreeSet<JobIndex>,
    pub quarantined: bool,
    /// When a machine that is quarantined is emptied and given back.
    pub empty_from_ms: u64,
    pub no_room_until_ms: u64,
    /// Age by the cloud's list, if it was listed.
    pub listed: bool,
    pub probed_ms: u64,
}

impl Machine {
    /// Taken for faulty, and for long enough to be sure of it.
    pub fn condemned(&self, now_ms: u64) -> bool {
        self.quarantined && now_ms >= self.empty_from_ms
    }

    /// What the lowest priority uses: it makes way for all others.
    pub fn low(&self) -> Resources {
        self.preemptible_by_priority[Priority::Low as usize]
    }

    /// Room that work of this priority could make: below high priority only the lowest
    /// makes way.
    pub fn preemptible_for(&self, priority: Priority) -> Resources {
        let below = match priority {
            Priority::Low => 0,
            Priority::Normal => 1,
            high => high as usize,
        };
        let mut all = Resources::default();
        self.preemptible_by_priority[..below].iter().for_each(|room| all.add(room, 1.0));
        all
    }

    /// Room that services hold against work of this priority for as long as they run.
    pub fn held_by_services(&self, priority: Priority) -> Resources {
        let mut all = Resources::default();
        self.services_by_priority[priority as usize..].iter().for_each(|room| all.add(room, 1.0));
        all
    }

    pub fn usable(&self) -> bool {
        self.state == MachineState::Ready
            && !self.quarantined
            && self.interruption_at_ms.is_none()
            && !self.reachability.is_one_way_unreachable()
    }

    /// May be given a start now.
    pub fn takes_work(&self, now_ms: u64) -> bool {
        self.usable() && now_ms >= self.no_room_until_ms && self.reachability.accepts_new_work()
    }
}

#[derive(Default)]
pub struct Machines {
    table: BTreeMap<MachineIndex, Machine>,
    by_name: HashMap<String, MachineIndex>,
    next: u32,
}

impl Machines {
    pub fn get(&self, ix: MachineIndex) -> Option<&Machine> {
        self.table.get(&ix)
    }

    pub fn get_mut(&mut self, ix: MachineIndex) -> Option<&mut Machine> {
        self.table.get_mut(&ix)
    }

    pub fn find(&self, name: &str) -> Option<MachineIndex> {
        self.by_name.get(name).copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = (MachineIndex, &Machine)> {
        self.table.iter().map(|(ix, m)| (*ix, m))
    }

    pub fn len(&self) -> usize {
        self.table.len()
    }

    pub fn indexes(&self) -> Vec<MachineIndex> {
        self.table.keys().copied().collect()
    }

    /// Time in which nothing was given to machines does not count as idle.
    pub fn idle_later(&mut self, by_ms: u64, now_ms: u64) {
        for m in self.table.values_mut() {
            m.idle_since_ms = (m.idle_since_ms + by_ms).min(now_ms);
        }
    }

    pub fn remove(&mut self, ix: MachineIndex) {
        if let Some(m) = self.table.remove(&ix) {
            self.by_name.remove(&m.name);
        }
    }
}

/// How orders reach a machine.
enum Route {
    Direct,
    /// By the sibling that passes its reports on.
    Relay(usize),
    /// By the state service and a keeper.
    MailboxRecord(usize),
}

impl Controller {
    pub(crate) fn machine(&mut self, name: &str) -> MachineIndex {
        if let Some(ix) = self.machines.find(name) {
            return ix;
        }
        let ix = MachineIndex(self.machines.next);
        self.machines.next += 1;
        let now = self.context.now.steady_ms;
        let machine = Machine {
            name: name.to_string(),
            addr: None,
            kind: String::new(),
            zone: None,
            spot: false,
            state: MachineState::Provisioning,
            agent_epoch: 0,
            duplicates: DuplicateDetector::default(),
            reachability: Reachability::default(),
            acknowledged_token: 0,
            fencing_token: scoped_to_epoch(self.epoch(), 0),
            answered_ms: None,
            last_heard_ms: 0,
            since_ms: now,
            interruption_at_ms: None,
            tasks: BTreeMap::new(),
            queue: Vec::new(),
            wait_s: 0.0,
            unproven: Vec::new(),
            used: Resources::default(),
            preemptible_by_priority: Default::default(),
            services_by_priority: Default::default(),
            idle_since_ms: now,
            pending_starts: Vec::new(),
            cut: false,
            unreachable_since_ms: 0,
            relayed_by: None,
            via: None,
            command_in_flight: false,
            reported: Vec::new(),
            fresh_session: false,
            images: BTreeSet::new(),
            failures: BTreeSet::new(),
            quarantined: false,
            empty_from_ms: 0,
            no_room_until_ms: 0,
            listed: false,
            probed_ms: 0,
        };
        self.machines.by_name.insert(name.to_string(), ix);
        self.machines.table.insert(ix, machine);
        ix
    }

    /// The one function that changes a machine's state.
    pub(crate) fn set_machine_state(&mut self, ix: MachineIndex, state: MachineState) {
        let Some(m) = self.machines.get_mut(ix) else { return };
        // What is being returned stays so until the cloud has said that it is gone.
        let leaving = m.state == MachineState::Returning && state != MachineState::Terminated;
        if m.state == state || leaving || m.state == MachineState::Terminated {
            return;
        }
        let old = std::mem::replace(&mut m.state, state);
        match state {
            MachineState::Ready => {
                if matches!(old, MachineState::Provisioning | MachineState::Registering) {
                    tracing::debug!(machine = %m.name, "ready");
                }
                self.machines_to_dispatch.insert(ix);
                self.supply_changed = true;
            }
            MachineState::LeaseExpired | MachineState::Terminated => self.on_machine_empty(ix),
            _ => {}
        }
    }

    /// Nothing that was on the machine can be there any more.
    fn on_machine_empty(&mut self, ix: MachineIndex) {
        let (epoch, now) = (self.epoch(), self.context.now.steady_ms);
        let Some(m) = self.machines.get_mut(ix) else { return };
        // Orders still under way must not match when they arrive.
        m.fencing_token = scoped_to_epoch(epoch, (m.fencing_token & 0xff_ffff) + 1);
        m.reported.clear();
        m.pending_starts.clear();
        m.images.clear();
        m.reachability.on_lease_expired();
        m.idle_since_ms = now;
        let unproven = std::mem::take(&mut m.unproven);
        let lost: Vec<TaskKey> = m.tasks.keys().copied().collect();
        tracing::info!(machine = %m.name, state = ?m.state, tasks = lost.len(), "machine empty");
        for key in lost {
            self.return_to_queue(key);
        }
        self.prove_not_running(ix, unproven);
        self.requeue_probes(ix);
        self.supply_changed = true;
    }

    /// None of these tasks can be on the machine any more.
    fn prove_not_running(&mut self, ix: MachineIndex, keys: Vec<TaskKey>) {
        for key in keys {
            let Some(task) = self.jobs.task_mut(key) else { continue };
            for p in task.probes.iter_mut().filter(|p| p.machine == ix) {
                p.unproven = false;
            }
            if task.state == TaskState::Unproven && !task.probes.iter().any(|p| p.unproven) {
                self.return_to_queue(key);
            }
        }
    }

    /// The machine will take no task: its queue's tasks need other probes.
    pub(crate) fn requeue_probes(&mut self, ix: MachineIndex) {
        let Some(m) = self.machines.get_mut(ix) else { return };
        let queue = std::mem::take(&mut m.queue);
        if !queue.is_empty() {
            self.reprobe_due = true;
        }
    }

    /// A worker's report: `POST /checkin`.
    pub(crate) fn on_heartbeat(&mut self, id: RequestId, body: Vec<u8>, relayed_by: Option<usize>) {
        let report: Heartbeat = match from_cbor(&body) {
            Ok(r) => r,
            Err(e) => return self.answer_error(id, 400, &e.to_string()),
        };
        if !is_plausible(&report) {
            return self.answer_error(id, 400, "senseless report");
        }
        if epoch_of(report.fencing_token) > self.epoch() && self.leads() {
            tracing::info!(machine = %report.machine, "superseded: a worker has seen a later epoch");
            self.step_down();
        }
        if self.leadership_unverified() || self.has_to_read(&report) {
            return self.hold_heartbeat(id, body, relayed_by);
        }
        if !self.may_command_workers() {
            if relayed_by.is_some() {
                return self.redirect(id);
            }
            if self.takes_in(&report) && self.relay(id, &report, body) {
                return;
            }
            if self.serve_by_proxy(id, &report) {
                return;
            }
            return self.redirect(id);
        }
        if let Some(near) = self.nearer(&report).filter(|_| relayed_by.is_none()) {
            let body = to_cbor(&Redirect { leader: Some(near) });
            return self.answer(id, Response::new(421, body));
        }
        let ix = self.machine(&report.machine);
        let Some(m) = self.machines.get_mut(ix) else { return };
        match m.duplicates.record_heartbeat(MessageNumber {
            agent_epoch: report.agent_epoch,
            sequence: report.seq,
        }) {
            Freshness::New => {}
            // Sent before what we heard last, and so is the lease that an answer gives.
            Freshness::Superseded => {
                m.answered_ms = Some(m.answered_ms.unwrap_or(0).max(m.last_heard_ms));
                let body = to_cbor(&HeartbeatAnswer {
                    fencing_token: m.fencing_token,
                    orders: Vec::new(),
                });
                return self.answer(id, Response::new(200, body));
            }
            // Nobody waits for an answer, and none that is given here may keep anything alive.
            Freshness::Duplicate => {
                self.duplicates_dropped += 1;
                return self.answer(id, Response::new(421, to_cbor(&Redirect { leader: None })));
            }
        }
        self.apply_heartbeat(ix, report);
        let now = self.context.now.steady_ms;
        let orders = self.standing_orders(ix);
        let Some(m) = self.machines.get_mut(ix) else { return };
        m.answered_ms = Some(now);
        m.reachability.on_heartbeat_answered();
        m.relayed_by = relayed_by;
        (m.cut, m.via) = (m.cut && relayed_by.is_some(), None);
        let body = to_cbor(&HeartbeatAnswer { fencing_token: m.fencing_token, orders });
        self.answer(id, Response::new(200, body));
    }

    /// A leader that reads the records answers for a machine once it has read every job that runs
    /// there: what it has not read may have been cancelled long before it took the lead.
    fn has_to_read(&self, report: &Heartbeat) -> bool {
        let unread =
            |job: &str| self.jobs.find(job).is_none() && self.terminal_jobs.get(job).is_none();
        let mut running = report.tasks.iter().filter(|t| t.status != TaskStatus::Exited);
        self.membership.role() == Role::Recovering
            && running.any(|t| parse_task(&t.task).is_some_and(|(job, _)| unread(job)))
    }

    /// A worker is best served by a controller of its own zone: should the zones part,
    /// that one keeps it. Said only to workers whose lease is fresh.
    fn nearer(&self, report: &Heartbeat) -> Option<String> {
        let p = &self.context.config.platform;
        if report.zone == p.zone {
            return None;
        }
        let m = self.machines.get(self.machines.find(&report.machine)?)?;
        let fresh = m.answered_ms? + 3 * self.context.config.heartbeat_interval_ms()
            > self.context.now.steady_ms;
        if m.state != MachineState::Ready || !fresh {
            return None;
        }
        let near: Vec<&str> = p
            .siblings
            .iter()
            .enumerate()
            .filter(|(at, s)| s.zone == report.zone && self.sibling_serves(*at))
            .map(|(_, s)| s.node.as_str())
            .collect();
        let n = m.name.bytes().fold(0usize, |a, b| a.wrapping_mul(31).wrapping_add(b.into()));
        (!near.is_empty()).then(|| near[n % near.len()].to_string())
    }

    /// Whether a report is passed on rather than its worker sent to the leader. Those of
    /// the own zone are. One of another zone may have come because it can't reach the
    /// leader: it is looked after for two leases, then sent there, but not soon again.
    fn takes_in(&mut self, report: &Heartbeat) -> bool {
        if report.zone == self.context.config.platform.zone {
            return true;
        }
        let (now, lease) = (self.context.now.steady_ms, self.context.config.lease_ms());
        if !self.out_of_zone_workers.contains_key(&report.machine) {
            let most = self.context.config.max_out_of_zone_workers();
            forget_oldest(&mut self.out_of_zone_workers, most, |(since_ms, sent_ms)| {
                *since_ms.max(sent_ms)
            });
        }
        let stray = self.out_of_zone_workers.entry(report.machine.clone()).or_insert((now, 0));
        let stays = now < stray.0 + 2 * lease || stray.1 > 0 && now < stray.1 + 10 * lease;
        if !stays {
            *stray = (now, now);
        }
        stays
    }

    /// Passes a report on to the leader; false if it can't be reached.
    fn relay(&mut self, id: RequestId, report: &Heartbeat, body: Vec<u8>) -> bool {
        let Some(at) = self.leader_sibling().filter(|_| !self.leader_missed()) else {
            return false;
        };
        let mut message = self.mesh_message();
        let (method, path) = ("POST".to_string(), "/checkin".to_string());
        message.forward = Some(Forward { method, path, body });
        let timeout = self.context.config.mesh_timeout_ms();
        let pending = InFlight::Relay { request: id, report: Box::new(report.clone()) };
        self.call(Peer::Sibling(at), "POST", "/mesh".into(), to_cbor(&message), timeout, pending);
        true
    }

    pub(crate) fn on_relayed(&mut self, id: RequestId, report: Heartbeat, outcome: Outcome) {
        match outcome {
            Outcome::Answer(r) if r.status == 200 => {
                self.answer(id, Response::new(200, r.body));
            }
            Outcome::Answer(_) => self.redirect(id),
            _ => {
                if !self.serve_by_proxy(id, &report) {
                    self.redirect(id)
                }
            }
        }
    }

    /// Sends a worker to the controller that owns its machine. A leader that we don't
    /// hear is no use to name: the worker looks round itself.
    pub(crate) fn redirect(&mut self, id: RequestId) {
        self.let_go += 1;
        let owner = self.leader_sibling().and(self.known_leader());
        self.answer(id, Response::new(421, to_cbor(&Redirect { leader: owner })));
    }

    /// Takes in what a machine answered to a call of ours, or what a keeper heard of it. An
    /// older one than the newest known says nothing.
    pub(crate) fn observe_heartbeat(&mut self, ix: MachineIndex, report: Heartbeat) {
        let news = self.machines.get_mut(ix).is_some_and(|m| {
            epoch_of(report.fencing_token) > epoch_of(m.fencing_token)
                || m.duplicates.record_status(MessageNumber {
                    agent_epoch: report.agent_epoch,
                    sequence: report.seq,
                })
        });
        if news {
            self.apply_heartbeat(ix, report);
        }
    }

    /// A machine has answered a call of ours: it lives now, and hears.
    pub(crate) fn observe_reply(&mut self, ix: MachineIndex, report: Heartbeat) {
        let now = self.context.now.steady_ms;
        if let Some(m) = self.machines.get_mut(ix) {
            m.last_heard_ms = now;
            m.reachability.on_command_answered(now);
        }
        self.observe_heartbeat(ix, report);
    }

    /// Time between reports and the lease, as they bear on a machine's hearing.
    fn reachability_timing(&self) -> Timing {
        Timing {
            heartbeat_interval_ms: self.context.config.heartbeat_interval_ms(),
            lease_ms: self.context.config.lease_ms(),
        }
    }

    /// Takes in a report that is newer than all that is known of the machine.
    fn apply_heartbeat(&mut self, ix: MachineIndex, report: Heartbeat) {
        // Whatever way it came, such a report says that another leads. Its token must
        // never become ours: orders that bear it would be obeyed.
        if epoch_of(report.fencing_token) > self.epoch() {
            tracing::info!(machine = %report.machine, "superseded: a worker has seen a later epoch");
            return self.step_down();
        }
        let now = self.context.now.steady_ms;
        let (zone, limits) = (self.zone_ix(&report.zone), self.reachability_timing());
        let Some(m) = self.machines.get_mut(ix) else { return };
        m.last_heard_ms = now;
        let new_session = report.agent_epoch > m.agent_epoch;
        let lost = m.tasks.len() + m.unproven.len();
        if new_session && m.agent_epoch > 0 && lost > 0 {
            tracing::info!(machine = %m.name, lost, "its lease ran out: a new session");
        }
        let deaf = m.reachability.is_one_way_unreachable();
        m.reachability.on_heartbeat(now, new_session, &limits);
        if report.fencing_token >= m.fencing_token {
            m.reachability.on_current_fencing_token();
        }
        (m.agent_epoch, m.acknowledged_token) = (report.agent_epoch, report.fencing_token);
        m.addr = report.addr.parse().ok();
        m.kind = report.kind;
        m.zone = zone;
        m.spot = report.spot;
        if let Some(s) = report.interruption_notice_s {
            let at = now + (s.max(0.0) * 1000.0) as u64;
            if m.interruption_at_ms.is_none() {
                tracing::info!(machine = %m.name, in_s = s, "machine will be taken away");
                self.drain_due = true;
            }
            m.interruption_at_ms = Some(at);
        } else if m.interruption_at_ms.take().is_some() {
            self.machines_to_dispatch.insert(ix);
        }
        let Some(m) = self.machines.get_mut(ix) else { return };
        m.fencing_token = m.fencing_token.max(m.acknowledged_token);
        m.reported = report.tasks;
        m.fresh_session = new_session;
        self.heard_again(ix, deaf);
        self.settle(ix);
    }

    /// Follows up on a change of what is thought of a machine's hearing.
    fn heard_again(&mut self, ix: MachineIndex, was_deaf: bool) {
        let Some(m) =
            self.machines.get(ix).filter(|m| m.reachability.is_one_way_unreachable() != was_deaf)
        else {
            return;
        };
        self.supply_changed = true;
        if was_deaf {
            tracing::info!(machine = %m.name, "hears again");
            self.machines_to_dispatch.insert(ix);
        } else {
            tracing::info!(machine = %m.name, "speaks but does not hear: it gets no new work");
            self.requeue_probes(ix);
        }
    }

    /// Draws the consequences of a machine's newest report.
    pub(crate) fn settle(&mut self, ix: MachineIndex) {
        let base = scoped_to_epoch(self.epoch(), 0);
        let Some(m) = self.machines.get_mut(ix) else { return };
        if m.last_heard_ms == 0 || m.state == MachineState::Terminated {
            return;
        }
        let new_session = std::mem::take(&mut m.fresh_session);
        let knows_epoch = m.acknowledged_token >= base;
        let knows_token = m.acknowledged_token >= m.fencing_token;
        let settled = knows_token && !m.command_in_flight;
        let reported = m.reported.clone();
        let mut listed: Vec<TaskKey> = Vec::with_capacity(reported.len());
        let exited = |r: &&HeartbeatTask| r.status == TaskStatus::Exited;
        for r in reported.iter().filter(exited) {
            self.reported_task(ix, r);
        }
        for r in reported.iter().filter(|r| !exited(r)) {
            listed.extend(self.reported_task(ix, r));
        }
        listed.sort_unstable();
        // What the machine does not list is not on it, if nothing of ours is under way.
        let Some(m) = self.machines.get_mut(ix) else { return };
        let pending_starts: Vec<TaskKey> = m.pending_starts.iter().map(|(k, _)| *k).collect();
        let missing: Vec<(TaskKey, u64)> = m
            .tasks
            .iter()
            .filter(|(k, _)| listed.binary_search(k).is_err() && !pending_starts.contains(k))
            .map(|(k, a)| (*k, *a))
            .collect();
        for (key, _) in missing {
            let starting =
                matches!(self.jobs.task(key).map(|t| t.state), Some(TaskState::Starting { .. }));
            if !starting || settled || new_session {
                tracing::debug!(job = ?key, "task is no longer on its machine");
                self.return_to_queue(key);
            }
        }
        if knows_epoch {
            if let Some(m) = self.machines.get_mut(ix) {
                // What it lists is alive here, also what an older report has placed elsewhere: that
                // one stays unproven until a report does not list it.
                let (alive, free): (Vec<_>, Vec<_>) = std::mem::take(&mut m.unproven)
                    .into_iter()
                    .partition(|k| listed.binary_search(k).is_ok());
                let (held, elsewhere): (Vec<_>, Vec<_>) =
                    alive.into_iter().partition(|k| m.tasks.contains_key(k));
                m.unproven = elsewhere;
                // A task that it lists is its own business now: the flag goes as well.
                self.prove_not_running(ix, free);
                for key in held {
                    if let Some(t) = self.jobs.task_mut(key) {
                        for p in t.probes.iter_mut().filter(|p| p.machine == ix) {
                            p.unproven = false;
                        }
                    }
                }
            }
            self.set_machine_state(ix, MachineState::Ready);
        } else {
            self.set_machine_state(ix, MachineState::Registering);
            self.machines_to_command.insert(ix);
        }
        if !knows_token
            || self.machines.get(ix).is_some_and(|m| m.reachability.is_one_way_unreachable())
        {
            self.machines_to_command.insert(ix);
        }
        self.machines_to_dispatch.insert(ix);
    }

    /// One task of a report. Returns its key if it is alive here.
    fn reported_task(&mut self, ix: MachineIndex, r: &HeartbeatTask) -> Option<TaskKey> {
        let (job_id, n) = parse_task(&r.task)?;
        let job_ix = self.jobs.find(job_id)?;
        let key = TaskKey { job: job_ix, task: n };
        let job = self.jobs.get(job_ix)?;
        let service = job.spec.shape == JobKind::Service;
        let state = job.task(n)?.state;
        let mine = state.machine() == Some((ix, r.attempt));
        if r.status == TaskStatus::Exited {
            match r.cause {
                Some(ExitCause::Done) => {
                    self.clear_machine_failures(ix);
                    match self.jobs.get(job_ix).map(|j| j.spec.shape) {
                        Some(JobKind::Gang) => self.gang_done(job_ix),
                        _ => self.task_done(key),
                    }
                }
                _ if !mine => {}
                Some(ExitCause::Error) => {
                    self.task_failed(ix, key);
                    self.return_to_queue(key);
                }
                // Not by our command: who else may stop it knows that its job has ended.
                Some(ExitCause::Stopped) if !matches!(state, TaskState::Stopping { .. }) => {
                    self.read_before_starts(job_ix);
                    self.return_to_queue(key);
                }
                Some(ExitCause::InsufficientResources) => {
                    let until =
                        self.context.now.steady_ms + self.context.config.heartbeat_interval_ms();
                    if let Some(m) = self.machines.get_mut(ix) {
                        m.no_room_until_ms = until;
                        tracing::info!(machine = %m.name, task = %r.task, "start refused: no room");
                    }
                    self.return_to_queue(key);
                }
                Some(ExitCause::Unknown) => {
                    self.back_off(key);
                    self.return_to_queue(key);
                }
                _ => self.return_to_queue(key),
            }
            return None;
        }
        let now = self.context.now.steady_ms;
        if r.status != TaskStatus::Fetching {
            let image = self.jobs.get(job_ix)?.image;
            if let Some(m) = self.machines.get_mut(ix) {
                m.images.insert(image);
            }
        }
        match state {
            TaskState::Starting { machine, attempt } if machine == ix && attempt == r.attempt => {
                let state = TaskState::On { machine, attempt, status: r.status, since_ms: now };
                self.set_task_state(key, state);
                self.note_start(key);
            }
            TaskState::On { machine, attempt, status, since_ms }
                if machine == ix && attempt == r.attempt =>
            {
                let since_ms = if status == r.status { since_ms } else { now };
                // A replica never completes; one that has run for a while runs well.
                let steady = now >= since_ms + 4 * self.context.config.heartbeat_interval_ms();
                if r.status == TaskStatus::Running && steady && service {
                    self.set_job_health(job_ix, JobHealth::Proven);
                }
                self.set_task_state(
                    key,
                    TaskState::On { machine, attempt, status: r.status, since_ms },
                );
            }
            // Wherever a task is seen alive, there it is: it may start nowhere else.
            TaskState::Unproven | TaskState::Waiting | TaskState::Unplaced => {
                let attempt = r.attempt;
                let status = r.status;
                self.set_task_state(
                    key,
                    TaskState::On { machine: ix, attempt, status, since_ms: now },
                );
            }
            _ => {}
        }
        Some(key)
    }

    /// What a machine should be told over and above starts: stops for what should
    /// not be there, clears for what is on record.
    pub(crate) fn standing_orders(&self, ix: MachineIndex) -> Vec<Order> {
        let Some(m) = self.machines.get(ix) else { return Vec::new() };
        // A clear must not meet a start of the same attempt that is still under way.
        let may_clear = !m.command_in_flight && m.acknowledged_token >= m.fencing_token;
        let mut orders = Vec::new();
        for r in &m.reported {
            let (task, attempt) = (r.task.clone(), r.attempt);
            if r.status == TaskStatus::Exited {
                if may_clear && self.may_forget(ix, r) {
                    orders.push(Order::Forget { task, attempt });
                }
            } else if let Some(grace_s) = self.stop_wanted(ix, r) {
                orders.push(Order::Stop { task, attempt, grace_s });
            }
        }
        orders
    }

    fn may_forget(&self, ix: MachineIndex, r: &HeartbeatTask) -> bool {
        let Some((id, n)) = parse_task(&r.task) else { return true };
        // While the records are being read, its share may not have come yet.
        if !self.knows_all_jobs() {
            return false;
        }
        // A job that is not in memory is over: its end is on record.
        let Some(job) = self.jobs.find(id).and_then(|j| self.jobs.get(j)) else {
            return true;
        };
        let Some(chunk) = job.chunks.get(&(n / crate::storage::records::TASKS_PER_CHUNK)) else {
            return true;
        };
        let Some(task) = job.task(n) else { return true };
        match task.state {
            TaskState::Done { version } => {
                r.cause != Some(ExitCause::Done)
                    || chunk.acked >= version
                    || job.state == JobState::Done
            }
            state => {
                state.machine() != Some((ix, r.attempt)) && r.cause != Some(ExitCause::Done)
                    || job.state == JobState::Aborted
            }
        }
    }

    /// Whether a task that is alive on a machine should stop, and with what grace.
    fn stop_wanted(&self, ix: MachineIndex, r: &HeartbeatTask) -> Option<f64> {
        let Some((id, n)) = parse_task(&r.task) else { return Some(0.0) };
        let Some(job) = self.jobs.find(id).and_then(|j| self.jobs.get(j)) else {
            let over = self.knows_all_jobs() || self.terminal_jobs.get(id).is_some();
            return over.then_some(0.0);
        };
        if matches!(job.state, JobState::Unreadable | JobState::Aborting) {
            return None;
        }
        let cancelled = matches!(job.state, JobState::Aborted | JobState::Doubtful);
        // While the records are being read, its share may not have come yet.
        if !self.knows_all_jobs() && !cancelled {
            return None;
        }
        let Some(task) = job.task(n) else { return Some(0.0) };
        match task.state {
            _ if cancelled => Some(0.0),
            TaskState::Stopping { machine, attempt, grace }
                if machine == ix && attempt == r.attempt =>
            {
                Some(if grace { job.spec.checkpoint_cost_s.max(1.0) * 1.5 } else { 0.0 })
            }
            state if state.machine() == Some((ix, r.attempt)) => None,
            _ => Some(0.0),
        }
    }

    /// Sends a machine its starts and standing orders, one call at a time.
    pub(crate) fn send_orders(&mut self, ix: MachineIndex) {
        if !self.may_command_workers() {
            return;
        }
        let stops = self.standing_orders(ix);
        let Some(m) = self.machines.get_mut(ix) else { return };
        let Some(addr) = m.addr else { return };
        if m.command_in_flight
            || matches!(
                m.state,
                MachineState::LeaseExpired | MachineState::Terminated | MachineState::Returning
            )
        {
            return;
        }
        let starts = std::mem::take(&mut m.pending_starts);
        // One that is taken for deaf is called now and then, to see whether it is.
        let greet =
            m.acknowledged_token < m.fencing_token || m.reachability.is_one_way_unreachable();
        let may_call =
            m.reachability.may_send_command(self.context.now.steady_ms) || !starts.is_empty();
        if starts.is_empty() && stops.is_empty() && !greet || !may_call {
            return;
        }
        let (fencing_token, agent_epoch) = (m.fencing_token, m.agent_epoch);
        let mut orders = stops;
        for (key, attempt) in &starts {
            // What was bound may have been aborted or moved since.
            let Some(job) = self.jobs.get(key.job) else { continue };
            let still = job.state == JobState::Live
                && job.task(key.task).map(|t| t.state)
                    == Some(TaskState::Starting { machine: ix, attempt: *attempt });
            if still {
                let task = task_name(&job.id, key.task);
                orders.push(Order::Start { task, attempt: *attempt });
            } else if job.task(key.task).is_some_and(|t| t.state.machine() == Some((ix, *attempt)))
            {
                self.return_to_queue(*key);
            }
        }
        let request = OrdersRequest { fencing_token, agent_epoch, orders };
        if let Some(m) = self.machines.get_mut(ix) {
            m.command_in_flight = true;
        }
        let timeout = self.context.config.worker_timeout_ms();
        match self.route(ix) {
            Route::MailboxRecord(at) => self.mail_orders(at, ix, addr.to_string(), request, starts),
            Route::Relay(at) => {
                let body = to_cbor(&Envelope { id: 0, addr: addr.to_string(), orders: request });
                let mut message = self.mesh_message();
                let (method, path) = ("POST".to_string(), "/orders".to_string());
                message.forward = Some(Forward { method, path, body });
                let pending = InFlight::Orders { machine: ix, fencing_token, starts };
                let (peer, timeout) =
                    (Peer::Sibling(at), timeout + self.context.config.mesh_timeout_ms());
                self.call(peer, "POST", "/mesh".into(), to_cbor(&message), timeout, pending)
            }
            Route::Direct => {
                let pending = InFlight::Orders { machine: ix, fencing_token, starts };
                let (peer, body) = (Peer::Worker(addr), to_cbor(&request));
                self.call(peer, "POST", "/orders".into(), body, timeout, pending)
            }
        }
    }

    /// A machine that can't be told directly is told the way its reports come.
    fn route(&self, ix: MachineIndex) -> Route {
        let relayed_by = self.machines.get(ix).filter(|m| m.cut).and_then(|m| m.relayed_by);
        match (relayed_by.filter(|at| self.sibling_alive(*at)), self.mailbox_route(ix)) {
            (Some(at), _) => Route::Relay(at),
            (None, Some(at)) => Route::MailboxRecord(at),
            (None, None) => Route::Direct,
        }
    }

    /// Orders of the leader for a worker that it can't reach.
    pub(crate) fn relay_orders(&mut self, id: RequestId, from: usize, body: &[u8]) {
        let letter = from_cbor::<Envelope>(body).ok().filter(|_| self.leader_index() == Some(from));
        let addr = letter.as_ref().and_then(|l| l.addr.parse().ok());
        let (Some(letter), Some(addr)) = (letter, addr) else {
            return self.answer_error(id, 400, "no orders of the leader's");
        };
        let (body, timeout) = (to_cbor(&letter.orders), self.context.config.worker_timeout_ms());
        let pending = InFlight::OrdersRelayed { request: id };
        self.call(Peer::Worker(addr), "POST", "/orders".into(), body, timeout, pending);
    }

    pub(crate) fn on_orders_relayed(&mut self, id: RequestId, outcome: Outcome) {
        match outcome {
            Outcome::Answer(r) => self.answer(id, Response::new(r.status, r.body)),
            _ => self.answer_error(id, 504, "no answer from the worker"),
        }
    }

    pub(crate) fn on_orders_outcome(
        &mut self,
        ix: MachineIndex,
        fencing_token: u64,
        starts: Vec<(TaskKey, u64)>,
        outcome: Outcome,
    ) {
        let (now, limits) = (self.context.now.steady_ms, self.reachability_timing());
        let route = match self.mailbox_route(ix) {
            Some(_) => CommandRoute::Relayed,
            None => CommandRoute::Direct,
        };
        let Some(m) = self.machines.get_mut(ix) else { return };
        m.command_in_flight = false;
        let deaf = m.reachability.is_one_way_unreachable();
        match &outcome {
            // An answer to a call is no copy: the machine lives now.
            Outcome::Answer(r) if matches!(r.status, 200 | 409) => {
                m.last_heard_ms = now;
                m.reachability.on_command_answered(now)
            }
            Outcome::NotSent => {}
            _ => m.reachability.on_command_unanswered(now, route, &limits),
        }
        self.heard_again(ix, deaf);
        let Some(m) = self.machines.get_mut(ix) else { return };
        // A machine that can only be told by others is tried directly once a lease.
        let again = now > m.unreachable_since_ms + self.context.config.lease_ms();
        let by_others = m.cut && !again && (m.via.is_some() || m.relayed_by.is_some());
        let cut = !matches!(outcome, Outcome::Answer(_)) || by_others;
        if cut && (!m.cut || again) {
            m.unreachable_since_ms = now;
        }
        m.cut = cut;
        match outcome {
            Outcome::Answer(r) if r.status == 200 || r.status == 409 => {
                match from_cbor::<Heartbeat>(&r.body) {
                    Ok(report) if is_plausible(&report) && report.machine == m.name => {
                        self.observe_heartbeat(ix, report)
                    }
                    _ => self.advance_fencing_token(ix, fencing_token),
                }
            }
            Outcome::NotSent => {
                // Nothing reached the machine, so starts may be tried again as they are.
                for (key, attempt) in starts {
                    let still = TaskState::Starting { machine: ix, attempt };
                    if self.jobs.task(key).is_some_and(|t| t.state == still) {
                        self.return_to_queue(key);
                    }
                }
                if let Some(m) = self.machines.get_mut(ix) {
                    m.no_room_until_ms =
                        self.context.now.steady_ms + self.context.config.heartbeat_interval_ms();
                }
            }
            _ => self.advance_fencing_token(ix, fencing_token),
        }
        self.machines_to_dispatch.insert(ix);
        let blocks_starts = self.machines.get(ix).is_some_and(|m| !m.pending_starts.is_empty());
        if blocks_starts {
            self.machines_to_command.insert(ix);
        }
    }

    /// An order's fate is unknown: from the next contact on it can't match.
    fn advance_fencing_token(&mut self, ix: MachineIndex, fencing_token: u64) {
        let epoch = self.epoch();
        let now = self.context.now.steady_ms;
        let wait = self.context.config.heartbeat_interval_ms();
        if let Some(m) = self.machines.get_mut(ix) {
            if m.fencing_token == fencing_token {
                m.fencing_token = scoped_to_epoch(epoch, (fencing_token & 0xff_ffff) + 1);
            }
            // Nothing new starts there until it has spoken again.
            m.no_room_until_ms = now + wait;
        }
    }

    /// Sends back the odd machine that has fallen silent, or does not hear, while the others do:
    /// the cloud's word that it is gone frees its tasks before its lease would. Where
    /// many are silent the network is to blame, and they are left alone, but for those
    /// that the cloud no longer lists.
    pub(crate) fn release_silent(&mut self) {
        let now = self.context.now.steady_ms;
        // Workers need a while to find a new leader; all that we have the address of are
        // asked for their reports before this.
        let (patience, at_first) =
            (self.context.config.lease_ms() / 3, self.context.config.lease_ms() * 3 / 4);
        let (time_to_answer, limits) =
            (self.context.config.heartbeat_interval_ms() / 2, self.reachability_timing());
        let (mut silent, mut heard, mut odd) = (Vec::new(), 0, 0);
        for (ix, m) in self.machines.iter() {
            let since = m.last_heard_ms.max(m.since_ms).max(self.epoch_began_ms);
            // Through a pause it was we who heard nothing.
            let since = since.max(self.stall.resumed_ms());
            let holds = !m.tasks.is_empty() || !m.unproven.is_empty();
            let unlisted = self.unlisted(m);
            // An earlier owner knew it, and the cloud has it no more.
            let patience = match m.state {
                MachineState::Registering | MachineState::Provisioning if !unlisted => at_first,
                MachineState::Provisioning => 0,
                _ => patience,
            };
            let asked = m.probed_ms > m.last_heard_ms && now >= m.probed_ms + time_to_answer;
            let asked = asked || m.addr.is_none() || unlisted || self.mailbox_route(ix).is_some();
            // It is heard, but nothing that it is told arrives; or the cloud has it no more, and
            // what is heard of it was held back.
            let deaf = m.reachability.is_one_way_unreachable();
            let lost = m.reachability.is_permanently_unreachable(now, &limits) || deaf && unlisted;
            match m.state {
                MachineState::LeaseExpired | MachineState::Returning | MachineState::Terminated => {
                }
                _ if lost => silent.push((ix, true, unlisted)),
                _ if now > since + patience && asked => silent.push((ix, holds, unlisted)),
                _ if deaf => odd += 1,
                MachineState::Ready => heard += 1,
                _ => {}
            }
        }
        odd += silent.iter().filter(|(_, _, unlisted)| !unlisted).count();
        let many = odd * 12 > heard + 12 || self.membership.has_proxy_claims();
        for (ix, holds, unlisted) in silent {
            let Some(m) = self.machines.get(ix) else { continue };
            if holds && (unlisted || !many) {
                let deaf = m.reachability.is_one_way_unreachable();
                tracing::info!(machine = %m.name, unlisted, deaf, "silent while others are heard");
                self.begin_release(ix);
            }
        }
    }

    /// Asks machines that have been quiet for their report: they may report to a
    /// controller that we don't hear.
    pub(crate) fn inspect_silent(&mut self) {
        let now = self.context.now.steady_ms;
        let quiet = self.context.config.heartbeat_interval_ms() * 3 / 2;
        let due: Vec<MachineIndex> = self
            .machines
            .iter()
            .filter(|(_, m)| {
                matches!(m.state, MachineState::Ready | MachineState::Registering)
                    && now > m.last_heard_ms + quiet
                    && now > m.probed_ms + quiet
                    && !m.command_in_flight
            })
            .map(|(ix, _)| ix)
            .filter(|ix| self.mailbox_route(*ix).is_none())
            .collect();
        for ix in due {
            self.inspect(ix);
        }
    }

    /// Presumes silent machines empty once their leases must have run out.
    pub(crate) fn expire_silent_leases(&mut self) {
        let base = scoped_to_epoch(self.epoch(), 0);
        let (silence, inheritance) = (
            self.context.config.lease_expiry_ms(),
            self.context.config.inherited_lease_expiry_ms(),
        );
        // Up to when it is proven that no other controller keeps workers alive.
        let unkept = self.unproxied_until_ms();
        for ix in self.machines.indexes() {
            let Some(m) = self.machines.get(ix) else { continue };
            let told = m.answered_ms.unwrap_or(0);
            let presumable = match m.state {
                MachineState::LeaseExpired | MachineState::Terminated => false,
                // It takes no other token than ours: its lease hangs on our answers.
                // Nor was it kept alive for us: that is known up to `unkept`.
                _ if m.acknowledged_token >= base => unkept >= told.max(m.last_heard_ms) + silence,
                // A former owner may have kept it alive until its horizon.
                _ => unkept >= self.epoch_began_ms + inheritance && unkept >= told + silence,
            };
            let holds = !m.unproven.is_empty() || !m.tasks.is_empty();
            let leaving = m.state == MachineState::Returning;
            if !presumable || !holds && (leaving || m.state == MachineState::Provisioning) {
                continue;
            }
            tracing::info!(machine = %m.name, leaving, "silent past its lease: presumed empty");
            match leaving {
                // Whatever becomes of its return, nothing is on it.
                true => self.on_machine_empty(ix),
                false => self.set_machine_state(ix, MachineState::LeaseExpired),
            }
        }
    }

    fn zone_ix(&self, zone: &str) -> Option<u16> {
        self.context.config.platform.params.zones.iter().position(|z| z == zone).map(|z| z as u16)
    }
}

/// A report that no worker would send is refused before it changes anything.
pub(crate) fn is_plausible(r: &Heartbeat) -> bool {
    let short = |s: &str| !s.is_empty() && s.len() <= 128;
    short(&r.machine)
        && r.addr.parse::<SocketAddr>().is_ok()
        && short(&r.kind)
        && short(&r.zone)
        && r.agent_epoch > 0
        && r.interruption_notice_s.is_none_or(|s| (0.0..1e9).contains(&s))
        && r.tasks.iter().all(|t| short(&t.task))
}
