//! The cases. Each sets up a small deployment, brings about its disruption unless `trouble` is
//! false, and judges by what users, workers and the cloud see.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use quartzgate_wire::msg::{JobKind, JobSpec, Priority};

use crate::site::{array, Site};
use crate::world::{could_not_run, Shared, World};

/// Bound of the pages: no job is left waiting for this long while a machine that fits has room and
/// its team is under its limit.
const MAX_WAIT_S: f64 = 90.0;

pub fn run(case: &str, root: PathBuf, folder: &Path, trouble: bool) -> ! {
    let world = |site: Site| World::new(site, root.clone(), folder);
    match case {
        "backlog" => backlog(world(Site::matbaa()), trouble),
        "limit" => limit(world(limit_site()), trouble),
        "history" => history(world(Site::beanpost()), trouble),
        "memory" => memory(world(Site::dundee_whole()), trouble),
        "report" => report(world(Site::dundee()), trouble),
        _ => {
            eprintln!("no such case: {case}");
            std::process::exit(2)
        }
    }
}

fn number_running(world: &World, job: &str) -> usize {
    world.lock().machines.values().filter(|m| m.is_up()).map(|m| m.running_of(job)).sum()
}

fn wait_until_running(world: &World, job: &str, tasks: usize, limit_s: f64) {
    let limit = Duration::from_secs_f64(limit_s);
    if !world.wait_for(limit, || number_running(world, job) >= tasks) {
        could_not_run(world, &format!("{job} did not start in the undisturbed deployment"));
    }
    world.note(&format!("{job}: {tasks} tasks run"));
}

/// Takes away the cheap machines of a zone, as a wave of the cloud does, without a notice.
fn take_zone(world: &World, zone: &str) {
    let taken: Vec<String> = {
        let inner = world.lock();
        let cheap = inner.machines.values().filter(|m| m.zone == zone && m.spot && m.is_up());
        cheap.map(|m| m.name.clone()).collect()
    };
    taken.iter().for_each(|name| world.remove_machine(name));
}

/// Submits a job that fits machines with room, and checks that one of its tasks starts within
/// [`MAX_WAIT_S`].
fn judge_wait(world: &Shared, spec: &JobSpec, run_s: f64) -> ! {
    world.submit(spec, run_s);
    let accepted = Instant::now();
    let started = || !world.lock().jobs[&spec.id].starts.is_empty();
    let mut roomless_s: f64 = 0.0;
    let mut next_poll = Instant::now();
    let mut node = 0;
    while accepted.elapsed().as_secs_f64() < MAX_WAIT_S + 1.0 {
        std::thread::sleep(Duration::from_millis(100));
        if started() {
            world.note(&format!(
                "{} starts {:.1} s after it was accepted",
                spec.id,
                accepted.elapsed().as_secs_f64()
            ));
            world.finish(0);
        }
        let site = &world.site;
        let has_room = {
            let inner = world.lock();
            inner.machines.values().any(|m| {
                m.is_up()
                    && m.fits(site, spec)
                    && (spec.spot || !m.spot)
                    && spec.zone.as_ref().is_none_or(|zone| *zone == m.zone)
            })
        };
        if !has_room {
            roomless_s += 0.1;
        }
        if Instant::now() >= next_poll {
            next_poll = Instant::now() + Duration::from_secs(5);
            world.poll(node % site.nodes.len(), &spec.id);
            node += 1;
        }
    }
    if let Some(node) = world.ended_by_itself() {
        world.note(&format!("host-{node} ended by itself"));
    }
    if roomless_s > 0.0 {
        could_not_run(world, "no machine had room for the judged job all the time");
    }
    world.note(&format!(
        "{}: no task started for {MAX_WAIT_S} s, a machine that fits had room all the time",
        spec.id
    ));
    world.finish(1)
}

