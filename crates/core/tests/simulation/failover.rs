//! Failover: what an old leader, its delayed writes and its delayed orders may still do, and what
//! the next leader recovers.

use crate::cluster::{job, Cluster, LinkFault};
use quartzgate_wire::msg::{HeartbeatTask, JobKind, TaskStatus};

/// The state service refuses only the leader: the leader's lease expires, another controller
/// becomes leader, and tasks that the old leader kept running are not started again.
#[test]
fn leader_is_replaced_when_the_state_service_refuses_it() {
    for seed in 0..6 {
        let mut cluster = Cluster::new(3, 4, 0.0, 100 + seed);
        cluster.run_for_ms(500);
        cluster.task_duration_ms.insert("wk-000001".into(), 9_000);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 12));
        let old_leader = cluster.leader().unwrap();
        cluster.state.refused_nodes.insert(old_leader);
        cluster.run_until_leader_changes(20_000, old_leader);
        cluster.run_for_ms(5_000);
        cluster.state.refused_nodes.clear();
        cluster.run_until_done("wk-000001", 120_000);
        cluster.assert_no_violations();
    }
}

/// Every write is conditional on the epoch record, so that writes of an old leader that the network
/// held back meet a later epoch and fail.
#[test]
fn delayed_writes_of_a_deposed_leader_fail() {
    for step in 0..10 {
        let mut cluster = Cluster::new(3, 4, 0.0, 250 + step);
        cluster.run_for_ms(500);
        cluster.task_duration_ms.insert("wk-000001".into(), 900);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 40));
        cluster.run_for_ms(step * 130);
        let old_leader = cluster.leader().unwrap();
        cluster.cut_controller_from_state_service(old_leader, LinkFault::Hold);
        cluster.run_until_leader_changes(20_000, old_leader);
        cluster.run_for_ms(step * 3);
        cluster.heal_links();
        cluster.run_until_done("wk-000001", 120_000);
        cluster.assert_no_violations();
    }
}

/// Orders that the network holds back and delivers after a failover meet a higher fencing token and
/// have no effect.
#[test]
fn delayed_orders_are_fenced_after_failover() {
    for seed in 0..8 {
        let mut cluster = Cluster::new(3, 4, 0.0, 300 + seed);
        cluster.run_for_ms(500);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 1));
        cluster.run_until_done("wk-000001", 20_000);
        let old_leader = cluster.leader().unwrap();
        // The start orders are sent, but the network holds them back.
        for machine in 0..4 {
            cluster.cut_controller_from_worker(
                old_leader,
                format!("vm-{machine:06}"),
                LinkFault::Hold,
            );
        }
        cluster.task_duration_ms.insert("wk-000002".into(), 15_000);
        let spec = job("wk-000002", JobKind::Array, 8);
        cluster.submit(old_leader, &spec);
        cluster.run_for_ms(600);
        cluster.crash(old_leader);
        cluster.run_until_leader_changes(20_000, old_leader);
        cluster.run_until_running(40_000, "wk-000002", 8);
        cluster.heal_links();
        cluster.run_for_ms(3_000);
        cluster.start_controller(old_leader);
        cluster.run_until_done("wk-000002", 60_000);
        cluster.assert_no_violations();
    }
}

/// The fencing token rises with every order whose outcome is unknown, so that a start that the
/// network held back does not run once the same leader has started its task elsewhere.
#[test]
fn delayed_orders_are_fenced_without_failover() {
    for seed in 0..8 {
        let mut cluster = Cluster::new(1, 4, 0.0, 400 + seed);
        cluster.run_for_ms(2_000);
        // The network holds orders to two machines; heartbeats still pass, so that the leases are
        // renewed.
        cluster.task_duration_ms.insert("wk-000001".into(), 4_000);
        let held = ["vm-000000", "vm-000002"];
        held.iter()
            .for_each(|m| cluster.cut_controller_from_worker(0, m.to_string(), LinkFault::Hold));
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 8));
        cluster.run_for_ms(3_000);
        cluster.heal_links();
        cluster.run_for_ms(500);
        cluster.run_until_done("wk-000001", 90_000);
        cluster.assert_no_violations();
    }
}

