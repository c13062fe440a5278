//! Combinations of two faults, above all an outage of the state service that follows its refusal of
//! the leader alone.

use crate::cluster::{
    job, job_id, machine_name, Cluster, Endpoint, LinkFault, MidCallHang, RandomDelay,
    ABORT_DEADLINE_MS, HEARTBEAT_INTERVAL_MS, WORKER_LEASE_MS,
};
use quartzgate_wire::msg::{JobKind, JobStatus};

/// Returns a cluster with three jobs that run longer than any test in this file.
fn loaded_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::activated(6, 0.0, seed, 1_000);
    cluster.scale_out_disabled = false;
    cluster.task_duration_ms = (1..9).map(|n| (job_id(n), 600_000)).collect();
    cluster.submit_until_accepted(&job(&job_id(1), JobKind::Array, 5));
    cluster.submit_until_accepted(&job(&job_id(2), JobKind::Service, 3));
    cluster.submit_until_accepted(&job(&job_id(3), JobKind::Array, 2));
    cluster.run_until(20_000, "all tasks run", |cluster| {
        (1..4).map(|n| cluster.live_tasks(&job_id(n)).len()).sum::<usize>() == 10
    });
    cluster
}

/// Requests an abort at these controllers in turn, as the job's user would, and returns whether one
/// of them confirmed it in time.
fn abort_within(cluster: &mut Cluster, nodes: &[usize], id: &str, within_ms: u64) -> bool {
    let deadline_ms = cluster.now + within_ms;
    for turn in 0.. {
        if cluster.now >= deadline_ms {
            break;
        }
        let request = cluster.abort(nodes[turn % nodes.len()], id);
        let timeout_ms = (deadline_ms - cluster.now).min(1_000);
        let mut waited_ms = 0;
        while waited_ms < timeout_ms && cluster.status_code(request) == 0 {
            cluster.run_for_ms(10);
            waited_ms += 10;
        }
        if cluster.status_code(request) == 200 {
            return true;
        }
        cluster.run_for_ms(100);
    }
    false
}

/// Makes the state service refuse one controller, by silence or with 503.
fn refuse_controller(cluster: &mut Cluster, node: usize, silent: bool) {
    match silent {
        true => cluster.cut_controller_from_state_service(node, LinkFault::Drop),
        false => {
            cluster.state.refused_nodes.insert(node);
        }
    }
}

/// Makes the state service serve a refused controller again.
fn stop_refusing_controller(cluster: &mut Cluster, node: usize) {
    cluster.heal_link(&Endpoint::Controller(node), &Endpoint::StateService);
    cluster.state.refused_nodes.remove(&node);
}

/// How the workers' heartbeats reach the refused leader.
#[derive(Clone, Copy)]
enum HeartbeatRoute {
    Direct,
    Relay,
    /// Some workers send them directly, while a sibling renews the leases of the other workers as
    /// their lease proxy.
    Proxy,
}

impl HeartbeatRoute {
    /// Cuts all other routes to the leader.
    fn cut_other_routes(self, cluster: &mut Cluster, leader: usize) {
        let siblings = [(leader + 1) % 3, (leader + 2) % 3];
        match self {
            HeartbeatRoute::Relay => (0..6).for_each(|m| {
                cluster.cut_controller_from_worker(leader, machine_name(m), LinkFault::Drop)
            }),
            HeartbeatRoute::Proxy => {
                for n in siblings {
                    cluster.cut_controllers(leader, n, LinkFault::Drop);
                    (0..3).for_each(|m| {
                        cluster.cut_controller_from_worker(n, machine_name(m), LinkFault::Drop)
                    });
                }
                (3..6).for_each(|m| {
                    cluster.cut_controller_from_worker(leader, machine_name(m), LinkFault::Drop)
                });
            }
            HeartbeatRoute::Direct => {}
        }
    }
}

/// Number of cases for each route. In steps of a quarter of the heartbeat interval, the cases cover
/// the times from 0 to past the lease bound, in an order that mixes them with the other conditions.
const CASES_PER_ROUTE: u64 = 44;

