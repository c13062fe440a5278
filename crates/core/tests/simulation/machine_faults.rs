//! Faulty machines, and jobs that fail on every machine.

use crate::cluster::{job, Cluster};
use quartzgate_wire::msg::JobKind;

/// A machine on which every task fails is quarantined, and its work is done elsewhere.
#[test]
fn faulty_machine_is_quarantined_when_all_its_tasks_fail() {
    let mut cluster = Cluster::new(3, 4, 0.0, 1300);
    cluster.run_for_ms(500);
    cluster.workers.get_mut("vm-000001").unwrap().fails_all_tasks = true;
    for n in 1..5 {
        cluster.submit_until_accepted(&job(&format!("wk-00000{n}"), JobKind::Array, 8));
    }
    for n in 1..5 {
        cluster.run_until_done(&format!("wk-00000{n}"), 60_000);
    }
    cluster.assert_no_violations();
}

/// Fault attribution: jobs that fail on every machine are retried seldom and do not cause healthy
/// machines to be returned; other jobs proceed meanwhile, and a machine that is really faulty is
/// still detected.
#[test]
fn healthy_machines_are_kept_when_misconfigured_jobs_fail() {
    for faulty in [false, true] {
        let mut cluster = Cluster::new(3, 8, 0.0, 1350);
        cluster.run_for_ms(500);
        cluster.workers.get_mut("vm-000003").unwrap().fails_all_tasks = faulty;
        for n in 1..5 {
            let id = format!("wk-00000{n}");
            cluster.failing_jobs.insert(id.clone(), 0);
            cluster.submit_until_accepted(&job(&id, JobKind::Array, 6));
        }
        cluster.run_for_ms(5_000);
        let failures_before: Vec<u32> = cluster.failing_jobs.values().copied().collect();
        for n in 1..5 {
            cluster.submit_until_accepted(&job(&format!("wk-00001{n}"), JobKind::Array, 8));
        }
        for n in 1..5 {
            cluster.run_until_done(&format!("wk-00001{n}"), 20_000);
        }
        cluster.run_for_ms(30_000);
        assert_eq!(
            cluster.workers.len(),
            if faulty { 7 } else { 8 },
            "only the faulty machine is returned"
        );
        assert_eq!(cluster.workers.contains_key("vm-000003"), !faulty);
        for (failed, failures_before) in cluster.failing_jobs.values().zip(failures_before) {
            assert!(
                failed - failures_before <= 8,
                "{failed} failures, {failures_before} of them early"
            );
        }
        for n in 1..5 {
            let abort = cluster.abort(0, &format!("wk-00000{n}"));
            cluster.run_for_ms(500);
            assert_eq!(cluster.status_code(abort), 200);
        }
        cluster.assert_no_violations();
    }
}
