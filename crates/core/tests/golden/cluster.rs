//! Controllers, a key-value store, a cloud and workers on one clock. Nothing is random but the
//! controllers' own seeded generators, and every message that a controller sends is noted.

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
use crate::worker::{Run, Worker};

const TICK_MS: u64 = 25;
const REPORT_MS: u64 = 1_000;
/// Time of day when the clock shows 0.
const WALL_MS: u64 = 1_800_000_000_000;

/// Who can be cut off from whom.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Node(usize),
    Worker(String),
}

/// Whose request a controller answers.
enum Asker {
    User(usize),
    Worker { name: String, sent_ms: u64 },
    Controller(Caller),
}

/// A call of a controller.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    node: usize,
    incarnation: u32,
    call: u64,
}

enum Message {
    Tick { node: usize, incarnation: u32 },
    Arrives { caller: Caller, call: Call },
    Ends { caller: Caller, outcome: Outcome },
    Report { worker: String },
    Boots { number: u32, machine_type: String, zone: String, spot: bool },
}

struct Node {
    controller: Option<Controller>,
    incarnation: u32,
    settings: serde_json::Value,
    operator: serde_json::Value,
}

/// A question that waits for its answer.
struct Question {
    /// As it is noted.
    text: String,
    body: Vec<u8>,
    asker: Asker,
}

pub struct Cluster {
    pub now_ms: u64,
    nodes: Vec<Node>,
    pub store: Store<Caller>,
    pub workers: BTreeMap<String, Worker>,
    next_machine: u32,
    /// The cloud has no machines to rent.
    pub no_capacity: bool,
    /// Machines in one answer of the cloud at most.
    pub listed_at_once: usize,
    /// How tasks run, by job.
    pub runs: BTreeMap<String, Run>,
    messages: BTreeMap<(u64, u64), Message>,
    sent: u64,
    cuts: BTreeSet<(End, End)>,
    questions: BTreeMap<(usize, u64), Question>,
    next_request: u64,
    answers: Vec<Option<Response>>,
    pub journal: Journal,
}

/// Controllers are in zones `a` and `b` by turns.
fn zone_of(node: usize) -> &'static str {
    ["a", "b"][node % 2]
}

