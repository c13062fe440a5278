//! Stories of format 4: jobs that share a record.

use crate::trouble;
use crate::world::{job, Cut, End, World, CANCEL_MS};
use ciborium::value::Value;
use quartzgate_core::records::{PageRecord, PAGES};
use quartzgate_wire::msg::{JobStatus, Rank, Shape};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A cluster on which pages are agreed on, and all small jobs share them.
fn world(workers: usize, seed: u64) -> World {
    let mut w = World::new(3, workers, 0.0, seed);
    w.paged = true;
    (0..3).for_each(|n| {
        w.kill(n);
        w.start(n)
    });
    w.until(20_000, "pages are agreed on", |w| w.stands().version >= 4);
    w.run(1_500);
    w
}

fn name(n: u32) -> String {
    format!("wk-{n:06}")
}

/// Submits jobs of so many tasks at once to one controller; what was asked.
fn together(w: &mut World, node: usize, ids: std::ops::Range<u32>, tasks: u32) -> Vec<usize> {
    ids.map(|n| w.submit(node, &job(&name(n), Shape::Array, tasks))).collect()
}

fn pages(w: &World) -> Vec<PageRecord> {
    let keys = w.state.keys.iter().filter(|(k, _)| k.starts_with(PAGES));
    keys.map(|(_, v)| v.0.deserialized().unwrap()).collect()
}

/// Jobs that a page holds and that have no record of their own.
fn paged(w: &World) -> Vec<String> {
    let all = pages(w).into_iter().flat_map(|p| p.ids().cloned().collect::<Vec<_>>());
    all.filter(|id| !w.state.keys.contains_key(&format!("jobs/{id}"))).collect()
}

/// Guards the saving: forty jobs are accepted and dealt with a few changes; each end takes
/// one; what is left is one page, the last.
#[test]
fn many_jobs_share_a_put() {
    let mut w = world(40, 600);
    let leader = w.leader().unwrap();
    let before = w.state.writes;
    let asks = together(&mut w, leader, 0..40, 1);
    w.run(800);
    assert!(asks.iter().all(|a| w.status(*a) == 201));
    assert!(w.state.writes - before <= 4, "{} changes", w.state.writes - before);
    assert_eq!(paged(&w).len(), 40);
    w.run(1_500);
    assert!(w.starts.len() > 30, "{} of them started", w.starts.len());
    w.run(30_000);
    for n in 0..40 {
        w.poll(leader, &name(n));
    }
    w.run(1_000);
    assert!((0..40).all(|n| w.told[&name(n)] == JobStatus::Done));
    assert_eq!((paged(&w).len(), pages(&w).len()), (0, 1));
    let all = w.state.writes - before;
    assert!(all <= 40 + 8, "{all} changes for forty jobs");
    w.keep_rules();
}

/// Guards a flood: with three times as many small jobs coming as the state service takes
/// changes, none is turned away, what is accepted starts, and the work of others is served
/// as without the flood.
#[test]
fn a_flood_of_small_jobs_is_taken() {
    let mut w = World::new(3, 30, 0.0, 605);
    w.until(20_000, "pages are agreed on", |w| w.stands().version >= 4);
    w.run(1_500);
    w.state.limits = Some((usize::MAX, 12, 40.0));
    let leader = w.leader().unwrap();
    let mut asks = Vec::new();
    for tenth in 0..60 {
        let ids = tenth * 12..(tenth + 1) * 12;
        w.run_ms.extend(ids.clone().map(|n| (name(n), 300)));
        asks.extend(together(&mut w, leader, ids, 1));
        if tenth == 30 {
            w.submit(leader, &job("wk-900000", Shape::Service, 2));
        }
        w.run(100);
    }
    w.run(1_500);
    let taken = asks.iter().filter(|a| w.status(**a) == 201).count();
    assert!(taken * 100 >= asks.len() * 97, "{taken} of {}", asks.len());
    assert_eq!(w.on("wk-900000").len(), 2);
    w.run(20_000);
    let done = w.done.values().filter(|d| !d.is_empty()).count();
    assert!(done * 100 >= taken * 97, "{done} of {taken} are done");
    w.keep_rules();
}

