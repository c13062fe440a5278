//! Workers as the protocol describes them, with raw reports.

use std::collections::BTreeMap;

use crate::cbor::{field, integer, items, raw, text, Value};

struct Task {
    attempt: u64,
    status: &'static str,
    cause: Option<&'static str>,
    saved: Option<bool>,
    ends_ms: u64,
}

/// How the tasks of a job run.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub run_ms: u64,
    /// Why a task exits by itself.
    pub cause: &'static str,
}

pub struct Worker {
    pub name: String,
    pub addr: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub session: u64,
    sequence: u64,
    pub token: u64,
    /// Seconds until the cloud takes the machine away.
    pub notice_s: Option<f64>,
    /// The controller that it reports to.
    pub node: usize,
    lease_from_ms: u64,
    tasks: BTreeMap<String, Task>,
    /// It sends no reports, and answers no calls.
    pub hangs: bool,
}

pub const LEASE_MS: u64 = 8_000;

impl Worker {
    pub fn new(number: u32, machine_type: &str, zone: &str, spot: bool, now_ms: u64) -> Worker {
        Worker {
            name: format!("vm-{number:06}"),
            addr: format!("10.1.{}.{}:9000", number / 250, number % 250 + 1),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            session: 1,
            sequence: 0,
            token: 0,
            notice_s: None,
            node: 0,
            lease_from_ms: now_ms,
            tasks: BTreeMap::new(),
            hangs: false,
        }
    }

    /// A task that it holds since before the controllers were started.
    pub fn holds(&mut self, task: &str, attempt: u64, ends_ms: u64) {
        let running = Task { attempt, status: "running", cause: None, saved: None, ends_ms };
        self.tasks.insert(task.into(), running);
    }

    pub fn running(&self) -> impl Iterator<Item = &str> {
        let running = self.tasks.iter().filter(|(_, t)| t.status == "running");
        running.map(|(name, _)| name.as_str())
    }

    /// Tasks that are over, and the lease.
    fn advance(&mut self, now_ms: u64, runs: &BTreeMap<String, Run>) {
        if now_ms > self.lease_from_ms + LEASE_MS {
            self.tasks.clear();
            self.session += 1;
            self.lease_from_ms = now_ms;
        }
        for (name, task) in &mut self.tasks {
            if task.status == "running" && now_ms >= task.ends_ms {
                let job = name.split('/').next().unwrap_or("");
                (task.status, task.cause) =
                    ("exited", Some(runs.get(job).map_or("done", |r| r.cause)));
            }
        }
    }

    pub fn report(&mut self, now_ms: u64, runs: &BTreeMap<String, Run>) -> Value {
        self.advance(now_ms, runs);
        self.sequence += 1;
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|(name, t)| {
                let mut task = vec![("piece", name.as_str().into()), ("try", t.attempt.into())];
                task.push(("status", t.status.into()));
                task.extend(t.cause.map(|c| ("cause", c.into())));
                task.extend(t.saved.map(|s| ("saved", s.into())));
                Value::Map(task.into_iter().map(|(k, v): (_, Value)| (k.into(), v)).collect())
            })
            .collect();
        let notice = self.notice_s.map_or(Value::Null, Value::from);
        raw!({
            "host" => self.name.as_str(), "addr" => self.addr.as_str(),
            "host_type" => self.machine_type.as_str(), "hall" => self.zone.as_str(),
            "loaners" => self.spot, "tenure" => self.session, "tally" => self.sequence,
            "baton" => self.token, "recall_s" => notice, "pieces" => tasks
        })
    }

    /// A 200 to its report.
    pub fn answered(
        &mut self,
        sent_ms: u64,
        now_ms: u64,
        body: &Value,
        runs: &BTreeMap<String, Run>,
    ) {
        if integer(body, "baton") < self.token {
            return;
        }
        self.token = integer(body, "baton");
        self.lease_from_ms = self.lease_from_ms.max(sent_ms);
        self.execute(now_ms, &items(body, "orders"), runs);
    }

    /// `POST /orders`: the status.
    pub fn orders(&mut self, now_ms: u64, body: &Value, runs: &BTreeMap<String, Run>) -> u16 {
        self.advance(now_ms, runs);
        if integer(body, "baton") < self.token || integer(body, "tenure") != self.session {
            return 409;
        }
        self.token = integer(body, "baton");
        self.execute(now_ms, &items(body, "orders"), runs);
        200
    }

    fn execute(&mut self, now_ms: u64, orders: &[Value], runs: &BTreeMap<String, Run>) {
        for order in orders {
            let (name, attempt) = (text(order, "piece"), integer(order, "try"));
            let ours = self.tasks.get_mut(&name).filter(|t| t.attempt == attempt);
            match (text(order, "verb").as_str(), ours) {
                ("run", None) => {
                    let job = name.split('/').next().unwrap_or("");
                    let run_ms = runs.get(job).map_or(2_000, |r| r.run_ms);
                    self.holds(&name, attempt, now_ms + run_ms);
                }
                ("kill", Some(task)) if task.status != "exited" => {
                    let grace = field(order, "wind_down_s").as_float().unwrap_or(0.0);
                    (task.status, task.cause) = ("exited", Some("stopped"));
                    task.saved = (grace > 0.0).then_some(true);
                }
                ("clear", Some(_)) => drop(self.tasks.remove(&name)),
                _ => {}
            }
        }
    }
}
