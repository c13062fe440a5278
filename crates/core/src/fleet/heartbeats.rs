//! Admission of workers' heartbeats, and what they say about their machines.
//!
//! Only the leader answers a heartbeat with a fencing token, which renews the worker's lease;
//! every other controller forwards it, serves it as a lease proxy or redirects the worker.
//! Invariant: an answer to a duplicate or a late heartbeat never extends a lease, and a
//! fencing token of a later epoch is never taken over: the leader steps down instead.

use std::net::SocketAddr;

use quartzgate_reachability::{Freshness, MessageNumber, Timing};
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{Heartbeat, HeartbeatAnswer, Order, Redirect, TaskStatus};
use quartzgate_wire::{from_cbor, to_cbor};

use super::machine::{Machine, MachineState};
use crate::controller::Controller;
use crate::ids::{epoch_of, parse_task, MachineIndex};
use crate::membership::Role;
use crate::RequestId;

/// Longest name of a machine, type, zone or task that a heartbeat may hold, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Interruption notices above this, in seconds, are refused.
const MAX_INTERRUPTION_NOTICE_S: f64 = 1e9;
/// A worker is redirected to its own zone only within this many heartbeat intervals after its
/// last answer, while enough of its lease is left to find the other controller.
const REDIRECT_WITHIN_INTERVALS: u64 = 3;

impl Controller {
    /// A worker's heartbeat: `POST /checkin`, direct or relayed by another controller.
    pub(crate) fn on_heartbeat(&mut self, id: RequestId, body: Vec<u8>, relayed_by: Option<usize>) {
        let heartbeat: Heartbeat = match from_cbor(&body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return self.answer_error(id, 400, &error.to_string()),
        };
        if !is_plausible(&heartbeat) {
            return self.answer_error(id, 400, "senseless report");
        }
        if epoch_of(heartbeat.fencing_token) > self.epoch() && self.leads() {
            self.step_down_for_later_epoch(&heartbeat);
        }
        if self.leadership_unverified() || self.must_read_jobs_first(&heartbeat) {
            return self.hold_heartbeat(id, body, relayed_by);
        }
        if !self.may_command_workers() {
            return self.on_heartbeat_as_follower(id, heartbeat, body, relayed_by);
        }
        if let Some(node) = self.controller_in_zone_of(&heartbeat).filter(|_| relayed_by.is_none())
        {
            let body = to_cbor(&Redirect { leader: Some(node) });
            return self.answer(id, Response::new(421, body));
        }
        self.on_heartbeat_as_leader(id, heartbeat, relayed_by);
    }

    /// A controller that doesn't lead forwards a heartbeat, or serves it as a lease proxy, or
    /// redirects the worker.
    fn on_heartbeat_as_follower(
        &mut self,
        id: RequestId,
        heartbeat: Heartbeat,
        body: Vec<u8>,
        relayed_by: Option<usize>,
    ) {
        if relayed_by.is_some() {
            return self.redirect(id);
        }
        if self.should_relay(&heartbeat) && self.relay_heartbeat(id, &heartbeat, body) {
            return;
        }
        if self.serve_by_proxy(id, &heartbeat) {
            return;
        }
        self.redirect(id)
    }

    /// The leader applies a new heartbeat and renews the worker's lease with its answer.
    fn on_heartbeat_as_leader(
        &mut self,
        id: RequestId,
        heartbeat: Heartbeat,
        relayed_by: Option<usize>,
    ) {
        let index = self.machine(&heartbeat.machine);
        let Some(machine) = self.machines.get_mut(index) else { return };
        match machine.duplicates.record_heartbeat(message_number(&heartbeat)) {
            Freshness::New => {}
            // Sent before the newest known one, and so was the lease that the answer renews.
            Freshness::Superseded => {
                machine.record_superseded_answered();
                let fencing_token = machine.fencing_token;
                return self.answer_heartbeat(id, fencing_token, Vec::new());
            }
            // Nobody waits for an answer, and none that is given here may renew a lease.
            Freshness::Duplicate => {
                self.duplicates_dropped += 1;
                return self.answer(id, Response::new(421, to_cbor(&Redirect { leader: None })));
            }
        }
        self.apply_heartbeat(index, heartbeat);
        let now_ms = self.context.now.steady_ms;
        let orders = self.reconciling_orders(index);
        let Some(machine) = self.machines.get_mut(index) else { return };
        machine.record_heartbeat_answered(now_ms, relayed_by);
        let fencing_token = machine.fencing_token;
        self.answer_heartbeat(id, fencing_token, orders);
    }

