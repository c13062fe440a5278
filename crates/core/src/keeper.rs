//! Keeping: a controller that does not lead answers the reports of workers that
//! can't reach the leader, so that what runs there runs on. It starts nothing.
//!
//! Before it keeps anything, its claim stands in the state service, on its lease and
//! guarded by the present view. The leader presumes no silent machine empty while a
//! claim stands, nor for a lease's time after it has seen one go.

use std::collections::BTreeMap;

use quartzgate_reachability::{DuplicateDetector, Freshness, MessageNumber};
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{
    Change, Guard, Order, Report, ReportAnswer, TaskStatus, Transaction, TransactionAnswer,
};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::capacity::{forget_oldest, heartbeat_bytes, BoundedList};
use crate::config::Config;
use crate::controller::{Controller, Pending};
use crate::ids::{epoch_of, in_epoch, parse_task};
use crate::member::Role;
use crate::records::{decode, encode, JobRecord, RecordedStatus, KEEPERS, VIEW};
use crate::{Outcome, RequestId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Claim {
    None,
    Asking,
    /// Stands under this epoch's view.
    Standing {
        epoch: u64,
    },
}

/// What a fresh read said of a job whose task a kept machine holds.
#[derive(Clone, Copy, Debug)]
struct Known {
    live: bool,
    as_of_ms: u64,
    asked_ms: u64,
}

/// Where the messages of a worker stand that came here, and when the last one came.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    duplicates: DuplicateDetector,
    heard_ms: u64,
}

/// A heartbeat that waits for the claim or for a read, and until when.
struct ParkedHeartbeat {
    request: RequestId,
    report: Report,
    until_ms: u64,
}

pub(crate) struct Keeper {
    claim: Claim,
    retry_ms: u64,
    used_ms: u64,
    jobs: BTreeMap<String, Known>,
    seen: BTreeMap<String, Seen>,
    /// When each kept machine's token was last raised.
    raised: BTreeMap<String, u64>,
    parked: BoundedList<ParkedHeartbeat>,
}

/// What became of a report that reached a controller which does not lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// Answered on the leader's behalf.
    Kept,
    /// Can be answered as soon as what was asked of the state service has come.
    Soon,
    /// Has to go elsewhere.
    No,
}

/// A keeper raises a token by more than the leader does meanwhile.
const TOKEN_STEP: u64 = 1 << 8;

impl Keeper {
    pub fn new(cfg: &Config) -> Self {
        Keeper {
            claim: Claim::None,
            retry_ms: 0,
            used_ms: 0,
            jobs: BTreeMap::new(),
            seen: BTreeMap::new(),
            raised: BTreeMap::new(),
            parked: BoundedList::new(cfg.max_parked_heartbeats(), cfg.max_held_bytes()),
        }
    }
}

impl Controller {
    fn keeper_key(&self) -> String {
        format!("{KEEPERS}{}", self.cfg.platform.node)
    }

    /// The one function that changes where the claim stands.
    fn claim_to(&mut self, claim: Claim) {
        if self.keeper.claim != claim {
            match claim {
                Claim::Standing { epoch } => {
                    tracing::info!(epoch, "keeping workers that can't reach the leader")
                }
                Claim::None if matches!(self.keeper.claim, Claim::Standing { .. }) => {
                    self.keeper.jobs.clear();
                    self.keeper.raised.clear();
                    self.clear_post()
                }
                _ => {}
            }
            self.keeper.claim = claim;
        }
    }

    /// Takes a worker's report on the leader's behalf; false if it has to go elsewhere.
    pub(crate) fn keep(&mut self, id: RequestId, report: &Report) -> bool {
        let now = self.now.steady_ms;
        if !self.keeper.seen.contains_key(&report.machine) {
            let most = self.cfg.max_proxied_workers();
            forget_oldest(&mut self.keeper.seen, most, |seen| seen.heard_ms);
        }
        let seen = self.keeper.seen.entry(report.machine.clone()).or_default();
        seen.heard_ms = now;
        // A copy needs no keeper: nothing is claimed, posted or raised for it.
        if seen
            .duplicates
            .record_heartbeat(MessageNumber { agent_epoch: report.tenure, sequence: report.seq })
            == Freshness::Duplicate
        {
            self.copies_dropped += 1;
            return false;
        }
        match self.try_keep(id, report) {
            Verdict::Kept => true,
            // Sent round once more it might find its lease run out.
            Verdict::Soon => {
                let until_ms = now + self.cfg.park_ms();
                let report = report.clone();
                self.park(ParkedHeartbeat { request: id, report, until_ms })
            }
            Verdict::No => false,
        }
    }

