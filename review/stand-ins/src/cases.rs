//! The cases: what users do, the disruption, and the check of the rule as it is written.

use std::path::Path;
use std::time::{Duration, Instant};

use quartzgate_wire::msg::{JobKind, MachineType, Priority};
use serde_json::json;

use crate::service::{job, Facts, Service};
use crate::world::{add_machine, add_machine_at, lock, Site};
use crate::Verdict;

fn machine_type(
    name: &str,
    cpus: f64,
    memory_gb: f64,
    price: f64,
    boot_s: f64,
    zones: [&str; 2],
) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb,
        cache_gb: 50.0,
        fetch_gb_per_s: 0.8,
        price,
        spot_price: price / 4.0,
        boot_s,
        zones: zones.map(String::from).to_vec(),
    }
}

/// The deployment `beanpost-hosting` in its first size, with one of its machine types.
fn beanpost(boot_ms: u64) -> Facts {
    let zones = ["lowland-zone", "highland-zone"];
    Facts {
        site: Site {
            zones,
            report_ms: 2_000,
            lease_ms: 14_000,
            gang_wait_ms: 45_000,
            gang_peer_ms: 4_000,
            list_lag_ms: 6_000,
            types: vec![machine_type("wee-box", 8.0, 32.0, 0.4, 25.0, zones)],
            boot_ms,
        },
        teams: json!([
            {"name": "billing-crew", "cpus": 128.0, "cpus_max": 424.0, "gpus": 0.0, "gpus_max": 0.0},
            {"name": "fulfilment-crew", "cpus": 208.0, "cpus_max": 592.0, "gpus": 0.0, "gpus_max": 0.0},
            {"name": "data-crew", "cpus": 128.0, "cpus_max": 256.0, "gpus": 0.0, "gpus_max": 0.0}
        ]),
        cancel_s: 39.0,
        state: json!({"rps": 200.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 12}),
        cloud: json!({"rps": 8.0, "list_lag_s": 6.0}),
        resources: json!({"cpu_share": 0.12, "mem_mb": 72.0, "max_sockets": 1500}),
    }
}

/// The deployment `dundee-cacao`, with one of its machine types and three controllers.
fn dundee(boot_ms: u64) -> Facts {
    let zones = ["tay-zone", "fife-zone"];
    Facts {
        site: Site {
            zones,
            report_ms: 4_000,
            lease_ms: 18_000,
            gang_wait_ms: 40_000,
            gang_peer_ms: 5_000,
            list_lag_ms: 3_000,
            types: vec![machine_type("small-pan", 8.0, 64.0, 0.74, 15.0, zones)],
            boot_ms,
        },
        teams: json!([{"name": "cacao-crew", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}]),
        cancel_s: 43.0,
        state: json!({"rps": 200.0, "write_rps": 80.0, "value_kb": 32.0, "txn_ops": 48}),
        cloud: json!({"rps": 5.0, "list_lag_s": 3.0}),
        resources: json!({"cpu_share": 0.32, "mem_mb": 136.0, "max_sockets": 1500}),
    }
}

/// Eight machines, of which one is in the second zone. In the first zone a service fills six, and
/// another leaves six CPUs free on the seventh. Returns that one and the one in the second zone.
fn eight_machines(service: &mut Service, team: &str) -> Result<(String, String), Verdict> {
    let (zones, kind) = {
        let world = lock(&service.world);
        (world.site.zones, world.site.types[0].name.clone())
    };
    let names: Vec<String> = (0..8)
        .map(|n| add_machine(&service.world, &kind, zones[usize::from(n == 7)], -600_000, 0))
        .collect();
    let mut full = job("wk-000001", team, JobKind::Service, Priority::Production, 6, 8.0);
    full.zone = Some(zones[0].into());
    accept(service, &full, 0.0)?;
    let mut shop = job("wk-000002", team, JobKind::Service, Priority::Production, 1, 2.0);
    shop.zone = Some(zones[0].into());
    accept(service, &shop, 0.0)?;
    let run = service.wait(10.0, |world| {
        let full = (0..6).all(|n| !world.machines_with(&format!("wk-000001/{n}")).is_empty());
        full && !world.machines_with("wk-000002/0").is_empty()
    });
    if !run {
        return Err(Verdict::NotRun("the services do not run".into()));
    }
    let kept = lock(&service.world).machines_with("wk-000002/0").remove(0);
    Ok((kept, names[7].clone()))
}

