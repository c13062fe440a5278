//! Stories of what meets at a moment: an old report and a new leader, a question and an end, a
//! cancellation and a hand-over, a write whose answer alone is lost.

use crate::world::{behind, job, Cut, Deaf, End, Fate, LateWrites, Unanswered, World};
use crate::world::{CANCEL_MS, LEASE_MS, REPORT_MS};
use quartzgate_wire::msg::{JobSpec, JobStatus, Rank, Shape};
use quartzgate_wire::to_cbor;

fn name(n: u32) -> String {
    format!("wk-{n:06}")
}

/// Three controllers and some machines, all steps of the ladder taken.
fn world(machines: usize, limit_cpus: f64, seed: u64) -> World {
    let mut w = World::new(3, machines, limit_cpus, seed);
    w.until(20_000, "all steps are taken", |w| w.stands().version >= 4);
    w.run(1_000);
    w
}

/// Guards the proof that a task is on no other machine (claim 4) against an old report of a machine
/// that held it before: it reaches the next leader first, and says of the task that it runs where
/// it does not. The machine that really holds it is kept by another controller, under the new
/// leader's token, and what it reports comes by the mailbox.
#[test]
fn an_old_report_does_not_prove_another_machine_free() {
    let mut kept = 0;
    for case in 0..48u64 {
        let mut w = world(4, 0.0, 14_000 + case);
        w.returns_off = true;
        w.run_ms = [(name(1), 600_000)].into();
        w.submit_surely(&job(&name(1), Shape::Array, 1));
        w.until(20_000, "it runs", |w| w.on(&name(1)).len() == 1);
        w.run(2 * REPORT_MS);
        let first = w.on(&name(1))[0].1.clone();
        let old = to_cbor(&w.report_of(&first).unwrap());
        w.reboot(&first, 2 * LEASE_MS);
        w.until(60_000, "it runs elsewhere", |w| {
            w.on(&name(1)).first().is_some_and(|(_, m)| *m != first)
        });
        w.run(2 * LEASE_MS);
        let second = w.on(&name(1))[0].1.clone();
        // The first machine is not heard for a while.
        w.mute.insert(first.clone());
        w.deaf.insert(first.clone(), Deaf { answers: false, orders: true });
        let (leader, epoch) = (w.leader().unwrap(), w.view_stamp());
        w.kill_for(leader, 60_000);
        // The second finds none but one that will not lead.
        for n in 0..3 {
            w.cut(End::Node(n), End::Worker(second.clone()), Cut::Drop);
        }
        w.until(20_000, "another begins", |w| w.view_stamp() > epoch);
        let heir = w.leader().unwrap();
        let keeper = 3 - leader - heir;
        w.heal_between(&End::Node(keeper), &End::Worker(second.clone()));
        w.cut(End::Node(heir), End::Node(keeper), Cut::Drop);
        (0..40).for_each(|n| w.copy_later(&old, heir, 1 + case * 29 % 900 + n * 25));
        let before = w.workers[&second].token;
        w.run(2 * REPORT_MS + case * 41 % (2 * REPORT_MS));
        w.mute.clear();
        w.deaf.clear();
        w.run(LEASE_MS);
        kept += u64::from(w.workers[&second].token > before);
        w.heal();
        w.keep_rules();
        w.until(60_000, "it runs", |w| w.on(&name(1)).len() == 1);
        w.all_is_well();
    }
    assert!(kept > 24, "{kept} were kept under the new token");
}

fn vm(n: usize) -> String {
    format!("vm-{n:06}")
}

/// What a mixed day's users submit: small jobs whose tasks end apart, one of two chunks, a service,
/// a gang, a chain of three.
fn mixed() -> Vec<JobSpec> {
    let mut out: Vec<JobSpec> = (1..9).map(|n| job(&name(n), Shape::Array, 1 + n % 3)).collect();
    let mut many = job(&name(9), Shape::Array, 70);
    (many.cpus, many.memory_gb) = (0.02, 0.02);
    out.push(many);
    let mut service = job(&name(10), Shape::Service, 3);
    service.spread = true;
    out.push(service);
    out.push(job(&name(11), Shape::Gang, 2));
    out.push(behind(job(&name(12), Shape::Array, 1), &[&name(1)]));
    out.push(behind(job(&name(13), Shape::Array, 2), &[&name(12), &name(2)]));
    out
}

