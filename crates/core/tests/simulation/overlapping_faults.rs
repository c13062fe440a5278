//! Two faults at a time, above all an outage of the state service that follows its refusal of the
//! leader alone.

use crate::cluster::{
    job, job_id, machine_name, Cluster, Endpoint, LinkFault, MidCallHang, RandomDelay, CANCEL_MS,
    LEASE_MS, REPORT_MS,
};
use quartzgate_wire::msg::{JobKind, JobStatus};

/// A cluster with three jobs that run longer than any test here.
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

/// Aborts a job at these controllers in turn, as its user would; whether one confirmed it in
/// time.
fn abort_within(cluster: &mut Cluster, at: &[usize], id: &str, within_ms: u64) -> bool {
    let end = cluster.now + within_ms;
    for turn in 0.. {
        if cluster.now >= end {
            break;
        }
        let request = cluster.abort(at[turn % at.len()], id);
        let patience = (end - cluster.now).min(1_000);
        let mut waited = 0;
        while waited < patience && cluster.status_code(request) == 0 {
            cluster.run_for_ms(10);
            waited += 10;
        }
        if cluster.status_code(request) == 200 {
            return true;
        }
        cluster.run_for_ms(100);
    }
    false
}

/// The state service refuses one controller, by silence or with 503.
fn refuse_controller(cluster: &mut Cluster, who: usize, silent: bool) {
    match silent {
        true => cluster.cut_from_state_service(who, LinkFault::Drop),
        false => {
            cluster.state.refused_nodes.insert(who);
        }
    }
}

/// The state service serves the controller again.
fn serve_controller_again(cluster: &mut Cluster, who: usize) {
    cluster.heal_link(&Endpoint::Controller(who), &Endpoint::StateService);
    cluster.state.refused_nodes.remove(&who);
}

/// How the workers' heartbeats reach the leader that is refused.
#[derive(Clone, Copy)]
enum Route {
    Direct,
    Relay,
    /// Some of them directly, while a sibling renews the leases of the others.
    Proxy,
}

impl Route {
    /// Cuts all other routes to the leader.
    fn partition(self, cluster: &mut Cluster, leader: usize) {
        let siblings = [(leader + 1) % 3, (leader + 2) % 3];
        match self {
            Route::Relay => (0..6)
                .for_each(|m| cluster.cut_from_worker(leader, machine_name(m), LinkFault::Drop)),
            Route::Proxy => {
                for n in siblings {
                    cluster.cut_controllers(leader, n, LinkFault::Drop);
                    (0..3)
                        .for_each(|m| cluster.cut_from_worker(n, machine_name(m), LinkFault::Drop));
                }
                (3..6).for_each(|m| {
                    cluster.cut_from_worker(leader, machine_name(m), LinkFault::Drop)
                });
            }
            Route::Direct => {}
        }
    }
}

/// Cases of each route: in steps of a quarter of a heartbeat interval they cover all times from
/// at once to past the lease bound, in an order that mixes them with the other choices.
const CASES_PER_ROUTE: u64 = 44;