/// Placements are recorded before tasks start: when all controllers crash at any point between
/// acceptance, record, start and completion, no task runs twice or is lost.
#[test]
fn no_task_is_lost_or_duplicated_when_all_controllers_crash() {
    for step in 0..24 {
        let mut cluster = Cluster::new(3, 4, 32.0, 500 + step);
        cluster.run_for_ms(500);
        cluster.task_duration_ms.insert("wk-000001".into(), 1_500);
        let spec = job("wk-000001", JobKind::Array, 10);
        cluster.submit(0, &spec);
        cluster.run_for_ms(1 + step * step * 7);
        cluster.crash_all_for_ms(3_000);
        cluster.run_for_ms(3_500);
        cluster.submit_until_accepted(&spec);
        cluster.run_until_done("wk-000001", 90_000);
        cluster.run_for_ms(3_000);
        cluster.assert_no_violations();
    }
}

/// Guards against a chunk that is counted twice. A chunk is compacted while its last completions
/// are not recorded yet. If the compacting write recreated the chunk's placement record, the next
/// leader would count the chunk twice and report the job as done with tasks still to run.
#[test]
fn compacted_chunk_is_counted_once_after_failover() {
    for step in 0..6 {
        let mut cluster = Cluster::new(3, 50, 0.0, 560 + step);
        cluster.run_for_ms(1_500);
        cluster.task_duration_ms.insert("wk-000001".into(), 3_000);
        for index in 64..96 {
            cluster.task_duration_ms.insert(format!("wk-000001/{index}"), 20_000);
        }
        let spec = job("wk-000001", JobKind::Array, 96);
        cluster.submit_until_accepted(&spec);
        // The first chunk completes and is compacted; the second is still running.
        cluster.run_for_ms(5_000 + step * 500);
        cluster.crash_all_for_ms(1_000);
        cluster.run_for_ms(3_000);
        cluster.submit_until_accepted(&spec);
        cluster.run_until_done("wk-000001", 90_000);
        cluster.assert_no_violations();
    }
}

/// The answer to a placement write is lost and the leader places other tasks, so that the next
/// leader finds more reservations on record than the team's quota allows. The next leader must stay
/// within the quota.
#[test]
fn quota_holds_when_unconfirmed_placements_exceed_the_limit() {
    for seed in 0..6 {
        let mut cluster = Cluster::new(3, 4, 16.0, 860 + seed);
        cluster.run_for_ms(2_000);
        let leader = cluster.leader().unwrap();
        cluster.state.unanswered_writes = 1;
        for id in ["wk-000001", "wk-000002"] {
            cluster.task_duration_ms.insert(id.into(), 6_000);
        }
        let unconfirmed = job("wk-000001", JobKind::Array, 4);
        cluster.submit(leader, &unconfirmed);
        cluster.run_for_ms(1_200);
        cluster.submit_until_accepted(&job("wk-000002", JobKind::Array, 4));
        cluster.run_until_running(8_000, "wk-000002", 4);
        cluster.crash_all_for_ms(1_000);
        cluster.run_for_ms(2_000);
        cluster.submit_until_accepted(&unconfirmed);
        cluster.run_until_done("wk-000001", 60_000);
        cluster.run_until_done("wk-000002", 60_000);
        cluster.assert_no_violations();
    }
}

/// Tasks on machines that the new leader cannot reach count against the team's quota until they are
/// proven gone.
#[test]
fn quota_holds_when_failover_leaves_machines_unreachable() {
    for seed in 0..6 {
        // 16 CPUs: four tasks at a time, while the machines have capacity for ten.
        let mut cluster = Cluster::new(3, 5, 16.0, 800 + seed);
        cluster.run_for_ms(500);
        cluster.task_duration_ms.insert("wk-000001".into(), 40_000);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 12));
        cluster.run_until_running(5_000, "wk-000001", 4);
        let old_leader = cluster.leader().unwrap();
        let machine = cluster.live_tasks("wk-000001")[0].machine.clone();
        for n in (0..3).filter(|n| *n != old_leader) {
            cluster.cut_controller_from_worker(n, machine.clone(), LinkFault::Drop);
            cluster.cut_controllers(n, old_leader, LinkFault::Drop);
        }
        cluster.state.refused_nodes.insert(old_leader);
        cluster.run_for_ms(45_000);
        cluster.heal_links();
        cluster.state.refused_nodes.clear();
        cluster.run_until_done("wk-000001", 300_000);
        cluster.assert_no_violations();
    }
}

