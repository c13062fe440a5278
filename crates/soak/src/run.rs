//! Runs of the harness: start the processes and stand-ins, inject the faults and check invariants.

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

/// Time before the first fault, during which the controllers elect a leader and activate features.
const SETTLE_MS: u64 = 6_000;
/// Five times the period of the main loop, which injects faults and checks invariants.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a request for a controller's metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(2);
/// Runs whose seed is a multiple of this number have five controllers instead of three.
const FIVE_CONTROLLERS_EVERY: u64 = 5;
/// Runs whose seed is a multiple of this number have a large fleet.
const LARGE_FLEET_EVERY: u64 = 4;
/// Number of workers of a large fleet.
const LARGE_FLEET: std::ops::RangeInclusive<usize> = 200..=300;
/// Number of workers of an ordinary fleet.
const ORDINARY_FLEET: std::ops::RangeInclusive<usize> = 8..=20;
/// Idle ratio for a large fleet: idle machines are kept for this multiple of their boot time.
const KEEP_IDLE_RATIO: f64 = 10_000.0;
/// Idle ratio for an ordinary fleet, whose machines are released and provisioned during a run.
const RELEASE_IDLE_RATIO: f64 = 0.5;
/// Ports of the controllers, below the range from which the system takes ephemeral ports.
const CONTROLLER_PORTS: std::ops::Range<u16> = 21_000..21_200;
/// Metric that counts the status queries refused past the stated limit of unanswered time.
const OVERDUE_METRIC: &str = "unanswered_overdue";

/// Error that prevents a run from being carried out.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A controller could not be started.
    #[error(transparent)]
    Controller(#[from] ControllerError),
    /// A socket, file or runtime could not be created or used.
    #[error("{operation}: {source}")]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// The error that the operating system returned.
        source: io::Error,
    },
    /// The user interrupted the harness.
    #[error("interrupted")]
    Interrupted,
    /// The thread of a run panicked.
    #[error("the thread of a run panicked")]
    Panicked,
}

/// Options that all runs of an invocation share.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Path of the controller program.
    pub controller: PathBuf,
    /// Directory for the logs of failed runs.
    pub logs: PathBuf,
    /// Duration of the fault phase.
    pub fault_ms: u64,
    /// Duration of the phase without faults that follows the fault phase.
    pub calm_ms: u64,
}

/// Results of a run.
#[derive(Debug)]
pub struct RunOutcome {
    /// Seed of the run.
    pub seed: u64,
    /// Number of controllers.
    pub nodes: usize,
    /// Number of workers at the start.
    pub workers: usize,
    /// Number of scheduled faults.
    pub faults: usize,
    /// Number of submitted jobs.
    pub jobs: usize,
    /// Number of task starts.
    pub starts: u64,
    /// Number of status queries that were answered with a job's state.
    pub answers: u64,
    /// Longest time for which one controller left a job's queries unanswered after the faults.
    pub longest_unanswered_ms: u64,
    /// Number of task starts after the job's cancellation was confirmed, including allowed ones.
    pub starts_after_cancel: u64,
    /// Largest resident memory sampled of any controller.
    pub memory_mb: f64,
    /// Descriptions of violated invariants.
    pub violations: Vec<String>,
    /// Directory of the logs; it is removed if no invariant was violated.
    pub folder: PathBuf,
}

/// Carries out the runs of all seeds, `jobs` of them concurrently. Returns the outcomes sorted by
/// seed.
pub fn run_seeds(
    options: &RunOptions,
    seeds: SeedRange,
    jobs: usize,
) -> Result<Vec<RunOutcome>, RunError> {
    let pending_seeds: Arc<Mutex<VecDeque<u64>>> =
        Arc::new(Mutex::new((seeds.first..=seeds.last).collect()));
    let threads: Vec<_> = (0..jobs)
        .map(|_| {
            let (options, pending_seeds) = (options.clone(), pending_seeds.clone());
            std::thread::spawn(move || run_pending_seeds(&options, &pending_seeds))
        })
        .collect();
    let mut outcomes = Vec::new();
    for thread in threads {
        outcomes.extend(thread.join().map_err(|_| RunError::Panicked)??);
    }
    outcomes.sort_by_key(|outcome| outcome.seed);
    Ok(outcomes)
}

