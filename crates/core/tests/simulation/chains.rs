//! Stories of jobs that need others. In every one of them the cluster notes a task that
//! starts before the jobs that its job needs are done, or before that is on record, a job
//! that is called alive too long after one before it was cancelled, and one that is called
//! cancelled though nobody cancelled it or one before it. Each says what it guards.

use crate::world::{behind, job, Cut, End, World, CANCEL_MS};
use quartzgate_core::records::RecordedStatus;
use quartzgate_wire::msg::{JobStatus, Rank, Shape};
use quartzgate_wire::to_cbor;

/// A cluster whose format is latched.
fn latched_world(workers: usize, limit_cpus: f64, seed: u64) -> World {
    let mut w = World::new(3, workers, limit_cpus, seed);
    w.until(10_000, "the format is latched", World::latched);
    w.run(1_500);
    w
}

/// Guards the whole path of a pipeline with a fan, submitted to different controllers:
/// it runs in order, waits as `pending`, and while it waits holds no part of the limit.
#[test]
fn a_pipeline_runs_in_order_and_waits_for_nothing_but_its_own() {
    let mut w = latched_world(4, 8.0, 1);
    w.run_ms.insert("wk-000001".into(), 8_000);
    w.submit_surely(&job("wk-000001", Shape::Array, 1));
    for (n, needs) in [(2, vec!["wk-000001"]), (3, vec!["wk-000001"])] {
        let spec = behind(job(&format!("wk-00000{n}"), Shape::Array, 3), &needs);
        let ask = w.submit(n % 3, &spec);
        w.run(300);
        assert_eq!(w.status(ask), 201);
    }
    let last = behind(job("wk-000004", Shape::Gang, 2), &["wk-000002", "wk-000003", "wk-000002"]);
    w.submit_surely(&last);
    // What waits licences nothing: other work has the whole limit but one task.
    w.submit_surely(&job("wk-000009", Shape::Array, 1));
    w.until(2_500, "the other job runs", |w| w.starts.contains_key("wk-000009/0"));
    assert!(!w.done.contains_key("wk-000001"), "the first stage is still running");
    w.poll(1, "wk-000004");
    w.run(300);
    assert_eq!(w.told.get("wk-000004"), Some(&JobStatus::Queued));
    w.until_done("wk-000004", 60_000);
    // Operators see how long things took: each stage began soon after the one before it.
    let leader = w.leader().unwrap();
    let seen = w.figures(leader);
    assert!(seen["latency_ms.chain_start.count"] >= 3.0);
    assert!(seen["latency_ms.chain_start.p50"] < 1_000.0);
    assert!(seen["latency_ms.write.p50"] <= seen["latency_ms.write.max"]);
    w.keep_rules();
}

/// Guards what comes back at once: names of jobs that were never accepted, of services,
/// also ended ones, and of itself; malformed lists; lists that no value can hold; and
/// repeats of known jobs, which are never refused whatever their list says.
#[test]
fn lists_that_can_never_be_met_are_refused() {
    let mut w = latched_world(4, 0.0, 2);
    w.submit_surely(&job("wk-000001", Shape::Service, 1));
    w.submit_surely(&job("wk-000002", Shape::Service, 1));
    w.submit_surely(&job("wk-000003", Shape::Array, 1));
    w.abort_surely("wk-000002");
    w.run(6_000);
    for node in 0..3 {
        let long: Vec<String> = (0..800).map(|n| format!("wk-{:06}", 1_000 + n)).collect();
        let long: Vec<&str> = long.iter().map(String::as_str).collect();
        let id = format!("wk-00001{node}");
        let ask = |w: &mut World, needs: &[&str]| {
            let spec = behind(job(&id, Shape::Array, 1), needs);
            let ask = w.ask(node, "POST", "/api/jobs", to_cbor(&spec));
            w.run(600);
            w.status(ask)
        };
        assert_eq!(ask(&mut w, &["wk-777777"]), 422, "never accepted");
        assert_eq!(ask(&mut w, &["wk-000001"]), 422, "a service");
        assert_eq!(ask(&mut w, &["wk-000002"]), 422, "a service that has ended");
        assert_eq!(ask(&mut w, &[&id]), 422, "itself");
        assert_eq!(ask(&mut w, &["wk-x"]), 400, "a malformed ref");
        assert_eq!(ask(&mut w, &long), 400, "too long a list");
        // Not a list at all; null and an empty one are none.
        for (value, status) in [("7", 400), ("{}", 400), ("null", 201), ("[]", 200)] {
            let mut map = serde_json::to_value(job(&id, Shape::Array, 1)).unwrap();
            map["prereqs"] = serde_json::from_str(value).unwrap();
            w.jobs.insert(id.clone(), job(&id, Shape::Array, 1));
            let ask = w.ask(node, "POST", "/api/jobs", to_cbor(&map));
            w.run(600);
            assert_eq!(w.status(ask), status, "prereqs: {value}");
        }
        // Known by now.
        for needs in [&["wk-777777"][..], &["wk-000001"], &[&id], &long] {
            assert_eq!(ask(&mut w, needs), 200);
        }
    }
    w.keep_rules();
}

