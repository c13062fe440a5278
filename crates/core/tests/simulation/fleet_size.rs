//! The largest fleet that every limit allows for: no limit on a count causes an entry to be
//! dropped.

use quartzgate_core::capacity::MIN_FLEET;
use quartzgate_core::records::RecordedStatus;
use quartzgate_wire::msg::JobKind;

use crate::cluster::{job, Cluster, LinkFault, UnansweredWrite, WriteFault, WORKER_LEASE_MS};

const JOB: &str = "wk-000001";

/// Returns a cluster whose machines have all registered with the leader and are in their first
/// agent epoch.
fn registered_fleet(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(3, MIN_FLEET, 0.0, seed);
    cluster.keep_idle_machines = true;
    cluster.restart_all_controllers();
    cluster.run_until(60_000, "all machines are registered", |cluster| {
        let registered = cluster.workers.values().all(|worker| worker.fencing_token > 0);
        cluster.leader().is_some() && registered
    });
    let leader = cluster.leader().unwrap();
    send_all_heartbeats_to(&mut cluster, leader);
    cluster.run_for_ms(2_000);
    assert_no_lease_expired(&cluster);
    cluster
}

fn any_follower(cluster: &Cluster) -> usize {
    (cluster.leader().unwrap() + 1) % cluster.controller_count()
}

fn send_all_heartbeats_to(cluster: &mut Cluster, node: usize) {
    cluster.workers.values_mut().for_each(|worker| worker.controller = node);
}

/// Asserts that no machine has lost its lease or been returned.
fn assert_no_lease_expired(cluster: &Cluster) {
    let expired = cluster.workers.values().filter(|worker| worker.agent_epoch > 1).count();
    assert_eq!(expired, 0, "agent epochs ended; violations: {:?}", cluster.violations);
    assert_eq!(cluster.workers.len(), MIN_FLEET);
}

fn total_starts(cluster: &Cluster) -> usize {
    cluster.task_starts.values().map(Vec::len).sum()
}

/// Submits an array of 60 tasks that each run for `task_duration_ms`, and waits until all run.
fn run_array(cluster: &mut Cluster, task_duration_ms: u64) {
    cluster.task_duration_ms.insert(JOB.into(), task_duration_ms);
    cluster.submit_until_accepted(&job(JOB, JobKind::Array, 60));
    cluster.run_until_running(20_000, JOB, 60);
}

/// A leader that stalled for longer than a heartbeat interval receives a heartbeat from every
/// machine, and must hold them all until it knows that it still leads.
#[test]
fn stalled_leader_holds_a_heartbeat_of_every_machine() {
    let mut cluster = registered_fleet(30_001);
    let (leader, redirects_before) = (cluster.leader().unwrap(), cluster.redirects);
    cluster.stall(leader, 1_400);
    cluster.run_for_ms(4_000);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.redirects - redirects_before, 0, "redirected after the stall");
    assert_no_lease_expired(&cluster);
    cluster.assert_no_violations();
}

/// A follower that receives the heartbeats of the whole fleet must redirect the machines of the
/// other zone to the leader after two leases, for which it remembers since when each of them has
/// sent heartbeats to it.
#[test]
fn follower_remembers_every_out_of_zone_worker() {
    let mut cluster = registered_fleet(30_002);
    let (leader, follower) = (cluster.leader().unwrap(), any_follower(&cluster));
    // The follower restarts, so that it remembers no machine.
    cluster.crash_for_ms(follower, 100);
    cluster.run_for_ms(1_500);
    send_all_heartbeats_to(&mut cluster, follower);
    cluster.run_for_ms(2 * WORKER_LEASE_MS + 5_000);
    let of_other_zone = || cluster.workers.values().filter(|worker| worker.zone == "b");
    let at_follower = of_other_zone().filter(|worker| worker.controller == follower).count();
    // Some machines return to the follower later and are still within their two leases.
    assert!(
        at_follower < MIN_FLEET / 20,
        "{at_follower} machines of the other zone are still at the follower"
    );
    let at_leader = of_other_zone().filter(|worker| worker.controller == leader).count();
    assert!(
        at_leader > 3 * MIN_FLEET / 8,
        "only {at_leader} machines of the other zone are at the leader"
    );
    assert_no_lease_expired(&cluster);
    cluster.assert_no_violations();
}