/// Waits until the service accepts a first job, which also shows that a controller leads.
fn accept(
    service: &mut Service,
    spec: &quartzgate_wire::msg::JobSpec,
    run_s: f64,
) -> Result<(), Verdict> {
    match service.submit(spec, run_s) {
        Some(200 | 201) => Ok(()),
        status => Err(Verdict::NotRun(format!("{} is not accepted: {status:?}", spec.id))),
    }
}

/// Case `late-copy`: a copy of a carried out command arrives after a controller was back at once.
pub fn late_copy(run: &str, folder: &Path, record: &Path, trouble: bool) -> Verdict {
    // New machines are up within two seconds.
    let mut service = Service::start(run, folder, record, beanpost(2_000));
    let first = add_machine(&service.world, "wee-box", "lowland-zone", -600_000, 0);
    match late_copy_steps(&mut service, &first, trouble) {
        Ok(verdict) | Err(verdict) => verdict,
    }
}

fn late_copy_steps(service: &mut Service, first: &str, trouble: bool) -> Result<Verdict, Verdict> {
    let not_run = |why: &str| Verdict::NotRun(why.to_string());
    // A long job of normal rank runs on the only machine.
    let long = job("wk-000001", "data-crew", JobKind::Array, Priority::Normal, 1, 4.0);
    accept(service, &long, 40.0)?;
    let task = "wk-000001/0";
    if !service.wait(15.0, |world| world.machines_with(task) == [first]) {
        return Err(not_run("the long job does not run on the first machine"));
    }
    let order = lock(&service.world).machines[first].started_by.get(task).cloned();
    let order = order.ok_or_else(|| not_run("no order started the long job"))?;
    let ordered = Instant::now();
    // An urgent job takes its place; the long job moves to a new machine.
    let urgent = job("wk-000002", "billing-crew", JobKind::Array, Priority::High, 1, 8.0);
    accept(service, &urgent, 5.0)?;
    let moved = service.wait(15.0, |world| {
        let on = world.machines_with(task);
        on.len() == 1 && on[0] != first
    });
    if !moved {
        return Err(not_run("the long job does not move to another machine"));
    }
    if !service.wait(10.0, |world| world.free_on(first).0 >= 8.0) {
        return Err(not_run("the urgent job does not end"));
    }
    // The worker of the first machine has been told to clear both attempts.
    std::thread::sleep(Duration::from_millis(1_500));
    let second = lock(&service.world).machines_with(task);
    if trouble {
        // A controller that does not lead is back within a fraction of a second.
        let leader = service.leader().ok_or_else(|| not_run("no controller leads"))?;
        let node = (leader + 1) % service.clients.len();
        service.kill_node(node);
        std::thread::sleep(Duration::from_millis(300));
        service.start_node(node);
        std::thread::sleep(Duration::from_millis(500));
        let late = ordered.elapsed().as_secs_f64();
        let mut world = lock(&service.world);
        world.note(format!("DISRUPTION: a copy of the order that started {task} on {first} arrives, {late:.1} s late"));
        world.on_orders(first, &order, " (late copy)");
    }
    service.wait(5.0, |_| false);
    let mut world = lock(&service.world);
    let on = world.machines_with(task);
    world.note(format!("{task} was on {second:?} before, and is on {on:?} now"));
    if let Some(broken) = world.broken.first() {
        return Ok(Verdict::Broken(broken.clone()));
    }
    drop(world);
    match service.all_run() {
        true => Ok(Verdict::Held),
        false => Err(Verdict::NotRun("a controller ended by itself".into())),
    }
}

/// Case `stale-leader`: a job is called off while the leader reaches only workers and users.
pub fn stale_leader(run: &str, folder: &Path, record: &Path, trouble: bool) -> Verdict {
    let mut service = Service::start(run, folder, record, beanpost(25_000));
    match stale_leader_steps(&mut service, trouble) {
        Ok(verdict) | Err(verdict) => verdict,
    }
}