    fn answer_heartbeat(&mut self, id: RequestId, fencing_token: u64, orders: Vec<Order>) {
        let body = to_cbor(&HeartbeatAnswer { fencing_token, orders });
        self.answer(id, Response::new(200, body));
    }

    /// A leader in recovery answers for a machine once it has read every job that runs there: a
    /// job that it has not read may have been aborted long before its election.
    fn must_read_jobs_first(&self, heartbeat: &Heartbeat) -> bool {
        let unread =
            |job: &str| self.jobs.find(job).is_none() && self.terminal_jobs.get(job).is_none();
        let mut running = heartbeat.tasks.iter().filter(|task| task.status != TaskStatus::Exited);
        self.membership.role() == Role::Recovering
            && running.any(|task| parse_task(&task.task).is_some_and(|(job, _)| unread(job)))
    }

    /// A controller in the worker's own zone, if there is one and this isn't: in a partition
    /// between the zones it can renew the worker's lease. Only workers whose lease is fresh are
    /// sent there.
    fn controller_in_zone_of(&self, heartbeat: &Heartbeat) -> Option<String> {
        let platform = &self.context.config.platform;
        if heartbeat.zone == platform.zone {
            return None;
        }
        let machine = self.machines.get(self.machines.find(&heartbeat.machine)?)?;
        let fresh_for_ms = REDIRECT_WITHIN_INTERVALS * self.context.config.heartbeat_interval_ms();
        let lease_fresh = machine.last_answered_ms? + fresh_for_ms > self.context.now.steady_ms;
        if machine.state != MachineState::Ready || !lease_fresh {
            return None;
        }
        let candidates: Vec<&str> = platform
            .siblings
            .iter()
            .enumerate()
            .filter(|(at, sibling)| sibling.zone == heartbeat.zone && self.peer_can_serve(*at))
            .map(|(_, sibling)| sibling.node.as_str())
            .collect();
        let hash = hash_of(&machine.name);
        (!candidates.is_empty()).then(|| candidates[hash % candidates.len()].to_string())
    }

    /// Applies what a machine answered to a call, or what a lease proxy received of it, unless
    /// something newer is known.
    pub(crate) fn observe_heartbeat(&mut self, index: MachineIndex, heartbeat: Heartbeat) {
        let is_new = self.machines.get_mut(index).is_some_and(|machine| {
            epoch_of(heartbeat.fencing_token) > epoch_of(machine.fencing_token)
                || machine.duplicates.record_status(message_number(&heartbeat))
        });
        if is_new {
            self.apply_heartbeat(index, heartbeat);
        }
    }

    /// A machine has answered a call: it is alive now, and commands reach it.
    pub(crate) fn observe_reply(&mut self, index: MachineIndex, heartbeat: Heartbeat) {
        let now_ms = self.context.now.steady_ms;
        if let Some(machine) = self.machines.get_mut(index) {
            machine.record_command_answered(now_ms);
        }
        self.observe_heartbeat(index, heartbeat);
    }

    /// The times by which reachability is judged.
    pub(super) fn reachability_timing(&self) -> Timing {
        Timing {
            heartbeat_interval_ms: self.context.config.heartbeat_interval_ms(),
            lease_ms: self.context.config.lease_ms(),
        }
    }

    /// Applies a heartbeat that is newer than all that is known of the machine.
    fn apply_heartbeat(&mut self, index: MachineIndex, heartbeat: Heartbeat) {
        // By whatever route it came, such a heartbeat proves that another controller leads. Its
        // token must never become ours: commands that carry it would be obeyed.
        if epoch_of(heartbeat.fencing_token) > self.epoch() {
            return self.step_down_for_later_epoch(&heartbeat);
        }
        let now_ms = self.context.now.steady_ms;
        let (zone, timing) = (self.zone_index(&heartbeat.zone), self.reachability_timing());
        let Some(machine) = self.machines.get_mut(index) else { return };
        machine.last_heard_ms = now_ms;
        let new_agent_epoch = heartbeat.agent_epoch > machine.agent_epoch;
        log_lost_tasks(machine, new_agent_epoch);
        let was_unreachable = machine.reachability.is_one_way_unreachable();
        machine.reachability.on_heartbeat(now_ms, new_agent_epoch, &timing);
        if heartbeat.fencing_token >= machine.fencing_token {
            machine.reachability.on_current_fencing_token();
        }
        machine.agent_epoch = heartbeat.agent_epoch;
        machine.acknowledged_token = heartbeat.fencing_token;
        machine.addr = heartbeat.addr.parse().ok();
        machine.kind = heartbeat.kind;
        machine.zone = zone;
        machine.spot = heartbeat.spot;
        self.update_interruption_notice(index, heartbeat.interruption_notice_s);
        let Some(machine) = self.machines.get_mut(index) else { return };
        machine.fencing_token = machine.fencing_token.max(machine.acknowledged_token);
        machine.reported_tasks = heartbeat.tasks;
        machine.new_agent_epoch = new_agent_epoch;
        self.on_reachability_changed(index, was_unreachable);
        self.reconcile_machine(index);
    }

