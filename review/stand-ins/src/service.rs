//! The controllers as separate processes, started by the command of the deploy file, and their users.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::time::Duration;

use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{JobAnswer, JobKind, JobSpec, JobStatus, Priority};
use quartzgate_wire::{from_cbor, to_cbor};
use serde_json::{json, Value};

use crate::net::{free_addr, proxy, serve, Client, Cut};
use crate::state::StateService;
use crate::world::{lock, on_cloud_request, Shared, Site, World};

const NODES: usize = 3;

/// Settings of a deployment beyond what the stand-ins need.
pub struct Facts {
    pub site: Site,
    pub teams: Value,
    pub cancel_s: f64,
    pub state: Value,
    pub cloud: Value,
    pub resources: Value,
}

/// All processes and stand-ins of a case. The controllers are killed when it is dropped.
pub struct Service {
    pub world: Shared,
    pub state: StateService,
    pub clients: Vec<SocketAddr>,
    program: Vec<String>,
    folder: PathBuf,
    cuts: Vec<Cut>,
    children: Vec<Option<Child>>,
    user: Client,
    at: usize,
}

impl Service {
    pub fn start(run: &str, folder: &Path, record: &Path, facts: Facts) -> Service {
        let addrs: Vec<(SocketAddr, SocketAddr)> =
            (0..NODES).map(|_| (free_addr(), free_addr())).collect();
        let clients: Vec<SocketAddr> = addrs.iter().map(|(client, _)| *client).collect();
        let world = World::new(facts.site.clone(), record, clients.clone());
        let state = StateService::start();
        let (state_listener, cloud_listener) = (listener(), listener());
        let state_addr = state_listener.local_addr().expect("a bound address");
        let cloud = cloud_listener.local_addr().expect("a bound address").to_string();
        let handler = state.clone();
        serve(state_listener, move |request| handler.handle(&request));
        let handler = world.clone();
        serve(cloud_listener, move |request| on_cloud_request(&handler, &request));
        let cuts: Vec<Cut> = (0..NODES).map(|_| Cut::default()).collect();
        let zone = |node: usize| facts.site.zones[node % 2];
        for node in 0..NODES {
            let link = |other: usize| {
                proxy(addrs[other].1, vec![cuts[node].clone(), cuts[other].clone()]).to_string()
            };
            let siblings: Vec<Value> = (0..NODES)
                .filter(|other| *other != node)
                .map(|other| json!({"node": format!("host-{other}"), "domain": zone(other), "addr": link(other)}))
                .collect();
            let outside = json!({
                "state": proxy(state_addr, vec![cuts[node].clone()]).to_string(),
                "cloud": cloud,
            });
            let site = &facts.site;
            let settings = json!({
                "node": format!("host-{node}"), "domain": zone(node),
                "client_listen": addrs[node].0.to_string(), "mesh_addr": addrs[node].1.to_string(),
                "siblings": siblings, "outside": outside,
                "facts": {
                    "count": NODES, "zones": site.zones, "teams": facts.teams, "objectives": [],
                    "workers": {
                        "report_s": site.report_ms as f64 / 1e3, "lease_s": site.lease_ms as f64 / 1e3,
                        "gang_wait_s": site.gang_wait_ms as f64 / 1e3, "gang_peer_s": site.gang_peer_ms as f64 / 1e3,
                        "cancel_s": facts.cancel_s
                    },
                    "state": facts.state, "cloud": facts.cloud, "resources": facts.resources,
                    "clock_off_ms": 250.0
                }
            });
            std::fs::write(folder.join(format!("settings-{node}.json")), settings.to_string())
                .expect("settings are written");
        }
        let mut service = Service {
            world,
            state,
            clients,
            program: run.split_whitespace().map(String::from).collect(),
            folder: folder.to_path_buf(),
            cuts,
            children: (0..NODES).map(|_| None).collect(),
            user: Client::default(),
            at: 0,
        };
        (0..NODES).for_each(|node| service.start_node(node));
        service
    }