/// The leader is cut from all workers and from its peers, and one follower serves the whole fleet
/// as its lease proxy. Heartbeats wait for the follower's claim, none is redirected, and the
/// completions of tasks on every machine reach the leader through the mailbox.
#[test]
fn lease_proxy_keeps_the_whole_fleet() {
    let mut cluster = registered_fleet(30_003);
    let (leader, proxy) = (cluster.leader().unwrap(), any_follower(&cluster));
    run_array(&mut cluster, 20_000);
    send_all_heartbeats_to(&mut cluster, proxy);
    cluster.run_for_ms(1_500);
    let redirects_before = cluster.redirects;
    cluster.cut_from_all_workers.insert(leader);
    for node in (0..cluster.controller_count()).filter(|node| *node != leader) {
        cluster.cut_controllers(leader, node, LinkFault::Drop);
    }
    cluster.run_for_ms(5_000);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.redirects - redirects_before, 0, "redirected during the cut");
    cluster.run_until(100_000, "the leader learns all completions", |cluster| {
        cluster.recorded_status(JOB) == Some(RecordedStatus::Done)
    });
    assert_no_lease_expired(&cluster);
    cluster.heal_links();
    cluster.cut_from_all_workers.clear();
    cluster.run_for_ms(5_000);
    cluster.assert_no_violations();
}

/// When another controller becomes leader while every machine holds its lease, no machine may lose
/// its lease.
#[test]
fn failover_keeps_every_agent_epoch() {
    let mut cluster = registered_fleet(30_004);
    run_array(&mut cluster, 30_000);
    let old_leader = cluster.leader().unwrap();
    cluster.crash_for_ms(old_leader, 6_000);
    cluster.run_until(20_000, "another leads", |cluster| {
        cluster.leader().is_some_and(|leader| leader != old_leader)
    });
    cluster.run_until_done(JOB, 60_000);
    assert_no_lease_expired(&cluster);
    assert_eq!(total_starts(&cluster), 60, "each task started once");
    cluster.assert_no_violations();
}

/// All controllers crash at once and restart within a heartbeat interval; no machine may lose its
/// lease.
#[test]
fn restart_of_all_controllers_keeps_every_agent_epoch() {
    let mut cluster = registered_fleet(30_005);
    run_array(&mut cluster, 30_000);
    for node in 0..cluster.controller_count() {
        cluster.crash_for_ms(node, 200);
    }
    cluster.run_until_done(JOB, 60_000);
    assert_no_lease_expired(&cluster);
    assert_eq!(total_starts(&cluster), 60, "each task started once");
    cluster.assert_no_violations();
}

/// As many simultaneous status queries as there are machines in the largest fleet are all answered
/// and counted in the latency metric.
#[test]
fn flood_of_status_queries_is_answered() {
    const QUERIES: &str = "latency_ms.poll.count";
    let mut cluster = Cluster::new(3, 8, 0.0, 30_006);
    cluster.run_for_ms(2_500);
    cluster.task_duration_ms.insert(JOB.into(), 60_000);
    cluster.submit_until_accepted(&job(JOB, JobKind::Array, 4));
    cluster.run_until_running(10_000, JOB, 4);
    let leader = cluster.leader().unwrap();
    let measured =
        |cluster: &mut Cluster| cluster.metrics_of(leader).get(QUERIES).copied().unwrap_or(0.0);
    let measured_before = measured(&mut cluster);
    let queries: Vec<usize> = (0..MIN_FLEET).map(|_| cluster.query(leader, JOB)).collect();
    cluster.run_for_ms(2_000);
    let answered = queries.iter().filter(|query| cluster.status_code(**query) == 200).count();
    assert_eq!(answered, MIN_FLEET);
    assert_eq!(measured(&mut cluster) - measured_before, MIN_FLEET as f64);
    cluster.assert_no_violations();
}

/// The writes of acceptances get no answer and are applied later, for as many jobs as the write
/// rate allows within a lease bound. Each job must be found on record and must run.
#[test]
fn every_indeterminate_submission_is_found() {
    const JOBS: u32 = 560;
    let mut cluster = Cluster::new(3, 40, 0.0, 30_007);
    cluster.keep_idle_machines = true;
    cluster.disable_job_batches();
    cluster.run_for_ms(6_000);
    let leader = cluster.leader().unwrap();
    cluster.state.handoff_watch_silent = true;
    let outcome = UnansweredWrite::AppliedAfterMs(12_000);
    let fault = WriteFault { key_prefix: "jobs/", outcome, remaining: JOBS };
    cluster.state.write_faults.push(fault);
    for n in 0..JOBS {
        cluster.submit(leader, &job(&format!("wk-{n:06}"), JobKind::Array, 1));
        cluster.run_for_ms(22);
    }
    cluster.state.write_faults.clear();
    cluster.run_for_ms(60_000);
    assert_eq!(cluster.leader(), Some(leader));
    let ids = || (0..JOBS).map(|n| format!("wk-{n:06}"));
    let recorded: Vec<String> = ids().filter(|id| cluster.recorded_status(id).is_some()).collect();
    assert!(recorded.len() > 500, "only {} are recorded", recorded.len());
    let lost = recorded.iter().filter(|id| !cluster.completed_tasks.contains_key(*id)).count();
    assert_eq!(lost, 0, "recorded jobs that were not run");
    cluster.assert_no_violations();
}
