//! Network partitions between controllers, zones, workers and the state service.

use crate::cluster::{job, job_id, Cluster, LinkFault, ABORT_DEADLINE_MS};
use quartzgate_wire::msg::JobKind;

/// Partitions the leader, with two workers whose leases it renews, from all other controllers, the
/// other workers and the state service; returns the leader once another controller leads.
fn partition_leader_with_two_workers(cluster: &mut Cluster) -> usize {
    let old_leader = cluster.leader().unwrap();
    let (near_workers, far_workers) = (["vm-000000", "vm-000001"], ["vm-000002", "vm-000003"]);
    cluster.cut_controller_from_state_service(old_leader, LinkFault::Hold);
    for n in (0..3).filter(|n| *n != old_leader) {
        cluster.cut_controllers(old_leader, n, LinkFault::Hold);
        near_workers
            .iter()
            .for_each(|m| cluster.cut_controller_from_worker(n, m.to_string(), LinkFault::Hold));
    }
    far_workers.iter().for_each(|m| {
        cluster.cut_controller_from_worker(old_leader, m.to_string(), LinkFault::Hold)
    });
    cluster.run_until_leader_changes(20_000, old_leader);
    old_leader
}

/// Lease bound: an old leader that reaches only some workers renews their leases for a while, but
/// tasks that are aborted on the other side of the partition are gone in time, although the cloud
/// takes no machine back.
#[test]
fn aborted_tasks_stop_when_old_leader_is_cut_off_with_workers() {
    for seed in 0..6 {
        let mut cluster = Cluster::new(3, 4, 0.0, 200 + seed);
        cluster.scale_in_disabled = true;
        cluster.run_for_ms(500);
        cluster.task_duration_ms.insert("wk-000001".into(), 600_000);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 6));
        cluster.run_until_running(5_000, "wk-000001", 6);
        partition_leader_with_two_workers(&mut cluster);
        cluster.abort_until_confirmed("wk-000001");
        // The cluster records a violation if a task is on a machine past `cancel_s`.
        cluster.run_for_ms(ABORT_DEADLINE_MS + 10_000);
        assert!(cluster.live_tasks("wk-000001").is_empty());
        cluster.heal_links();
        cluster.run_for_ms(20_000);
        cluster.assert_no_violations();
    }
}

/// Tasks that an old leader may still keep alive are not started elsewhere before its lease bound
/// and one worker lease have passed.
#[test]
fn new_leader_waits_for_the_lease_bound_of_a_partitioned_leader() {
    for seed in 0..6 {
        let mut cluster = Cluster::new(3, 4, 0.0, 230 + seed);
        cluster.scale_in_disabled = true;
        cluster.run_for_ms(500);
        cluster.task_duration_ms.insert("wk-000001".into(), 600_000);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 4));
        cluster.run_until_running(5_000, "wk-000001", 4);
        partition_leader_with_two_workers(&mut cluster);
        cluster.run_for_ms(ABORT_DEADLINE_MS + 15_000);
        cluster.heal_links();
        cluster.run_until_running(60_000, "wk-000001", 4);
        cluster.assert_no_violations();
    }
}

/// `spread`: replicas in an unreachable zone count for as long as they may still run, and the other
/// replicas never take more than half of the places, rounded up, in one zone.
#[test]
fn spread_limit_holds_when_a_zone_is_unreachable() {
    let mut cluster = Cluster::new(3, 6, 0.0, 900);
    cluster.run_for_ms(500);
    let mut spec = job("wk-000001", JobKind::Service, 5);
    spec.spread = true;
    cluster.submit_until_accepted(&spec);
    cluster.run_until_running(5_000, "wk-000001", 5);
    let zone_a: Vec<String> = cluster
        .workers
        .iter()
        .filter(|(_, worker)| worker.zone == "a")
        .map(|(n, _)| n.clone())
        .collect();
    for n in 0..3 {
        zone_a
            .iter()
            .for_each(|m| cluster.cut_controller_from_worker(n, m.clone(), LinkFault::Drop));
    }
    cluster.run_for_ms(30_000);
    cluster.scale_out_disabled = false;
    let replicas_in_zone_b = cluster
        .live_tasks("wk-000001")
        .iter()
        .filter(|live| cluster.workers[&live.machine].zone == "b")
        .count();
    assert!(replicas_in_zone_b <= 3);
    cluster.heal_links();
    cluster.run_until_running(30_000, "wk-000001", 5);
    cluster.assert_no_violations();
}