/// Invariant of aborts: the state service refuses the leader alone, another controller confirms
/// an abort, then the state service is down for everybody for longer than `cancel_s`, while the
/// workers still send their heartbeats to the old leader. Varied: the time from the refusal to
/// the confirmation (to past the lease bound) and on to the outage; 503 and silence; outages
/// shorter and longer than the leases; a refusal that ends before, during and after the outage;
/// the route of the heartbeats; a crash of the confirming controller; a machine that hangs late
/// in its lease; a leader that stalls; clocks that differ (odd seeds). Jobs that were not aborted
/// run again.
fn check_abort_before_an_outage(route: Route) {
    let mut confirmed = 0;
    for case in 0..CASES_PER_ROUTE {
        let mut cluster = loaded_cluster(12_000 + 3 * case + route as u64);
        cluster.scale_in_disabled = case % 5 != 0;
        let old = cluster.leader().unwrap();
        let (one, other) = ((old + 1) % 3, (old + 2) % 3);
        route.partition(&mut cluster, old);
        let silent = case % 2 == 1;
        refuse_controller(&mut cluster, old, silent);
        // From at once to past the lease bound, in steps of less than a heartbeat interval.
        cluster.run_for_ms(case * 37 % 66 * (REPORT_MS / 4) + case % 7);
        let is_confirmed = abort_within(&mut cluster, &[one, other], &job_id(1), 2_500);
        cluster.run_for_ms([0, 1, 40, 400, REPORT_MS][case as usize % 5]);
        cluster.state.down = true;
        confirmed += u64::from(is_confirmed);
        let began = cluster.now;
        match case / 2 % 4 {
            0 => cluster.crash_for_ms(one, 200),
            1 => cluster.hang_machine(&machine_name(case as usize % 6), LEASE_MS),
            2 => cluster.stall(old, LEASE_MS + 3_000 + case % 400),
            _ => {}
        }
        let outage = if case % 4 == 0 { LEASE_MS / 2 } else { CANCEL_MS + 4_000 };
        match case / 5 % 3 {
            0 => serve_controller_again(&mut cluster, old),
            1 => {
                cluster.run_for_ms(outage / 2);
                serve_controller_again(&mut cluster, old);
            }
            _ => {}
        }
        cluster.run_for_ms((began + outage).saturating_sub(cluster.now));
        cluster.state.down = false;
        cluster.run_for_ms(REPORT_MS);
        serve_controller_again(&mut cluster, old);
        cluster.run_for_ms(CANCEL_MS);
        cluster.check_invariants();
        cluster.heal_links();
        cluster.scale_in_disabled = false;
        if is_confirmed {
            assert!(cluster.live_tasks(&job_id(1)).is_empty(), "case {case}");
            for n in 0..3 {
                let poll = cluster.query(n, &job_id(1));
                cluster.run_for_ms(1_500);
                assert!(cluster.status_code(poll) != 404);
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
fn abort_holds_when_an_outage_follows_leader_refusal_with_direct_heartbeats() {
    check_abort_before_an_outage(Route::Direct);
}

/// Heartbeats reach the refused leader through its siblings.
#[test]
fn abort_holds_when_an_outage_follows_leader_refusal_with_relayed_heartbeats() {
    check_abort_before_an_outage(Route::Relay);
}

/// A sibling renews the leases of half of the workers for the refused leader.
#[test]
fn abort_holds_when_an_outage_follows_leader_refusal_with_a_lease_proxy() {
    check_abort_before_an_outage(Route::Proxy);
}

/// The controller that confirms an abort notifies the others over the mesh: a leader that the
/// state service refuses stops the tasks within a round, not when leases expire.
#[test]
fn refused_leader_stops_aborted_tasks_when_a_sibling_notifies_it() {
    let mut gone = Vec::new();
    for case in 0..24u64 {
        let mut cluster = loaded_cluster(12_700 + case);
        cluster.scale_in_disabled = true;
        let old = cluster.leader().unwrap();
        refuse_controller(&mut cluster, old, case % 2 == 1);
        cluster.run_for_ms(case * 23);
        if !abort_within(&mut cluster, &[(old + 1 + case as usize / 2 % 2) % 3], &job_id(1), 1_500)
        {
            continue;
        }
        cluster.state.down = true;
        let confirmed_at = cluster.now;
        cluster.run_until(2 * REPORT_MS, "the tasks of the aborted job are gone", |cluster| {
            cluster.live_tasks(&job_id(1)).is_empty()
        });
        gone.push(cluster.now - confirmed_at);
        cluster.run_for_ms(CANCEL_MS);
        cluster.state.down = false;
        serve_controller_again(&mut cluster, old);
        cluster.run_until_running(90_000, &job_id(2), 3);
        cluster.assert_no_accepted_job_is_lost();
    }
    gone.sort_unstable();
    println!("ms from the confirmation until all tasks were gone: {gone:?}");
    assert!(gone.len() > 16, "{gone:?}");
}

/// The leader confirms an abort and crashes before carrying it out; its successor begins recovery,
/// and the state service fails while the workers send heartbeats to the successor, which does not
/// know yet what was aborted.
#[test]
fn recovering_leader_renews_no_lease_during_an_outage() {
    for case in 0..60u64 {
        let mut cluster = loaded_cluster(12_500 + case);
        cluster.scale_in_disabled = true;
        // Recovery takes many reads.
        cluster.state.max_list_keys = Some(1);
        let old = cluster.leader().unwrap();
        (0..6).for_each(|m| cluster.cut_from_worker(old, machine_name(m), LinkFault::Drop));
        cluster.run_for_ms(REPORT_MS * 3);
        let request = cluster.abort(old, &job_id(1));
        while cluster.status_code(request) != 200 {
            cluster.run_for_ms(1);
        }
        cluster.crash(old);
        cluster.run_until_leader_changes(20_000, old);
        cluster.run_for_ms(1 + case % 12);
        cluster.state.down = true;
        cluster.run_for_ms(CANCEL_MS + LEASE_MS);
        cluster.state.down = false;
        cluster.check_invariants();
        cluster.heal_links();
        cluster.scale_in_disabled = false;
        cluster.start_controller(old);
        cluster.run_until_running(90_000, &job_id(2), 3);
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// The write of an abort gets no answer and is applied late: the leader reads that the job lives,
/// another controller reads that it is aborted, and then the leader loses the state service. The
/// leader stops the tasks because an abort was requested, whatever becomes of the record.
#[test]
fn abort_takes_effect_when_its_write_is_applied_late() {
    for case in 0..40u64 {
        let mut cluster = Cluster::new(3, 6, 0.0, 12_600 + case);
        cluster.run_until_fully_activated();
        (cluster.scale_in_disabled, cluster.keep_idle_machines) = (true, true);
        cluster.task_duration_ms = (1..3).map(|n| (job_id(n), 600_000)).collect();
        cluster.submit_until_accepted(&job(&job_id(2), JobKind::Service, 3));
        // Its placement has records of its own, whose writes leave the job record as it is.
        cluster.submit_until_accepted(&job(&job_id(1), JobKind::Array, 70));
        cluster.run_until(20_000, "all tasks run", |cluster| {
            cluster.live_tasks(&job_id(1)).len() == 9 && cluster.live_tasks(&job_id(2)).len() == 3
        });
        let old = cluster.leader().unwrap();
        let other = (old + 1) % 3;
        let late = 2_500 + case * 170;
        cluster.state.delayed_writes = Some(RandomDelay { share: 1.0, from_ms: late, to_ms: late });
        cluster.abort(old, &job_id(1));
        cluster.run_for_ms(100);
        cluster.state.delayed_writes = None;
        // The leader reaches the state service and its workers, and no sibling.
        for n in (0..3).filter(|n| *n != old) {
            cluster.cut_controllers(old, n, LinkFault::Drop);
        }
        cluster.run_for_ms(late - 100);
        for _ in 0..20 {
            if cluster.observed_status[&job_id(1)] == JobStatus::Aborted {
                break;
            }
            cluster.query(other, &job_id(1));
            cluster.run_for_ms(50);
        }
        // Then the leader loses the state service too, before it rereads its live jobs.
        cluster.run_for_ms(case % 8 * 600);
        refuse_controller(&mut cluster, old, false);
        cluster.state.down = true;
        cluster.run_for_ms(CANCEL_MS + LEASE_MS);
        cluster.state.down = false;
        serve_controller_again(&mut cluster, old);
        cluster.heal_links();
        cluster.check_invariants();
        cluster.abort_until_confirmed(&job_id(1));
        cluster.run_for_ms(CANCEL_MS);
        assert!(cluster.live_tasks(&job_id(1)).is_empty());
        cluster.run_until_running(90_000, &job_id(2), 3);
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// Short and long jobs, some of them aborted and all of them queried at every controller, while
/// `inject` is called each fifth of a second. All that was not aborted is done in the end.
fn run_jobs_under_fault(seed: u64, mut inject: impl FnMut(&mut Cluster, u64)) {
    let mut cluster = Cluster::activated(8, 0.0, seed, 1_000);
    cluster.scale_out_disabled = false;
    let spec = |n: u32| job(&job_id(n), JobKind::Array, 1 + n % 3);
    for n in 0..12 {
        // Tasks of one job end far apart.
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

/// The state service is seconds late: answers arrive out of order, users repeat unanswered
/// requests at other controllers, and nobody gets an older answer than before.
#[test]
fn answers_never_go_back_under_a_slow_state_service() {
    for case in 0..18u64 {
        let slow = [300, 900, 2_500][case as usize % 3];
        run_jobs_under_fault(12_800 + case, |cluster, turn| {
            cluster.state.extra_latency_ms = if (10..60).contains(&turn) { slow } else { 0 };
        });
    }
}

/// Writes of every kind of record get no answer and are applied 2 to 12 s later, after newer ones,
/// also after their writer has crashed and restarted: acceptances, completions, aborts,
/// placements, batches, proxy claims, the epoch record.
#[test]
fn jobs_complete_when_delayed_writes_outlive_their_writer() {
    for case in 0..24u64 {
        run_jobs_under_fault(12_900 + case, |cluster, turn| {
            let share = [0.1, 0.3, 0.6][case as usize % 3];
            let late = RandomDelay { share, from_ms: 2_000, to_ms: 12_000 };
            cluster.state.delayed_writes = (5..65).contains(&turn).then_some(late);
            if turn % 20 == 15 + case % 5 {
                let who = cluster.leader().map_or(0, |l| (l + case as usize / 3 % 2) % 3);
                cluster.crash_for_ms(who, 200);
            }
        });
    }
}

/// A failover is interrupted at each of its writes and at each of the first writes after it: all
/// controllers crash, and restart within a fraction of a second or after a while.
#[test]
fn recovery_survives_a_crash_of_all_controllers_at_each_write() {
    for case in 0..36u64 {
        let mut cluster = loaded_cluster(13_000 + case);
        let leader = cluster.leader().unwrap();
        cluster.submit(leader, &job(&job_id(10), JobKind::Array, 4));
        cluster.run_for_ms(3 + case % 40);
        cluster.crash_for_ms(leader, [200, 5_000][case as usize % 2]);
        let stop = cluster.state.writes + case / 2;
        for _ in 0..3_000 {
            if cluster.state.writes >= stop {
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
        cluster.run_for_ms(CANCEL_MS);
        cluster.run_until_running(90_000, &job_id(2), 3);
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// A machine hangs between two orders of one call and continues late in its lease, when the task
/// of the second order has been aborted or started elsewhere.
#[test]
fn no_stale_order_takes_effect_when_a_machine_hangs_mid_call() {
    let mut hung = 0;
    for case in 0..36u64 {
        let mut cluster = Cluster::new(3, 4, 0.0, 13_100 + case);
        cluster.run_for_ms(2_000);
        cluster.scale_in_disabled = case % 2 == 0;
        cluster.scale_out_disabled = false;
        cluster.task_duration_ms = (1..4).map(|n| (job_id(n), 9_000)).collect();
        let hang = 500 + case * (LEASE_MS / 30);
        for m in 0..2 {
            let worker = cluster.workers.get_mut(&machine_name(m)).unwrap();
            let after_orders = case as usize / 2 % 2;
            worker.hang_mid_call = Some(MidCallHang { after_orders, for_ms: hang });
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
        cluster.run_for_ms(CANCEL_MS + LEASE_MS);
        for n in 2..4 {
            cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 3));
            cluster.run_until_done(&job_id(n), 120_000);
        }
        cluster.assert_no_accepted_job_is_lost();
        let has_hung = |machine: &usize| {
            let worker = cluster.workers.get(&machine_name(*machine));
            worker.is_none_or(|worker| worker.hang_mid_call.is_none())
        };
        hung += (0..2).filter(has_hung).count();
    }
    assert!(hung > 36, "{hung} machines hung within a call");
}