/// Checks that a confirmed abort holds: the state service refuses only the leader, another
/// controller confirms an abort, and then the state service is down for every controller for longer
/// than `cancel_s`, while the workers still send their heartbeats to the old leader. Jobs that were
/// not aborted must run again. The cases vary:
/// - the time from the refusal to the confirmation (to past the lease bound) and on to the outage;
/// - refusal with 503 and by silence;
/// - outages shorter and longer than the leases;
/// - a refusal that ends before, during and after the outage;
/// - the route of the heartbeats;
/// - a crash of the confirming controller, a machine that hangs late in its lease, a leader that
///   stalls;
/// - clocks that differ (odd seeds).
fn check_abort_before_outage(route: HeartbeatRoute) {
    let mut confirmed = 0;
    for case in 0..CASES_PER_ROUTE {
        let mut cluster = loaded_cluster(12_000 + 3 * case + route as u64);
        cluster.scale_in_disabled = case % 5 != 0;
        let old_leader = cluster.leader().unwrap();
        let (sibling, other_sibling) = ((old_leader + 1) % 3, (old_leader + 2) % 3);
        route.cut_other_routes(&mut cluster, old_leader);
        let silent = case % 2 == 1;
        refuse_controller(&mut cluster, old_leader, silent);
        // The time since the refusal is 0 to past the lease bound, in steps of less than a
        // heartbeat interval.
        cluster.run_for_ms(case * 37 % 66 * (HEARTBEAT_INTERVAL_MS / 4) + case % 7);
        let is_confirmed = abort_within(&mut cluster, &[sibling, other_sibling], &job_id(1), 2_500);
        cluster.run_for_ms([0, 1, 40, 400, HEARTBEAT_INTERVAL_MS][case as usize % 5]);
        cluster.state.down = true;
        confirmed += u64::from(is_confirmed);
        let outage_began_ms = cluster.now;
        match case / 2 % 4 {
            0 => cluster.crash_for_ms(sibling, 200),
            1 => cluster.hang_machine(&machine_name(case as usize % 6), WORKER_LEASE_MS),
            2 => cluster.stall(old_leader, WORKER_LEASE_MS + 3_000 + case % 400),
            _ => {}
        }
        let outage_ms = if case % 4 == 0 { WORKER_LEASE_MS / 2 } else { ABORT_DEADLINE_MS + 4_000 };
        match case / 5 % 3 {
            0 => stop_refusing_controller(&mut cluster, old_leader),
            1 => {
                cluster.run_for_ms(outage_ms / 2);
                stop_refusing_controller(&mut cluster, old_leader);
            }
            _ => {}
        }
        cluster.run_for_ms((outage_began_ms + outage_ms).saturating_sub(cluster.now));
        cluster.state.down = false;
        cluster.run_for_ms(HEARTBEAT_INTERVAL_MS);
        stop_refusing_controller(&mut cluster, old_leader);
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        cluster.assert_no_violations();
        cluster.heal_links();
        cluster.scale_in_disabled = false;
        if is_confirmed {
            assert!(cluster.live_tasks(&job_id(1)).is_empty(), "case {case}");
            for n in 0..3 {
                let request = cluster.query(n, &job_id(1));
                cluster.run_for_ms(1_500);
                assert!(cluster.status_code(request) != 404);
            }
            assert_eq!(cluster.observed_status[&job_id(1)], JobStatus::Aborted);
        }
        cluster.run_until_running(90_000, &job_id(2), 3);
        cluster.assert_no_accepted_job_is_lost();
    }
    assert!(
        confirmed > CASES_PER_ROUTE / 2,
        "{confirmed} of {CASES_PER_ROUTE} were confirmed before the outage"
    );
}

/// Heartbeats reach the refused leader directly.
#[test]
fn abort_holds_in_outage_after_refusal_with_direct_heartbeats() {
    check_abort_before_outage(HeartbeatRoute::Direct);
}

/// Heartbeats reach the refused leader through its siblings.
#[test]
fn abort_holds_in_outage_after_refusal_with_relayed_heartbeats() {
    check_abort_before_outage(HeartbeatRoute::Relay);
}

/// A sibling renews the leases of half of the workers for the refused leader.
#[test]
fn abort_holds_in_outage_after_refusal_with_a_lease_proxy() {
    check_abort_before_outage(HeartbeatRoute::Proxy);
}

