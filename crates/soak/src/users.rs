//! Simulated users of a run, who submit, resubmit, query and cancel jobs at all controllers,
//! continuously and also during faults.

use std::net::SocketAddr;
use std::time::Duration;

use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{JobAnswer, JobKind, JobSpec, Priority};
use quartzgate_wire::{from_cbor, to_cbor};
use rand::Rng;
use tokio::time::sleep;

use crate::checks::{JobHistory, QueryOutcome, ReportedState};
use crate::http::Connection;
use crate::settings::TEAM;
use crate::world::{SharedWorld, World};

/// How long a user waits for the answer to a status query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a user waits for the answer to any other request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before a request is retried.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// How long a user retries a request.
const RETRY_LIMIT_MS: u64 = 60_000;
/// Pause between two submissions.
const SUBMIT_PAUSE_MS: std::ops::RangeInclusive<u64> = 300..=1_500;
/// Interval at which each job is queried at each controller.
const QUERY_INTERVAL: Duration = Duration::from_millis(2_500);
/// Interval at which the newest jobs are queried at all controllers.
const NEWEST_JOBS_INTERVAL: Duration = Duration::from_millis(150);
/// Number of newest jobs that are queried at this shorter interval.
const NEWEST_JOBS_QUERIED: usize = 3;
/// Share of jobs that their users cancel.
const CANCELLED_SHARE: f64 = 0.2;
/// Share of jobs that their users submit again later.
const RESUBMITTED_SHARE: f64 = 0.3;
/// Delay after a decided submission before the job is submitted again or cancelled.
const FOLLOW_UP_DELAY_MS: std::ops::RangeInclusive<u64> = 0..=15_000;
/// Maximum number of jobs that a burst of cancellations cancels.
const CANCEL_BURST_JOBS: usize = 8;
/// Number of jobs in a burst of submissions: several times what the team may run at once.
const SUBMIT_BURST_JOBS: usize = 60;
/// Number of waiting jobs that are cancelled while the leader is isolated.
const CANCEL_WAITING_JOBS: usize = 30;
/// Pause between two of these cancellations.
const CANCEL_WAITING_PAUSE: Duration = Duration::from_millis(50);
/// Upper limit of a task's estimated run time, in seconds.
const MAX_RUN_S: f64 = 12.0;
/// Share of jobs that are services.
const SERVICE_SHARE: f64 = 0.05;

/// Submits new jobs at random intervals until `until_ms`.
pub async fn submit_jobs(world: SharedWorld, until_ms: u64) {
    loop {
        let pause_ms = {
            let mut world = world.borrow_mut();
            if world.now_ms() > until_ms {
                return;
            }
            world.rng.random_range(SUBMIT_PAUSE_MS)
        };
        sleep(Duration::from_millis(pause_ms)).await;
        submit_new_job(&world);
    }
}

/// Submits a new job.
fn submit_new_job(world: &SharedWorld) {
    let spec = {
        let mut world = world.borrow_mut();
        world.jobs_created += 1;
        let number = world.jobs_created;
        draw_job(&mut world, number)
    };
    world.borrow_mut().history.on_submitted(spec.clone());
    tokio::task::spawn_local(submit_and_follow_up(world.clone(), spec));
}

/// Submits more jobs at once than the team may run at the same time.
pub fn submit_burst(world: &SharedWorld) {
    (0..SUBMIT_BURST_JOBS).for_each(|_| submit_new_job(world));
}