/// A deposed leader that learns of its successor's fencing token must never send orders with it.
/// Regression test: a leader took the token from the answer to an inspection and, back from a
/// partition, restarted aborted tasks.
#[test]
fn deposed_leader_never_adopts_a_newer_fencing_token() {
    let mut cluster = Cluster::new(3, 1, 0.0, 640);
    cluster.run_for_ms(2_000);
    let old_leader = cluster.leader().unwrap();
    let mut heartbeat = cluster.heartbeat_of("vm-000000").unwrap();
    cluster.cut_controller_from_worker(old_leader, "vm-000000".into(), LinkFault::Drop);
    cluster.run_for_ms(1_500);
    // The machine has seen a later epoch and holds a task that the old leader would stop.
    let later_epoch = (heartbeat.fencing_token >> 24) + 1;
    (heartbeat.fencing_token, heartbeat.seq) = (later_epoch << 24, heartbeat.seq + 100);
    heartbeat.tasks = vec![HeartbeatTask {
        task: "wk-000009/0".into(),
        attempt: later_epoch << 24,
        status: TaskStatus::Running,
        cause: None,
        checkpointed: None,
    }];
    let tokens = cluster.tokens_sent_after_inspection(old_leader, &heartbeat);
    assert!(tokens.iter().all(|t| t >> 24 < later_epoch), "sends orders with {tokens:x?}");
}

/// Record before start (invariant 3): a leader whose writes no longer succeed must not start tasks
/// on machines that the next leader would not know.
#[test]
fn no_task_starts_on_an_unrecorded_machine_across_failover() {
    for seed in 0..4 {
        let mut cluster = Cluster::new(3, 0, 0.0, 1720 + seed);
        cluster.run_for_ms(1_500);
        cluster.task_duration_ms.insert("wk-000001".into(), 600_000);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 1));
        let old_leader = cluster.leader().unwrap();
        // The first machine reaches only the old leader, the second only the other controllers.
        cluster.cut_controller_from_state_service(old_leader, LinkFault::Drop);
        let (first_machine, second_machine) = (cluster.add_worker(), cluster.add_worker());
        cluster.workers.get_mut(&first_machine).unwrap().controller = old_leader;
        cluster.workers.get_mut(&second_machine).unwrap().controller = (old_leader + 1) % 3;
        for n in 0..3 {
            let unreachable = if n == old_leader { &second_machine } else { &first_machine };
            cluster.cut_controller_from_worker(n, unreachable.clone(), LinkFault::Drop);
        }
        cluster.run_for_ms(1_200);
        cluster.crash(old_leader);
        cluster.run_until(20_000, "the job runs", |cluster| {
            !cluster.live_tasks("wk-000001").is_empty()
        });
        cluster.run_for_ms(20_000);
        assert_eq!(cluster.live_tasks("wk-000001").len(), 1);
        cluster.assert_no_violations();
    }
}

/// A new leader must not return machines that are fully used but not yet in the cloud's lagging
/// list, even if it cannot query them and receives their heartbeats late.
#[test]
fn unlisted_machine_is_kept_after_failover() {
    let mut cluster = Cluster::new(3, 4, 0.0, 1790);
    cluster.run_for_ms(500);
    cluster.task_duration_ms.insert("wk-000001".into(), 600_000);
    cluster.unlisted_machines.extend(["vm-000002".to_string(), "vm-000003".to_string()]);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 8));
    cluster.run_until_running(5_000, "wk-000001", 8);
    let old_leader = cluster.leader().unwrap();
    cluster.crash(old_leader);
    let hung_until_ms = cluster.now + 4_500;
    for machine in ["vm-000002", "vm-000003"] {
        cluster.workers.get_mut(machine).unwrap().hung_until_ms = hung_until_ms;
    }
    cluster.run_until_leader_changes(10_000, old_leader);
    cluster.run_for_ms(8_000);
    assert_eq!((cluster.workers.len(), cluster.live_tasks("wk-000001").len()), (4, 8));
    cluster.assert_no_violations();
}
