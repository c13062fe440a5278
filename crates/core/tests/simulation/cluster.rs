//! An in-memory cluster: controllers, state service, cloud, workers and users that share one
//! simulated clock and a network that delays, loses, holds and reorders messages.
//!
//! The cluster tracks the actual state of every task and checks the invariants at every task
//! start, every write and every answer. It records each violation instead of failing immediately,
//! so that a test reports all of them. All random numbers derive from the seed.

mod clock;
mod cloud;
mod controllers;
mod faults;
mod invariants;
mod network;
mod state_service;
mod users;
mod workers;

pub use cloud::{MACHINE_TYPE, SECOND_MACHINE_TYPE};
pub use faults::{Milestone, RandomDelay, ReachedMilestone, UnansweredWrite, WriteFault};
pub use network::{Endpoint, LinkFault};
pub use state_service::{LateRefusal, StateLimits, ThrottledKey};
pub use users::spec_without_field;
pub use workers::{InboundLoss, MidCallHang, Worker};

use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::ops::RangeInclusive;

use clock::ScheduledEvent;
use controllers::ControllerProcess;
use faults::CapturedCall;
use invariants::{AbortConfirmation, SentStart, StartAfterAbort};
use network::{FaultyLink, HeldCall, Requester};
use quartzgate_feature_gates::GateTable;
use quartzgate_wire::msg::{JobKind, JobSpec, JobStatus, Priority};
use quartzgate_wire::settings::Platform;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use state_service::StateService;
use users::UserRequest;
use workers::TaskStart;

/// Configured interval between a worker's heartbeats.
pub const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
/// Configured duration of a worker's lease.
pub const WORKER_LEASE_MS: u64 = 8_000;
/// Time after a confirmed abort within which the job's tasks must have ended.
pub const ABORT_DEADLINE_MS: u64 = 24_000;
/// Memory of each machine.
const MEMORY_GB: f64 = 32.0;

/// The simulated cluster: its processes, its injected faults and what its users have observed.
pub struct Cluster {
    pub seed: u64,
    rng: SmallRng,

    // The clock.
    pub now: u64,
    queue: BinaryHeap<ScheduledEvent>,
    last_sequence: u64,

    // The controllers.
    nodes: Vec<Option<ControllerProcess>>,
    /// Number of times that each controller has been started.
    incarnations: Vec<u32>,
    /// Revision of the state service at which each controller was last started.
    started_at_revision: Vec<u64>,
    /// 1 if worker clocks run 0.05% slow and controller clocks deviate by up to 0.05%, else 0.
    clock_skew: u64,

    // Settings of the controllers.
    team_cpu_limit: f64,
    pub team_gpu_limit: f64,
    /// Future limits of the state service that the settings announce.
    pub announced_limits: Option<serde_json::Value>,
    /// Configured maximum value size of the state service; `None` keeps the one of `platform`.
    pub max_value_kb: Option<f64>,
    /// Controllers that agree to no format after the first, like the first released version.
    pub first_version_controllers: BTreeSet<usize>,
    /// Feature tables of controllers that run another build.
    pub feature_tables: BTreeMap<usize, &'static GateTable>,
    /// Features that the operator settings of a controller withhold.
    pub withheld_features: BTreeMap<usize, Vec<String>>,
    /// Number of controllers in a controller's settings, where it differs from the actual number.
    pub configured_controller_count: BTreeMap<usize, usize>,
    /// Stores all small jobs in batch records, not only while the write budget is scarce.
    pub batch_small_jobs: bool,
    /// Keeps idle machines instead of returning them to the cloud.
    pub keep_idle_machines: bool,

    // The state service.
    pub state: StateService,
    /// Controller that sent the activation that is being applied.
    activation_writer: Option<usize>,

    // The network.
    link_faults: Vec<FaultyLink>,
    held_calls: Vec<HeldCall>,
    pub message_loss: f64,
    pub max_delay_ms: u64,
    pending_requests: HashMap<(usize, u32, u64), Requester>,
    next_request: u64,

    // The cloud.
    next_machine: u32,
    /// The cloud rejects provisioning requests with 503.
    pub scale_out_disabled: bool,
    /// Zones in which the cloud rejects provisioning requests with 503.
    pub zones_without_machines: BTreeSet<String>,
    /// The cloud rejects the return of machines with 503.
    pub scale_in_disabled: bool,
    /// Machines that the cloud's machine list omits.
    pub unlisted_machines: BTreeSet<String>,
    /// Range of the boot time of provisioned machines.
    pub boot_ms: RangeInclusive<u64>,
    /// Time after its boot at which a machine appears in the cloud's machine list.
    pub list_lag_ms: u64,
    /// Number of successful provisioning requests whose answers are still to be dropped.
    pub lost_provision_answers: u32,
    /// Machines that each provisioning request was given, by idempotency key.
    provision_answers: BTreeMap<String, Vec<String>>,
    /// GPUs of each machine.
    pub machine_gpus: f64,
    /// The cloud publishes a second machine type.
    pub offers_second_machine_type: bool,

