//! Stories of format 3: the share of a job of one chunk in the job's own record.

use crate::rolls::TODAY;
use crate::world::{job, Cut, End, World, CANCEL_MS};
use ciborium::value::Value;
use quartzgate_core::records::{checked_size, JobRecord};
use quartzgate_wire::msg::{JobStatus, Shape};

/// A cluster on which format 3 stands.
fn world(workers: usize, kb: Option<f64>, seed: u64) -> World {
    let mut w = World::new(3, workers, 0.0, seed);
    if let Some(kb) = kb {
        w.next = Some(serde_json::json!({"value_kb": kb}));
        (0..3).for_each(|n| {
            w.kill(n);
            w.start(n)
        });
    }
    w.until(20_000, "format 3 stands", |w| w.stands().version >= 3);
    w.run(1_500);
    w
}

fn recorded(w: &World, id: &str) -> JobRecord {
    w.state.keys[&format!("jobs/{id}")].0.deserialized().unwrap()
}

fn share_keys(w: &World) -> usize {
    w.state.keys.keys().filter(|k| k.starts_with("shares/")).count()
}

/// Guards the saving: a calm job of one task is accepted and dealt with one change, and
/// ended with one more; its record never names fewer machines than may hold its tasks.
#[test]
fn a_job_costs_two_changes() {
    let mut w = world(6, None, 500);
    let leader = w.leader().unwrap();
    let before = w.state.writes;
    for n in 0..8 {
        w.submit(leader, &job(&format!("wk-00000{n}"), Shape::Array, 1));
        w.run(700);
    }
    assert!(recorded(&w, "wk-000007").share.is_some_and(|s| !s.sets.is_empty()));
    w.run(15_000);
    for n in 0..8 {
        let id = format!("wk-00000{n}");
        w.poll(leader, &id);
        w.run(20);
        assert_eq!(w.told[&id], JobStatus::Done);
        assert!(recorded(&w, &id).share.is_none(), "an end is small");
    }
    assert_eq!((w.state.writes - before, share_keys(&w)), (16, 0));
    w.keep_rules();
}

/// Guards takeovers: a new owner finds in the jobs' own records where every task may be,
/// starts none twice and stops none that runs; also where shares of the format before
/// stand beside them.
#[test]
fn the_next_owner_reads_shares_in_their_jobs_records() {
    for case in 0..6u64 {
        let mut w = World::new(3, 30, 0.0, 510 + case);
        for n in 0..3 {
            w.replace(n, &TODAY, 1);
        }
        w.until(20_000, "format 2 stands", |w| w.stands().version == 2);
        w.run(2_500);
        w.run_ms.insert("wk-000001".into(), 30_000);
        w.submit_surely(&job("wk-000001", Shape::Array, 20));
        assert_eq!(share_keys(&w), 1);
        (0..3).for_each(|n| {
            w.tables.remove(&n);
            w.kill_for(n, 300)
        });
        w.until(30_000, "format 3 stands", |w| w.stands().version >= 3);
        w.run(1_500);
        w.run_ms.insert("wk-000002".into(), 30_000);
        w.submit_surely(&job("wk-000002", Shape::Array, 20));
        w.submit_surely(&job("wk-000003", Shape::Service, 4));
        let mut gang = job("wk-000004", Shape::Gang, 4);
        gang.checkpoint_s = 1.0;
        w.submit_surely(&gang);
        w.run(case * 300);
        assert!(share_keys(&w) <= 1, "none of format 3");
        w.state.page = Some(1 + case as usize);
        (0..3).for_each(|n| w.kill_for(n, 400));
        w.run(3_000);
        for id in ["wk-000001", "wk-000002", "wk-000004"] {
            w.until_done(id, 120_000);
        }
        let again = w.starts.iter().filter(|(t, s)| t.starts_with("wk-000001/") && s.len() > 1);
        assert_eq!(again.count(), 0, "what ran went on where it was");
        assert_eq!(w.on("wk-000003").len(), 4);
        w.keep_rules();
    }
}