fn run_pending_seeds(
    options: &RunOptions,
    pending_seeds: &Mutex<VecDeque<u64>>,
) -> Result<Vec<RunOutcome>, RunError> {
    let mut outcomes = Vec::new();
    loop {
        let next = pending_seeds.lock().map_err(|_| RunError::Panicked)?.pop_front();
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
        .map_err(|source| RunError::Io { operation: "building the runtime of a run", source })?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        tokio::select! {
            outcome = Run::execute(options, seed) => outcome,
            _ = tokio::signal::ctrl_c() => Err(RunError::Interrupted),
        }
    })
}

/// The parameters of a run that its seed determines before any process is started.
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

    /// Prints the plan to standard error; called before the run begins.
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
    mesh_addresses: Vec<SocketAddr>,
    folder: PathBuf,
}

impl Run {
    /// Starts the stand-ins, controllers and workers of a seed, then carries out the run.
    async fn execute(options: &RunOptions, seed: u64) -> Result<RunOutcome, RunError> {
        let plan = Plan::draw(options, seed);
        plan.print();
        let folder = options.logs.join(format!("{}-seed-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|source| RunError::Io {
            operation: "creating the directory for logs",
            source,
        })?;
        let addresses = RunAddresses::for_seed(seed);
        let client_addresses = free_addresses(addresses.controllers, plan.nodes).await?;
        let mesh_addresses = free_addresses(addresses.controllers_mesh, plan.nodes).await?;
        let ip = addresses.stand_ins;
        let world = Rc::new(RefCell::new(World::new(seed, ip, client_addresses.clone())));
        let mut controllers = Vec::new();
        let idle_ratio = if plan.is_large() { KEEP_IDLE_RATIO } else { RELEASE_IDLE_RATIO };
        for (node, client_address) in client_addresses.iter().enumerate() {
            let addresses =
                serve_stand_ins(&world, ip, node, *client_address, &mesh_addresses).await?;
            let (count, program) = (plan.nodes, &options.controller);
            let controller =
                Controller::start(node, count, &addresses, program, &folder, idle_ratio)?;
            controllers.push(controller);
        }
        for n in 0..plan.workers {
            workers::boot(&world, workers::round_robin_zone(n), false, 0).await;
        }
        let run = Run { plan, world, controllers, mesh_addresses, folder };
        run.inject_and_check(options).await
    }

