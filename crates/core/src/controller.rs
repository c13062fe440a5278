//! The controller: one value that takes events and gives actions.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use quartzgate_feature_gates::ActivationRecord;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{ErrorAnswer, JobSpec, MachineType, Report};
use quartzgate_wire::to_cbor;
use rand::rngs::SmallRng;

use crate::admission::Admission;
use crate::chains::Chains;
use crate::cloud::Cloud;
use crate::config::Config;
use crate::dispatch::Ratios;
use crate::field::Effort;
use crate::format::Format;
use crate::gang::Held;
use crate::ids::{JobIx, MachineIx, TaskKey};
use crate::jobs::Jobs;
use crate::keeper::Keeper;
use crate::latency::{Latencies, Span};
use crate::machines::{Machines, Room};
use crate::member::{Member, Role};
use crate::pages::{LookUp, Pages};
use crate::pause::Pause;
use crate::polls::{Compared, Polls};
use crate::post::PostBox;
use crate::records::RecordedStatus;
use crate::restore::Restore;
use crate::shares::Placed;
use crate::store::{FlushItem, Store};
use crate::{Action, Call, CallId, Event, LoadState, Now, Outcome, Peer, RequestId};

/// What a call of ours was for.
#[derive(Debug)]
pub(crate) enum Pending {
    LeaseNew { sent_ms: u64 },
    LeaseRenew { sent_ms: u64 },
    MemberKey,
    KeepClaim { epoch: u64, permit: u64 },
    KeepRead { job: String, sent_ms: u64 },
    Post { ids: Vec<u64> },
    HandedOn { sibling: usize, id: u64 },
    OrdersRelayed { request: RequestId },
    ReadAgain { job: String, epoch: u64 },
    ControlRead { sent_ms: u64 },
    ControlWatch { sent_ms: u64 },
    Elect { epoch: u64 },
    InboxWatch { sent_ms: u64, epoch: u64 },
    InboxRead { job: String, epoch: u64 },
    InboxList { rev: Option<u64>, epoch: u64 },
    Restore { epoch: u64 },
    Orders { machine: MachineIx, token: u64, starts: Vec<(TaskKey, u64)> },
    Inspect { machine: MachineIx, epoch: u64 },
    Flush { items: Vec<FlushItem>, sent_ms: u64, epoch: u64 },
    Restamp { item: FlushItem, epoch: u64 },
    Accept { request: RequestId, job: JobIx, placed: Placed, epoch: u64 },
    AcceptAlone { request: RequestId, id: String, cancelled: bool },
    AbortWrite { request: Option<RequestId>, job: JobIx, placed: Placed, epoch: u64 },
    AbortRead { request: RequestId, id: String },
    AbortAlone { request: RequestId, id: String },
    Known { request: RequestId, job: String, refusal: Option<(u16, String)> },
    ChainRead { job: String, epoch: u64 },
    WalkRead { request: RequestId, job: String },
    FormatRead,
    MembersRead,
    Step { record: ActivationRecord, epoch: u64 },
    Poll { request: RequestId, id: String },
    AloneRead { request: RequestId, spec: Box<JobSpec>, cancelled: bool },
    LookFirst(LookUp),
    LookLast(LookUp),
    LookAbsent { look: LookUp, epoch: u64 },
    PageScan,
    PageChanges,
    PageWrite { number: u64, epoch: u64 },
    PageRead { number: u64, epoch: u64 },
    Compare { compared: Compared, epoch: u64 },
    Forward { request: RequestId, sibling: usize, work: Box<UserWork> },
    Beat { sibling: usize },
    Told,
    Relay { request: RequestId, report: Box<Report> },
    Adopt { job: JobIx, epoch: u64 },
    Types,
    List { since: Option<String> },
    Hire { kind: String, zone: u16, spot: bool, wanted: u32, name: String, epoch: u64 },
    Return { machines: Vec<MachineIx>, epoch: u64 },
}