fn draw_job(world: &mut World, number: u32) -> JobSpec {
    let rng = &mut world.rng;
    let kind = match rng.random_bool(SERVICE_SHARE) {
        true => JobKind::Service,
        false => JobKind::Array,
    };
    JobSpec {
        id: format!("wk-{number:06}"),
        class: "soak".into(),
        team: TEAM.into(),
        kind,
        priority: if rng.random_bool(0.3) { Priority::High } else { Priority::Normal },
        tasks: rng.random_range(1..=4),
        cpus: f64::from(rng.random_range(1..=3u8)) * 2.0,
        gpus: 0.0,
        memory_gb: 4.0,
        image: "image".into(),
        image_gb: 0.1,
        types: None,
        zone: None,
        together: false,
        spread: false,
        spot: true,
        estimate_s: if kind == JobKind::Service { 0.0 } else { rng.random_range(1.0..MAX_RUN_S) },
        checkpoint_interval_s: 0.0,
        checkpoint_cost_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Submits a job until the submission is decided or the user gives up. After a delay, some jobs are
/// submitted again, and some jobs and all services are cancelled.
async fn submit_and_follow_up(world: SharedWorld, spec: JobSpec) {
    submit_until_decided(&world, &spec).await;
    let (resubmits, cancels, delay_ms) = {
        let rng = &mut world.borrow_mut().rng;
        let (resubmits, cancels) =
            (rng.random_bool(RESUBMITTED_SHARE), rng.random_bool(CANCELLED_SHARE));
        (resubmits, cancels || spec.kind == JobKind::Service, rng.random_range(FOLLOW_UP_DELAY_MS))
    };
    sleep(Duration::from_millis(delay_ms)).await;
    if resubmits {
        submit_until_decided(&world, &spec).await;
    }
    if cancels {
        cancel(world, spec.id).await;
    }
}

/// Returns a random controller and its address.
fn random_node(world: &SharedWorld) -> (usize, SocketAddr) {
    let mut world = world.borrow_mut();
    let nodes = world.nodes();
    let node = world.rng.random_range(0..nodes);
    (node, world.client_addresses[node])
}

/// Retries a submission at random controllers until one of them accepts or refuses the job, or
/// until the user gives up.
async fn submit_until_decided(world: &SharedWorld, spec: &JobSpec) {
    let body = to_cbor(spec);
    let first_sent_ms = world.borrow().now_ms();
    loop {
        let sent_ms = world.borrow().now_ms();
        if sent_ms > first_sent_ms + RETRY_LIMIT_MS {
            return;
        }
        let (_, addr) = random_node(world);
        let mut connection = Connection::default();
        let response = connection.call(addr, "POST", "/api/jobs", &body, REQUEST_TIMEOUT).await;
        let is_decided = response.is_some_and(|response| {
            record_submission_response(&mut world.borrow_mut(), spec, sent_ms, &response)
        });
        if is_decided {
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Records the response to a submission. Returns whether the job is accepted or refused by it.
fn record_submission_response(
    world: &mut World,
    spec: &JobSpec,
    sent_ms: u64,
    response: &Response,
) -> bool {
    let now_ms = world.now_ms();
    match response.status {
        200 | 201 => {
            if let Some(state) = reported_state(response) {
                world.history.on_state_reported(&spec.id, sent_ms, now_ms, state);
            }
            true
        }
        status @ (400 | 422) => {
            world.history.on_submission_refused(&spec.id, sent_ms, now_ms, status);
            true
        }
        _ => false,
    }
}

/// Requests cancellation of a job, and retries until a request succeeds or the user gives up.
async fn cancel(world: SharedWorld, id: String) {
    world.borrow_mut().history.on_cancel_requested(&id);
    let target = format!("/api/jobs/{id}/abort");
    let first_sent_ms = world.borrow().now_ms();
    loop {
        let sent_ms = world.borrow().now_ms();
        if sent_ms > first_sent_ms + RETRY_LIMIT_MS {
            return;
        }
        let (_, addr) = random_node(&world);
        let mut connection = Connection::default();
        let response = connection.call(addr, "POST", &target, &[], REQUEST_TIMEOUT).await;
        if let Some(response) = response.filter(|response| response.status == 200) {
            let mut world = world.borrow_mut();
            let now_ms = world.now_ms();
            if let Some(state) = reported_state(&response) {
                world.history.on_state_reported(&id, sent_ms, now_ms, state);
            }
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Returns the state of a job that a response states, if it states one.
fn reported_state(response: &Response) -> Option<ReportedState> {
    match response.status {
        200 | 201 => {
            let answer = from_cbor::<JobAnswer>(&response.body).ok()?;
            Some(ReportedState::Status(answer.status))
        }
        404 => Some(ReportedState::Unknown),
        _ => None,
    }
}

/// Queries a job's status at one controller and records the outcome.
async fn query(world: SharedWorld, id: String, node: usize) {
    let (sent_ms, addr) = {
        let world = world.borrow();
        (world.now_ms(), world.client_addresses[node])
    };
    let mut connection = Connection::default();
    let target = format!("/api/jobs/{id}");
    let response = connection.call(addr, "GET", &target, &[], QUERY_TIMEOUT).await;
    let mut world = world.borrow_mut();
    let reported = response.as_ref().and_then(reported_state);
    let outcome = QueryOutcome { node, sent_ms, ended_ms: world.now_ms(), reported };
    world.history.on_query_ended(&id, outcome);
}

/// Continuously queries all accepted jobs that are not known to have ended, at every controller.
pub async fn query_jobs(world: SharedWorld) {
    loop {
        let (ids, nodes) = {
            let world = world.borrow();
            (jobs_where(&world, JobHistory::is_polled), world.nodes())
        };
        let queries = (ids.len() * nodes).max(1) as u32;
        for id in &ids {
            for node in 0..nodes {
                tokio::task::spawn_local(query(world.clone(), id.clone(), node));
                sleep(QUERY_INTERVAL / queries).await;
            }
        }
        if ids.is_empty() {
            sleep(QUERY_INTERVAL).await;
        }
    }
}

/// Continuously queries the newest accepted jobs, whatever their state. The queries to all
/// controllers are sent within milliseconds of each other.
pub async fn query_newest_jobs(world: SharedWorld) {
    loop {
        let (ids, nodes) = {
            let world = world.borrow();
            (jobs_where(&world, |job| job.accepted_ms.is_some()), world.nodes())
        };
        for id in ids.iter().rev().take(NEWEST_JOBS_QUERIED) {
            for node in 0..nodes {
                tokio::task::spawn_local(query(world.clone(), id.clone(), node));
            }
        }
        sleep(NEWEST_JOBS_INTERVAL).await;
    }
}

fn jobs_where(world: &World, matches: impl Fn(&JobHistory) -> bool) -> Vec<String> {
    let jobs = world.history.jobs.iter().filter(|(_, job)| matches(job));
    jobs.map(|(id, _)| id.clone()).collect()
}

/// Cancels several open jobs at the same time.
pub fn cancel_burst(world: &SharedWorld) {
    let ids = jobs_where(&world.borrow(), JobHistory::is_open);
    for id in ids.into_iter().take(CANCEL_BURST_JOBS) {
        tokio::task::spawn_local(cancel(world.clone(), id));
    }
}

/// Cancels jobs of which no task has started, the oldest first, one shortly after the other.
pub fn cancel_waiting(world: &SharedWorld) {
    let ids = world.borrow().history.waiting_jobs();
    for (n, id) in (0..).zip(ids.into_iter().take(CANCEL_WAITING_JOBS)) {
        let world = world.clone();
        tokio::task::spawn_local(async move {
            sleep(CANCEL_WAITING_PAUSE * n).await;
            cancel(world, id).await;
        });
    }
}