/// Guards takeovers: a new owner finds in pages where tasks may be, starts none twice and
/// stops none that runs, wherever the jobs stand by then.
#[test]
fn the_next_owner_reads_pages() {
    for case in 0..10u64 {
        let mut w = world(30, 610 + case);
        for n in 0..20 {
            w.run_ms.insert(name(n), 3_000 + 2_500 * u64::from(n % 10));
        }
        let leader = w.leader().unwrap();
        together(&mut w, leader, 0..12, 2);
        w.run(700);
        together(&mut w, leader, 12..20, 1);
        w.run(100 + case * 700);
        w.abort(leader, &name(3));
        w.run(60 * case);
        w.state.page = Some(1 + case as usize % 4);
        (0..3).for_each(|n| w.kill_for(n, 400));
        w.run(3_000);
        for n in 0..20 {
            w.submit_surely(&job(&name(n), Shape::Array, if n < 12 { 2 } else { 1 }));
            if w.told[&name(n)] != JobStatus::Aborted {
                w.until_done(&name(n), 120_000);
            }
        }
        let again = w.starts.iter().filter(|(t, s)| !t.starts_with("wk-000003") && s.len() > 1);
        assert_eq!(again.count(), 0, "what ran went on where it was");
        w.run(CANCEL_MS);
        assert_eq!((paged(&w).len(), w.on(&name(3)).len()), (0, 0));
        w.keep_rules();
    }
}

/// Guards what is told without the leader: of a job in a page, of one that has left it, of
/// one that nobody submitted; and that a submission past the leader finds the page. Any
/// number of askers share a few reads.
#[test]
fn a_follower_looks_through_the_pages() {
    let mut w = world(20, 630);
    let leader = w.leader().unwrap();
    let other = (leader + 1) % 3;
    w.run_ms = (0..20).map(|n| (name(n), if n < 10 { 2_000 } else { 90_000 })).collect();
    together(&mut w, leader, 0..20, 1);
    w.until(30_000, "half are done", |w| paged(w).len() == 10);
    for n in 0..3 {
        w.cut(End::Node(other), End::Node(n), Cut::Drop);
    }
    w.run(2_000);
    let reads = w.state.requests;
    let asks: Vec<usize> = (0..20).map(|n| w.poll(other, &name(n))).collect();
    let nobody = w.poll(other, "wk-777777");
    let again = w.submit(other, &job(&name(15), Shape::Array, 1));
    w.run(1_500);
    let requests = w.state.requests - reads;
    assert!(asks.iter().all(|a| w.status(*a) == 200));
    assert_eq!((w.status(nobody), w.status(again)), (404, 200));
    assert!((0..10).all(|n| w.told[&name(n)] == JobStatus::Done));
    // One each, one more for each that has none, and a few looks for all of them.
    assert!(requests < 22 + 12 + 30, "{requests} requests");
    // A cancellation past the leader, of a job in a page; its neighbours go on.
    w.insist(20_000, |w, _| w.abort(other, &name(16)), |s| s == 200);
    // One of that nobody heard of is taken past the leader, once.
    w.insist(20_000, |w, _| w.submit(other, &job("wk-000099", Shape::Array, 1)), |s| s < 300);
    w.heal();
    w.run(CANCEL_MS);
    assert_eq!(w.on(&name(16)).len(), 0);
    w.until_done(&name(17), 120_000);
    w.until_done("wk-000099", 60_000);
    w.keep_rules();
}

