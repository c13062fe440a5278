//! Stories of things that go wrong, told against an in-memory cluster that knows
//! the rules. Each says what it guards.

mod chains;
mod hearing;
mod inline;
mod input;
mod largest;
mod meetings;
mod moments;
mod pages;
mod restarts;
mod rolls;
mod search;
mod upgrade;
mod world;

use quartzgate_wire::msg::{JobStatus, ReportTask, Shape, TaskStatus};
use world::{job, Cut, End, World, CANCEL_MS};

/// Guards the whole ordinary path: accepted, started, told done; a service runs its
/// replicas until it is aborted, and what nobody submitted is unknown.
#[test]
fn a_quiet_day() {
    let mut w = World::new(3, 4, 0.0, 1);
    w.run(500);
    w.submit_surely(&job("wk-000001", Shape::Array, 6));
    w.submit_surely(&job("wk-000002", Shape::Service, 2));
    w.until_done("wk-000001", 20_000);
    assert_eq!(w.on("wk-000002").len(), 2);
    w.abort_surely("wk-000002");
    w.until(3_000, "replicas are gone", |w| w.on("wk-000002").is_empty());
    let (poll, abort) = (w.poll(1, "wk-000009"), w.abort(2, "wk-000009"));
    w.run(1_000);
    assert_eq!((w.status(poll), w.status(abort)), (404, 404));
    w.keep_rules();
}

/// Guards a submission that comes twice at once: neither is told that the job is unknown.
#[test]
fn two_submissions_at_once_make_one_job() {
    let mut w = World::new(3, 2, 0.0, 3);
    w.run(1_500);
    let leader = w.leader().unwrap();
    let spec = job("wk-000001", Shape::Array, 1);
    let asks: Vec<usize> = (0..4).map(|_| w.submit(leader, &spec)).collect();
    w.run(500);
    assert!(asks.iter().all(|a| [200, 201, 503].contains(&w.status(*a))));
    w.until_done("wk-000001", 20_000);
    w.keep_rules();
}

/// Guards repeats: a known job is 200 with its present state, ended or not, whichever
/// node is asked, and a changed mind about its fitness never turns it into a refusal.
#[test]
fn a_repeated_submission_is_never_refused() {
    let mut w = World::new(3, 2, 0.0, 2);
    w.run(500);
    let spec = job("wk-000001", Shape::Array, 1);
    w.submit_surely(&spec);
    w.until_done("wk-000001", 20_000);
    let mut misfit = spec.clone();
    misfit.cpus = 500.0;
    for n in 0..3 {
        let (same, other) = (w.submit(n, &spec), w.submit(n, &misfit));
        w.run(500);
        assert_eq!((w.status(same), w.status(other)), (200, 200));
    }
    w.keep_rules();
}

/// Guards takeover from a leader that the state service alone refuses: its lease runs
/// out, another leads, and whatever the old one kept running is not started again.
#[test]
fn an_owner_cut_from_the_state_service_is_replaced() {
    for seed in 0..6 {
        let mut w = World::new(3, 4, 0.0, 100 + seed);
        w.run(500);
        w.run_ms.insert("wk-000001".into(), 9_000);
        w.submit_surely(&job("wk-000001", Shape::Array, 12));
        let old = w.leader().unwrap();
        w.state.refuses.insert(old);
        w.until(20_000, "another leads", |w| w.leader().is_some_and(|l| l != old));
        w.run(5_000);
        w.state.refuses.clear();
        w.until_done("wk-000001", 120_000);
        w.keep_rules();
    }
}

/// Guards the view in every write: what the network held of an old owner's writes finds
/// a later view when it is let go.
#[test]
fn late_writes_of_an_old_owner_fail() {
    for step in 0..10 {
        let mut w = World::new(3, 4, 0.0, 250 + step);
        w.run(500);
        w.run_ms.insert("wk-000001".into(), 900);
        w.submit_surely(&job("wk-000001", Shape::Array, 40));
        w.run(step * 130);
        let old = w.leader().unwrap();
        w.cut(End::Node(old), End::State, Cut::Hold);
        w.until(20_000, "another leads", |w| w.leader().is_some_and(|l| l != old));
        w.run(step * 3);
        w.heal();
        w.until_done("wk-000001", 120_000);
        w.keep_rules();
    }
}

/// Leaves the leader alone with two workers, which it keeps alive; returns it.
fn part(w: &mut World) -> usize {
    let old = w.leader().unwrap();
    let (mine, theirs) = (["vm-000000", "vm-000001"], ["vm-000002", "vm-000003"]);
    w.cut(End::Node(old), End::State, Cut::Hold);
    for n in (0..3).filter(|n| *n != old) {
        w.cut(End::Node(old), End::Node(n), Cut::Hold);
        mine.iter().for_each(|m| w.cut(End::Node(n), End::Worker(m.to_string()), Cut::Hold));
    }
    theirs.iter().for_each(|m| w.cut(End::Node(old), End::Worker(m.to_string()), Cut::Hold));
    w.until(20_000, "another leads", |w| w.leader().is_some_and(|l| l != old));
    old
}

/// Guards the horizon: an old owner that is cut from all but some workers keeps them
/// alive for a while, but what is cancelled elsewhere is gone in time, though the cloud
/// takes no machine back.
#[test]
fn an_old_owner_with_workers_of_its_own_side() {
    for seed in 0..6 {
        let mut w = World::new(3, 4, 0.0, 200 + seed);
        w.returns_off = true;
        w.run(500);
        w.run_ms.insert("wk-000001".into(), 600_000);
        w.submit_surely(&job("wk-000001", Shape::Array, 6));
        w.until(5_000, "all run", |w| w.on("wk-000001").len() == 6);
        part(&mut w);
        w.abort_surely("wk-000001");
        // The world notes a breach if a task is on a machine past `cancel_s`.
        w.run(CANCEL_MS + 10_000);
        assert!(w.on("wk-000001").is_empty());
        w.heal();
        w.run(20_000);
        w.keep_rules();
    }
}

