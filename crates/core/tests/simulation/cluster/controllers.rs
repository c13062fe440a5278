//! The controllers: how they start, crash and stall, and what they are asked directly.

use std::collections::{BTreeMap, HashSet};

use super::clock::SimulationEvent;
use super::{platform, Cluster};
use quartzgate_core::config::{Config, Operator};
use quartzgate_core::records::{LeaderRecord, EPOCH_KEY, FORMAT_KEY, LEADER_KEY};
use quartzgate_core::{Action, CallId, Controller, Event, Now, Outcome};
use quartzgate_feature_gates::{ActivationRecord, GateTable, GATES};
use quartzgate_wire::http::{Request, Response};
use quartzgate_wire::msg::{Heartbeat, OrdersRequest};
use quartzgate_wire::{from_cbor, to_cbor};
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// Number of a request that a test makes itself, past the network.
const DIRECT_REQUEST: u64 = u64::MAX;
/// Interval of a controller's timer.
const TICK_MS: u64 = 25;
/// Wall-clock time at which the simulation begins.
const WALL_CLOCK_OFFSET_MS: u64 = 1_000_000;

/// A running controller.
pub(super) struct ControllerProcess {
    core: Controller,
    pub incarnation: u32,
    pub open_calls: HashSet<CallId>,
    /// It stalls until then; what arrives meanwhile is buffered.
    stalled_until_ms: u64,
    buffered_events: Vec<Event>,
    /// It stalls for so long within its next round.
    stall_next_round_ms: Option<u64>,
    /// What the round in which it stalls had decided and not done yet.
    deferred_actions: Vec<Action>,
}

impl Cluster {
    /// Starts a controller with its settings as they are now.
    pub fn start_controller(&mut self, node: usize) {
        let config = self.config_of(node);
        self.started_at_revision[node] = self.state.revision;
        self.incarnations[node] += 1;
        let incarnation = self.incarnations[node];
        let seed = self.seed * 100 + node as u64 * 10 + u64::from(incarnation);
        let core = Controller::new(config, SmallRng::seed_from_u64(seed));
        self.nodes[node] = Some(ControllerProcess {
            core,
            incarnation,
            open_calls: HashSet::new(),
            stalled_until_ms: 0,
            buffered_events: Vec::new(),
            stall_next_round_ms: None,
            deferred_actions: Vec::new(),
        });
        self.schedule_after(1, SimulationEvent::Tick { node, incarnation });
    }

    fn config_of(&self, node: usize) -> Config {
        let count = self.configured_count.get(&node).copied().unwrap_or(self.incarnations.len());
        let mut platform = platform(node, count, self.team_cpu_limit);
        let announced = self.announced_limits.clone();
        platform.params.state.next =
            announced.map(|limits| serde_json::from_value(limits).unwrap());
        platform.params.teams[0].gpus_max = self.team_gpu_limit;
        if let Some(kb) = self.max_value_kb {
            platform.params.state.value_kb = kb;
        }
        platform.check().unwrap();
        let default = Operator::default();
        let operator = Operator {
            new_format: !self.legacy_controllers.contains(&node),
            withhold: self.withheld_features.get(&node).cloned().unwrap_or_default(),
            share_pages_below: if self.batch_small_jobs { 1.0 } else { 0.5 },
            idle_ratio: if self.keep_idle_machines { 1_000.0 } else { default.idle_ratio },
            ..default
        };
        let mut config = Config::new(platform, operator);
        config.table = self.feature_table(node);
        config
    }