/// Keeps a machine of a zone in use, so that it is not returned as idle.
fn run_service(world: &World, id: &str, (class, team): (&str, &str), cpus: f64, zone: &str) {
    let service = JobSpec {
        kind: JobKind::Service,
        priority: Priority::Production,
        spot: false,
        estimate_s: 0.0,
        zone: Some(zone.into()),
        image: "img-02".into(),
        ..array(id, class, team, 1, cpus, 3.9)
    };
    world.submit(&service, 0.0);
    wait_until_running(world, id, 1, 20.0);
}

/// A job bound to one zone loses its machines; another job could run in the other zone.
fn backlog(world: Shared, trouble: bool) -> ! {
    world.add_machine("grand-poste", "fes-zone", false, 0.0);
    for zone in ["casa-zone", "casa-zone", "fes-zone", "fes-zone"] {
        world.add_machine("grand-poste", zone, true, 0.0);
    }
    world.start_controllers();
    run_service(&world, "wk-000009", ("order-desk", "atelier-team"), 2.0, "fes-zone");
    let bound = JobSpec {
        zone: Some("casa-zone".into()),
        estimate_s: 40.0,
        ..array("wk-000001", "proof-build", "atelier-team", 8, 4.0, 13.0)
    };
    world.submit(&bound, 40.0);
    wait_until_running(&world, &bound.id, 8, 20.0);
    if trouble {
        take_zone(&world, "casa-zone");
        // The controllers learn of it from the silence and from the cloud's list.
        std::thread::sleep(Duration::from_secs(11));
    }
    let free = JobSpec {
        estimate_s: 40.0,
        ..array("wk-000002", "proof-build", "atelier-team", 4, 4.0, 13.0)
    };
    judge_wait(&world, &free, 5.0)
}

/// The roaster cluster in small: one team's limit is what its job in one zone asks for.
fn limit_site() -> Site {
    let teams = serde_json::json!([
        {"name": "fulfilment-crew", "cpus": 16.0, "cpus_max": 64.0},
        {"name": "data-crew", "cpus": 16.0, "cpus_max": 32.0},
    ]);
    Site { teams, ..Site::beanpost() }
}

/// A job bound to one zone loses its machines; another job of the same team could run in the other
/// zone, where the team uses nothing.
fn limit(world: Shared, trouble: bool) -> ! {
    for zone in ["lowland-zone", "highland-zone"] {
        world.add_machine("big-drum", zone, true, 0.0);
    }
    for _ in 0..2 {
        world.add_machine("big-drum", "highland-zone", false, 0.0);
    }
    world.start_controllers();
    run_service(&world, "wk-000009", ("storefront", "fulfilment-crew"), 4.0, "highland-zone");
    let bound = JobSpec {
        zone: Some("lowland-zone".into()),
        ..array("wk-000001", "roast-plan", "data-crew", 8, 4.0, 13.0)
    };
    world.submit(&bound, 20.0);
    wait_until_running(&world, &bound.id, 8, 20.0);
    if trouble {
        take_zone(&world, "lowland-zone");
        // The controllers learn of it from the silence and from the cloud's list.
        std::thread::sleep(Duration::from_secs(10));
    }
    let free = array("wk-000002", "roast-plan", "data-crew", 4, 4.0, 13.0);
    judge_wait(&world, &free, 5.0)
}

/// Run time of a small task: longer than a lease and the time between two reports.
const SMALL_TASK_S: f64 = 40.0;

