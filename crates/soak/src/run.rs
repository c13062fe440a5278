//! One run: its processes, its stand-ins, its faults and its checks.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use quartzgate_wire::from_cbor;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::controllers::{Controller, ControllerError};
use crate::http::{self, Connection};
use crate::mesh_proxy::{self, Link};
use crate::schedule::{self, Fault, FaultKind};
use crate::seeds::SeedRange;
use crate::settings::{ControllerAddresses, MEMORY_MB};
use crate::world::{ActiveFault, SharedWorld, World};
use crate::{cloud, state_service, users, workers};

/// Time before the first fault, in which the controllers elect a leader and activate features.
const SETTLE_MS: u64 = 6_000;
/// Interval of the checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long metrics may take.
const METRICS_TIMEOUT: Duration = Duration::from_secs(2);
/// One run out of so many has five controllers.
const FIVE_CONTROLLERS_EVERY: u64 = 5;
/// One run out of so many has a large fleet.
const LARGE_FLEET_EVERY: u64 = 4;
/// Workers of a large fleet, and of an ordinary one.
const LARGE_FLEET: std::ops::RangeInclusive<usize> = 200..=300;
const ORDINARY_FLEET: std::ops::RangeInclusive<usize> = 8..=20;
/// Idle machines of a large fleet are kept for so many times their boot time.
const KEEP_IDLE_RATIO: f64 = 10_000.0;
/// The same for an ordinary fleet, whose machines come and go.
const RELEASE_IDLE_RATIO: f64 = 0.5;
/// Metric of refusals past the stated limit.
const OVERDUE_METRIC: &str = "unanswered_overdue";

/// Why a run could not be made.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A controller could not be started.
    #[error(transparent)]
    Controller(#[from] ControllerError),
    /// A socket, a file or a thread could not be had.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// The harness was asked to stop.
    #[error("interrupted")]
    Interrupted,
    /// A run's thread panicked.
    #[error("a run broke off")]
    Panicked,
}

/// What all runs of a call have in common.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The controller program.
    pub controller: PathBuf,
    /// Folder for the logs of failed runs.
    pub logs: PathBuf,
    /// How long faults are injected.
    pub fault_ms: u64,
    /// How long nothing fails after them.
    pub calm_ms: u64,
}

/// What came of a run.
#[derive(Debug)]
pub struct RunOutcome {
    /// Its seed.
    pub seed: u64,
    /// Number of controllers.
    pub nodes: usize,
    /// Number of workers at the beginning.
    pub workers: usize,
    /// Number of faults.
    pub faults: usize,
    /// Number of jobs that were submitted.
    pub jobs: usize,
    /// Number of tasks that were started.
    pub starts: u64,
    /// Number of answers to status queries.
    pub answers: u64,
    /// Longest time without an answer, faults over.
    pub longest_unanswered_ms: u64,
    /// Starts after a confirmed cancellation, within what is allowed.
    pub starts_after_cancel: u64,
    /// Most memory that a controller took.
    pub memory_mb: f64,
    /// Violations of invariants.
    pub violations: Vec<String>,
    /// Where the logs are; removed if nothing was violated.
    pub folder: PathBuf,
}

/// Makes the runs of all seeds, so many at a time. The outcomes are in the order of the seeds.
pub fn run_seeds(
    options: &RunOptions,
    seeds: SeedRange,
    jobs: usize,
) -> Result<Vec<RunOutcome>, RunError> {
    let waiting: Arc<Mutex<VecDeque<u64>>> =
        Arc::new(Mutex::new((seeds.first..=seeds.last).collect()));
    let threads: Vec<_> = (0..jobs)
        .map(|_| {
            let (options, waiting) = (options.clone(), waiting.clone());
            std::thread::spawn(move || run_waiting(&options, &waiting))
        })
        .collect();
    let mut outcomes = Vec::new();
    for thread in threads {
        outcomes.extend(thread.join().map_err(|_| RunError::Panicked)??);
    }
    outcomes.sort_by_key(|outcome| outcome.seed);
    Ok(outcomes)
}

