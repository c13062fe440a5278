//! Stories of machines that speak and don't hear, of reports that come again late, and of
//! machines that are back at once.

use crate::world::{
    behind, job, Cut, Deaf, End, LateCopies, World, CANCEL_MS, LEASE_MS, REPORT_MS,
};
use quartzgate_wire::msg::Shape;

const NOTHING: Deaf = Deaf { answers: true, orders: true };
const NO_ANSWERS: Deaf = Deaf { answers: true, orders: false };
const NO_ORDERS: Deaf = Deaf { answers: false, orders: true };

fn name(n: u32) -> String {
    format!("wk-{n:06}")
}

fn world(workers: usize, seed: u64) -> World {
    let mut w = World::new(3, workers, 0.0, seed);
    w.run(1_500);
    w
}

/// One job of one task a second, each of which runs for two.
fn steady_work(w: &mut World, from: u32, jobs: u32) {
    for n in from..from + jobs {
        w.submit_surely(&job(&name(n), Shape::Array, 1));
    }
}

/// Guards the room of machines that speak and don't hear: each seems alive and empty, so that
/// every start that is lost on the way would be followed by the next. One machine, a zone's, half
/// of all; answers lost, orders lost, both; with a takeover. A few starts are lost at each, never
/// one a round; all work is done elsewhere; and those that hear again have work again, soon.
#[test]
fn a_machine_that_does_not_hear_draws_no_work() {
    for case in 0..18u64 {
        let mut w = World::new(3, 8, 0.0, 11_000 + case);
        w.keeps_idle = true;
        w.start_anew();
        w.run(1_500);
        let how = [NOTHING, NO_ANSWERS, NO_ORDERS][case as usize % 3];
        let who: Vec<String> = match case / 3 % 3 {
            0 => vec!["vm-000003".into()],
            1 => (0..8).step_by(2).map(|n| format!("vm-{n:06}")).collect(),
            _ => (0..4).map(|n| format!("vm-{n:06}")).collect(),
        };
        // It is about those that stay: the cloud takes none back.
        w.returns_off = true;
        w.deaf = who.iter().map(|m| (m.clone(), how)).collect();
        if case >= 9 {
            let leader = w.leader().unwrap();
            w.kill_for(leader, 5_000);
            w.run(5_000);
        }
        steady_work(&mut w, 0, 15);
        for (machine, lost) in &w.lost_starts {
            assert!(*lost <= 4, "case {case}: {lost} starts lost on the way to {machine}");
        }
        for n in 0..15 {
            w.until_done(&name(n), 60_000);
        }
        // Every session ends unless answers are heard: what is started then is lost with it.
        let on_deaf = |w: &World| -> usize {
            w.starts.values().flatten().filter(|(m, _)| who.contains(m)).count()
        };
        let before = on_deaf(&w);
        w.deaf.clear();
        if who.len() == 1 && how.answers {
            // Sent back, though the cloud does not take it.
            continue;
        }
        // Work for all machines at once.
        w.run_ms.insert(name(900), 20_000);
        w.submit_surely(&job(&name(900), Shape::Array, 16));
        w.until(5 * LEASE_MS, &format!("case {case}: those that hear again have work"), |w| {
            on_deaf(w) > before
        });
        w.until_done(&name(900), 120_000);
        w.nobody_is_forgotten();
    }
}

