//! Rolling upgrades: several builds at once, every order of controllers, faults at each step.
//! What the next builds know is a feature table of these tests. At each activation the cluster
//! checks that it is one step, that nothing is deactivated, and that every live controller
//! supports it (`check_activation`).

use crate::cluster::{job, Cluster, LinkFault, CANCEL_MS};
use std::collections::BTreeSet;

use quartzgate_core::records::{encode, FORMAT_KEY};
use quartzgate_feature_gates::{
    Activation, ActivationRecord, FeatureEntry, FormatEntry, GateTable, GATES,
};
use quartzgate_wire::msg::JobKind;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const fn feature(
    name: &'static str,
    activation: Activation,
    requires: &'static [&'static str],
) -> FeatureEntry {
    FeatureEntry { name, activation, requires, description: "" }
}

const fn version(version: u32, name: &'static str) -> FormatEntry {
    FormatEntry { version, name, description: "" }
}

/// A build that knows a later version, and features that are activated by themselves.
static NEXT_BUILD: GateTable = GateTable {
    formats: &[version(2, "format-2"), version(3, "format-3"), version(4, "format-4")],
    features: &[
        feature("chains", Activation::WithFormat(2), &[]),
        feature("pieces", Activation::WithFormat(2), &[]),
        feature("service-mark", Activation::WithFormat(2), &["chains"]),
        feature("low-limits", Activation::WithFormat(2), &["pieces"]),
        feature("inline-shares", Activation::WithFormat(3), &["pieces"]),
        feature("shared-pages", Activation::WithFormat(4), &["inline-shares"]),
        feature("even-shares", Activation::Separate { min_format: 4 }, &[]),
        feature("owners", Activation::Separate { min_format: 4 }, &["even-shares"]),
    ],
};

/// A build that knows format 2 and no features of its own.
pub static FORMAT_2_BUILD: GateTable = GateTable {
    formats: &[version(2, "format-2")],
    features: &[
        feature("chains", Activation::WithFormat(2), &[]),
        feature("pieces", Activation::WithFormat(2), &[]),
        feature("service-mark", Activation::WithFormat(2), &["chains"]),
        feature("low-limits", Activation::WithFormat(2), &["pieces"]),
    ],
};

/// Steps from nothing to all that `NEXT_BUILD` knows.
const ALL_STEPS: [&str; 5] = ["format-2", "format-3", "format-4", "even-shares", "owners"];

/// A cluster of the first version (`first`) or of `FORMAT_2_BUILD`, with work.
fn settled_cluster(nodes: usize, first: bool, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(nodes, 8, 0.0, seed);
    for n in 0..nodes {
        cluster.crash(n);
        cluster.feature_tables.insert(n, &FORMAT_2_BUILD);
        if first {
            cluster.legacy_controllers.insert(n);
        }
        cluster.start_controller(n);
    }
    if !first {
        cluster.run_until(20_000, "format 2 is activated", |cluster| {
            cluster.activated_format().version == 2
        });
    }
    cluster.run_for_ms(2_500);
    cluster.task_duration_ms.insert("wk-000001".into(), 15_000);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 12));
    cluster.submit_until_accepted(&job("wk-000002", JobKind::Service, 3));
    cluster
}

fn all_features_active(cluster: &Cluster) -> bool {
    cluster.activated_format().version == 4 && cluster.activated_format().features.len() == 2
}

/// What was activated, in order.
fn activations(cluster: &Cluster) -> Vec<ActivationRecord> {
    let set = cluster.state.write_log.iter().filter(|written| written.key == FORMAT_KEY);
    set.map(|written| written.value.deserialized().unwrap()).collect()
}

/// All steps were activated one after the other, none skipped, none twice.
fn assert_activated_in_order(cluster: &Cluster) {
    let seen = activations(cluster);
    let steps: Vec<(u32, usize)> = seen.iter().map(|r| (r.version, r.features.len())).collect();
    assert_eq!(steps, [(2, 0), (3, 0), (4, 0), (4, 1), (4, 2)]);
    assert!(seen[3].features.contains("even-shares"), "a feature follows those that it needs");
}