/// Plays a mixed day: one submission each half second, at any node, repeated until it is answered;
/// each third job is called off once it is accepted, at once or a while later. `trouble` is called
/// each tenth of a second for half a minute; then all that was not called off is done or runs.
fn day(w: &mut World, case: u64, mut trouble: impl FnMut(&mut World, u64)) {
    let jobs = mixed();
    w.cloud_off = false;
    for n in 1..9 {
        w.run_ms.insert(format!("{}/0", name(n)), 1_500 + u64::from(n) * 900);
        w.run_ms.insert(format!("{}/1", name(n)), 14_000 + u64::from(n) * 500);
    }
    let off = |at: usize| (at as u64 + case).is_multiple_of(3);
    let mut asks: Vec<Option<usize>> = vec![None; jobs.len()];
    let mut aborts: Vec<Option<usize>> = vec![None; jobs.len()];
    let answered =
        |w: &World, ask: Option<usize>| ask.is_some_and(|a| matches!(w.status(a), 200 | 201));
    for turn in 0..300u64 {
        trouble(w, turn);
        for (at, spec) in jobs.iter().enumerate() {
            let node = (at + turn as usize / 10 + case as usize) % 3;
            let due = turn >= at as u64 * 5 && (turn - at as u64 * 5).is_multiple_of(12);
            if due && !answered(w, asks[at]) {
                asks[at] = Some(w.submit(node, spec));
            }
            // At once, or while it runs, or about its end.
            let later = [0, 12, 24, 60][(at + case as usize) % 4];
            let from = at as u64 * 5 + later;
            if off(at)
                && turn >= from
                && (turn - from).is_multiple_of(10)
                && !answered(w, aborts[at])
            {
                aborts[at] =
                    w.told.contains_key(&spec.id).then(|| w.abort((node + 1) % 3, &spec.id));
            }
            if turn % 7 == at as u64 % 7 && w.told.contains_key(&spec.id) {
                w.poll((node + turn as usize) % 3, &spec.id);
            }
        }
        w.run(100);
    }
    w.end_troubles();
    w.run(2 * LEASE_MS);
    for (at, spec) in jobs.iter().enumerate() {
        let before = w.before(&spec.id);
        let called_off = |id: &String| jobs.iter().position(|j| j.id == *id).is_some_and(off);
        if off(at) {
            if w.told.contains_key(&spec.id) {
                w.abort_surely(&spec.id);
            }
        } else if !before.iter().any(called_off) {
            w.submit_surely(spec);
        }
    }
    let wanted = |w: &World| -> Vec<String> {
        let called = |id: &String| w.called_off(id);
        let lives = |id: &String| match w.jobs[id].shape {
            Shape::Service => w.on(id).len() as u32 == w.jobs[id].tasks,
            _ => w.told[id] == JobStatus::Done,
        };
        let open = w.told.keys().filter(|id| !called(id) && !lives(id));
        open.cloned().collect()
    };
    let until = w.now + 120_000;
    while w.now < until && !wanted(w).is_empty() {
        for id in wanted(w) {
            w.poll((w.now / 500) as usize % 3, &id);
        }
        w.run(500);
    }
    assert!(wanted(w).is_empty(), "seed {}: {:?} not served; {:?}", w.seed, wanted(w), w.breaches);
    w.all_is_well();
}

/// Guards against older answers (claims 12, 20, 22, 28): users ask at all nodes within milliseconds
/// of an acceptance, an end and a confirmed cancellation, and repeat the submission, while the
/// leader ends, hands over, is cut off from the others, from the state service, or is about to lose
/// the lead; some cancel at once, and some at the moment of the end.
#[test]
fn nobody_is_told_anything_older_within_milliseconds() {
    let mut told = 0;
    for case in 0..40u64 {
        let mut w = world(8, 0.0, 14_200 + case);
        w.start_paged(case % 2 == 0);
        (w.close_looks, w.cancel_at_end) = (true, 0.3);
        day(&mut w, case, |w, turn| {
            let leader = w.leader().unwrap_or(0);
            match case / 2 % 5 {
                // Away for a moment or longer, again and again.
                0 if turn % 60 == 20 + case % 7 => {
                    w.kill_for(leader, [200, 3_500][case as usize % 2])
                }
                // Cut off from one or both of the others.
                1 if turn % 100 == 15 + case % 9 => {
                    w.cut(End::Node(leader), End::Node((leader + 1) % 3), Cut::Drop);
                    if case % 4 == 0 {
                        w.cut(End::Node(leader), End::Node((leader + 2) % 3), Cut::Hold);
                    }
                }
                // Refused by the state service until it has lost the lead.
                2 if turn % 100 == 15 + case % 9 => drop(w.state.refuses.insert(leader)),
                // Answers come late and out of order.
                3 => {
                    w.state.slow_ms =
                        if turn % 100 > 20 { [150, 700][case as usize % 2] } else { 0 }
                }
                4 if turn % 60 == 10 => w.pause(leader, 1_000 + case * 90),
                _ => {}
            }
            if turn % 100 == 60 {
                w.heal();
                w.state.refuses.clear();
            }
        });
        told += w.told.len();
    }
    assert!(told > 400, "{told} were accepted");
}