/// Guards an end that is not on record when its owner changes: the tasks are done, the
/// leader can't write it, and dies. What needs the job waits for the record.
#[test]
fn an_end_not_yet_recorded_when_the_owner_changes() {
    for case in 0..8 {
        let mut w = latched_world(4, 0.0, 20 + case);
        let leader = w.leader().unwrap();
        w.run_ms.insert("wk-000001".into(), 3_000);
        w.submit_surely(&job("wk-000001", Shape::Array, 2));
        w.submit_surely(&behind(job("wk-000002", Shape::Array, 2), &["wk-000001"]));
        w.until(10_000, "it runs", |w| w.on("wk-000001").len() == 2);
        match case % 2 {
            0 => w.state.refuses_late = Some((leader, 50)),
            _ => w.state.swallow_answers = 3,
        }
        w.until(10_000, "all done", |w| w.done.get("wk-000001").is_some_and(|d| d.len() == 2));
        w.run(60 * case);
        w.kill_for(leader, 4_000);
        w.state.refuses_late = None;
        w.until_done("wk-000002", 60_000);
        w.keep_rules();
    }
}

/// Guards a cancellation that races the last end, wherever it is asked: answered `done`,
/// the chain goes on; answered `aborted`, all that is behind is cancelled and never runs.
#[test]
fn a_cancellation_races_the_last_end() {
    let mut ends = [0, 0];
    for case in 0..24u64 {
        let mut w = latched_world(4, 0.0, 40 + case);
        w.run_ms.insert("wk-000001".into(), 2_000);
        w.submit_surely(&job("wk-000001", Shape::Array, 1));
        w.until(5_000, "it runs", |w| w.starts.contains_key("wk-000001/0"));
        for (id, needs) in [("wk-000002", "wk-000001"), ("wk-000003", "wk-000002")] {
            let ask = w.submit(0, &behind(job(id, Shape::Array, 1), &[needs]));
            w.until(2_000, "accepted", |w| w.status(ask) == 201);
        }
        let leader = w.leader().unwrap();
        let ran = w.now - w.starts["wk-000001/0"][0].1;
        w.run(1_850 + case * 20 - ran.min(1_850));
        w.abort((leader + case as usize) % 3, "wk-000001");
        if case % 3 == 2 {
            w.kill_for(leader, 3_000);
        }
        w.run(2_000);
        w.abort_surely("wk-000001");
        match w.told["wk-000001"] {
            JobStatus::Done => {
                ends[0] += 1;
                w.until_done("wk-000003", 60_000);
            }
            _ => {
                ends[1] += 1;
                w.run(3_000);
                for id in ["wk-000002", "wk-000003"] {
                    w.insist(20_000, |w, n| w.poll(n, id), |s| s == 200);
                    assert_eq!(w.told.get(id), Some(&JobStatus::Aborted), "{id}");
                }
                w.run(CANCEL_MS);
                assert!(!w.starts.contains_key("wk-000002/0"));
            }
        }
        w.keep_rules();
    }
    assert!(ends[0] > 0 && ends[1] > 0, "both ends of the race are told: {ends:?}");
}