/// Partitions the leader and the machines of zone a from the other controllers and zone b.
fn partition_zones(cluster: &mut Cluster, leader: usize) {
    let worker_zones: Vec<(String, String)> =
        cluster.workers.iter().map(|(n, worker)| (n.clone(), worker.zone.clone())).collect();
    for n in 0..3 {
        let unreachable_zone = if n == leader { "b" } else { "a" };
        if n != leader {
            cluster.cut_controllers(leader, n, LinkFault::Drop);
        }
        for (worker_name, _) in worker_zones.iter().filter(|(_, zone)| zone == unreachable_zone) {
            cluster.cut_controller_from_worker(n, worker_name.clone(), LinkFault::Drop);
        }
    }
}

/// While two zones are partitioned, orders and heartbeats for machines that the leader cannot reach
/// pass through the state service: new jobs run in both zones, an abort ends them in both, and no
/// task runs twice.
#[test]
fn new_jobs_run_in_both_zones_during_a_zone_partition() {
    for seed in 0..6 {
        let mut cluster = Cluster::new(3, 6, 0.0, 980 + seed);
        cluster.run_for_ms(2_000);
        let leader = cluster.leader().unwrap();
        cluster.task_duration_ms.insert("wk-000001".into(), 4_000);
        cluster.task_duration_ms.insert("wk-000002".into(), 600_000);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 12));
        cluster.run_until_running(6_000, "wk-000001", 12);
        partition_zones(&mut cluster, leader);
        cluster.submit_until_accepted(&job("wk-000002", JobKind::Array, 12));
        cluster.run_until_running(25_000, "wk-000002", 12);
        cluster.run_until_done("wk-000001", 10_000);
        if seed % 2 == 0 {
            cluster.abort_until_confirmed("wk-000002");
            cluster.run_for_ms(ABORT_DEADLINE_MS);
            assert!(cluster.live_tasks("wk-000002").is_empty());
        }
        cluster.heal_links();
        cluster.run_for_ms(20_000);
        cluster.assert_no_violations();
    }
}

/// Lease proxies: while two zones are partitioned, tasks in the zone that the leader cannot reach
/// keep running, an abort still ends them in time, and no task runs twice afterwards.
#[test]
fn running_tasks_survive_a_zone_partition() {
    for seed in 0..6 {
        let mut cluster = Cluster::new(3, 6, 0.0, 950 + seed);
        cluster.run_for_ms(2_000);
        let leader = cluster.leader().unwrap();
        // The leader reaches only zone a, the others only zone b.
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Service, 4));
        cluster.submit_until_accepted(&job("wk-000002", JobKind::Service, 8));
        cluster.run_until(8_000, "all tasks run", |cluster| {
            cluster.live_tasks("wk-000001").len() + cluster.live_tasks("wk-000002").len() == 12
        });
        partition_zones(&mut cluster, leader);
        let starts_before: usize = cluster.task_starts.values().map(Vec::len).sum();
        cluster.run_for_ms(10_000);
        cluster.abort_until_confirmed("wk-000002");
        cluster.run_for_ms(ABORT_DEADLINE_MS + 3_000);
        assert!(cluster.live_tasks("wk-000002").is_empty());
        assert_eq!(cluster.live_tasks("wk-000001").len(), 4, "seed {seed}");
        let starts_after: usize = cluster.task_starts.values().map(Vec::len).sum();
        assert_eq!(starts_before, starts_after, "seed {seed}: no task was started again");
        cluster.heal_links();
        cluster.run_for_ms(20_000);
        assert_eq!(cluster.live_tasks("wk-000001").len(), 4);
        cluster.assert_no_violations();
    }
}

/// The user reaches only a follower, which cannot reach the leader: the follower records the job
/// itself, and the leader finds the record. The leader also learns of an abort that a follower
/// records.
#[test]
fn job_accepted_by_a_follower_runs_when_the_leader_is_unreachable() {
    let mut cluster = Cluster::new(3, 4, 0.0, 1000);
    cluster.run_for_ms(1_500);
    let leader = cluster.leader().unwrap();
    let follower = (leader + 1) % 3;
    for n in (0..3).filter(|n| *n != leader) {
        cluster.cut_controllers(leader, n, LinkFault::Drop);
    }
    cluster.run_for_ms(4_000);
    let submission = cluster.submit(follower, &job("wk-000001", JobKind::Array, 3));
    cluster.run_for_ms(3_000);
    assert_eq!(cluster.status_code(submission), 201);
    cluster.run_until_done("wk-000001", 30_000);
    // The leader also learns of an abort that a follower records.
    cluster.task_duration_ms.insert("wk-000002".into(), 300_000);
    cluster.submit(leader, &job("wk-000002", JobKind::Array, 3));
    cluster.run_until_running(5_000, "wk-000002", 3);
    let abort = cluster.abort(follower, "wk-000002");
    cluster.run_for_ms(3_000);
    assert_eq!(cluster.status_code(abort), 200);
    cluster.run_until(5_000, "all tasks are gone", |cluster| {
        cluster.live_tasks("wk-000002").is_empty()
    });
    cluster.assert_no_violations();
}

