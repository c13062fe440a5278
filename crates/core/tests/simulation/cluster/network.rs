//! The network between controllers, workers, state service and cloud, with its delays, losses and
//! partitions.

use super::clock::SimulationEvent;
use super::workers::machine_of_addr;
use super::Cluster;
use quartzgate_core::{Call, CallId, Event, Outcome, Peer};
use quartzgate_wire::http::{Request, Response};
use rand::Rng;

/// One end of a network link that can be partitioned.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Endpoint {
    Controller(usize),
    StateService,
    Cloud,
    Worker(String),
}

/// How a faulty link treats messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Messages are lost.
    Drop,
    /// Requests are held and delivered when the link is healed; answers are lost.
    Hold,
}

/// A link and its fault, which affects both directions.
pub(super) struct FaultyLink {
    from: Endpoint,
    to: Endpoint,
    fault: LinkFault,
}

/// A controller's call that is delivered later.
pub(super) struct HeldCall {
    pub from: usize,
    pub incarnation: u32,
    pub call: Call,
}

/// The recipient of a controller's answer. `Discard` drops the answer, as for duplicate heartbeats.
pub(super) enum Requester {
    Discard,
    User(u64),
    Worker { machine: String, sent_ms: u64 },
    Controller { node: usize, incarnation: u32, call: CallId },
}

impl Cluster {
    /// Draws the network delay of one message.
    pub(super) fn random_delay_ms(&mut self) -> u64 {
        self.rng.random_range(1..=self.max_delay_ms)
    }

    /// Injects a fault into the link between two endpoints, in both directions.
    pub fn cut_link(&mut self, from: Endpoint, to: Endpoint, fault: LinkFault) {
        self.link_faults.push(FaultyLink { from, to, fault });
    }

    /// Partitions two controllers.
    pub fn cut_controllers(&mut self, a: usize, b: usize, fault: LinkFault) {
        self.cut_link(Endpoint::Controller(a), Endpoint::Controller(b), fault);
    }

    /// Partitions a controller from the state service.
    pub fn cut_controller_from_state_service(&mut self, node: usize, fault: LinkFault) {
        self.cut_link(Endpoint::Controller(node), Endpoint::StateService, fault);
    }

    /// Partitions a controller from a machine.
    pub fn cut_controller_from_worker(&mut self, node: usize, machine: String, fault: LinkFault) {
        self.cut_link(Endpoint::Controller(node), Endpoint::Worker(machine), fault);
    }

    /// Heals all links and delivers the held calls.
    pub fn heal_links(&mut self) {
        self.link_faults.clear();
        for held in std::mem::take(&mut self.held_calls) {
            self.deliver_held_call(held);
        }
    }

    /// Heals one link and delivers the held calls whose links have no fault any more.
    pub fn heal_link(&mut self, from: &Endpoint, to: &Endpoint) {
        if let Some(at) =
            self.link_faults.iter().position(|link| (&link.from, &link.to) == (from, to))
        {
            self.link_faults.remove(at);
        }
        for held in std::mem::take(&mut self.held_calls) {
            let is_healed = self
                .target(held.from, &held.call)
                .is_some_and(|to| self.link_fault(&Endpoint::Controller(held.from), &to).is_none());
            match is_healed {
                true => self.deliver_held_call(held),
                false => self.held_calls.push(held),
            }
        }
    }

    fn deliver_held_call(&mut self, held: HeldCall) {
        let HeldCall { from, incarnation, call } = held;
        let delay_ms = self.random_delay_ms();
        self.schedule_after(delay_ms, SimulationEvent::Call { from, incarnation, call });
    }

    /// Returns the number of held calls.
    pub fn held_call_count(&self) -> usize {
        self.held_calls.len()
    }

    pub(super) fn link_fault(&self, a: &Endpoint, b: &Endpoint) -> Option<LinkFault> {
        if let (Endpoint::Worker(_), Endpoint::Controller(node))
        | (Endpoint::Controller(node), Endpoint::Worker(_)) = (a, b)
        {
            if self.cut_from_all_workers.contains(node) {
                return Some(LinkFault::Drop);
            }
        }
        let connects = |link: &&FaultyLink| {
            (&link.from, &link.to) == (a, b) || (&link.to, &link.from) == (a, b)
        };
        self.link_faults.iter().find(connects).map(|link| link.fault)
    }

    fn target(&self, from: usize, call: &Call) -> Option<Endpoint> {
        Some(match &call.peer {
            Peer::State => Endpoint::StateService,
            Peer::Cloud => Endpoint::Cloud,
            // A controller's sibling indices skip the controller itself.
            Peer::Sibling(at) => Endpoint::Controller(if *at >= from { at + 1 } else { *at }),
            Peer::Worker(addr) => Endpoint::Worker(machine_of_addr(addr)),
        })
    }