/// Settings of one controller out of several.
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
    /// So many controllers with these operators' settings, and so many machines, in zones `a`
    /// and `b` by turns. Nothing runs yet.
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
            listed_at_once: 500,
            runs: BTreeMap::new(),
            messages: BTreeMap::new(),
            sent: 0,
            cuts: BTreeSet::new(),
            questions: BTreeMap::new(),
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

    /// Edits the settings of all controllers, before they are started.
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
        self.after(1 + n as u64, Message::Tick { node: n, incarnation });
    }

    pub fn stop(&mut self, n: usize) {
        self.nodes[n].controller = None;
    }

    pub fn cut(&mut self, a: End, b: End) {
        self.cuts.insert((a, b));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    fn is_cut(&self, a: &End, b: &End) -> bool {
        let pair = |(x, y): &(End, End)| (x, y) == (a, b) || (y, x) == (a, b);
        self.cuts.iter().any(pair)
    }

    fn boot(&mut self, number: u32, machine_type: &str, zone: &str, spot: bool) {
        let worker = Worker::new(number, machine_type, zone, spot, self.now_ms);
        let name = worker.name.clone();
        self.workers.insert(name.clone(), worker);
        self.after(10 + u64::from(number), Message::Report { worker: name });
    }

    fn after(&mut self, ms: u64, message: Message) {
        self.sent += 1;
        self.messages.insert((self.now_ms + ms, self.sent), message);
    }

    pub fn run(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while let Some(first) = self.messages.first_entry() {
            if first.key().0 > until_ms {
                break;
            }
            let ((at_ms, _), message) = first.remove_entry();
            self.now_ms = at_ms;
            self.store.expire(at_ms);
            self.deliver(message);
            for (caller, response) in self.store.answered_watches(at_ms) {
                let outcome = Outcome::Answer(response);
                if !self.store.refuses.contains(&caller.node) {
                    self.after(1, Message::Ends { caller, outcome });
                }
            }
        }
        self.now_ms = until_ms;
    }

    /// Runs until the condition holds; fails if that takes too long.
    pub fn run_until(&mut self, most_ms: u64, what: &str, holds: impl Fn(&mut Cluster) -> bool) {
        let until_ms = self.now_ms + most_ms;
        while !holds(self) {
            assert!(self.now_ms < until_ms, "not within {most_ms} ms: {what}");
            self.run(50);
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Tick { node, incarnation } => {
                if self.alive(node, incarnation) {
                    self.after(TICK_MS, Message::Tick { node, incarnation });
                    self.feed(node, Event::Tick);
                }
            }
            Message::Arrives { caller, call } => self.arrives(caller, call),
            Message::Ends { caller, outcome } => {
                if self.alive(caller.node, caller.incarnation) {
                    self.feed(caller.node, Event::Outcome { call: caller.call, outcome });
                }
            }
            Message::Report { worker } => self.send_report(&worker),
            Message::Boots { number, machine_type, zone, spot } => {
                self.boot(number, &machine_type, &zone, spot)
            }
        }
    }

    fn alive(&self, node: usize, incarnation: u32) -> bool {
        self.nodes[node].controller.is_some() && self.nodes[node].incarnation == incarnation
    }

    /// Gives a controller an event, and carries out what it decides.
    fn feed(&mut self, node: usize, event: Event) {
        let now = Now { steady_ms: self.now_ms, wall_ms: WALL_MS + self.now_ms };
        let incarnation = self.nodes[node].incarnation;
        let Some(controller) = self.nodes[node].controller.as_mut() else { return };
        for action in controller.handle(now, event) {
            match action {
                Action::Call(call) => {
                    self.note_call(node, &call);
                    let caller = Caller { node, incarnation, call: call.id };
                    self.after(1, Message::Arrives { caller, call });
                }
                Action::Answer { id, response } => self.answered(node, id, response),
            }
        }
    }

    fn note_call(&mut self, node: usize, call: &Call) {
        let (channel, to) = match &call.peer {
            Peer::State => (Channel::ToStore, "store".to_string()),
            Peer::Cloud => (Channel::ToCloud, "cloud".to_string()),
            Peer::Worker(addr) => (Channel::ToWorkers, format!("worker {addr}")),
            Peer::Sibling(at) => (Channel::ToControllers, format!("n{}", sibling(node, *at))),
        };
        let from = format!("n{node}");
        self.journal.request(channel, &from, &to, call.method, &call.target, &call.body);
    }

    fn arrives(&mut self, caller: Caller, call: Call) {
        let from = End::Node(caller.node);
        let lost = Message::Ends { caller, outcome: Outcome::Lost };
        match call.peer {
            Peer::State => {
                if self.store.refuses.contains(&caller.node) {
                    let refused = Outcome::Answer(Response::new(503, Vec::new()));
                    if !call.target.starts_with("/changes") {
                        self.after(1, Message::Ends { caller, outcome: refused });
                    }
                    return;
                }
                let body = decoded(&call.body);
                let (now_ms, method) = (self.now_ms, call.method);
                let answer = self.store.handle(now_ms, method, &call.target, &body, caller);
                if let Some((caller, response)) = answer {
                    let outcome = Outcome::Answer(response);
                    self.after(1, Message::Ends { caller, outcome });
                }
            }
            Peer::Cloud => {
                let response = self.cloud(call.method, &call.target, &decoded(&call.body));
                self.after(1, Message::Ends { caller, outcome: Outcome::Answer(response) });
            }
            Peer::Worker(addr) => {
                let found = self.workers.values().find(|w| w.addr == addr.to_string());
                let Some(name) = found.filter(|w| !w.hangs).map(|w| w.name.clone()) else {
                    return self.after(call.timeout_ms, lost);
                };
                if self.is_cut(&from, &End::Worker(name.clone())) {
                    return self.after(call.timeout_ms, lost);
                }
                let (now_ms, runs) = (self.now_ms, &self.runs);
                let worker = self.workers.get_mut(&name).expect("it was found");
                let status = match call.target.as_str() {
                    "/orders" => worker.orders(now_ms, &decoded(&call.body), runs),
                    "/inspect" => 200,
                    other => panic!("workers have no {other}"),
                };
                let body = encode(&worker.report(now_ms, runs));
                let outcome = Outcome::Answer(Response::new(status, body));
                self.after(1, Message::Ends { caller, outcome });
            }
            Peer::Sibling(at) => {
                let to = sibling(caller.node, at);
                if self.nodes[to].controller.is_none() || self.is_cut(&from, &End::Node(to)) {
                    return self.after(call.timeout_ms, lost);
                }
                let text = format!("n{} -> n{to}: {} {}", caller.node, call.method, call.target);
                let asker = Asker::Controller(caller);
                self.ask(to, true, text, call.method, &call.target, call.body, asker);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn ask(
        &mut self,
        node: usize,
        mesh: bool,
        text: String,
        method: &str,
        target: &str,
        body: Vec<u8>,
        asker: Asker,
    ) {
        let id = self.next_request;
        self.next_request += 1;
        self.questions.insert((node, id), Question { text, body: body.clone(), asker });
        let (method, target) = (method.to_string(), target.to_string());
        let request = Request { method, target, body, close: false };
        let event = match mesh {
            true => Event::Mesh { id, request },
            false => Event::Client { id, request },
        };
        self.feed(node, event);
    }

    fn answered(&mut self, node: usize, id: u64, response: Response) {
        let question = self.questions.remove(&(node, id)).expect("each question is answered once");
        let channel = match &question.asker {
            Asker::User(_) => Channel::AnswersToUsers,
            Asker::Worker { .. } => Channel::AnswersToWorkers,
            Asker::Controller(_) => Channel::AnswersToControllers,
        };
        // The names of figures have a test of their own; their values are no messages.
        if !question.text.contains("/metrics") || response.status != 200 {
            self.journal.answer(channel, &question.text, &question.body, &response);
        }
        match question.asker {
            Asker::User(number) => self.answers[number] = Some(response),
            Asker::Worker { name, sent_ms } => self.report_answered(&name, node, sent_ms, response),
            Asker::Controller(caller) => {
                self.after(1, Message::Ends { caller, outcome: Outcome::Answer(response) })
            }
        }
    }

    // Users.

    /// A request on the address for users; the number by which its answer is found.
    pub fn user(&mut self, node: usize, method: &str, target: &str, body: Vec<u8>) -> usize {
        self.question(node, false, method, target, body)
    }

    /// A request on the address for controllers.
    pub fn mesh(&mut self, node: usize, method: &str, target: &str, body: Vec<u8>) -> usize {
        self.question(node, true, method, target, body)
    }

    fn question(
        &mut self,
        node: usize,
        mesh: bool,
        method: &str,
        target: &str,
        body: Vec<u8>,
    ) -> usize {
        let number = self.answers.len();
        self.answers.push(None);
        let address = if mesh { "n" } else { "user -> n" };
        let text = match mesh {
            true => format!("mesh -> n{node}: {method} {target}"),
            false => format!("{address}{node}: {method} {target}"),
        };
        self.ask(node, mesh, text, method, target, body, Asker::User(number));
        number
    }

    pub fn answer(&self, number: usize) -> Option<&Response> {
        self.answers[number].as_ref()
    }

    /// Asks, and waits for the answer.
    pub fn ask_user(&mut self, node: usize, method: &str, target: &str, body: &[u8]) -> Response {
        let number = self.user(node, method, target, body.to_vec());
        self.wait_for(number)
    }

    pub fn ask_mesh(&mut self, node: usize, method: &str, target: &str, body: &[u8]) -> Response {
        let number = self.mesh(node, method, target, body.to_vec());
        self.wait_for(number)
    }

    pub fn wait_for(&mut self, number: usize) -> Response {
        self.run_until(6_000, "an answer", |c| c.answer(number).is_some());
        self.answer(number).expect("it was waited for").clone()
    }

    pub fn submit(&mut self, node: usize, job: &Value) -> u16 {
        self.ask_user(node, "POST", "/api/jobs", &encode(job)).status
    }

    pub fn abort(&mut self, node: usize, job: &str) -> u16 {
        self.ask_user(node, "POST", &format!("/api/jobs/{job}/abort"), &[]).status
    }

    /// The status that a poll tells, or the status code of its answer if that is not 200.
    pub fn poll(&mut self, node: usize, job: &str) -> String {
        let response = self.ask_user(node, "GET", &format!("/api/jobs/{job}"), &[]);
        match response.status {
            200 => text(&decoded(&response.body), "status"),
            other => other.to_string(),
        }
    }

    pub fn until_status(&mut self, node: usize, job: &str, status: &str, most_ms: u64) {
        let until_ms = self.now_ms + most_ms;
        loop {
            let told = self.poll(node, job);
            if told == status {
                return;
            }
            assert!(self.now_ms < until_ms, "{job} is {told}, not {status}");
            self.run(500);
        }
    }

    /// The figures of `GET /metrics`.
    pub fn metrics(&mut self, node: usize) -> BTreeMap<String, f64> {
        let response = self.ask_mesh(node, "GET", "/metrics", &[]);
        from_cbor(&response.body).expect("figures by name")
    }

    /// Tells a controller how loaded its process is, as the daemon does.
    pub fn tell_load(&mut self, node: usize, state: LoadState, metrics: &[(&str, f64)]) {
        let metrics = metrics.iter().map(|(name, value)| (name.to_string(), *value)).collect();
        self.feed(node, Event::Load { state, metrics });
    }

    // Workers.

    fn send_report(&mut self, name: &str) {
        let nodes = self.nodes.len();
        let (now_ms, runs) = (self.now_ms, &self.runs);
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.hangs {
            return self.after(REPORT_MS, Message::Report { worker: name.into() });
        }
        let body = encode(&worker.report(now_ms, runs));
        let node = worker.node;
        if self.nodes[node].controller.is_none()
            || self.is_cut(&End::Node(node), &End::Worker(name.into()))
        {
            self.workers.get_mut(name).expect("it reports").node = (node + 1) % nodes;
            return self.after(REPORT_MS, Message::Report { worker: name.into() });
        }
        let text = format!("{name} -> n{node}: POST /checkin");
        let asker = Asker::Worker { name: name.into(), sent_ms: now_ms };
        self.ask(node, false, text, "POST", "/checkin", body, asker);
    }

    fn report_answered(&mut self, name: &str, node: usize, sent_ms: u64, response: Response) {
        let nodes = self.nodes.len();
        let (now_ms, runs) = (self.now_ms, &self.runs);
        let Some(worker) = self.workers.get_mut(name) else { return };
        let mut again_ms = REPORT_MS;
        match response.status {
            200 => worker.answered(sent_ms, now_ms, &decoded(&response.body), runs),
            421 => {
                let named = field(&decoded(&response.body), "foreman").as_text().map(String::from);
                let named = named.and_then(|n| n.trim_start_matches('n').parse::<usize>().ok());
                match named.filter(|n| *n != node) {
                    Some(n) => (worker.node, again_ms) = (n, 50),
                    None => worker.node = (node + 1) % nodes,
                }
            }
            _ => worker.node = (node + 1) % nodes,
        }
        self.after(again_ms, Message::Report { worker: name.into() });
    }

    /// Tasks of a job that run, over all machines.
    pub fn running(&self, job: &str) -> usize {
        let of_job = |t: &&str| t.split('/').next() == Some(job);
        self.workers.values().map(|w| w.running().filter(of_job).count()).sum()
    }

    // The cloud.

    fn cloud(&mut self, method: &str, target: &str, body: &Value) -> Response {
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
                let more = found.clone().count() > self.listed_at_once;
                let hosts: Vec<Value> = found
                    .take(self.listed_at_once)
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
                    let spot = field(body, "loaners").as_bool().expect("spot or not");
                    self.after(3_000, Message::Boots { number, machine_type, zone, spot });
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
            other => panic!("the cloud has no {other:?}"),
        }
    }
}

/// The number of a controller's sibling by its place in the settings.
fn sibling(node: usize, at: usize) -> usize {
    if at < node {
        at
    } else {
        at + 1
    }
}

fn decoded(body: &[u8]) -> Value {
    match body {
        [] => Value::Null,
        _ => from_cbor(body).expect("a message of ours is CBOR"),
    }
}