/// Guards every kind of write against an answer that alone is lost, and against being carried out
/// late, each with and without its writer's end (claims 2, 9, 12, 16, 24 to 28): acceptances, ends,
/// aborts and folds, shares, pages, the view, the lease's key, claims, mailboxes, notes and their
/// deletes, steps.
#[test]
fn each_kind_of_write_gets_no_answer() {
    const KINDS: [&str; 9] = [
        "jobs/",
        "shares/",
        "pages/",
        "view",
        "view/leader",
        "members/",
        "view/keeper/",
        "view/post/",
        "inbox/",
    ];
    let mut met = std::collections::BTreeMap::new();
    for case in 0..72u64 {
        let prefix = KINDS[case as usize % KINDS.len()];
        let how = case / KINDS.len() as u64;
        let mut w = world(8, 0.0, 14_300 + case);
        w.start_paged(prefix == "pages/" || case % 4 == 0);
        w.close_looks = case % 2 == 0;
        let mut left = 0;
        day(&mut w, case, |w, turn| {
            if turn % 50 == 10 {
                let late = 2_000 + case * 97 % 9_000;
                let what =
                    if how.is_multiple_of(2) { Unanswered::AtOnce } else { Unanswered::Late(late) };
                w.state.fates = vec![Fate { prefix, what, left: 3 }];
            }
            // An election, and the lease's key of one that is back.
            let elects = matches!(prefix, "view" | "view/leader" | "members/");
            if elects && turn % 50 == 12 {
                let leader = w.leader().unwrap_or(0);
                w.kill_for(leader, [200, 3_500][(how % 2) as usize]);
            }
            // What a follower does alone, and what keepers write, needs a leader that is not heard.
            let alone = matches!(prefix, "inbox/" | "view/keeper/" | "view/post/");
            if alone && turn == 20 {
                let leader = w.leader().unwrap_or(0);
                for n in (0..3).filter(|n| *n != leader) {
                    w.cut(End::Node(leader), End::Node(n), Cut::Drop);
                }
                (0..4).for_each(|m| w.cut(End::Node(leader), End::Worker(vm(m)), Cut::Drop));
            }
            let open = w.state.fates.first().map_or(3, |f| f.left);
            // Its writer ends before it can know.
            if open < 3 && left == 3 && how / 2 % 2 == 1 {
                let who = w.leader().unwrap_or(0);
                w.kill_for(who, [200, 4_000][case as usize % 2]);
            }
            *met.entry(prefix).or_insert(0u32) += u32::from(open < 3 && left == 3);
            left = open;
        });
    }
    println!("transactions without an answer met, by what they wrote: {met:?}");
    for prefix in KINDS {
        assert!(met.get(prefix).is_some_and(|n| *n > 0), "{prefix}: {met:?}");
    }
}

/// Guards teams' limits (claim 10) while everything is cancelled and resubmitted at the limit, the
/// cancelled tasks' machines hang or can't be reached, and the leader changes: room is free again
/// when a task is proven gone, and not before; then it is used.
#[test]
fn a_limit_holds_while_cancelled_work_hangs() {
    for case in 0..40u64 {
        // Of CPUs, or of GPUs.
        let gpus = case % 4 == 3;
        let mut w = world(8, if gpus { 0.0 } else { 24.0 }, 14_400 + case);
        if gpus {
            (w.gpus, w.limit_gpus) = (2.0, 6.0);
            w.start_anew();
            w.until(20_000, "one leads", |w| w.leader().is_some());
            w.run(3_000);
        }
        let spec = |n: u32| {
            let mut spec = job(&name(n), Shape::Array, 2);
            spec.gpus = f64::from(u8::from(gpus));
            spec
        };
        w.cloud_off = false;
        w.returns_off = case % 2 == 0;
        w.run_ms = (1..40).map(|n| (name(n), 600_000)).collect();
        (1..4).for_each(|n| w.submit_surely(&spec(n)));
        w.until(20_000, "the limit is reached", |w| (1..4).all(|n| w.on(&name(n)).len() == 2));
        // What waits for the room that is to come free.
        (4..7).for_each(|n| w.submit_surely(&spec(n)));
        let held: Vec<String> = (1..4).flat_map(|n| w.on(&name(n))).map(|(_, m)| m).collect();
        let leader = w.leader().unwrap();
        for (n, m) in held.iter().enumerate() {
            match (n as u64 + case) % 3 {
                0 => w.workers.get_mut(m).unwrap().hung_until = w.now + 1_000 + case * 190,
                1 => (0..3).for_each(|n| w.cut(End::Node(n), End::Worker(m.clone()), Cut::Hold)),
                _ => {}
            }
        }
        let cancels = |w: &mut World| {
            for n in 1..4 {
                w.abort(n as usize % 3, &name(n));
            }
        };
        match case / 3 % 4 {
            0 => {
                cancels(&mut w);
                w.run(case * 7);
                w.kill_for(leader, [200, 5_000][case as usize % 2]);
            }
            1 => {
                w.kill_for(leader, 200);
                w.run(case * 60);
                cancels(&mut w);
            }
            2 => {
                w.state.refuses.insert(leader);
                w.run(case * 80);
                cancels(&mut w);
            }
            _ => cancels(&mut w),
        }
        w.run(LEASE_MS);
        w.state.refuses.clear();
        (1..4).for_each(|n| w.abort_surely(&name(n)));
        w.run(LEASE_MS);
        w.heal();
        w.run(CANCEL_MS);
        w.returns_off = false;
        w.until(90_000, "what waited runs", |w| (4..7).all(|n| w.on(&name(n)).len() == 2));
        w.all_is_well();
    }
}

