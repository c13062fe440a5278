//! The controllers: starting, crashing and stalling them, and requests that a test makes to them
//! directly.

use std::collections::{BTreeMap, HashSet};

use super::clock::SimulationEvent;
use super::invariants::carries_starts;
use super::{platform, Cluster};
use quartzgate_core::config::{Config, Operator};
use quartzgate_core::records::{LeaderRecord, EPOCH_KEY, FORMAT_KEY, LEADER_KEY};
use quartzgate_core::{Action, Call, CallId, Controller, Event, Now, Outcome};
use quartzgate_feature_gates::{ActivationRecord, GateTable, GATES};
use quartzgate_wire::http::{Request, Response};
use quartzgate_wire::msg::{Heartbeat, OrdersRequest};
use quartzgate_wire::{from_cbor, to_cbor};
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// Id of requests that a test makes directly, bypassing the network.
const DIRECT_REQUEST: u64 = u64::MAX;
/// Interval of a controller's timer.
const TICK_MS: u64 = 25;
/// Wall-clock time at simulated time 0.
const WALL_CLOCK_START_MS: u64 = 1_000_000;

/// A running controller.
pub(super) struct ControllerProcess {
    core: Controller,
    pub incarnation: u32,
    pub open_calls: HashSet<CallId>,
    /// End of the current stall; events that arrive before it are buffered, except ticks.
    stalled_until_ms: u64,
    buffered_events: Vec<Event>,
    /// Duration of a stall within the next round that produces actions.
    stall_next_round_ms: Option<u64>,
    /// Actions of the round in which the controller stalled, executed after the stall.
    deferred_actions: Vec<Action>,
    /// When these actions were decided.
    deferred_at_ms: u64,
}

