//! Starts after a confirmed abort: whoever confirms an abort, no leader that doesn't know it may
//! start a task of the job afterwards. The cluster checks this at each start that leaves a leader,
//! without any allowance of time; the tests bring about the situations in which it is in danger, and
//! those in which the protection must not cost starts.

use crate::cluster::{
    job, job_id, machine_name, Cluster, Endpoint, LinkFault, ABORT_DEADLINE_MS,
    HEARTBEAT_INTERVAL_MS, WORKER_LEASE_MS,
};
use quartzgate_wire::msg::JobKind;

/// How the leader loses the state service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreCut {
    Refused,
    Link(LinkFault),
    Slow,
    None,
}

const STORE_CUTS: [StoreCut; 5] = [
    StoreCut::Refused,
    StoreCut::Link(LinkFault::Drop),
    StoreCut::Link(LinkFault::Hold),
    StoreCut::Slow,
    StoreCut::None,
];

fn cut_store(cluster: &mut Cluster, leader: usize, cut: StoreCut) {
    match cut {
        StoreCut::Refused => drop(cluster.state.refused_nodes.insert(leader)),
        StoreCut::Link(fault) => cluster.cut_controller_from_state_service(leader, fault),
        StoreCut::Slow => cluster.state.extra_latency_ms = 900,
        StoreCut::None => {}
    }
}

/// Returns a cluster of one machine that runs one job; a second job waits for it with its
/// placement recorded.
fn cluster_with_waiting_job(seed: u64) -> Cluster {
    let mut cluster = Cluster::activated(1, 0.0, seed, 1_000);
    cluster.scale_in_disabled = true;
    for n in [1, 2] {
        let mut spec = job(&job_id(n), JobKind::Array, 1);
        spec.cpus = 8.0;
        cluster.task_duration_ms.insert(job_id(n), 3_600_000);
        cluster.submit_until_accepted(&spec);
        if n == 1 {
            cluster.run_until_running(10_000, &job_id(1), 1);
        }
    }
    cluster.run_for_ms(1_000);
    cluster
}

/// Ends the running task of the first job, so that its machine has free capacity.
fn end_first_job(cluster: &mut Cluster) {
    let machine = cluster.live_tasks(&job_id(1))[0].machine.clone();
    let now = cluster.now;
    let task = format!("{}/0", job_id(1));
    cluster.workers.get_mut(&machine).unwrap().tasks.get_mut(&task).unwrap().ends_ms = now;
}

/// Aborts the waiting job at a controller, again each second until it is confirmed.
fn abort_waiting_job(cluster: &mut Cluster, node: usize) {
    for _ in 0..20 {
        let request = cluster.abort(node, &job_id(2));
        for _ in 0..500 {
            cluster.run_for_ms(10);
            if cluster.status_code(request) != 0 {
                break;
            }
        }
        if cluster.status_code(request) == 200 {
            return;
        }
        cluster.run_for_ms(1_000);
    }
    panic!("seed {}: the abort is not confirmed", cluster.seed);
}

/// Guards against a leader without a connection to the other controllers, and to the state service
/// in several ways, that starts a waiting job after another controller has confirmed its abort.
#[test]
fn cut_off_leader_starts_nothing_after_a_confirmed_abort() {
    for (case, cut) in (0..).zip(STORE_CUTS) {
        for peers in [LinkFault::Drop, LinkFault::Hold] {
            for delay_ms in [0, 300, 900] {
                let mut cluster = cluster_with_waiting_job(62_000 + case);
                let leader = cluster.leader().unwrap();
                cut_store(&mut cluster, leader, cut);
                cluster.cut_controllers(leader, (leader + 1) % 3, peers);
                cluster.cut_controllers(leader, (leader + 2) % 3, peers);
                cluster.run_for_ms(delay_ms);
                abort_waiting_job(&mut cluster, (leader + 1) % 3);
                end_first_job(&mut cluster);
                cluster.run_for_ms(2 * WORKER_LEASE_MS);
                cluster.clear_all_faults();
                cluster.run_for_ms(ABORT_DEADLINE_MS);
                assert!(!cluster.task_starts.contains_key("wk-000002/0"), "{cut:?} {peers:?}");
                cluster.assert_no_violations();
            }
        }
    }
}

/// Guards against a start after any controller's answer that shows an abort: not only the one that
/// recorded it tells users, but also others that read it, and the next leader.
#[test]
fn no_start_follows_an_abort_that_another_controller_reports() {
    for seed in 62_100..62_130u64 {
        let mut cluster = cluster_with_waiting_job(seed);
        let leader = cluster.leader().unwrap();
        let (recorder, reader) = ((leader + 1) % 3, (leader + 2) % 3);
        cluster.cut_controllers(leader, recorder, LinkFault::Drop);
        if seed % 2 == 0 {
            cluster.cut_controllers(leader, reader, LinkFault::Drop);
        }
        if seed % 3 > 0 {
            cluster.cut_controller_from_state_service(leader, LinkFault::Hold);
        }
        cluster.run_for_ms(seed * 37 % 1_500);
        cluster.abort(recorder, &job_id(2));
        // The other controller is asked at once, and again until it shows the abort.
        let mut queries = Vec::new();
        for _ in 0..60 {
            queries.push(cluster.query(reader, &job_id(2)));
            cluster.run_for_ms(50);
            if cluster.abort_confirmed_at.contains_key(&job_id(2)) {
                break;
            }
        }
        end_first_job(&mut cluster);
        cluster.run_for_ms(2 * WORKER_LEASE_MS);
        cluster.clear_all_faults();
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        cluster.assert_no_violations();
    }
}