fn stale_leader_steps(service: &mut Service, trouble: bool) -> Result<Verdict, Verdict> {
    let not_run = |why: &str| Verdict::NotRun(why.to_string());
    service.wait(2.0, |_| false);
    let leader = service.leader().ok_or_else(|| not_run("no controller leads"))?;
    let zone = lock(&service.world).site.zones[leader % 2];
    let machine = add_machine_at(&service.world, leader, "wee-box", zone, -600_000, 0);
    // One job fills the only machine, another one of the same rank waits for it.
    let first = job("wk-000001", "data-crew", JobKind::Array, Priority::Normal, 1, 8.0);
    accept(service, &first, 60.0)?;
    if !service.wait(10.0, |world| world.machines_with("wk-000001/0") == [machine.as_str()]) {
        return Err(not_run("the first job does not run"));
    }
    let second = job("wk-000002", "data-crew", JobKind::Array, Priority::Normal, 1, 8.0);
    accept(service, &second, 60.0)?;
    service.wait(2.0, |_| false);
    if trouble {
        service.cut(leader, true);
    }
    // Its user calls the waiting job off at another controller, again until it is confirmed.
    let other = (leader + 1) % service.clients.len();
    let began_s = service.now_s();
    loop {
        let answer = service.request_at(other, "POST", "/api/jobs/wk-000002/abort");
        if answer.is_some_and(|answer| answer.status == 200) {
            break;
        }
        if service.now_s() > began_s + 20.0 {
            return Err(not_run("the cancellation is not confirmed"));
        }
        std::thread::sleep(Duration::from_millis(1_000));
    }
    let told_ms = lock(&service.world).now_ms();
    // The first job ends after that.
    lock(&service.world).finish_in("wk-000001/0", 300);
    service.wait(12.0, |_| false);
    if trouble {
        service.cut(leader, false);
    }
    service.wait(3.0, |_| false);
    let status = service.status("wk-000002");
    let world = lock(&service.world);
    // A start command that was on its way is excused: the machine was full for 300 ms more.
    let started =
        world.starts.iter().find(|start| start.task == "wk-000002/0" && start.at_ms > told_ms);
    let started_ms = started.map(|start| start.at_ms);
    drop(world);
    service.note(format!("told at {:.3} s; status now {status:?}", told_ms as f64 / 1e3));
    if !service.all_run() {
        return Err(not_run("a controller ended by itself"));
    }
    Ok(match started_ms {
        None => Verdict::Held,
        Some(at_ms) => Verdict::Broken(format!(
            "wk-000002/0 starts {} ms after its user was told that the job is cancelled",
            at_ms - told_ms
        )),
    })
}

/// Case `lost-zone`: the machine of a job whose tasks have to be in one zone stops.
pub fn lost_zone(run: &str, folder: &Path, record: &Path, trouble: bool) -> Verdict {
    let mut service = Service::start(run, folder, record, beanpost(20_000));
    match lost_zone_steps(&mut service, trouble) {
        Ok(verdict) | Err(verdict) => verdict,
    }
}

fn lost_zone_steps(service: &mut Service, trouble: bool) -> Result<Verdict, Verdict> {
    let not_run = |why: &str| Verdict::NotRun(why.to_string());
    let (kept, lost) = eight_machines(service, "fulfilment-crew")?;
    let (kept, lost) = (kept.as_str(), lost.as_str());
    // An array whose two tasks have to be in one zone.
    let mut plan = job("wk-000003", "data-crew", JobKind::Array, Priority::Normal, 2, 2.0);
    plan.together = true;
    plan.estimate_s = 300.0;
    accept(service, &plan, 300.0)?;
    let tasks = ["wk-000003/0", "wk-000003/1"];
    let placed =
        service.wait(10.0, |world| tasks.iter().all(|task| world.machines_with(task) == [lost]));
    if !placed {
        return Err(not_run("the array does not run on the machine that is to stop"));
    }
    if trouble {
        lock(&service.world).stop_machine(lost);
    }
    let stopped_s = service.now_s();
    // Nobody can know that the machine's tasks are gone before its lease is over; the 90 seconds
    // of the rule count from then on.
    let lease_s = lock(&service.world).site.lease_ms as f64 / 1e3;
    let until_s = stopped_s + lease_s + 90.0;
    watch_job(service, "wk-000003", &tasks, kept, stopped_s, until_s, (2.0, 6.0), trouble)
}

