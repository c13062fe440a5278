//! Membership, leadership, and what the controllers tell one another.

use quartzgate_feature_gates::Feature;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{
    Change, ChangeLog, Guard, LeaseAnswer, LeaseRequest, MeshMessage, PairList, Transaction,
    TransactionAnswer, MESH_VERSION,
};
use quartzgate_wire::{from_cbor, to_cbor};
use rand::Rng;

use crate::api::ABORTED;
use crate::budget::Budget;
use crate::config::Config;
use crate::controller::{follower_share, leader_share, Controller, Pending};
use crate::records::{decode, encode, member_key, Leader, View, INBOX, KEEPERS, LEADER, VIEW};
use crate::{Outcome, Peer};

/// Times in a row that a controller that is back takes the lead from its earlier life: after
/// that it lets go.
const RETAKES: u32 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Follower,
    /// Asking the state service for the leadership of this epoch.
    Electing {
        epoch: u64,
    },
    /// Leads; reads the records before it decides anything.
    Restoring,
    Leading,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseState {
    None,
    Asking,
    Held { permit: u64 },
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
struct SiblingSeen {
    heard_ms: Option<u64>,
    sent_ms: u64,
    has_state: bool,
    asking: bool,
}

pub(crate) struct Member {
    pub role: Role,
    lease: LeaseState,
    lease_due_ms: u64,
    renewing: bool,
    control: WatchState,
    control_due_ms: u64,
    rev: u64,
    leader: Option<(Leader, u64)>,
    view: Option<(View, u64)>,
    /// A leader that a sibling's beat tells of, for redirects only.
    hint: Option<Leader>,
    /// When the leadership was last asked for.
    asked_ms: u64,
    elect_due_ms: u64,
    /// Epoch in which this controller leads, and its view's stamp.
    epoch: u64,
    pub view_stamp: u64,
    /// When the state service last answered anything.
    state_ms: Option<u64>,
    /// The newest moment whose records we are proven to know.
    pub contact_ms: u64,
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
    pub inbox_rev: u64,
    siblings: Vec<SiblingSeen>,
    refused: Vec<bool>,
    pub reads: Budget,
}

impl Member {
    pub fn new(cfg: &Config) -> Self {
        let n = cfg.platform.siblings.len();
        Member {
            role: Role::Follower,
            lease: LeaseState::None,
            lease_due_ms: 0,
            renewing: false,
            control: WatchState::Unread,
            control_due_ms: 0,
            rev: 0,
            leader: None,
            view: None,
            hint: None,
            asked_ms: 0,
            elect_due_ms: 0,
            epoch: 0,
            view_stamp: 0,
            state_ms: None,
            contact_ms: 0,
            keepers: Default::default(),
            kept_ms: 0,
            control_ms: 0,
            control_sent_ms: 0,
            leader_since_ms: 0,
            renewed_ms: 0,
            inbox: WatchState::Unread,
            inbox_ms: 0,
            inbox_due_ms: 0,
            inbox_rev: 0,
            siblings: vec![SiblingSeen::default(); n],
            refused: vec![false; n],
            reads: Budget::new(follower_share(cfg.platform.params.state.rps, n + 1)),
        }
    }

    /// The view is proven to be known as it stood at this moment or later.
    pub fn view_known_since(&self, ms: u64) -> bool {
        self.control_ms >= ms
    }

    pub fn state_answered_since(&self, ms: u64) -> bool {
        self.state_ms.is_some_and(|s| s >= ms)
    }
}

impl Controller {
    pub(crate) fn epoch(&self) -> u64 {
        self.member.epoch
    }

    /// Leads and knows all records.
    pub(crate) fn leads(&self) -> bool {
        self.member.role == Role::Leading
    }

    pub(crate) fn knows_all_jobs(&self) -> bool {
        self.leads()
    }

    /// May answer reports and send orders: it leads, and has been in touch with the
    /// state service so lately that all it keeps alive is gone in time.
    pub(crate) fn commands_workers(&self) -> bool {
        matches!(self.member.role, Role::Restoring | Role::Leading)
            && self.now.steady_ms < self.member.contact_ms + self.cfg.horizon_ms()
            && !self.in_doubt()
    }

    pub(crate) fn known_leader(&self) -> Option<String> {
        if matches!(self.member.role, Role::Restoring | Role::Leading) {
            return Some(self.cfg.platform.node.clone());
        }
        self.present_leader().map(|l| l.node.clone())
    }

    /// The leader by the newest epoch heard of.
    fn present_leader(&self) -> Option<&Leader> {
        let stood = self.member.view.as_ref().map_or(0, |(v, _)| v.epoch);
        let hint = self.member.hint.as_ref().filter(|h| h.epoch > stood);
        hint.or(self.member.leader.as_ref().map(|(l, _)| l))
    }

    /// The sibling that leads.
    pub(crate) fn leader_place(&self) -> Option<usize> {
        let leader = self.present_leader()?;
        self.cfg.platform.siblings.iter().position(|s| s.node == leader.node)
    }

    /// The sibling that leads, if it has been heard lately.
    pub(crate) fn leader_sibling(&self) -> Option<usize> {
        self.leader_place().filter(|at| self.sibling_alive(*at))
    }

    /// A sibling that has been heard within a beat or two and has the state service.
    pub(crate) fn sibling_serves(&self, at: usize) -> bool {
        let s = &self.member.siblings[at];
        let late = self.beat_ms() * 2;
        s.has_state && s.heard_ms.is_some_and(|h| self.now.steady_ms < h + late)
    }

    pub(crate) fn sibling_alive(&self, at: usize) -> bool {
        let now = self.now.steady_ms;
        self.member.siblings[at].heard_ms.is_some_and(|h| now < h + 3 * self.beat_ms())
    }

    fn beat_ms(&self) -> u64 {
        self.cfg.member_ttl_ms() / 4
    }

    /// The leader has not been heard for longer than a beat.
    pub(crate) fn leader_missed(&self) -> bool {
        self.leader_heard_ms().is_some_and(|h| self.now.steady_ms > h + self.beat_ms() * 5 / 4)
    }

    /// When the leader whose key stands was last heard, or first seen to lead.
    fn leader_heard_ms(&self) -> Option<u64> {
        let (leader, _) = self.member.leader.as_ref()?;
        let at = self.cfg.platform.siblings.iter().position(|s| s.node == leader.node)?;
        let heard = self.member.siblings[at].heard_ms.unwrap_or(0);
        Some(heard.max(self.member.leader_since_ms).max(self.pause.woke_ms))
    }

    /// The leader's key stands, and yet the leader has missed its beats: it lives out
    /// of our reach, or has just died.
    pub(crate) fn leader_out_of_reach(&self) -> bool {
        self.leader_heard_ms().is_some_and(|h| self.now.steady_ms > h + 2 * self.beat_ms())
    }

    /// A sibling that says the state service answers it.
    pub(crate) fn sibling_with_state(&self) -> Option<usize> {
        (0..self.member.siblings.len())
            .find(|&at| self.sibling_alive(at) && self.member.siblings[at].has_state)
    }

    pub(crate) fn has_state(&self) -> bool {
        let within = self.cfg.watch_block_ms() + 2 * self.cfg.state_timeout_ms();
        self.member.state_ms.is_some_and(|s| self.now.steady_ms < s + within)
    }

    /// Whether users should be sent here: it can decide, or pass on what it can't,
    /// or nobody else can either.
    pub(crate) fn ready(&self) -> bool {
        if self.member.state_ms.is_none() || self.foreign_format() {
            return false;
        }
        self.has_state()
            || self.sibling_with_state().is_some()
            || (0..self.member.siblings.len()).any(|at| self.sibling_alive(at))
    }

    /// Up to when it is proven that no keeper kept a worker alive: `silence` after
    /// that moment no lease given by a keeper can be left. 0 while a claim stands.
    pub(crate) fn unkept_ms(&self) -> u64 {
        let m = &self.member;
        if !m.keepers.is_empty()
            || m.control_ms < m.kept_ms + self.cfg.silence_ms() && m.kept_ms > 0
        {
            return 0;
        }
        m.control_ms
    }

    /// Epoch of the view that stands, if that is proven within the horizon and our
    /// lease can't have run out.
    pub(crate) fn proven_view_epoch(&self) -> Option<u64> {
        let now = self.now.steady_ms;
        let m = &self.member;
        let lease = m.renewed_ms + self.cfg.member_ttl_ms() * 9 / 10;
        (now < lease && now < m.control_ms + self.cfg.horizon_ms())
            .then(|| m.view.as_ref().map(|(v, _)| v.epoch))
            .flatten()
    }

    pub(crate) fn lease_permit(&self) -> Option<u64> {
        match self.member.lease {
            LeaseState::Held { permit } => Some(permit),
            _ => None,
        }
    }

    pub(crate) fn view_epoch_seen(&self) -> Option<u64> {
        self.member.view.as_ref().map(|(v, _)| v.epoch)
    }

    pub(crate) fn view_stamp_seen(&self) -> Option<u64> {
        self.member.view.as_ref().map(|(_, s)| *s)
    }

    fn see_keeper(&mut self, node: &str, stamp: Option<u64>) {
        let now = self.now.steady_ms;
        self.member.kept_ms = now;
        let before = self.member.keepers.contains_key(node);
        match stamp {
            Some(stamp) => self.member.keepers.insert(node.to_string(), stamp),
            None => self.member.keepers.remove(node),
        };
        if before != stamp.is_some() && self.leads() {
            let keeps = stamp.is_some();
            tracing::info!(node, keeps, "a controller keeps workers that can't reach us");
        }
    }

    /// The one function that changes this controller's role.
    pub(crate) fn role_to(&mut self, role: Role) {
        let old = std::mem::replace(&mut self.member.role, role);
        if old == role {
            return;
        }
        let limits = self.limits().clone();
        let controllers = self.member.siblings.len() + 1;
        match role {
            Role::Follower => {
                if matches!(old, Role::Leading | Role::Restoring) {
                    self.member.epoch = 0;
                    self.member.reads = Budget::new(follower_share(limits.rps, controllers));
                    self.forget_leadership();
                }
                self.member.control = WatchState::Unread;
            }
            Role::Electing { .. } => {}
            Role::Restoring => {
                let rps = limits.rps;
                self.forget_leadership();
                self.member.reads = Budget::new(leader_share(rps));
                self.member.inbox = WatchState::Unread;
                tracing::info!(epoch = self.member.epoch, "leading: reading the records");
                self.start_restore();
            }
            Role::Leading => {
                tracing::info!(
                    epoch = self.member.epoch,
                    jobs = self.jobs.len(),
                    took_ms = self.now.steady_ms - self.epoch_began_ms,
                    "leading: records read"
                );
            }
        }
    }

    pub(crate) fn tick_member(&mut self) {
        let now = self.now.steady_ms;
        self.tick_lease(now);
        if now >= self.member.control_due_ms {
            match self.member.control {
                WatchState::Unread => {
                    self.member.control = WatchState::Reading;
                    self.member.control_sent_ms = now;
                    let target = format!("/keys?starts={VIEW}");
                    let pending = Pending::ControlRead { sent_ms: now };
                    self.state_call("GET", target, Vec::new(), pending);
                }
                WatchState::Idle => self.watch_control(),
                _ => {}
            }
        }
        self.tick_election(now);
        self.tick_beats(now);
        if self.leads() && self.member.inbox == WatchState::Idle && now >= self.member.inbox_due_ms
        {
            self.watch_inbox();
        }
    }

    /// What is asked anew after a pause: whether the lease stands, and who is there.
    pub(crate) fn ask_anew(&mut self) {
        let now = self.now.steady_ms;
        // An answer to what was asked before proves nothing of now.
        self.member.control = WatchState::Unread;
        (self.member.control_due_ms, self.member.control_sent_ms) = (now, 0);
        self.member.renewing = false;
        self.member.lease_due_ms = now;
        self.member.siblings.iter_mut().filter(|s| !s.asking).for_each(|s| s.sent_ms = 0);
    }

    fn tick_lease(&mut self, now: u64) {
        if now < self.member.lease_due_ms || self.member.renewing {
            return;
        }
        let every = self.cfg.renew_every_ms();
        match self.member.lease {
            LeaseState::None => {
                self.member.lease = LeaseState::Asking;
                let body = to_cbor(&LeaseRequest { ttl_ms: self.cfg.member_ttl_ms() });
                self.state_call("POST", "/leases".into(), body, Pending::LeaseNew { sent_ms: now });
            }
            LeaseState::Asking => {}
            LeaseState::Held { permit } => {
                self.member.renewing = true;
                self.member.lease_due_ms = now + every;
                let target = format!("/leases/{permit}/renew");
                self.state_call("POST", target, Vec::new(), Pending::LeaseRenew { sent_ms: now });
            }
        }
    }

    /// Notes that the state service has answered.
    pub(crate) fn state_answered(&mut self) {
        self.member.state_ms = Some(self.now.steady_ms);
    }

    pub(crate) fn on_lease_new(&mut self, sent_ms: u64, outcome: Outcome) {
        let now = self.now.steady_ms;
        self.member.lease = LeaseState::None;
        self.member.lease_due_ms = now + self.cfg.renew_every_ms() / 2;
        if let Outcome::Answer(r) = outcome {
            if let (200, Ok(l)) = (r.status, from_cbor::<LeaseAnswer>(&r.body)) {
                self.state_answered();
                self.member.lease = LeaseState::Held { permit: l.permit };
                self.member.renewed_ms = sent_ms;
                self.drop_claim();
                self.leave_member_key();
            }
        }
    }

    /// Says on our lease that we live.
    pub(crate) fn leave_member_key(&mut self) {
        let LeaseState::Held { permit } = self.member.lease else { return };
        let node = self.cfg.platform.node.clone();
        let set =
            Change::Set { set: member_key(&node), value: encode(&node), permit: Some(permit) };
        let body = to_cbor(&Transaction { guards: Vec::new(), apply: vec![set] });
        self.store.writes.force(self.now.steady_ms, 1.0);
        self.state_call("POST", "/multi".into(), body, Pending::MemberKey);
    }

    pub(crate) fn on_lease_renew(&mut self, sent_ms: u64, outcome: Outcome) {
        self.member.renewing = false;
        match outcome {
            Outcome::Answer(r) if r.status == 200 => {
                self.state_answered();
                self.member.renewed_ms = self.member.renewed_ms.max(sent_ms);
            }
            Outcome::Answer(r) if r.status == 404 => {
                self.state_answered();
                tracing::info!("lease at the state service has run out; asking for a new one");
                self.member.lease = LeaseState::None;
                self.member.lease_due_ms = 0;
                self.drop_claim();
            }
            Outcome::Answer(r) => {
                tracing::debug!(status = r.status, "lease not renewed");
            }
            _ => {}
        }
    }

    pub(crate) fn on_control_read(&mut self, sent_ms: u64, outcome: Outcome) {
        let now = self.now.steady_ms;
        // Asked anew since, after a pause.
        if self.member.control_sent_ms != sent_ms {
            return;
        }
        self.member.control = WatchState::Unread;
        self.member.control_due_ms = now + self.cfg.renew_every_ms() / 2;
        let Outcome::Answer(r) = outcome else { return };
        if r.status != 200 {
            return;
        }
        let Ok(list) = from_cbor::<PairList>(&r.body) else { return };
        self.state_answered();
        let mut leader = None;
        let mut view = None;
        let had: Vec<String> = self.member.keepers.keys().cloned().collect();
        let mut have: Vec<(String, u64)> = Vec::new();
        for pair in &list.pairs {
            match pair.path.as_str() {
                LEADER => leader = decode::<Leader>(&pair.value).map(|l| (l, pair.stamp)),
                VIEW => match decode::<View>(&pair.value) {
                    Some(v) => view = Some((v, pair.stamp)),
                    None => {
                        tracing::error!("the record `view` can't be read; not leading");
                        return;
                    }
                },
                path => {
                    have.extend(path.strip_prefix(KEEPERS).map(|n| (n.to_string(), pair.stamp)))
                }
            }
        }
        // A claim may have come and gone since the last look: as if one had just gone.
        self.member.kept_ms = now;
        for node in had.iter().filter(|n| !have.iter().any(|(h, _)| h == *n)) {
            self.see_keeper(node, None);
        }
        for (node, stamp) in &have {
            self.see_keeper(node, Some(*stamp));
        }
        self.member.control_ms = self.member.control_ms.max(sent_ms);
        self.member.rev = list.ledger_rev;
        self.member.control = WatchState::Idle;
        self.member.control_due_ms = 0;
        self.see_view(view);
        self.see_leader(leader);
        self.settle_doubt();
        self.watch_control();
    }

    fn see_view(&mut self, view: Option<(View, u64)>) {
        if let Some((v, _)) = &view {
            let leading = matches!(self.member.role, Role::Leading | Role::Restoring);
            if leading && v.epoch > self.member.epoch {
                tracing::info!(epoch = v.epoch, leader = %v.leader, "superseded: a later view stands");
                self.superseded();
            }
        }
        self.member.view = view;
    }

    fn see_leader(&mut self, leader: Option<(Leader, u64)>) {
        let now = self.now.steady_ms;
        let name = |l: &Option<(Leader, u64)>| l.as_ref().map(|(l, _)| (l.node.clone(), l.epoch));
        if name(&leader) != name(&self.member.leader) {
            self.member.leader_since_ms = now;
            match &leader {
                Some((l, _)) => tracing::info!(leader = %l.node, epoch = l.epoch, "leader"),
                None => tracing::info!("no leader"),
            }
        }
        if leader.is_none() {
            // Controllers take turns, so that two seldom ask at once.
            let turn = self
                .cfg
                .platform
                .siblings
                .iter()
                .filter(|s| s.node < self.cfg.platform.node)
                .count() as u64;
            let step = self.cfg.member_ttl_ms() / 50;
            let wait = turn * step + self.rng.random_range(0..step.max(1));
            self.member.elect_due_ms = self.member.elect_due_ms.max(now + wait);
        }
        self.member.leader = leader;
    }

    fn watch_control(&mut self) {
        let now = self.now.steady_ms;
        let block = self.cfg.watch_block_ms();
        self.member.control = WatchState::Watching;
        let target = format!("/changes?starts={VIEW}&since={}&block_ms={block}", self.member.rev);
        let timeout = block + self.cfg.state_timeout_ms();
        self.member.control_sent_ms = now;
        let pending = Pending::ControlWatch { sent_ms: now };
        self.call(Peer::State, "GET", target, Vec::new(), timeout, pending);
    }

    pub(crate) fn on_control_watch(&mut self, sent_ms: u64, outcome: Outcome) {
        let now = self.now.steady_ms;
        let asked_anew = self.member.control_sent_ms != sent_ms;
        if self.member.control != WatchState::Watching || asked_anew {
            return;
        }
        // The watch goes on from where it was, so that no change is missed.
        self.member.control = WatchState::Idle;
        self.member.control_due_ms = now.max(sent_ms + self.cfg.renew_every_ms());
        let Outcome::Answer(r) = outcome else { return };
        if r.status == 410 {
            self.state_answered();
            self.member.control = WatchState::Unread;
            return;
        }
        if r.status != 200 {
            self.member.control_due_ms = now + self.cfg.renew_every_ms() / 2;
            return;
        }
        let Ok(log) = from_cbor::<ChangeLog>(&r.body) else { return };
        self.state_answered();
        self.member.rev = log.ledger_rev;
        self.member.control_ms = self.member.control_ms.max(sent_ms);
        self.prove_contact();
        self.member.control = WatchState::Idle;
        self.member.control_due_ms = 0;
        for change in log.log {
            if let Some(path) = &change.set {
                let Some(value) = &change.value else { continue };
                match path.as_str() {
                    LEADER => {
                        let leader = decode::<Leader>(value).map(|l| (l, change.stamp));
                        self.see_leader(leader)
                    }
                    VIEW => {
                        if let Some(v) = decode::<View>(value) {
                            self.see_view(Some((v, change.stamp)))
                        }
                    }
                    path => {
                        if let Some(node) = path.strip_prefix(KEEPERS) {
                            self.see_keeper(node, Some(change.stamp));
                        } else {
                            self.on_post(path, value);
                        }
                    }
                }
            } else if change.delete.as_deref() == Some(LEADER) {
                self.see_leader(None);
            } else if let Some(node) =
                change.delete.as_deref().and_then(|d| d.strip_prefix(KEEPERS))
            {
                self.see_keeper(node, None);
            }
        }
        self.watch_control();
    }

    fn tick_election(&mut self, now: u64) {
        let LeaseState::Held { permit } = self.member.lease else { return };
        if self.foreign_format() {
            return;
        }
        if matches!(self.member.control, WatchState::Unread | WatchState::Reading) {
            return;
        }
        let node = self.cfg.platform.node.clone();
        let (stamp, epoch, retakes) = match (&self.member.leader, self.member.role) {
            (_, Role::Electing { .. }) => return,
            // Our own key of an earlier life needs no waiting for; but whoever ends as soon as
            // it leads, again and again, would keep all others from it.
            (Some((l, stamp)), Role::Follower) if l.node == node => {
                // Whether it may be counted depends on the format.
                if !self.knows_format() {
                    return;
                }
                if l.retakes >= RETAKES {
                    return self.let_go(*stamp);
                }
                (
                    *stamp,
                    None,
                    if self.has(Feature::SplitPlacementRecords) { l.retakes + 1 } else { 0 },
                )
            }
            (Some(_), _) => return,
            (None, Role::Follower) if now >= self.member.elect_due_ms => (0, None, 0),
            // The key went with a lease, but nobody has led since: the epoch goes on.
            (None, Role::Leading | Role::Restoring) => (0, Some(self.member.epoch), 0),
            (None, _) => return,
        };
        let (view_epoch, view_stamp) =
            self.member.view.as_ref().map_or((0, 0), |(v, s)| (v.epoch, *s));
        let again = epoch.is_some();
        if again && view_epoch != self.member.epoch {
            return;
        }
        let epoch = epoch.unwrap_or(view_epoch + 1);
        let key = Leader { epoch, node: node.clone(), retakes };
        let mut apply =
            vec![Change::Set { set: LEADER.into(), value: encode(&key), permit: Some(permit) }];
        if !again {
            let view = View { epoch, leader: node.clone(), members: vec![node] };
            apply.push(Change::Set { set: VIEW.into(), value: encode(&view), permit: None });
        }
        let guards = vec![
            Guard { path: LEADER.into(), stamp },
            Guard { path: VIEW.into(), stamp: view_stamp },
        ];
        self.store.writes.force(now, apply.len() as f64);
        // Until the outcome is known we ask no more.
        self.member.elect_due_ms = now + self.cfg.renew_every_ms();
        if !again {
            self.role_to(Role::Electing { epoch });
        } else {
            self.member.control = WatchState::Unread;
            self.member.control_due_ms = now + self.cfg.renew_every_ms() / 2;
        }
        self.member.asked_ms = now;
        let body = to_cbor(&Transaction { guards, apply });
        self.state_call("POST", "/multi".into(), body, Pending::Elect { epoch });
    }

    /// Takes the key of an earlier life away, so that another may lead; only when nobody has
    /// for a while do we ask again.
    fn let_go(&mut self, stamp: u64) {
        let now = self.now.steady_ms;
        tracing::info!("ended several times while leading: another may lead");
        self.member.leader = None;
        self.member.elect_due_ms = now + self.cfg.member_ttl_ms() / 2;
        self.member.control = WatchState::Unread;
        self.member.control_due_ms = now + self.cfg.renew_every_ms() / 2;
        self.store.writes.force(now, 1.0);
        let body = to_cbor(&Transaction {
            guards: vec![Guard { path: LEADER.into(), stamp }],
            apply: vec![Change::Delete { delete: LEADER.into() }],
        });
        self.state_call("POST", "/multi".into(), body, Pending::MemberKey);
    }

    pub(crate) fn on_elect(&mut self, epoch: u64, outcome: Outcome) {
        if self.member.role != (Role::Electing { epoch }) {
            return;
        }
        match outcome {
            Outcome::Answer(r) if r.status == 200 => {
                let Ok(done) = from_cbor::<TransactionAnswer>(&r.body) else {
                    return self.role_to(Role::Follower);
                };
                self.state_answered();
                self.member.epoch = epoch;
                self.member.view_stamp = done.ledger_rev;
                self.member.contact_ms = self.member.asked_ms;
                self.epoch_began_ms = self.now.steady_ms;
                let node = self.cfg.platform.node.clone();
                let key = Leader { epoch, node: node.clone(), retakes: 0 };
                self.member.leader = Some((key, done.ledger_rev));
                let view = View { epoch, leader: node.clone(), members: vec![node] };
                self.member.view = Some((view, done.ledger_rev));
                self.role_to(Role::Restoring);
                for at in 0..self.member.siblings.len() {
                    self.beat(at);
                }
            }
            Outcome::Answer(r) => {
                if r.status == 400 {
                    self.member.lease = LeaseState::None;
                    self.member.lease_due_ms = 0;
                }
                self.role_to(Role::Follower)
            }
            // Perhaps executed: the keys are read again, and if we lead by them, a new
            // epoch is taken over the old one.
            _ => self.role_to(Role::Follower),
        }
    }

    fn tick_beats(&mut self, now: u64) {
        for at in 0..self.member.siblings.len() {
            let s = &self.member.siblings[at];
            if !s.asking && now >= s.sent_ms + self.beat_ms() {
                self.beat(at);
            }
        }
    }

    pub(crate) fn mesh_message(&self) -> MeshMessage {
        MeshMessage {
            version: MESH_VERSION,
            from: self.cfg.platform.node.clone(),
            epoch: self.member.epoch,
            has_state: self.has_state(),
            forward: None,
        }
    }

    fn beat(&mut self, at: usize) {
        self.member.siblings[at].asking = true;
        self.member.siblings[at].sent_ms = self.now.steady_ms;
        let body = to_cbor(&self.mesh_message());
        let timeout = self.cfg.mesh_timeout_ms();
        self.call(
            Peer::Sibling(at),
            "POST",
            "/mesh".into(),
            body,
            timeout,
            Pending::Beat { sibling: at },
        );
    }

    pub(crate) fn on_beat(&mut self, at: usize, outcome: Outcome) {
        self.member.siblings[at].asking = false;
        if let Outcome::Answer(r) = outcome {
            if r.status == 200 {
                if let Ok(m) = from_cbor::<MeshMessage>(&r.body) {
                    self.hear(&m);
                }
            }
        }
    }

    /// Takes in what a sibling says of itself; false if it is refused.
    pub(crate) fn hear(&mut self, m: &MeshMessage) -> bool {
        let Some(at) = self.cfg.platform.siblings.iter().position(|s| s.node == m.from) else {
            return false;
        };
        if m.version != MESH_VERSION {
            if !std::mem::replace(&mut self.member.refused[at], true) {
                tracing::error!(sibling = %m.from, version = m.version, "refused: it speaks another mesh version");
            }
            return false;
        }
        let now = self.now.steady_ms;
        self.member.siblings[at].heard_ms = Some(now);
        self.member.siblings[at].has_state = m.has_state;
        let leading = matches!(self.member.role, Role::Leading | Role::Restoring);
        if leading && m.epoch > self.member.epoch {
            tracing::info!(sibling = %m.from, epoch = m.epoch, "superseded: a sibling leads a later epoch");
            self.superseded();
        }
        if m.epoch > self.member.hint.as_ref().map_or(0, |h| h.epoch) {
            self.member.hint = Some(Leader { epoch: m.epoch, node: m.from.clone(), retakes: 0 });
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
        if !self.hear(&message) {
            return self.answer_error(id, 400, "unknown sibling or mesh version");
        }
        let from = self.cfg.platform.siblings.iter().position(|s| s.node == message.from);
        match message.forward {
            Some(f) if f.path == "/checkin" => self.on_checkin(id, f.body, from),
            Some(f) if f.path == "/orders" => match from {
                Some(at) => self.relay_orders(id, at, &f.body),
                None => self.answer_error(id, 400, "unknown sibling"),
            },
            Some(f) if f.path.starts_with(ABORTED) => {
                self.told_of_abort(id, f.path.trim_start_matches(ABORTED))
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
    fn prove_contact(&mut self) {
        let proven = self.member.inbox_ms.min(self.member.control_ms);
        self.member.contact_ms = self.member.contact_ms.max(proven);
    }

    /// Starts watching for what others record past the leader.
    pub(crate) fn watch_inbox(&mut self) {
        let now = self.now.steady_ms;
        let block = self.cfg.watch_block_ms();
        self.member.inbox = WatchState::Watching;
        let since = self.member.inbox_rev;
        let target = format!("/changes?starts={INBOX}&since={since}&block_ms={block}");
        let timeout = block + self.cfg.state_timeout_ms();
        let pending = Pending::InboxWatch { sent_ms: now, epoch: self.epoch() };
        self.call(Peer::State, "GET", target, Vec::new(), timeout, pending);
    }

    pub(crate) fn on_inbox_watch(&mut self, sent_ms: u64, outcome: Outcome) {
        let now = self.now.steady_ms;
        self.member.inbox = WatchState::Idle;
        self.member.inbox_due_ms = now + self.cfg.renew_every_ms() / 2;
        let Outcome::Answer(r) = outcome else { return };
        if r.status == 410 {
            // Too much has changed meanwhile: what stands in the inbox is read whole.
            self.state_answered();
            return self.reread_inbox(None, None);
        }
        if r.status != 200 {
            return;
        }
        let Ok(log) = from_cbor::<ChangeLog>(&r.body) else { return };
        self.state_answered();
        self.member.inbox_rev = log.ledger_rev;
        self.member.inbox_ms = self.member.inbox_ms.max(sent_ms);
        self.prove_contact();
        for change in log.log {
            if let (Some(path), Some(value)) = (change.set, change.value) {
                self.on_inbox(&path, &value, change.stamp);
            }
        }
        self.watch_inbox();
    }

    /// Reads what stands in the inbox, some at a time; it is watched again from where that began.
    fn reread_inbox(&mut self, since: Option<String>, rev: Option<u64>) {
        self.member.inbox = WatchState::Reading;
        let since = since.map_or(String::new(), |s| format!("&since={s}"));
        let target = format!("/keys?starts={INBOX}&most=1000{since}");
        let pending = Pending::InboxList { rev, epoch: self.epoch() };
        self.state_call("GET", target, Vec::new(), pending);
    }

    pub(crate) fn on_inbox_list(&mut self, rev: Option<u64>, outcome: Outcome) {
        let list = match outcome {
            Outcome::Answer(r) if r.status == 200 => from_cbor::<PairList>(&r.body).ok(),
            _ => None,
        };
        // Without an answer the watch that is told 410 once more begins it anew.
        let Some(list) = list else { return self.member.inbox = WatchState::Idle };
        self.state_answered();
        let rev = rev.unwrap_or(list.ledger_rev);
        let last = list.pairs.last().map(|p| p.path.clone()).filter(|_| list.more);
        for pair in list.pairs {
            self.on_inbox(&pair.path, &pair.value, pair.stamp);
        }
        if last.is_some() {
            return self.reread_inbox(last, Some(rev));
        }
        self.member.inbox_rev = rev;
        self.member.inbox = WatchState::Idle;
    }

    pub(crate) fn inbox_from(&mut self, rev: u64) {
        self.member.inbox_rev = rev;
        self.member.inbox = WatchState::Idle;
        self.member.inbox_due_ms = 0;
    }
}