/// Guards looks that follow what has changed instead of reading all pages again: pages made,
/// rewritten and taken away since the look before; each is told as it stands, and what nobody
/// submitted is unknown. The leader needs no look for that.
#[test]
fn a_look_costs_what_has_changed() {
    let mut w = world(20, 650);
    let leader = w.leader().unwrap();
    let other = (leader + 1) % 3;
    w.run_ms = (0..200).map(|n| (name(n), if n % 3 == 0 { 2_500 } else { 120_000 })).collect();
    together(&mut w, leader, 0..30, 1);
    w.run(600);
    for n in 0..3 {
        w.cut(End::Node(other), End::Node(n), Cut::Drop);
    }
    w.run(3_000);
    for round in 1..6u32 {
        let all = round * 30;
        let some = (0..all).rev().step_by(4 * round as usize);
        let asks: Vec<usize> = some.map(|n| w.poll(other, &name(n))).collect();
        let nobody = w.poll(other, "wk-777777");
        w.run(900);
        let told: Vec<u16> = asks.iter().map(|a| w.status(*a)).collect();
        assert!(told.iter().all(|s| *s == 200), "round {round}: {told:?}");
        assert_eq!(w.status(nobody), 404);
        together(&mut w, leader, all..all + 30, 1);
        w.run(500);
    }
    let reads = w.state.page_reads;
    assert!((1..=2).contains(&reads), "all pages were read {reads} times");
    // The leader knows all pages.
    let nobody = w.poll(leader, "wk-777778");
    w.run(300);
    assert_eq!((w.status(nobody), w.state.page_reads), (404, reads));
    w.heal();
    w.keep_rules();
}

/// Guards submissions past the leader against a storm of questions: those use up the reads, and
/// a submission needs none of its own, but a look that all share.
#[test]
fn questions_leave_submissions_past_the_leader_alone() {
    let mut w = world(20, 652);
    let leader = w.leader().unwrap();
    let other = (leader + 1) % 3;
    together(&mut w, leader, 0..20, 1);
    w.run_ms = (0..40).map(|n| (name(n), 30_000)).collect();
    for n in 0..3 {
        w.cut(End::Node(other), End::Node(n), Cut::Drop);
    }
    w.run(3_000);
    let mut asks = Vec::new();
    for n in 0..60 {
        for k in 0..12 {
            w.poll(other, &name((n + k) % 20));
        }
        if n % 6 == 0 {
            asks.push(w.submit(other, &job(&name(20 + n / 6), Shape::Array, 1)));
        }
        w.run(50);
    }
    w.run(900);
    let told: Vec<u16> = asks.iter().map(|a| w.status(*a)).collect();
    assert!(told.iter().all(|s| *s == 201), "{told:?}");
    w.heal();
    w.keep_rules();
}

/// A flood of one-task jobs of this priority, more than there are changes for their ends; gives
/// how many ends wait.
fn flood_of(w: &mut World, rank: Rank) -> usize {
    w.state.limits = Some((usize::MAX, 12, 10.0));
    w.next = Some(serde_json::json!({"write_rps": 10.0}));
    (0..3).for_each(|n| {
        w.kill(n);
        w.start(n)
    });
    w.run(4_000);
    let leader = w.leader().unwrap();
    w.run_ms = (0..250).map(|n| (name(n), 500)).collect();
    for n in 0..250 {
        let mut spec = job(&name(n), Shape::Array, 1);
        (spec.rank, spec.class) = (rank, "flood".into());
        w.submit(leader, &spec);
        if n % 10 == 9 {
            w.run(100);
        }
    }
    w.run(2_000);
    let waits = paged(w).len();
    assert!(waits > 100, "{waits} ends wait");
    waits
}

/// Guards what everybody else notices of a flood, of guests or of one class among others: with
/// more ends to record than there are changes for, jobs of another class are accepted, run and
/// told done as soon as ever, one after another; and the flood's ends are all recorded in the end.
#[test]
fn a_floods_ends_keep_no_other_class_waiting() {
    for rank in [Rank::Low, Rank::Normal] {
        let mut w = world(30, 655);
        let waits = flood_of(&mut w, rank);
        for n in 900_000..900_003 {
            w.run_ms.insert(name(n), 1_000);
            w.submit_surely(&job(&name(n), Shape::Array, 40));
            w.until_done(&name(n), 6_000);
        }
        assert!(paged(&w).len() > waits / 3, "most of the flood's ends still wait");
        for n in 0..250 {
            if w.told.contains_key(&name(n)) {
                w.until_done(&name(n), 120_000);
            }
        }
        w.keep_rules();
    }
}