/// Guards cancellations against a lead that changes hands (claims 1, 8, 9, 12, 29): they are asked
/// for at the old, the new and a third controller, at every moment of the change; it goes over by
/// an end, by a lost lease, by a key that is let go, and from A to B and back to A.
#[test]
fn jobs_are_called_off_while_the_lead_changes_hands() {
    let mut back = 0;
    for case in 0..60u64 {
        let mut w = world(8, 0.0, 14_500 + case);
        w.cloud_off = false;
        w.returns_off = case % 2 == 0;
        w.run_ms = (1..9).map(|n| (name(n), 600_000)).collect();
        (1..7).for_each(|n| w.submit_surely(&job(&name(n), Shape::Array, 2)));
        w.until(20_000, "all run", |w| (1..7).all(|n| w.on(&name(n)).len() == 2));
        let first = w.leader().unwrap();
        let how = case % 4;
        let change = |w: &mut World, who: usize| match how {
            0 => w.kill_for(who, 6_000),
            1 => drop(w.state.refuses.insert(who)),
            2 => w.pause(who, 4_000 + case * 10),
            _ => w.cut(End::Node(who), End::State, Cut::Hold),
        };
        let epoch = w.view_stamp();
        change(&mut w, first);
        // One each at another moment, before, in and after the change.
        let wait = 5 + case * 17 % 400;
        for n in 1..4u32 {
            w.abort((first + n as usize) % 3, &name(n));
            w.run(wait);
        }
        w.until(20_000, "another leads", |w| w.view_stamp() > epoch);
        w.run(case * 11 % 700);
        w.abort(case as usize % 3, &name(4));
        // Back to the first, whose last life or lease is not long ago.
        w.heal();
        w.state.refuses.clear();
        w.run(3_000);
        if !w.is_up(first) {
            w.start(first);
        }
        w.run(1_500);
        let third = (0..3).find(|n| *n != first && Some(*n) != w.leader()).unwrap();
        let second = w.leader().unwrap();
        if second != first {
            let epoch = w.view_stamp();
            w.kill_for(second, 20_000);
            w.kill_for(third, 4_000);
            w.run(case * 13 % 900);
            w.abort(first, &name(5));
            w.until(20_000, "it goes on", |w| w.view_stamp() > epoch);
            back += u64::from(w.leader() == Some(first));
        }
        w.abort(first, &name(1));
        w.run(LEASE_MS);
        (1..6).for_each(|n| w.abort_surely(&name(n)));
        w.run(CANCEL_MS);
        (1..6).for_each(|n| assert!(w.on(&name(n)).is_empty()));
        w.returns_off = false;
        w.until(60_000, "what was not called off runs", |w| w.on(&name(6)).len() == 2);
        w.all_is_well();
    }
    assert!(back > 20, "{back} times back to the first");
}

/// Guards work on machines that nobody has listed yet (claims 3, 4, 8): they are up within two
/// seconds, the answers to some requests for them are lost, writes are late or their answers are
/// lost, images come slowly, and the leader ends; its heir may not know the machine at all.
#[test]
fn new_machines_work_at_once_and_the_leader_ends() {
    for case in 0..40u64 {
        let mut w = world(1, 0.0, 14_600 + case);
        w.cloud_off = false;
        (w.boot_ms, w.list_lag_ms) = ((0, 2_000), 4_000);
        w.lost_hires = (case % 3) as u32;
        w.fetch_gb_per_s = (case % 2 == 0).then_some(0.4);
        w.run_ms = (1..9).map(|n| (name(n), 20_000)).collect();
        let late = LateWrites { share: 0.4, from_ms: 1_000, to_ms: 6_000 };
        match case % 3 {
            0 => w.state.late_writes = Some(late),
            1 => w.state.lost_answers = 0.4,
            _ => {}
        }
        for n in 1..6 {
            w.submit(n as usize % 3, &job(&name(n), Shape::Array, 3));
            w.run(150);
        }
        w.run(1_200 + case * 83 % 3_000);
        for _ in 0..3 {
            let leader = w.leader().unwrap_or(0);
            w.kill_for(leader, [200, 5_000][case as usize / 3 % 2]);
            w.run(2_800 + case * 37 % 900);
            for n in 1..6 {
                w.submit((n as usize + 1) % 3, &job(&name(n), Shape::Array, 3));
            }
        }
        w.end_troubles();
        w.run(5_000);
        for n in 1..6 {
            w.submit_surely(&job(&name(n), Shape::Array, 3));
        }
        (1..6).for_each(|n| w.until_done(&name(n), 150_000));
        w.all_is_well();
    }
}

/// Guards against old reports that reach every controller just as a new leader begins (claims 4, 6,
/// 7, 30): of earlier sessions and attempts, with ends that have been cleared since; at leader,
/// follower and keeper, before, in and after its reading of the records.
#[test]
fn old_reports_reach_everybody_as_a_leader_begins() {
    for case in 0..36u64 {
        let mut w = world(8, 0.0, 14_700 + case);
        w.kept_copies = 0.5;
        w.state.page = (case % 3 == 0).then_some(2);
        w.hop_ms = (case % 2 == 0).then_some(200);
        day(&mut w, case, |w, turn| {
            if turn % 50 == 20 + case % 7 {
                let leader = w.leader().unwrap_or(0);
                match case / 3 % 3 {
                    0 => w.kill_for(leader, [200, 3_000][case as usize % 2]),
                    1 => drop(w.state.refuses.insert(leader)),
                    _ => {
                        for n in (0..3).filter(|n| *n != leader) {
                            w.cut(End::Node(leader), End::Node(n), Cut::Drop);
                        }
                        w.cut(End::Node(leader), End::State, Cut::Hold);
                    }
                }
            }
            if turn % 50 == 45 {
                w.heal();
                w.state.refuses.clear();
            }
            if turn % 40 == 5 {
                let which = vm((turn / 40 + case) as usize % 8);
                w.reboot(&which, 200 + case * 40);
            }
        });
    }
}