/// More small tasks on a machine than its worker's report may name.
fn report(world: Shared, trouble: bool) -> ! {
    world.add_machine("conche-rack", "tay-zone", false, 0.0);
    world.start_controllers();
    run_service(&world, "wk-000009", ("bar-shop", "cacao-crew"), 1.0, "tay-zone");
    let cpus = if trouble { 0.035 } else { 0.25 };
    for n in 1..=2 {
        let id = format!("wk-00000{n}");
        let job = array(&id, "wrapper-print", "cacao-crew", 1000, cpus, 0.05);
        world.submit(&job, SMALL_TASK_S);
    }
    let begun = Instant::now();
    let done = || -> usize {
        let inner = world.lock();
        ["wk-000001", "wk-000002"].iter().map(|job| inner.jobs[*job].completed.len()).sum()
    };
    while begun.elapsed().as_secs_f64() < MAX_WAIT_S {
        std::thread::sleep(Duration::from_secs(2));
        let on: usize = world.lock().machines.values().map(|m| m.live_tasks()).sum();
        world.note(&format!("{on} tasks on machines, {} done", done()));
    }
    for job in ["wk-000001", "wk-000002", "wk-000009"] {
        world.poll(0, job);
    }
    let killed: u32 = world.lock().machines.values().map(|m| m.tasks_lost).sum();
    let refused: u32 = world.lock().machines.values().map(|m| m.refused_413).sum();
    world.note(&format!(
        "{} tasks of {SMALL_TASK_S} s are done after {MAX_WAIT_S} s; {refused} reports were refused with 413, \
         expired leases killed {killed} tasks",
        done()
    ));
    world.finish(if done() == 0 { 1 } else { 0 })
}

/// Number of jobs that have ended in the past.
const PAST_JOBS: u64 = 10_000_000;

/// A controller crashes after the service has run for long.
fn history(world: Shared, trouble: bool) -> ! {
    for zone in ["lowland-zone", "highland-zone"] {
        world.add_machine("big-drum", zone, false, 0.0);
    }
    world.start_controllers();
    run_service(&world, "wk-000009", ("storefront", "fulfilment-crew"), 4.0, "highland-zone");
    let first = array("wk-000001", "renewal-run", "billing-crew", 4, 4.0, 14.0);
    world.submit(&first, 1.0);
    let done = || world.lock().jobs[&first.id].completed.len() == 4;
    if !world.wait_for(Duration::from_secs(15), done) {
        could_not_run(&world, "the first job did not complete");
    }
    std::thread::sleep(Duration::from_secs(2));
    {
        let mut inner = world.lock();
        let value = inner.store.value(&format!("jobs/{}", first.id)).cloned();
        let Some(value) = value else { could_not_run(&world, "the job left no record") };
        world.note_in(
            &mut inner,
            &format!(
                "from now on the state service keeps {PAST_JOBS} past jobs, each as {value:?}"
            ),
        );
        inner.history = Some(crate::world::History { count: PAST_JOBS, value });
    }
    if trouble {
        let Some(leader) = world.leader() else { could_not_run(&world, "no controller leads") };
        world.kill_controller(leader);
        std::thread::sleep(Duration::from_secs(3));
        world.start_controller(leader);
        std::thread::sleep(Duration::from_secs(3));
    }
    let next = array("wk-000002", "renewal-run", "billing-crew", 4, 4.0, 14.0);
    judge_wait(&world, &next, 1.0)
}

/// Number of jobs that each later job waits for.
const PREREQS: usize = 850;
/// Largest number of jobs that wait for them.
const DEPENDENTS: usize = 1_200;
/// Number of users' connections.
const USERS: usize = 60;
/// How long users go on after the first controller has ended.
const LAST_SUBMISSIONS_S: f64 = 3.0;
/// Bound of the pages: a job about which no question is answered for this long counts as forgotten.
const FORGOTTEN_S: f64 = 75.0;