/// Existing work continues, new work is done, and every controller reports the same format.
fn assert_upgraded_and_serving(cluster: &mut Cluster) {
    cluster.submit_until_accepted(&job("wk-000009", JobKind::Array, 3));
    cluster.run_until_done("wk-000001", 120_000);
    cluster.run_until_done("wk-000009", 60_000);
    cluster.run_for_ms(3_000);
    assert_eq!(cluster.live_tasks("wk-000002").len(), 3);
    for n in (0..cluster.controller_count()).filter(|n| cluster.is_up(*n)).collect::<Vec<_>>() {
        let seen = cluster.metrics_of(n);
        assert_eq!((seen["format"], seen["format_foreign"]), (4.0, 0.0), "n{n}");
        assert!(!seen.keys().any(|k| k.starts_with("step_held")), "n{n}");
    }
    cluster.check_invariants();
}

/// From format 1 or 2, in whatever order the controllers are replaced, nothing is activated before
/// the last one is new; then every step follows in turn.
#[test]
fn features_activate_in_order_for_every_upgrade_order() {
    let orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    for (case, order) in orders.into_iter().enumerate() {
        for first in [true, false] {
            let mut cluster = settled_cluster(3, first, 300 + case as u64);
            let before = cluster.activated_format();
            for n in order {
                assert_eq!(
                    cluster.activated_format(),
                    before,
                    "nothing is activated before the last one is new"
                );
                cluster.replace_build(n, &NEXT_BUILD, 500);
                cluster.run_for_ms(3_000);
            }
            cluster.run_until(20_000, "all features are activated", all_features_active);
            assert_activated_in_order(&cluster);
            assert_upgraded_and_serving(&mut cluster);
        }
    }
}

/// One controller or all crash at any moment after the last one was replaced: the steps are
/// activated all the same, in order.
#[test]
fn features_activate_in_order_when_controllers_crash() {
    for case in 0..24u64 {
        let mut cluster = settled_cluster(3, case % 2 == 0, 320 + case);
        (0..3).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 300));
        cluster.run_for_ms(1_000 + case * 130);
        match case % 4 {
            0 => cluster.crash_all_for_ms(700),
            n => cluster.crash_for_ms(n as usize - 1, 700),
        }
        cluster.run_until(40_000, "all features are activated", all_features_active);
        assert_activated_in_order(&cluster);
        assert_upgraded_and_serving(&mut cluster);
    }
}

/// A controller has announced the new build's formats, and an older build runs in its place when
/// the last of the others is upgraded. Nothing is activated until it is upgraded again, and
/// operators see which controller blocks which step, and since when.
#[test]
fn activation_waits_when_a_controller_is_rolled_back() {
    for (case, first) in [(0u64, true), (1, false), (2, true), (3, false)] {
        let mut cluster = settled_cluster(3, first, 350 + case);
        let (back, last) = ([0, 1, 2, 0][case as usize], [1, 2, 0, 2][case as usize]);
        (0..3).filter(|n| *n != last).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 300));
        cluster.run_for_ms(6_000);
        // Rolled back, while its announcement of the newer build still exists.
        cluster.replace_build(back, &FORMAT_2_BUILD, 300);
        if first {
            cluster.legacy_controllers.insert(back);
        }
        cluster.run_for_ms(300 + case * 400);
        cluster.replace_build(last, &NEXT_BUILD, 200);
        cluster.run_for_ms(15_000);
        assert_eq!(cluster.activated_format().version, if first { 1 } else { 2 });
        let step = if first { "format-2" } else { "format-3" };
        let leader = cluster.leader().unwrap();
        if leader != back {
            let held = cluster.metrics_of(leader)[&format!("step_held_s.{step}.n{back}")];
            assert!(held > 5.0, "since when: {held}");
            let said = cluster.metrics_of(leader)[&format!("format_node.n{back}")];
            assert!(first || said == 2.0, "the format it supports now: {said}");
        }
        cluster.check_invariants();
        cluster.replace_build(back, &NEXT_BUILD, 300);
        cluster.run_until(40_000, "all features are activated", all_features_active);
        assert_upgraded_and_serving(&mut cluster);
    }
}