    /// Sends a controller's call and schedules its timeout.
    pub(super) fn send(&mut self, from: usize, incarnation: u32, call: Call) {
        let id = call.id;
        self.nodes[from].as_mut().unwrap().open_calls.insert(id);
        let outcome = Outcome::Lost;
        let timeout = SimulationEvent::Outcome { node: from, incarnation, call: id, outcome };
        self.schedule_after(call.timeout_ms, timeout);
        let Some(to) = self.target(from, &call) else { return };
        self.record_starts_sent(from, &call);
        match self.link_fault(&Endpoint::Controller(from), &to) {
            Some(LinkFault::Drop) => return,
            Some(LinkFault::Hold) => {
                self.held_calls.push(HeldCall { from, incarnation, call });
                return;
            }
            None => {}
        }
        if self.rng.random_bool(self.message_loss) {
            return;
        }
        self.duplicate_command(from, incarnation, &call);
        self.capture_starts(from, incarnation, &call);
        let delay_ms = self.random_delay_ms() + self.state_latency_ms(&to);
        self.schedule_after(delay_ms, SimulationEvent::Call { from, incarnation, call });
    }

    /// Draws the injected latency of the state service; 0 for any other peer.
    fn state_latency_ms(&mut self, peer: &Endpoint) -> u64 {
        match (peer, self.state.extra_latency_ms) {
            (Endpoint::StateService, ms @ 1..) => self.rng.random_range(0..ms),
            _ => 0,
        }
    }

    /// Sends a peer's answer to a controller's call.
    pub(super) fn send_answer(
        &mut self,
        node: usize,
        incarnation: u32,
        call: CallId,
        response: Response,
        from: &Endpoint,
    ) {
        if self.link_fault(&Endpoint::Controller(node), from).is_some()
            || self.rng.random_bool(self.message_loss)
        {
            return;
        }
        let delay_ms = self.random_delay_ms() + self.state_latency_ms(from);
        let outcome = Outcome::Answer(response);
        let event = SimulationEvent::Outcome { node, incarnation, call, outcome };
        self.schedule_after(delay_ms, event);
    }

    /// Delivers a controller's call to the called peer.
    pub(super) fn deliver_call(&mut self, arrived: HeldCall) {
        let HeldCall { from, incarnation, call } = arrived;
        let Some(to) = self.target(from, &call) else { return };
        match &to {
            Endpoint::StateService => self.on_state_call(from, incarnation, call),
            Endpoint::Cloud => {
                let response = self.on_cloud_call(&call);
                let provisions = call.method == "POST" && call.target == "/machines";
                if provisions && response.status == 200 && self.lost_provision_answers > 0 {
                    self.lost_provision_answers -= 1;
                    return;
                }
                self.send_answer(from, incarnation, call.id, response, &to);
            }
            Endpoint::Controller(node) => self.deliver_mesh_request(*node, from, incarnation, call),
            Endpoint::Worker(name) => {
                let name = name.clone();
                self.on_worker_call(&name, HeldCall { from, incarnation, call })
            }
        }
    }

    fn deliver_mesh_request(&mut self, node: usize, from: usize, incarnation: u32, call: Call) {
        if !self.is_up(node) {
            return;
        }
        let requester = Requester::Controller { node: from, incarnation, call: call.id };
        let id = self.register_request(node, requester);
        let request = Request {
            method: call.method.into(),
            target: call.target,
            body: call.body,
            close: false,
        };
        if self.is_shed(node, &request) {
            return self.shed_request(node, id);
        }
        self.handle_event(node, Event::Mesh { id, request });
    }

    /// Stores the recipient of a controller's answer and returns the request's id.
    pub(super) fn register_request(&mut self, node: usize, requester: Requester) -> u64 {
        let id = self.next_request;
        self.next_request += 1;
        let incarnation = self.nodes[node].as_ref().unwrap().incarnation;
        self.pending_requests.insert((node, incarnation, id), requester);
        id
    }

    /// Forwards a controller's answer to the requester.
    pub(super) fn on_controller_answer(
        &mut self,
        node: usize,
        incarnation: u32,
        id: u64,
        response: Response,
    ) {
        match self.pending_requests.remove(&(node, incarnation, id)) {
            Some(Requester::User(request_index)) => {
                self.on_user_answer(request_index as usize, response)
            }
            Some(Requester::Worker { machine, sent_ms }) => {
                let worker = Endpoint::Worker(machine.clone());
                if self.link_fault(&worker, &Endpoint::Controller(node)).is_some() {
                    return;
                }
                let delay_ms = self.random_delay_ms();
                let Response { status, body, .. } = response;
                let event = SimulationEvent::HeartbeatAnswer { machine, sent_ms, status, body };
                self.schedule_after(delay_ms, event);
            }
            Some(Requester::Controller { node: requester, incarnation, call }) => {
                let (a, b) = (Endpoint::Controller(requester), Endpoint::Controller(node));
                if self.link_fault(&a, &b).is_some() {
                    return;
                }
                let delay_ms = self.random_delay_ms();
                let outcome = Outcome::Answer(response);
                let event =
                    SimulationEvent::Outcome { node: requester, incarnation, call, outcome };
                self.schedule_after(delay_ms, event);
            }
            Some(Requester::Discard) | None => {}
        }
    }
}
