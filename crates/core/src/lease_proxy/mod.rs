//! Keeping: a controller that does not lead answers the reports of workers that
//! can't reach the leader, so that what runs there runs on. It starts nothing.
//!
//! Before it keeps anything, its claim stands in the state service, on its lease and
//! guarded by the present view. The leader presumes no silent machine empty while a
//! claim stands, nor for a lease's time after it has seen one go.

pub(crate) mod mailbox;

use std::collections::BTreeMap;

use quartzgate_reachability::{DuplicateDetector, Freshness, MessageNumber};
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{
    Change, Guard, Heartbeat, HeartbeatAnswer, Order, TaskStatus, Transaction, TransactionAnswer,
};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::capacity::{forget_oldest, heartbeat_bytes, BoundedList};
use crate::config::Config;
use crate::controller::{Controller, InFlight};
use crate::ids::{epoch_of, parse_task, scoped_to_epoch};
use crate::membership::Role;
use crate::storage::records::{
    decode, encode, JobRecord, RecordedStatus, EPOCH_KEY, LEASE_PROXY_PREFIX,
};
use crate::{Outcome, RequestId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProxyClaim {
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
    last_heard_ms: u64,
}

/// A heartbeat that waits for the claim or for a read, and until when.
struct ParkedHeartbeat {
    request: RequestId,
    report: Heartbeat,
    until_ms: u64,
}

pub(crate) struct LeaseProxy {
    claim: ProxyClaim,
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

impl LeaseProxy {
    pub fn new(cfg: &Config) -> Self {
        LeaseProxy {
            claim: ProxyClaim::None,
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
        format!("{LEASE_PROXY_PREFIX}{}", self.context.config.platform.node)
    }

    /// The one function that changes where the claim stands.
    fn set_claim(&mut self, claim: ProxyClaim) {
        if self.lease_proxy.claim != claim {
            match claim {
                ProxyClaim::Standing { epoch } => {
                    tracing::info!(epoch, "keeping workers that can't reach the leader")
                }
                ProxyClaim::None
                    if matches!(self.lease_proxy.claim, ProxyClaim::Standing { .. }) =>
                {
                    self.lease_proxy.jobs.clear();
                    self.lease_proxy.raised.clear();
                    self.clear_mailbox()
                }
                _ => {}
            }
            self.lease_proxy.claim = claim;
        }
    }

    /// Takes a worker's report on the leader's behalf; false if it has to go elsewhere.
    pub(crate) fn serve_by_proxy(&mut self, id: RequestId, report: &Heartbeat) -> bool {
        let now = self.context.now.steady_ms;
        if !self.lease_proxy.seen.contains_key(&report.machine) {
            let most = self.context.config.max_proxied_workers();
            forget_oldest(&mut self.lease_proxy.seen, most, |seen| seen.last_heard_ms);
        }
        let seen = self.lease_proxy.seen.entry(report.machine.clone()).or_default();
        seen.last_heard_ms = now;
        // A copy needs no keeper: nothing is claimed, posted or raised for it.
        let number = MessageNumber { agent_epoch: report.agent_epoch, sequence: report.seq };
        if seen.duplicates.record_heartbeat(number) == Freshness::Duplicate {
            self.duplicates_dropped += 1;
            return false;
        }
        match self.try_serve_by_proxy(id, report) {
            Verdict::Kept => true,
            // Sent round once more it might find its lease run out.
            Verdict::Soon => {
                let until_ms = now + self.context.config.max_heartbeat_hold_ms();
                let report = report.clone();
                self.park(ParkedHeartbeat { request: id, report, until_ms })
            }
            Verdict::No => false,
        }
    }

    /// False if there is no room for it.
    fn park(&mut self, parked: ParkedHeartbeat) -> bool {
        let bytes = heartbeat_bytes(&parked.report);
        self.lease_proxy.parked.push(parked, bytes)
    }

    fn retry_parked(&mut self) {
        let now = self.context.now.steady_ms;
        for (parked, _) in self.lease_proxy.parked.take() {
            let request = parked.request;
            match self.try_serve_by_proxy(request, &parked.report) {
                Verdict::Kept => {}
                Verdict::Soon if now < parked.until_ms && self.park(parked) => {}
                _ => self.redirect(request),
            }
        }
    }

    fn try_serve_by_proxy(&mut self, id: RequestId, report: &Heartbeat) -> Verdict {
        let now = self.context.now.steady_ms;
        if self.membership.role() != Role::Follower || !self.leader_missed() {
            return Verdict::No;
        }
        let Some(epoch) = self.proven_epoch() else { return Verdict::No };
        // Nothing to keep: it was never commanded, or by one that we know nothing of.
        if report.fencing_token == 0 || epoch_of(report.fencing_token) > epoch {
            // The leader may take a new machine on all the same.
            if report.fencing_token == 0
                && self.lease_proxy.claim == (ProxyClaim::Standing { epoch })
            {
                self.mail_heartbeat(report);
            }
            return Verdict::No;
        }
        if !self.leader_out_of_reach() {
            return Verdict::Soon;
        }
        let claimed = self.lease_proxy.claim == ProxyClaim::Standing { epoch };
        if !claimed {
            self.claim(epoch);
        }
        self.lease_proxy.used_ms = now;
        let fresh_after = now.saturating_sub(self.context.config.lease_bound_ms());
        let reread_after = now.saturating_sub(self.context.config.lease_bound_ms() / 3);
        let mut orders = Vec::new();
        let mut proven = true;
        let mut ask: Vec<String> = Vec::new();
        for t in report.tasks.iter().filter(|t| t.status != TaskStatus::Exited) {
            let Some((job, _)) = parse_task(&t.task) else { continue };
            let known = self.lease_proxy.jobs.get(job).copied();
            let asked = known.map_or(0, |k| k.asked_ms);
            let live = known.is_none_or(|k| k.live);
            if live
                && known.map_or(0, |k| k.as_of_ms) < reread_after.max(1)
                && now >= asked + self.context.config.store_timeout_ms()
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
        let fencing_token = self.kept_token(report, epoch);
        let body = to_cbor(&HeartbeatAnswer { fencing_token, orders });
        self.answer(id, Response::new(200, body));
        self.mail_heartbeat(report);
        Verdict::Kept
    }

    /// The token that a kept worker is answered with. It is raised now and then, and so
    /// orders that are still on their way, the leader's or an earlier one's, match no
    /// longer when a cut lets them go: their tasks may have been cancelled meanwhile.
    fn kept_token(&mut self, report: &Heartbeat, epoch: u64) -> u64 {
        let now = self.context.now.steady_ms;
        let fencing_token = report.fencing_token.max(scoped_to_epoch(epoch, 0));
        let raised = self.lease_proxy.raised.get(&report.machine);
        let due = raised.is_none_or(|at| now >= at + self.context.config.lease_bound_ms() / 3);
        if !due || epoch_of(fencing_token + TOKEN_STEP) != epoch {
            return fencing_token;
        }
        self.lease_proxy.raised.insert(report.machine.clone(), now);
        fencing_token + TOKEN_STEP
    }

    fn ask_job(&mut self, job: String) {
        let now = self.context.now.steady_ms;
        if !self.lease_proxy.jobs.contains_key(&job) {
            let most = self.context.config.max_proxied_jobs();
            forget_oldest(&mut self.lease_proxy.jobs, most, |known| known.asked_ms);
        }
        if !self.may_read_for_request() {
            return;
        }
        let known = self.lease_proxy.jobs.entry(job.clone());
        known.or_insert(Known { live: true, as_of_ms: 0, asked_ms: 0 }).asked_ms = now;
        let pending = InFlight::KeepRead { job: job.clone(), sent_ms: now };
        self.look_up(&job, pending);
    }

    pub(crate) fn on_proxy_job_read(&mut self, job: String, sent_ms: u64, outcome: Outcome) {
        let Ok(pair) = self.read_outcome(outcome) else { return };
        let live = match pair {
            Some(p) => decode::<JobRecord>(&p.value).map(|r| r.status == RecordedStatus::Live),
            None => Some(false),
        };
        let (Some(live), Some(k)) = (live, self.lease_proxy.jobs.get_mut(&job)) else { return };
        (k.live, k.as_of_ms) = (live, k.as_of_ms.max(sent_ms));
    }

    /// A kept machine may hold tasks of a job that is cancelled on record.
    pub(crate) fn proxy_learns_abort(&mut self, job: &str) {
        if let Some(known) = self.lease_proxy.jobs.get_mut(job) {
            known.live = false;
        }
    }

    /// Records that this controller keeps workers under the present view.
    fn claim(&mut self, epoch: u64) {
        let now = self.context.now.steady_ms;
        if self.lease_proxy.claim == ProxyClaim::Asking || now < self.lease_proxy.retry_ms {
            return;
        }
        let (Some(lease_id), Some(revision)) =
            (self.controller_lease_id(), self.observed_epoch_revision())
        else {
            return;
        };
        if !self.record_writer.writes.take(now, 1.0, 0.0) {
            return;
        }
        self.lease_proxy.retry_ms = now + self.context.config.heartbeat_interval_ms();
        self.set_claim(ProxyClaim::Asking);
        let set =
            Change::Set { set: self.keeper_key(), value: encode(&epoch), lease_id: Some(lease_id) };
        let guards = vec![Guard { path: EPOCH_KEY.into(), revision }];
        let body = to_cbor(&Transaction { guards, apply: vec![set] });
        self.call_store("POST", "/multi".into(), body, InFlight::KeepClaim { epoch, lease_id });
    }

    pub(crate) fn on_proxy_claim(&mut self, epoch: u64, lease_id: u64, outcome: Outcome) {
        let stands = match outcome {
            Outcome::Answer(r) if r.status == 200 => {
                self.note_store_answer();
                from_cbor::<TransactionAnswer>(&r.body).is_ok()
            }
            _ => false,
        };
        // A claim goes with the lease that it was made on.
        let stands = stands && self.controller_lease_id() == Some(lease_id);
        self.set_claim(if stands { ProxyClaim::Standing { epoch } } else { ProxyClaim::None });
    }

    /// The lease that the claim was made on is gone, and the claim with it.
    pub(crate) fn release_claim(&mut self) {
        self.set_claim(ProxyClaim::None);
    }

    /// Ends a claim that no worker has needed for a while, and clears up what is
    /// left of an earlier one.
    pub(crate) fn tick_lease_proxy(&mut self) {
        let now = self.context.now.steady_ms;
        self.retry_parked();
        if let ProxyClaim::Standing { epoch } = self.lease_proxy.claim {
            let unused = now > self.lease_proxy.used_ms + self.context.config.lease_ms();
            let other_view = self.observed_epoch() != Some(epoch);
            if unused || other_view || self.membership.role() != Role::Follower {
                self.set_claim(ProxyClaim::None);
            }
        }
        let own = self.membership.proxy_claim_revision(&self.context.config.platform.node);
        let Some(revision) = own.filter(|_| self.lease_proxy.claim == ProxyClaim::None) else {
            return;
        };
        if now >= self.lease_proxy.retry_ms && self.record_writer.writes.take(now, 1.0, 0.0) {
            self.lease_proxy.retry_ms = now + self.context.config.heartbeat_interval_ms();
            let path = self.keeper_key();
            // Guarded, so that a late one can't undo a later claim.
            let guards = vec![Guard { path: path.clone(), revision }];
            let body =
                to_cbor(&Transaction { guards, apply: vec![Change::Delete { delete: path }] });
            self.call_store("POST", "/multi".into(), body, InFlight::MemberKey);
        }
    }
}
