//! Controllers, a key-value store, a cloud and workers on one simulated clock. The only random
//! numbers are those of the controllers' own seeded generators, and every message that a controller
//! sends is recorded.

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_core::config::Config;
use quartzgate_core::{Action, Call, Controller, Event, LoadState, Now, Outcome, Peer};
use quartzgate_wire::from_cbor;
use quartzgate_wire::http::{Request, Response};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde_json::json;

use crate::cbor::{encode, field, integer, items, raw, text, Value};
use crate::journal::{Channel, Journal};
use crate::store::Store;
use crate::worker::{TaskRun, Worker};

const TICK_MS: u64 = 25;
const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
/// Wall-clock time at simulated time 0.
const WALL_CLOCK_START_MS: u64 = 1_800_000_000_000;

/// One end of a link that can be cut.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    Node(usize),
    Worker(String),
}

/// The recipient of a controller's answer.
enum Requester {
    User(usize),
    Worker { name: String, sent_ms: u64 },
    Controller(Caller),
}

/// The controller process that made a call, and the call's id.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    node: usize,
    incarnation: u32,
    call: u64,
}

enum ScheduledEvent {
    Tick { node: usize, incarnation: u32 },
    CallArrives { caller: Caller, call: Call },
    CallEnds { caller: Caller, outcome: Outcome },
    HeartbeatDue { worker: String },
    MachineUp { number: u32, machine_type: String, zone: String, spot: bool },
}

struct Node {
    controller: Option<Controller>,
    incarnation: u32,
    settings: serde_json::Value,
    operator: serde_json::Value,
}

/// A request to a controller that has not been answered yet.
struct PendingRequest {
    /// Sender, recipient, method and target, as the journal shows them.
    text: String,
    body: Vec<u8>,
    requester: Requester,
}

pub struct Cluster {
    pub now_ms: u64,
    nodes: Vec<Node>,
    pub store: Store<Caller>,
    pub workers: BTreeMap<String, Worker>,
    next_machine: u32,
    /// The cloud rejects provisioning requests for lack of capacity.
    pub no_capacity: bool,
    /// Maximum number of machines in one list answer of the cloud.
    pub max_list_entries: usize,
    /// Run time and exit cause of tasks, by job.
    pub task_runs: BTreeMap<String, TaskRun>,
    event_queue: BTreeMap<(u64, u64), ScheduledEvent>,
    last_sequence: u64,
    cut_links: BTreeSet<(Endpoint, Endpoint)>,
    pending_requests: BTreeMap<(usize, u64), PendingRequest>,
    next_request: u64,
    answers: Vec<Option<Response>>,
    pub journal: Journal,
}

/// Returns a controller's zone: controllers alternate between zones `a` and `b`.
fn zone_of(node: usize) -> &'static str {
    ["a", "b"][node % 2]
}

/// Returns the platform settings of one of `nodes` controllers.
pub fn settings(node: usize, nodes: usize) -> serde_json::Value {
    let siblings: Vec<_> = (0..nodes)
        .filter(|n| *n != node)
        .map(|n| {
            let domain = zone_of(n);
            json!({"node": format!("n{n}"), "domain": domain, "addr": format!("10.0.0.{}:81", n + 1)})
        })
        .collect();
    json!({
        "node": format!("n{node}"), "domain": zone_of(node),
        "client_listen": format!("10.0.0.{}:80", node + 1),
        "mesh_addr": format!("10.0.0.{}:81", node + 1),
        "siblings": siblings,
        "outside": {"cloud": "10.2.0.1:1", "state": "10.2.0.2:1"},
        "facts": {
            "count": nodes, "zones": ["a", "b"],
            "teams": [
                {"name": "research", "cpus": 64.0, "cpus_max": 400.0, "gpus": 0.0, "gpus_max": 16.0},
                {"name": "guests", "cpus_max": 400.0}
            ],
            "objectives": [],
            "workers": {"report_s": 1.0, "lease_s": 8.0, "gang_wait_s": 20.0, "gang_peer_s": 3.0,
                        "cancel_s": 24.0},
            "state": {"rps": 200.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 16},
            "cloud": {"rps": 8.0, "list_lag_s": 2.0},
            "resources": {"cpu_share": 0.1, "mem_mb": 64.0, "max_sockets": 500},
            "clock_off_ms": 100.0
        }
    })
}