/// Guards the inheritance rule: what an old owner may still keep alive is started
/// nowhere else before its horizon and a lease have passed.
#[test]
fn an_heir_waits_for_the_old_owners_horizon() {
    for seed in 0..6 {
        let mut w = World::new(3, 4, 0.0, 230 + seed);
        w.returns_off = true;
        w.run(500);
        w.run_ms.insert("wk-000001".into(), 600_000);
        w.submit_surely(&job("wk-000001", Shape::Array, 4));
        w.until(5_000, "all run", |w| w.on("wk-000001").len() == 4);
        part(&mut w);
        w.run(CANCEL_MS + 15_000);
        w.heal();
        w.until(60_000, "all run again", |w| w.on("wk-000001").len() == 4);
        w.keep_rules();
    }
}

/// Guards against orders that arrive after a takeover: held by the network, let go
/// when another owner commands the machines, they must find a higher token.
#[test]
fn late_orders_after_a_takeover_do_nothing() {
    for seed in 0..8 {
        let mut w = World::new(3, 4, 0.0, 300 + seed);
        w.run(500);
        w.submit_surely(&job("wk-000001", Shape::Array, 1));
        w.until_done("wk-000001", 20_000);
        let old = w.leader().unwrap();
        // Starts are ordered, but the orders stay in the network.
        for m in 0..4 {
            w.cut(End::Node(old), End::Worker(format!("vm-{m:06}")), Cut::Hold);
        }
        w.run_ms.insert("wk-000002".into(), 15_000);
        let spec = job("wk-000002", Shape::Array, 8);
        w.submit(old, &spec);
        w.run(600);
        w.kill(old);
        w.until(20_000, "another leads", |w| w.leader().is_some_and(|l| l != old));
        w.until(40_000, "all run", |w| w.on("wk-000002").len() == 8);
        w.heal();
        w.run(3_000);
        w.start(old);
        w.until_done("wk-000002", 60_000);
        w.keep_rules();
    }
}

/// Guards the token that rises with every order whose fate is unknown: a start held
/// by the network must not run once its task has been started elsewhere.
#[test]
fn a_late_order_of_the_same_owner_does_nothing() {
    for seed in 0..8 {
        let mut w = World::new(1, 4, 0.0, 400 + seed);
        w.run(2_000);
        // Orders to two machines are held; reports still pass, so the lease lives on.
        w.run_ms.insert("wk-000001".into(), 4_000);
        let held = ["vm-000000", "vm-000002"];
        held.iter().for_each(|m| w.cut(End::Node(0), End::Worker(m.to_string()), Cut::Hold));
        w.submit_surely(&job("wk-000001", Shape::Array, 8));
        w.run(3_000);
        w.heal();
        w.run(500);
        w.until_done("wk-000001", 90_000);
        w.keep_rules();
    }
}

/// Guards records written before starts: every controller dies at any moment between
/// the acceptance, the record, the start and the end, and nothing runs twice or is lost.
#[test]
fn all_controllers_die_at_any_moment() {
    for step in 0..24 {
        let mut w = World::new(3, 4, 32.0, 500 + step);
        w.run(500);
        w.run_ms.insert("wk-000001".into(), 1_500);
        let spec = job("wk-000001", Shape::Array, 10);
        w.submit(0, &spec);
        w.run(1 + step * step * 7);
        (0..3).for_each(|n| w.kill_for(n, 3_000));
        w.run(3_500);
        w.submit_surely(&spec);
        w.until_done("wk-000001", 90_000);
        w.run(3_000);
        w.keep_rules();
    }
}

/// Guards the fold of a chunk whose last ends are not on record yet: the write that
/// folds it away must not set its share anew, or the next owner counts it twice and
/// calls the job done with tasks still to run.
#[test]
fn a_folded_chunk_is_counted_once_by_the_next_owner() {
    for step in 0..6 {
        let mut w = World::new(3, 50, 0.0, 560 + step);
        w.run(1_500);
        w.run_ms.insert("wk-000001".into(), 3_000);
        for late in 64..96 {
            w.run_ms.insert(format!("wk-000001/{late}"), 20_000);
        }
        let spec = job("wk-000001", Shape::Array, 96);
        w.submit_surely(&spec);
        // The first chunk ends and is folded, the second runs on.
        w.run(5_000 + step * 500);
        (0..3).for_each(|n| w.kill_for(n, 1_000));
        w.run(3_000);
        w.submit_surely(&spec);
        w.until_done("wk-000001", 90_000);
        w.keep_rules();
    }
}

/// Guards the abort that races a start: whatever order they come in, the task is gone
/// in time and never starts again, and the answer stays.
#[test]
fn an_abort_races_a_start() {
    for step in 0..20 {
        let mut w = World::new(3, 4, 0.0, 600 + step);
        w.run(1_500);
        w.run_ms.insert("wk-000001".into(), 300_000);
        w.submit((step % 3) as usize, &job("wk-000001", Shape::Array, 6));
        w.run(1 + step * 3);
        w.abort_surely("wk-000001");
        w.run(CANCEL_MS + 5_000);
        assert!(w.on("wk-000001").is_empty());
        assert_eq!(w.told["wk-000001"], JobStatus::Aborted);
        w.keep_rules();
    }
}

/// Guards writes without an answer: executed all the same, they are found by reading,
/// and nothing is lost, repeated or told wrongly.
#[test]
fn the_state_service_executes_without_answering() {
    for swallowed in 1..8 {
        let mut w = World::new(3, 4, 0.0, 700 + u64::from(swallowed));
        w.run(1_000);
        w.state.swallow_answers = swallowed;
        w.submit_surely(&job("wk-000001", Shape::Array, 6));
        w.state.swallow_answers = swallowed;
        w.until_done("wk-000001", 60_000);
        w.submit_surely(&job("wk-000002", Shape::Service, 2));
        w.state.swallow_answers = 2;
        w.abort_surely("wk-000002");
        w.run(CANCEL_MS);
        assert!(w.on("wk-000002").is_empty());
        w.keep_rules();
    }
}