impl Cluster {
    /// Starts a controller with the current settings.
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
            deferred_at_ms: 0,
        });
        self.schedule_after(1, SimulationEvent::Tick { node, incarnation });
    }

    fn config_of(&self, node: usize) -> Config {
        let count =
            self.configured_controller_count.get(&node).copied().unwrap_or(self.incarnations.len());
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
            new_format: !self.first_version_controllers.contains(&node),
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

    /// Ends a controller process immediately.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node] = None;
    }

    /// Ends a controller process immediately and restarts it after `ms`.
    pub fn crash_for_ms(&mut self, node: usize, ms: u64) {
        self.crash(node);
        self.schedule_after(ms, SimulationEvent::ControllerRestart { node });
    }

    /// Ends all controller processes immediately.
    pub fn crash_all(&mut self) {
        (0..self.controller_count()).for_each(|node| self.crash(node));
    }

    /// Ends all controller processes immediately and restarts them after `ms`.
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

    /// Restarts all controllers with the current settings.
    pub fn restart_all_controllers(&mut self) {
        for node in 0..self.controller_count() {
            self.crash(node);
            self.start_controller(node);
        }
    }

    /// Restarts all controllers without the batch record format, so that no jobs share a record;
    /// submissions that could not be given a record of their own are refused.
    pub fn disable_job_batches(&mut self) {
        for node in 0..self.controller_count() {
            self.withheld_features.insert(node, vec!["format-4".into()]);
        }
        self.restart_all_controllers();
    }

    /// Restarts all controllers, storing all small jobs in batch records if `batch_small_jobs` and
    /// otherwise only while the write budget is scarce, and runs until a leader exists and all
    /// features are activated.
    pub fn restart_with_job_batches(&mut self, batch_small_jobs: bool) {
        self.batch_small_jobs = batch_small_jobs;
        self.restart_all_controllers();
        let ready = |cluster: &Cluster| {
            cluster.activated_format().version >= 4 && cluster.leader().is_some()
        };
        self.run_until(20_000, "all features are activated", ready);
    }

    /// Replaces a controller by one of another build, which starts after `ms`.
    pub fn replace_build(&mut self, node: usize, table: &'static GateTable, ms: u64) {
        self.first_version_controllers.remove(&node);
        self.feature_tables.insert(node, table);
        self.crash_for_ms(node, ms);
    }

    /// Stalls a controller process for `ms`; its clocks keep running.
    pub fn stall(&mut self, node: usize, ms: u64) {
        let until_ms = self.now + ms;
        if let Some(process) = self.nodes[node].as_mut() {
            process.stalled_until_ms = until_ms;
            let incarnation = process.incarnation;
            self.schedule_after(ms, SimulationEvent::StallEnds { node, incarnation });
        }
    }

    /// Stalls a controller between deciding the actions of its next round and executing them.
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
        let decided_ms = process.deferred_at_ms;
        let events = std::mem::take(&mut process.buffered_events);
        for action in actions {
            match action {
                Action::Call(call) if self.is_past_send_limit(&call, decided_ms) => {
                    self.end_unsent(node, incarnation, call)
                }
                action => self.execute_actions(node, incarnation, vec![action]),
            }
        }
        for event in events {
            self.handle_event(node, event);
        }
    }

    /// Returns whether a call starts tasks and may not be sent any more. Other calls are sent however
    /// late they are, as if they had left before the stall and been held up.
    fn is_past_send_limit(&self, call: &Call, decided_ms: u64) -> bool {
        carries_starts(call) && self.now >= decided_ms + call.send_within_ms
    }

    /// Ends a call that was not sent in time.
    fn end_unsent(&mut self, node: usize, incarnation: u32, call: Call) {
        self.nodes[node].as_mut().unwrap().open_calls.insert(call.id);
        let (call, outcome) = (call.id, Outcome::NotSent);
        self.schedule_after(0, SimulationEvent::Outcome { node, incarnation, call, outcome });
    }

    pub fn controller_count(&self) -> usize {
        self.nodes.len()
    }

    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].is_some()
    }

    /// Returns whether this incarnation of the controller is still running.
    fn is_alive(&self, node: usize, incarnation: u32) -> bool {
        self.nodes[node].as_ref().is_some_and(|process| process.incarnation == incarnation)
    }

    /// Removes an open call of a running controller; returns whether it was open.
    pub(super) fn take_open_call(&mut self, node: usize, incarnation: u32, call: CallId) -> bool {
        self.is_alive(node, incarnation)
            && self.nodes[node].as_mut().unwrap().open_calls.remove(&call)
    }

    /// Returns a controller's monotonic clock, which runs up to 0.05% fast or slow if the seed
    /// enables clock skew.
    fn steady_ms(&self, node: usize) -> u64 {
        let drift_ms = self.clock_skew * self.now / 2_000;
        [self.now - drift_ms, self.now, self.now + drift_ms][node % 3]
    }

    fn clocks_of(&self, node: usize) -> Now {
        let wall_ms = WALL_CLOCK_START_MS + self.now;
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
            (process.deferred_actions, process.deferred_at_ms) = (actions, self.now);
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

    /// Returns the current leader according to the leader record in the state service.
    pub fn leader(&self) -> Option<usize> {
        self.leader_record()?.node.trim_start_matches('n').parse().ok()
    }

    /// Returns the leader record, if it exists and can be decoded.
    pub fn leader_record(&self) -> Option<LeaderRecord> {
        self.state.keys.get(LEADER_KEY)?.value.deserialized().ok()
    }

    /// Returns the revision of the epoch record, which rises with each new leader; 0 without one.
    pub fn epoch_revision(&self) -> u64 {
        self.state.keys.get(EPOCH_KEY).map_or(0, |stored| stored.revision)
    }

    /// Returns the activated format and features.
    pub fn activated_format(&self) -> ActivationRecord {
        let stored = self.state.keys.get(FORMAT_KEY);
        stored.map_or(ActivationRecord::initial(), |stored| stored.value.deserialized().unwrap())
    }

    /// Returns whether a format later than the first is activated.
    pub fn format_is_activated(&self) -> bool {
        self.state.keys.contains_key(FORMAT_KEY)
    }

    /// Runs until a controller other than `old` leads.
    pub fn run_until_leader_changes(&mut self, within_ms: u64, old: usize) {
        let changed = |cluster: &Cluster| cluster.leader().is_some_and(|leader| leader != old);
        self.run_until(within_ms, "another controller leads", changed);
    }

    /// Runs until all features of the current build are activated.
    pub fn run_until_fully_activated(&mut self) {
        let activated = |cluster: &Cluster| cluster.activated_format().version >= 4;
        self.run_until(20_000, "all features are activated", activated);
    }

    /// Runs a controller in isolation until it inspects a machine, answers the inspection with this
    /// heartbeat, and returns the fencing tokens of all orders that the controller then sends.
    pub fn tokens_sent_after_inspection(&mut self, node: usize, heartbeat: &Heartbeat) -> Vec<u64> {
        let mut steady_ms = self.steady_ms(node);
        let core = &mut self.nodes[node].as_mut().unwrap().core;
        let mut step = |event: Event| {
            steady_ms += TICK_MS;
            core.handle(Now { steady_ms, wall_ms: WALL_CLOCK_START_MS + steady_ms }, event)
        };
        let inspection = (0..200).find_map(|_| {
            step(Event::Tick).into_iter().find_map(|action| match action {
                Action::Call(call) if call.target == "/inspect" => Some(call.id),
                _ => None,
            })
        });
        let call = inspection.expect("the controller inspects a machine that sends no heartbeats");
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

    /// Returns a controller's metrics by name.
    pub fn metrics_of(&mut self, node: usize) -> BTreeMap<String, f64> {
        let response = self.request_directly(node, "GET", "/metrics", Vec::new());
        let metrics = response.and_then(|response| from_cbor(&response.body).ok());
        metrics.expect("metrics are answered immediately")
    }

    /// Sends a request to a controller's mesh address; returns the status code if the request is
    /// answered immediately.
    pub fn send_mesh_request(&mut self, node: usize, target: &str, body: Vec<u8>) -> Option<u16> {
        let response = self.request_directly(node, "POST", target, body);
        response.map(|response| response.status)
    }

    /// Makes a mesh request that bypasses the network; returns the answer if the controller gives
    /// it immediately.
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

    /// Returns a controller's immediate actions when the first event after a stall is a worker's
    /// heartbeat: an answer is described by its status code, a call by its target.
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
        let now = Now { steady_ms, wall_ms: WALL_CLOCK_START_MS + steady_ms };
        let mut actions = core.handle(now, Event::Client { id: DIRECT_REQUEST, request });
        actions.extend(core.handle(now, Event::Tick));
        let described = actions.into_iter().map(|action| match action {
            Action::Answer { response, .. } => format!("answer {}", response.status),
            Action::Call(call) => call.target,
        });
        described.collect()
    }
}