/// Guards acceptances that meet: the same job is submitted to the leader, for a page, and
/// past it, at any distance in time. It is accepted once.
#[test]
fn a_job_is_accepted_once_wherever_it_is_asked() {
    let mut past = 0;
    for case in 0..40u64 {
        let mut w = world(10, 640 + case);
        let leader = w.leader().unwrap();
        let other = (leader + 1) % 3;
        for n in 0..3 {
            w.cut(End::Node(other), End::Node(n), Cut::Drop);
        }
        w.run(2_500);
        if case % 2 == 0 {
            w.submit(leader, &job("wk-000002", Shape::Array, 1));
            w.run(case * 2);
        }
        w.submit(other, &job("wk-000001", Shape::Array, 2));
        w.run(case);
        w.submit(leader, &job("wk-000001", Shape::Array, 2));
        w.run(1_500);
        past += usize::from(w.state.journal.iter().any(|(k, _)| k.starts_with("inbox/")));
        let held = paged(&w).iter().filter(|id| *id == "wk-000001").count();
        let own = w.state.keys.contains_key("jobs/wk-000001");
        assert!(held + usize::from(own) <= 1, "in {held} pages and own record {own}");
        w.heal();
        w.submit_surely(&job("wk-000001", Shape::Array, 2));
        w.until_done("wk-000001", 60_000);
        assert!(w.starts.values().all(|s| s.len() == 1));
        w.keep_rules();
    }
    assert!(past > 3, "none was taken past the leader: {past}");
}

/// Guards a page's write that is lost, late or refused, when it is made and when it is
/// rewritten; with a takeover meanwhile or without. No job is lost, none accepted twice, and
/// no number is skipped or used twice.
#[test]
fn a_pages_write_is_late_or_lost() {
    for case in 0..30u64 {
        let mut w = world(6, 700 + case);
        let leader = w.leader().unwrap();
        w.run_ms = (0..8).map(|n| (name(n), 4_000)).collect();
        let wait = [0, 40, 130, 280, 400][case as usize % 5];
        together(&mut w, leader, 0..4, 2);
        w.run(wait);
        match case % 6 {
            0 => w.state.swallow_answers = 1 + case as u32 % 3,
            1 | 2 => {
                w.cut(End::Node(leader), End::State, Cut::Hold);
                w.run(if case % 6 == 1 { 900 } else { 9_000 });
                w.heal();
            }
            3 => {
                w.state.down = true;
                w.run(1_200);
                w.state.down = false;
            }
            4 => w.state.refuses_late = Some((leader, 80)),
            _ => {
                w.state.swallow_answers = 2;
                w.run(100);
                w.kill_for(leader, 500);
            }
        }
        together(&mut w, (leader + 1) % 3, 4..8, 2);
        w.run(900);
        w.state.refuses_late = None;
        for n in 0..8 {
            w.submit_surely(&job(&name(n), Shape::Array, 2));
        }
        for n in 0..8 {
            w.until_done(&name(n), 120_000);
        }
        w.run(3_000);
        assert_eq!(paged(&w).len(), 0);
        let made = w.state.journal.iter().filter(|(k, _)| k.starts_with(PAGES));
        let mut numbers: Vec<u64> = made.map(|(k, _)| k[PAGES.len()..].parse().unwrap()).collect();
        numbers.sort_unstable();
        numbers.dedup();
        assert_eq!(numbers, (1..=numbers.len() as u64).collect::<Vec<_>>(), "none is skipped");
        w.nobody_is_forgotten();
    }
}