/// Guards the team's limit against a deal that came to stand unseen: its answer was
/// lost, the owner dealt anew, and the next owner finds more licences on record than
/// the team may use.
#[test]
fn quota_holds_when_the_records_hold_more_than_the_limit() {
    for seed in 0..6 {
        let mut w = World::new(3, 4, 16.0, 860 + seed);
        w.run(2_000);
        let leader = w.leader().unwrap();
        w.state.swallow_answers = 1;
        for id in ["wk-000001", "wk-000002"] {
            w.run_ms.insert(id.into(), 6_000);
        }
        let unseen = job("wk-000001", Shape::Array, 4);
        w.submit(leader, &unseen);
        w.run(1_200);
        w.submit_surely(&job("wk-000002", Shape::Array, 4));
        w.until(8_000, "the second runs", |w| w.on("wk-000002").len() == 4);
        (0..3).for_each(|n| w.kill_for(n, 1_000));
        w.run(2_000);
        w.submit_surely(&unseen);
        w.until_done("wk-000001", 60_000);
        w.until_done("wk-000002", 60_000);
        w.keep_rules();
    }
}

/// Guards the team's limit across a takeover: tasks on machines that the new owner
/// can't reach count until they are provably gone.
#[test]
fn quota_holds_over_a_takeover() {
    for seed in 0..6 {
        // 16 CPUs: four tasks at a time, and room on the machines for ten.
        let mut w = World::new(3, 5, 16.0, 800 + seed);
        w.run(500);
        w.run_ms.insert("wk-000001".into(), 40_000);
        w.submit_surely(&job("wk-000001", Shape::Array, 12));
        w.until(5_000, "four run", |w| w.on("wk-000001").len() == 4);
        let old = w.leader().unwrap();
        let near = w.on("wk-000001")[0].1.clone();
        for n in (0..3).filter(|n| *n != old) {
            w.cut(End::Node(n), End::Worker(near.clone()), Cut::Drop);
            w.cut(End::Node(n), End::Node(old), Cut::Drop);
        }
        w.state.refuses.insert(old);
        w.run(45_000);
        w.heal();
        w.state.refuses.clear();
        w.until_done("wk-000001", 300_000);
        w.keep_rules();
    }
}

/// Guards `spread` when a zone is lost: replicas there count for as long as they may
/// linger, and the rest never crowds into one zone beyond the half.
#[test]
fn spread_holds_when_a_zone_is_lost() {
    let mut w = World::new(3, 6, 0.0, 900);
    w.run(500);
    let mut spec = job("wk-000001", Shape::Service, 5);
    spec.spread = true;
    w.submit_surely(&spec);
    w.until(5_000, "all run", |w| w.on("wk-000001").len() == 5);
    let zone_a: Vec<String> =
        w.workers.iter().filter(|(_, x)| x.zone == "a").map(|(n, _)| n.clone()).collect();
    for n in 0..3 {
        zone_a.iter().for_each(|m| w.cut(End::Node(n), End::Worker(m.clone()), Cut::Drop));
    }
    w.run(30_000);
    w.cloud_off = false;
    let b = w.on("wk-000001").iter().filter(|(_, m)| w.workers[m].zone == "b").count();
    assert!(b <= 3);
    w.heal();
    w.until(30_000, "all run again", |w| w.on("wk-000001").len() == 5);
    w.keep_rules();
}

/// Leaves the leader alone with the machines of zone a, the others with those of zone b.
fn part_zones(w: &mut World, leader: usize) {
    let zones: Vec<(String, String)> =
        w.workers.iter().map(|(n, x)| (n.clone(), x.zone.clone())).collect();
    for n in 0..3 {
        let far = if n == leader { "b" } else { "a" };
        if n != leader {
            w.cut(End::Node(leader), End::Node(n), Cut::Drop);
        }
        for (m, _) in zones.iter().filter(|(_, z)| z == far) {
            w.cut(End::Node(n), End::Worker(m.clone()), Cut::Drop);
        }
    }
}

/// Guards work for machines that the leader can't reach: while two zones are apart,
/// orders and reports pass by the state service, new work runs in both, an abort ends
/// it in both, and nothing runs twice.
#[test]
fn new_work_runs_in_both_zones_while_they_are_apart() {
    for seed in 0..6 {
        let mut w = World::new(3, 6, 0.0, 980 + seed);
        w.run(2_000);
        let leader = w.leader().unwrap();
        w.run_ms.insert("wk-000001".into(), 4_000);
        w.run_ms.insert("wk-000002".into(), 600_000);
        w.submit_surely(&job("wk-000001", Shape::Array, 12));
        w.until(6_000, "all run", |w| w.on("wk-000001").len() == 12);
        part_zones(&mut w, leader);
        w.submit_surely(&job("wk-000002", Shape::Array, 12));
        w.until(25_000, "all run in both zones", |w| w.on("wk-000002").len() == 12);
        w.until_done("wk-000001", 10_000);
        if seed % 2 == 0 {
            w.abort_surely("wk-000002");
            w.run(CANCEL_MS);
            assert!(w.on("wk-000002").is_empty());
        }
        w.heal();
        w.run(20_000);
        w.keep_rules();
    }
}