/// A controller announces what it supports and is down when the others are ready. Nobody knows
/// which build will come back, so nothing is activated; an older build does come back.
#[test]
fn activation_waits_when_a_controller_is_down() {
    let mut cluster = settled_cluster(3, true, 360);
    cluster.replace_build(0, &NEXT_BUILD, 300);
    cluster.run_for_ms(4_000);
    cluster.crash(0);
    (1..3).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 300));
    cluster.run_for_ms(15_000);
    assert_eq!(cluster.activated_format().version, 1);
    let leader = cluster.leader().unwrap();
    assert!(cluster.metrics_of(leader).contains_key("step_held_s.format-2.n0"));
    cluster.feature_tables.insert(0, &FORMAT_2_BUILD);
    cluster.legacy_controllers.insert(0);
    cluster.start_controller(0);
    cluster.run_for_ms(10_000);
    assert_eq!(cluster.activated_format().version, 1);
    cluster.replace_build(0, &NEXT_BUILD, 300);
    cluster.run_until(40_000, "all features are activated", all_features_active);
    assert_upgraded_and_serving(&mut cluster);
}

/// The leader is partitioned from the state service between the last announcement and the
/// activation, while another leads; its write is applied late or without an answer, or an outage
/// falls on it. Each step is activated once.
#[test]
fn features_activate_once_when_the_activation_write_is_late_or_lost() {
    for case in 0..18u64 {
        let mut cluster = settled_cluster(3, case % 2 == 0, 370 + case);
        (0..3).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 300));
        cluster.run_until(20_000, "a controller leads", |cluster| cluster.leader().is_some());
        cluster.run_for_ms(200 + case * 110);
        let leader = cluster.leader().unwrap_or(0);
        match case % 3 {
            0 => {
                cluster.cut_from_state_service(leader, LinkFault::Hold);
                cluster.run_for_ms(9_000);
                cluster.heal_links();
            }
            1 => cluster.state.unanswered_writes = 4,
            _ => {
                cluster.state.down = true;
                cluster.run_for_ms(3_000);
                cluster.state.down = false;
            }
        }
        cluster.run_until(60_000, "all features are activated", all_features_active);
        assert_activated_in_order(&cluster);
        assert_upgraded_and_serving(&mut cluster);
    }
}

/// An activation write is applied long after it was sent: a controller was rolled back in the
/// meantime, another leads, or the same step was sent twice.
#[test]
fn delayed_activation_has_no_effect() {
    for case in 0..3u64 {
        let mut cluster = settled_cluster(3, true, 395 + case);
        cluster.state.hold_activations = true;
        (0..3).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 300));
        cluster.run_until(20_000, "an activation is sent", |cluster| cluster.held_call_count() > 0);
        let leader = cluster.leader().unwrap();
        let other = (leader + 1) % 3;
        match case {
            0 => {
                cluster.replace_build(other, &FORMAT_2_BUILD, 100);
                cluster.legacy_controllers.insert(other);
                cluster.run_for_ms(1_200);
            }
            1 => {
                cluster.crash_for_ms(leader, 12_000);
                cluster.run_until_leader_changes(12_000, leader);
                cluster.run_for_ms(200);
            }
            _ => cluster.run_until(20_000, "the activation is sent again", |cluster| {
                cluster.held_call_count() > 1
            }),
        }
        cluster.state.hold_activations = false;
        cluster.heal_links();
        cluster.run_for_ms(1_000);
        cluster.check_invariants();
        if case == 0 {
            assert_eq!(cluster.activated_format().version, 1);
            cluster.replace_build(other, &NEXT_BUILD, 100);
        }
        cluster.run_until(40_000, "all features are activated", all_features_active);
        assert_activated_in_order(&cluster);
        cluster.run_for_ms(12_000);
        assert_upgraded_and_serving(&mut cluster);
    }
}