    // The workers.
    pub workers: BTreeMap<String, Worker>,
    /// Run time of tasks, by the name of the task or of its job.
    pub task_duration_ms: BTreeMap<String, u64>,
    /// Rate at which a machine fetches images, shared by its concurrent fetches; `None` makes
    /// images available immediately.
    pub fetch_gb_per_s: Option<f64>,
    /// Jobs whose tasks fail on every machine, with the number of failures so far.
    pub failing_jobs: BTreeMap<String, u32>,
    /// Machines whose heartbeats are lost while orders still reach them.
    pub lost_heartbeats: BTreeSet<String>,
    /// Machines whose heartbeats arrive while messages to them are lost.
    pub inbound_loss: BTreeMap<String, InboundLoss>,
    /// Number of starts lost on the way to each machine of `inbound_loss`.
    pub lost_starts: BTreeMap<String, u32>,
    /// Share and delay of heartbeats that are delivered again later, at a random controller.
    pub duplicate_heartbeats: Option<RandomDelay>,
    /// Share and delay of commands that are delivered a second time, directly and by a relay.
    pub duplicate_commands: Option<RandomDelay>,
    /// Number of commands that were delivered a second time.
    pub duplicated_commands: u64,
    /// Keeps all calls that carry starts.
    pub captures_starts: bool,
    captured_starts: Vec<CapturedCall>,
    /// Number of commands without orders that workers received.
    pub empty_commands: u64,
    /// Share of heartbeats that are stored and replayed to every controller when a new leader is
    /// elected.
    pub stale_heartbeat_share: f64,
    /// Controllers that are cut off from all workers in both directions.
    pub cut_from_all_workers: BTreeSet<usize>,
    /// Number of heartbeats that were answered with a redirect.
    pub redirects: u64,
    stale_heartbeats: Vec<Vec<u8>>,
    /// Time after which a worker whose redirect names no other controller tries the next one;
    /// `None` waits until its next heartbeat.
    pub redirect_delay_ms: Option<u64>,

    // The users, and the actual state that the invariants are checked against.
    pub user_requests: Vec<UserRequest>,
    /// Specs of the jobs that were submitted.
    pub jobs: BTreeMap<String, JobSpec>,
    /// Status of each accepted job in the latest answer to a user; a terminal status is final.
    pub observed_status: BTreeMap<String, JobStatus>,
    /// Indices of the tasks of each job that have completed.
    pub completed_tasks: BTreeMap<String, BTreeSet<u32>>,
    /// All starts of each task that did not fail immediately, in order.
    pub task_starts: BTreeMap<String, Vec<TaskStart>>,
    /// Time at which a user was first told that a job is aborted.
    pub abort_confirmed_at: BTreeMap<String, u64>,
    abort_confirmed_by: BTreeSet<AbortConfirmation>,
    /// Jobs whose abort was requested, whether or not the request succeeded.
    abort_requested: BTreeSet<String>,
    /// When the start of each attempt left the leader.
    starts_sent: BTreeMap<SentStart, u64>,
    /// Start orders that were sent after a user had been told that the job is aborted.
    pub starts_after_abort: Vec<StartAfterAbort>,
    /// Submissions that must be refused, with the expected status code.
    must_refuse: BTreeMap<String, u16>,
    /// Users query all controllers and submit again within milliseconds of a change of a job.
    pub query_on_change: bool,
    /// Users query all jobs every few seconds while a test waits for jobs to start.
    pub polls_jobs: bool,
    /// Controllers that shed load: they reject user queries and submissions.
    pub shedding_controllers: BTreeSet<usize>,
    /// Share of jobs that are aborted at the moment when their last task completes.
    pub abort_at_completion: f64,
    pub milestones: Vec<ReachedMilestone>,
    pub violations: Vec<String>,
}