fn run_waiting(
    options: &RunOptions,
    waiting: &Mutex<VecDeque<u64>>,
) -> Result<Vec<RunOutcome>, RunError> {
    let mut outcomes = Vec::new();
    loop {
        let next = waiting.lock().map_err(|_| RunError::Panicked)?.pop_front();
        let Some(seed) = next else { return Ok(outcomes) };
        let outcome = run_seed(options, seed)?;
        let result = if outcome.violations.is_empty() { "ok" } else { "VIOLATED" };
        eprintln!("seed {seed}: {result}");
        outcomes.push(outcome);
    }
}

fn run_seed(options: &RunOptions, seed: u64) -> Result<RunOutcome, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| RunError::Io { what: "starting a run", source })?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        tokio::select! {
            outcome = Run::prepare(options, seed) => outcome,
            _ = tokio::signal::ctrl_c() => Err(RunError::Interrupted),
        }
    })
}

/// What a seed determines before anything is started.
struct Plan {
    seed: u64,
    nodes: usize,
    workers: usize,
    faults: Vec<Fault>,
}

impl Plan {
    fn draw(options: &RunOptions, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = if seed.is_multiple_of(FIVE_CONTROLLERS_EVERY) { 5 } else { 3 };
        let fleet = match seed.is_multiple_of(LARGE_FLEET_EVERY) {
            true => LARGE_FLEET,
            false => ORDINARY_FLEET,
        };
        let workers = rng.random_range(fleet);
        let faults = schedule::draw(&mut rng, nodes, SETTLE_MS, SETTLE_MS + options.fault_ms);
        Plan { seed, nodes, workers, faults }
    }

    fn is_large(&self) -> bool {
        self.workers >= *LARGE_FLEET.start()
    }

    /// Printed before the run begins.
    fn print(&self) {
        let head =
            format!("seed {}: {} controllers, {} workers", self.seed, self.nodes, self.workers);
        let faults: Vec<String> = self.faults.iter().map(|fault| format!("\n  {fault}")).collect();
        eprintln!("{head}{}", faults.concat());
    }
}

/// A run in progress.
struct Run {
    plan: Plan,
    world: SharedWorld,
    controllers: Vec<Controller>,
    meshes: Vec<SocketAddr>,
    folder: PathBuf,
}

