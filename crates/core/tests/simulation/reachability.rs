//! One-way unreachable machines, whose heartbeats arrive while nothing reaches them; heartbeats
//! that are delivered again late; isolated controllers; and machines that reboot quickly.

use crate::cluster::{
    job, job_id, with_dependencies, Cluster, InboundLoss, LinkFault, RandomDelay,
    ABORT_DEADLINE_MS, HEARTBEAT_INTERVAL_MS, WORKER_LEASE_MS,
};
use quartzgate_wire::msg::JobKind;

const LOSE_ALL: InboundLoss = InboundLoss { answers: true, orders: true };
const LOSE_ANSWERS: InboundLoss = InboundLoss { answers: true, orders: false };
const LOSE_ORDERS: InboundLoss = InboundLoss { answers: false, orders: true };

/// Returns a cluster of three controllers, one of which leads, and some machines.
fn settled_cluster(workers: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(3, workers, 0.0, seed);
    cluster.run_for_ms(1_500);
    cluster
}

/// Submits one-task jobs one after the other, each until it is accepted.
fn submit_one_by_one(cluster: &mut Cluster, from: u32, jobs: u32) {
    for n in from..from + jobs {
        cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 1));
    }
}

/// Guards against repeated lost starts: a machine whose heartbeats arrive while nothing reaches it
/// looks alive and empty, so that each lost start would be followed by another. Covers one machine,
/// every second machine, and the first half of the fleet; lost answers, lost orders and both; with
/// and without a failover. Few starts may be lost on each machine, all work must be done elsewhere,
/// and machines that are reachable again must soon receive work.
#[test]
fn few_starts_are_lost_on_one_way_unreachable_machines() {
    for case in 0..18u64 {
        let mut cluster = Cluster::new(3, 8, 0.0, 11_000 + case);
        cluster.keep_idle_machines = true;
        cluster.restart_all_controllers();
        cluster.run_for_ms(1_500);
        let loss = [LOSE_ALL, LOSE_ANSWERS, LOSE_ORDERS][case as usize % 3];
        let unreachable: Vec<String> = match case / 3 % 3 {
            0 => vec!["vm-000003".into()],
            1 => (0..8).step_by(2).map(|n| format!("vm-{n:06}")).collect(),
            _ => (0..4).map(|n| format!("vm-{n:06}")).collect(),
        };
        // The cloud takes no machine back, as this test is about machines that stay.
        cluster.scale_in_disabled = true;
        cluster.inbound_loss = unreachable.iter().map(|m| (m.clone(), loss)).collect();
        if case >= 9 {
            let leader = cluster.leader().unwrap();
            cluster.crash_for_ms(leader, 5_000);
            cluster.run_for_ms(5_000);
        }
        submit_one_by_one(&mut cluster, 0, 15);
        for (machine, lost) in &cluster.lost_starts {
            assert!(*lost <= 4, "case {case}: {lost} starts lost on the way to {machine}");
        }
        for n in 0..15 {
            cluster.run_until_done(&job_id(n), 60_000);
        }
        // Agent epochs end unless answers arrive, and tasks that were started in them are lost.
        let starts_on_unreachable = |cluster: &Cluster| -> usize {
            cluster
                .task_starts
                .values()
                .flatten()
                .filter(|start| unreachable.contains(&start.machine))
                .count()
        };
        let starts_before = starts_on_unreachable(&cluster);
        cluster.inbound_loss.clear();
        if unreachable.len() == 1 && loss.answers {
            // The machine is being returned, but the cloud does not take it back.
            continue;
        }
        // There is work for all machines at once.
        cluster.task_duration_ms.insert(job_id(900), 20_000);
        cluster.submit_until_accepted(&job(&job_id(900), JobKind::Array, 16));
        cluster.run_until(
            5 * WORKER_LEASE_MS,
            &format!("case {case}: machines that are reachable again have work"),
            |cluster| starts_on_unreachable(cluster) > starts_before,
        );
        cluster.run_until_done(&job_id(900), 120_000);
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// Checks the tasks on a machine that nothing reaches any more: an aborted task is gone in time
/// without an order, a replica moves once it is proven gone, a gang with a member there becomes
/// complete again, and the machine is returned.
#[test]
fn tasks_move_when_their_machine_becomes_one_way_unreachable() {
    for case in 0..12u64 {
        let mut cluster = settled_cluster(6, 11_100 + case);
        cluster.scale_out_disabled = case % 2 == 0;
        cluster.task_duration_ms = (1..4).map(|n| (job_id(n), 40_000)).collect();
        cluster.submit_until_accepted(&job(&job_id(0), JobKind::Service, 4));
        cluster.submit_until_accepted(&job(&job_id(1), JobKind::Gang, 4));
        cluster.submit_until_accepted(&job(&job_id(2), JobKind::Array, 2));
        cluster.run_until(20_000, "all tasks run", |cluster| {
            (0..3).map(|n| cluster.live_tasks(&job_id(n)).len()).sum::<usize>() == 10
        });
        let machine = cluster.live_tasks(&job_id(case as u32 % 3))[0].machine.clone();
        cluster
            .inbound_loss
            .insert(machine.clone(), [LOSE_ALL, LOSE_ANSWERS, LOSE_ORDERS][case as usize / 3 % 3]);
        cluster.run_for_ms(HEARTBEAT_INTERVAL_MS);
        cluster.abort_until_confirmed(&job_id(2));
        // The cluster records a violation if an aborted task exists past `cancel_s`.
        cluster.run_for_ms(ABORT_DEADLINE_MS + WORKER_LEASE_MS);
        if cluster.inbound_loss[&machine].answers {
            assert!(
                !cluster.workers.contains_key(&machine),
                "case {case}: the machine was returned"
            );
        }
        let replicas = cluster.live_tasks(&job_id(0));
        assert_eq!(replicas.len(), 4, "case {case}: {replicas:?}");
        cluster.run_until_done(&job_id(1), 240_000);
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// Guards against duplicates of heartbeats that arrive seconds to several leases late, at any
/// controller. They must not delay the time at which a dead machine is presumed empty, must not
/// make a returned machine known again, and must not make a task or machine count as absent,
/// finished or alive. Covers a failover after which the duplicate is the first heartbeat, a
/// partition with lease proxies, and machines that reboot quickly.
#[test]
fn delayed_duplicate_heartbeats_are_ignored() {
    for case in 0..24u64 {
        let mut cluster = settled_cluster(8, 11_200 + case);
        cluster.scale_in_disabled = case % 2 == 0;
        let (from_ms, to_ms) =
            [(2_000, 6_000), (WORKER_LEASE_MS, 2 * WORKER_LEASE_MS), (500, 5 * WORKER_LEASE_MS)]
                [case as usize % 3];
        cluster.duplicate_heartbeats = Some(RandomDelay { share: 1.0, from_ms, to_ms });
        cluster.task_duration_ms = (0..12).map(|n| (job_id(n), 15_000)).collect();
        (0..6).for_each(|n| cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 2)));
        cluster.run_until(20_000, "all tasks run", |cluster| {
            (0..6).map(|n| cluster.live_tasks(&job_id(n)).len()).sum::<usize>() == 12
        });
        let machine = cluster.live_tasks(&job_id(1))[0].machine.clone();
        let leader = cluster.leader().unwrap();
        match case / 3 % 4 {
            0 => cluster.kill_machine(&machine),
            1 => {
                cluster.kill_machine(&machine);
                cluster.crash_for_ms(leader, 3_000);
            }
            2 => {
                cluster.reboot_machine(&machine, 200);
                cluster.run_for_ms(100);
                cluster.crash_for_ms(leader, 200);
            }
            _ => {
                cluster.cut_controllers(leader, (leader + 1) % 3, LinkFault::Hold);
                cluster.cut_controller_from_worker(leader, machine.clone(), LinkFault::Hold);
            }
        }
        let jobs_with_lost_tasks: Vec<String> =
            (0..6).filter(|n| cluster.live_tasks(&job_id(*n)).len() < 2).map(job_id).collect();
        let fault_at_ms = cluster.now;
        for id in &jobs_with_lost_tasks {
            // The bound is the same as without duplicates: one lease, or after a failover the lease
            // bound and one lease.
            cluster.run_until(
                ABORT_DEADLINE_MS + WORKER_LEASE_MS,
                &format!("case {case}: its tasks run elsewhere"),
                |cluster| {
                    let starts_of_job =
                        cluster.task_starts.iter().filter(|(t, _)| t.starts_with(&id[..]));
                    starts_of_job
                        .flat_map(|(_, starts)| starts)
                        .any(|start| start.at_ms > fault_at_ms)
                },
            );
        }
        cluster.run_for_ms(WORKER_LEASE_MS);
        cluster.heal_links();
        (6..12).for_each(|n| cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 2)));
        (0..12).for_each(|n| cluster.run_until_done(&job_id(n), 240_000));
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// A controller that reaches its workers, but neither the state service nor its siblings, must
/// redirect the workers early enough for their tasks to keep running, and must start no task that
/// may be started elsewhere. Covers the leader, a follower and a lease proxy; one, two and all but
/// one of seven controllers; faults shorter than a lease and much longer; partitions that heal
/// during the election.
#[test]
fn isolated_controller_redirects_its_workers() {
    for case in 0..24u64 {
        let nodes = if case % 2 == 0 { 3 } else { 7 };
        let mut cluster = Cluster::new(nodes, 10, 0.0, 11_300 + case);
        cluster.scale_out_disabled = false;
        // The delay has the same ratio to the lease as with leases of 18 s.
        cluster.redirect_delay_ms = Some(WORKER_LEASE_MS / 18);
        cluster.run_for_ms(2_500);
        cluster.task_duration_ms = (0..8).map(|n| (job_id(n), 70_000)).collect();
        (0..8).for_each(|n| cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 1)));
        cluster.run_until(20_000, "all tasks run", |cluster| cluster.task_starts.len() == 8);
        let leader = cluster.leader().unwrap();
        let isolated: Vec<usize> = match case / 2 % 4 {
            0 => vec![leader],
            1 => vec![(leader + 1) % nodes],
            2 => vec![leader, (leader + 1) % nodes],
            _ => (0..nodes).filter(|n| *n != (leader + 1) % nodes).collect(),
        };
        let link_fault = if case / 8 == 1 { LinkFault::Hold } else { LinkFault::Drop };
        for n in &isolated {
            cluster.cut_controller_from_state_service(*n, link_fault);
            for m in (0..nodes).filter(|m| m != n) {
                cluster.cut_controllers(*n, m, link_fault);
            }
        }
        if case / 8 == 2 {
            // The partition heals while the other controllers elect a leader.
            cluster.run_for_ms(2_300);
        } else {
            cluster.run_for_ms(ABORT_DEADLINE_MS);
            for n in &isolated {
                let ready = cluster.send_request(*n, "GET", "/ready", Vec::new());
                cluster.run_for_ms(1_000);
                assert_eq!(
                    cluster.status_code(ready),
                    503,
                    "case {case}: an isolated controller is not ready"
                );
            }
            let other = (0..nodes).find(|n| !isolated.contains(n)).unwrap();
            assert_eq!(
                cluster.leader(),
                Some(other).filter(|_| isolated.len() > 2).or(cluster.leader())
            );
            assert!(!isolated.contains(&cluster.leader().unwrap()) || !isolated.contains(&leader));
            // The remaining controllers start new jobs.
            let submitted_at_ms = cluster.now;
            while !cluster.task_starts.contains_key("wk-000100/0") {
                assert!(
                    cluster.now < submitted_at_ms + ABORT_DEADLINE_MS,
                    "case {case}: nothing new is started"
                );
                cluster.submit(other, &job("wk-000100", JobKind::Array, 1));
                cluster.run_for_ms(1_000);
            }
            cluster.run_for_ms(ABORT_DEADLINE_MS);
        }
        cluster.heal_links();
        for n in 0..8 {
            cluster.run_until_done(&job_id(n), 200_000);
            let starts = &cluster.task_starts[&format!("{}/0", job_id(n))];
            assert_eq!(starts.len(), 1, "case {case}: {} was started again: {starts:?}", job_id(n));
        }
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// A machine reboots within moments and then holds no task: while an order for its earlier
/// incarnation is in flight, while a gang starts on it, while it is presumed dead, and during a
/// failover. Its tasks must run again, once.
#[test]
fn lost_tasks_run_again_once_when_a_machine_reboots_quickly() {
    for case in 0..24u64 {
        let mut cluster = settled_cluster(6, 11_400 + case);
        cluster.max_delay_ms = if case % 2 == 0 { 4 } else { 150 };
        cluster.task_duration_ms = (0..4).map(|n| (job_id(n), 6_000)).collect();
        cluster.submit_until_accepted(&job(&job_id(0), JobKind::Service, 4));
        cluster.submit_until_accepted(&job(&job_id(1), JobKind::Gang, 4));
        cluster.submit_until_accepted(&job(&job_id(2), JobKind::Array, 3));
        cluster.run_for_ms(200 + 130 * (case / 4));
        let machines: Vec<String> = cluster.workers.keys().cloned().collect();
        let machine = machines[case as usize % 6].clone();
        let leader = cluster.leader().unwrap();
        match case % 4 {
            0 => cluster.reboot_machine(&machine, 200),
            // All machines reboot.
            1 => machines.iter().for_each(|m| cluster.reboot_machine(m, 200)),
            // The machine has been silent for almost its lease, or longer, when it is back.
            2 => cluster.reboot_machine(&machine, WORKER_LEASE_MS - 500 + 400 * (case / 4)),
            _ => {
                cluster.crash_for_ms(leader, 200);
                cluster.run_for_ms(150 * (case / 4));
                cluster.reboot_machine(&machine, 200);
            }
        }
        cluster.submit_until_accepted(&with_dependencies(
            job(&job_id(3), JobKind::Array, 2),
            &[&job_id(2)],
        ));
        (1..4).for_each(|n| cluster.run_until_done(&job_id(n), 200_000));
        cluster.run_until_running(60_000, &job_id(0), 4);
        cluster.assert_no_accepted_job_is_lost();
    }
}