/// Guards against aborted tasks that run until their leases expire. The controller that confirms an
/// abort notifies the others over the mesh; a leader that the state service refuses must then stop
/// the tasks within a round.
#[test]
fn refused_leader_stops_aborted_tasks_when_a_sibling_notifies_it() {
    let mut stop_times_ms = Vec::new();
    for case in 0..24u64 {
        let mut cluster = loaded_cluster(12_700 + case);
        cluster.scale_in_disabled = true;
        let old_leader = cluster.leader().unwrap();
        refuse_controller(&mut cluster, old_leader, case % 2 == 1);
        cluster.run_for_ms(case * 23);
        if !abort_within(
            &mut cluster,
            &[(old_leader + 1 + case as usize / 2 % 2) % 3],
            &job_id(1),
            1_500,
        ) {
            continue;
        }
        cluster.state.down = true;
        let confirmed_at = cluster.now;
        cluster.run_until(
            2 * HEARTBEAT_INTERVAL_MS,
            "the tasks of the aborted job are gone",
            |cluster| cluster.live_tasks(&job_id(1)).is_empty(),
        );
        stop_times_ms.push(cluster.now - confirmed_at);
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        cluster.state.down = false;
        stop_refusing_controller(&mut cluster, old_leader);
        cluster.run_until_running(90_000, &job_id(2), 3);
        cluster.assert_no_accepted_job_is_lost();
    }
    stop_times_ms.sort_unstable();
    println!("ms from the confirmation until all tasks were gone: {stop_times_ms:?}");
    assert!(stop_times_ms.len() > 16, "{stop_times_ms:?}");
}