/// Guards a stream of one-task jobs, four a second, of which a quarter is cancelled before, at and
/// after the writing of their page, over takeovers, with changes scarce: all others are done, the
/// cancelled are told so, and what controllers keep of them does not grow.
#[test]
fn one_task_jobs_in_a_stream_a_quarter_called_off() {
    for case in 0..4u64 {
        let mut w = world(12, 0.0, 14_800 + case);
        w.cloud_off = false;
        w.state.limits = Some((8 * 1024, 12, 15.0));
        w.close_looks = case % 2 == 1;
        let tasks = 260u32;
        let spec = |n: u32| {
            let mut spec = job(&name(n), Shape::Array, 1);
            (spec.cpus, spec.memory_gb, spec.image_gb) = (0.5, 0.5, 0.1);
            spec
        };
        let off = |n: u32| n % 4 == 1;
        for n in 0..tasks {
            w.submit(n as usize % 3, &spec(n));
            // A quarter is called off, at once to four seconds later.
            for m in n.saturating_sub(16)..=n {
                let due = off(m) && n - m == m / 4 % 16;
                if due && w.told.contains_key(&name(m)) {
                    w.abort((m as usize + 1) % 3, &name(m));
                }
            }
            if n % 5 == 0 && n > 20 {
                w.poll(n as usize % 3, &name(n - 17));
            }
            if n % 90 == 60 {
                let leader = w.leader().unwrap_or(0);
                w.kill_for(leader, [200, 3_000][case as usize % 2]);
            }
            w.run(250);
        }
        w.run(5_000);
        // Whoever was not answered asks again, as users do.
        for round in 0..40 {
            let open: Vec<u32> = (0..tasks)
                .filter(|n| {
                    let told = w.told.get(&name(*n));
                    let ended = if off(*n) {
                        matches!(told, Some(JobStatus::Aborted | JobStatus::Done))
                    } else {
                        told == Some(&JobStatus::Done)
                    };
                    !ended
                })
                .collect();
            if open.is_empty() {
                break;
            }
            for n in open.into_iter().take(60) {
                let node = (n as usize + round) % 3;
                match (w.told.contains_key(&name(n)), off(n)) {
                    (false, _) => w.submit(node, &spec(n)),
                    (true, true) => w.abort(node, &name(n)),
                    (true, false) => w.poll(node, &name(n)),
                };
            }
            w.run(2_000);
        }
        for n in 0..tasks {
            let told = w.told.get(&name(n)).copied();
            let well = told == Some(JobStatus::Done) || off(n) && told == Some(JobStatus::Aborted);
            assert!(well, "seed {}: {} is told as {told:?}; {:?}", w.seed, name(n), w.breaches);
        }
        w.keep_rules();
        w.until(60_000, "nothing is kept of what has ended", |w| {
            let left = |prefix: &str| w.state.keys.keys().filter(|k| k.starts_with(prefix)).count();
            left("pages/") <= 1 && left("shares/") == 0 && left("inbox/") == 0
        });
    }
}

/// A leader that has the state service and its workers, and no sibling.
fn alone(w: &mut World) -> (usize, [usize; 2]) {
    let leader = w.leader().unwrap();
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    others.iter().for_each(|n| w.cut(End::Node(leader), End::Node(*n), Cut::Drop));
    (leader, others)
}

/// Guards an accepted job against being known to everybody but the leader: the answer to its
/// acceptance alone is lost, at once or with the write carried out late; the user repeats at the
/// others, which the leader does not hear, is told that the job is accepted, and asks only them.
#[test]
fn an_acceptance_without_an_answer_is_found() {
    for case in 0..24u64 {
        let mut w = world(4, 0.0, 14_900 + case);
        w.start_paged(case % 3 == 0);
        w.run(1_000);
        w.run_ms = [(name(1), 600_000)].into();
        let (leader, others) = alone(&mut w);
        let late = 1_500 + case * 200;
        let what = if case % 2 == 0 { Unanswered::AtOnce } else { Unanswered::Late(late) };
        let prefix = if w.paged { "pages/" } else { "jobs/" };
        w.state.fates = vec![Fate { prefix, what, left: 1 }];
        let spec = job(&name(1), Shape::Array, 2);
        w.submit(leader, &spec);
        w.run(200 + late);
        for turn in 0..20 {
            let ask = w.submit(others[turn % 2], &spec);
            w.run(900);
            if matches!(w.status(ask), 200 | 201) {
                break;
            }
        }
        assert!(w.told.contains_key(&name(1)), "case {case}: it is accepted");
        let until = w.now + 10_000;
        while w.now < until && w.on(&name(1)).len() < 2 {
            w.poll(others[case as usize % 2], &name(1));
            w.run(500);
        }
        assert_eq!(w.on(&name(1)).len(), 2, "case {case}: it runs while the leader hears nobody");
        assert_eq!(w.leader(), Some(leader));
        w.heal();
        w.all_is_well();
    }
}