impl Run {
    async fn prepare(options: &RunOptions, seed: u64) -> Result<RunOutcome, RunError> {
        let plan = Plan::draw(options, seed);
        plan.print();
        let folder = options.logs.join(format!("{}-seed-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder)
            .map_err(|source| RunError::Io { what: "creating the folder for logs", source })?;
        let addresses = RunAddresses::of(seed);
        let clients = free_addresses(addresses.controllers, plan.nodes).await?;
        let meshes = free_addresses(addresses.controllers_mesh, plan.nodes).await?;
        let ip = addresses.stand_ins;
        let world = Rc::new(RefCell::new(World::new(seed, ip, clients.clone())));
        let mut controllers = Vec::new();
        let idle_ratio = if plan.is_large() { KEEP_IDLE_RATIO } else { RELEASE_IDLE_RATIO };
        for (node, clients) in clients.iter().enumerate() {
            let addresses = serve_controller(&world, ip, node, *clients, &meshes).await?;
            let (count, program) = (plan.nodes, &options.controller);
            let controller =
                Controller::start(node, count, &addresses, program, &folder, idle_ratio)?;
            controllers.push(controller);
        }
        for n in 0..plan.workers {
            workers::boot(&world, workers::zone_in_turn(n), false, 0).await;
        }
        let run = Run { plan, world, controllers, meshes, folder };
        run.play(options).await
    }

    async fn play(mut self, options: &RunOptions) -> Result<RunOutcome, RunError> {
        let faults_over_ms = SETTLE_MS + options.fault_ms + RESTART_SLACK_MS;
        let end_ms = faults_over_ms + options.calm_ms;
        let submit_until_ms = faults_over_ms + options.calm_ms / 3;
        tokio::task::spawn_local(state_service::expire_leases(self.world.clone()));
        tokio::task::spawn_local(users::submit_jobs(self.world.clone(), submit_until_ms));
        tokio::task::spawn_local(users::query_jobs(self.world.clone()));
        tokio::task::spawn_local(users::look_closely(self.world.clone()));
        let mut pending: VecDeque<Fault> = self.plan.faults.iter().copied().collect();
        let mut undo: Vec<(u64, Undo)> = Vec::new();
        loop {
            sleep(CHECK_INTERVAL / 5).await;
            let now_ms = self.world.borrow().now_ms();
            while pending.front().is_some_and(|fault| fault.start_ms <= now_ms) {
                if let Some(fault) = pending.pop_front() {
                    self.begin(fault, &mut undo).await;
                }
            }
            for (_, undone) in undo.extract_if(.., |(due_ms, _)| *due_ms <= now_ms) {
                self.undo(undone)?;
            }
            if now_ms >= faults_over_ms {
                self.world.borrow_mut().history.faults_over_ms.get_or_insert(now_ms);
            }
            self.check(now_ms);
            if now_ms >= end_ms {
                break;
            }
        }
        self.check_metrics().await;
        self.finish().await
    }

    async fn begin(&mut self, fault: Fault, undo: &mut Vec<(u64, Undo)>) {
        let node = self.node_of(fault.kind);
        match fault.kind {
            FaultKind::Kill { .. } => {
                let node = node.unwrap_or(0);
                self.controllers[node].kill().await;
                undo.push((fault.end_ms(), Undo::Restart(node)));
            }
            FaultKind::KillAll { .. } => {
                for node in 0..self.plan.nodes {
                    self.controllers[node].kill().await;
                    undo.push((fault.end_ms(), Undo::Restart(node)));
                }
            }
            FaultKind::Pause { .. } => {
                let node = node.unwrap_or(0);
                self.controllers[node].set_paused(true);
                undo.push((fault.end_ms(), Undo::Continue(node)));
            }
            FaultKind::CancelBurst => users::cancel_burst(&self.world),
            _ => {
                let mut world = self.world.borrow_mut();
                let salt = world.rng.random();
                let (kind, until_ms) = (fault.kind, fault.end_ms());
                world.faults.push(ActiveFault { kind, node, until_ms, salt });
            }
        }
    }

    fn node_of(&self, kind: FaultKind) -> Option<usize> {
        let target = match kind {
            FaultKind::Kill { target, .. }
            | FaultKind::Pause { target }
            | FaultKind::CutStore { target, .. }
            | FaultKind::CutMesh { target, .. }
            | FaultKind::CutWorkers { target } => target,
            _ => return None,
        };
        Some(self.world.borrow_mut().resolve(target))
    }

    fn undo(&mut self, undone: Undo) -> Result<(), RunError> {
        match undone {
            Undo::Restart(node) => self.controllers[node].restart_if_down()?,
            Undo::Continue(node) => self.controllers[node].set_paused(false),
        }
        Ok(())
    }

    fn check(&mut self, now_ms: u64) {
        let mut world = self.world.borrow_mut();
        for controller in &mut self.controllers {
            if let Some(what) = controller.ended_by_itself() {
                world.history.record_violation(now_ms, what);
            }
            controller.observe_memory_mb();
        }
        world.history.check_cancelled_tasks(now_ms);
        if world.history.faults_over_ms.is_some() {
            let free_cpus = world.machines.values().map(|machine| machine.free_cpus());
            let free_cpus = free_cpus.fold(0.0, f64::max);
            world.history.check_waiting_jobs(now_ms, free_cpus);
        }
    }

    /// The controllers' own check of the answers that they gave.
    async fn check_metrics(&mut self) {
        for (node, addr) in self.meshes.iter().enumerate() {
            let mut connection = Connection::default();
            let response = connection.call(*addr, "GET", "/metrics", &[], METRICS_TIMEOUT).await;
            let metrics = response.and_then(|response| {
                from_cbor::<std::collections::BTreeMap<String, f64>>(&response.body).ok()
            });
            let overdue = metrics.as_ref().and_then(|metrics| metrics.get(OVERDUE_METRIC));
            let mut world = self.world.borrow_mut();
            let now_ms = world.now_ms();
            let found = match (&metrics, overdue) {
                (_, Some(0.0)) => continue,
                (_, Some(n)) => format!("host-{node} refused overdue jobs {n} times"),
                (Some(_), None) => format!("host-{node} has no metric {OVERDUE_METRIC}"),
                (None, None) => format!("host-{node} gave no metrics"),
            };
            world.history.record_violation(now_ms, found);
        }
    }

    async fn finish(mut self) -> Result<RunOutcome, RunError> {
        let mut memory_mb = 0.0f64;
        for controller in &mut self.controllers {
            memory_mb = memory_mb.max(controller.observe_memory_mb());
            controller.kill().await;
        }
        let mut world = self.world.borrow_mut();
        world.ended = true;
        let now_ms = world.now_ms();
        world.history.end_run(now_ms);
        if memory_mb > MEMORY_MB {
            world.history.record_violation(now_ms, format!("a controller took {memory_mb:.0} MB"));
        }
        let history = std::mem::take(&mut world.history);
        let outcome = RunOutcome {
            seed: self.plan.seed,
            nodes: self.plan.nodes,
            workers: self.plan.workers,
            faults: self.plan.faults.len(),
            jobs: history.jobs.len(),
            starts: history.starts,
            answers: history.answers,
            longest_unanswered_ms: history.longest_unanswered_ms,
            starts_after_cancel: history.starts_after_cancel,
            memory_mb,
            violations: history.violations,
            folder: self.folder.clone(),
        };
        keep_or_remove(&self.folder, &outcome);
        Ok(outcome)
    }
}

/// Logs of a run without violations are removed.
fn keep_or_remove(folder: &Path, outcome: &RunOutcome) {
    if outcome.violations.is_empty() {
        // What is left behind is in the way of nothing.
        let _ = std::fs::remove_dir_all(folder);
    } else {
        let _ = std::fs::write(folder.join("violations.txt"), outcome.violations.join("\n"));
    }
}

/// What ends a fault that is not over by itself.
enum Undo {
    Restart(usize),
    Continue(usize),
}

/// Time after the last fault until the processes that it killed are up again.
const RESTART_SLACK_MS: u64 = 3_500;

/// Addresses of the loopback range for one run. Runs don't share any, and no stand-in can take a
/// port of a controller that is down.
struct RunAddresses {
    controllers: IpAddr,
    controllers_mesh: IpAddr,
    stand_ins: IpAddr,
}

impl RunAddresses {
    fn of(seed: u64) -> Self {
        // Any address of 127.0.0.0/8 but the first network, which others use.
        let second = (std::process::id() % 250 + 1) as u8;
        let third = (seed % 250) as u8;
        let fourth = (seed / 250 % 60) as u8 * 4;
        let address = |n| IpAddr::V4(Ipv4Addr::new(127, second, third, fourth + n));
        RunAddresses {
            controllers: address(1),
            controllers_mesh: address(2),
            stand_ins: address(3),
        }
    }
}

/// Addresses at which nothing listens.
async fn free_addresses(ip: IpAddr, count: usize) -> Result<Vec<SocketAddr>, RunError> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(listen(ip).await?);
    }
    listeners.iter().map(address_of).collect()
}

