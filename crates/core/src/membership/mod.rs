//! Membership, leadership, and what the controllers tell one another.

pub(crate) mod stall;

use quartzgate_feature_gates::Feature;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{
    Change, ChangeLog, Guard, KeyValueList, LeaseAnswer, LeaseRequest, MeshMessage, Transaction,
    TransactionAnswer, MESH_VERSION,
};
use quartzgate_wire::{from_cbor, to_cbor};
use rand::Rng;

use crate::api::ABORTED_PATH;
use crate::config::Config;
use crate::controller::{follower_share, leader_share, Controller, InFlight};
use crate::storage::rate_limiter::RateLimiter;
use crate::storage::records::{
    decode, encode, member_key, EpochRecord, LeaderRecord, EPOCH_KEY, HANDOFF_PREFIX, LEADER_KEY,
    LEASE_PROXY_PREFIX,
};
use crate::{Outcome, Peer};

/// Times in a row that a controller that is back takes the lead from its earlier life: after
/// that it lets go.
const RETAKES: u32 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Follower,
    /// Asking the state service for the leadership of this epoch.
    Candidate {
        epoch: u64,
    },
    /// Leads; reads the records before it decides anything.
    Recovering,
    Leader,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseState {
    None,
    Asking,
    Held { lease_id: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    /// The control keys have to be read.
    Unread,
    Reading,
    Idle,
    Watching,
}

#[derive(Clone, Debug, Default)]
struct SiblingState {
    last_heard_ms: Option<u64>,
    sent_ms: u64,
    store_reachable: bool,
    asking: bool,
}

pub(crate) struct Membership {
    pub role: Role,
    lease: LeaseState,
    lease_due_ms: u64,
    renewing: bool,
    control: WatchState,
    control_due_ms: u64,
    rev: u64,
    leader: Option<(LeaderRecord, u64)>,
    view: Option<(EpochRecord, u64)>,
    /// A leader that a sibling's beat tells of, for redirects only.
    leader_hint: Option<LeaderRecord>,
    /// When the leadership was last asked for.
    asked_ms: u64,
    elect_due_ms: u64,
    /// Epoch in which this controller leads, and its view's stamp.
    epoch: u64,
    pub epoch_revision: u64,
    /// When the state service last answered anything.
    state_ms: Option<u64>,
    /// The newest moment whose records we are proven to know.
    pub proven_contact_ms: u64,
    /// Keepers whose claims stand, and when one was last seen to stand or go.
    pub keepers: std::collections::BTreeMap<String, u64>,
    kept_ms: u64,
    /// The newest moment up to which the control keys are proven to be known.
    control_ms: u64,
    control_sent_ms: u64,
    leader_since_ms: u64,
    /// When the renewal of the lease that last succeeded was sent.
    renewed_ms: u64,
    inbox: WatchState,
    /// The newest moment up to which the inbox is proven to be known.
    inbox_ms: u64,
    inbox_due_ms: u64,
    pub handoff_revision: u64,
    siblings: Vec<SiblingState>,
    refused: Vec<bool>,
    pub reads: RateLimiter,
}

impl Membership {
    pub fn new(cfg: &Config) -> Self {
        let n = cfg.platform.siblings.len();
        Membership {
            role: Role::Follower,
            lease: LeaseState::None,
            lease_due_ms: 0,
            renewing: false,
            control: WatchState::Unread,
            control_due_ms: 0,
            rev: 0,
            leader: None,
            view: None,
            leader_hint: None,
            asked_ms: 0,
            elect_due_ms: 0,
            epoch: 0,
            epoch_revision: 0,
            state_ms: None,
            proven_contact_ms: 0,
            keepers: Default::default(),
            kept_ms: 0,
            control_ms: 0,
            control_sent_ms: 0,
            leader_since_ms: 0,
            renewed_ms: 0,
            inbox: WatchState::Unread,
            inbox_ms: 0,
            inbox_due_ms: 0,
            handoff_revision: 0,
            siblings: vec![SiblingState::default(); n],
            refused: vec![false; n],
            reads: RateLimiter::new(follower_share(cfg.platform.params.state.rps, n + 1)),
        }
    }

    /// The view is proven to be known as it stood at this moment or later.
    pub fn epoch_known_since(&self, ms: u64) -> bool {
        self.control_ms >= ms
    }

    pub fn store_answered_since(&self, ms: u64) -> bool {
        self.state_ms.is_some_and(|s| s >= ms)
    }
}

impl Controller {
    pub(crate) fn epoch(&self) -> u64 {
        self.membership.epoch
    }

    /// Leads and knows all records.
    pub(crate) fn leads(&self) -> bool {
        self.membership.role == Role::Leader
    }

    pub(crate) fn knows_all_jobs(&self) -> bool {
        self.leads()
    }

    /// May answer reports and send orders: it leads, and has been in touch with the
    /// state service so lately that all it keeps alive is gone in time.
    pub(crate) fn may_command_workers(&self) -> bool {
        matches!(self.membership.role, Role::Recovering | Role::Leader)
            && self.context.now.steady_ms
                < self.membership.proven_contact_ms + self.context.config.lease_bound_ms()
            && !self.leadership_unverified()
    }

    pub(crate) fn known_leader(&self) -> Option<String> {
        if matches!(self.membership.role, Role::Recovering | Role::Leader) {
            return Some(self.context.config.platform.node.clone());
        }
        self.present_leader().map(|l| l.node.clone())
    }

    /// The leader by the newest epoch heard of.
    fn present_leader(&self) -> Option<&LeaderRecord> {
        let stood = self.membership.view.as_ref().map_or(0, |(v, _)| v.epoch);
        let leader_hint = self.membership.leader_hint.as_ref().filter(|h| h.epoch > stood);
        leader_hint.or(self.membership.leader.as_ref().map(|(l, _)| l))
    }

    /// The sibling that leads.
    pub(crate) fn leader_index(&self) -> Option<usize> {
        let leader = self.present_leader()?;
        self.context.config.platform.siblings.iter().position(|s| s.node == leader.node)
    }

    /// The sibling that leads, if it has been heard lately.
    pub(crate) fn leader_sibling(&self) -> Option<usize> {
        self.leader_index().filter(|at| self.sibling_alive(*at))
    }

    /// A sibling that has been heard within a beat or two and has the state service.
    pub(crate) fn sibling_serves(&self, at: usize) -> bool {
        let s = &self.membership.siblings[at];
        let late = self.peer_heartbeat_ms() * 2;
        s.store_reachable && s.last_heard_ms.is_some_and(|h| self.context.now.steady_ms < h + late)
    }

    pub(crate) fn sibling_alive(&self, at: usize) -> bool {
        let now = self.context.now.steady_ms;
        self.membership.siblings[at]
            .last_heard_ms
            .is_some_and(|h| now < h + 3 * self.peer_heartbeat_ms())
    }

    fn peer_heartbeat_ms(&self) -> u64 {
        self.context.config.controller_lease_ttl_ms() / 4
    }

    /// The leader has not been heard for longer than a beat.
    pub(crate) fn leader_missed(&self) -> bool {
        self.leader_heard_ms()
            .is_some_and(|h| self.context.now.steady_ms > h + self.peer_heartbeat_ms() * 5 / 4)
    }

    /// When the leader whose key stands was last heard, or first seen to lead.
    fn leader_heard_ms(&self) -> Option<u64> {
        let (leader, _) = self.membership.leader.as_ref()?;
        let at =
            self.context.config.platform.siblings.iter().position(|s| s.node == leader.node)?;
        let heard = self.membership.siblings[at].last_heard_ms.unwrap_or(0);
        Some(heard.max(self.membership.leader_since_ms).max(self.stall.resumed_ms))
    }

    /// The leader's key stands, and yet the leader has missed its beats: it lives out
    /// of our reach, or has just died.
    pub(crate) fn leader_out_of_reach(&self) -> bool {
        self.leader_heard_ms()
            .is_some_and(|h| self.context.now.steady_ms > h + 2 * self.peer_heartbeat_ms())
    }

    /// A sibling that says the state service answers it.
    pub(crate) fn sibling_with_store(&self) -> Option<usize> {
        (0..self.membership.siblings.len())
            .find(|&at| self.sibling_alive(at) && self.membership.siblings[at].store_reachable)
    }

    pub(crate) fn store_reachable(&self) -> bool {
        let within =
            self.context.config.watch_block_ms() + 2 * self.context.config.store_timeout_ms();
        self.membership.state_ms.is_some_and(|s| self.context.now.steady_ms < s + within)
    }

    /// Whether users should be sent here: it can decide, or pass on what it can't,
    /// or nobody else can either.
    pub(crate) fn ready(&self) -> bool {
        if self.membership.state_ms.is_none() || self.foreign_format() {
            return false;
        }
        self.store_reachable()
            || self.sibling_with_store().is_some()
            || (0..self.membership.siblings.len()).any(|at| self.sibling_alive(at))
    }

    /// Up to when it is proven that no keeper kept a worker alive: `silence` after
    /// that moment no lease given by a keeper can be left. 0 while a claim stands.
    pub(crate) fn unproxied_until_ms(&self) -> u64 {
        let m = &self.membership;
        if !m.keepers.is_empty()
            || m.control_ms < m.kept_ms + self.context.config.lease_expiry_ms() && m.kept_ms > 0
        {
            return 0;
        }
        m.control_ms
    }

    /// Epoch of the view that stands, if that is proven within the horizon and our
    /// lease can't have run out.
    pub(crate) fn proven_epoch(&self) -> Option<u64> {
        let now = self.context.now.steady_ms;
        let m = &self.membership;
        let lease = m.renewed_ms + self.context.config.controller_lease_ttl_ms() * 9 / 10;
        (now < lease && now < m.control_ms + self.context.config.lease_bound_ms())
            .then(|| m.view.as_ref().map(|(v, _)| v.epoch))
            .flatten()
    }

    pub(crate) fn controller_lease_id(&self) -> Option<u64> {
        match self.membership.lease {
            LeaseState::Held { lease_id } => Some(lease_id),
            _ => None,
        }
    }

    pub(crate) fn observed_epoch(&self) -> Option<u64> {
        self.membership.view.as_ref().map(|(v, _)| v.epoch)
    }

    pub(crate) fn observed_epoch_revision(&self) -> Option<u64> {
        self.membership.view.as_ref().map(|(_, s)| *s)
    }

    fn observe_lease_proxy(&mut self, node: &str, revision: Option<u64>) {
        let now = self.context.now.steady_ms;
        self.membership.kept_ms = now;
        let before = self.membership.keepers.contains_key(node);
        match revision {
            Some(revision) => self.membership.keepers.insert(node.to_string(), revision),
            None => self.membership.keepers.remove(node),
        };
        if before != revision.is_some() && self.leads() {
            let keeps = revision.is_some();
            tracing::info!(node, keeps, "a controller keeps workers that can't reach us");
        }
    }

    /// The one function that changes this controller's role.
    pub(crate) fn set_role(&mut self, role: Role) {
        let old = std::mem::replace(&mut self.membership.role, role);
        if old == role {
            return;
        }
        let limits = self.limits().clone();
        let controllers = self.membership.siblings.len() + 1;
        match role {
            Role::Follower => {
                if matches!(old, Role::Leader | Role::Recovering) {
                    self.membership.epoch = 0;
                    self.membership.reads =
                        RateLimiter::new(follower_share(limits.rps, controllers));
                    self.clear_leader_state();
                }
                self.membership.control = WatchState::Unread;
            }
            Role::Candidate { .. } => {}
            Role::Recovering => {
                let rps = limits.rps;
                self.clear_leader_state();
                self.membership.reads = RateLimiter::new(leader_share(rps));
                self.membership.inbox = WatchState::Unread;
                tracing::info!(epoch = self.membership.epoch, "leading: reading the records");
                self.start_recovery();
            }
            Role::Leader => {
                tracing::info!(
                    epoch = self.membership.epoch,
                    jobs = self.jobs.len(),
                    took_ms = self.context.now.steady_ms - self.epoch_began_ms,
                    "leading: records read"
                );
            }
        }
    }

    pub(crate) fn tick_member(&mut self) {
        let now = self.context.now.steady_ms;
        self.tick_lease(now);
        if now >= self.membership.control_due_ms {
            match self.membership.control {
                WatchState::Unread => {
                    self.membership.control = WatchState::Reading;
                    self.membership.control_sent_ms = now;
                    let target = format!("/keys?starts={EPOCH_KEY}");
                    let pending = InFlight::ControlRead { sent_ms: now };
                    self.call_store("GET", target, Vec::new(), pending);
                }
                WatchState::Idle => self.watch_control(),
                _ => {}
            }
        }
        self.tick_election(now);
        self.tick_heartbeats(now);
        if self.leads()
            && self.membership.inbox == WatchState::Idle
            && now >= self.membership.inbox_due_ms
        {
            self.watch_handoff_queue();
        }
    }

    /// What is asked anew after a pause: whether the lease stands, and who is there.
    pub(crate) fn restart_leases_and_watches(&mut self) {
        let now = self.context.now.steady_ms;
        // An answer to what was asked before proves nothing of now.
        self.membership.control = WatchState::Unread;
        (self.membership.control_due_ms, self.membership.control_sent_ms) = (now, 0);
        self.membership.renewing = false;
        self.membership.lease_due_ms = now;
        self.membership.siblings.iter_mut().filter(|s| !s.asking).for_each(|s| s.sent_ms = 0);
    }

    fn tick_lease(&mut self, now: u64) {
        if now < self.membership.lease_due_ms || self.membership.renewing {
            return;
        }
        let every = self.context.config.lease_renewal_ms();
        match self.membership.lease {
            LeaseState::None => {
                self.membership.lease = LeaseState::Asking;
                let body = to_cbor(&LeaseRequest {
                    ttl_ms: self.context.config.controller_lease_ttl_ms(),
                });
                self.call_store(
                    "POST",
                    "/leases".into(),
                    body,
                    InFlight::LeaseNew { sent_ms: now },
                );
            }
            LeaseState::Asking => {}
            LeaseState::Held { lease_id } => {
                self.membership.renewing = true;
                self.membership.lease_due_ms = now + every;
                let target = format!("/leases/{lease_id}/renew");
                self.call_store("POST", target, Vec::new(), InFlight::LeaseRenew { sent_ms: now });
            }
        }
    }

    /// Notes that the state service has answered.
    pub(crate) fn note_store_answer(&mut self) {
        self.membership.state_ms = Some(self.context.now.steady_ms);
    }

    pub(crate) fn on_lease_new(&mut self, sent_ms: u64, outcome: Outcome) {
        let now = self.context.now.steady_ms;
        self.membership.lease = LeaseState::None;
        self.membership.lease_due_ms = now + self.context.config.lease_renewal_ms() / 2;
        if let Outcome::Answer(r) = outcome {
            if let (200, Ok(l)) = (r.status, from_cbor::<LeaseAnswer>(&r.body)) {
                self.note_store_answer();
                self.membership.lease = LeaseState::Held { lease_id: l.lease_id };
                self.membership.renewed_ms = sent_ms;
                self.release_claim();
                self.write_member_key();
            }
        }
    }

    /// Says on our lease that we live.
    pub(crate) fn write_member_key(&mut self) {
        let LeaseState::Held { lease_id } = self.membership.lease else { return };
        let node = self.context.config.platform.node.clone();
        let set =
            Change::Set { set: member_key(&node), value: encode(&node), lease_id: Some(lease_id) };
        let body = to_cbor(&Transaction { guards: Vec::new(), apply: vec![set] });
        self.record_writer.writes.force(self.context.now.steady_ms, 1.0);
        self.call_store("POST", "/multi".into(), body, InFlight::MemberKey);
    }

    pub(crate) fn on_lease_renew(&mut self, sent_ms: u64, outcome: Outcome) {
        self.membership.renewing = false;
        match outcome {
            Outcome::Answer(r) if r.status == 200 => {
                self.note_store_answer();
                self.membership.renewed_ms = self.membership.renewed_ms.max(sent_ms);
            }
            Outcome::Answer(r) if r.status == 404 => {
                self.note_store_answer();
                tracing::info!("lease at the state service has run out; asking for a new one");
                self.membership.lease = LeaseState::None;
                self.membership.lease_due_ms = 0;
                self.release_claim();
            }
            Outcome::Answer(r) => {
                tracing::debug!(status = r.status, "lease not renewed");
            }
            _ => {}
        }
    }

    pub(crate) fn on_control_read(&mut self, sent_ms: u64, outcome: Outcome) {
        let now = self.context.now.steady_ms;
        // Asked anew since, after a pause.
        if self.membership.control_sent_ms != sent_ms {
            return;
        }
        self.membership.control = WatchState::Unread;
        self.membership.control_due_ms = now + self.context.config.lease_renewal_ms() / 2;
        let Outcome::Answer(r) = outcome else { return };
        if r.status != 200 {
            return;
        }
        let Ok(list) = from_cbor::<KeyValueList>(&r.body) else { return };
        self.note_store_answer();
        let mut leader = None;
        let mut view = None;
        let had: Vec<String> = self.membership.keepers.keys().cloned().collect();
        let mut have: Vec<(String, u64)> = Vec::new();
        for pair in &list.pairs {
            match pair.path.as_str() {
                LEADER_KEY => {
                    leader = decode::<LeaderRecord>(&pair.value).map(|l| (l, pair.revision))
                }
                EPOCH_KEY => match decode::<EpochRecord>(&pair.value) {
                    Some(v) => view = Some((v, pair.revision)),
                    None => {
                        tracing::error!("the record `view` can't be read; not leading");
                        return;
                    }
                },
                path => have.extend(
                    path.strip_prefix(LEASE_PROXY_PREFIX).map(|n| (n.to_string(), pair.revision)),
                ),
            }
        }
        // A claim may have come and gone since the last look: as if one had just gone.
        self.membership.kept_ms = now;
        for node in had.iter().filter(|n| !have.iter().any(|(h, _)| h == *n)) {
            self.observe_lease_proxy(node, None);
        }
        for (node, revision) in &have {
            self.observe_lease_proxy(node, Some(*revision));
        }
        self.membership.control_ms = self.membership.control_ms.max(sent_ms);
        self.membership.rev = list.store_revision;
        self.membership.control = WatchState::Idle;
        self.membership.control_due_ms = 0;
        self.observe_epoch(view);
        self.observe_leader(leader);
        self.verify_leadership();
        self.watch_control();
    }

    fn observe_epoch(&mut self, view: Option<(EpochRecord, u64)>) {
        if let Some((v, _)) = &view {
            let leading = matches!(self.membership.role, Role::Leader | Role::Recovering);
            if leading && v.epoch > self.membership.epoch {
                tracing::info!(epoch = v.epoch, leader = %v.leader, "superseded: a later view stands");
                self.step_down();
            }
        }
        self.membership.view = view;
    }

    fn observe_leader(&mut self, leader: Option<(LeaderRecord, u64)>) {
        let now = self.context.now.steady_ms;
        let name =
            |l: &Option<(LeaderRecord, u64)>| l.as_ref().map(|(l, _)| (l.node.clone(), l.epoch));
        if name(&leader) != name(&self.membership.leader) {
            self.membership.leader_since_ms = now;
            match &leader {
                Some((l, _)) => tracing::info!(leader = %l.node, epoch = l.epoch, "leader"),
                None => tracing::info!("no leader"),
            }
        }
        if leader.is_none() {
            // Controllers take turns, so that two seldom ask at once.
            let turn = self
                .context
                .config
                .platform
                .siblings
                .iter()
                .filter(|s| s.node < self.context.config.platform.node)
                .count() as u64;
            let step = self.context.config.controller_lease_ttl_ms() / 50;
            let wait = turn * step + self.context.rng.random_range(0..step.max(1));
            self.membership.elect_due_ms = self.membership.elect_due_ms.max(now + wait);
        }
        self.membership.leader = leader;
    }

    fn watch_control(&mut self) {
        let now = self.context.now.steady_ms;
        let block = self.context.config.watch_block_ms();
        self.membership.control = WatchState::Watching;
        let target =
            format!("/changes?starts={EPOCH_KEY}&since={}&block_ms={block}", self.membership.rev);
        let timeout = block + self.context.config.store_timeout_ms();
        self.membership.control_sent_ms = now;
        let pending = InFlight::ControlWatch { sent_ms: now };
        self.call(Peer::State, "GET", target, Vec::new(), timeout, pending);
    }

    pub(crate) fn on_control_watch(&mut self, sent_ms: u64, outcome: Outcome) {
        let now = self.context.now.steady_ms;
        let asked_anew = self.membership.control_sent_ms != sent_ms;
        if self.membership.control != WatchState::Watching || asked_anew {
            return;
        }
        // The watch goes on from where it was, so that no change is missed.
        self.membership.control = WatchState::Idle;
        self.membership.control_due_ms = now.max(sent_ms + self.context.config.lease_renewal_ms());
        let Outcome::Answer(r) = outcome else { return };
        if r.status == 410 {
            self.note_store_answer();
            self.membership.control = WatchState::Unread;
            return;
        }
        if r.status != 200 {
            self.membership.control_due_ms = now + self.context.config.lease_renewal_ms() / 2;
            return;
        }
        let Ok(log) = from_cbor::<ChangeLog>(&r.body) else { return };
        self.note_store_answer();
        self.membership.rev = log.store_revision;
        self.membership.control_ms = self.membership.control_ms.max(sent_ms);
        self.advance_contact();
        self.membership.control = WatchState::Idle;
        self.membership.control_due_ms = 0;
        for change in log.log {
            if let Some(path) = &change.set {
                let Some(value) = &change.value else { continue };
                match path.as_str() {
                    LEADER_KEY => {
                        let leader = decode::<LeaderRecord>(value).map(|l| (l, change.revision));
                        self.observe_leader(leader)
                    }
                    EPOCH_KEY => {
                        if let Some(v) = decode::<EpochRecord>(value) {
                            self.observe_epoch(Some((v, change.revision)))
                        }
                    }
                    path => {
                        if let Some(node) = path.strip_prefix(LEASE_PROXY_PREFIX) {
                            self.observe_lease_proxy(node, Some(change.revision));
                        } else {
                            self.on_mailbox_record(path, value);
                        }
                    }
                }
            } else if change.delete.as_deref() == Some(LEADER_KEY) {
                self.observe_leader(None);
            } else if let Some(node) =
                change.delete.as_deref().and_then(|d| d.strip_prefix(LEASE_PROXY_PREFIX))
            {
                self.observe_lease_proxy(node, None);
            }
        }
        self.watch_control();
    }

    fn tick_election(&mut self, now: u64) {
        let LeaseState::Held { lease_id } = self.membership.lease else { return };
        if self.foreign_format() {
            return;
        }
        if matches!(self.membership.control, WatchState::Unread | WatchState::Reading) {
            return;
        }
        let node = self.context.config.platform.node.clone();
        let (revision, epoch, retakes) = match (&self.membership.leader, self.membership.role) {
            (_, Role::Candidate { .. }) => return,
            // Our own key of an earlier life needs no waiting for; but whoever ends as soon as
            // it leads, again and again, would keep all others from it.
            (Some((l, revision)), Role::Follower) if l.node == node => {
                // Whether it may be counted depends on the format.
                if !self.knows_format() {
                    return;
                }
                if l.retakes >= RETAKES {
                    return self.let_go(*revision);
                }
                (
                    *revision,
                    None,
                    if self.has(Feature::SplitPlacementRecords) { l.retakes + 1 } else { 0 },
                )
            }
            (Some(_), _) => return,
            (None, Role::Follower) if now >= self.membership.elect_due_ms => (0, None, 0),
            // The key went with a lease, but nobody has led since: the epoch goes on.
            (None, Role::Leader | Role::Recovering) => (0, Some(self.membership.epoch), 0),
            (None, _) => return,
        };
        let (view_epoch, epoch_revision) =
            self.membership.view.as_ref().map_or((0, 0), |(v, s)| (v.epoch, *s));
        let again = epoch.is_some();
        if again && view_epoch != self.membership.epoch {
            return;
        }
        let epoch = epoch.unwrap_or(view_epoch + 1);
        let key = LeaderRecord { epoch, node: node.clone(), retakes };
        let mut apply = vec![Change::Set {
            set: LEADER_KEY.into(),
            value: encode(&key),
            lease_id: Some(lease_id),
        }];
        if !again {
            let view = EpochRecord { epoch, leader: node.clone(), members: vec![node] };
            apply.push(Change::Set { set: EPOCH_KEY.into(), value: encode(&view), lease_id: None });
        }
        let guards = vec![
            Guard { path: LEADER_KEY.into(), revision },
            Guard { path: EPOCH_KEY.into(), revision: epoch_revision },
        ];
        self.record_writer.writes.force(now, apply.len() as f64);
        // Until the outcome is known we ask no more.
        self.membership.elect_due_ms = now + self.context.config.lease_renewal_ms();
        if !again {
            self.set_role(Role::Candidate { epoch });
        } else {
            self.membership.control = WatchState::Unread;
            self.membership.control_due_ms = now + self.context.config.lease_renewal_ms() / 2;
        }
        self.membership.asked_ms = now;
        let body = to_cbor(&Transaction { guards, apply });
        self.call_store("POST", "/multi".into(), body, InFlight::Elect { epoch });
    }

    /// Takes the key of an earlier life away, so that another may lead; only when nobody has
    /// for a while do we ask again.
    fn let_go(&mut self, revision: u64) {
        let now = self.context.now.steady_ms;
        tracing::info!("ended several times while leading: another may lead");
        self.membership.leader = None;
        self.membership.elect_due_ms = now + self.context.config.controller_lease_ttl_ms() / 2;
        self.membership.control = WatchState::Unread;
        self.membership.control_due_ms = now + self.context.config.lease_renewal_ms() / 2;
        self.record_writer.writes.force(now, 1.0);
        let body = to_cbor(&Transaction {
            guards: vec![Guard { path: LEADER_KEY.into(), revision }],
            apply: vec![Change::Delete { delete: LEADER_KEY.into() }],
        });
        self.call_store("POST", "/multi".into(), body, InFlight::MemberKey);
    }

    pub(crate) fn on_elect(&mut self, epoch: u64, outcome: Outcome) {
        if self.membership.role != (Role::Candidate { epoch }) {
            return;
        }
        match outcome {
            Outcome::Answer(r) if r.status == 200 => {
                let Ok(done) = from_cbor::<TransactionAnswer>(&r.body) else {
                    return self.set_role(Role::Follower);
                };
                self.note_store_answer();
                self.membership.epoch = epoch;
                self.membership.epoch_revision = done.store_revision;
                self.membership.proven_contact_ms = self.membership.asked_ms;
                self.epoch_began_ms = self.context.now.steady_ms;
                let node = self.context.config.platform.node.clone();
                let key = LeaderRecord { epoch, node: node.clone(), retakes: 0 };
                self.membership.leader = Some((key, done.store_revision));
                let view = EpochRecord { epoch, leader: node.clone(), members: vec![node] };
                self.membership.view = Some((view, done.store_revision));
                self.set_role(Role::Recovering);
                for at in 0..self.membership.siblings.len() {
                    self.send_peer_heartbeat(at);
                }
            }
            Outcome::Answer(r) => {
                if r.status == 400 {
                    self.membership.lease = LeaseState::None;
                    self.membership.lease_due_ms = 0;
                }
                self.set_role(Role::Follower)
            }
            // Perhaps executed: the keys are read again, and if we lead by them, a new
            // epoch is taken over the old one.
            _ => self.set_role(Role::Follower),
        }
    }

    fn tick_heartbeats(&mut self, now: u64) {
        for at in 0..self.membership.siblings.len() {
            let s = &self.membership.siblings[at];
            if !s.asking && now >= s.sent_ms + self.peer_heartbeat_ms() {
                self.send_peer_heartbeat(at);
            }
        }
    }

    pub(crate) fn mesh_message(&self) -> MeshMessage {
        MeshMessage {
            version: MESH_VERSION,
            from: self.context.config.platform.node.clone(),
            epoch: self.membership.epoch,
            store_reachable: self.store_reachable(),
            forward: None,
        }
    }

    fn send_peer_heartbeat(&mut self, at: usize) {
        self.membership.siblings[at].asking = true;
        self.membership.siblings[at].sent_ms = self.context.now.steady_ms;
        let body = to_cbor(&self.mesh_message());
        let timeout = self.context.config.mesh_timeout_ms();
        self.call(
            Peer::Sibling(at),
            "POST",
            "/mesh".into(),
            body,
            timeout,
            InFlight::Beat { sibling: at },
        );
    }

    pub(crate) fn on_peer_heartbeat(&mut self, at: usize, outcome: Outcome) {
        self.membership.siblings[at].asking = false;
        if let Outcome::Answer(r) = outcome {
            if r.status == 200 {
                if let Ok(m) = from_cbor::<MeshMessage>(&r.body) {
                    self.observe_peer(&m);
                }
            }
        }
    }

    /// Takes in what a sibling says of itself; false if it is refused.
    pub(crate) fn observe_peer(&mut self, m: &MeshMessage) -> bool {
        let Some(at) = self.context.config.platform.siblings.iter().position(|s| s.node == m.from)
        else {
            return false;
        };
        if m.version != MESH_VERSION {
            if !std::mem::replace(&mut self.membership.refused[at], true) {
                tracing::error!(sibling = %m.from, version = m.version, "refused: it speaks another mesh version");
            }
            return false;
        }
        let now = self.context.now.steady_ms;
        self.membership.siblings[at].last_heard_ms = Some(now);
        self.membership.siblings[at].store_reachable = m.store_reachable;
        let leading = matches!(self.membership.role, Role::Leader | Role::Recovering);
        if leading && m.epoch > self.membership.epoch {
            tracing::info!(sibling = %m.from, epoch = m.epoch, "superseded: a sibling leads a later epoch");
            self.step_down();
        }
        if m.epoch > self.membership.leader_hint.as_ref().map_or(0, |h| h.epoch) {
            self.membership.leader_hint =
                Some(LeaderRecord { epoch: m.epoch, node: m.from.clone(), retakes: 0 });
        }
        true
    }

    pub(crate) fn on_mesh(&mut self, id: u64, request: quartzgate_wire::http::Request) {
        let path = request.target.split('?').next().unwrap_or("");
        match (request.method.as_str(), path) {
            ("POST", "/mesh") => {}
            ("GET", "/metrics") => {
                let body = self.metrics();
                return self.answer(id, Response::new(200, body));
            }
            (_, "/mesh" | "/metrics") => return self.answer_error(id, 405, "method not allowed"),
            _ => return self.answer_error(id, 404, "no such path"),
        }
        let message: MeshMessage = match from_cbor(&request.body) {
            Ok(m) => m,
            Err(e) => {
                tracing::debug!(error = %e, "malformed mesh message");
                return self.answer_error(id, 400, "malformed mesh message");
            }
        };
        if !self.observe_peer(&message) {
            return self.answer_error(id, 400, "unknown sibling or mesh version");
        }
        let from =
            self.context.config.platform.siblings.iter().position(|s| s.node == message.from);
        match message.forward {
            Some(f) if f.path == "/checkin" => self.on_heartbeat(id, f.body, from),
            Some(f) if f.path == "/orders" => match from {
                Some(at) => self.relay_orders(id, at, &f.body),
                None => self.answer_error(id, 400, "unknown sibling"),
            },
            Some(f) if f.path.starts_with(ABORTED_PATH) => {
                self.on_abort_notice(id, f.path.trim_start_matches(ABORTED_PATH))
            }
            Some(f) => self.on_user(id, &f.method, &f.path, f.body, true),
            None => {
                let body = to_cbor(&self.mesh_message());
                self.answer(id, Response::new(200, body));
            }
        }
    }

    /// What others decide reaches a leader in two ways: past it, by the inbox, and over
    /// it, by a later view. Only up to where both are known are the records known.
    fn advance_contact(&mut self) {
        let proven = self.membership.inbox_ms.min(self.membership.control_ms);
        self.membership.proven_contact_ms = self.membership.proven_contact_ms.max(proven);
    }

    /// Starts watching for what others record past the leader.
    pub(crate) fn watch_handoff_queue(&mut self) {
        let now = self.context.now.steady_ms;
        let block = self.context.config.watch_block_ms();
        self.membership.inbox = WatchState::Watching;
        let since = self.membership.handoff_revision;
        let target = format!("/changes?starts={HANDOFF_PREFIX}&since={since}&block_ms={block}");
        let timeout = block + self.context.config.store_timeout_ms();
        let pending = InFlight::InboxWatch { sent_ms: now, epoch: self.epoch() };
        self.call(Peer::State, "GET", target, Vec::new(), timeout, pending);
    }

    pub(crate) fn on_handoff_watch(&mut self, sent_ms: u64, outcome: Outcome) {
        let now = self.context.now.steady_ms;
        self.membership.inbox = WatchState::Idle;
        self.membership.inbox_due_ms = now + self.context.config.lease_renewal_ms() / 2;
        let Outcome::Answer(r) = outcome else { return };
        if r.status == 410 {
            // Too much has changed meanwhile: what stands in the inbox is read whole.
            self.note_store_answer();
            return self.reread_handoff_queue(None, None);
        }
        if r.status != 200 {
            return;
        }
        let Ok(log) = from_cbor::<ChangeLog>(&r.body) else { return };
        self.note_store_answer();
        self.membership.handoff_revision = log.store_revision;
        self.membership.inbox_ms = self.membership.inbox_ms.max(sent_ms);
        self.advance_contact();
        for change in log.log {
            if let (Some(path), Some(value)) = (change.set, change.value) {
                self.on_handoff_entry(&path, &value, change.revision);
            }
        }
        self.watch_handoff_queue();
    }

    /// Reads what stands in the inbox, some at a time; it is watched again from where that began.
    fn reread_handoff_queue(&mut self, since: Option<String>, rev: Option<u64>) {
        self.membership.inbox = WatchState::Reading;
        let since = since.map_or(String::new(), |s| format!("&since={s}"));
        let target = format!("/keys?starts={HANDOFF_PREFIX}&most=1000{since}");
        let pending = InFlight::InboxList { rev, epoch: self.epoch() };
        self.call_store("GET", target, Vec::new(), pending);
    }

    pub(crate) fn on_handoff_list(&mut self, rev: Option<u64>, outcome: Outcome) {
        let list = match outcome {
            Outcome::Answer(r) if r.status == 200 => from_cbor::<KeyValueList>(&r.body).ok(),
            _ => None,
        };
        // Without an answer the watch that is told 410 once more begins it anew.
        let Some(list) = list else { return self.membership.inbox = WatchState::Idle };
        self.note_store_answer();
        let rev = rev.unwrap_or(list.store_revision);
        let last = list.pairs.last().map(|p| p.path.clone()).filter(|_| list.more);
        for pair in list.pairs {
            self.on_handoff_entry(&pair.path, &pair.value, pair.revision);
        }
        if last.is_some() {
            return self.reread_handoff_queue(last, Some(rev));
        }
        self.membership.handoff_revision = rev;
        self.membership.inbox = WatchState::Idle;
    }

    pub(crate) fn watch_handoff_from(&mut self, rev: u64) {
        self.membership.handoff_revision = rev;
        self.membership.inbox = WatchState::Idle;
        self.membership.inbox_due_ms = 0;
    }
}