/// Guards against starts by a leader that is refused by the state service while it reaches the
/// other controllers: it acknowledges the abort, and the confirmation doesn't wait for more.
#[test]
fn reachable_leader_acknowledges_an_abort_at_once() {
    let mut cluster = cluster_with_waiting_job(62_200);
    let leader = cluster.leader().unwrap();
    cluster.state.refused_nodes.insert(leader);
    cluster.run_for_ms(100);
    let request = cluster.abort((leader + 1) % 3, &job_id(2));
    cluster.run_until(600, "the abort is confirmed", |cluster| cluster.status_code(request) == 200);
    end_first_job(&mut cluster);
    cluster.run_for_ms(ABORT_DEADLINE_MS);
    assert!(!cluster.task_starts.contains_key("wk-000002/0"));
    cluster.assert_no_violations();
}

/// Guards against a start that a stalled leader decided before an abort was confirmed and sends
/// afterwards.
#[test]
fn stalled_leader_sends_no_start_that_it_decided_before_an_abort() {
    for seed in 62_300..62_324u64 {
        let mut cluster = cluster_with_waiting_job(seed);
        let leader = cluster.leader().unwrap();
        end_first_job(&mut cluster);
        cluster.run_for_ms(seed % 24 * 2);
        cluster.stall_in_round(leader, 5_000 + seed % 5 * 700);
        cluster.run_for_ms(200);
        abort_waiting_job(&mut cluster, (leader + 1) % 3);
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        cluster.assert_no_violations();
    }
}

/// Guards against lost starts in an outage of the state service, in which nobody can record an
/// abort: the leader starts waiting tasks as long as its lease bound allows.
#[test]
fn leader_starts_tasks_during_an_outage_of_the_state_service() {
    for seed in 62_400..62_408u64 {
        let mut cluster = cluster_with_waiting_job(seed);
        cluster.state.down = true;
        // Well beyond the start lease, and within the lease bound.
        cluster.run_for_ms(4_000 + seed % 8 * 1_000);
        let ended_at_ms = cluster.now;
        end_first_job(&mut cluster);
        cluster.run_until(3_000, "the waiting job starts", |cluster| {
            cluster.task_starts.contains_key("wk-000002/0")
        });
        assert!(cluster.now < ended_at_ms + 1_500, "{} ms", cluster.now - ended_at_ms);
        cluster.clear_all_faults();
        cluster.run_for_ms(WORKER_LEASE_MS);
        cluster.assert_no_violations();
    }
}

/// Guards against lost starts while a follower is down: reads of the handoff queue stand in for its
/// grant.
#[test]
fn leader_starts_tasks_while_a_follower_is_down() {
    for seed in 62_500..62_508u64 {
        let mut cluster = cluster_with_waiting_job(seed);
        let leader = cluster.leader().unwrap();
        cluster.crash((leader + 1) % 3);
        cluster.run_for_ms(6_000 + seed % 8 * 300);
        end_first_job(&mut cluster);
        cluster.run_until(1_000, "the waiting job starts", |cluster| {
            cluster.task_starts.contains_key("wk-000002/0")
        });
        cluster.assert_no_violations();
    }
}

/// Guards against starts that are relayed or mailed after a confirmed abort.
#[test]
fn no_relayed_or_mailed_start_follows_a_confirmed_abort() {
    for seed in 62_600..62_624u64 {
        let mut cluster = Cluster::activated(2, 0.0, seed, 1_000);
        cluster.scale_in_disabled = true;
        let leader = cluster.leader().unwrap();
        let proxy = (leader + 1) % 3;
        for machine in 0..2 {
            cluster.cut_controller_from_worker(leader, machine_name(machine), LinkFault::Drop);
            let other = Endpoint::Controller((leader + 2) % 3);
            cluster.cut_link(other, Endpoint::Worker(machine_name(machine)), LinkFault::Drop);
        }
        if seed % 2 == 0 {
            cluster.cut_controllers(leader, proxy, LinkFault::Drop);
        }
        cluster.run_for_ms(2 * WORKER_LEASE_MS);
        for n in 1..13 {
            cluster.task_duration_ms.insert(job_id(n), 1_500);
            cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 2));
        }
        let delay_ms = seed * 53 % (2 * HEARTBEAT_INTERVAL_MS);
        cluster.run_for_ms(delay_ms);
        if seed % 3 == 0 {
            cluster.cut_controllers(leader, (leader + 2) % 3, LinkFault::Hold);
        }
        for n in (1..13).step_by(2) {
            cluster.abort((leader + 2) % 3, &job_id(n));
            cluster.run_for_ms(seed * 7 % 400);
        }
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        cluster.clear_all_faults();
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        cluster.assert_no_violations();
    }
}