async fn listen(ip: IpAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind((ip, 0))
        .await
        .map_err(|source| RunError::Io { what: "listening on loopback", source })
}

fn address_of(listener: &TcpListener) -> Result<SocketAddr, RunError> {
    listener.local_addr().map_err(|source| RunError::Io { what: "finding a port", source })
}

/// Starts the stand-ins as one controller sees them.
async fn serve_controller(
    world: &SharedWorld,
    ip: IpAddr,
    node: usize,
    clients: SocketAddr,
    meshes: &[SocketAddr],
) -> Result<ControllerAddresses, RunError> {
    let state_listener = listen(ip).await?;
    let state = address_of(&state_listener)?;
    let shared = world.clone();
    let on_state = move |request| state_service::handle(shared.clone(), node, request);
    tokio::task::spawn_local(http::serve(state_listener, on_state));
    let cloud_listener = listen(ip).await?;
    let cloud = address_of(&cloud_listener)?;
    let shared = world.clone();
    let on_cloud = move |request| cloud::handle(shared.clone(), request);
    tokio::task::spawn_local(http::serve(cloud_listener, on_cloud));
    let mut siblings = Vec::new();
    for (to, addr) in meshes.iter().enumerate().filter(|(to, _)| *to != node) {
        let listener = listen(ip).await?;
        siblings.push((to, address_of(&listener)?));
        let link = Link { from: node, to, addr: *addr };
        tokio::task::spawn_local(mesh_proxy::serve(world.clone(), listener, link));
    }
    Ok(ControllerAddresses { clients, mesh: meshes[node], state, cloud, siblings })
}
