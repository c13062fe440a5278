//! Stories of rolling the controllers out: several builds at once, every order of nodes,
//! failures at each step. What the next builds know is a table of the tests' own. After
//! each switch the world checks that it was one step, that nothing went back, and that
//! every controller that lives has it (`check_steps`).

use std::collections::BTreeSet;

use crate::world::{job, Cut, End, World, CANCEL_MS};
use quartzgate_core::records::{encode, FORMAT};
use quartzgate_ladder::{Comes, FeatureEntry, StandingRecord, Table, VersionEntry, TABLE};
use quartzgate_wire::msg::Shape;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const fn feature(name: &'static str, comes: Comes, needs: &'static [&'static str]) -> FeatureEntry {
    FeatureEntry { name, comes, needs, changes: "" }
}

const fn version(number: u32, name: &'static str) -> VersionEntry {
    VersionEntry { number, name, changes: "" }
}

/// A build that knows a version more, and features with steps of their own.
static TOMORROW: Table = Table {
    versions: &[version(2, "format-2"), version(3, "format-3"), version(4, "format-4")],
    features: &[
        feature("chains", Comes::With(2), &[]),
        feature("pieces", Comes::With(2), &[]),
        feature("service-mark", Comes::With(2), &["chains"]),
        feature("low-limits", Comes::With(2), &["pieces"]),
        feature("inline-shares", Comes::With(3), &["pieces"]),
        feature("shared-pages", Comes::With(4), &["inline-shares"]),
        feature("even-shares", Comes::Alone { from: 4 }, &[]),
        feature("owners", Comes::Alone { from: 4 }, &["even-shares"]),
    ],
};

/// A build that knows format 2 and no features of their own.
pub static TODAY: Table = Table {
    versions: &[version(2, "format-2")],
    features: &[
        feature("chains", Comes::With(2), &[]),
        feature("pieces", Comes::With(2), &[]),
        feature("service-mark", Comes::With(2), &["chains"]),
        feature("low-limits", Comes::With(2), &["pieces"]),
    ],
};

/// Steps from nothing to all that `TOMORROW` knows.
const ALL: [&str; 5] = ["format-2", "format-3", "format-4", "even-shares", "owners"];

/// A cluster of the first version (`first`), or of `TODAY`'s, settled and with work.
fn world(nodes: usize, first: bool, seed: u64) -> World {
    let mut w = World::new(nodes, 8, 0.0, seed);
    for n in 0..nodes {
        w.kill(n);
        w.tables.insert(n, &TODAY);
        if first {
            w.old.insert(n);
        }
        w.start(n);
    }
    if !first {
        w.until(20_000, "format 2 stands", |w| w.stands().version == 2);
    }
    w.run(2_500);
    w.run_ms.insert("wk-000001".into(), 15_000);
    w.submit_surely(&job("wk-000001", Shape::Array, 12));
    w.submit_surely(&job("wk-000002", Shape::Service, 3));
    w
}

fn complete(w: &World) -> bool {
    w.stands().version == 4 && w.stands().features.len() == 2
}

/// What was switched on, in order.
fn climbed(w: &World) -> Vec<StandingRecord> {
    let set = w.state.journal.iter().filter(|(key, _)| key == FORMAT);
    set.map(|(_, value)| value.deserialized().unwrap()).collect()
}

/// All steps one after the other, none skipped, none twice.
fn climbed_in_order(w: &World) {
    let seen = climbed(w);
    let steps: Vec<(u32, usize)> = seen.iter().map(|r| (r.version, r.features.len())).collect();
    assert_eq!(steps, [(2, 0), (3, 0), (4, 0), (4, 1), (4, 2)]);
    assert!(seen[3].features.contains("even-shares"), "what others need comes first");
}

/// The work that was there goes on, new work is done, and what every controller says of
/// itself and of what stands is the same.
fn all_is_well(w: &mut World) {
    w.submit_surely(&job("wk-000009", Shape::Array, 3));
    w.until_done("wk-000001", 120_000);
    w.until_done("wk-000009", 60_000);
    w.run(3_000);
    assert_eq!(w.on("wk-000002").len(), 3);
    for n in (0..w.size()).filter(|n| w.is_up(*n)).collect::<Vec<_>>() {
        let seen = w.figures(n);
        assert_eq!((seen["format"], seen["format_foreign"]), (4.0, 0.0), "n{n}");
        assert!(!seen.keys().any(|k| k.starts_with("step_held")), "n{n}");
    }
    w.keep_rules();
}

/// Guards the order of steps: from format 1 or 2, whatever order the nodes are replaced in,
/// nothing is switched on before the last one is new, then every step in turn.
#[test]
fn every_order_of_nodes_climbs_step_by_step() {
    let orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    for (case, order) in orders.into_iter().enumerate() {
        for first in [true, false] {
            let mut w = world(3, first, 300 + case as u64);
            let before = w.stands();
            for n in order {
                assert_eq!(w.stands(), before, "nothing before the last is new");
                w.replace(n, &TOMORROW, 500);
                w.run(3_000);
            }
            w.until(20_000, "all steps are taken", complete);
            climbed_in_order(&w);
            all_is_well(&mut w);
        }
    }
}

/// Guards each step against crashes: one controller or all end at any moment from the last
/// one's start on; the ladder is climbed all the same, in order.
#[test]
fn controllers_crash_at_each_step() {
    for case in 0..24u64 {
        let mut w = world(3, case % 2 == 0, 320 + case);
        (0..3).for_each(|n| w.replace(n, &TOMORROW, 300));
        w.run(1_000 + case * 130);
        match case % 4 {
            0 => (0..3).for_each(|n| w.kill_for(n, 700)),
            n => w.kill_for(n as usize - 1, 700),
        }
        w.until(40_000, "all steps are taken", complete);
        climbed_in_order(&w);
        all_is_well(&mut w);
    }
}

/// Guards against a node that is put back: it said what the new build can do, and an older
/// build runs in its place when the last of the others comes up. Nothing is switched on
/// until it is new again, and operators see which node, which step, since when.
#[test]
fn a_node_that_comes_back_old_is_noticed() {
    for (case, first) in [(0u64, true), (1, false), (2, true), (3, false)] {
        let mut w = world(3, first, 350 + case);
        let (back, last) = ([0, 1, 2, 0][case as usize], [1, 2, 0, 2][case as usize]);
        (0..3).filter(|n| *n != last).for_each(|n| w.replace(n, &TOMORROW, 300));
        w.run(6_000);
        // Put back, with its word of the newer build still there.
        w.replace(back, &TODAY, 300);
        if first {
            w.old.insert(back);
        }
        w.run(300 + case * 400);
        w.replace(last, &TOMORROW, 200);
        w.run(15_000);
        assert_eq!(w.stands().version, if first { 1 } else { 2 });
        let step = if first { "format-2" } else { "format-3" };
        let leader = w.leader().unwrap();
        if leader != back {
            let held = w.figures(leader)[&format!("step_held_s.{step}.n{back}")];
            assert!(held > 5.0, "since when: {held}");
            let said = w.figures(leader)[&format!("format_node.n{back}")];
            assert!(first || said == 2.0, "what it can do now: {said}");
        }
        w.keep_rules();
        w.replace(back, &TOMORROW, 300);
        w.until(40_000, "all steps are taken", complete);
        all_is_well(&mut w);
    }
}

/// Guards a step whose node has left: it said what it can do, and is not there when the
/// others are ready. Nobody knows what comes back, so nothing is switched on; an older
/// build does come back.
#[test]
fn a_node_that_is_away_holds_the_step() {
    let mut w = world(3, true, 360);
    w.replace(0, &TOMORROW, 300);
    w.run(4_000);
    w.kill(0);
    (1..3).for_each(|n| w.replace(n, &TOMORROW, 300));
    w.run(15_000);
    assert_eq!(w.stands().version, 1);
    let leader = w.leader().unwrap();
    assert!(w.figures(leader).contains_key("step_held_s.format-2.n0"));
    w.tables.insert(0, &TODAY);
    w.old.insert(0);
    w.start(0);
    w.run(10_000);
    assert_eq!(w.stands().version, 1);
    w.replace(0, &TOMORROW, 300);
    w.until(40_000, "all steps are taken", complete);
    all_is_well(&mut w);
}

/// Guards the step's write: the leader is cut from the state service between the last key
/// and the step, another leads meanwhile; what the first sent is applied late, or stands
/// without an answer; an outage lies over it. Each step is taken once.
#[test]
fn the_steps_write_is_late_or_lost() {
    for case in 0..18u64 {
        let mut w = world(3, case % 2 == 0, 370 + case);
        (0..3).for_each(|n| w.replace(n, &TOMORROW, 300));
        w.until(20_000, "someone leads", |w| w.leader().is_some());
        w.run(200 + case * 110);
        let leader = w.leader().unwrap_or(0);
        match case % 3 {
            0 => {
                w.cut(End::Node(leader), End::State, Cut::Hold);
                w.run(9_000);
                w.heal();
            }
            1 => w.state.swallow_answers = 4,
            _ => {
                w.state.down = true;
                w.run(3_000);
                w.state.down = false;
            }
        }
        w.until(60_000, "all steps are taken", complete);
        climbed_in_order(&w);
        all_is_well(&mut w);
    }
}

/// Guards what a step's write rests on, when it is applied long after it was sent: a
/// controller was put back meanwhile; another leads; the same step was sent twice.
#[test]
fn a_step_that_comes_late_does_nothing() {
    for case in 0..3u64 {
        let mut w = world(3, true, 395 + case);
        w.state.hold_steps = true;
        (0..3).for_each(|n| w.replace(n, &TOMORROW, 300));
        w.until(20_000, "a step is sent", |w| w.steps_held() > 0);
        let leader = w.leader().unwrap();
        let other = (leader + 1) % 3;
        match case {
            0 => {
                w.replace(other, &TODAY, 100);
                w.old.insert(other);
                w.run(1_200);
            }
            1 => {
                w.kill_for(leader, 12_000);
                w.until(12_000, "another leads", |w| w.leader().is_some_and(|l| l != leader));
                w.run(200);
            }
            _ => w.until(20_000, "it is sent again", |w| w.steps_held() > 1),
        }
        w.state.hold_steps = false;
        w.heal();
        w.run(1_000);
        w.keep_rules();
        if case == 0 {
            assert_eq!(w.stands().version, 1);
            w.replace(other, &TOMORROW, 100);
        }
        w.until(40_000, "all steps are taken", complete);
        climbed_in_order(&w);
        w.run(12_000);
        all_is_well(&mut w);
    }
}

/// Guards the key on a controller's lease, without which it can speak for no life: its
/// first write is refused, and it is written again.
#[test]
fn a_life_whose_key_was_refused_speaks_up() {
    let mut w = world(3, true, 392);
    w.state.poison = Some("members/n1".into());
    // Away for longer than its lease.
    (0..3).for_each(|n| w.replace(n, &TOMORROW, 4_000));
    w.run(12_000);
    assert_eq!(w.stands().version, 1);
    w.state.poison = None;
    w.until(20_000, "all steps are taken", complete);
    all_is_well(&mut w);
}

/// Guards what is on against a build that lacks it: it neither leads nor is ready, also
/// when all others are gone, and says what it can do, so that no further step is taken.
#[test]
fn one_too_old_for_what_is_on_keeps_out() {
    let mut w = world(3, false, 400);
    (0..3).for_each(|n| w.replace(n, &TOMORROW, 300));
    w.until(40_000, "all steps are taken", complete);
    w.replace(1, &TODAY, 300);
    w.run(3_000);
    (0..3).filter(|n| *n != 1).for_each(|n| w.kill(n));
    let ready = w.ask(1, "GET", "/ready", Vec::new());
    let ask = w.submit(1, &job("wk-000003", Shape::Array, 1));
    w.run(15_000);
    assert_eq!((w.status(ready), w.status(ask)), (503, 503));
    assert_ne!(w.leader(), Some(1));
    assert_eq!(w.figures(1)["format_foreign"], 1.0);
    (0..3).filter(|n| *n != 1).for_each(|n| w.start(n));
    w.run(6_000);
    assert_eq!(w.stands().features.len(), 2, "what is on stays on");
    w.replace(1, &TOMORROW, 300);
    w.run(4_000);
    all_is_well(&mut w);
}

/// Guards what operators withhold on one controller, by the name of a format or a feature:
/// it and what needs it wait, all else is switched on; freed, the rest follows.
#[test]
fn a_step_is_withheld_by_name() {
    for (at, name) in ALL.into_iter().enumerate() {
        let mut w = world(3, true, 410 + at as u64);
        let holder = at % 3;
        w.withhold.insert(holder, vec![name.to_string()]);
        (0..3).for_each(|n| w.replace(n, &TOMORROW, 300));
        w.run(20_000);
        assert_eq!(climbed(&w).len(), at, "up to {name}");
        let leader = w.leader().unwrap();
        assert!(w.figures(leader).contains_key(&format!("step_held_s.{name}.n{holder}")));
        w.withhold.clear();
        w.kill_for(holder, 300);
        w.until(40_000, "all steps are taken", complete);
        all_is_well(&mut w);
    }
}

/// Guards the list of nodes: one that the settings name and that never starts holds every
/// step back; so does one that lives and that the leader's settings don't name any more, or
/// not yet. Seven controllers, and a list that changes in the middle.
#[test]
fn every_node_of_the_settings_and_every_one_that_lives_counts() {
    let mut w = world(7, true, 430);
    w.kill(6);
    (0..6).for_each(|n| w.replace(n, &TOMORROW, 300 + n as u64 * 100));
    w.run(12_000);
    assert_eq!(w.stands().version, 1);
    let leader = w.leader().unwrap();
    assert!(w.figures(leader).contains_key("step_held_s.format-2.n6"));
    // The settings of all but the sixth, which is old again, come to name five.
    w.replace(5, &TODAY, 300);
    w.old.insert(5);
    for n in 0..5 {
        w.named.insert(n, 5);
        w.kill_for(n, 400);
        w.run(1_500);
    }
    w.run(12_000);
    assert_eq!(w.stands().version, 1, "the sixth lives");
    w.kill(5);
    w.until(60_000, "all steps are taken", complete);
    all_is_well(&mut w);
}

/// Guards the keys: a word that can't be read says nothing, and what stands that can't be
/// read is nothing to guess at.
#[test]
fn damaged_words_hold_the_step() {
    let mut w = world(3, true, 440);
    (0..2).for_each(|n| w.replace(n, &TOMORROW, 300));
    w.run(6_000);
    let rev = w.state.rev;
    w.state.keys.insert("format/node/n2".into(), (encode(&"?"), rev, None));
    w.run(6_000);
    assert_eq!(w.stands().version, 1);
    w.replace(2, &TOMORROW, 300);
    w.until(40_000, "all steps are taken", complete);
    w.state.keys.insert(FORMAT.into(), (encode(&"?"), rev, None));
    w.kill_for(1, 300);
    w.run(4_000);
    assert_eq!(w.figures(1)["format_foreign"], 1.0);
    w.keep_rules();
}

/// A roll of chance: who is replaced when, by what, and what fails meanwhile.
fn a_roll(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let nodes = [3, 3, 3, 5][rng.random_range(0..4)];
    let mut w = world(nodes, rng.random_bool(0.5), seed);
    let begin = w.stands();
    let mut left: BTreeSet<usize> = (0..nodes).collect();
    let mut jobs = 10;
    for _ in 0..rng.random_range(8..24) {
        let n = rng.random_range(0..nodes);
        match rng.random_range(0..12) {
            0..4 => {
                w.replace(n, &TOMORROW, rng.random_range(50..2_000));
                left.remove(&n);
            }
            // Put back, as long as nothing new is on.
            4 if w.stands() == begin => {
                w.replace(n, &TODAY, rng.random_range(50..2_000));
                if begin.version == 1 {
                    w.old.insert(n);
                }
                left.insert(n);
            }
            5 => w.kill_for(n, rng.random_range(50..4_000)),
            6 => {
                let how = [Cut::Drop, Cut::Hold][rng.random_range(0..2)];
                w.cut(End::Node(n), End::State, how);
            }
            7 => w.cut(End::Node(n), End::Node(rng.random_range(0..nodes)), Cut::Drop),
            8 => w.heal(),
            9 => w.state.swallow_answers = rng.random_range(1..4),
            10 if w.is_up(n) => w.pause(n, rng.random_range(300..5_000)),
            _ => {
                let id = format!("wk-{jobs:06}");
                jobs += 1;
                w.submit(n, &job(&id, Shape::Array, 2));
                if rng.random_bool(0.3) {
                    w.abort(rng.random_range(0..nodes), &id);
                }
            }
        }
        w.run(rng.random_range(50..3_000));
        w.keep_rules();
    }
    w.heal();
    w.state.swallow_answers = 0;
    for n in left {
        w.replace(n, &TOMORROW, 300);
        w.run(rng.random_range(0..1_500));
    }
    w.until(90_000, "all steps are taken", complete);
    w.run(CANCEL_MS);
    all_is_well(&mut w);
}

/// Guards the whole: rolls of chance break no rule and end with everything on. More seeds:
/// `ROLLS=2000 cargo test -p quartzgate-core --test stories rolls_of_chance`.
#[test]
fn rolls_of_chance() {
    let many = std::env::var("ROLLS").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    (0..many).for_each(|n| a_roll(50_000 + n));
}

/// Guards the tables: what is made up here is in order, and goes on from the real one.
#[test]
fn the_made_up_tables_are_in_order() {
    assert_eq!((TOMORROW.fault(), TODAY.fault(), TABLE.fault()), (None, None, None));
    assert_eq!(TOMORROW.steps(), ALL);
    let known = TABLE.features.iter().all(|f| TOMORROW.features.iter().any(|g| g.name == f.name));
    assert!(known && TOMORROW.newest() == TABLE.newest());
}