impl Cluster {
    /// Creates `nodes` controllers with these operator settings, and `workers` machines,
    /// alternating between zones `a` and `b`. No controller is started yet.
    pub fn new(nodes: usize, workers: u32, operator: serde_json::Value) -> Cluster {
        let node = |n| Node {
            controller: None,
            incarnation: 0,
            settings: settings(n, nodes),
            operator: operator.clone(),
        };
        let mut cluster = Cluster {
            now_ms: 1,
            nodes: (0..nodes).map(node).collect(),
            store: Store::new(),
            workers: BTreeMap::new(),
            next_machine: 0,
            no_capacity: true,
            max_list_entries: 500,
            task_runs: BTreeMap::new(),
            event_queue: BTreeMap::new(),
            last_sequence: 0,
            cut_links: BTreeSet::new(),
            pending_requests: BTreeMap::new(),
            next_request: 1,
            answers: Vec::new(),
            journal: Journal::default(),
        };
        for n in 0..workers {
            cluster.boot(n, "k8", ["a", "b"][n as usize % 2], false);
            cluster.next_machine += 1;
        }
        cluster
    }

    /// Edits the settings of all controllers; takes effect at their next start.
    pub fn edit_settings(&mut self, edit: impl Fn(&mut serde_json::Value)) {
        self.nodes.iter_mut().for_each(|n| edit(&mut n.settings));
    }