/// Jobs that wait for many others.
fn memory(world: Shared, trouble: bool) -> ! {
    world.add_machine("copper-pot", "tay-zone", false, 0.0);
    world.start_controllers();
    run_service(&world, "wk-000009", ("bar-shop", "cacao-crew"), 32.0, "tay-zone");
    let ends = Arc::new(Mutex::new(Vec::new()));
    world.enforce_memory(ends.clone());
    let name = |n: usize| format!("wk-{:06}", 1000 + n);
    let first: Vec<JobSpec> = (0..PREREQS)
        .map(|n| JobSpec {
            priority: Priority::High,
            ..array(&name(n), "tempering-plan", "cacao-crew", 2, 1.0, 1.7)
        })
        .collect();
    let prereqs = if trouble { PREREQS } else { 1 };
    let later: Vec<JobSpec> = (PREREQS..PREREQS + DEPENDENTS)
        .map(|n| JobSpec {
            dependencies: (0..prereqs).map(name).collect(),
            ..array(&name(n), "wrapper-print", "cacao-crew", 2, 1.0, 1.1)
        })
        .collect();
    let limit_s = 40.0;
    let goes_on = {
        let (world, ends) = (world.clone(), ends.clone());
        move || {
            let first_end = ends.lock().expect("no thread panics").first().copied();
            world.now_s() < first_end.map_or(limit_s, |end| end + LAST_SUBMISSIONS_S)
        }
    };
    let sent = submit_all(&world, first, goes_on.clone());
    if sent.len() < PREREQS {
        could_not_run(&world, "the first jobs were not accepted in time");
    }
    world.note(&format!("{PREREQS} jobs are accepted; memory {:.1?} MB", world.memory_mb()));
    let accepted = submit_all(&world, later, goes_on);
    let Some(judged) = accepted.first() else { could_not_run(&world, "no later job is accepted") };
    let submitted_s = world.now_s();
    world.note(&format!(
        "no more submissions, {} later jobs are accepted; memory {:.1?} MB",
        accepted.len(),
        world.memory_mb()
    ));
    let nodes = world.site.nodes.len();
    let (mut answered_s, mut others_answered) = (submitted_s, 0);
    while world.now_s() < submitted_s + FORGOTTEN_S + 1.0 && world.now_s() < 117.0 {
        for node in 0..nodes {
            let (status, _) = world.poll(node, judged);
            if matches!(status, 200 | 404) {
                answered_s = world.now_s();
            }
            let (status, _) = world.poll(node, &name(0));
            others_answered += u32::from(status == 200);
        }
        world.note(&format!("memory {:.1?} MB", world.memory_mb()));
        if answered_s > submitted_s + 20.0 {
            break;
        }
        std::thread::sleep(Duration::from_secs(5));
    }
    let ends = ends.lock().expect("no thread panics").clone();
    let later_ends = ends.iter().filter(|at| **at > submitted_s).count();
    let unanswered_s = world.now_s() - answered_s;
    world.note(&format!(
        "{} controllers ended for memory, {later_ends} of them after the last submission; no question \
         about {judged} was answered for the last {unanswered_s:.1} s, {others_answered} about another \
         job were",
        ends.len()
    ));
    world.finish(if unanswered_s >= FORGOTTEN_S { 1 } else { 0 })
}

/// Submits jobs over several connections, for as long as `goes_on` holds. Returns the names of the
/// accepted ones.
fn submit_all(
    world: &Shared,
    mut jobs: Vec<JobSpec>,
    goes_on: impl Fn() -> bool + Clone + Send + 'static,
) -> Vec<String> {
    jobs.reverse();
    let jobs = Arc::new(Mutex::new(jobs));
    let accepted = Arc::new(Mutex::new(Vec::new()));
    let users: Vec<_> = (0..USERS)
        .map(|_| {
            let (world, jobs, accepted) = (world.clone(), jobs.clone(), accepted.clone());
            let goes_on = goes_on.clone();
            std::thread::spawn(move || loop {
                let next = jobs.lock().expect("no thread panics").pop();
                let Some(job) = next.filter(|_| goes_on()) else { return };
                while goes_on() {
                    if world.try_submit(&job, 20.0, 1) {
                        accepted.lock().expect("no thread panics").push(job.id.clone());
                        break;
                    }
                }
            })
        })
        .collect();
    users.into_iter().for_each(|user| user.join().expect("no thread panics"));
    let accepted = accepted.lock().expect("no thread panics").clone();
    accepted
}