    /// False if there is no room for it.
    fn park(&mut self, parked: ParkedHeartbeat) -> bool {
        let bytes = heartbeat_bytes(&parked.report);
        self.keeper.parked.push(parked, bytes)
    }

    fn retry_parked(&mut self) {
        let now = self.now.steady_ms;
        for (parked, _) in self.keeper.parked.take() {
            let request = parked.request;
            match self.try_keep(request, &parked.report) {
                Verdict::Kept => {}
                Verdict::Soon if now < parked.until_ms && self.park(parked) => {}
                _ => self.redirect(request),
            }
        }
    }

    fn try_keep(&mut self, id: RequestId, report: &Report) -> Verdict {
        let now = self.now.steady_ms;
        if self.member.role != Role::Follower || !self.leader_missed() {
            return Verdict::No;
        }
        let Some(epoch) = self.proven_view_epoch() else { return Verdict::No };
        // Nothing to keep: it was never commanded, or by one that we know nothing of.
        if report.token == 0 || epoch_of(report.token) > epoch {
            // The leader may take a new machine on all the same.
            if report.token == 0 && self.keeper.claim == (Claim::Standing { epoch }) {
                self.post_report(report);
            }
            return Verdict::No;
        }
        if !self.leader_out_of_reach() {
            return Verdict::Soon;
        }
        let claimed = self.keeper.claim == Claim::Standing { epoch };
        if !claimed {
            self.claim(epoch);
        }
        self.keeper.used_ms = now;
        let fresh_after = now.saturating_sub(self.cfg.horizon_ms());
        let reread_after = now.saturating_sub(self.cfg.horizon_ms() / 3);
        let mut orders = Vec::new();
        let mut proven = true;
        let mut ask: Vec<String> = Vec::new();
        for t in report.tasks.iter().filter(|t| t.status != TaskStatus::Exited) {
            let Some((job, _)) = parse_task(&t.task) else { continue };
            let known = self.keeper.jobs.get(job).copied();
            let asked = known.map_or(0, |k| k.asked_ms);
            let live = known.is_none_or(|k| k.live);
            if live
                && known.map_or(0, |k| k.as_of_ms) < reread_after.max(1)
                && now >= asked + self.cfg.state_timeout_ms()
                && !ask.iter().any(|j| j == job)
            {
                ask.push(job.to_string());
            }
            match known {
                Some(k) if !k.live => orders.push(Order::Stop {
                    task: t.task.clone(),
                    attempt: t.attempt,
                    grace_s: 0.0,
                }),
                Some(k) if k.as_of_ms > 0 && k.as_of_ms >= fresh_after => {}
                _ => proven = false,
            }
        }
        for job in ask {
            self.ask_job(job);
        }
        if !proven || !claimed {
            return Verdict::Soon;
        }
        let token = self.kept_token(report, epoch);
        let body = to_cbor(&ReportAnswer { token, orders });
        self.answer(id, Response::new(200, body));
        self.post_report(report);
        Verdict::Kept
    }

    /// The token that a kept worker is answered with. It is raised now and then, and so
    /// orders that are still on their way, the leader's or an earlier one's, match no
    /// longer when a cut lets them go: their tasks may have been cancelled meanwhile.
    fn kept_token(&mut self, report: &Report, epoch: u64) -> u64 {
        let now = self.now.steady_ms;
        let token = report.token.max(in_epoch(epoch, 0));
        let raised = self.keeper.raised.get(&report.machine);
        let due = raised.is_none_or(|at| now >= at + self.cfg.horizon_ms() / 3);
        if !due || epoch_of(token + TOKEN_STEP) != epoch {
            return token;
        }
        self.keeper.raised.insert(report.machine.clone(), now);
        token + TOKEN_STEP
    }