    /// The features that a controller's build knows.
    pub(super) fn feature_table(&self, node: usize) -> &'static GateTable {
        self.feature_tables.get(&node).copied().unwrap_or(&GATES)
    }

    /// Ends a controller at once.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node] = None;
    }

    /// Ends a controller at once and starts it again after so long.
    pub fn crash_for_ms(&mut self, node: usize, ms: u64) {
        self.crash(node);
        self.schedule_after(ms, SimulationEvent::ControllerRestart { node });
    }

    /// Ends all controllers at once.
    pub fn crash_all(&mut self) {
        (0..self.controller_count()).for_each(|node| self.crash(node));
    }

    /// Ends all controllers at once and starts them again after so long.
    pub fn crash_all_for_ms(&mut self, ms: u64) {
        (0..self.controller_count()).for_each(|node| self.crash_for_ms(node, ms));
    }

    /// Starts all controllers that are down.
    pub fn start_all(&mut self) {
        for node in 0..self.controller_count() {
            if !self.is_up(node) {
                self.start_controller(node);
            }
        }
    }

    /// Restarts all controllers with their settings as they are now.
    pub fn restart_all_controllers(&mut self) {
        for node in 0..self.controller_count() {
            self.crash(node);
            self.start_controller(node);
        }
    }

    /// Restarts all controllers so that no job shares a record; submissions for which there is no
    /// record of their own are refused.
    pub fn disable_job_batches(&mut self) {
        for node in 0..self.controller_count() {
            self.withheld_features.insert(node, vec!["format-4".into()]);
        }
        self.restart_all_controllers();
    }

    /// Restarts all controllers, with all small jobs in batch records or only while writes are
    /// scarce, and waits until one leads and all features are activated.
    pub fn restart_with_job_batches(&mut self, batch_small_jobs: bool) {
        self.batch_small_jobs = batch_small_jobs;
        self.restart_all_controllers();
        let ready = |cluster: &Cluster| {
            cluster.activated_format().version >= 4 && cluster.leader().is_some()
        };
        self.run_until(20_000, "all features are activated", ready);
    }

    /// Replaces a controller by one of another build, which starts after so long.
    pub fn replace_build(&mut self, node: usize, table: &'static GateTable, ms: u64) {
        self.legacy_controllers.remove(&node);
        self.feature_tables.insert(node, table);
        self.crash_for_ms(node, ms);
    }

    /// Stalls a controller while its clocks run on.
    pub fn stall(&mut self, node: usize, ms: u64) {
        let until_ms = self.now + ms;
        if let Some(process) = self.nodes[node].as_mut() {
            process.stalled_until_ms = until_ms;
            let incarnation = process.incarnation;
            self.schedule_after(ms, SimulationEvent::StallEnds { node, incarnation });
        }
    }

    /// Stalls a controller between the decisions of its next round and their execution.
    pub fn stall_in_round(&mut self, node: usize, ms: u64) {
        if let Some(process) = self.nodes[node].as_mut() {
            process.stall_next_round_ms = Some(ms);
        }
    }

    pub(super) fn on_stall_end(&mut self, node: usize, incarnation: u32) {
        if !self.is_alive(node, incarnation) {
            return;
        }
        let process = self.nodes[node].as_mut().unwrap();
        if self.now < process.stalled_until_ms {
            return;
        }
        let actions = std::mem::take(&mut process.deferred_actions);
        let events = std::mem::take(&mut process.buffered_events);
        self.execute_actions(node, incarnation, actions);
        for event in events {
            self.handle_event(node, event);
        }
    }

    pub fn controller_count(&self) -> usize {
        self.nodes.len()
    }

    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].is_some()
    }

    /// The controller runs, and is still the same process.
    fn is_alive(&self, node: usize, incarnation: u32) -> bool {
        self.nodes[node].as_ref().is_some_and(|process| process.incarnation == incarnation)
    }

    /// Removes an open call; whether it was open.
    pub(super) fn take_open_call(&mut self, node: usize, incarnation: u32, call: CallId) -> bool {
        self.is_alive(node, incarnation)
            && self.nodes[node].as_mut().unwrap().open_calls.remove(&call)
    }

    /// A controller's monotonic clock: up to 0.05% fast or slow where clocks differ.
    fn steady_ms(&self, node: usize) -> u64 {
        let off = self.clock_skew * self.now / 2_000;
        [self.now - off, self.now, self.now + off][node % 3]
    }

    fn clocks_of(&self, node: usize) -> Now {
        let wall_ms = WALL_CLOCK_OFFSET_MS + self.now;
        Now { steady_ms: self.steady_ms(node), wall_ms }
    }

    pub(super) fn on_tick(&mut self, node: usize, incarnation: u32) {
        if self.is_alive(node, incarnation) {
            self.handle_event(node, Event::Tick);
            self.schedule_after(TICK_MS, SimulationEvent::Tick { node, incarnation });
        }
    }

    pub(super) fn handle_event(&mut self, node: usize, event: Event) {
        let now = self.clocks_of(node);
        let Some(process) = self.nodes[node].as_mut() else { return };
        if self.now < process.stalled_until_ms {
            if !matches!(event, Event::Tick) {
                process.buffered_events.push(event);
            }
            return;
        }
        let incarnation = process.incarnation;
        let actions = process.core.handle(now, event);
        let busy = !actions.is_empty();
        if let Some(ms) = process.stall_next_round_ms.take_if(|_| busy) {
            process.deferred_actions = actions;
            return self.stall(node, ms);
        }
        self.execute_actions(node, incarnation, actions);
    }

    fn execute_actions(&mut self, node: usize, incarnation: u32, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer { id, response } => {
                    self.on_controller_answer(node, incarnation, id, response)
                }
                Action::Call(call) => self.send(node, incarnation, call),
            }
        }
    }

    /// The controller that leads, by the record in the state service.
    pub fn leader(&self) -> Option<usize> {
        self.leader_record()?.node.trim_start_matches('n').parse().ok()
    }

    /// The record of who leads.
    pub fn leader_record(&self) -> Option<LeaderRecord> {
        self.state.keys.get(LEADER_KEY)?.value.deserialized().ok()
    }

    /// Revision of the epoch record: it rises with each new leader.
    pub fn epoch_revision(&self) -> u64 {
        self.state.keys.get(EPOCH_KEY).map_or(0, |stored| stored.revision)
    }

    /// What has been activated.
    pub fn activated_format(&self) -> ActivationRecord {
        let stored = self.state.keys.get(FORMAT_KEY);
        stored.map_or(ActivationRecord::initial(), |stored| stored.value.deserialized().unwrap())
    }

    /// A format later than the first is activated.
    pub fn format_is_activated(&self) -> bool {
        self.state.keys.contains_key(FORMAT_KEY)
    }

    /// Runs until another controller than this one leads.
    pub fn run_until_leader_changes(&mut self, within_ms: u64, old: usize) {
        let changed = |cluster: &Cluster| cluster.leader().is_some_and(|leader| leader != old);
        self.run_until(within_ms, "another controller leads", changed);
    }

    /// Runs until all features of the present build are activated.
    pub fn run_until_fully_activated(&mut self) {
        let activated = |cluster: &Cluster| cluster.activated_format().version >= 4;
        self.run_until(20_000, "all features are activated", activated);
    }

    /// Lets a controller run by itself until it inspects a machine, answers with this heartbeat,
    /// and returns the fencing tokens of all orders that the controller then sends.
    pub fn tokens_sent_after_inspection(&mut self, node: usize, heartbeat: &Heartbeat) -> Vec<u64> {
        let mut steady_ms = self.steady_ms(node);
        let core = &mut self.nodes[node].as_mut().unwrap().core;
        let mut step = |event: Event| {
            steady_ms += TICK_MS;
            core.handle(Now { steady_ms, wall_ms: WALL_CLOCK_OFFSET_MS + steady_ms }, event)
        };
        let inspection = (0..200).find_map(|_| {
            step(Event::Tick).into_iter().find_map(|action| match action {
                Action::Call(call) if call.target == "/inspect" => Some(call.id),
                _ => None,
            })
        });
        let call = inspection.expect("it inspects a silent machine");
        let outcome = Outcome::Answer(Response::new(200, to_cbor(heartbeat)));
        let mut actions = step(Event::Outcome { call, outcome });
        (0..40).for_each(|_| actions.extend(step(Event::Tick)));
        let orders = actions.into_iter().filter_map(|action| match action {
            Action::Call(call) if call.target == "/orders" => {
                from_cbor::<OrdersRequest>(&call.body).ok()
            }
            _ => None,
        });
        orders.map(|request| request.fencing_token).collect()
    }

    /// A controller's metrics.
    pub fn metrics_of(&mut self, node: usize) -> BTreeMap<String, f64> {
        let response = self.request_directly(node, "GET", "/metrics", Vec::new());
        let metrics = response.and_then(|response| from_cbor(&response.body).ok());
        metrics.expect("metrics are answered at once")
    }

    /// Sends a request to a controller's mesh address; the status, if it is answered at once.
    pub fn send_mesh_request(&mut self, node: usize, target: &str, body: Vec<u8>) -> Option<u16> {
        let response = self.request_directly(node, "POST", target, body);
        response.map(|response| response.status)
    }

    /// Makes a mesh request past the network; the answer, if it is given at once.
    fn request_directly(
        &mut self,
        node: usize,
        method: &str,
        target: &str,
        body: Vec<u8>,
    ) -> Option<Response> {
        let now = self.clocks_of(node);
        let (method, target) = (method.into(), target.into());
        let request = Request { method, target, body, close: false };
        let process = self.nodes[node].as_mut().unwrap();
        let incarnation = process.incarnation;
        let mut answer = None;
        for action in process.core.handle(now, Event::Mesh { id: DIRECT_REQUEST, request }) {
            match action {
                Action::Answer { id: DIRECT_REQUEST, response } => answer = Some(response),
                other => self.execute_actions(node, incarnation, vec![other]),
            }
        }
        answer
    }

    /// What a controller does at once when the first event after a stall is a worker's heartbeat:
    /// answers by their status, calls by their target.
    pub fn actions_on_heartbeat_after_stall(
        &mut self,
        node: usize,
        stalled_ms: u64,
        machine: &str,
    ) -> Vec<String> {
        let body = to_cbor(&self.heartbeat_of(machine).unwrap());
        let steady_ms = self.steady_ms(node) + stalled_ms;
        let core = &mut self.nodes[node].as_mut().unwrap().core;
        let request =
            Request { method: "POST".into(), target: "/checkin".into(), body, close: false };
        let now = Now { steady_ms, wall_ms: WALL_CLOCK_OFFSET_MS + steady_ms };
        let mut actions = core.handle(now, Event::Client { id: DIRECT_REQUEST, request });
        actions.extend(core.handle(now, Event::Tick));
        let described = actions.into_iter().map(|action| match action {
            Action::Answer { response, .. } => format!("answer {}", response.status),
            Action::Call(call) => call.target,
        });
        described.collect()
    }
}