/// Guards the derived end: a follower that is cut off from the leader tells of a job two
/// behind a cancelled one that it is cancelled, before anyone has written that down; the
/// leader, which has heard of nothing, gives no older answer; and a job submitted behind
/// it afterwards is accepted, and cancelled.
#[test]
fn a_derived_end_is_told_by_a_follower_that_is_cut_off() {
    let mut w = latched_world(4, 0.0, 70);
    w.run_ms.insert("wk-000001".into(), 600_000);
    w.submit_surely(&job("wk-000001", Shape::Array, 1));
    w.submit_surely(&behind(job("wk-000002", Shape::Array, 1), &["wk-000001"]));
    w.submit_surely(&behind(job("wk-000003", Shape::Array, 1), &["wk-000002"]));
    let leader = w.leader().unwrap();
    let (a, b) = ((leader + 1) % 3, (leader + 2) % 3);
    w.cut(End::Node(leader), End::Node(a), Cut::Drop);
    w.cut(End::Node(leader), End::Node(b), Cut::Drop);
    w.state.no_inbox = true;
    w.run(3_000);
    let abort = w.abort(a, "wk-000001");
    w.until(3_000, "aborted past the leader", |w| w.status(abort) == 200);
    let ask = w.poll(b, "wk-000003");
    w.run(300);
    assert_eq!(w.status(ask), 200);
    assert_eq!(w.told.get("wk-000003"), Some(&JobStatus::Aborted));
    assert_eq!(w.recorded("wk-000003"), Some(RecordedStatus::Live), "nobody wrote it down");
    // The world notes it if the leader now calls it anything else.
    let ask = w.poll(leader, "wk-000003");
    w.run(300);
    assert_eq!(w.status(ask), 200);
    let late = w.submit(b, &behind(job("wk-000004", Shape::Array, 1), &["wk-000003"]));
    w.run(600);
    assert_eq!(w.status(late), 201);
    w.poll(a, "wk-000004");
    w.run(600);
    assert_eq!(w.told.get("wk-000004"), Some(&JobStatus::Aborted));
    w.heal();
    w.state.no_inbox = false;
    w.run(1_000);
    // It has missed the note of it, and hears of it by a question.
    w.poll(leader, "wk-000004");
    w.until(40_000, "written down", |w| {
        ["wk-000002", "wk-000003", "wk-000004"]
            .iter()
            .all(|id| w.recorded(id) == Some(RecordedStatus::Aborted))
    });
    w.keep_rules();
}

/// Guards takeovers with chains about: what was done, cancelled, live or recorded past
/// the leader before one is known from the records after it, at any moment.
#[test]
fn chains_outlive_their_owners() {
    for case in 0..10u64 {
        let mut w = latched_world(5, 0.0, 90 + case);
        w.run_ms.insert("wk-000001".into(), 2_500);
        w.run_ms.insert("wk-000005".into(), 600_000);
        w.submit_surely(&job("wk-000001", Shape::Array, 3));
        w.submit_surely(&job("wk-000005", Shape::Array, 1));
        w.submit_surely(&behind(job("wk-000002", Shape::Array, 70), &["wk-000001"]));
        w.submit_surely(&behind(job("wk-000003", Shape::Gang, 2), &["wk-000002", "wk-000001"]));
        w.submit_surely(&behind(job("wk-000006", Shape::Array, 1), &["wk-000005", "wk-000001"]));
        w.submit_surely(&behind(job("wk-000007", Shape::Array, 1), &["wk-000006"]));
        w.run(300 * case);
        match case % 2 {
            0 => (0..3).for_each(|n| w.kill_for(n, 1_000)),
            _ => {
                let leader = w.leader().unwrap();
                w.kill_for(leader, 3_000);
                w.abort((leader + 1) % 3, "wk-000005");
            }
        }
        w.run(1_500);
        w.abort_surely("wk-000005");
        w.until_done("wk-000003", 200_000);
        for id in ["wk-000006", "wk-000007"] {
            w.insist(20_000, |w, n| w.poll(n, id), |s| s == 200);
            assert_eq!(w.told.get(id), Some(&JobStatus::Aborted), "{id}");
        }
        w.keep_rules();
    }
}

