//! Stories in which two troubles meet: the gap between a refusal of the leader alone and an outage
//! for all, and its neighbours.

use crate::world::{job, Cut, End, LateWrites, World, CANCEL_MS, LEASE_MS, REPORT_MS};
use quartzgate_wire::msg::{JobStatus, Shape};

fn name(n: u32) -> String {
    format!("wk-{n:06}")
}

/// Two jobs that run for longer than everything else here, on all machines of a cluster.
fn world(seed: u64) -> World {
    let mut w = World::new(3, 6, 0.0, seed);
    w.until(20_000, "all steps are taken", |w| w.stands().version >= 4);
    w.run(1_000);
    w.cloud_off = false;
    w.run_ms = (1..9).map(|n| (name(n), 600_000)).collect();
    w.submit_surely(&job(&name(1), Shape::Array, 5));
    w.submit_surely(&job(&name(2), Shape::Service, 3));
    w.submit_surely(&job(&name(3), Shape::Array, 2));
    w.until(20_000, "all run", |w| (1..4).map(|n| w.on(&name(n)).len()).sum::<usize>() == 10);
    w
}

/// Cancels a job as its user would, at these controllers in turn, until one confirms it.
fn cancel(w: &mut World, at: &[usize], id: &str, within_ms: u64) -> bool {
    let end = w.now + within_ms;
    for turn in 0.. {
        if w.now >= end {
            break;
        }
        let ask = w.abort(at[turn % at.len()], id);
        let patience = (end - w.now).min(1_000);
        let mut waited = 0;
        while waited < patience && w.status(ask) == 0 {
            w.run(10);
            waited += 10;
        }
        if w.status(ask) == 200 {
            return true;
        }
        w.run(100);
    }
    false
}

/// How a state service refuses one controller.
fn refuse(w: &mut World, who: usize, silent: bool) {
    match silent {
        true => w.cut(End::Node(who), End::State, Cut::Drop),
        false => drop(w.state.refuses.insert(who)),
    }
}

fn admit(w: &mut World, who: usize) {
    w.heal_between(&End::Node(who), &End::State);
    w.state.refuses.remove(&who);
}

/// How the workers' reports come to the leader that is refused.
#[derive(Clone, Copy)]
enum Route {
    Direct,
    Relay,
    /// Some of them, while a sibling keeps the others.
    Keeper,
}

/// Days of each route: in steps of a quarter of a report round they cover all times from at once to
/// past the horizon, in an order that mixes them with the other choices.
const GAPS: u64 = 44;

/// Guards the bound on cancelled tasks in the gap: the state service refuses the leader alone,
/// another controller confirms, then the service is down for all for longer than `cancel_s` while
/// the workers go on reporting to the old leader. Swept: the time from refusal to confirmation (to
/// past the horizon) and on to the outage; 503 and silence; an outage shorter and longer than the
/// leases; the refusal that ends before, in and after the outage; reports direct, by relay, at a
/// keeper; the confirming controller ending; a machine that hangs late in its lease; a leader that
/// stands still across the edge; clocks apart (odd seeds). The world counts from the first
/// confirmation, to the millisecond. What was not cancelled runs again.
fn gap(route: Route) {
    let mut confirmed = 0;
    for case in 0..GAPS {
        let mut w = world(12_000 + 3 * case + route as u64);
        w.returns_off = case % 5 != 0;
        let old = w.leader().unwrap();
        let (one, other) = ((old + 1) % 3, (old + 2) % 3);
        match route {
            Route::Relay => {
                (0..6).for_each(|m| w.cut(End::Node(old), End::Worker(vm(m)), Cut::Drop))
            }
            Route::Keeper => {
                for n in [one, other] {
                    w.cut(End::Node(old), End::Node(n), Cut::Drop);
                    (0..3).for_each(|m| w.cut(End::Node(n), End::Worker(vm(m)), Cut::Drop));
                }
                (3..6).for_each(|m| w.cut(End::Node(old), End::Worker(vm(m)), Cut::Drop));
            }
            Route::Direct => {}
        }
        let silent = case % 2 == 1;
        refuse(&mut w, old, silent);
        // From at once to past the horizon, in steps of less than a report round.
        w.run(case * 37 % 66 * (REPORT_MS / 4) + case % 7);
        let told = cancel(&mut w, &[one, other], &name(1), 2_500);
        w.run([0, 1, 40, 400, REPORT_MS][case as usize % 5]);
        w.state.down = true;
        confirmed += u64::from(told);
        let began = w.now;
        match case / 2 % 4 {
            0 => w.kill_for(one, 200),
            1 => w.workers.get_mut(&vm(case as u32 % 6)).unwrap().hung_until = w.now + LEASE_MS,
            2 => w.pause(old, LEASE_MS + 3_000 + case % 400),
            _ => {}
        }
        let outage = if case % 4 == 0 { LEASE_MS / 2 } else { CANCEL_MS + 4_000 };
        match case / 5 % 3 {
            0 => admit(&mut w, old),
            1 => {
                w.run(outage / 2);
                admit(&mut w, old);
            }
            _ => {}
        }
        w.run((began + outage).saturating_sub(w.now));
        w.state.down = false;
        w.run(REPORT_MS);
        admit(&mut w, old);
        w.run(CANCEL_MS);
        w.keep_rules();
        w.heal();
        w.returns_off = false;
        if told {
            assert!(w.on(&name(1)).is_empty(), "case {case}");
            for n in 0..3 {
                let poll = w.poll(n, &name(1));
                w.run(1_500);
                assert!(w.status(poll) != 404);
            }
            assert_eq!(w.told[&name(1)], JobStatus::Aborted);
        }
        w.until(90_000, "what was not cancelled runs again", |w| w.on(&name(2)).len() == 3);
        w.nobody_is_forgotten();
    }
    assert!(confirmed > GAPS / 2, "{confirmed} of {GAPS} were confirmed before the outage");
}