/// Guards a note in the inbox that has taken another's place (claim 12): the leader's removal of
/// the first gets no answer, is sent again, and is carried out late; the watch that would have shown the second is told 410.
#[test]
fn a_note_that_took_anothers_place_is_read() {
    let (mut read, mut soon) = (0, 0);
    for case in 0..24u64 {
        let mut w = world(0, 0.0, 14_950 + case);
        w.run_ms = [(name(1), 600_000)].into();
        let (leader, others) = alone(&mut w);
        w.run(1_500);
        let spec = job(&name(1), Shape::Array, 2);
        let note = "inbox/wk-000001";
        for turn in 0..4_000 {
            if turn % 1_200 == 0 {
                w.submit(others[0], &spec);
            }
            w.run(1);
            if w.state.keys.contains_key(note) {
                break;
            }
        }
        // The leader has heard of it, and its removal gets no answer.
        // Between the times at which the leader reads its live jobs again.
        let late = 6_500 + case * 30;
        w.state.fates = vec![Fate { prefix: "inbox/", what: Unanswered::Late(late), left: 1 }];
        for _ in 0..4_000 {
            if w.state.fates[0].left == 0 {
                break;
            }
            w.run(1);
        }
        let removal = w.now;
        // Nothing went with it: there was no machine yet for a task of the job.
        (0..4).for_each(|_| drop(w.add_worker()));
        w.until(5_500, "it runs", |w| w.on(&name(1)).len() == 2);
        assert_eq!(w.state.fates[0].left, 0, "case {case}: the removal got no answer");
        w.run((removal + late - 700).saturating_sub(w.now));
        w.state.refuses.insert(leader);
        let ask = w.abort(others[1], &name(1));
        w.run(400);
        if w.status(ask) != 200 {
            continue;
        }
        w.run(1_200);
        w.state.keeps_changes = Some(1);
        w.state.refuses.clear();
        let healed = w.now;
        w.until(CANCEL_MS, "its tasks are gone", |w| w.on(&name(1)).is_empty());
        soon += u64::from(w.now < healed + 1_000);
        read += 1;
        w.state.keeps_changes = None;
        w.heal();
        w.run(CANCEL_MS);
        w.all_is_well();
    }
    assert!(
        read > 12 && soon * 4 >= read * 3,
        "{soon} of {read} that took another's place were read"
    );
}

/// Guards the order of service and every promise while there is more work than room, urgent and
/// not, over slow links that lose now and then: nothing is forgotten, and all is done in the end.
#[test]
fn more_work_than_room_over_slow_links() {
    for case in 0..6u64 {
        let mut w = world(5, 0.0, 15_300 + case);
        (w.max_delay, w.loss) = (60 + 40 * case, 0.01);
        let jobs: Vec<JobSpec> = (1..25)
            .map(|n| {
                let mut spec = job(&name(n), Shape::Array, 3);
                spec.rank = [Rank::Low, Rank::Normal, Rank::High][n as usize % 3];
                spec
            })
            .collect();
        for (n, spec) in jobs.iter().enumerate() {
            w.submit(n % 3, spec);
            w.run(120);
        }
        let leader = w.leader().unwrap();
        w.kill_for(leader, [200, 4_000][case as usize % 2]);
        w.run(4_000);
        jobs.iter().for_each(|spec| w.submit_surely(spec));
        for n in [3u32, 7, 11] {
            w.abort_surely(&name(n));
        }
        for n in (1..25).filter(|n| ![3, 7, 11].contains(n)) {
            w.until_done(&name(n), 150_000);
        }
        (w.max_delay, w.loss) = (4, 0.0);
        w.all_is_well();
    }
}

/// Guards the end of a job against what meets it with no other trouble: a cancellation, a question
/// or a repeat at any node, to the millisecond before and after its last task's end, while the end
/// goes into the record.
#[test]
fn a_question_meets_the_end_of_the_last_task() {
    let mut both = [0, 0];
    for case in 0..60u64 {
        let mut w = world(4, 0.0, 15_400 + case);
        w.start_paged(case % 3 == 0);
        w.run(1_000);
        let spec = job(&name(1), Shape::Array, 2);
        w.submit_surely(&spec);
        w.until(20_000, "its last task has ended", |w| {
            w.done.get(&name(1)).is_some_and(|d| d.len() == 2)
        });
        w.run(case * 5 % 150);
        let node = case as usize % 3;
        for turn in 0..12usize {
            match (turn + case as usize) % 3 {
                0 => w.abort((node + turn) % 3, &name(1)),
                1 => w.submit((node + turn) % 3, &spec),
                _ => w.poll((node + turn) % 3, &name(1)),
            };
            w.run(1 + case % 4);
        }
        w.run(3_000);
        w.abort_surely(&name(1));
        both[usize::from(w.told[&name(1)] == JobStatus::Done)] += 1;
        w.keep_rules();
    }
    assert!(both.iter().all(|n| *n > 0), "cancelled and done: {both:?}");
}

/// Guards both sides of a cut that lasts for longer than leases (claims 4, 9, 16): a zone has
/// workers and a controller of its own; jobs are called off on either side, the leader is on the
/// one or on the other, and ends in the cut or after it.
#[test]
fn a_zone_is_cut_off_for_longer_than_leases() {
    for case in 0..24u64 {
        let mut w = world(8, 0.0, 15_500 + case);
        w.cloud_off = false;
        w.run_ms = (1..9).map(|n| (name(n), 600_000)).collect();
        for n in 1..6 {
            let mut spec = job(&name(n), Shape::Array, 2);
            spec.zone = (n == 1).then(|| "a".into()).or((n == 2).then(|| "b".into()));
            w.submit_surely(&spec);
        }
        w.until(20_000, "all run", |w| (1..6).all(|n| w.on(&name(n)).len() == 2));
        let leader = w.leader().unwrap();
        // Zone b's machines have odd numbers; the leader is cut off with them, or is not.
        let inside = if case % 2 == 0 { (leader + 1) % 3 } else { leader };
        let how = if case / 2 % 2 == 0 { Cut::Hold } else { Cut::Drop };
        let outside: Vec<usize> = (0..3).filter(|n| *n != inside).collect();
        for n in &outside {
            w.cut(End::Node(inside), End::Node(*n), how);
            [1, 3, 5, 7].iter().for_each(|m| w.cut(End::Node(*n), End::Worker(vm(*m)), how));
        }
        [0, 2, 4, 6].iter().for_each(|m| w.cut(End::Node(inside), End::Worker(vm(*m)), how));
        w.run(case * 131 % 4_000);
        w.abort(inside, &name(1));
        w.abort(outside[0], &name(2));
        w.run(LEASE_MS);
        if case % 3 == 0 {
            let leader = w.leader().unwrap_or(0);
            w.kill_for(leader, [200, 3_000][case as usize / 3 % 2]);
        }
        w.abort(outside[1], &name(3));
        w.run(LEASE_MS + 4_000);
        w.heal();
        (1..4).for_each(|n| w.abort_surely(&name(n)));
        w.run(CANCEL_MS);
        w.until(90_000, "all others run", |w| (4..6).all(|n| w.on(&name(n)).len() == 2));
        w.all_is_well();
    }
}

