//! Status queries: no job goes without an answer for long once faults are over, however loaded the
//! leader is.

use crate::cluster::{job, job_id, Cluster};
use quartzgate_wire::msg::JobKind;

/// Time within which every accepted job must have a query answered.
const MAX_UNANSWERED_MS: u64 = 75_000;
/// Interval at which users query each job.
const QUERY_INTERVAL_MS: u64 = 3_000;
/// Total time for which users send queries.
const QUERYING_MS: u64 = 150_000;

/// Submits jobs to the leader until all are accepted, and returns their names. The jobs wait for a
/// machine.
fn accept_jobs(cluster: &mut Cluster, count: u32) -> Vec<String> {
    let ids: Vec<String> = (1..=count).map(job_id).collect();
    for _ in 0..60 {
        let is_accepted = |cluster: &Cluster, id: &String| cluster.observed_status.contains_key(id);
        let unaccepted: Vec<&String> = ids.iter().filter(|id| !is_accepted(cluster, id)).collect();
        let Some(leader) = cluster.leader() else { continue };
        for id in unaccepted {
            cluster.submit(leader, &job(id, JobKind::Array, 1));
            cluster.run_for_ms(2);
        }
        cluster.run_for_ms(1_000);
    }
    assert_eq!(cluster.observed_status.len(), ids.len(), "all jobs are accepted");
    ids
}

/// Returns the longest time for which a job had no query answered while the leader sheds load and
/// its followers answer from the state service alone.
fn longest_unanswered_with_shedding_leader_ms(cluster: &mut Cluster, ids: &[String]) -> u64 {
    let leader = cluster.leader().unwrap();
    let followers: Vec<usize> = (0..cluster.controller_count()).filter(|n| *n != leader).collect();
    cluster.shedding_controllers.insert(leader);
    let longest_ms = cluster.longest_unanswered_ms(ids, &followers, QUERY_INTERVAL_MS, QUERYING_MS);
    cluster.assert_no_violations();
    longest_ms
}

#[test]
fn no_batched_job_goes_unanswered_while_the_leader_sheds_queries() {
    let mut cluster = Cluster::new(3, 0, 0.0, 52_001);
    cluster.restart_with_job_batches(true);
    let ids = accept_jobs(&mut cluster, 1_500);
    let longest_ms = longest_unanswered_with_shedding_leader_ms(&mut cluster, &ids);
    assert!(longest_ms < MAX_UNANSWERED_MS, "a job went unanswered for {longest_ms} ms");
}

#[test]
fn no_recorded_job_goes_unanswered_while_the_leader_sheds_queries() {
    let mut cluster = Cluster::new(3, 0, 0.0, 52_002);
    cluster.disable_job_batches();
    cluster.run_for_ms(6_000);
    let ids = accept_jobs(&mut cluster, 1_500);
    let longest_ms = longest_unanswered_with_shedding_leader_ms(&mut cluster, &ids);
    assert!(longest_ms < MAX_UNANSWERED_MS, "a job went unanswered for {longest_ms} ms");
}