/// Polls a job every 5 s and watches whether one of its tasks starts after `since_s` or, without a
/// disruption, goes on running. The rule is broken if none does until `until_s` although a machine
/// has had room for a task all the time.
#[allow(clippy::too_many_arguments)]
fn watch_job(
    service: &mut Service,
    id: &str,
    tasks: &[&str],
    machine: &str,
    since_s: f64,
    until_s: f64,
    need: (f64, f64),
    trouble: bool,
) -> Result<Verdict, Verdict> {
    let mut next_poll_s = 0.0;
    let mut had_room = true;
    while service.now_s() < until_s {
        std::thread::sleep(Duration::from_millis(100));
        {
            let world = lock(&service.world);
            let (cpus, memory_gb) = world.free_on(machine);
            let since_ms = (since_s * 1e3) as u64;
            let starts = world.starts.iter().filter(|start| tasks.contains(&start.task.as_str()));
            let restarted = starts.filter(|start| start.at_ms > since_ms).count() > 0;
            let on_machine = tasks.iter().any(|task| !world.machines_with(task).is_empty());
            if restarted {
                drop(world);
                service.note(format!("a task of {id} starts again: the rule held"));
                return Ok(Verdict::Held);
            }
            had_room &= on_machine || cpus >= need.0 && memory_gb >= need.1;
        }
        if service.now_s() >= next_poll_s {
            next_poll_s = service.now_s() + 5.0;
            service.status(id);
        }
    }
    if !service.all_run() {
        return Err(Verdict::NotRun("a controller ended by itself".into()));
    }
    let status = service.status(id);
    let world = lock(&service.world);
    let on_machine = tasks.iter().any(|task| !world.machines_with(task).is_empty());
    let running = world.running_machines();
    drop(world);
    service.note(format!("running machines {running:?}; a task of {id} on a machine: {on_machine}; status {status:?}"));
    match (trouble, on_machine, had_room) {
        (_, true, _) => Ok(Verdict::Held),
        (_, false, true) => {
            let waited = until_s - since_s;
            Ok(Verdict::Broken(format!(
                "{id} waits for {waited:.0} s after the machine stopped, while {machine} had room for a task all the time"
            )))
        }
        (_, false, false) => Err(Verdict::NotRun(format!("{machine} had no room at some time"))),
    }
}

/// Case `spread-gang`: the only machine of a zone stops, and a gang comes that has to be in two.
pub fn spread_gang(run: &str, folder: &Path, record: &Path, trouble: bool) -> Verdict {
    let mut service = Service::start(run, folder, record, dundee(15_000));
    match spread_gang_steps(&mut service, trouble) {
        Ok(verdict) | Err(verdict) => verdict,
    }
}

fn spread_gang_steps(service: &mut Service, trouble: bool) -> Result<Verdict, Verdict> {
    let not_run = |why: &str| Verdict::NotRun(why.to_string());
    let (_, lost) = eight_machines(service, "cacao-crew")?;
    if trouble {
        lock(&service.world).stop_machine(&lost);
    }
    let mut gang = job("wk-000003", "cacao-crew", JobKind::Gang, Priority::High, 2, 2.0);
    gang.spread = true;
    accept(service, &gang, 10.0)?;
    // The 90 seconds of the rule, and ten more.
    let until_s = service.now_s() + 100.0;
    let tasks = ["wk-000003/0", "wk-000003/1"];
    // A gang runs when all its tasks do.
    let runs_whole = |world: &crate::world::World| {
        tasks.iter().all(|task| !world.machines_with(task).is_empty())
    };
    let mut next_poll_s = 0.0;
    while service.now_s() < until_s {
        std::thread::sleep(Duration::from_millis(50));
        if runs_whole(&lock(&service.world)) {
            service.note("all tasks of the gang are on machines: the rule held");
            return Ok(Verdict::Held);
        }
        if service.now_s() >= next_poll_s {
            next_poll_s = service.now_s() + 5.0;
            service.status("wk-000003");
        }
    }
    if !service.all_run() {
        return Err(not_run("a controller ended by itself"));
    }
    Ok(Verdict::Broken("wk-000003 is accepted and does not begin for 100 s, though the cloud has machines in both zones".into()))
}