#[test]
fn a_cancellation_in_the_gap_is_kept() {
    gap(Route::Direct);
}

#[test]
fn a_cancellation_in_the_gap_is_kept_where_reports_are_relayed() {
    gap(Route::Relay);
}

#[test]
fn a_cancellation_in_the_gap_is_kept_where_a_keeper_answers() {
    gap(Route::Keeper);
}

fn vm(n: u32) -> String {
    format!("vm-{n:06}")
}

/// Guards promptness in the gap: the controller that confirms tells the others by the mesh, and the
/// leader, whom the state service refuses, stops the tasks within a round, not when leases end.
#[test]
fn a_refused_leader_hears_of_a_cancellation_from_its_siblings() {
    let mut gone = Vec::new();
    for case in 0..24u64 {
        let mut w = world(12_700 + case);
        w.returns_off = true;
        let old = w.leader().unwrap();
        refuse(&mut w, old, case % 2 == 1);
        w.run(case * 23);
        if !cancel(&mut w, &[(old + 1 + case as usize / 2 % 2) % 3], &name(1), 1_500) {
            continue;
        }
        w.state.down = true;
        let told = w.now;
        w.until(2 * REPORT_MS, "its tasks are gone", |w| w.on(&name(1)).is_empty());
        gone.push(w.now - told);
        w.run(CANCEL_MS);
        w.state.down = false;
        admit(&mut w, old);
        w.until(90_000, "what was not cancelled runs again", |w| w.on(&name(2)).len() == 3);
        w.nobody_is_forgotten();
    }
    gone.sort_unstable();
    println!("ms from the confirmation until all tasks were gone: {gone:?}");
    assert!(gone.len() > 16, "{gone:?}");
}

/// Guards a cancellation that the leader confirmed and could not carry out any more: it ends at
/// once, its heir begins to read the records, and the state service goes down for all while the
/// workers report to the heir, who does not know yet what was cancelled.
#[test]
fn an_heir_that_has_not_read_keeps_nothing_alive() {
    for case in 0..60u64 {
        let mut w = world(12_500 + case);
        w.returns_off = true;
        // Many reads lie between taking the lead and knowing the records.
        w.state.page = Some(1);
        let old = w.leader().unwrap();
        (0..6).for_each(|m| w.cut(End::Node(old), End::Worker(vm(m)), Cut::Drop));
        w.run(REPORT_MS * 3);
        let ask = w.abort(old, &name(1));
        while w.status(ask) != 200 {
            w.run(1);
        }
        w.kill(old);
        w.until(20_000, "another takes the lead", |w| w.leader().is_some_and(|l| l != old));
        w.run(1 + case % 12);
        w.state.down = true;
        w.run(CANCEL_MS + LEASE_MS);
        w.state.down = false;
        w.keep_rules();
        w.heal();
        w.returns_off = false;
        w.start(old);
        w.until(90_000, "what was not cancelled runs again", |w| w.on(&name(2)).len() == 3);
        w.nobody_is_forgotten();
    }
}