/// A user's request, parsed.
#[derive(Clone, Debug)]
pub(crate) enum UserWork {
    Submit(Box<JobSpec>, Vec<u8>),
    /// A submission that names a job and is wrong in something else: refused unless it is known.
    Malformed {
        job: String,
        why: String,
        body: Vec<u8>,
    },
    Poll(String),
    Abort(String),
}

/// Ends of jobs, which never change again. Bounded: the oldest are read anew.
pub(crate) struct Finals {
    known: HashMap<String, RecordedStatus>,
    order: VecDeque<String>,
    max_terminal_jobs: usize,
}

impl Finals {
    pub fn new(max_terminal_jobs: usize) -> Self {
        Finals { known: HashMap::new(), order: VecDeque::new(), max_terminal_jobs }
    }

    pub fn insert(&mut self, id: String, status: RecordedStatus) {
        if self.known.insert(id.clone(), status).is_none() {
            self.order.push_back(id);
            if self.order.len() > self.max_terminal_jobs {
                if let Some(old) = self.order.pop_front() {
                    self.known.remove(&old);
                }
            }
        }
    }

    pub fn get(&self, id: &str) -> Option<RecordedStatus> {
        self.known.get(id).copied()
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TeamUse {
    /// Dealt and not provably ended: what the limit is held against.
    pub licensed: Room,
    /// On machines.
    pub placed: Room,
    /// Perhaps on machines: not proven free yet.
    pub unproven: Room,
}

pub struct Controller {
    pub(crate) cfg: Config,
    pub(crate) now: Now,
    pub(crate) rng: SmallRng,
    pub(crate) out: Vec<Action>,
    next_call: CallId,
    pending: HashMap<CallId, Pending>,
    pub(crate) member: Member,
    pub(crate) finals: Finals,
    pub(crate) chains: Chains,
    pub(crate) format: Format,
    pub(crate) latencies: Latencies,
    pub(crate) keeper: Keeper,
    pub(crate) polls: Polls,
    pub(crate) pages: Pages,
    pub(crate) pages_retry: Vec<u64>,
    pub(crate) post: PostBox,
    /// Workers of other zones: since when they report here, and when they were last sent
    /// to the leader.
    pub(crate) strays: BTreeMap<String, (u64, u64)>,
    pub(crate) pause: Pause,
    pub(crate) types: Vec<MachineType>,
    pub(crate) types_at_ms: Option<u64>,
    pub(crate) types_asked_ms: u64,
    // The leader's memory, emptied when it is superseded.
    pub(crate) jobs: Jobs,
    pub(crate) machines: Machines,
    pub(crate) teams: Vec<TeamUse>,
    pub(crate) store: Store,
    pub(crate) cloud: Cloud,
    pub(crate) restore: Restore,
    pub(crate) ratios: Ratios,
    pub(crate) effort: Effort,
    pub(crate) load: LoadState,
    /// What the daemon tells of requests that waited.
    pub(crate) intake: Vec<(String, f64)>,
    pub(crate) admission: Admission,
    pub(crate) epoch_began_ms: u64,
    pub(crate) attempts: u64,
    pub(crate) arrivals: u64,
    pub(crate) touched: BTreeSet<MachineIx>,
    pub(crate) needs_orders: BTreeSet<MachineIx>,
    pub(crate) deal_due: bool,
    pub(crate) reprobe_due: bool,
    pub(crate) drain_due: bool,
    pub(crate) preempt_due: bool,
    dealt_ms: u64,
    reprobed_ms: u64,
    preempted_ms: u64,
    pub(crate) supply_changed: bool,
    pub(crate) round_at_ms: u64,
    pub(crate) second_at_ms: u64,
    /// Reads of records that failed and are tried again.
    pub(crate) store_retry: Vec<FlushItem>,
    pub(crate) inbox_again: Vec<String>,
    /// Jobs whose acceptance got no answer, and until when they are looked for.
    pub(crate) doubted: BTreeMap<String, u64>,
    /// Reports whose workers were sent elsewhere.
    pub(crate) let_go: u64,
    /// Room that is kept for gangs, by machine.
    pub(crate) held: BTreeMap<MachineIx, Held>,
    /// Late copies of reports that were dropped.
    pub(crate) copies_dropped: u64,
}

impl Controller {
    pub fn new(cfg: Config, rng: SmallRng) -> Self {
        let teams = vec![TeamUse::default(); cfg.platform.params.teams.len()];
        let store = Store::new(&cfg.platform.params.state);
        let cloud = Cloud::new(&cfg);
        let admission = Admission::new(Store::write_rate(&cfg.platform.params.state));
        let member = Member::new(&cfg);
        let format = Format::new(&cfg);
        let effort = Effort::new(cfg.platform.params.limits.cpu_share);
        let finals = Finals::new(cfg.max_terminal_jobs());
        let latencies = Latencies::new(cfg.max_timed_requests());
        let keeper = Keeper::new(&cfg);
        let pause = Pause::new(&cfg);
        Controller {
            cfg,
            now: Now::default(),
            rng,
            out: Vec::new(),
            next_call: 1,
            pending: HashMap::new(),
            member,
            finals,
            chains: Chains::default(),
            format,
            latencies,
            keeper,
            polls: Polls::default(),
            pages: Pages::default(),
            pages_retry: Vec::new(),
            post: PostBox::default(),
            strays: BTreeMap::new(),
            pause,
            types: Vec::new(),
            types_at_ms: None,
            types_asked_ms: 0,
            jobs: Jobs::default(),
            machines: Machines::default(),
            teams,
            store,
            cloud,
            restore: Restore::default(),
            ratios: Ratios::default(),
            effort,
            load: LoadState::Normal,
            intake: Vec::new(),
            admission,
            epoch_began_ms: 0,
            attempts: 0,
            arrivals: 0,
            touched: BTreeSet::new(),
            needs_orders: BTreeSet::new(),
            deal_due: false,
            reprobe_due: false,
            drain_due: false,
            preempt_due: false,
            dealt_ms: 0,
            reprobed_ms: 0,
            preempted_ms: 0,
            supply_changed: false,
            round_at_ms: 0,
            second_at_ms: 0,
            store_retry: Vec::new(),
            inbox_again: Vec::new(),
            doubted: BTreeMap::new(),
            let_go: 0,
            held: BTreeMap::new(),
            copies_dropped: 0,
        }
    }

    /// Takes in what has happened; returns what is to be done.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        let before_ms = std::mem::replace(&mut self.now, now).steady_ms;
        let gap_ms = now.steady_ms.saturating_sub(before_ms);
        if before_ms > 0 && gap_ms > self.cfg.pause_ms() {
            self.woke(gap_ms);
        }
        match event {
            Event::Tick => self.on_tick(),
            Event::Client { id, request } => self.on_client(id, request),
            Event::Mesh { id, request } => self.on_mesh(id, request),
            Event::Load { state, figures } => {
                self.effort.fit(state);
                (self.load, self.intake) = (state, figures);
            }
            Event::Outcome { call, outcome } => {
                if let Some(pending) = self.pending.remove(&call) {
                    self.on_outcome(pending, outcome);
                }
            }
        }
        self.pump();
        std::mem::take(&mut self.out)
    }

    fn on_tick(&mut self) {
        self.tick_member();
        self.settle_doubt();
        self.tick_held();
        self.tick_format();
        self.tick_types();
        self.tick_keeper();
        self.tick_restore();
        self.tick_post();
        self.tick_polls();
        self.tick_chains();
        self.look_through();
        if !self.leads() {
            return;
        }
        let now = self.now.steady_ms;
        if now >= self.second_at_ms {
            self.second_at_ms = now + 1000.min(self.cfg.report_ms());
            self.presume_silent();
            self.inspect_quiet();
            self.return_silent();
            self.fence_aborted();
            self.read_again();
            self.tick_cloud();
            self.drain();
            self.retry_reads();
            self.read_unsure();
            self.retry_inbox();
            self.retry_pages();
            self.deal_due = true;
            self.touch_waiting();
            self.log_pulse();
            self.preempt_due = true;
        }
        if now >= self.round_at_ms {
            self.round_at_ms = now + self.cfg.report_ms();
            self.weigh();
            self.reprobe_due = true;
        }
    }

    /// Follows up on whatever the event has made possible.
    fn pump(&mut self) {
        if !self.leads() {
            return;
        }
        self.settle_chains();
        self.flush_intake();
        if std::mem::take(&mut self.drain_due) {
            self.drain();
        }
        let (now, pause) = (self.now.steady_ms, self.cfg.batch_ms());
        // What has become possible within a moment is dealt in one go.
        if self.deal_due && now >= self.dealt_ms + pause / 10 {
            (self.deal_due, self.dealt_ms) = (false, now);
            self.deal_all();
            self.tick_gangs();
        }
        // These two look at all that waits: once in a while is enough.
        if self.reprobe_due && now >= self.reprobed_ms + pause {
            self.reprobed_ms = now;
            self.reprobe();
        }
        self.dispatch_touched();
        if self.preempt_due && now >= self.preempted_ms + pause {
            self.preempted_ms = now;
            self.preempt_due = false;
            self.preempt();
        }
        for ix in std::mem::take(&mut self.needs_orders) {
            self.send_orders(ix);
        }
        self.flush();
    }

    pub(crate) fn on_outcome(&mut self, pending: Pending, outcome: Outcome) {
        let current = self.epoch();
        match pending {
            Pending::LeaseNew { sent_ms } => self.on_lease_new(sent_ms, outcome),
            Pending::LeaseRenew { sent_ms } => self.on_lease_renew(sent_ms, outcome),
            Pending::MemberKey | Pending::Told => {}
            Pending::KeepClaim { epoch, permit } => self.on_keep_claim(epoch, permit, outcome),
            Pending::KeepRead { job, sent_ms } => self.on_keep_read(job, sent_ms, outcome),
            Pending::Post { ids } => self.on_post_written(ids, outcome),
            Pending::HandedOn { sibling, id } => self.on_handed_on(sibling, id, outcome),
            Pending::OrdersRelayed { request } => self.on_orders_relayed(request, outcome),
            Pending::ControlRead { sent_ms } => self.on_control_read(sent_ms, outcome),
            Pending::ControlWatch { sent_ms } => self.on_control_watch(sent_ms, outcome),
            Pending::Elect { epoch } => self.on_elect(epoch, outcome),
            Pending::AcceptAlone { request, id, cancelled } => {
                self.on_accept_alone(request, id, cancelled, outcome)
            }
            Pending::AbortRead { request, id } => self.on_abort_read(request, id, outcome),
            Pending::AbortAlone { request, id } => self.on_abort_alone(request, id, outcome),
            Pending::Known { request, job, refusal } => {
                self.on_known(request, job, refusal, outcome)
            }
            Pending::WalkRead { request, job } => self.on_walk_read(request, job, outcome),
            Pending::FormatRead => self.on_format_read(outcome),
            Pending::MembersRead => self.on_members_read(outcome),
            Pending::Step { record, epoch } => {
                self.on_step((epoch == current).then_some(record), outcome)
            }
            Pending::Compare { compared, epoch } => self.on_compare(compared, epoch, outcome),
            Pending::Poll { request, id } => self.on_poll_read(request, id, outcome),
            Pending::AloneRead { request, spec, cancelled } => {
                self.on_alone_read(request, *spec, cancelled, outcome)
            }
            Pending::LookFirst(look) => self.on_look_first(look, outcome),
            Pending::LookLast(look) => self.on_look_last(look, outcome),
            Pending::LookAbsent { look, epoch } => self.on_look_absent(look, epoch, outcome),
            Pending::PageScan => self.on_page_scan(outcome),
            Pending::PageChanges => self.on_page_changes(outcome),
            Pending::Forward { request, sibling, work } => {
                self.on_forwarded(request, sibling, *work, outcome)
            }
            Pending::Relay { request, report } => self.on_relayed(request, *report, outcome),
            Pending::Beat { sibling } => self.on_beat(sibling, outcome),
            Pending::Types => self.on_types(outcome),
            Pending::Accept { request, job, placed, epoch } => {
                if epoch == current {
                    self.on_accept(request, job, placed, outcome)
                } else {
                    self.answer_busy(request)
                }
            }
            Pending::AbortWrite { request, job, placed, epoch } => {
                if epoch == current {
                    self.on_abort_write(request, job, placed, outcome)
                } else if let Some(request) = request {
                    self.answer_busy(request)
                }
            }
            // What follows concerns a memory that is gone if the epoch has changed.
            Pending::Restore { epoch }
            | Pending::InboxWatch { epoch, .. }
            | Pending::PageWrite { epoch, .. }
            | Pending::PageRead { epoch, .. }
            | Pending::InboxRead { epoch, .. }
            | Pending::InboxList { epoch, .. }
            | Pending::ReadAgain { epoch, .. }
            | Pending::ChainRead { epoch, .. }
            | Pending::Inspect { epoch, .. }
            | Pending::Flush { epoch, .. }
            | Pending::Restamp { epoch, .. }
            | Pending::Adopt { epoch, .. }
            | Pending::Hire { epoch, .. }
            | Pending::Return { epoch, .. }
                if epoch != current => {}
            Pending::Restore { .. } => self.on_restore(outcome),
            Pending::InboxWatch { sent_ms, .. } => self.on_inbox_watch(sent_ms, outcome),
            Pending::ChainRead { job, .. } => self.on_chain_read(job, outcome),
            Pending::ReadAgain { job, .. } => self.on_read_again(job, outcome),
            Pending::PageWrite { number, .. } => self.on_page_write(number, outcome),
            Pending::PageRead { number, .. } => self.on_page_read(number, outcome),
            Pending::InboxRead { job, .. } => self.on_inbox_read(job, outcome),
            Pending::InboxList { rev, .. } => self.on_inbox_list(rev, outcome),
            Pending::Orders { machine, token, starts } => {
                if crate::ids::epoch_of(token) == current {
                    self.on_orders_outcome(machine, token, starts, outcome)
                }
            }
            Pending::Inspect { machine, .. } => self.on_inspect(machine, outcome),
            Pending::Flush { items, sent_ms, .. } => {
                self.latencies.note(Span::Write, self.now.steady_ms.saturating_sub(sent_ms));
                self.on_flush(items, outcome)
            }
            Pending::Restamp { item, .. } => self.on_restamp(item, outcome),
            Pending::Adopt { job, .. } => self.on_adopt(job, outcome),
            Pending::List { since } => self.on_list(since, outcome),
            Pending::Hire { kind, zone, spot, wanted, name, .. } => {
                self.on_hire(kind, zone, spot, wanted, name, outcome)
            }
            Pending::Return { machines, .. } => self.on_return(machines, outcome),
        }
    }

    pub(crate) fn call(
        &mut self,
        peer: Peer,
        method: &'static str,
        target: String,
        body: Vec<u8>,
        timeout_ms: u64,
        pending: Pending,
    ) {
        let id = self.next_call;
        self.next_call += 1;
        self.pending.insert(id, pending);
        self.out.push(Action::Call(Call { id, peer, method, target, body, timeout_ms }));
    }

    pub(crate) fn answer(&mut self, id: RequestId, response: Response) {
        self.latencies.end(id, self.now.steady_ms);
        self.out.push(Action::Answer { id, response });
    }

    pub(crate) fn answer_error(&mut self, id: RequestId, status: u16, error: &str) {
        let body = to_cbor(&ErrorAnswer { error: error.to_string() });
        self.answer(id, Response::new(status, body));
    }

    /// Can't be decided now: says so at once, and when to come back.
    pub(crate) fn answer_busy(&mut self, id: RequestId) {
        let body = to_cbor(&ErrorAnswer { error: "can't decide at present".into() });
        let mut response = Response::new(503, body);
        response.retry_after_s = Some(1);
        self.answer(id, response);
    }

    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        crate::ids::in_epoch(self.epoch(), self.attempts)
    }

