//! Admission of workers' heartbeats, and the updates of machines from them.
//!
//! The leader answers a heartbeat with the machine's fencing token, which renews the worker's
//! lease. Any other controller relays the heartbeat to the leader, serves it as a lease proxy or
//! redirects the worker. Invariant: the answer to a duplicate or late heartbeat never extends a
//! lease, and the leader never adopts a fencing token of a later epoch but steps down instead.

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

/// Maximum length of the name of a machine, type, zone or task in a heartbeat, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Heartbeats with an interruption notice of this many seconds or more are refused.
const MAX_INTERRUPTION_NOTICE_S: f64 = 1e9;
/// A worker is redirected to a controller in its own zone only within this many heartbeat
/// intervals after the last answer to it, while enough of its lease is left to find that
/// controller.
const REDIRECT_WITHIN_INTERVALS: u64 = 3;

impl Controller {
    /// Handles a worker's heartbeat (`POST /checkin`), received directly or relayed by another
    /// controller.
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
            let body = to_cbor(&Redirect { controller: Some(node) });
            return self.answer(id, Response::new(421, body));
        }
        self.on_heartbeat_as_leader(id, heartbeat, relayed_by);
    }

    /// Handles a heartbeat on a controller that doesn't lead: relays it, serves it as a lease proxy
    /// or redirects the worker.
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
        if self.serve_as_lease_proxy(id, &heartbeat) {
            return;
        }
        self.redirect(id)
    }

    /// Handles a heartbeat on the leader: applies a new one and renews the worker's lease with the
    /// answer.
    fn on_heartbeat_as_leader(
        &mut self,
        id: RequestId,
        heartbeat: Heartbeat,
        relayed_by: Option<usize>,
    ) {
        let index = self.find_or_add_machine(&heartbeat.machine);
        let Some(machine) = self.machines.get_mut(index) else { return };
        match machine.duplicates.record_heartbeat(message_number(&heartbeat)) {
            Freshness::New => {}
            // The heartbeat was sent before the newest known message, so the answer extends the
            // lease no further than an answer to that message would.
            Freshness::Superseded => {
                machine.record_superseded_answered();
                let fencing_token = machine.fencing_token;
                return self.answer_heartbeat(id, fencing_token, Vec::new());
            }
            // The worker no longer waits for an answer, and an answer must not renew its lease.
            Freshness::Duplicate => {
                self.duplicates_dropped += 1;
                return self
                    .answer(id, Response::new(421, to_cbor(&Redirect { controller: None })));
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

    /// Returns whether a leader in recovery still has to read a job that runs on the machine before
    /// it may answer the heartbeat. A job that the leader has not read may have been aborted long
    /// before its election.
    fn must_read_jobs_first(&self, heartbeat: &Heartbeat) -> bool {
        let unread =
            |job: &str| self.jobs.find(job).is_none() && self.terminal_jobs.get(job).is_none();
        let mut running = heartbeat.tasks.iter().filter(|task| task.status != TaskStatus::Exited);
        self.membership.role() == Role::Recovering
            && running.any(|task| parse_task(&task.task).is_some_and(|(job, _)| unread(job)))
    }

    /// Returns a controller in the worker's zone to which the worker should be redirected; `None`
    /// if this controller is in that zone or if no controller there can serve. During a partition
    /// between the zones, that controller can renew the worker's lease. Only workers whose lease
    /// was renewed recently are redirected.
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
            .filter(|(index, sibling)| {
                sibling.zone == heartbeat.zone && self.peer_can_serve(*index)
            })
            .map(|(_, sibling)| sibling.node.as_str())
            .collect();
        let hash = hash_machine_name(&machine.name);
        (!candidates.is_empty()).then(|| candidates[hash % candidates.len()].to_string())
    }

    /// Applies a machine's status from its answer to a call, or from a heartbeat that a lease proxy
    /// received, unless a newer message of the machine is known.
    pub(crate) fn apply_heartbeat_status_if_newer(
        &mut self,
        index: MachineIndex,
        heartbeat: Heartbeat,
    ) {
        let is_new = self.machines.get_mut(index).is_some_and(|machine| {
            epoch_of(heartbeat.fencing_token) > epoch_of(machine.fencing_token)
                || machine.duplicates.record_status(message_number(&heartbeat))
        });
        if is_new {
            self.apply_heartbeat(index, heartbeat);
        }
    }

    /// Handles the status with which a machine has answered a call. The answer proves that the
    /// machine is alive now and that commands reach it.
    pub(crate) fn on_worker_status_answer(&mut self, index: MachineIndex, heartbeat: Heartbeat) {
        let now_ms = self.context.now.steady_ms;
        if let Some(machine) = self.machines.get_mut(index) {
            machine.record_command_answered(now_ms);
        }
        self.apply_heartbeat_status_if_newer(index, heartbeat);
    }

    /// Returns the durations from which the rules for reachability are derived.
    pub(super) fn reachability_timing(&self) -> Timing {
        Timing {
            heartbeat_interval_ms: self.context.config.heartbeat_interval_ms(),
            lease_ms: self.context.config.lease_ms(),
        }
    }

    /// Applies a heartbeat that is newer than every earlier message of the machine.
    fn apply_heartbeat(&mut self, index: MachineIndex, heartbeat: Heartbeat) {
        // Regardless of its route, a heartbeat with a token of a later epoch proves that another
        // controller has become leader. This leader must never adopt that token, because workers
        // would execute commands that carry it.
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
        if heartbeat.fencing_token >= machine.required_token {
            machine.reachability.on_current_fencing_token();
        }
        machine.agent_epoch = heartbeat.agent_epoch;
        machine.acknowledged_token = heartbeat.fencing_token;
        machine.addr = heartbeat.addr.parse().ok();
        machine.kind = heartbeat.machine_type;
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

    /// Records that the cloud will interrupt a spot machine in `notice_s` seconds, or that the
    /// notice has been withdrawn (`None`).
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

    /// Handles a change of whether a machine is one-way unreachable; does nothing if it is
    /// unchanged.
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
            self.clear_probe_queue(index);
        }
    }

    /// Returns the index of a zone in the platform's settings.
    pub(super) fn zone_index(&self, zone: &str) -> Option<u16> {
        let zones = &self.context.config.platform.params.zones;
        zones.iter().position(|name| name == zone).map(|index| index as u16)
    }
}