/// Guards a cancellation whose record got no answer and comes to stand late: the leader reads that
/// the job lives, another controller is asked and reads that it is cancelled, and then the leader
/// loses the state service. Whoever has asked to cancel needs none of the job's tasks, so that they
/// are stopped whatever becomes of the record.
#[test]
fn a_cancellation_recorded_late_is_carried_through() {
    for case in 0..40u64 {
        let mut w = World::new(3, 6, 0.0, 12_600 + case);
        w.until(20_000, "all steps are taken", |w| w.stands().version >= 4);
        (w.returns_off, w.keeps_idle) = (true, true);
        w.run_ms = (1..3).map(|n| (name(n), 600_000)).collect();
        w.submit_surely(&job(&name(2), Shape::Service, 3));
        // Its share stands in keys of its own, whose writes leave its record as it is.
        w.submit_surely(&job(&name(1), Shape::Array, 70));
        w.until(20_000, "all run", |w| w.on(&name(1)).len() == 9 && w.on(&name(2)).len() == 3);
        let old = w.leader().unwrap();
        let other = (old + 1) % 3;
        let late = 2_500 + case * 170;
        w.state.late_writes = Some(LateWrites { share: 1.0, from_ms: late, to_ms: late });
        w.abort(old, &name(1));
        w.run(100);
        w.state.late_writes = None;
        // It has the state service and its workers, and no sibling.
        for n in (0..3).filter(|n| *n != old) {
            w.cut(End::Node(old), End::Node(n), Cut::Drop);
        }
        w.run(late - 100);
        for _ in 0..20 {
            if w.told[&name(1)] == JobStatus::Aborted {
                break;
            }
            w.poll(other, &name(1));
            w.run(50);
        }
        // Then it loses the state service too, before it reads its live jobs again.
        w.run(case % 8 * 600);
        refuse(&mut w, old, false);
        w.state.down = true;
        w.run(CANCEL_MS + LEASE_MS);
        w.state.down = false;
        admit(&mut w, old);
        w.heal();
        w.keep_rules();
        w.abort_surely(&name(1));
        w.run(CANCEL_MS);
        assert!(w.on(&name(1)).is_empty());
        w.until(90_000, "what was not cancelled runs again", |w| w.on(&name(2)).len() == 3);
        w.nobody_is_forgotten();
    }
}

/// Short jobs and long ones, of which some are cancelled, asked about at every controller while
/// `trouble` is called each fifth of a second; all that was not cancelled is done in the end.
fn busy_day(seed: u64, mut trouble: impl FnMut(&mut World, u64)) {
    let mut w = World::new(3, 8, 0.0, seed);
    w.until(20_000, "all steps are taken", |w| w.stands().version >= 4);
    w.run(1_000);
    w.cloud_off = false;
    let spec = |n: u32| job(&name(n), Shape::Array, 1 + n % 3);
    for n in 0..12 {
        // Tasks of one job end far apart.
        w.run_ms.insert(format!("{}/1", name(n)), 12_000 + u64::from(n) * 700);
    }
    for turn in 0..90u64 {
        trouble(&mut w, turn);
        let (n, node) = ((turn / 4 % 12) as u32, turn as usize % 3);
        if !w.told.contains_key(&name(n)) {
            w.submit(node, &spec(n));
        } else if n % 4 == 1 && turn > 20 {
            w.abort(node, &name(n));
        }
        for n in 0..12 {
            if w.told.contains_key(&name(n)) {
                w.poll((node + n as usize) % 3, &name(n));
            }
        }
        w.run(200);
    }
    (w.state.slow_ms, w.state.late_writes) = (0, None);
    w.heal();
    w.run(15_000);
    (0..3).for_each(|n| {
        if !w.is_up(n) {
            w.start(n)
        }
    });
    for n in 0..12 {
        match n % 4 {
            1 if w.told.contains_key(&name(n)) => w.abort_surely(&name(n)),
            1 => {}
            _ => {
                w.submit_surely(&spec(n));
                w.until_done(&name(n), 120_000);
            }
        }
    }
    w.nobody_is_forgotten();
}