/// Guards the numbers of pages: one is refused for lack of changes while more jobs come. What
/// comes meanwhile waits for the refusal, for a page that stood already would be written over,
/// and the jobs of the later one counted as accepted that stood nowhere.
#[test]
fn a_page_is_refused_while_the_next_comes_together() {
    for case in 0..12u64 {
        let mut w = world(12, 720 + case);
        let leader = w.leader().unwrap();
        w.run_ms = (0..16).map(|n| (name(n), 9_000)).collect();
        w.state.busy_for = Some((format!("{PAGES}{:012}", 1), 150 + 60 * case));
        for n in 0..4 {
            together(&mut w, leader, 4 * n..4 * n + 4, 1);
            w.run(130);
        }
        w.run(1_000);
        assert!(w.state.busy_for.is_none());
        (0..16).for_each(|n| w.submit_surely(&job(&name(n), Shape::Array, 1)));
        w.keep_rules();
        (0..3).for_each(|n| w.kill_for(n, 200));
        for n in 0..16 {
            w.submit_surely(&job(&name(n), Shape::Array, 1));
            w.until_done(&name(n), 60_000);
        }
        w.keep_rules();
    }
}

/// Guards what can't be read in a page: one job's entry stops that job alone; of a whole
/// page its jobs; loudly, and left as it is. Other jobs go on, and no job in it is told to
/// be unknown or accepted anew.
#[test]
fn a_damaged_page_stops_its_own_jobs_alone() {
    for case in 0..2 {
        let mut w = world(20, 740 + case);
        let leader = w.leader().unwrap();
        w.run_ms = (0..6).map(|n| (name(n), 6_000)).collect();
        together(&mut w, leader, 0..3, 1);
        w.run(900);
        together(&mut w, leader, 3..6, 1);
        w.run(900);
        (0..3).for_each(|n| w.kill(n));
        let key = format!("{PAGES}{:012}", 1);
        let value = &mut w.state.keys.get_mut(&key).unwrap().0;
        match case {
            0 => {
                let mut map = value.clone().into_map().unwrap();
                let jobs = map.iter_mut().find(|(k, _)| k.as_text() == Some("jobs")).unwrap();
                let mut entries = jobs.1.clone().into_map().unwrap();
                entries[1].1 = Value::Text("?".into());
                jobs.1 = Value::Map(entries);
                *value = Value::Map(map);
            }
            _ => *value = Value::Text("?".into()),
        }
        let damaged = value.clone();
        (0..3).for_each(|n| w.start(n));
        w.run(8_000);
        for n in (if case == 0 { 2 } else { 3 })..6 {
            w.until_done(&name(n), 60_000);
        }
        w.submit_surely(&job("wk-000050", Shape::Array, 2));
        w.until_done("wk-000050", 60_000);
        assert_eq!(w.state.keys[&key].0, damaged, "left as it is");
        let asked = w.poll(0, &name(1));
        w.run(1_000);
        assert_eq!(w.status(asked), 503);
        if case == 0 {
            let again = w.submit(w.leader().unwrap(), &job(&name(1), Shape::Array, 1));
            w.run(1_000);
            assert_eq!(w.status(again), 503, "not accepted anew");
        }
        w.keep_rules();
    }
}

/// Guards jobs that outgrow their page: they get records of their own, and nothing starts
/// on what is not recorded.
#[test]
fn jobs_outgrow_their_page() {
    for case in 0..4u64 {
        let mut w = World::new(3, 40, 0.0, 760 + case);
        w.paged = true;
        w.next = Some(serde_json::json!({"value_kb": 1.6 + case as f64 / 5.0}));
        (0..3).for_each(|n| {
            w.kill(n);
            w.start(n)
        });
        w.until(20_000, "pages are agreed on", |w| w.stands().version >= 4);
        w.run(1_500);
        let leader = w.leader().unwrap();
        together(&mut w, leader, 0..6, 4);
        together(&mut w, leader, 6..12, 1);
        w.run(700 + 300 * case);
        (0..3).for_each(|n| w.kill_for(n, 400));
        for n in 0..12 {
            w.submit_surely(&job(&name(n), Shape::Array, if n < 6 { 4 } else { 1 }));
        }
        for n in 0..12 {
            w.until_done(&name(n), 120_000);
        }
        assert_eq!(w.state.too_large, 0);
        w.nobody_is_forgotten();
    }
}