    /// Injects the faults and checks the invariants until the run ends.
    async fn inject_and_check(mut self, options: &RunOptions) -> Result<RunOutcome, RunError> {
        let faults_over_ms = SETTLE_MS + options.fault_ms + RESTART_SLACK_MS;
        let end_ms = faults_over_ms + options.calm_ms;
        let submit_until_ms = faults_over_ms + options.calm_ms / 3;
        tokio::task::spawn_local(state_service::expire_leases(self.world.clone()));
        tokio::task::spawn_local(users::submit_jobs(self.world.clone(), submit_until_ms));
        tokio::task::spawn_local(users::query_jobs(self.world.clone()));
        tokio::task::spawn_local(users::query_newest_jobs(self.world.clone()));
        let mut pending: VecDeque<Fault> = self.plan.faults.iter().copied().collect();
        let mut undo_actions: Vec<(u64, UndoAction)> = Vec::new();
        loop {
            sleep(CHECK_INTERVAL / 5).await;
            let now_ms = self.world.borrow().now_ms();
            while pending.front().is_some_and(|fault| fault.start_ms <= now_ms) {
                if let Some(fault) = pending.pop_front() {
                    self.inject(fault, &mut undo_actions).await;
                }
            }
            for (_, action) in undo_actions.extract_if(.., |(due_ms, _)| *due_ms <= now_ms) {
                self.undo(action)?;
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

    async fn inject(&mut self, fault: Fault, undo_actions: &mut Vec<(u64, UndoAction)>) {
        let node = self.node_of(fault.kind);
        match fault.kind {
            FaultKind::Kill { .. } => {
                let node = node.unwrap_or(0);
                self.controllers[node].kill().await;
                undo_actions.push((fault.end_ms(), UndoAction::Restart(node)));
            }
            FaultKind::KillAll { .. } => {
                for node in 0..self.plan.nodes {
                    self.controllers[node].kill().await;
                    undo_actions.push((fault.end_ms(), UndoAction::Restart(node)));
                }
            }
            FaultKind::Pause { .. } => {
                let node = node.unwrap_or(0);
                self.controllers[node].set_paused(true);
                undo_actions.push((fault.end_ms(), UndoAction::Resume(node)));
            }
            FaultKind::CancelBurst => users::cancel_burst(&self.world),
            FaultKind::CancelWaiting => users::cancel_waiting(&self.world),
            FaultKind::SubmitBurst => users::submit_burst(&self.world),
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
        Some(self.world.borrow_mut().resolve_target(target))
    }

    fn undo(&mut self, action: UndoAction) -> Result<(), RunError> {
        match action {
            UndoAction::Restart(node) => self.controllers[node].restart_if_down()?,
            UndoAction::Resume(node) => self.controllers[node].set_paused(false),
        }
        Ok(())
    }

    fn check(&mut self, now_ms: u64) {
        let mut world = self.world.borrow_mut();
        for controller in &mut self.controllers {
            if let Some(description) = controller.unexpected_exit() {
                world.history.record_violation(now_ms, description);
            }
            controller.sample_peak_memory_mb();
        }
        world.history.check_cancelled_tasks(now_ms);
        if world.history.faults_over_ms.is_some() {
            let free_cpus = world.machines.values().map(|machine| machine.free_cpus());
            let free_cpus = free_cpus.fold(0.0, f64::max);
            world.history.check_waiting_jobs(now_ms, free_cpus);
        }
    }

    /// Checks that no controller has counted a query as unanswered past the stated limit.
    async fn check_metrics(&mut self) {
        for (node, addr) in self.mesh_addresses.iter().enumerate() {
            let mut connection = Connection::default();
            let response = connection.call(*addr, "GET", "/metrics", &[], METRICS_TIMEOUT).await;
            let metrics = response.and_then(|response| {
                from_cbor::<std::collections::BTreeMap<String, f64>>(&response.body).ok()
            });
            let overdue = metrics.as_ref().and_then(|metrics| metrics.get(OVERDUE_METRIC));
            let mut world = self.world.borrow_mut();
            let now_ms = world.now_ms();
            let description = match (&metrics, overdue) {
                (_, Some(0.0)) => continue,
                (_, Some(n)) => {
                    format!("host-{node} refused status queries past the limit {n} times")
                }
                (Some(_), None) => format!("host-{node} has no metric {OVERDUE_METRIC}"),
                (None, None) => format!("host-{node} served no metrics"),
            };
            world.history.record_violation(now_ms, description);
        }
    }

    async fn finish(mut self) -> Result<RunOutcome, RunError> {
        let mut memory_mb = 0.0f64;
        for controller in &mut self.controllers {
            memory_mb = memory_mb.max(controller.sample_peak_memory_mb());
            controller.kill().await;
        }
        let mut world = self.world.borrow_mut();
        world.ended = true;
        let now_ms = world.now_ms();
        world.history.end_run(now_ms);
        if memory_mb > MEMORY_MB {
            world
                .history
                .record_violation(now_ms, format!("a controller used {memory_mb:.0} MB of memory"));
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
        keep_logs_if_violated(&self.folder, &outcome);
        Ok(outcome)
    }
}

/// Writes the violations of a run beside its logs, or removes the logs if there are none.
fn keep_logs_if_violated(folder: &Path, outcome: &RunOutcome) {
    if outcome.violations.is_empty() {
        // A directory that cannot be removed does no harm.
        let _ = std::fs::remove_dir_all(folder);
    } else {
        let _ = std::fs::write(folder.join("violations.txt"), outcome.violations.join("\n"));
    }
}

/// Action that ends a fault which does not end by itself.
enum UndoAction {
    Restart(usize),
    Resume(usize),
}

/// Time after the fault phase within which the last killed controllers are restarted.
const RESTART_SLACK_MS: u64 = 3_500;

/// Loopback addresses of one run. Runs share no address, and the stand-ins have one of their own,
/// so that no stand-in can take the port of a controller that is down.
struct RunAddresses {
    controllers: IpAddr,
    controllers_mesh: IpAddr,
    stand_ins: IpAddr,
}

impl RunAddresses {
    fn for_seed(seed: u64) -> Self {
        // Addresses of 127.0.0.0/8 outside 127.0.0.0/16, which other programs use.
        let second = (std::process::id() % 250 + 1) as u8;
        let third = (seed % 250) as u8;
        let fourth = (seed / 250 % 60) as u8 * 4;
        let address = |offset| IpAddr::V4(Ipv4Addr::new(127, second, third, fourth + offset));
        RunAddresses {
            controllers: address(1),
            controllers_mesh: address(2),
            stand_ins: address(3),
        }
    }
}

/// Returns `count` addresses on which nothing listens once the function has returned. Their ports
/// are none that the system gives to other sockets before the controllers listen.
async fn free_addresses(ip: IpAddr, count: usize) -> Result<Vec<SocketAddr>, RunError> {
    let mut listeners = Vec::new();
    for port in CONTROLLER_PORTS {
        if listeners.len() < count {
            listeners.extend(TcpListener::bind((ip, port)).await);
        }
    }
    if listeners.len() < count {
        let source = io::Error::from(io::ErrorKind::AddrInUse);
        return Err(RunError::Io { operation: "finding free ports for the controllers", source });
    }
    listeners.iter().map(address_of).collect()
}

async fn listen(ip: IpAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind((ip, 0))
        .await
        .map_err(|source| RunError::Io { operation: "listening on loopback", source })
}

fn address_of(listener: &TcpListener) -> Result<SocketAddr, RunError> {
    listener
        .local_addr()
        .map_err(|source| RunError::Io { operation: "reading the address of a listener", source })
}

/// Starts one controller's listeners of the state service and the cloud, and its proxies to the
/// other controllers.
async fn serve_stand_ins(
    world: &SharedWorld,
    ip: IpAddr,
    node: usize,
    clients: SocketAddr,
    mesh_addresses: &[SocketAddr],
) -> Result<ControllerAddresses, RunError> {
    let state_listener = listen(ip).await?;
    let state = address_of(&state_listener)?;
    let shared = world.clone();
    let handle_state_request = move |request| state_service::handle(shared.clone(), node, request);
    tokio::task::spawn_local(http::serve(state_listener, handle_state_request));
    let cloud_listener = listen(ip).await?;
    let cloud = address_of(&cloud_listener)?;
    let shared = world.clone();
    let handle_cloud_request = move |request| cloud::handle(shared.clone(), request);
    tokio::task::spawn_local(http::serve(cloud_listener, handle_cloud_request));
    let mut siblings = Vec::new();
    for (to, addr) in mesh_addresses.iter().enumerate().filter(|(to, _)| *to != node) {
        let listener = listen(ip).await?;
        siblings.push((to, address_of(&listener)?));
        let link = Link { from: node, to, addr: *addr };
        tokio::task::spawn_local(mesh_proxy::serve(world.clone(), listener, link));
    }
    Ok(ControllerAddresses { clients, mesh: mesh_addresses[node], state, cloud, siblings })
}