    fn ask_job(&mut self, job: String) {
        let now = self.now.steady_ms;
        if !self.keeper.jobs.contains_key(&job) {
            let most = self.cfg.max_proxied_jobs();
            forget_oldest(&mut self.keeper.jobs, most, |known| known.asked_ms);
        }
        if !self.may_read() {
            return;
        }
        let known = self.keeper.jobs.entry(job.clone());
        known.or_insert(Known { live: true, as_of_ms: 0, asked_ms: 0 }).asked_ms = now;
        let pending = Pending::KeepRead { job: job.clone(), sent_ms: now };
        self.look_up(&job, pending);
    }

    pub(crate) fn on_keep_read(&mut self, job: String, sent_ms: u64, outcome: Outcome) {
        let Ok(pair) = self.read_outcome(outcome) else { return };
        let live = match pair {
            Some(p) => decode::<JobRecord>(&p.value).map(|r| r.status == RecordedStatus::Live),
            None => Some(false),
        };
        let (Some(live), Some(k)) = (live, self.keeper.jobs.get_mut(&job)) else { return };
        (k.live, k.as_of_ms) = (live, k.as_of_ms.max(sent_ms));
    }

    /// A kept machine may hold tasks of a job that is cancelled on record.
    pub(crate) fn keeper_learns_abort(&mut self, job: &str) {
        if let Some(known) = self.keeper.jobs.get_mut(job) {
            known.live = false;
        }
    }

    /// Records that this controller keeps workers under the present view.
    fn claim(&mut self, epoch: u64) {
        let now = self.now.steady_ms;
        if self.keeper.claim == Claim::Asking || now < self.keeper.retry_ms {
            return;
        }
        let (Some(permit), Some(stamp)) = (self.lease_permit(), self.view_stamp_seen()) else {
            return;
        };
        if !self.store.writes.take(now, 1.0, 0.0) {
            return;
        }
        self.keeper.retry_ms = now + self.cfg.report_ms();
        self.claim_to(Claim::Asking);
        let set =
            Change::Set { set: self.keeper_key(), value: encode(&epoch), permit: Some(permit) };
        let guards = vec![Guard { path: VIEW.into(), stamp }];
        let body = to_cbor(&Transaction { guards, apply: vec![set] });
        self.state_call("POST", "/multi".into(), body, Pending::KeepClaim { epoch, permit });
    }

    pub(crate) fn on_keep_claim(&mut self, epoch: u64, permit: u64, outcome: Outcome) {
        let stands = match outcome {
            Outcome::Answer(r) if r.status == 200 => {
                self.state_answered();
                from_cbor::<TransactionAnswer>(&r.body).is_ok()
            }
            _ => false,
        };
        // A claim goes with the lease that it was made on.
        let stands = stands && self.lease_permit() == Some(permit);
        self.claim_to(if stands { Claim::Standing { epoch } } else { Claim::None });
    }

    /// The lease that the claim was made on is gone, and the claim with it.
    pub(crate) fn drop_claim(&mut self) {
        self.claim_to(Claim::None);
    }

    /// Ends a claim that no worker has needed for a while, and clears up what is
    /// left of an earlier one.
    pub(crate) fn tick_keeper(&mut self) {
        let now = self.now.steady_ms;
        self.retry_parked();
        if let Claim::Standing { epoch } = self.keeper.claim {
            let unused = now > self.keeper.used_ms + self.cfg.lease_ms();
            let other_view = self.view_epoch_seen() != Some(epoch);
            if unused || other_view || self.member.role != Role::Follower {
                self.claim_to(Claim::None);
            }
        }
        let own = self.member.keepers.get(&self.cfg.platform.node).copied();
        let Some(stamp) = own.filter(|_| self.keeper.claim == Claim::None) else { return };
        if now >= self.keeper.retry_ms && self.store.writes.take(now, 1.0, 0.0) {
            self.keeper.retry_ms = now + self.cfg.report_ms();
            let path = self.keeper_key();
            // Guarded, so that a late one can't undo a later claim.
            let guards = vec![Guard { path: path.clone(), stamp }];
            let body =
                to_cbor(&Transaction { guards, apply: vec![Change::Delete { delete: path }] });
            self.state_call("POST", "/multi".into(), body, Pending::MemberKey);
        }
    }
}