/// Guards cancelled work against an owner that has been replaced: whatever way it hears
/// of the next owner's token, it must not command with it. Taken from the answer to an
/// inspection, it once let an owner back from a cut start what had been cancelled.
#[test]
fn a_replaced_owner_never_takes_the_next_ones_token() {
    let mut w = World::new(3, 1, 0.0, 640);
    w.run(2_000);
    let old = w.leader().unwrap();
    let mut report = w.report_of("vm-000000").unwrap();
    w.cut(End::Node(old), End::Worker("vm-000000".into()), Cut::Drop);
    w.run(1_500);
    // It has seen a later epoch, and holds something that the old owner would stop.
    let later = (report.token >> 24) + 1;
    (report.token, report.seq) = (later << 24, report.seq + 100);
    report.tasks = vec![ReportTask {
        task: "wk-000009/0".into(),
        attempt: later << 24,
        status: TaskStatus::Running,
        cause: None,
        saved: None,
    }];
    let tokens = w.answer_inspect(old, &report);
    assert!(tokens.iter().all(|t| t >> 24 < later), "commands with {tokens:x?}");
}

/// Guards keeping: while two zones are apart, what runs in the leader's far zone runs
/// on, an abort still ends it in time, and nothing runs twice afterwards.
#[test]
fn a_zone_partition_leaves_running_work_alone() {
    for seed in 0..6 {
        let mut w = World::new(3, 6, 0.0, 950 + seed);
        w.run(2_000);
        let leader = w.leader().unwrap();
        // The leader is alone with zone a; the others have zone b.
        w.submit_surely(&job("wk-000001", Shape::Service, 4));
        w.submit_surely(&job("wk-000002", Shape::Service, 8));
        w.until(8_000, "all run", |w| w.on("wk-000001").len() + w.on("wk-000002").len() == 12);
        part_zones(&mut w, leader);
        let starts: usize = w.starts.values().map(Vec::len).sum();
        w.run(10_000);
        w.abort_surely("wk-000002");
        w.run(CANCEL_MS + 3_000);
        assert!(w.on("wk-000002").is_empty());
        assert_eq!(w.on("wk-000001").len(), 4, "seed {seed}");
        let now: usize = w.starts.values().map(Vec::len).sum();
        assert_eq!(starts, now, "seed {seed}: nothing had to start again");
        w.heal();
        w.run(20_000);
        assert_eq!(w.on("wk-000001").len(), 4);
        w.keep_rules();
    }
}

/// Guards cancelled tasks on a machine that hangs: it can't be told, and its lease is
/// not its own to end, so it goes back to the cloud.
#[test]
fn a_cancelled_task_on_a_hanging_machine_is_fenced() {
    let mut w = World::new(3, 6, 0.0, 990);
    w.run(500);
    w.submit_surely(&job("wk-000001", Shape::Service, 1));
    w.until(5_000, "it runs", |w| w.on("wk-000001").len() == 1);
    let machine = w.on("wk-000001")[0].1.clone();
    // So many hang that silence alone sends none of them back.
    let until = w.now + 120_000;
    let others: Vec<String> = w.workers.keys().filter(|n| **n != machine).cloned().collect();
    others[1..].iter().chain([&machine]).for_each(|n| {
        w.workers.get_mut(n).unwrap().hung_until = until;
    });
    w.abort_surely("wk-000001");
    w.until(CANCEL_MS / 2, "the machine is gone", |w| !w.workers.contains_key(&machine));
    w.keep_rules();
}

/// Guards the end of a job against what was read before it: a record read as live must
/// not bring back a job whose abort was learned meanwhile.
#[test]
fn an_abort_past_the_leader_is_not_undone_by_an_older_read() {
    for step in 0..12 {
        let mut w = World::new(3, 4, 0.0, 1_050 + step);
        w.max_delay = 40;
        w.run(1_500);
        let leader = w.leader().unwrap();
        let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
        for n in &others {
            w.cut(End::Node(leader), End::Node(*n), Cut::Drop);
        }
        w.run(4_000);
        w.run_ms.insert("wk-000001".into(), 300_000);
        w.submit(others[0], &job("wk-000001", Shape::Array, 3));
        w.run(20 + step * 8);
        let end = w.now + 10_000;
        while w.now < end && w.told.get("wk-000001") != Some(&JobStatus::Aborted) {
            w.abort(others[1], "wk-000001");
            w.run(15);
        }
        w.run(CANCEL_MS + 3_000);
        assert!(w.on("wk-000001").is_empty());
        w.keep_rules();
    }
}

/// Guards users when no leader can be reached: a follower records the job itself, and
/// the next leader finds it.
#[test]
fn a_job_accepted_past_the_leader_is_run() {
    let mut w = World::new(3, 4, 0.0, 1000);
    w.run(1_500);
    let leader = w.leader().unwrap();
    let other = (leader + 1) % 3;
    for n in (0..3).filter(|n| *n != leader) {
        w.cut(End::Node(leader), End::Node(n), Cut::Drop);
    }
    w.run(4_000);
    let a = w.submit(other, &job("wk-000001", Shape::Array, 3));
    w.run(3_000);
    assert_eq!(w.status(a), 201);
    w.until_done("wk-000001", 30_000);
    // And an abort past the leader reaches it as well.
    w.run_ms.insert("wk-000002".into(), 300_000);
    w.submit(leader, &job("wk-000002", Shape::Array, 3));
    w.until(5_000, "all run", |w| w.on("wk-000002").len() == 3);
    let a = w.abort(other, "wk-000002");
    w.run(3_000);
    assert_eq!(w.status(a), 200);
    w.until(5_000, "gone", |w| w.on("wk-000002").is_empty());
    w.keep_rules();
}

