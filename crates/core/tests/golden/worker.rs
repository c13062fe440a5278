//! Workers that implement the protocol on raw CBOR heartbeats and orders.

use std::collections::BTreeMap;

use crate::cbor::{field, integer, items, raw, text, Value};

struct Task {
    attempt: u64,
    status: &'static str,
    cause: Option<&'static str>,
    saved: Option<bool>,
    ends_ms: u64,
}

/// The behavior of the tasks of a job.
#[derive(Clone, Copy, Debug)]
pub struct TaskRun {
    pub run_ms: u64,
    /// Exit cause of a task that has run for `run_ms`.
    pub cause: &'static str,
}

pub struct Worker {
    pub name: String,
    pub addr: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub agent_epoch: u64,
    sequence: u64,
    pub fencing_token: u64,
    /// Time until the cloud reclaims the machine, as the heartbeat reports it.
    pub interruption_notice_s: Option<f64>,
    /// The controller that the worker sends its heartbeats to.
    pub node: usize,
    lease_start_ms: u64,
    tasks: BTreeMap<String, Task>,
    /// The worker sends no heartbeats and answers no calls.
    pub is_hung: bool,
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
            agent_epoch: 1,
            sequence: 0,
            fencing_token: 0,
            interruption_notice_s: None,
            node: 0,
            lease_start_ms: now_ms,
            tasks: BTreeMap::new(),
            is_hung: false,
        }
    }

    /// Adds a task that runs until `ends_ms`.
    pub fn add_running_task(&mut self, task: &str, attempt: u64, ends_ms: u64) {
        let running = Task { attempt, status: "running", cause: None, saved: None, ends_ms };
        self.tasks.insert(task.into(), running);
    }

    pub fn running(&self) -> impl Iterator<Item = &str> {
        let running = self.tasks.iter().filter(|(_, t)| t.status == "running");
        running.map(|(name, _)| name.as_str())
    }

    /// Drops all tasks if the lease has expired, and ends the tasks whose run time has passed.
    fn advance(&mut self, now_ms: u64, task_runs: &BTreeMap<String, TaskRun>) {
        if now_ms > self.lease_start_ms + LEASE_MS {
            self.tasks.clear();
            self.agent_epoch += 1;
            self.lease_start_ms = now_ms;
        }
        for (name, task) in &mut self.tasks {
            if task.status == "running" && now_ms >= task.ends_ms {
                let job = name.split('/').next().unwrap_or("");
                (task.status, task.cause) =
                    ("exited", Some(task_runs.get(job).map_or("done", |r| r.cause)));
            }
        }
    }

    /// Returns the worker's next heartbeat.
    pub fn heartbeat(&mut self, now_ms: u64, task_runs: &BTreeMap<String, TaskRun>) -> Value {
        self.advance(now_ms, task_runs);
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
        let notice = self.interruption_notice_s.map_or(Value::Null, Value::from);
        raw!({
            "host" => self.name.as_str(), "addr" => self.addr.as_str(),
            "host_type" => self.machine_type.as_str(), "hall" => self.zone.as_str(),
            "loaners" => self.spot, "tenure" => self.agent_epoch, "tally" => self.sequence,
            "baton" => self.fencing_token, "recall_s" => notice, "pieces" => tasks
        })
    }

    /// Handles a 200 answer to a heartbeat.
    pub fn on_heartbeat_answer(
        &mut self,
        sent_ms: u64,
        now_ms: u64,
        body: &Value,
        task_runs: &BTreeMap<String, TaskRun>,
    ) {
        if integer(body, "baton") < self.fencing_token {
            return;
        }
        self.fencing_token = integer(body, "baton");
        self.lease_start_ms = self.lease_start_ms.max(sent_ms);
        self.execute(now_ms, &items(body, "orders"), task_runs);
    }

    /// Handles `POST /orders`; returns the status code.
    pub fn on_orders(
        &mut self,
        now_ms: u64,
        body: &Value,
        task_runs: &BTreeMap<String, TaskRun>,
    ) -> u16 {
        self.advance(now_ms, task_runs);
        if integer(body, "baton") < self.fencing_token
            || integer(body, "tenure") != self.agent_epoch
        {
            return 409;
        }
        self.fencing_token = integer(body, "baton");
        self.execute(now_ms, &items(body, "orders"), task_runs);
        200
    }

    fn execute(&mut self, now_ms: u64, orders: &[Value], task_runs: &BTreeMap<String, TaskRun>) {
        for order in orders {
            let (name, attempt) = (text(order, "piece"), integer(order, "try"));
            let known = self.tasks.get_mut(&name).filter(|t| t.attempt == attempt);
            match (text(order, "verb").as_str(), known) {
                ("run", None) => {
                    let job = name.split('/').next().unwrap_or("");
                    let run_ms = task_runs.get(job).map_or(2_000, |r| r.run_ms);
                    self.add_running_task(&name, attempt, now_ms + run_ms);
                }
                ("kill", Some(task)) if task.status != "exited" => {
                    let grace_s = field(order, "wind_down_s").as_float().unwrap_or(0.0);
                    (task.status, task.cause) = ("exited", Some("stopped"));
                    task.saved = (grace_s > 0.0).then_some(true);
                }
                ("clear", Some(_)) => drop(self.tasks.remove(&name)),
                _ => {}
            }
        }
    }
}