/// Guards wide fans and long chains, in both directions: more jobs before one than a
/// comparison takes, and more links than anything could recurse through.
#[test]
fn wide_fans_and_long_chains() {
    let mut w = latched_world(6, 0.0, 110);
    w.run_ms.insert("wk-000001".into(), 30_000);
    w.submit_surely(&job("wk-000001", Shape::Array, 1));
    let mut fan = Vec::new();
    for n in 0..60 {
        let id = format!("wk-0001{n:02}");
        w.submit(n % 3, &behind(job(&id, Shape::Array, 1), &["wk-000001"]));
        w.run(150);
        fan.push(id);
    }
    let names: Vec<&str> = fan.iter().map(String::as_str).collect();
    w.submit_surely(&behind(job("wk-000200", Shape::Array, 1), &names));
    let mut last = "wk-000200".to_string();
    for n in 0..40 {
        let id = format!("wk-0003{n:02}");
        w.submit(n % 3, &behind(job(&id, Shape::Array, 1), &[&last]));
        w.run(150);
        last = id;
    }
    for node in 0..3 {
        let ask = w.poll(node, &last);
        w.run(1_500);
        assert_eq!((w.status(ask), w.told[&last]), (200, JobStatus::Queued));
    }
    w.abort_surely("wk-000139");
    // It may have been done already; then everything is.
    w.run(CANCEL_MS);
    let end = w.told["wk-000139"];
    w.insist(20_000, |w, n| w.poll(n, &last), |s| s == 200);
    assert_eq!(end, JobStatus::Aborted);
    assert_eq!(w.told[&last], JobStatus::Aborted);
    w.keep_rules();
}

/// Guards a damaged record within a chain: it stops the jobs that need it, before and
/// after a takeover, and no others.
#[test]
fn a_damaged_record_stops_the_jobs_behind_it_alone() {
    let mut w = latched_world(4, 0.0, 130);
    w.run_ms.insert("wk-000001".into(), 600_000);
    w.submit_surely(&job("wk-000001", Shape::Array, 1));
    w.submit_surely(&behind(job("wk-000002", Shape::Array, 1), &["wk-000001"]));
    w.state.keys.get_mut("jobs/wk-000001").unwrap().0 = ciborium::value::Value::Text("?".into());
    (0..3).for_each(|n| w.kill_for(n, 500));
    w.run(6_000);
    w.submit_surely(&job("wk-000003", Shape::Array, 2));
    w.submit_surely(&behind(job("wk-000004", Shape::Array, 2), &["wk-000003"]));
    w.until_done("wk-000004", 60_000);
    let ask = w.poll(0, "wk-000002");
    w.run(2_500);
    assert_eq!(w.status(ask), 503, "it can't be said how it stands");
    assert!(w.on("wk-000002").is_empty());
    w.keep_rules();
}

/// Guards what flows backwards: a job that one of high priority needs goes first, with a
/// class whose deadline it works for, and falls back once nobody needs it any more.
#[test]
fn priority_flows_backwards() {
    for cancel in [false, true] {
        let mut w = latched_world(2, 8.0, 140);
        w.run_ms.insert("wk-000009".into(), 4_000);
        // Both places are taken; two jobs of the lowest priority wait.
        w.submit_surely(&job("wk-000009", Shape::Array, 2));
        w.until(4_000, "full", |w| w.on("wk-000009").len() == 2);
        for n in [1, 2] {
            w.run_ms.insert(format!("wk-00000{n}"), 3_000);
            let mut low = job(&format!("wk-00000{n}"), Shape::Array, 2);
            low.rank = Rank::Low;
            let ask = w.submit(0, &low);
            w.until(2_000, "accepted", |w| w.status(ask) == 201);
        }
        let mut high = behind(job("wk-000003", Shape::Array, 1), &["wk-000002"]);
        high.rank = Rank::High;
        let ask = w.submit(0, &high);
        w.until(2_000, "accepted", |w| w.status(ask) == 201);
        if cancel {
            let ask = w.abort(0, "wk-000003");
            w.until(2_000, "cancelled", |w| w.status(ask) == 200);
        }
        let first =
            |w: &World| ["wk-000001/0", "wk-000002/0"].map(|t| w.starts.get(t).map(|s| s[0].1));
        w.until(20_000, "one starts", |w| first(w).iter().any(Option::is_some));
        let [one, two] = first(&w);
        assert_eq!(two.is_some_and(|two| one.is_none_or(|one| two < one)), !cancel);
        w.keep_rules();
    }
}