    pub fn start_node(&mut self, node: usize) {
        let log = self.folder.join(format!("host-{node}.log"));
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let child = Command::new(&self.program[0])
            .args(&self.program[1..])
            .arg(self.folder.join(format!("settings-{node}.json")))
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the controller starts");
        lock(&self.world).note(format!("host-{node} is started"));
        // For the script, should it have to end this program.
        let pids = File::options().create(true).append(true).open(self.folder.join("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        self.children[node] = Some(child);
    }

    /// Kills a controller's process, without a signal that it could handle.
    pub fn kill_node(&mut self, node: usize) {
        if let Some(mut child) = self.children[node].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        lock(&self.world).note(format!("DISRUPTION: host-{node} is killed"));
    }

    /// Cuts a controller off from the state service and the other controllers, or ends the cut.
    /// Users, workers and the cloud reach it as before.
    pub fn cut(&self, node: usize, on: bool) {
        self.cuts[node].store(on, Ordering::SeqCst);
        let what = if on { "is cut from" } else { "reaches" };
        self.note(format!(
            "DISRUPTION: host-{node} {what} the state service and the other controllers"
        ));
    }

    /// Makes a user's request at one controller, on a connection of its own.
    pub fn request_at(&mut self, node: usize, method: &str, target: &str) -> Option<Response> {
        (self.at, self.user) = (node, Client::default());
        self.request(method, target, &[], Duration::from_secs(5))
    }

    /// Returns whether all controllers run.
    pub fn all_run(&mut self) -> bool {
        self.children
            .iter_mut()
            .all(|child| child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None))))
    }

    /// Returns the controller that leads, by the service's own key.
    pub fn leader(&self) -> Option<usize> {
        let value = self.state.value("view/leader")?.into_map().ok()?;
        let node = value.into_iter().find(|(key, _)| key.as_text() == Some("node"))?.1;
        node.as_text()?.strip_prefix("host-")?.parse().ok()
    }

    /// Makes a user's request. The load balancer gives each new connection to a node that accepts
    /// it; the connection stays open until it fails.
    pub fn request(
        &mut self,
        method: &str,
        target: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Option<Response> {
        let answer = self.user.call(self.clients[self.at], method, target, body, timeout);
        let status = answer.as_ref().map_or("no answer".into(), |answer| answer.status.to_string());
        let told = answer.as_ref().and_then(|answer| from_cbor::<JobAnswer>(&answer.body).ok());
        let told = told.map(|told| {
            format!(" {:?} done {:?} running {:?}", told.status, told.done, told.running)
        });
        let at = self.at;
        lock(&self.world).note(format!(
            "user at host-{at}: {method} {target} -> {status}{}",
            told.unwrap_or_default()
        ));
        if answer.is_none() {
            self.user.close();
            self.at = (self.at + 1) % self.clients.len();
        }
        answer
    }

    /// Submits a job, again after a second or as told, for up to 60 s. Returns the status.
    pub fn submit(&mut self, spec: &JobSpec, run_s: f64) -> Option<u16> {
        {
            let mut world = lock(&self.world);
            world.jobs.insert(spec.id.clone(), spec.clone());
            world.run_s.insert(spec.id.clone(), run_s);
        }
        for _ in 0..20 {
            match self.request("POST", "/api/jobs", &to_cbor(spec), Duration::from_secs(5)) {
                Some(answer) if matches!(answer.status, 200 | 201 | 400 | 422) => {
                    return Some(answer.status)
                }
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
        }
        None
    }

    pub fn status(&mut self, job: &str) -> Option<JobStatus> {
        let answer =
            self.request("GET", &format!("/api/jobs/{job}"), &[], Duration::from_secs(2))?;
        from_cbor::<JobAnswer>(&answer.body)
            .ok()
            .filter(|_| answer.status == 200)
            .map(|answer| answer.status)
    }

    /// Waits until a condition holds; returns whether it did in time.
    pub fn wait(&self, seconds: f64, holds: impl Fn(&World) -> bool) -> bool {
        let steps = (seconds / 0.02) as u32;
        for _ in 0..steps {
            if holds(&lock(&self.world)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        holds(&lock(&self.world))
    }

    pub fn note(&self, text: impl AsRef<str>) {
        lock(&self.world).note(text);
    }

    pub fn now_s(&self) -> f64 {
        lock(&self.world).now_ms() as f64 / 1e3
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free loopback port")
}

/// A job of the given form; the caller changes what its case needs.
pub fn job(
    id: &str,
    team: &str,
    kind: JobKind,
    priority: Priority,
    tasks: u32,
    cpus: f64,
) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "review".into(),
        team: team.into(),
        kind,
        priority,
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 3.0,
        image: "img-review".into(),
        image_gb: 0.1,
        types: None,
        zone: None,
        together: false,
        spread: false,
        spot: false,
        estimate_s: if kind == JobKind::Service { 0.0 } else { 30.0 },
        checkpoint_interval_s: 0.0,
        checkpoint_cost_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}