/// Returns the position of a heartbeat among all messages of its worker.
fn message_number(heartbeat: &Heartbeat) -> MessageNumber {
    MessageNumber { agent_epoch: heartbeat.agent_epoch, sequence: heartbeat.seq }
}

/// Hashes a machine's name, to distribute workers deterministically over the controllers of their
/// zone.
fn hash_machine_name(name: &str) -> usize {
    name.bytes().fold(0usize, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte.into()))
}

/// Logs the number of tasks that a machine lost when it began a new agent epoch, which means that
/// its lease had expired or its agent had restarted.
fn log_lost_tasks(machine: &Machine, new_agent_epoch: bool) {
    let lost = machine.tasks.len() + machine.unproven.len();
    if new_agent_epoch && machine.agent_epoch > 0 && lost > 0 {
        tracing::info!(machine = %machine.name, lost, "worker lease expired: new agent epoch");
    }
}

/// Returns whether a worker could have sent this heartbeat. An implausible heartbeat is refused
/// before it changes any state.
pub(crate) fn is_plausible(heartbeat: &Heartbeat) -> bool {
    let valid_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    valid_name(&heartbeat.machine)
        && heartbeat.addr.parse::<SocketAddr>().is_ok()
        && valid_name(&heartbeat.machine_type)
        && valid_name(&heartbeat.zone)
        && heartbeat.agent_epoch > 0
        && heartbeat
            .interruption_notice_s
            .is_none_or(|notice_s| (0.0..MAX_INTERRUPTION_NOTICE_S).contains(&notice_s))
        && heartbeat.tasks.iter().all(|task| valid_name(&task.task))
}