/// Guards a named job that the leader has never heard of: both were accepted past it, and
/// the note of the first was lost. Its record is read, and both run.
#[test]
fn a_named_job_that_memory_does_not_know_is_read() {
    let mut w = latched_world(4, 0.0, 150);
    let leader = w.leader().unwrap();
    let a = (leader + 1) % 3;
    w.cut(End::Node(leader), End::Node(a), Cut::Drop);
    w.run(3_000);
    w.state.no_inbox = true;
    let one = w.submit(a, &job("wk-000001", Shape::Array, 1));
    w.until(2_000, "accepted past the leader", |w| w.status(one) == 201);
    w.run(4_000);
    w.state.no_inbox = false;
    assert!(w.starts.is_empty(), "the leader has not heard of it");
    let two = w.submit(a, &behind(job("wk-000002", Shape::Array, 1), &["wk-000001"]));
    w.until(2_000, "accepted past the leader", |w| w.status(two) == 201);
    w.until(20_000, "both run", |w| w.starts.contains_key("wk-000002/0"));
    w.until_done("wk-000002", 20_000);
    w.keep_rules();
}

/// Guards against everything at once, with chains: random kills, cuts, outages, aborts
/// and, in half of the runs, an upgrade and lower limits in the middle of it.
#[test]
fn storms_over_chains() {
    use rand::{rngs::SmallRng, Rng, SeedableRng};
    for seed in 0..24u64 {
        let mut w = World::new(3, 6, 32.0, 3000 + seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        w.cloud_off = false;
        let upgrade = seed % 2 == 0;
        if upgrade {
            w.next = Some(serde_json::json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 20.0}));
            w.old = (0..3).collect();
            (0..3).for_each(|n| w.kill_for(n, 10));
            w.run(3_000);
            w.submit_surely(&job("wk-000090", Shape::Array, 130));
            for n in 0..3 {
                w.old.remove(&n);
                w.kill_for(n, 500);
                w.run(rng.random_range(600..4_000));
            }
        }
        w.until(30_000, "the format is latched", World::latched);
        if upgrade {
            w.state.limits = Some((2048, 4, 20.0));
        }
        w.loss = 0.01;
        w.max_delay = 60;
        let mut ids: Vec<String> = Vec::new();
        for n in 0..14 {
            let id = format!("wk-{:06}", n + 1);
            w.run_ms.insert(id.clone(), rng.random_range(500..8_000));
            let accepted: Vec<&str> = ids
                .iter()
                .filter(|id| w.told.contains_key(*id) && rng.random_bool(0.4))
                .map(String::as_str)
                .collect();
            let shape = if n % 5 == 3 { Shape::Gang } else { Shape::Array };
            let spec = behind(job(&id, shape, rng.random_range(1..5)), &accepted);
            w.submit(rng.random_range(0..3), &spec);
            ids.push(id);
            let node = rng.random_range(0..3);
            let how = if rng.random_bool(0.5) { Cut::Hold } else { Cut::Drop };
            match rng.random_range(0..9) {
                0 => w.kill_for(node, 3_000),
                1 => (0..3).for_each(|n| w.kill_for(n, 2_000)),
                2 => w.cut(End::Node(node), End::State, how),
                3 => {
                    w.state.refuses.insert(node);
                }
                4 => w.cut(End::Node(node), End::Node((node + 1) % 3), how),
                5 => w.pause(node, rng.random_range(1_000..12_000)),
                6 => w.state.swallow_answers = 2,
                _ => {
                    w.heal();
                    w.state.refuses.clear();
                }
            }
            if rng.random_bool(0.15) {
                let at = rng.random_range(0..ids.len());
                let id = ids[at].clone();
                w.abort(node, &id);
            }
            for _ in 0..3 {
                let at = rng.random_range(0..ids.len());
                let id = ids[at].clone();
                w.poll(rng.random_range(0..3), &id);
                w.run(rng.random_range(200..2_500));
            }
        }
        w.heal();
        w.state.refuses.clear();
        w.run(3_000);
        for id in &ids {
            let spec = w.jobs[id].clone();
            w.submit_surely(&spec);
        }
        for id in &ids {
            let cancelled = |w: &World| w.told.get(id) == Some(&JobStatus::Aborted);
            let end = w.now + 300_000;
            while !cancelled(&w) && w.told.get(id) != Some(&JobStatus::Done) {
                assert!(w.now < end, "seed {seed}: {id} never ends; {:?}", w.breaches);
                w.poll(0, id);
                w.run(500);
            }
        }
        w.nobody_is_forgotten();
    }
}
