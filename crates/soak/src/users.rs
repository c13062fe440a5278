//! The users of a run: they submit, repeat, query and cancel jobs at all controllers, without a
//! pause, through all faults.

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
/// Pause before a request is repeated.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// How long a user repeats a request.
const INSIST_MS: u64 = 60_000;
/// Pause between two submissions.
const SUBMIT_PAUSE_MS: std::ops::RangeInclusive<u64> = 300..=1_500;
/// Interval at which each job is asked about at each controller.
const QUERY_INTERVAL: Duration = Duration::from_millis(2_500);
/// Interval at which the newest jobs are asked about.
const CLOSE_LOOK_INTERVAL: Duration = Duration::from_millis(150);
/// Newest jobs that are asked about again and again.
const CLOSELY_WATCHED: usize = 3;
/// Share of jobs that their users cancel.
const CANCELLED_SHARE: f64 = 0.2;
/// Share of submissions that are repeated later.
const REPEATED_SHARE: f64 = 0.3;
/// How long after its acceptance a job is cancelled, or its submission repeated.
const LATER_MS: std::ops::RangeInclusive<u64> = 0..=15_000;
/// Jobs that a burst of cancellations takes.
const BURST: usize = 8;
/// Longest estimate of a task's run time, in seconds.
const MAX_RUN_S: f64 = 12.0;
/// Share of jobs that are services.
const SERVICE_SHARE: f64 = 0.05;

/// Submits jobs until the run ends.
pub async fn submit_jobs(world: SharedWorld, until_ms: u64) {
    let mut number = 0;
    loop {
        let pause_ms = {
            let mut world = world.borrow_mut();
            if world.now_ms() > until_ms {
                return;
            }
            world.rng.random_range(SUBMIT_PAUSE_MS)
        };
        sleep(Duration::from_millis(pause_ms)).await;
        number += 1;
        let spec = draw_job(&mut world.borrow_mut(), number);
        world.borrow_mut().history.on_submitted(spec.clone());
        tokio::task::spawn_local(insist_on_job(world.clone(), spec));
    }
}

fn draw_job(world: &mut World, number: u32) -> JobSpec {
    let rng = &mut world.rng;
    let shape = match rng.random_bool(SERVICE_SHARE) {
        true => JobKind::Service,
        false => JobKind::Array,
    };
    JobSpec {
        id: format!("wk-{number:06}"),
        class: "soak".into(),
        team: TEAM.into(),
        shape,
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
        estimate_s: if shape == JobKind::Service { 0.0 } else { rng.random_range(1.0..MAX_RUN_S) },
        checkpoint_interval_s: 0.0,
        checkpoint_cost_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Submits a job until it is accepted; perhaps repeats that later, and perhaps cancels it.
async fn insist_on_job(world: SharedWorld, spec: JobSpec) {
    submit_until_accepted(&world, &spec).await;
    let (repeats, cancels, later_ms) = {
        let rng = &mut world.borrow_mut().rng;
        let (repeats, cancels) =
            (rng.random_bool(REPEATED_SHARE), rng.random_bool(CANCELLED_SHARE));
        (repeats, cancels || spec.shape == JobKind::Service, rng.random_range(LATER_MS))
    };
    sleep(Duration::from_millis(later_ms)).await;
    if repeats {
        submit_until_accepted(&world, &spec).await;
    }
    if cancels {
        cancel(world, spec.id).await;
    }
}

/// A controller at random, with its address.
fn any_node(world: &SharedWorld) -> (usize, SocketAddr) {
    let mut world = world.borrow_mut();
    let nodes = world.nodes();
    let node = world.rng.random_range(0..nodes);
    (node, world.clients[node])
}

async fn submit_until_accepted(world: &SharedWorld, spec: &JobSpec) {
    let body = to_cbor(spec);
    let began_ms = world.borrow().now_ms();
    loop {
        let sent_ms = world.borrow().now_ms();
        if sent_ms > began_ms + INSIST_MS {
            return;
        }
        let (_, addr) = any_node(world);
        let mut connection = Connection::default();
        let response = connection.call(addr, "POST", "/api/jobs", &body, REQUEST_TIMEOUT).await;
        let is_decided = response.is_some_and(|response| {
            note_submission(&mut world.borrow_mut(), spec, sent_ms, &response)
        });
        if is_decided {
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Notes the answer to a submission; whether it decides anything.
fn note_submission(world: &mut World, spec: &JobSpec, sent_ms: u64, response: &Response) -> bool {
    let now_ms = world.now_ms();
    match response.status {
        200 | 201 => {
            if let Some(told) = told(response) {
                world.history.on_state_reported(&spec.id, sent_ms, now_ms, told);
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

/// Cancels a job: repeats that until it is answered.
async fn cancel(world: SharedWorld, id: String) {
    world.borrow_mut().history.on_cancel_requested(&id);
    let target = format!("/api/jobs/{id}/abort");
    let began_ms = world.borrow().now_ms();
    loop {
        let sent_ms = world.borrow().now_ms();
        if sent_ms > began_ms + INSIST_MS {
            return;
        }
        let (_, addr) = any_node(&world);
        let mut connection = Connection::default();
        let response = connection.call(addr, "POST", &target, &[], REQUEST_TIMEOUT).await;
        if let Some(response) = response.filter(|response| response.status == 200) {
            let mut world = world.borrow_mut();
            let now_ms = world.now_ms();
            if let Some(told) = told(&response) {
                world.history.on_state_reported(&id, sent_ms, now_ms, told);
            }
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// What an answer says of a job, if it says anything.
fn told(response: &Response) -> Option<ReportedState> {
    match response.status {
        200 | 201 => {
            let answer = from_cbor::<JobAnswer>(&response.body).ok()?;
            Some(ReportedState::Status(answer.status))
        }
        404 => Some(ReportedState::Unknown),
        _ => None,
    }
}

async fn query(world: SharedWorld, id: String, node: usize) {
    let (sent_ms, addr) = {
        let world = world.borrow();
        (world.now_ms(), world.clients[node])
    };
    let mut connection = Connection::default();
    let target = format!("/api/jobs/{id}");
    let response = connection.call(addr, "GET", &target, &[], QUERY_TIMEOUT).await;
    let mut world = world.borrow_mut();
    let told = response.as_ref().and_then(told);
    let answer = QueryOutcome { node, sent_ms, ended_ms: world.now_ms(), reported: told };
    world.history.on_query_ended(&id, answer);
}

/// Asks about every job that has not ended, at every controller, again and again.
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

/// Asks about the newest jobs at all controllers within milliseconds, whatever their state.
pub async fn look_closely(world: SharedWorld) {
    loop {
        let (ids, nodes) = {
            let world = world.borrow();
            (jobs_where(&world, |job| job.accepted_ms.is_some()), world.nodes())
        };
        for id in ids.iter().rev().take(CLOSELY_WATCHED) {
            for node in 0..nodes {
                tokio::task::spawn_local(query(world.clone(), id.clone(), node));
            }
        }
        sleep(CLOSE_LOOK_INTERVAL).await;
    }
}

fn jobs_where(world: &World, holds: impl Fn(&JobHistory) -> bool) -> Vec<String> {
    let jobs = world.history.jobs.iter().filter(|(_, job)| holds(job));
    jobs.map(|(id, _)| id.clone()).collect()
}

/// Cancels several open jobs within a moment.
pub fn cancel_burst(world: &SharedWorld) {
    let ids = jobs_where(&world.borrow(), JobHistory::is_open);
    for id in ids.into_iter().take(BURST) {
        tokio::task::spawn_local(cancel(world.clone(), id));
    }
}