/// Guards what is on a machine that stops hearing: a cancelled task is gone in time though no
/// order reaches it, a replica goes elsewhere once it is proven gone, a gang with one such member
/// is whole again, and the machine goes back to the cloud.
#[test]
fn what_a_deaf_machine_holds_goes_elsewhere() {
    for case in 0..12u64 {
        let mut w = world(6, 11_100 + case);
        w.cloud_off = case % 2 == 0;
        w.run_ms = (1..4).map(|n| (name(n), 40_000)).collect();
        w.submit_surely(&job(&name(0), Shape::Service, 4));
        w.submit_surely(&job(&name(1), Shape::Gang, 4));
        w.submit_surely(&job(&name(2), Shape::Array, 2));
        w.until(20_000, "all run", |w| (0..3).map(|n| w.on(&name(n)).len()).sum::<usize>() == 10);
        let victim = w.on(&name(case as u32 % 3))[0].1.clone();
        w.deaf.insert(victim.clone(), [NOTHING, NO_ANSWERS, NO_ORDERS][case as usize / 3 % 3]);
        w.run(REPORT_MS);
        w.abort_surely(&name(2));
        // The world notes a cancelled task that is still there past `cancel_s`.
        w.run(CANCEL_MS + LEASE_MS);
        if w.deaf[&victim].answers {
            assert!(!w.workers.contains_key(&victim), "case {case}: it was sent back");
        }
        let there = w.on(&name(0));
        assert_eq!(there.len(), 4, "case {case}: {there:?}");
        w.until_done(&name(1), 240_000);
        w.nobody_is_forgotten();
    }
}

/// Guards against copies of reports that come late, from seconds to several leases, at whatever
/// controller: a machine that has ended is presumed empty no later for them, none that was given
/// back is known again, and nothing is taken for absent, ended or alive by them. With a takeover
/// after which the copy is the first that is heard, a cut over which keepers answer, and machines
/// that are back in a moment.
#[test]
fn late_copies_of_reports_say_nothing() {
    for case in 0..24u64 {
        let mut w = world(8, 11_200 + case);
        w.returns_off = case % 2 == 0;
        let (from_ms, to_ms) =
            [(2_000, 6_000), (LEASE_MS, 2 * LEASE_MS), (500, 5 * LEASE_MS)][case as usize % 3];
        w.copies = Some(LateCopies { share: 1.0, from_ms, to_ms });
        w.run_ms = (0..12).map(|n| (name(n), 15_000)).collect();
        (0..6).for_each(|n| w.submit_surely(&job(&name(n), Shape::Array, 2)));
        w.until(20_000, "all run", |w| (0..6).map(|n| w.on(&name(n)).len()).sum::<usize>() == 12);
        let victim = w.on(&name(1))[0].1.clone();
        let leader = w.leader().unwrap();
        match case / 3 % 4 {
            0 => w.workers.get_mut(&victim).unwrap().dead = true,
            1 => {
                w.workers.get_mut(&victim).unwrap().dead = true;
                w.kill_for(leader, 3_000);
            }
            2 => {
                w.reboot(&victim, 200);
                w.run(100);
                w.kill_for(leader, 200);
            }
            _ => {
                w.cut(End::Node(leader), End::Node((leader + 1) % 3), Cut::Hold);
                w.cut(End::Node(leader), End::Worker(victim.clone()), Cut::Hold);
            }
        }
        let lost: Vec<String> = (0..6).filter(|n| w.on(&name(*n)).len() < 2).map(name).collect();
        let at = w.now;
        for id in &lost {
            // As soon as without copies: a lease, or after a takeover the horizon and a lease.
            w.until(
                CANCEL_MS + LEASE_MS,
                &format!("case {case}: what it held runs elsewhere"),
                |w| {
                    let held = w.starts.iter().filter(|(t, _)| t.starts_with(&id[..]));
                    held.flat_map(|(_, s)| s).any(|(_, when)| *when > at)
                },
            );
        }
        w.run(LEASE_MS);
        w.heal();
        (6..12).for_each(|n| w.submit_surely(&job(&name(n), Shape::Array, 2)));
        (0..12).for_each(|n| w.until_done(&name(n), 240_000));
        w.nobody_is_forgotten();
    }
}