/// Guards answers against a state service that is seconds late: they come out of order, users
/// repeat at other controllers what was not answered, and nobody gets an older answer.
#[test]
fn a_slow_state_service_answers_out_of_order() {
    for case in 0..18u64 {
        let slow = [300, 900, 2_500][case as usize % 3];
        busy_day(12_800 + case, |w, turn| {
            w.state.slow_ms = if (10..60).contains(&turn) { slow } else { 0 };
        });
    }
}

/// Guards records of every kind against writes that get no answer and are carried out 2 to 12 s
/// later, after newer ones, also after their writer has ended and is back: acceptances, ends,
/// aborts, shares, pages, claims, the view.
#[test]
fn writes_come_late_and_their_writer_is_back() {
    for case in 0..24u64 {
        busy_day(12_900 + case, |w, turn| {
            let share = [0.1, 0.3, 0.6][case as usize % 3];
            let late = LateWrites { share, from_ms: 2_000, to_ms: 12_000 };
            w.state.late_writes = (5..65).contains(&turn).then_some(late);
            if turn % 20 == 15 + case % 5 {
                let who = w.leader().map_or(0, |l| (l + case as usize / 3 % 2) % 3);
                w.kill_for(who, 200);
            }
        });
    }
}

/// Guards a takeover that is interrupted at each of its writes, and at each of the first ones under
/// it: all controllers end, and are back within a fraction of a second or after a while.
#[test]
fn all_end_at_each_write_of_a_takeover() {
    for case in 0..36u64 {
        let mut w = world(13_000 + case);
        let leader = w.leader().unwrap();
        w.submit(leader, &job(&name(10), Shape::Array, 4));
        w.run(3 + case % 40);
        w.kill_for(leader, [200, 5_000][case as usize % 2]);
        let stop = w.state.writes + case / 2;
        for _ in 0..3_000 {
            if w.state.writes >= stop {
                break;
            }
            w.run(1);
        }
        (0..3).for_each(|n| {
            if w.is_up(n) {
                w.kill_for(n, [200, 3_000][(case as usize + n) % 2])
            }
        });
        w.run(8_000);
        w.submit_surely(&job(&name(10), Shape::Array, 4));
        w.abort_surely(&name(1));
        w.until_done(&name(10), 120_000);
        w.run(CANCEL_MS);
        w.until(90_000, "services run", |w| w.on(&name(2)).len() == 3);
        w.nobody_is_forgotten();
    }
}

/// Guards against a machine that hangs between two commands of one call and goes on late in its
/// lease, when the task of the second has been cancelled, or started elsewhere.
#[test]
fn a_machine_hangs_between_two_commands() {
    let mut hung = 0;
    for case in 0..36u64 {
        let mut w = World::new(3, 4, 0.0, 13_100 + case);
        w.run(2_000);
        w.returns_off = case % 2 == 0;
        w.cloud_off = false;
        w.run_ms = (1..4).map(|n| (name(n), 9_000)).collect();
        let hang = 500 + case * (LEASE_MS / 30);
        for m in 0..2 {
            w.workers.get_mut(&vm(m)).unwrap().hang_between = Some((case as usize / 2 % 2, hang));
        }
        for n in 1..4 {
            w.submit(n as usize % 3, &job(&name(n), Shape::Array, 3));
        }
        w.run(700);
        w.submit_surely(&job(&name(1), Shape::Array, 3));
        w.abort_surely(&name(1));
        if case % 3 == 0 {
            let leader = w.leader().unwrap();
            w.kill_for(leader, 200);
        }
        w.run(CANCEL_MS + LEASE_MS);
        for n in 2..4 {
            w.submit_surely(&job(&name(n), Shape::Array, 3));
            w.until_done(&name(n), 120_000);
        }
        w.nobody_is_forgotten();
        let went_off = |m: &u32| w.workers.get(&vm(*m)).is_none_or(|m| m.hang_between.is_none());
        hung += (0..2).filter(went_off).count();
    }
    assert!(hung > 36, "{hung} machines hung in the midst of a call");
}
