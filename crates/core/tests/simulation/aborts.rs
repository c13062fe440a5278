//! Aborts that race starts, reads, refused writes and hanging machines.

use crate::cluster::{job, Cluster, LateRefusal, LinkFault, ABORT_DEADLINE_MS};
use quartzgate_wire::msg::{JobKind, JobStatus};

/// An abort races a start. In whatever order they arrive, the task must be gone in time and never
/// start again, and the reported state must stay the same.
#[test]
fn aborted_tasks_stop_when_an_abort_races_a_start() {
    for step in 0..20 {
        let mut cluster = Cluster::new(3, 4, 0.0, 600 + step);
        cluster.run_for_ms(1_500);
        cluster.task_duration_ms.insert("wk-000001".into(), 300_000);
        cluster.submit((step % 3) as usize, &job("wk-000001", JobKind::Array, 6));
        cluster.run_for_ms(1 + step * 3);
        cluster.abort_until_confirmed("wk-000001");
        cluster.run_for_ms(ABORT_DEADLINE_MS + 5_000);
        assert!(cluster.live_tasks("wk-000001").is_empty());
        assert_eq!(cluster.observed_status["wk-000001"], JobStatus::Aborted);
        cluster.assert_no_violations();
    }
}

/// An aborted task is on a hanging machine, which receives no order and cannot be relied on to end
/// its tasks when its lease expires. The machine must therefore be returned to the cloud.
#[test]
fn machine_is_returned_when_it_hangs_with_an_aborted_task() {
    let mut cluster = Cluster::new(3, 6, 0.0, 990);
    cluster.run_for_ms(500);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Service, 1));
    cluster.run_until_running(5_000, "wk-000001", 1);
    let machine = cluster.live_tasks("wk-000001")[0].machine.clone();
    // So many machines hang that silence alone does not cause any of them to be returned.
    let hung_until_ms = cluster.now + 120_000;
    let others: Vec<String> = cluster.workers.keys().filter(|n| **n != machine).cloned().collect();
    others[1..].iter().chain([&machine]).for_each(|n| {
        cluster.workers.get_mut(n).unwrap().hung_until_ms = hung_until_ms;
    });
    cluster.abort_until_confirmed("wk-000001");
    cluster.run_until(ABORT_DEADLINE_MS / 2, "the machine is gone", |cluster| {
        !cluster.workers.contains_key(&machine)
    });
    cluster.assert_no_violations();
}

/// Guards against a job that a stale read brings back: the leader learns of the job's abort after
/// it has sent a read, and the read returns the record as it was while the job was live.
#[test]
fn follower_abort_survives_a_stale_read_by_the_leader() {
    for step in 0..12 {
        let mut cluster = Cluster::new(3, 4, 0.0, 1_050 + step);
        cluster.max_delay_ms = 40;
        cluster.run_for_ms(1_500);
        let leader = cluster.leader().unwrap();
        let followers: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
        for n in &followers {
            cluster.cut_controllers(leader, *n, LinkFault::Drop);
        }
        cluster.run_for_ms(4_000);
        cluster.task_duration_ms.insert("wk-000001".into(), 300_000);
        cluster.submit(followers[0], &job("wk-000001", JobKind::Array, 3));
        cluster.run_for_ms(20 + step * 8);
        let deadline_ms = cluster.now + 10_000;
        while cluster.now < deadline_ms
            && cluster.observed_status.get("wk-000001") != Some(&JobStatus::Aborted)
        {
            cluster.abort(followers[1], "wk-000001");
            cluster.run_for_ms(15);
        }
        cluster.run_for_ms(ABORT_DEADLINE_MS + 3_000);
        assert!(cluster.live_tasks("wk-000001").is_empty());
        cluster.assert_no_violations();
    }
}

/// Terminal states are final (invariant 12): the write of the leader's own abort is refused, and
/// the refusal arrives after a follower has aborted the same job. The job must stay aborted.
#[test]
fn follower_abort_survives_a_late_refusal_of_the_leaders_abort() {
    let mut cluster = Cluster::new(3, 2, 0.0, 1760);
    cluster.run_for_ms(500);
    cluster.task_duration_ms.insert("wk-000001".into(), 600_000);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 2));
    cluster.run_until_running(5_000, "wk-000001", 2);
    let leader = cluster.leader().unwrap();
    // The machines hang, so that the tasks still exist when the refusal arrives.
    let hung_until_ms = cluster.now + 3_000;
    cluster.workers.values_mut().for_each(|m| m.hung_until_ms = hung_until_ms);
    cluster.state.late_refusal = Some(LateRefusal { node: leader, after_ms: 400 });
    cluster.abort(leader, "wk-000001");
    cluster.run_for_ms(60);
    let follower_abort = cluster.abort((leader + 1) % 3, "wk-000001");
    cluster.run_for_ms(1_000);
    assert_eq!(cluster.status_code(follower_abort), 200);
    cluster.state.late_refusal = None;
    cluster.run_for_ms(ABORT_DEADLINE_MS + 10_000);
    assert!(cluster.live_tasks("wk-000001").is_empty());
    cluster.assert_no_violations();
}