    /// Another controller has taken over: everything that the leader kept goes.
    pub(crate) fn superseded(&mut self) {
        if !matches!(self.member.role, Role::Follower) {
            tracing::info!(epoch = self.epoch(), "no longer leading");
        }
        self.role_to(Role::Follower);
    }

    pub(crate) fn forget_leadership(&mut self) {
        self.drop_polls();
        self.forget_pages();
        self.jobs = Jobs::default();
        self.machines = Machines::default();
        self.teams.iter_mut().for_each(|t| *t = TeamUse::default());
        self.store = Store::new(self.limits());
        self.admission = Admission::new(Store::write_rate(self.limits()));
        self.chains.forget_graph();
        self.cloud = Cloud::new(&self.cfg);
        self.restore = Restore::default();
        self.ratios = Ratios::default();
        self.touched.clear();
        self.needs_orders.clear();
        self.attempts = 0;
        self.store_retry.clear();
        self.inbox_again.clear();
        self.doubted.clear();
        self.held.clear();
        self.clear_post();
    }

    pub(crate) fn touch_all(&mut self) {
        self.touched.extend(self.machines.indexes());
    }

    /// Machines whose queues hold something that may have become due.
    fn touch_waiting(&mut self) {
        let waiting: Vec<MachineIx> =
            self.machines.iter().filter(|(_, m)| !m.queue.is_empty()).map(|(ix, _)| ix).collect();
        self.touched.extend(waiting);
    }