impl Cluster {
    /// Starts `nodes` controllers and `workers` machines of 8 CPUs in alternating zones. The team
    /// may use `team_cpu_limit` CPUs; 0 means unlimited.
    pub fn new(nodes: usize, workers: usize, team_cpu_limit: f64, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            seed,
            rng: SmallRng::seed_from_u64(seed),
            now: 1,
            queue: BinaryHeap::new(),
            last_sequence: 0,
            nodes: Vec::new(),
            incarnations: vec![0; nodes],
            started_at_revision: vec![0; nodes],
            clock_skew: seed % 2,
            team_cpu_limit,
            team_gpu_limit: 0.0,
            announced_limits: None,
            max_value_kb: None,
            first_version_controllers: BTreeSet::new(),
            feature_tables: BTreeMap::new(),
            withheld_features: BTreeMap::new(),
            configured_controller_count: BTreeMap::new(),
            batch_small_jobs: false,
            keep_idle_machines: false,
            state: StateService::default(),
            activation_writer: None,
            link_faults: Vec::new(),
            held_calls: Vec::new(),
            message_loss: 0.0,
            max_delay_ms: 4,
            pending_requests: HashMap::new(),
            next_request: 1,
            next_machine: 0,
            scale_out_disabled: true,
            zones_without_machines: BTreeSet::new(),
            scale_in_disabled: false,
            unlisted_machines: BTreeSet::new(),
            boot_ms: 3_000..=3_000,
            list_lag_ms: 0,
            lost_provision_answers: 0,
            provision_answers: BTreeMap::new(),
            machine_gpus: 0.0,
            offers_second_machine_type: false,
            workers: BTreeMap::new(),
            task_duration_ms: BTreeMap::new(),
            fetch_gb_per_s: None,
            failing_jobs: BTreeMap::new(),
            lost_heartbeats: BTreeSet::new(),
            inbound_loss: BTreeMap::new(),
            lost_starts: BTreeMap::new(),
            duplicate_heartbeats: None,
            duplicate_commands: None,
            duplicated_commands: 0,
            captures_starts: false,
            captured_starts: Vec::new(),
            empty_commands: 0,
            stale_heartbeat_share: 0.0,
            cut_from_all_workers: BTreeSet::new(),
            redirects: 0,
            stale_heartbeats: Vec::new(),
            redirect_delay_ms: None,
            user_requests: Vec::new(),
            jobs: BTreeMap::new(),
            observed_status: BTreeMap::new(),
            completed_tasks: BTreeMap::new(),
            task_starts: BTreeMap::new(),
            abort_confirmed_at: BTreeMap::new(),
            abort_confirmed_by: BTreeSet::new(),
            abort_requested: BTreeSet::new(),
            starts_sent: BTreeMap::new(),
            starts_after_abort: Vec::new(),
            must_refuse: BTreeMap::new(),
            query_on_change: false,
            polls_jobs: false,
            shedding_controllers: BTreeSet::new(),
            abort_at_completion: 0.0,
            milestones: Vec::new(),
            violations: Vec::new(),
        };
        for node in 0..nodes {
            cluster.nodes.push(None);
            cluster.start_controller(node);
        }
        for _ in 0..workers {
            cluster.add_worker();
        }
        cluster
    }

    /// Starts three controllers and `workers` machines, and runs them until all features are
    /// activated and for `settle_ms` more.
    pub fn activated(workers: usize, team_cpu_limit: f64, seed: u64, settle_ms: u64) -> Cluster {
        let mut cluster = Cluster::new(3, workers, team_cpu_limit, seed);
        cluster.run_until_fully_activated();
        cluster.run_for_ms(settle_ms);
        cluster
    }
}

/// Returns the platform settings of one controller.
fn platform(node: usize, nodes: usize, team_cpu_limit: f64) -> Platform {
    let siblings: Vec<_> = (0..nodes)
        .filter(|n| *n != node)
        .map(|n| {
            serde_json::json!({
                "node": format!("n{n}"), "domain": "a", "addr": format!("10.0.0.{}:81", n + 1)
            })
        })
        .collect();
    serde_json::from_value(serde_json::json!({
        "node": format!("n{node}"), "domain": "a",
        "client_listen": format!("10.0.0.{}:80", node + 1),
        "mesh_addr": format!("10.0.0.{}:81", node + 1),
        "siblings": siblings,
        "outside": {"cloud": "10.1.0.1:1", "state": "10.1.0.2:1"},
        "facts": {
            "count": nodes, "zones": ["a", "b"],
            "teams": [{
                "name": "t", "cpus": 0.0, "cpus_max": team_cpu_limit, "gpus": 0.0, "gpus_max": 0.0
            }],
            "objectives": [],
            "workers": {
                "report_s": HEARTBEAT_INTERVAL_MS as f64 / 1e3,
                "lease_s": WORKER_LEASE_MS as f64 / 1e3,
                "gang_wait_s": 20.0, "gang_peer_s": 3.0,
                "cancel_s": ABORT_DEADLINE_MS as f64 / 1e3
            },
            "state": {"rps": 200.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 8.0, "list_lag_s": 2.0},
            "resources": {"cpu_share": 0.1, "mem_mb": 64.0, "max_sockets": 500},
            "clock_off_ms": 100.0
        }
    }))
    .unwrap()
}

/// Returns the spec of a job whose tasks each need half of a machine's CPUs.
pub fn job(id: &str, kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        kind,
        priority: if kind == JobKind::Service { Priority::Production } else { Priority::Normal },
        tasks,
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 4.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        together: false,
        spread: false,
        spot: true,
        estimate_s: 5.0,
        checkpoint_interval_s: 0.0,
        checkpoint_cost_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Returns the spec with the given dependencies.
pub fn with_dependencies(mut spec: JobSpec, dependencies: &[&str]) -> JobSpec {
    spec.dependencies = dependencies.iter().map(|id| id.to_string()).collect();
    spec
}

/// Returns the id of the n-th job.
pub fn job_id(n: u32) -> String {
    format!("wk-{n:06}")
}

/// Returns the name of the n-th machine.
pub fn machine_name(n: usize) -> String {
    format!("vm-{n:06}")
}

/// Returns the id of the job that a task belongs to, derived from the task's name.
fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or("", |(job, _)| job)
}
