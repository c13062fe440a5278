//! Rolling upgrades: several builds run at the same time, controllers are replaced in every order,
//! and faults are injected at each step. The features of future builds are defined by feature
//! tables in this file. At each activation the cluster checks that it is a single step, that it
//! deactivates nothing, and that every live controller supports it (`check_activation`).

use crate::cluster::{job, Cluster, LinkFault, ABORT_DEADLINE_MS};
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

/// A build that supports formats up to 4 and two features that are activated as steps of
/// their own.
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

/// A build that supports format 2 and only the features that are activated with it.
pub static FORMAT_2_BUILD: GateTable = GateTable {
    formats: &[version(2, "format-2")],
    features: &[
        feature("chains", Activation::WithFormat(2), &[]),
        feature("pieces", Activation::WithFormat(2), &[]),
        feature("service-mark", Activation::WithFormat(2), &["chains"]),
        feature("low-limits", Activation::WithFormat(2), &["pieces"]),
    ],
};

/// The activation steps from format 1 to everything that `NEXT_BUILD` supports, in order.
const ALL_STEPS: [&str; 5] = ["format-2", "format-3", "format-4", "even-shares", "owners"];

/// Returns a cluster before the upgrade to `NEXT_BUILD`, with an array job and a service. Its
/// controllers are of the first version or, if `first_version` is false, of `FORMAT_2_BUILD`.
fn cluster_before_upgrade(nodes: usize, first_version: bool, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(nodes, 8, 0.0, seed);
    for n in 0..nodes {
        cluster.crash(n);
        cluster.feature_tables.insert(n, &FORMAT_2_BUILD);
        if first_version {
            cluster.first_version_controllers.insert(n);
        }
        cluster.start_controller(n);
    }
    if !first_version {
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

/// Returns the activation records in the order in which they were written.
fn activations(cluster: &Cluster) -> Vec<ActivationRecord> {
    let writes = cluster.state.write_log.iter().filter(|written| written.key == FORMAT_KEY);
    writes.map(|written| written.value.deserialized().unwrap()).collect()
}

/// Asserts that all steps were activated one after the other, none of them skipped or repeated.
fn assert_activated_in_order(cluster: &Cluster) {
    let records = activations(cluster);
    let steps: Vec<(u32, usize)> = records.iter().map(|r| (r.version, r.features.len())).collect();
    assert_eq!(steps, [(2, 0), (3, 0), (4, 0), (4, 1), (4, 2)]);
    assert!(
        records[3].features.contains("even-shares"),
        "a feature was activated before the one that it requires"
    );
}

/// Asserts that existing jobs continue, that a new job completes, and that every controller reports
/// format 4 and no blocked step.
fn assert_upgraded_and_serving(cluster: &mut Cluster) {
    cluster.submit_until_accepted(&job("wk-000009", JobKind::Array, 3));
    cluster.run_until_done("wk-000001", 120_000);
    cluster.run_until_done("wk-000009", 60_000);
    cluster.run_for_ms(3_000);
    assert_eq!(cluster.live_tasks("wk-000002").len(), 3);
    for n in (0..cluster.controller_count()).filter(|n| cluster.is_up(*n)).collect::<Vec<_>>() {
        let metrics = cluster.metrics_of(n);
        assert_eq!((metrics["format"], metrics["format_foreign"]), (4.0, 0.0), "n{n}");
        assert!(!metrics.keys().any(|k| k.starts_with("step_held")), "n{n}");
    }
    cluster.assert_no_violations();
}

/// Upgrades from format 1 or 2, with the controllers replaced in every order. Nothing may be
/// activated before the last one runs the new build; then every step is activated in turn.
#[test]
fn features_activate_in_order_for_every_upgrade_order() {
    let orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    for (case, order) in orders.into_iter().enumerate() {
        for first_version in [true, false] {
            let mut cluster = cluster_before_upgrade(3, first_version, 300 + case as u64);
            let initial_format = cluster.activated_format();
            for n in order {
                assert_eq!(
                    cluster.activated_format(),
                    initial_format,
                    "a step was activated before the last controller ran the new build"
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

/// One controller or all of them crash at varying times after the last one was replaced. All steps
/// must still be activated, in order.
#[test]
fn features_activate_in_order_when_controllers_crash() {
    for case in 0..24u64 {
        let mut cluster = cluster_before_upgrade(3, case % 2 == 0, 320 + case);
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

/// Guards against relying on an outdated announcement: a controller has announced the new build's
/// formats, but is rolled back to an older build before the last of the others is upgraded. Nothing
/// may be activated until it is upgraded again, and the metrics show which controller blocks which
/// step, and for how long.
#[test]
fn activation_waits_when_a_controller_is_rolled_back() {
    for (case, first_version) in [(0u64, true), (1, false), (2, true), (3, false)] {
        let mut cluster = cluster_before_upgrade(3, first_version, 350 + case);
        let (rolled_back, last) = ([0, 1, 2, 0][case as usize], [1, 2, 0, 2][case as usize]);
        (0..3).filter(|n| *n != last).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 300));
        cluster.run_for_ms(6_000);
        // The controller is rolled back while its announcement of the newer build still exists.
        cluster.replace_build(rolled_back, &FORMAT_2_BUILD, 300);
        if first_version {
            cluster.first_version_controllers.insert(rolled_back);
        }
        cluster.run_for_ms(300 + case * 400);
        cluster.replace_build(last, &NEXT_BUILD, 200);
        cluster.run_for_ms(15_000);
        assert_eq!(cluster.activated_format().version, if first_version { 1 } else { 2 });
        let step = if first_version { "format-2" } else { "format-3" };
        let leader = cluster.leader().unwrap();
        if leader != rolled_back {
            let blocked_s =
                cluster.metrics_of(leader)[&format!("step_held_s.{step}.n{rolled_back}")];
            assert!(blocked_s > 5.0, "blocked for only {blocked_s} s");
            let supported_format =
                cluster.metrics_of(leader)[&format!("format_node.n{rolled_back}")];
            assert!(
                first_version || supported_format == 2.0,
                "reported as supporting format {supported_format}"
            );
        }
        cluster.assert_no_violations();
        cluster.replace_build(rolled_back, &NEXT_BUILD, 300);
        cluster.run_until(40_000, "all features are activated", all_features_active);
        assert_upgraded_and_serving(&mut cluster);
    }
}

/// A controller announces the formats that it supports, and is down when the others are upgraded.
/// Nothing may be activated, because it is unknown which build it will run when it comes back; here
/// it is an older one.
#[test]
fn activation_waits_when_a_controller_is_down() {
    let mut cluster = cluster_before_upgrade(3, true, 360);
    cluster.replace_build(0, &NEXT_BUILD, 300);
    cluster.run_for_ms(4_000);
    cluster.crash(0);
    (1..3).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 300));
    cluster.run_for_ms(15_000);
    assert_eq!(cluster.activated_format().version, 1);
    let leader = cluster.leader().unwrap();
    assert!(cluster.metrics_of(leader).contains_key("step_held_s.format-2.n0"));
    cluster.feature_tables.insert(0, &FORMAT_2_BUILD);
    cluster.first_version_controllers.insert(0);
    cluster.start_controller(0);
    cluster.run_for_ms(10_000);
    assert_eq!(cluster.activated_format().version, 1);
    cluster.replace_build(0, &NEXT_BUILD, 300);
    cluster.run_until(40_000, "all features are activated", all_features_active);
    assert_upgraded_and_serving(&mut cluster);
}

/// Guards against repeated or skipped activation steps: around the activation the leader is
/// partitioned from the state service so that its writes arrive late and another controller leads,
/// writes get no answer, or the state service is down. Each step must be activated once.
#[test]
fn steps_activate_once_when_the_write_is_late_or_lost() {
    for case in 0..18u64 {
        let mut cluster = cluster_before_upgrade(3, case % 2 == 0, 370 + case);
        (0..3).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 300));
        cluster.run_until(20_000, "a controller leads", |cluster| cluster.leader().is_some());
        cluster.run_for_ms(200 + case * 110);
        let leader = cluster.leader().unwrap_or(0);
        match case % 3 {
            0 => {
                cluster.cut_controller_from_state_service(leader, LinkFault::Hold);
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

/// Guards against activating a step by an outdated write: an activation is applied long after it
/// was sent, when a controller has been rolled back, another controller leads, or the same step has
/// been sent again.
#[test]
fn delayed_activation_write_has_no_effect_when_outdated() {
    for case in 0..3u64 {
        let mut cluster = cluster_before_upgrade(3, true, 395 + case);
        cluster.state.hold_activations = true;
        (0..3).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 300));
        cluster.run_until(20_000, "an activation is sent", |cluster| cluster.held_call_count() > 0);
        let leader = cluster.leader().unwrap();
        let follower = (leader + 1) % 3;
        match case {
            0 => {
                cluster.replace_build(follower, &FORMAT_2_BUILD, 100);
                cluster.first_version_controllers.insert(follower);
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
        cluster.assert_no_violations();
        if case == 0 {
            assert_eq!(cluster.activated_format().version, 1);
            cluster.replace_build(follower, &NEXT_BUILD, 100);
        }
        cluster.run_until(40_000, "all features are activated", all_features_active);
        assert_activated_in_order(&cluster);
        cluster.run_for_ms(12_000);
        assert_upgraded_and_serving(&mut cluster);
    }
}

/// A controller announces its formats under a key that is bound to its lease. The first write of
/// that key is refused. The controller must write it again, so that the activation proceeds.
#[test]
fn member_key_is_rewritten_when_its_first_write_is_refused() {
    let mut cluster = cluster_before_upgrade(3, true, 392);
    cluster.state.refused_key_substring = Some("members/n1".into());
    // The controllers are down for longer than their leases, so that their keys have expired.
    (0..3).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 4_000));
    cluster.run_for_ms(12_000);
    assert_eq!(cluster.activated_format().version, 1);
    cluster.state.refused_key_substring = None;
    cluster.run_until(20_000, "all features are activated", all_features_active);
    assert_upgraded_and_serving(&mut cluster);
}

/// A controller whose build lacks an activated feature neither becomes leader nor reports itself
/// ready, even if all others are down. Its announcement of the features that it supports blocks
/// further activations.
#[test]
fn outdated_controller_neither_leads_nor_serves() {
    let mut cluster = cluster_before_upgrade(3, false, 400);
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
    assert_eq!(cluster.activated_format().features.len(), 2, "activated features were deactivated");
    cluster.replace_build(1, &NEXT_BUILD, 300);
    cluster.run_for_ms(4_000);
    assert_upgraded_and_serving(&mut cluster);
}

/// An operator withholds a format or feature on one controller by its name. That step and those
/// that require it wait, while all others are activated. Once it is no longer withheld, the
/// remaining steps follow.
#[test]
fn withheld_step_is_activated_only_when_released() {
    for (step_index, name) in ALL_STEPS.into_iter().enumerate() {
        let mut cluster = cluster_before_upgrade(3, true, 410 + step_index as u64);
        let withholding_node = step_index % 3;
        cluster.withheld_features.insert(withholding_node, vec![name.to_string()]);
        (0..3).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 300));
        cluster.run_for_ms(20_000);
        assert_eq!(
            activations(&cluster).len(),
            step_index,
            "only the steps before {name} are to be activated"
        );
        let leader = cluster.leader().unwrap();
        assert!(cluster
            .metrics_of(leader)
            .contains_key(&format!("step_held_s.{name}.n{withholding_node}")));
        cluster.withheld_features.clear();
        cluster.crash_for_ms(withholding_node, 300);
        cluster.run_until(40_000, "all features are activated", all_features_active);
        assert_upgraded_and_serving(&mut cluster);
    }
}

/// Of seven configured controllers one never starts: it blocks every step. A live controller that
/// the leader's settings do not name, or no longer name, blocks every step too.
#[test]
fn activation_waits_for_all_configured_and_live_controllers() {
    let mut cluster = cluster_before_upgrade(7, true, 430);
    cluster.crash(6);
    (0..6).for_each(|n| cluster.replace_build(n, &NEXT_BUILD, 300 + n as u64 * 100));
    cluster.run_for_ms(12_000);
    assert_eq!(cluster.activated_format().version, 1);
    let leader = cluster.leader().unwrap();
    assert!(cluster.metrics_of(leader).contains_key("step_held_s.format-2.n6"));
    // Controller n5 is rolled back, and the others' settings are reduced to five controllers.
    cluster.replace_build(5, &FORMAT_2_BUILD, 300);
    cluster.first_version_controllers.insert(5);
    for n in 0..5 {
        cluster.configured_controller_count.insert(n, 5);
        cluster.crash_for_ms(n, 400);
        cluster.run_for_ms(1_500);
    }
    cluster.run_for_ms(12_000);
    assert_eq!(
        cluster.activated_format().version,
        1,
        "a step was activated although the live controller n5 does not support it"
    );
    cluster.crash(5);
    cluster.run_until(60_000, "all features are activated", all_features_active);
    assert_upgraded_and_serving(&mut cluster);
}

/// An unreadable announcement counts as a missing one and blocks the activation. If the activation
/// record is unreadable, a controller reports an unsupported format instead of assuming one.
#[test]
fn activation_waits_when_an_announcement_is_damaged() {
    let mut cluster = cluster_before_upgrade(3, true, 440);
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
    cluster.assert_no_violations();
}

/// Simulates a rollout that replaces random controllers by either build at random times while
/// random faults are injected, and then completes the upgrade.
fn random_rollout(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let nodes = [3, 3, 3, 5][rng.random_range(0..4)];
    let mut cluster = cluster_before_upgrade(nodes, rng.random_bool(0.5), seed);
    let initial_format = cluster.activated_format();
    let mut not_upgraded: BTreeSet<usize> = (0..nodes).collect();
    let mut next_job = 10;
    for _ in 0..rng.random_range(8..24) {
        let n = rng.random_range(0..nodes);
        match rng.random_range(0..12) {
            0..4 => {
                cluster.replace_build(n, &NEXT_BUILD, rng.random_range(50..2_000));
                not_upgraded.remove(&n);
            }
            // A controller can be rolled back only while no further step is activated.
            4 if cluster.activated_format() == initial_format => {
                cluster.replace_build(n, &FORMAT_2_BUILD, rng.random_range(50..2_000));
                if initial_format.version == 1 {
                    cluster.first_version_controllers.insert(n);
                }
                not_upgraded.insert(n);
            }
            5 => cluster.crash_for_ms(n, rng.random_range(50..4_000)),
            6 => {
                let link_fault = [LinkFault::Drop, LinkFault::Hold][rng.random_range(0..2)];
                cluster.cut_controller_from_state_service(n, link_fault);
            }
            7 => cluster.cut_controllers(n, rng.random_range(0..nodes), LinkFault::Drop),
            8 => cluster.heal_links(),
            9 => cluster.state.unanswered_writes = rng.random_range(1..4),
            10 if cluster.is_up(n) => cluster.stall(n, rng.random_range(300..5_000)),
            _ => {
                let id = format!("wk-{next_job:06}");
                next_job += 1;
                cluster.submit(n, &job(&id, JobKind::Array, 2));
                if rng.random_bool(0.3) {
                    cluster.abort(rng.random_range(0..nodes), &id);
                }
            }
        }
        cluster.run_for_ms(rng.random_range(50..3_000));
        cluster.assert_no_violations();
    }
    cluster.heal_links();
    cluster.state.unanswered_writes = 0;
    for n in not_upgraded {
        cluster.replace_build(n, &NEXT_BUILD, 300);
        cluster.run_for_ms(rng.random_range(0..1_500));
    }
    cluster.run_until(90_000, "all features are activated", all_features_active);
    cluster.run_for_ms(ABORT_DEADLINE_MS);
    assert_upgraded_and_serving(&mut cluster);
}

/// Random rollouts violate no invariant and end with all steps activated. To run more seeds:
/// `ROLLS=2000 cargo test -p quartzgate-core --test simulation
/// rollouts_complete_under_random_faults`.
#[test]
fn rollouts_complete_under_random_faults() {
    let seed_count = std::env::var("ROLLS").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    (0..seed_count).for_each(|n| random_rollout(50_000 + n));
}

/// The feature tables of these tests are valid and contain all features of the real table.
#[test]
fn test_feature_tables_extend_the_real_one() {
    assert_eq!(
        (NEXT_BUILD.validate(), FORMAT_2_BUILD.validate(), GATES.validate()),
        (Ok(()), Ok(()), Ok(()))
    );
    assert_eq!(NEXT_BUILD.step_names(), ALL_STEPS);
    let all_known =
        GATES.features.iter().all(|f| NEXT_BUILD.features.iter().any(|g| g.name == f.name));
    assert!(all_known && NEXT_BUILD.newest_format() == GATES.newest_format());
}