    pub fn edit_operator(&mut self, node: usize, operator: serde_json::Value) {
        self.nodes[node].operator = operator;
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|n| self.start(n));
    }

    pub fn start(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.incarnation += 1;
        let platform = serde_json::from_value(node.settings.clone()).expect("settings");
        let operator = serde_json::from_value(node.operator.clone()).expect("operator settings");
        let rng = SmallRng::seed_from_u64(n as u64 * 100 + u64::from(node.incarnation));
        node.controller = Some(Controller::new(Config::new(platform, operator), rng));
        let incarnation = node.incarnation;
        self.schedule_after(1 + n as u64, ScheduledEvent::Tick { node: n, incarnation });
    }

    pub fn stop(&mut self, n: usize) {
        self.nodes[n].controller = None;
    }

    pub fn cut(&mut self, a: Endpoint, b: Endpoint) {
        self.cut_links.insert((a, b));
    }

    pub fn heal(&mut self) {
        self.cut_links.clear();
    }

    fn is_cut(&self, a: &Endpoint, b: &Endpoint) -> bool {
        let connects = |(x, y): &(Endpoint, Endpoint)| (x, y) == (a, b) || (y, x) == (a, b);
        self.cut_links.iter().any(connects)
    }

    fn boot(&mut self, number: u32, machine_type: &str, zone: &str, spot: bool) {
        let worker = Worker::new(number, machine_type, zone, spot, self.now_ms);
        let name = worker.name.clone();
        self.workers.insert(name.clone(), worker);
        self.schedule_after(10 + u64::from(number), ScheduledEvent::HeartbeatDue { worker: name });
    }

    fn schedule_after(&mut self, ms: u64, event: ScheduledEvent) {
        self.last_sequence += 1;
        self.event_queue.insert((self.now_ms + ms, self.last_sequence), event);
    }

    pub fn run(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while let Some(first) = self.event_queue.first_entry() {
            if first.key().0 > until_ms {
                break;
            }
            let ((at_ms, _), event) = first.remove_entry();
            self.now_ms = at_ms;
            self.store.expire(at_ms);
            self.dispatch(event);
            for (caller, response) in self.store.close_due_watches(at_ms) {
                let outcome = Outcome::Answer(response);
                if !self.store.refused_nodes.contains(&caller.node) {
                    self.schedule_after(1, ScheduledEvent::CallEnds { caller, outcome });
                }
            }
        }
        self.now_ms = until_ms;
    }

    /// Runs until the condition holds; panics if it does not hold within `within_ms`.
    pub fn run_until(
        &mut self,
        within_ms: u64,
        condition: &str,
        holds: impl Fn(&mut Cluster) -> bool,
    ) {
        let until_ms = self.now_ms + within_ms;
        while !holds(self) {
            assert!(self.now_ms < until_ms, "not within {within_ms} ms: {condition}");
            self.run(50);
        }
    }

    fn dispatch(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Tick { node, incarnation } => {
                if self.is_alive(node, incarnation) {
                    self.schedule_after(TICK_MS, ScheduledEvent::Tick { node, incarnation });
                    self.handle_event(node, Event::Tick);
                }
            }
            ScheduledEvent::CallArrives { caller, call } => self.deliver_call(caller, call),
            ScheduledEvent::CallEnds { caller, outcome } => {
                if self.is_alive(caller.node, caller.incarnation) {
                    self.handle_event(caller.node, Event::Outcome { call: caller.call, outcome });
                }
            }
            ScheduledEvent::HeartbeatDue { worker } => self.send_heartbeat(&worker),
            ScheduledEvent::MachineUp { number, machine_type, zone, spot } => {
                self.boot(number, &machine_type, &zone, spot)
            }
        }
    }

    fn is_alive(&self, node: usize, incarnation: u32) -> bool {
        self.nodes[node].controller.is_some() && self.nodes[node].incarnation == incarnation
    }

    /// Passes an event to a controller and executes the resulting actions.
    fn handle_event(&mut self, node: usize, event: Event) {
        let now = Now { steady_ms: self.now_ms, wall_ms: WALL_CLOCK_START_MS + self.now_ms };
        let incarnation = self.nodes[node].incarnation;
        let Some(controller) = self.nodes[node].controller.as_mut() else { return };
        for action in controller.handle(now, event) {
            match action {
                Action::Call(call) => {
                    self.record_call(node, &call);
                    let caller = Caller { node, incarnation, call: call.id };
                    self.schedule_after(1, ScheduledEvent::CallArrives { caller, call });
                }
                Action::Answer { id, response } => self.on_answer(node, id, response),
            }
        }
    }

    fn record_call(&mut self, node: usize, call: &Call) {
        let (channel, to) = match &call.peer {
            Peer::State => (Channel::ToStore, "store".to_string()),
            Peer::Cloud => (Channel::ToCloud, "cloud".to_string()),
            Peer::Worker(addr) => (Channel::ToWorkers, format!("worker {addr}")),
            Peer::Sibling(at) => (Channel::ToControllers, format!("n{}", sibling_node(node, *at))),
        };
        let from = format!("n{node}");
        self.journal.request(channel, &from, &to, call.method, &call.target, &call.body);
    }

    fn deliver_call(&mut self, caller: Caller, call: Call) {
        let from = Endpoint::Node(caller.node);
        let lost = ScheduledEvent::CallEnds { caller, outcome: Outcome::Lost };
        match call.peer {
            Peer::State => {
                if self.store.refused_nodes.contains(&caller.node) {
                    let refused = Outcome::Answer(Response::new(503, Vec::new()));
                    if !call.target.starts_with("/changes") {
                        self.schedule_after(
                            1,
                            ScheduledEvent::CallEnds { caller, outcome: refused },
                        );
                    }
                    return;
                }
                let body = decode_body(&call.body);
                let (now_ms, method) = (self.now_ms, call.method);
                let answer = self.store.handle(now_ms, method, &call.target, &body, caller);
                if let Some((caller, response)) = answer {
                    let outcome = Outcome::Answer(response);
                    self.schedule_after(1, ScheduledEvent::CallEnds { caller, outcome });
                }
            }
            Peer::Cloud => {
                let response =
                    self.handle_cloud_request(call.method, &call.target, &decode_body(&call.body));
                self.schedule_after(
                    1,
                    ScheduledEvent::CallEnds { caller, outcome: Outcome::Answer(response) },
                );
            }
            Peer::Worker(addr) => {
                let recipient = self.workers.values().find(|w| w.addr == addr.to_string());
                let Some(name) = recipient.filter(|w| !w.is_hung).map(|w| w.name.clone()) else {
                    return self.schedule_after(call.timeout_ms, lost);
                };
                if self.is_cut(&from, &Endpoint::Worker(name.clone())) {
                    return self.schedule_after(call.timeout_ms, lost);
                }
                let (now_ms, task_runs) = (self.now_ms, &self.task_runs);
                let worker = self.workers.get_mut(&name).expect("the worker was found above");
                let status = match call.target.as_str() {
                    "/orders" => worker.on_orders(now_ms, &decode_body(&call.body), task_runs),
                    "/inspect" => 200,
                    other => panic!("workers do not implement {other}"),
                };
                let body = encode(&worker.heartbeat(now_ms, task_runs));
                let outcome = Outcome::Answer(Response::new(status, body));
                self.schedule_after(1, ScheduledEvent::CallEnds { caller, outcome });
            }
            Peer::Sibling(at) => {
                let to = sibling_node(caller.node, at);
                if self.nodes[to].controller.is_none() || self.is_cut(&from, &Endpoint::Node(to)) {
                    return self.schedule_after(call.timeout_ms, lost);
                }
                let text = format!("n{} -> n{to}: {} {}", caller.node, call.method, call.target);
                let requester = Requester::Controller(caller);
                self.send_request(to, true, text, call.method, &call.target, call.body, requester);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn send_request(
        &mut self,
        node: usize,
        mesh: bool,
        text: String,
        method: &str,
        target: &str,
        body: Vec<u8>,
        requester: Requester,
    ) {
        let id = self.next_request;
        self.next_request += 1;
        self.pending_requests
            .insert((node, id), PendingRequest { text, body: body.clone(), requester });
        let (method, target) = (method.to_string(), target.to_string());
        let request = Request { method, target, body, close: false };
        let event = match mesh {
            true => Event::Mesh { id, request },
            false => Event::Client { id, request },
        };
        self.handle_event(node, event);
    }

    fn on_answer(&mut self, node: usize, id: u64, response: Response) {
        let pending = self
            .pending_requests
            .remove(&(node, id))
            .expect("each request is answered exactly once");
        let channel = match &pending.requester {
            Requester::User(_) => Channel::AnswersToUsers,
            Requester::Worker { .. } => Channel::AnswersToWorkers,
            Requester::Controller(_) => Channel::AnswersToControllers,
        };
        // Metric names have a test of their own; metric values are not part of the journal.
        if !pending.text.contains("/metrics") || response.status != 200 {
            self.journal.answer(channel, &pending.text, &pending.body, &response);
        }
        match pending.requester {
            Requester::User(request_index) => self.answers[request_index] = Some(response),
            Requester::Worker { name, sent_ms } => {
                self.on_heartbeat_answer(&name, node, sent_ms, response)
            }
            Requester::Controller(caller) => self.schedule_after(
                1,
                ScheduledEvent::CallEnds { caller, outcome: Outcome::Answer(response) },
            ),
        }
    }

    // Users.

    /// Sends a request to a controller's user address; returns the index for `answer`.
    pub fn send_user_request(
        &mut self,
        node: usize,
        method: &str,
        target: &str,
        body: Vec<u8>,
    ) -> usize {
        self.send_tracked_request(node, false, method, target, body)
    }

    /// Sends a request to a controller's mesh address; returns the index for `answer`.
    pub fn send_mesh_request(
        &mut self,
        node: usize,
        method: &str,
        target: &str,
        body: Vec<u8>,
    ) -> usize {
        self.send_tracked_request(node, true, method, target, body)
    }

    fn send_tracked_request(
        &mut self,
        node: usize,
        mesh: bool,
        method: &str,
        target: &str,
        body: Vec<u8>,
    ) -> usize {
        let request_index = self.answers.len();
        self.answers.push(None);
        let address = if mesh { "n" } else { "user -> n" };
        let text = match mesh {
            true => format!("mesh -> n{node}: {method} {target}"),
            false => format!("{address}{node}: {method} {target}"),
        };
        self.send_request(node, mesh, text, method, target, body, Requester::User(request_index));
        request_index
    }

    pub fn answer(&self, request_index: usize) -> Option<&Response> {
        self.answers[request_index].as_ref()
    }

    /// Sends a request to a controller's user address and waits for the answer.
    pub fn user_request(
        &mut self,
        node: usize,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Response {
        let request_index = self.send_user_request(node, method, target, body.to_vec());
        self.wait_for_answer(request_index)
    }

    pub fn mesh_request(
        &mut self,
        node: usize,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Response {
        let request_index = self.send_mesh_request(node, method, target, body.to_vec());
        self.wait_for_answer(request_index)
    }

    pub fn wait_for_answer(&mut self, request_index: usize) -> Response {
        self.run_until(6_000, "an answer", |cluster| cluster.answer(request_index).is_some());
        self.answer(request_index).expect("the answer has arrived").clone()
    }

    pub fn submit(&mut self, node: usize, job: &Value) -> u16 {
        self.user_request(node, "POST", "/api/jobs", &encode(job)).status
    }

    pub fn abort(&mut self, node: usize, job: &str) -> u16 {
        self.user_request(node, "POST", &format!("/api/jobs/{job}/abort"), &[]).status
    }

    /// Returns the job status that a query reports, or the status code of the answer if it is not
    /// 200.
    pub fn poll(&mut self, node: usize, job: &str) -> String {
        let response = self.user_request(node, "GET", &format!("/api/jobs/{job}"), &[]);
        match response.status {
            200 => text(&decode_body(&response.body), "status"),
            other => other.to_string(),
        }
    }

    pub fn run_until_status(&mut self, node: usize, job: &str, status: &str, within_ms: u64) {
        let until_ms = self.now_ms + within_ms;
        loop {
            let reported = self.poll(node, job);
            if reported == status {
                return;
            }
            assert!(self.now_ms < until_ms, "{job} is {reported}, not {status}");
            self.run(500);
        }
    }

    /// Returns the metrics that `GET /metrics` reports, by name.
    pub fn metrics(&mut self, node: usize) -> BTreeMap<String, f64> {
        let response = self.mesh_request(node, "GET", "/metrics", &[]);
        from_cbor(&response.body).expect("metrics by name")
    }

    /// Reports the load of its process to a controller, as the daemon does.
    pub fn report_load(&mut self, node: usize, state: LoadState, metrics: &[(&str, f64)]) {
        let metrics = metrics.iter().map(|(name, value)| (name.to_string(), *value)).collect();
        self.handle_event(node, Event::Load { state, metrics });
    }

    // Workers.

    fn send_heartbeat(&mut self, name: &str) {
        let nodes = self.nodes.len();
        let (now_ms, task_runs) = (self.now_ms, &self.task_runs);
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.is_hung {
            return self.schedule_after(
                HEARTBEAT_INTERVAL_MS,
                ScheduledEvent::HeartbeatDue { worker: name.into() },
            );
        }
        let body = encode(&worker.heartbeat(now_ms, task_runs));
        let node = worker.node;
        if self.nodes[node].controller.is_none()
            || self.is_cut(&Endpoint::Node(node), &Endpoint::Worker(name.into()))
        {
            self.workers.get_mut(name).expect("the worker exists").node = (node + 1) % nodes;
            return self.schedule_after(
                HEARTBEAT_INTERVAL_MS,
                ScheduledEvent::HeartbeatDue { worker: name.into() },
            );
        }
        let text = format!("{name} -> n{node}: POST /checkin");
        let requester = Requester::Worker { name: name.into(), sent_ms: now_ms };
        self.send_request(node, false, text, "POST", "/checkin", body, requester);
    }

    fn on_heartbeat_answer(&mut self, name: &str, node: usize, sent_ms: u64, response: Response) {
        let nodes = self.nodes.len();
        let (now_ms, task_runs) = (self.now_ms, &self.task_runs);
        let Some(worker) = self.workers.get_mut(name) else { return };
        let mut next_heartbeat_ms = HEARTBEAT_INTERVAL_MS;
        match response.status {
            200 => {
                worker.on_heartbeat_answer(sent_ms, now_ms, &decode_body(&response.body), task_runs)
            }
            421 => {
                let leader =
                    field(&decode_body(&response.body), "foreman").as_text().map(String::from);
                let leader = leader.and_then(|n| n.trim_start_matches('n').parse::<usize>().ok());
                match leader.filter(|n| *n != node) {
                    Some(n) => (worker.node, next_heartbeat_ms) = (n, 50),
                    None => worker.node = (node + 1) % nodes,
                }
            }
            _ => worker.node = (node + 1) % nodes,
        }
        self.schedule_after(
            next_heartbeat_ms,
            ScheduledEvent::HeartbeatDue { worker: name.into() },
        );
    }

    /// Returns the number of running tasks of a job on all machines.
    pub fn running(&self, job: &str) -> usize {
        let of_job = |task: &&str| task.split('/').next() == Some(job);
        self.workers.values().map(|worker| worker.running().filter(of_job).count()).sum()
    }

    // The cloud.

    fn handle_cloud_request(&mut self, method: &str, target: &str, body: &Value) -> Response {
        let path = target.split('?').next().unwrap_or("");
        let ok = |body: Value| Response::new(200, encode(&body));
        match (method, path) {
            ("GET", "/machine_types") => ok(raw!({"host_types" => [
                {"name" => "k8", "vcpus" => 8, "gpus" => 0, "ram_gb" => 32, "local_gb" => 50,
                 "pull_gb_per_s" => 1.0, "rate" => 0.4, "spot_price" => 0.1, "startup_s" => 3,
                 "halls" => ["a", "b"]},
                {"name" => "g8", "vcpus" => 96, "gpus" => 8, "ram_gb" => 768, "local_gb" => 200,
                 "pull_gb_per_s" => 1.0, "rate" => 12.0, "spot_price" => 4.5, "startup_s" => 3,
                 "halls" => ["a"]}
            ]})),
            ("GET", "/machines") => {
                let since = target.split_once("since=").map_or("", |(_, rest)| rest);
                let since = since.split('&').next().unwrap_or("");
                let found = self.workers.values().filter(|w| w.name.as_str() > since);
                let more = found.clone().count() > self.max_list_entries;
                let hosts: Vec<Value> = found
                    .take(self.max_list_entries)
                    .map(|w| {
                        raw!({
                            "ref" => w.name.as_str(), "addr" => w.addr.as_str(),
                            "host_type" => w.machine_type.as_str(), "hall" => w.zone.as_str(),
                            "loaners" => w.spot, "status" => "running", "held_s" => 61.5
                        })
                    })
                    .collect();
                ok(raw!({"hosts" => hosts, "more" => more}))
            }
            ("POST", "/machines") if self.no_capacity => {
                Response::new(503, encode(&raw!({"error" => "no capacity"})))
            }
            ("POST", "/machines") => {
                let mut hosts = Vec::new();
                for _ in 0..integer(body, "how_many") {
                    let number = self.next_machine;
                    self.next_machine += 1;
                    let (machine_type, zone) = (text(body, "host_type"), text(body, "hall"));
                    let spot = field(body, "loaners").as_bool().expect("a flag");
                    self.schedule_after(
                        3_000,
                        ScheduledEvent::MachineUp { number, machine_type, zone, spot },
                    );
                    hosts.push(Value::from(format!("vm-{number:06}")));
                }
                ok(raw!({"hosts" => hosts}))
            }
            ("POST", "/machines/return") => {
                for name in items(body, "hosts") {
                    self.workers.remove(name.as_text().expect("a name"));
                }
                Response::new(200, Vec::new())
            }
            other => panic!("the cloud does not implement {other:?}"),
        }
    }
}

/// Returns the index of a controller's sibling, given its position in the sibling list, which
/// omits the controller itself.
fn sibling_node(node: usize, at: usize) -> usize {
    if at < node {
        at
    } else {
        at + 1
    }
}

fn decode_body(body: &[u8]) -> Value {
    match body {
        [] => Value::Null,
        _ => from_cbor(body).expect("controllers send valid CBOR"),
    }
}