/// Guards users in an outage: answers come at once, 503 with Retry-After, and what has
/// ended is still told; nothing is forgotten afterwards.
#[test]
fn an_outage_is_answered_at_once() {
    let mut w = World::new(3, 4, 0.0, 1100);
    w.run(500);
    w.submit_surely(&job("wk-000001", Shape::Array, 2));
    w.until_done("wk-000001", 20_000);
    w.submit_surely(&job("wk-000002", Shape::Service, 2));
    w.until(5_000, "both run", |w| w.on("wk-000002").len() == 2);
    w.state.down = true;
    w.run(6_000);
    let leader = w.leader().unwrap();
    let (ended, live) = (w.poll(leader, "wk-000001"), w.poll(leader, "wk-000002"));
    let fresh = w.submit(leader, &job("wk-000003", Shape::Array, 2));
    let ready = w.ask(leader, "GET", "/ready", Vec::new());
    w.run(100);
    assert_eq!((w.status(ended), w.status(live), w.status(fresh)), (200, 503, 503));
    assert_eq!(w.status(ready), 200);
    w.state.down = false;
    w.submit_surely(&job("wk-000003", Shape::Array, 2));
    w.until_done("wk-000003", 30_000);
    assert_eq!(w.on("wk-000002").len(), 2, "replicas live through the outage");
    w.keep_rules();
}

/// Guards gangs: all or none, one attempt, and a lost member brings the whole gang back.
#[test]
fn a_gang_that_loses_a_task_starts_again_whole() {
    let mut w = World::new(3, 4, 0.0, 1200);
    w.run(500);
    w.run_ms.insert("wk-000001".into(), 8_000);
    let mut spec = job("wk-000001", Shape::Gang, 4);
    spec.together = true;
    w.submit_surely(&spec);
    w.until(5_000, "it runs", |w| running(w, "wk-000001") == 4);
    let lost = w.on("wk-000001")[0].1.clone();
    w.workers.get_mut(&lost).unwrap().dead = true;
    w.add_worker();
    w.add_worker();
    w.until_done("wk-000001", 60_000);
    let attempts: std::collections::BTreeSet<u64> =
        w.starts["wk-000001/0"].iter().map(|s| s.1).collect();
    assert!(attempts.len() >= 2);
    w.keep_rules();
}

fn running(w: &World, id: &str) -> usize {
    let prefix = format!("{id}/");
    w.workers
        .values()
        .filter(|w| !w.dead)
        .flat_map(|w| &w.tasks)
        .filter(|(t, h)| t.starts_with(&prefix) && h.status == TaskStatus::Running)
        .count()
}

/// Guards against a machine that fails all it is given: it is quarantined and the work
/// is done elsewhere.
#[test]
fn a_faulty_machine_is_quarantined() {
    let mut w = World::new(3, 4, 0.0, 1300);
    w.run(500);
    w.workers.get_mut("vm-000001").unwrap().fails = true;
    for n in 1..5 {
        w.submit_surely(&job(&format!("wk-00000{n}"), Shape::Array, 8));
    }
    for n in 1..5 {
        w.until_done(&format!("wk-00000{n}"), 60_000);
    }
    w.keep_rules();
}

/// Guards against a leader that can't reach the workers while its siblings can: what
/// runs keeps running, in whatever zone, and new work starts by way of the siblings.
#[test]
fn a_leader_cut_from_the_workers_goes_by_its_siblings() {
    for how in [Cut::Drop, Cut::Hold] {
        let mut w = World::new(3, 6, 0.0, 1700);
        w.run(500);
        w.run_ms.insert("wk-000001".into(), 600_000);
        w.submit_surely(&job("wk-000001", Shape::Array, 6));
        w.until(5_000, "all run", |w| w.on("wk-000001").len() == 6);
        let leader = w.leader().unwrap();
        let names: Vec<String> = w.workers.keys().cloned().collect();
        names.iter().for_each(|n| w.cut(End::Node(leader), End::Worker(n.clone()), how));
        w.run(12_000);
        w.submit_surely(&job("wk-000002", Shape::Array, 6));
        w.until_done("wk-000002", 12_000);
        assert_eq!((w.leader(), w.workers.len()), (Some(leader), 6));
        let kept = w.starts.iter().filter(|(t, s)| t.starts_with("wk-000001/") && s.len() == 1);
        assert_eq!(kept.count(), 6, "nothing that ran was started again");
        let abort = w.abort(leader, "wk-000001");
        w.run(3_000);
        assert_eq!((w.status(abort), w.on("wk-000001").len()), (200, 0));
        w.heal();
        w.run(10_000);
        w.keep_rules();
    }
}

/// Guards the record before the start (claim 3): an owner whose writes no longer come to
/// stand starts nothing on machines that the next owner would not know of.
#[test]
fn nothing_starts_on_a_machine_that_is_not_on_record() {
    for seed in 0..4 {
        let mut w = World::new(3, 0, 0.0, 1720 + seed);
        w.run(1_500);
        w.run_ms.insert("wk-000001".into(), 600_000);
        w.submit_surely(&job("wk-000001", Shape::Array, 1));
        let old = w.leader().unwrap();
        // Only the old owner hears the first machine, and only the others the second.
        w.cut(End::Node(old), End::State, Cut::Drop);
        let (first, second) = (w.add_worker(), w.add_worker());
        w.workers.get_mut(&first).unwrap().node = old;
        w.workers.get_mut(&second).unwrap().node = (old + 1) % 3;
        for n in 0..3 {
            let unheard = if n == old { &second } else { &first };
            w.cut(End::Node(n), End::Worker(unheard.clone()), Cut::Drop);
        }
        w.run(1_200);
        w.kill(old);
        w.until(20_000, "it runs", |w| !w.on("wk-000001").is_empty());
        w.run(20_000);
        assert_eq!(w.on("wk-000001").len(), 1);
        w.keep_rules();
    }
}