    fn step_down_for_later_epoch(&mut self, heartbeat: &Heartbeat) {
        tracing::info!(
            machine = %heartbeat.machine,
            "stepping down: a worker has acknowledged a later epoch"
        );
        self.step_down();
    }

    /// Notes that the cloud will interrupt a spot machine in so many seconds, or no longer will.
    fn update_interruption_notice(&mut self, index: MachineIndex, notice_s: Option<f64>) {
        let now_ms = self.context.now.steady_ms;
        let Some(machine) = self.machines.get_mut(index) else { return };
        if let Some(notice_s) = notice_s {
            if machine.interruption_at_ms.is_none() {
                tracing::info!(machine = %machine.name, in_s = notice_s, "spot interruption notice");
                self.drain_due = true;
            }
            machine.interruption_at_ms = Some(now_ms + (notice_s.max(0.0) * 1000.0) as u64);
        } else if machine.interruption_at_ms.take().is_some() {
            self.machines_to_dispatch.insert(index);
        }
    }

    /// Follows up on a change of a machine's reachability, if there was one.
    pub(super) fn on_reachability_changed(&mut self, index: MachineIndex, was_unreachable: bool) {
        let Some(machine) = self.machines.get(index) else { return };
        if machine.reachability.is_one_way_unreachable() == was_unreachable {
            return;
        }
        self.supply_changed = true;
        if was_unreachable {
            tracing::info!(machine = %machine.name, "machine reachable again");
            self.machines_to_dispatch.insert(index);
        } else {
            tracing::info!(
                machine = %machine.name,
                "machine one-way unreachable: its heartbeats arrive, commands to it don't"
            );
            self.requeue_probes(index);
        }
    }

    /// The index of a zone in the platform's settings.
    pub(super) fn zone_index(&self, zone: &str) -> Option<u16> {
        let zones = &self.context.config.platform.params.zones;
        zones.iter().position(|name| name == zone).map(|at| at as u16)
    }
}

/// The place of a heartbeat among its worker's messages.
fn message_number(heartbeat: &Heartbeat) -> MessageNumber {
    MessageNumber { agent_epoch: heartbeat.agent_epoch, sequence: heartbeat.seq }
}

/// Spreads workers over the controllers of their zone, always in the same way.
fn hash_of(name: &str) -> usize {
    name.bytes().fold(0usize, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte.into()))
}

/// A new agent epoch on a machine that held tasks means that its lease expired.
fn log_lost_tasks(machine: &Machine, new_agent_epoch: bool) {
    let lost = machine.tasks.len() + machine.unproven.len();
    if new_agent_epoch && machine.agent_epoch > 0 && lost > 0 {
        tracing::info!(machine = %machine.name, lost, "worker lease expired: new agent epoch");
    }
}

/// Whether a worker could have sent this heartbeat; others are refused before they change
/// anything.
pub(crate) fn is_plausible(heartbeat: &Heartbeat) -> bool {
    let valid_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    valid_name(&heartbeat.machine)
        && heartbeat.addr.parse::<SocketAddr>().is_ok()
        && valid_name(&heartbeat.kind)
        && valid_name(&heartbeat.zone)
        && heartbeat.agent_epoch > 0
        && heartbeat
            .interruption_notice_s
            .is_none_or(|notice_s| (0.0..MAX_INTERRUPTION_NOTICE_S).contains(&notice_s))
        && heartbeat.tasks.iter().all(|task| valid_name(&task.task))
}