/// Guards against ten changes of leader in two minutes, by an end, a refusal or a pause in turn, also
/// while the state service is out now and then: what runs runs on, and what is new gets done.
#[test]
fn leaders_change_ten_times_in_two_minutes() {
    for case in 0..8u64 {
        let mut w = world(8, 0.0, 15_600 + case);
        w.run_ms = [(name(1), 600_000)].into();
        w.submit_surely(&job(&name(1), Shape::Service, 3));
        let mut views = std::collections::BTreeSet::new();
        for turn in 0..12u32 {
            let leader = w.leader().unwrap_or(turn as usize % 3);
            match (u64::from(turn) + case) % 3 {
                0 => w.kill_for(leader, [200, 3_000][turn as usize % 2]),
                1 => drop(w.state.refuses.insert(leader)),
                _ => w.pause(leader, 3_500),
            }
            w.submit((leader + 1) % 3, &job(&name(10 + turn), Shape::Array, 2));
            w.run(case * 97 % 900);
            if turn % 4 == 1 {
                w.state.down = true;
                w.run(1_500 + case * 400);
                w.state.down = false;
            }
            w.run(7_000);
            w.state.refuses.clear();
            views.insert(w.view_stamp());
            if turn % 3 == 0 {
                w.abort(turn as usize % 3, &name(10 + turn));
            }
            w.run(2_000);
        }
        assert!(views.len() >= 9, "{} views", views.len());
        for turn in 0..12u32 {
            match turn % 3 {
                0 if w.told.contains_key(&name(10 + turn)) => w.abort_surely(&name(10 + turn)),
                0 => {}
                _ => {
                    w.submit_surely(&job(&name(10 + turn), Shape::Array, 2));
                    w.until_done(&name(10 + turn), 60_000);
                }
            }
        }
        w.until(60_000, "the service runs", |w| w.on(&name(1)).len() == 3);
        w.all_is_well();
    }
}

/// Guards a return of everybody (claims 3 to 5, 8): all controllers are away for longer than leases,
/// and come back one by one, while machines end, hang, or forget what they held.
#[test]
fn all_controllers_are_away_for_longer_than_leases() {
    for case in 0..16u64 {
        let mut w = world(6, 16.0, 15_700 + case);
        w.run_ms = (1..4).map(|n| (name(n), 40_000)).collect();
        w.submit_surely(&job(&name(1), Shape::Array, 2));
        w.submit_surely(&job(&name(2), Shape::Gang, 2));
        w.submit_surely(&job(&name(3), Shape::Array, 2));
        w.run(2_000);
        w.abort((case % 3) as usize, &name(3));
        w.run(case * 7 % 60);
        for n in 0..3 {
            w.kill_for(
                n,
                LEASE_MS + 500 + case * 150 + n as u64 * [0, 300, 4_000][case as usize % 3],
            );
        }
        let hung = w.now + LEASE_MS - 200;
        w.workers.get_mut(&vm(case as usize % 6)).unwrap().hung_until = hung;
        w.run(LEASE_MS + 8_000);
        if w.told.contains_key(&name(3)) {
            w.abort_surely(&name(3));
        }
        w.until_done(&name(1), 150_000);
        w.until_done(&name(2), 150_000);
        w.all_is_well();
    }
}

/// Guards machines that reach no controller while commands reach them (claims 4, 8, 32): what runs
/// there ends with its lease and runs elsewhere, once only; what is called off is gone in time; and
/// they take work again when they are back.
#[test]
fn machines_are_mute_while_commands_reach_them() {
    for case in 0..24u64 {
        let mut w = world(6, [0.0, 24.0][case as usize % 2], 15_800 + case);
        w.run_ms = (1..6).map(|n| (name(n), 600_000)).collect();
        for n in 1..4 {
            w.submit_surely(&job(&name(n), Shape::Array, 2));
        }
        w.until(20_000, "all run", |w| (1..4).all(|n| w.on(&name(n)).len() == 2));
        w.mute.extend((0..1 + case as usize % 4).map(vm));
        w.run(case * 217 % LEASE_MS);
        w.abort(case as usize % 3, &name(1));
        if case % 3 == 0 {
            let leader = w.leader().unwrap();
            w.kill_for(leader, [200, 4_000][case as usize / 3 % 2]);
        }
        w.run(LEASE_MS / 2 + case * 500);
        w.abort_surely(&name(1));
        w.submit_surely(&job(&name(4), Shape::Array, 2));
        w.run(LEASE_MS);
        w.mute.clear();
        w.run(CANCEL_MS);
        assert!(w.on(&name(1)).is_empty());
        w.until(90_000, "the others run", |w| (2..5).all(|n| w.on(&name(n)).len() == 2));
        w.all_is_well();
    }
}