/// Guards against a recovering leader that keeps aborted tasks alive. The leader confirms an abort
/// and crashes before carrying it out; its successor begins recovery, and the state service fails
/// while the workers send heartbeats to the successor, which does not know yet which jobs are
/// aborted.
#[test]
fn recovering_leader_renews_no_lease_during_an_outage() {
    for case in 0..60u64 {
        let mut cluster = loaded_cluster(12_500 + case);
        cluster.scale_in_disabled = true;
        // Recovery takes many reads, as each list returns only one key.
        cluster.state.max_list_keys = Some(1);
        let old_leader = cluster.leader().unwrap();
        (0..6).for_each(|m| {
            cluster.cut_controller_from_worker(old_leader, machine_name(m), LinkFault::Drop)
        });
        cluster.run_for_ms(HEARTBEAT_INTERVAL_MS * 3);
        let request = cluster.abort(old_leader, &job_id(1));
        while cluster.status_code(request) != 200 {
            cluster.run_for_ms(1);
        }
        cluster.crash(old_leader);
        cluster.run_until_leader_changes(20_000, old_leader);
        cluster.run_for_ms(1 + case % 12);
        cluster.state.down = true;
        cluster.run_for_ms(ABORT_DEADLINE_MS + WORKER_LEASE_MS);
        cluster.state.down = false;
        cluster.assert_no_violations();
        cluster.heal_links();
        cluster.scale_in_disabled = false;
        cluster.start_controller(old_leader);
        cluster.run_until_running(90_000, &job_id(2), 3);
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// Guards against an abort without effect. The write of the abort gets no answer and is applied
/// late: the leader reads that the job is live, another controller reads that it is aborted, and
/// then the leader loses the state service. The leader must stop the tasks because an abort was
/// requested, whatever becomes of the record.
#[test]
fn abort_takes_effect_when_its_write_is_applied_late() {
    for case in 0..40u64 {
        let mut cluster = Cluster::new(3, 6, 0.0, 12_600 + case);
        cluster.run_until_fully_activated();
        (cluster.scale_in_disabled, cluster.keep_idle_machines) = (true, true);
        cluster.task_duration_ms = (1..3).map(|n| (job_id(n), 600_000)).collect();
        cluster.submit_until_accepted(&job(&job_id(2), JobKind::Service, 3));
        // The placement of this job is in records of its own, whose writes do not change the job
        // record.
        cluster.submit_until_accepted(&job(&job_id(1), JobKind::Array, 70));
        cluster.run_until(20_000, "all tasks run", |cluster| {
            cluster.live_tasks(&job_id(1)).len() == 9 && cluster.live_tasks(&job_id(2)).len() == 3
        });
        let old_leader = cluster.leader().unwrap();
        let sibling = (old_leader + 1) % 3;
        let delay_ms = 2_500 + case * 170;
        cluster.state.delayed_writes =
            Some(RandomDelay { share: 1.0, from_ms: delay_ms, to_ms: delay_ms });
        cluster.abort(old_leader, &job_id(1));
        cluster.run_for_ms(100);
        cluster.state.delayed_writes = None;
        // The leader reaches the state service and its workers, but no sibling.
        for n in (0..3).filter(|n| *n != old_leader) {
            cluster.cut_controllers(old_leader, n, LinkFault::Drop);
        }
        cluster.run_for_ms(delay_ms - 100);
        for _ in 0..20 {
            if cluster.observed_status[&job_id(1)] == JobStatus::Aborted {
                break;
            }
            cluster.query(sibling, &job_id(1));
            cluster.run_for_ms(50);
        }
        // Then the leader loses the state service too, before it rereads its live jobs.
        cluster.run_for_ms(case % 8 * 600);
        refuse_controller(&mut cluster, old_leader, false);
        cluster.state.down = true;
        cluster.run_for_ms(ABORT_DEADLINE_MS + WORKER_LEASE_MS);
        cluster.state.down = false;
        stop_refusing_controller(&mut cluster, old_leader);
        cluster.heal_links();
        cluster.assert_no_violations();
        cluster.abort_until_confirmed(&job_id(1));
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        assert!(cluster.live_tasks(&job_id(1)).is_empty());
        cluster.run_until_running(90_000, &job_id(2), 3);
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// Runs short and long jobs, aborts some of them and queries all of them at every controller, while
/// `inject` is called every 200 ms. Every job that was not aborted must be done in the end.
fn run_jobs_under_fault(seed: u64, mut inject: impl FnMut(&mut Cluster, u64)) {
    let mut cluster = Cluster::activated(8, 0.0, seed, 1_000);
    cluster.scale_out_disabled = false;
    let spec = |n: u32| job(&job_id(n), JobKind::Array, 1 + n % 3);
    for n in 0..12 {
        // The tasks of one job end at very different times.
        cluster.task_duration_ms.insert(format!("{}/1", job_id(n)), 12_000 + u64::from(n) * 700);
    }
    for turn in 0..90u64 {
        inject(&mut cluster, turn);
        let (n, node) = ((turn / 4 % 12) as u32, turn as usize % 3);
        if !cluster.observed_status.contains_key(&job_id(n)) {
            cluster.submit(node, &spec(n));
        } else if n % 4 == 1 && turn > 20 {
            cluster.abort(node, &job_id(n));
        }
        for n in 0..12 {
            if cluster.observed_status.contains_key(&job_id(n)) {
                cluster.query((node + n as usize) % 3, &job_id(n));
            }
        }
        cluster.run_for_ms(200);
    }
    (cluster.state.extra_latency_ms, cluster.state.delayed_writes) = (0, None);
    cluster.heal_links();
    cluster.run_for_ms(15_000);
    (0..3).for_each(|n| {
        if !cluster.is_up(n) {
            cluster.start_controller(n)
        }
    });
    for n in 0..12 {
        match n % 4 {
            1 if cluster.observed_status.contains_key(&job_id(n)) => {
                cluster.abort_until_confirmed(&job_id(n))
            }
            1 => {}
            _ => {
                cluster.submit_until_accepted(&spec(n));
                cluster.run_until_done(&job_id(n), 120_000);
            }
        }
    }
    cluster.assert_no_accepted_job_is_lost();
}

/// Guards against an answer that is older than an earlier one. Answers of the state service are up
/// to 2.5 s late and arrive out of order, and users repeat unanswered requests at other
/// controllers.
#[test]
fn answers_never_regress_when_the_state_service_is_slow() {
    for case in 0..18u64 {
        let latency_ms = [300, 900, 2_500][case as usize % 3];
        run_jobs_under_fault(12_800 + case, |cluster, turn| {
            cluster.state.extra_latency_ms = if (10..60).contains(&turn) { latency_ms } else { 0 };
        });
    }
}

/// Checks that jobs complete when writes of every kind of record get no answer and are applied 2 to
/// 12 s later, after newer writes, also after their writer has crashed and restarted: acceptances,
/// completions, aborts, placements, batch records, proxy claims, the epoch record.
#[test]
fn jobs_complete_when_writes_are_applied_after_newer_ones() {
    for case in 0..24u64 {
        run_jobs_under_fault(12_900 + case, |cluster, turn| {
            let share = [0.1, 0.3, 0.6][case as usize % 3];
            let delay = RandomDelay { share, from_ms: 2_000, to_ms: 12_000 };
            cluster.state.delayed_writes = (5..65).contains(&turn).then_some(delay);
            if turn % 20 == 15 + case % 5 {
                let node = cluster.leader().map_or(0, |l| (l + case as usize / 3 % 2) % 3);
                cluster.crash_for_ms(node, 200);
            }
        });
    }
}

/// Checks a failover that is interrupted at each of its writes and at each of the first writes
/// after it: all controllers crash, and restart within a fraction of a second or after seconds.
#[test]
fn recovery_survives_a_crash_of_all_controllers_at_each_write() {
    for case in 0..36u64 {
        let mut cluster = loaded_cluster(13_000 + case);
        let leader = cluster.leader().unwrap();
        cluster.submit(leader, &job(&job_id(10), JobKind::Array, 4));
        cluster.run_for_ms(3 + case % 40);
        cluster.crash_for_ms(leader, [200, 5_000][case as usize % 2]);
        let crash_at_write = cluster.state.writes + case / 2;
        for _ in 0..3_000 {
            if cluster.state.writes >= crash_at_write {
                break;
            }
            cluster.run_for_ms(1);
        }
        (0..3).for_each(|n| {
            if cluster.is_up(n) {
                cluster.crash_for_ms(n, [200, 3_000][(case as usize + n) % 2])
            }
        });
        cluster.run_for_ms(8_000);
        cluster.submit_until_accepted(&job(&job_id(10), JobKind::Array, 4));
        cluster.abort_until_confirmed(&job_id(1));
        cluster.run_until_done(&job_id(10), 120_000);
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        cluster.run_until_running(90_000, &job_id(2), 3);
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// Guards against an order that takes effect too late. A machine hangs between two orders of one
/// call and continues late in its lease, when the task of the second order has been aborted or
/// started elsewhere.
#[test]
fn no_stale_order_takes_effect_when_a_machine_hangs_mid_call() {
    let mut hung_machines = 0;
    for case in 0..36u64 {
        let mut cluster = Cluster::new(3, 4, 0.0, 13_100 + case);
        cluster.run_for_ms(2_000);
        cluster.scale_in_disabled = case % 2 == 0;
        cluster.scale_out_disabled = false;
        cluster.task_duration_ms = (1..4).map(|n| (job_id(n), 9_000)).collect();
        let hang_ms = 500 + case * (WORKER_LEASE_MS / 30);
        for m in 0..2 {
            let worker = cluster.workers.get_mut(&machine_name(m)).unwrap();
            let after_orders = case as usize / 2 % 2;
            worker.hang_mid_call = Some(MidCallHang { after_orders, for_ms: hang_ms });
        }
        for n in 1..4 {
            cluster.submit(n as usize % 3, &job(&job_id(n), JobKind::Array, 3));
        }
        cluster.run_for_ms(700);
        cluster.submit_until_accepted(&job(&job_id(1), JobKind::Array, 3));
        cluster.abort_until_confirmed(&job_id(1));
        if case % 3 == 0 {
            let leader = cluster.leader().unwrap();
            cluster.crash_for_ms(leader, 200);
        }
        cluster.run_for_ms(ABORT_DEADLINE_MS + WORKER_LEASE_MS);
        for n in 2..4 {
            cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 3));
            cluster.run_until_done(&job_id(n), 120_000);
        }
        cluster.assert_no_accepted_job_is_lost();
        let has_hung = |machine: &usize| {
            let worker = cluster.workers.get(&machine_name(*machine));
            worker.is_none_or(|worker| worker.hang_mid_call.is_none())
        };
        hung_machines += (0..2).filter(has_hung).count();
    }
    assert!(hung_machines > 36, "{hung_machines} machines hung within a call");
}