/// A controller announces its formats under the key on its lease. The first write of that key is
/// refused, and it is written again.
#[test]
fn member_key_is_rewritten_when_its_first_write_is_refused() {
    let mut cluster = settled_cluster(3, true, 392);
    cluster.state.refused_key_part = Some("members/n1".into());
    // They are down for longer than their leases.
    (0..3).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 4_000));
    cluster.run_for_ms(12_000);
    assert_eq!(cluster.activated_format().version, 1);
    cluster.state.refused_key_part = None;
    cluster.run_until(20_000, "all features are activated", all_features_active);
    assert_upgraded_and_serving(&mut cluster);
}

/// A build that lacks an activated feature neither leads nor is ready, also when all others are
/// down, and announces what it supports, so that no further step is activated.
#[test]
fn outdated_controller_neither_leads_nor_serves() {
    let mut cluster = settled_cluster(3, false, 400);
    (0..3).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 300));
    cluster.run_until(40_000, "all features are activated", all_features_active);
    cluster.replace_build(1, &FORMAT_2_BUILD, 300);
    cluster.run_for_ms(3_000);
    (0..3).filter(|n| *n != 1).for_each(|n| cluster.crash(n));
    let ready = cluster.send_request(1, "GET", "/ready", Vec::new());
    let request = cluster.submit(1, &job("wk-000003", JobKind::Array, 1));
    cluster.run_for_ms(15_000);
    assert_eq!((cluster.status_code(ready), cluster.status_code(request)), (503, 503));
    assert_ne!(cluster.leader(), Some(1));
    assert_eq!(cluster.metrics_of(1)["format_foreign"], 1.0);
    (0..3).filter(|n| *n != 1).for_each(|n| cluster.start_controller(n));
    cluster.run_for_ms(6_000);
    assert_eq!(cluster.activated_format().features.len(), 2, "activated features stay activated");
    cluster.replace_build(1, &NEXT_BUILD, 300);
    cluster.run_for_ms(4_000);
    assert_upgraded_and_serving(&mut cluster);
}

/// An operator withholds a format or feature on one controller by its name: that step and those
/// that need it wait, all others are activated; once it is released, the rest follows.
#[test]
fn withheld_step_is_activated_only_when_released() {
    for (at, name) in ALL_STEPS.into_iter().enumerate() {
        let mut cluster = settled_cluster(3, true, 410 + at as u64);
        let holder = at % 3;
        cluster.withheld_features.insert(holder, vec![name.to_string()]);
        (0..3).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 300));
        cluster.run_for_ms(20_000);
        assert_eq!(activations(&cluster).len(), at, "up to {name}");
        let leader = cluster.leader().unwrap();
        assert!(cluster.metrics_of(leader).contains_key(&format!("step_held_s.{name}.n{holder}")));
        cluster.withheld_features.clear();
        cluster.crash_for_ms(holder, 300);
        cluster.run_until(40_000, "all features are activated", all_features_active);
        assert_upgraded_and_serving(&mut cluster);
    }
}

/// A controller that the settings name and that never starts blocks every step; so does one that
/// is alive and not named by the leader's settings any more, or not yet. Seven controllers, and a
/// list that changes on the way.
#[test]
fn activation_waits_for_every_configured_and_every_live_controller() {
    let mut cluster = settled_cluster(7, true, 430);
    cluster.crash(6);
    (0..6).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 300 + n as u64 * 100));
    cluster.run_for_ms(12_000);
    assert_eq!(cluster.activated_format().version, 1);
    let leader = cluster.leader().unwrap();
    assert!(cluster.metrics_of(leader).contains_key("step_held_s.format-2.n6"));
    // The sixth is rolled back, and the settings of the others come to name five.
    cluster.replace_build(5, &FORMAT_2_BUILD, 300);
    cluster.legacy_controllers.insert(5);
    for n in 0..5 {
        cluster.configured_count.insert(n, 5);
        cluster.crash_for_ms(n, 400);
        cluster.run_for_ms(1_500);
    }
    cluster.run_for_ms(12_000);
    assert_eq!(cluster.activated_format().version, 1, "the sixth controller is alive");
    cluster.crash(5);
    cluster.run_until(60_000, "all features are activated", all_features_active);
    assert_upgraded_and_serving(&mut cluster);
}