/// Guards a team at its limit (claim 10) when the leader changes, some of its machines can't be
/// asked, and a cancellation falls into that spell, at the new leader or past it.
#[test]
fn a_limit_holds_while_machines_cant_be_asked() {
    for case in 0..32u64 {
        let mut w = world(7, 32.0, 15_900 + case);
        w.cloud_off = false;
        w.run_ms = (1..9).map(|n| (name(n), 600_000)).collect();
        for n in 1..5 {
            w.submit_surely(&job(&name(n), [Shape::Array, Shape::Gang][n as usize % 2], 2));
        }
        w.until(30_000, "the limit is reached", |w| (1..5).all(|n| w.on(&name(n)).len() == 2));
        (5..8).for_each(|n| w.submit_surely(&job(&name(n), Shape::Array, 2)));
        let leader = w.leader().unwrap();
        w.kill_for(leader, [200, 12_000][case as usize % 2]);
        let how = if case % 3 == 0 { Cut::Hold } else { Cut::Drop };
        for m in 0..3 {
            (0..3).for_each(|n| w.cut(End::Node(n), End::Worker(vm(m + case as usize % 4)), how));
        }
        w.run(case * 151 % 5_000);
        w.abort((leader + 1) % 3, &name(1));
        w.abort((leader + 2) % 3, &name(2));
        w.run(LEASE_MS / 2 + case * 300);
        w.heal();
        w.abort_surely(&name(1));
        w.abort_surely(&name(2));
        w.run(CANCEL_MS);
        w.until(90_000, "the others run", |w| {
            w.keep_rules();
            (3..7).filter(|n| w.on(&name(*n)).len() == 2).count() == 4
        });
        w.all_is_well();
    }
}

/// Guards jobs that are bound to one zone, arrays, gangs and services, against the loss of machines
/// there, one by one and all at once, over a change of leader: they run there again, nowhere else.
#[test]
fn jobs_bound_to_one_zone_lose_machines() {
    for case in 0..16u64 {
        let mut w = world(8, 0.0, 16_000 + case);
        w.cloud_off = case % 2 == 0;
        (w.boot_ms, w.list_lag_ms) = ((0, 2_000), 2_000);
        w.run_ms = (1..5).map(|n| (name(n), 30_000)).collect();
        for (n, shape) in [(1, Shape::Array), (2, Shape::Gang), (3, Shape::Service)] {
            let mut spec = job(&name(n), shape, 2);
            spec.zone = Some("b".into());
            w.submit_surely(&spec);
        }
        let mut together = job(&name(4), Shape::Array, 3);
        together.together = true;
        w.submit_surely(&together);
        w.run(3_000 + case * 60);
        let lost: Vec<usize> = if case % 3 == 0 { vec![1, 3, 5, 7] } else { vec![1, 5] };
        for (at, m) in lost.iter().enumerate() {
            w.reboot(&vm(*m), 5_000 + case * 700);
            w.run(at as u64 * (case % 4) * 300);
        }
        if case % 4 < 2 {
            let leader = w.leader().unwrap();
            w.kill_for(leader, [200, 4_000][case as usize % 2]);
        }
        w.run(LEASE_MS);
        for n in [1, 2, 4] {
            w.until_done(&name(n), 200_000);
        }
        w.until(90_000, "the service runs", |w| w.on(&name(3)).len() == 2);
        w.all_is_well();
    }
}

/// Guards against starts after a cancellation that a keeper has carried out (claims 9, 12): the
/// leader, which the state service refuses and its siblings don't reach, sees that tasks were
/// stopped by somebody else; it does not start them again before it has read the record.
#[test]
fn what_a_keeper_has_stopped_is_not_started_again() {
    let mut stopped = 0;
    for case in 0..48u64 {
        let mut w = world(4, 0.0, 16_100 + case);
        w.run_ms = [(name(1), 600_000)].into();
        w.submit_surely(&job(&name(1), Shape::Array, 2));
        w.until(20_000, "it runs", |w| w.on(&name(1)).len() == 2);
        let (leader, others) = alone(&mut w);
        let held: Vec<String> = w.on(&name(1)).into_iter().map(|(_, m)| m).collect();
        held.iter().for_each(|m| w.cut(End::Node(leader), End::Worker(m.clone()), Cut::Drop));
        w.until(6_000, "it is kept", |w| {
            w.state.keys.keys().any(|k| k.starts_with("view/keeper/"))
        });
        w.run(1_000 + case * 13);
        w.state.refuses.insert(leader);
        let ask = w.abort(others[case as usize % 2], &name(1));
        w.until(1_900, "a keeper stops it", |w| w.on(&name(1)).is_empty() || w.status(ask) != 0);
        w.run(600);
        if w.status(ask) == 200 && w.on(&name(1)).is_empty() {
            stopped += 1;
            // The leader hears of the machines again before it hears of the cancellation.
            held.iter().for_each(|m| w.heal_between(&End::Node(leader), &End::Worker(m.clone())));
            w.run(1_000 + case * 11 % 300);
            assert!(w.late_starts.is_empty(), "case {case}: {:?}", w.late_starts);
        }
        w.end_troubles();
        w.abort_surely(&name(1));
        w.run(CANCEL_MS);
        w.all_is_well();
    }
    assert!(stopped > 12, "{stopped} times a keeper stopped it");
}