/// The leader cannot reach any worker, but its siblings can: running tasks keep running in every
/// zone, and new jobs start through the siblings.
#[test]
fn orders_are_relayed_when_the_leader_cannot_reach_workers() {
    for link_fault in [LinkFault::Drop, LinkFault::Hold] {
        let mut cluster = Cluster::new(3, 6, 0.0, 1700);
        cluster.run_for_ms(500);
        cluster.task_duration_ms.insert("wk-000001".into(), 600_000);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 6));
        cluster.run_until_running(5_000, "wk-000001", 6);
        let leader = cluster.leader().unwrap();
        let workers: Vec<String> = cluster.workers.keys().cloned().collect();
        workers
            .iter()
            .for_each(|n| cluster.cut_controller_from_worker(leader, n.clone(), link_fault));
        cluster.run_for_ms(12_000);
        cluster.submit_until_accepted(&job("wk-000002", JobKind::Array, 6));
        cluster.run_until_done("wk-000002", 12_000);
        assert_eq!((cluster.leader(), cluster.workers.len()), (Some(leader), 6));
        let started_once =
            cluster.task_starts.iter().filter(|(t, s)| t.starts_with("wk-000001/") && s.len() == 1);
        assert_eq!(started_once.count(), 6, "no running task was started again");
        let abort = cluster.abort(leader, "wk-000001");
        cluster.run_for_ms(3_000);
        assert_eq!((cluster.status_code(abort), cluster.live_tasks("wk-000001").len()), (200, 0));
        cluster.heal_links();
        cluster.run_for_ms(10_000);
        cluster.assert_no_violations();
    }
}

/// Lease proxies (invariant 9): the leader must not presume a machine empty while another
/// controller may be renewing the machine's lease, even if none of the machine's heartbeats reaches
/// the leader.
#[test]
fn proxied_machine_is_not_presumed_empty_by_a_cut_off_leader() {
    let mut cluster = Cluster::new(3, 2, 0.0, 1740);
    cluster.run_for_ms(500);
    cluster.task_duration_ms.insert("wk-000001".into(), 600_000);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 1));
    cluster.run_until_running(5_000, "wk-000001", 1);
    let leader = cluster.leader().unwrap();
    let (proxy, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let holder = cluster.live_tasks("wk-000001")[0].machine.clone();
    cluster.state.rejects_mailboxes = true;
    cluster.workers.get_mut(&holder).unwrap().controller = proxy;
    cluster.cut_controllers(leader, proxy, LinkFault::Drop);
    cluster.cut_controller_from_worker(leader, holder.clone(), LinkFault::Drop);
    cluster.cut_controller_from_worker(other, holder, LinkFault::Drop);
    cluster.run_for_ms(40_000);
    assert_eq!((cluster.leader(), cluster.live_tasks("wk-000001").len()), (Some(leader), 1));
    cluster.assert_no_violations();
}

/// Guards against a lease proxy that starts a job after confirming its abort: the proxy must not
/// relay the leader's start orders for the job afterwards, whenever the abort falls between the
/// order and its relay.
#[test]
fn proxy_relays_no_start_of_a_job_that_it_has_aborted() {
    let mut cluster = Cluster::activated(12, 0.0, 52_010, 1_500);
    let leader = cluster.leader().unwrap();
    let proxy = (leader + 1) % 3;
    let workers: Vec<String> = cluster.workers.keys().cloned().collect();
    cluster.cut_controllers(leader, proxy, LinkFault::Drop);
    cluster.cut_controllers(leader, (leader + 2) % 3, LinkFault::Drop);
    for worker in workers {
        cluster.cut_controller_from_worker(leader, worker.clone(), LinkFault::Drop);
        cluster.cut_controller_from_worker((leader + 2) % 3, worker, LinkFault::Drop);
    }
    cluster.run_for_ms(6_000);
    for case in 0..80u32 {
        let id = job_id(100 + case);
        cluster.task_duration_ms.insert(id.clone(), 2_000);
        cluster.submit(leader, &job(&id, JobKind::Array, 2));
        cluster.run_until(5_000, "accepted", |cluster| cluster.observed_status.contains_key(&id));
        cluster.run_for_ms(u64::from(case) * 5);
        cluster.abort(proxy, &id);
        cluster.run_for_ms(1_500);
    }
    assert!(cluster.task_starts.len() > 20, "the leader commands workers through the proxy");
    assert!(cluster.abort_confirmed_at.len() > 40, "the proxy confirms aborts");
    cluster.assert_no_violations();
}