/// Guards shares that outgrow their job's record: they move out, in one transaction with
/// it, at whatever moment the owner changes.
#[test]
fn a_share_that_outgrows_its_record_moves_out() {
    let mut moved = 0;
    for case in 0..8u64 {
        let mut w = world(60, Some(1.2), 520 + case);
        w.state.limits = Some((1228, 12, 0.0));
        w.run_ms.insert("wk-000001".into(), 25_000);
        // Dealt as machines fall free, and so more and more of it.
        w.submit(w.leader().unwrap(), &job("wk-000002", Shape::Array, 64));
        w.run(200);
        w.submit_surely(&job("wk-000001", Shape::Array, 40));
        w.run(case * 400);
        moved += usize::from(share_keys(&w) > 0);
        if case % 2 == 0 {
            (0..3).for_each(|n| w.kill_for(n, 400));
        } else {
            w.state.swallow_answers = 3;
        }
        w.until_done("wk-000001", 120_000);
        w.until_done("wk-000002", 120_000);
        w.run(3_000);
        assert_eq!((share_keys(&w), w.state.too_large), (0, 0));
        w.keep_rules();
    }
    assert!(moved > 2, "none moved out: {moved}");
}

/// Guards aborts against writes of the same record: by the leader while a deal is under
/// way, and past the leader. None is lost, none leaves a task running, and the record goes
/// on naming where tasks may be until they are gone.
#[test]
fn an_abort_meets_writes_of_the_same_record() {
    for case in 0..16u64 {
        let mut w = world(8, None, 540 + case);
        let leader = w.leader().unwrap();
        w.run_ms.insert("wk-000001".into(), 600_000);
        w.submit_surely(&job("wk-000001", Shape::Array, 30));
        w.run(case * 61);
        if case % 2 == 0 {
            // Decided by the records alone, while the leader goes on dealing.
            let other = (leader + 1) % 3;
            w.cut(End::Node(leader), End::Node(other), Cut::Drop);
            w.run(1_000);
            w.insist(20_000, |w, _| w.abort(other, "wk-000001"), |s| s == 200);
        } else {
            w.state.swallow_answers = (case % 4) as u32;
            w.abort_surely("wk-000001");
        }
        if case % 3 == 0 {
            let ended = recorded(&w, "wk-000001");
            let running = !w.on("wk-000001").is_empty();
            assert!(!running || ended.share.is_some(), "where its tasks are is still told");
            (0..3).for_each(|n| w.kill_for(n, 300));
        }
        w.heal();
        w.run(CANCEL_MS);
        assert_eq!(w.on("wk-000001").len(), 0);
        w.submit_surely(&job("wk-000002", Shape::Array, 3));
        w.until_done("wk-000002", 60_000);
        w.keep_rules();
    }
}

/// Guards an abort past the leader of a job whose record is as large as a value may be:
/// the word `aborted` still fits.
#[test]
fn a_full_record_can_be_aborted() {
    let mut large = 0;
    for tasks in 20..40 {
        let mut w = world(70, Some(1.5), 560 + tasks as u64);
        w.state.limits = Some((1536, 12, 0.0));
        w.run_ms.insert("wk-000001".into(), 600_000);
        w.submit_surely(&job("wk-000001", Shape::Array, tasks));
        w.run(2_000);
        let size = checked_size(&w.state.keys["jobs/wk-000001"].0);
        large += u32::from((1380..=1536).contains(&size));
        let leader = w.leader().unwrap();
        w.cut(End::Node(leader), End::State, Cut::Drop);
        w.insist(20_000, |w, n| w.abort(n, "wk-000001"), |s| s == 200);
        assert_eq!(w.state.too_large, 0);
        w.heal();
        w.run(CANCEL_MS + 10_000);
        assert_eq!(w.on("wk-000001").len(), 0);
        w.keep_rules();
    }
    assert!(large > 0, "none came near the limit");
}

/// Guards a damaged share within a record: its job stops, loudly, and no other.
#[test]
fn a_damaged_share_in_a_record_stops_its_job_alone() {
    for case in 0..2 {
        let mut w = world(10, None, 590 + case);
        w.run_ms.insert("wk-000001".into(), 5_000);
        w.submit_surely(&job("wk-000001", Shape::Array, 3));
        w.submit_surely(&job("wk-000002", Shape::Array, 3));
        (0..3).for_each(|n| w.kill(n));
        let mut record = recorded(&w, "wk-000001");
        let share = record.share.as_mut().unwrap();
        match case {
            0 => share.sets[0][1] = 1_000,
            _ => share.of = 2,
        }
        let damaged = Value::serialized(&record).unwrap();
        w.state.keys.get_mut("jobs/wk-000001").unwrap().0 = damaged.clone();
        (0..3).for_each(|n| w.start(n));
        w.until_done("wk-000002", 60_000);
        w.run(CANCEL_MS);
        assert_eq!(w.state.keys["jobs/wk-000001"].0, damaged, "left as it is");
        assert_ne!(w.told["wk-000001"], JobStatus::Done);
        w.keep_rules();
    }
}