    pub(crate) fn state_call(
        &mut self,
        method: &'static str,
        target: String,
        body: Vec<u8>,
        pending: Pending,
    ) {
        let timeout = self.cfg.state_timeout_ms();
        self.call(Peer::State, method, target, body, timeout, pending);
    }

    /// Whether a read for a user may be made now.
    pub(crate) fn may_read(&mut self) -> bool {
        let now = self.now.steady_ms;
        self.member.reads.take(now, 1.0, 0.1)
    }

    /// The same for a question, which can be asked again: it leaves some for what is submitted
    /// or cancelled.
    pub(crate) fn may_read_to_tell(&mut self) -> bool {
        let now = self.now.steady_ms;
        self.member.reads.take(now, 1.0, 0.3)
    }

    /// The state service asked for a pause.
    pub(crate) fn state_busy(&mut self, status: u16) {
        use rand::Rng;
        let pause = self.rng.random_range(100..300);
        let now = self.now.steady_ms;
        if status == 429 {
            self.member.reads.close(now, pause);
        }
        self.store.writes.close(now, pause);
    }
}

impl Controller {
    /// Sets the budgets by the limits that are to be kept now.
    pub(crate) fn fit_budgets(&mut self) {
        let limits = self.limits().clone();
        let controllers = self.cfg.platform.siblings.len() + 1;
        let reads = match self.member.role {
            Role::Restoring | Role::Leading => leader_share(limits.rps),
            _ => follower_share(limits.rps, controllers),
        };
        self.member.reads.set_rate(reads);
        self.store.writes.set_rate(Store::write_rate(&limits));
        self.admission.set_rate(Store::write_rate(&limits));
    }
}

/// Shares of the state service's limits that the leader may use; the rest is for
/// the other controllers.
pub(crate) fn leader_share(limit: f64) -> f64 {
    limit * 0.7
}

/// Share of a limit for one controller that does not lead.
pub(crate) fn follower_share(limit: f64, controllers: usize) -> f64 {
    (limit * 0.3 / (controllers.max(2) - 1) as f64).max(2.0)
}