/// Guards against everything at once, with jobs in pages: random kills, cuts, outages,
/// pauses and aborts over a lossy network. More: `STORMS=500 cargo test … storms_over_pages`.
#[test]
fn storms_over_pages() {
    let many = std::env::var("STORMS").ok().and_then(|n| n.parse().ok()).unwrap_or(40u64);
    for seed in 0..many {
        let mut w = world(6, 8_000 + seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        (w.loss, w.max_delay, w.cloud_off) = (0.01, 60, false);
        let (mut ids, mut next) = (Vec::new(), 1);
        for _ in 0..12 {
            let node = rng.random_range(0..3);
            for _ in 0..rng.random_range(1..5) {
                let spec = job(&name(next), Shape::Array, rng.random_range(1..4));
                next += 1;
                w.run_ms.insert(spec.id.clone(), rng.random_range(500..12_000));
                w.submit(node, &spec);
                if rng.random_bool(0.2) {
                    w.submit((node + 1) % 3, &spec);
                }
                ids.push(spec);
            }
            w.run(rng.random_range(0..900));
            let node = trouble(&mut w, &mut rng);
            if rng.random_bool(0.3) {
                let id = ids[rng.random_range(0..ids.len())].id.clone();
                w.abort(node, &id);
            }
            w.run(rng.random_range(500..6_000));
            w.keep_rules();
        }
        w.heal();
        w.state.refuses.clear();
        w.state.down = false;
        (0..3).for_each(|n| w.kill_for(n, 1_000));
        w.run(2_000);
        for spec in &ids {
            w.submit_surely(spec);
            if w.told.get(&spec.id) != Some(&JobStatus::Aborted) {
                w.until_done(&spec.id, 300_000);
            }
        }
        w.run(CANCEL_MS);
        assert_eq!(paged(&w).len(), 0, "seed {seed}");
        w.nobody_is_forgotten();
    }
}

/// Guards pages against jobs of more than one chunk, which no page can hold: where values may be
/// large a job of 80 tasks is small beside one, its second chunk was recorded nowhere, and its page
/// was written over and over until nothing else could be. One that an earlier build took in gets a
/// record of its own under the next leader, whatever happens on the way.
#[test]
fn a_job_of_two_chunks_is_in_no_page() {
    for case in 0..8u64 {
        let mut w = World::new(3, 30, 0.0, 650 + case);
        (w.paged, w.value_kb) = (true, Some(64.0));
        w.start_anew();
        w.until(20_000, "pages are agreed on", |w| w.stands().version >= 4);
        w.run(1_500);
        let leader = w.leader().unwrap();
        together(&mut w, leader, 0..3, 5);
        w.run(800);
        assert_eq!(paged(&w).len(), 3);
        // As an earlier build left it.
        let large = job(&name(50), Shape::Array, 80);
        if case < 4 {
            together(&mut w, leader, 50..51, 80);
        } else {
            let mut page = PageRecord::default();
            page.add(&job(&name(51), Shape::Array, 2), 1_000_000, None);
            page.add(&large, 1_000_000, None);
            for spec in [job(&name(51), Shape::Array, 2), large] {
                w.jobs.insert(spec.id.clone(), spec.clone());
                w.told.insert(spec.id, JobStatus::Queued);
            }
            w.kill(leader);
            w.state.rev += 1;
            let last = w.state.keys.keys().rfind(|k| k.starts_with(PAGES)).unwrap();
            let number: u64 = last[PAGES.len()..].parse().unwrap();
            let (key, rev) = (format!("{PAGES}{:012}", number + 1), w.state.rev);
            w.state.keys.insert(key, (Value::serialized(&page).unwrap(), rev, None));
            w.run(4_000);
            w.start(leader);
            if case % 2 == 1 {
                w.run(3_000);
                let next = w.leader().unwrap();
                w.kill_for(next, 200);
            }
        }
        let before = w.state.writes;
        w.until_done(&name(50), 90_000);
        assert!(w.state.writes - before < 120, "{} changes", w.state.writes - before);
        for n in (0..3).chain((case >= 4).then_some(51)) {
            w.until_done(&name(n), 60_000);
        }
        w.nobody_is_forgotten();
    }
}