/// An unreadable announcement counts as none, and an unreadable record of what is activated is not
/// guessed at.
#[test]
fn activation_waits_when_an_announcement_is_damaged() {
    let mut cluster = settled_cluster(3, true, 440);
    (0..2).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 300));
    cluster.run_for_ms(6_000);
    let revision = cluster.state.revision;
    cluster.state.insert_value_at("format/node/n2", encode(&"?"), revision);
    cluster.run_for_ms(6_000);
    assert_eq!(cluster.activated_format().version, 1);
    cluster.replace_build(2, &NEXT_BUILD, 300);
    cluster.run_until(40_000, "all features are activated", all_features_active);
    cluster.state.insert_value_at(FORMAT_KEY, encode(&"?"), revision);
    cluster.crash_for_ms(1, 300);
    cluster.run_for_ms(4_000);
    assert_eq!(cluster.metrics_of(1)["format_foreign"], 1.0);
    cluster.check_invariants();
}

/// A random rollout: which controller is replaced when, by what, and what fails meanwhile.
fn random_rollout(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let nodes = [3, 3, 3, 5][rng.random_range(0..4)];
    let mut cluster = settled_cluster(nodes, rng.random_bool(0.5), seed);
    let begin = cluster.activated_format();
    let mut left: BTreeSet<usize> = (0..nodes).collect();
    let mut jobs = 10;
    for _ in 0..rng.random_range(8..24) {
        let n = rng.random_range(0..nodes);
        match rng.random_range(0..12) {
            0..4 => {
                cluster.replace_build(n, &NEXT_BUILD, rng.random_range(50..2_000));
                left.remove(&n);
            }
            // Rolled back, as long as nothing new is activated.
            4 if cluster.activated_format() == begin => {
                cluster.replace_build(n, &FORMAT_2_BUILD, rng.random_range(50..2_000));
                if begin.version == 1 {
                    cluster.legacy_controllers.insert(n);
                }
                left.insert(n);
            }
            5 => cluster.crash_for_ms(n, rng.random_range(50..4_000)),
            6 => {
                let how = [LinkFault::Drop, LinkFault::Hold][rng.random_range(0..2)];
                cluster.cut_from_state_service(n, how);
            }
            7 => cluster.cut_controllers(n, rng.random_range(0..nodes), LinkFault::Drop),
            8 => cluster.heal_links(),
            9 => cluster.state.unanswered_writes = rng.random_range(1..4),
            10 if cluster.is_up(n) => cluster.stall(n, rng.random_range(300..5_000)),
            _ => {
                let id = format!("wk-{jobs:06}");
                jobs += 1;
                cluster.submit(n, &job(&id, JobKind::Array, 2));
                if rng.random_bool(0.3) {
                    cluster.abort(rng.random_range(0..nodes), &id);
                }
            }
        }
        cluster.run_for_ms(rng.random_range(50..3_000));
        cluster.check_invariants();
    }
    cluster.heal_links();
    cluster.state.unanswered_writes = 0;
    for n in left {
        cluster.replace_build(n, &NEXT_BUILD, 300);
        cluster.run_for_ms(rng.random_range(0..1_500));
    }
    cluster.run_until(90_000, "all features are activated", all_features_active);
    cluster.run_for_ms(CANCEL_MS);
    assert_upgraded_and_serving(&mut cluster);
}

/// Random rollouts violate no invariant and end with everything activated. More seeds: `ROLLS=2000
/// cargo test -p quartzgate-core --test simulation rollouts_complete_under_random_faults`.
#[test]
fn rollouts_complete_under_random_faults() {
    let many = std::env::var("ROLLS").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    (0..many).for_each(|n| random_rollout(50_000 + n));
}

/// The feature tables of these tests are valid and extend the real one.
#[test]
fn test_feature_tables_extend_the_real_one() {
    assert_eq!(
        (NEXT_BUILD.validate(), FORMAT_2_BUILD.validate(), GATES.validate()),
        (Ok(()), Ok(()), Ok(()))
    );
    assert_eq!(NEXT_BUILD.step_names(), ALL_STEPS);
    let known = GATES.features.iter().all(|f| NEXT_BUILD.features.iter().any(|g| g.name == f.name));
    assert!(known && NEXT_BUILD.newest_format() == GATES.newest_format());
}