/// Guards keepers (claim 9): a leader presumes no machine empty that another controller
/// may be keeping alive, though nothing of it reaches the leader.
#[test]
fn a_machine_that_is_kept_is_not_presumed_empty() {
    let mut w = World::new(3, 2, 0.0, 1740);
    w.run(500);
    w.run_ms.insert("wk-000001".into(), 600_000);
    w.submit_surely(&job("wk-000001", Shape::Array, 1));
    w.until(5_000, "it runs", |w| w.on("wk-000001").len() == 1);
    let leader = w.leader().unwrap();
    let (keeper, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let holder = w.on("wk-000001")[0].1.clone();
    w.state.no_post = true;
    w.workers.get_mut(&holder).unwrap().node = keeper;
    w.cut(End::Node(leader), End::Node(keeper), Cut::Drop);
    w.cut(End::Node(leader), End::Worker(holder.clone()), Cut::Drop);
    w.cut(End::Node(other), End::Worker(holder), Cut::Drop);
    w.run(40_000);
    assert_eq!((w.leader(), w.on("wk-000001").len()), (Some(leader), 1));
    w.keep_rules();
}

/// Guards ends (claim 12): a refusal of the leader's own abort that comes after the same
/// job was aborted past it does not bring the job back.
#[test]
fn a_late_refusal_does_not_undo_an_abort() {
    let mut w = World::new(3, 2, 0.0, 1760);
    w.run(500);
    w.run_ms.insert("wk-000001".into(), 600_000);
    w.submit_surely(&job("wk-000001", Shape::Array, 2));
    w.until(5_000, "it runs", |w| w.on("wk-000001").len() == 2);
    let leader = w.leader().unwrap();
    // Its machines hang, so that the tasks are still there when the refusal comes.
    let until = w.now + 3_000;
    w.workers.values_mut().for_each(|m| m.hung_until = until);
    w.state.refuses_late = Some((leader, 400));
    w.abort(leader, "wk-000001");
    w.run(60);
    let past = w.abort((leader + 1) % 3, "wk-000001");
    w.run(1_000);
    assert_eq!(w.status(past), 200);
    w.state.refuses_late = None;
    w.run(CANCEL_MS + 10_000);
    assert!(w.on("wk-000001").is_empty());
    w.keep_rules();
}

/// Guards a record that can't be read (claim 15): its job alone is left alone, and
/// nothing writes over it.
#[test]
fn an_unreadable_record_stops_its_job_alone() {
    let mut w = World::new(3, 2, 0.0, 1780);
    w.run(500);
    w.run_ms.insert("wk-000001".into(), 600_000);
    w.submit_surely(&job("wk-000001", Shape::Array, 1));
    w.until(5_000, "it runs", |w| w.on("wk-000001").len() == 1);
    let garbage = ciborium::value::Value::Text("?".into());
    w.state.keys.get_mut("shares/wk-000001/0/0").unwrap().0 = garbage.clone();
    (0..3).for_each(|n| w.kill_for(n, 500));
    w.run(2_000);
    w.submit_surely(&job("wk-000002", Shape::Array, 2));
    w.until_done("wk-000002", 20_000);
    w.run(20_000);
    assert_eq!(w.state.keys["shares/wk-000001/0/0"].0, garbage);
    let poll = w.poll(0, "wk-000001");
    w.run(500);
    assert!([200, 503].contains(&w.status(poll)));
    w.keep_rules();
}

/// Guards machines that are up and full of work before the lagging list shows them: a new
/// owner does not give them back, though it can't ask them and hears of them late.
#[test]
fn a_machine_newer_than_the_list_is_not_given_back() {
    let mut w = World::new(3, 4, 0.0, 1790);
    w.run(500);
    w.run_ms.insert("wk-000001".into(), 600_000);
    w.unlisted.extend(["vm-000002".to_string(), "vm-000003".to_string()]);
    w.submit_surely(&job("wk-000001", Shape::Array, 8));
    w.until(5_000, "all run", |w| w.on("wk-000001").len() == 8);
    let old = w.leader().unwrap();
    w.kill(old);
    let until = w.now + 4_500;
    for machine in ["vm-000002", "vm-000003"] {
        w.workers.get_mut(machine).unwrap().hung_until = until;
    }
    w.until(10_000, "another leads", |w| w.leader().is_some_and(|l| l != old));
    w.run(8_000);
    assert_eq!((w.workers.len(), w.on("wk-000001").len()), (4, 8));
    w.keep_rules();
}

/// Guards questions that come many times as often: they share fresh reads, none goes
/// unanswered, and an end that was decided elsewhere is not missed.
#[test]
fn questions_share_fresh_reads() {
    let mut w = World::new(3, 4, 0.0, 1650);
    w.run(500);
    let ids: Vec<String> = (1..6).map(|n| format!("wk-00000{n}")).collect();
    for id in &ids {
        w.run_ms.insert(id.clone(), 600_000);
        w.submit_surely(&job(id, Shape::Array, 1));
    }
    let leader = w.leader().unwrap();
    let (reads, mut asks) = (w.state.requests, Vec::new());
    for _ in 0..200 {
        asks.extend(ids.iter().map(|id| w.poll(leader, id)));
        w.run(10);
    }
    w.run(1_000);
    assert!(asks.iter().all(|a| w.status(*a) == 200));
    assert!(w.state.requests - reads < 300, "{} reads", w.state.requests - reads);
    // An abort that the leader has not heard of is found by the very next question.
    w.cut(End::Node(leader), End::Node((leader + 1) % 3), Cut::Drop);
    w.cut(End::Node(leader), End::Node((leader + 2) % 3), Cut::Drop);
    w.state.no_inbox = true;
    w.run(3_000);
    let abort = w.abort((leader + 1) % 3, &ids[0]);
    w.until(3_000, "aborted past the leader", |w| w.status(abort) == 200);
    let ask = w.poll(leader, &ids[0]);
    w.run(200);
    assert_eq!(w.status(ask), 200);
    assert_eq!(w.told.get(&ids[0]), Some(&JobStatus::Aborted));
    w.keep_rules();
}

/// A cluster with a long array and a service that is spread, all running.
fn busy_world(seed: u64) -> World {
    let mut w = World::new(3, 6, 0.0, seed);
    w.run(500);
    w.run_ms.insert("wk-000001".into(), 7_000);
    w.run_ms.insert("wk-000003".into(), 600_000);
    let mut service = job("wk-000002", Shape::Service, 4);
    service.spread = true;
    w.submit_surely(&service);
    w.submit_surely(&job("wk-000003", Shape::Array, 2));
    w.submit_surely(&job("wk-000001", Shape::Array, 14));
    w
}

/// Guards against a controller that stands still while its clocks run on, for less and
/// for more than its lease and the workers', between rounds and in the midst of one, as
/// leader or not: what is cancelled and submitted meanwhile is, and nothing runs twice.
#[test]
fn a_controller_stands_still() {
    for (seed, pause) in [1_500, 2_500, 5_000, 9_000, 16_000, 25_000].into_iter().enumerate() {
        for case in 0..8u64 {
            let mut w = busy_world(1500 + 10 * seed as u64 + case);
            w.run(400 * case);
            let old = w.leader().unwrap();
            let who = if case % 2 == 0 { old } else { (old + 1) % 3 };
            match case / 2 % 2 {
                0 => w.pause(who, pause),
                _ => w.pause_in_round(who, pause),
            }
            // In some, it is paused again as soon as it has woken.
            if case >= 4 {
                w.run(pause + 30);
                w.pause_in_round(who, pause);
            }
            let ask = w.abort((who + 1) % 3, "wk-000003");
            w.run(300);
            let spec = job("wk-000004", Shape::Array, 3);
            w.submit((who + 2) % 3, &spec);
            w.run(pause);
            if w.status(ask) != 200 {
                w.abort_surely("wk-000003");
            }
            w.submit_surely(&spec);
            w.until_done("wk-000001", 60_000);
            w.until_done("wk-000004", 60_000);
            w.run(CANCEL_MS);
            assert_eq!((w.on("wk-000002").len(), w.on("wk-000003").len()), (4, 0));
            w.keep_rules();
        }
    }
}

/// Guards a leader that has stood still against going by what it knew: it commands no
/// worker and answers no report before it knows the view again, and takes its own
/// silence for nobody's.
#[test]
fn a_woken_leader_commands_nobody_before_it_knows_the_view() {
    let mut w = busy_world(1600);
    w.run(2_000);
    let leader = w.leader().unwrap();
    let told = w.wake_to_report(leader, 5_000, "vm-000001");
    assert!(told.iter().any(|t| t.starts_with("/keys?starts=view")), "{told:?}");
    let forbidden = |t: &String| t == "answer 200" || t == "/orders" || t == "/machines/return";
    assert!(!told.iter().any(forbidden), "{told:?}");
    // Others asleep for longer than any lease of theirs: it still leads, and work goes on.
    let mut w = busy_world(1610);
    let leader = w.leader().unwrap();
    w.until(5_000, "all run", |w| w.on("wk-000001").len() >= 6);
    let machines = w.workers.len();
    (0..3).for_each(|n| w.pause(n, if n == leader { 3_000 } else { 9_000 }));
    w.until_done("wk-000001", 60_000);
    assert_eq!(w.workers.len(), machines, "no machine went back for our own silence");
    // Nor for time that they were idle because we gave them nothing.
    w.run(21_000);
    (0..3).for_each(|n| w.pause(n, if n == leader { 5_000 } else { 9_000 }));
    w.run(5_500);
    assert_eq!(w.workers.len(), machines, "no machine went back for our own idleness");
    w.keep_rules();
}

/// Guards healthy machines against jobs that were submitted with a mistake: these fail
/// wherever they are tried, and are tried seldom, while other work goes on beside them
/// and a machine that is truly faulty is still found.
#[test]
fn mistaken_jobs_blame_no_machine() {
    for faulty in [false, true] {
        let mut w = World::new(3, 8, 0.0, 1350);
        w.run(500);
        w.workers.get_mut("vm-000003").unwrap().fails = faulty;
        for n in 1..5 {
            let id = format!("wk-00000{n}");
            w.mistaken.insert(id.clone(), 0);
            w.submit_surely(&job(&id, Shape::Array, 6));
        }
        w.run(5_000);
        let before: Vec<u32> = w.mistaken.values().copied().collect();
        for n in 1..5 {
            w.submit_surely(&job(&format!("wk-00001{n}"), Shape::Array, 8));
        }
        for n in 1..5 {
            w.until_done(&format!("wk-00001{n}"), 20_000);
        }
        w.run(30_000);
        assert_eq!(w.workers.len(), if faulty { 7 } else { 8 }, "only what is faulty goes back");
        assert_eq!(w.workers.contains_key("vm-000003"), !faulty);
        for (failed, before) in w.mistaken.values().zip(before) {
            assert!(failed - before <= 8, "{failed} failures, {before} of them early");
        }
        for n in 1..5 {
            let abort = w.abort(0, &format!("wk-00000{n}"));
            w.run(500);
            assert_eq!(w.status(abort), 200);
        }
        w.keep_rules();
    }
}

/// Something of chance fails, or all is well again; the controller that it befell.
pub fn trouble(w: &mut World, rng: &mut rand::rngs::SmallRng) -> usize {
    use rand::Rng;
    let node = rng.random_range(0..3);
    let how = if rng.random_bool(0.5) { Cut::Hold } else { Cut::Drop };
    match rng.random_range(0..11) {
        0 => w.kill_for(node, 3_000),
        1 => (0..3).for_each(|n| w.kill_for(n, 2_000)),
        2 => w.cut(End::Node(node), End::State, how),
        3 => {
            w.state.refuses.insert(node);
        }
        4 => w.state.down = !w.state.down,
        5 => w.cut(End::Node(node), End::Node((node + 1) % 3), how),
        6 => {
            let names: Vec<String> = w.workers.keys().cloned().collect();
            let name = names[rng.random_range(0..names.len())].clone();
            w.workers.get_mut(&name).unwrap().hung_until = w.now + rng.random_range(2_000..12_000);
        }
        8 => w.pause(node, rng.random_range(1_000..26_000)),
        9 => w.pause_in_round(node, rng.random_range(1_000..26_000)),
        7 => {
            let names: Vec<String> = w.workers.keys().cloned().collect();
            for name in names.iter().filter(|_| rng.random_bool(0.4)) {
                w.cut(End::Node(node), End::Worker(name.clone()), how);
            }
        }
        _ => {
            w.heal();
            w.state.refuses.clear();
            w.state.down = false;
        }
    }
    node
}

/// Guards against everything at once: random kills, cuts, outages, hangs and aborts
/// over a lossy network. The rules hold and, once it is calm, all work is done.
#[test]
fn storms() {
    use rand::{rngs::SmallRng, Rng, SeedableRng};
    for seed in 0..30 {
        let mut w = World::new(3, 6, 32.0, 2000 + seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        w.loss = 0.01;
        w.max_delay = 60;
        w.cloud_off = false;
        w.run(1_000);
        let mut ids = Vec::new();
        for n in 0..12 {
            let id = format!("wk-{:06}", n + 1);
            let shape = match n % 4 {
                0 => Shape::Service,
                3 => Shape::Gang,
                _ => Shape::Array,
            };
            w.run_ms.insert(id.clone(), rng.random_range(500..12_000));
            let mut spec = job(&id, shape, rng.random_range(1..5));
            spec.spread = shape == Shape::Service;
            w.submit(rng.random_range(0..3), &spec);
            ids.push((id, spec));
            let node = trouble(&mut w, &mut rng);
            if rng.random_bool(0.2) {
                let at = rng.random_range(0..ids.len());
                let id = ids[at].0.clone();
                w.abort(node, &id);
            }
            w.run(rng.random_range(500..8_000));
        }
        w.heal();
        w.state.refuses.clear();
        w.state.down = false;
        (0..3).for_each(|n| w.kill_for(n, 1_000));
        w.run(2_000);
        for (id, spec) in &ids {
            if spec.shape == Shape::Service {
                w.submit_surely(spec);
                w.abort_surely(id);
            }
        }
        for (id, spec) in &ids {
            if spec.shape != Shape::Service {
                w.submit_surely(spec);
                if w.told.get(id) != Some(&JobStatus::Aborted) {
                    w.until_done(id, 300_000);
                }
            }
        }
        w.nobody_is_forgotten();
    }
}

/// Sends submissions of small jobs to a node, so many in each tenth of a second.
fn flood(w: &mut World, node: usize, first: u32, tenths: u32, each: u32) -> Vec<(usize, String)> {
    let mut asks = Vec::new();
    for n in 0..tenths * each {
        let id = format!("wk-{:06}", first + n);
        w.run_ms.insert(id.clone(), 300);
        asks.push((w.submit(node, &job(&id, Shape::Array, 1)), id));
        if n % each == each - 1 {
            w.run(100);
        }
    }
    w.run(500);
    asks
}

/// Guards what is accepted against acceptances: with more work coming than can be recorded,
/// accepted jobs are still started and done, urgent work is taken at once, whoever is turned
/// away is told at once when to come back, and after the flood all is as before.
#[test]
fn a_flood_of_submissions_does_not_starve_what_was_accepted() {
    let mut w = World::new(3, 12, 0.0, 41);
    w.without_pages();
    w.state.limits = Some((usize::MAX, 12, 40.0));
    w.run(2_500);
    let leader = w.leader().unwrap();
    // Three times as many as the state service takes changes.
    let first = flood(&mut w, leader, 1, 40, 12);
    let service = w.submit(leader, &job("wk-900000", Shape::Service, 2));
    let more = flood(&mut w, leader, 1_000, 20, 12);
    assert_eq!(w.figures(leader)["writes_short"], 1.0);
    assert_eq!(w.status(service), 201, "urgent work is taken as it comes");
    let asks: Vec<_> = first.into_iter().chain(more).collect();
    let of = |w: &World, status| asks.iter().filter(|(a, _)| w.status(*a) == status).count();
    let (accepted, away) = (of(&w, 201), of(&w, 429));
    assert_eq!(accepted + away, asks.len(), "everybody is answered at once");
    let later = |a: usize| w.asks[a].answer.as_ref().and_then(|r| r.retry_after_s);
    let told: Vec<u32> = asks.iter().filter_map(|(a, _)| later(*a)).collect();
    assert_eq!(told.len(), away);
    assert!(told.iter().max() >= Some(&4) && told.iter().min() == Some(&1), "not spread");
    let done = w.done.values().filter(|d| !d.is_empty()).count();
    assert!(done * 3 > accepted, "{done} of {accepted} accepted jobs are done");
    w.run(6_000);
    assert_eq!(w.figures(leader)["writes_short"], 0.0, "back to normal by itself");
    for (_, id) in asks.iter().filter(|(a, _)| w.status(*a) == 201).take(20) {
        assert!(w.done.get(id).is_some_and(|d| d.len() == 1), "{id} was left behind");
    }
    w.keep_rules();
}

/// Guards the state service's changes: what the leader turns away for lack of them, a
/// follower does not record past it at three times the cost.
#[test]
fn a_follower_hands_on_what_the_leader_turns_away() {
    let mut w = World::new(3, 12, 0.0, 42);
    w.without_pages();
    w.state.limits = Some((usize::MAX, 12, 40.0));
    w.run(2_500);
    let follower = (w.leader().unwrap() + 1) % 3;
    let asks = flood(&mut w, follower, 1, 50, 12);
    let away = asks.iter().filter(|(a, _)| w.status(*a) == 429).count();
    assert!(away > 100, "{away} were turned away");
    let past = w.state.journal.iter().filter(|(key, _)| key.starts_with("inbox/")).count();
    assert_eq!(past, 0, "recorded past a leader that had no changes left");
    w.keep_rules();
}
