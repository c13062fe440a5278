//! Process stalls: controllers that make no progress while their clocks continue.

use crate::cluster::{job, Cluster, ABORT_DEADLINE_MS};
use quartzgate_wire::msg::JobKind;

/// Returns a cluster with a short array, a long array and a service with `spread`.
fn busy_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(3, 6, 0.0, seed);
    cluster.run_for_ms(500);
    cluster.task_duration_ms.insert("wk-000001".into(), 7_000);
    cluster.task_duration_ms.insert("wk-000003".into(), 600_000);
    let mut service = job("wk-000002", JobKind::Service, 4);
    service.spread = true;
    cluster.submit_until_accepted(&service);
    cluster.submit_until_accepted(&job("wk-000003", JobKind::Array, 2));
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 14));
    cluster
}

/// A controller stalls while its clocks continue, for less and for more than its own lease and the
/// workers' leases, between rounds and within one, as leader and as follower. Aborts and
/// submissions during the stall must take effect, and no task may run twice.
#[test]
fn no_task_is_duplicated_when_a_controller_stalls() {
    for (seed, stall_ms) in [1_500, 2_500, 5_000, 9_000, 16_000, 25_000].into_iter().enumerate() {
        for case in 0..8u64 {
            let mut cluster = busy_cluster(1500 + 10 * seed as u64 + case);
            cluster.run_for_ms(400 * case);
            let leader = cluster.leader().unwrap();
            let node = if case % 2 == 0 { leader } else { (leader + 1) % 3 };
            match case / 2 % 2 {
                0 => cluster.stall(node, stall_ms),
                _ => cluster.stall_in_round(node, stall_ms),
            }
            // In some cases the controller stalls again soon after it resumes.
            if case >= 4 {
                cluster.run_for_ms(stall_ms + 30);
                cluster.stall_in_round(node, stall_ms);
            }
            let request = cluster.abort((node + 1) % 3, "wk-000003");
            cluster.run_for_ms(300);
            let spec = job("wk-000004", JobKind::Array, 3);
            cluster.submit((node + 2) % 3, &spec);
            cluster.run_for_ms(stall_ms);
            if cluster.status_code(request) != 200 {
                cluster.abort_until_confirmed("wk-000003");
            }
            cluster.submit_until_accepted(&spec);
            cluster.run_until_done("wk-000001", 60_000);
            cluster.run_until_done("wk-000004", 60_000);
            cluster.run_for_ms(ABORT_DEADLINE_MS);
            assert_eq!(
                (cluster.live_tasks("wk-000002").len(), cluster.live_tasks("wk-000003").len()),
                (4, 0)
            );
            cluster.assert_no_violations();
        }
    }
}

/// Guards against a leader that acts on outdated knowledge after a stall. It must send no order to
/// a worker and answer no heartbeat before it has reread the epoch record, and must not take its
/// own silence for that of other processes.
#[test]
fn stalled_leader_sends_no_orders_before_it_rereads_the_epoch() {
    let mut cluster = busy_cluster(1600);
    cluster.run_for_ms(2_000);
    let leader = cluster.leader().unwrap();
    let actions = cluster.actions_on_heartbeat_after_stall(leader, 5_000, "vm-000001");
    assert!(actions.iter().any(|action| action.starts_with("/keys?starts=view")), "{actions:?}");
    let forbidden = |action: &String| {
        action == "answer 200" || action == "/orders" || action == "/machines/return"
    };
    assert!(!actions.iter().any(forbidden), "{actions:?}");
    // The other controllers stall for longer than their leases: the leader still leads, and work
    // continues.
    let mut cluster = busy_cluster(1610);
    let leader = cluster.leader().unwrap();
    cluster.run_until(5_000, "all tasks run", |cluster| cluster.live_tasks("wk-000001").len() >= 6);
    let machine_count = cluster.workers.len();
    (0..3).for_each(|n| cluster.stall(n, if n == leader { 3_000 } else { 9_000 }));
    cluster.run_until_done("wk-000001", 60_000);
    assert_eq!(
        cluster.workers.len(),
        machine_count,
        "no machine is returned because of the leader's silence"
    );
    // Time during which machines were idle because the leader stalled does not count either.
    cluster.run_for_ms(21_000);
    (0..3).for_each(|n| cluster.stall(n, if n == leader { 5_000 } else { 9_000 }));
    cluster.run_for_ms(5_500);
    assert_eq!(
        cluster.workers.len(),
        machine_count,
        "no machine is returned as idle because the leader stalled"
    );
    cluster.assert_no_violations();
}