/// Guards who is answered for whom: a controller that has lost the state service and its
/// siblings, but not its workers, lets them go early enough for their work to run on, and starts
/// nothing that may be started elsewhere; as leader, as follower, as a zone's keeper; one, two, all
/// but one of seven; for less than a lease and for much longer; healing in the election.
#[test]
fn a_controller_that_has_only_its_workers_lets_them_go() {
    for case in 0..24u64 {
        let nodes = if case % 2 == 0 { 3 } else { 7 };
        let mut w = World::new(nodes, 10, 0.0, 11_300 + case);
        w.cloud_off = false;
        // As short beside the lease as where leases last 18 s.
        w.hop_ms = Some(LEASE_MS / 18);
        w.run(2_500);
        w.run_ms = (0..8).map(|n| (name(n), 70_000)).collect();
        (0..8).for_each(|n| w.submit_surely(&job(&name(n), Shape::Array, 1)));
        w.until(20_000, "all run", |w| w.starts.len() == 8);
        let leader = w.leader().unwrap();
        let lonely: Vec<usize> = match case / 2 % 4 {
            0 => vec![leader],
            1 => vec![(leader + 1) % nodes],
            2 => vec![leader, (leader + 1) % nodes],
            _ => (0..nodes).filter(|n| *n != (leader + 1) % nodes).collect(),
        };
        let how = if case / 8 == 1 { Cut::Hold } else { Cut::Drop };
        for n in &lonely {
            w.cut(End::Node(*n), End::State, how);
            for m in (0..nodes).filter(|m| m != n) {
                w.cut(End::Node(*n), End::Node(m), how);
            }
        }
        if case / 8 == 2 {
            // Healed while the others elect.
            w.run(2_300);
        } else {
            w.run(CANCEL_MS);
            for n in &lonely {
                let ready = w.ask(*n, "GET", "/ready", Vec::new());
                w.run(1_000);
                assert_eq!(w.status(ready), 503, "case {case}: one that is cut off is not ready");
            }
            let other = (0..nodes).find(|n| !lonely.contains(n)).unwrap();
            assert_eq!(w.leader(), Some(other).filter(|_| lonely.len() > 2).or(w.leader()));
            assert!(!lonely.contains(&w.leader().unwrap()) || !lonely.contains(&leader));
            // New work begins with those that are left.
            let began = w.now;
            while !w.starts.contains_key("wk-000100/0") {
                assert!(w.now < began + CANCEL_MS, "case {case}: nothing new is started");
                w.submit(other, &job("wk-000100", Shape::Array, 1));
                w.run(1_000);
            }
            w.run(CANCEL_MS);
        }
        w.heal();
        for n in 0..8 {
            w.until_done(&name(n), 200_000);
            let starts = &w.starts[&format!("{}/0", name(n))];
            assert_eq!(starts.len(), 1, "case {case}: {} ran on: {starts:?}", name(n));
        }
        w.nobody_is_forgotten();
    }
}

/// Guards a machine's name against its earlier life: it is back in a moment with nothing on it,
/// while an order for its earlier life is under way, while a gang starts on it, while it is taken
/// for dead, and during a takeover. What it held runs again, once.
#[test]
fn a_machine_is_back_in_a_moment() {
    for case in 0..24u64 {
        let mut w = world(6, 11_400 + case);
        w.max_delay = if case % 2 == 0 { 4 } else { 150 };
        w.run_ms = (0..4).map(|n| (name(n), 6_000)).collect();
        w.submit_surely(&job(&name(0), Shape::Service, 4));
        w.submit_surely(&job(&name(1), Shape::Gang, 4));
        w.submit_surely(&job(&name(2), Shape::Array, 3));
        w.run(200 + 130 * (case / 4));
        let machines: Vec<String> = w.workers.keys().cloned().collect();
        let victim = machines[case as usize % 6].clone();
        let leader = w.leader().unwrap();
        match case % 4 {
            0 => w.reboot(&victim, 200),
            // One after the other.
            1 => machines.iter().for_each(|m| w.reboot(m, 200)),
            // Back when it has been silent for almost its lease, or longer.
            2 => w.reboot(&victim, LEASE_MS - 500 + 400 * (case / 4)),
            _ => {
                w.kill_for(leader, 200);
                w.run(150 * (case / 4));
                w.reboot(&victim, 200);
            }
        }
        w.submit_surely(&behind(job(&name(3), Shape::Array, 2), &[&name(2)]));
        (1..4).for_each(|n| w.until_done(&name(n), 200_000));
        w.until(60_000, "all replicas", |w| w.on(&name(0)).len() == 4);
        w.nobody_is_forgotten();
    }
}
