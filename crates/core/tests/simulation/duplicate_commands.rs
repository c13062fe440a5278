//! Commands to workers that the network delivers a second time, seconds after they were carried
//! out. No copy may start an attempt again, whatever ended it and by whichever route the command
//! came.

use crate::cluster::{
    job, job_id, machine_name, Cluster, Endpoint, LinkFault, RandomDelay, HEARTBEAT_INTERVAL_MS,
    WORKER_LEASE_MS,
};
use quartzgate_wire::msg::{JobKind, Priority};

/// Delays of a copy: beyond the timeout of a command, and up to two leases.
const COPY_DELAY: RandomDelay =
    RandomDelay { share: 1.0, from_ms: 2_000, to_ms: 2 * WORKER_LEASE_MS };

/// Returns a cluster in which each command is delivered twice.
fn cluster_with_copies(workers: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::activated(workers, 0.0, seed, 1_000);
    cluster.duplicate_commands = Some(COPY_DELAY);
    cluster
}

/// Runs until all copies have arrived, and asserts that none had an effect.
fn assert_copies_have_no_effect(cluster: &mut Cluster) {
    cluster.run_for_ms(COPY_DELAY.to_ms + 2 * HEARTBEAT_INTERVAL_MS);
    assert!(cluster.duplicated_commands > 0, "no command was delivered twice");
    cluster.assert_no_violations();
}

/// Guards against a late copy of a start that starts a preempted task again while the task runs on
/// another machine.
#[test]
fn preempted_attempt_is_not_started_again_by_a_late_copy() {
    for seed in 61_000..61_012 {
        let mut cluster = cluster_with_copies(1, seed);
        cluster.boot_ms = 1_500..=2_000;
        cluster.scale_out_disabled = false;
        cluster.task_duration_ms = [(job_id(1), 60_000), (job_id(2), 5_000)].into();
        cluster.submit_until_accepted(&job(&job_id(1), JobKind::Array, 1));
        cluster.run_until_running(10_000, &job_id(1), 1);
        let first_machine = cluster.live_tasks(&job_id(1))[0].machine.clone();
        let mut urgent = job(&job_id(2), JobKind::Array, 1);
        (urgent.cpus, urgent.priority) = (8.0, Priority::High);
        cluster.submit_until_accepted(&urgent);
        cluster.run_until(20_000, "the preempted task runs elsewhere", |cluster| {
            cluster.live_tasks(&job_id(1)).iter().any(|live| live.machine != first_machine)
        });
        assert_copies_have_no_effect(&mut cluster);
    }
}

/// Guards against late copies of the starts of tasks that completed, failed or were aborted, and of
/// gangs that lost a member: none starts an attempt again.
#[test]
fn ended_attempts_are_not_started_again_by_late_copies() {
    for seed in 61_100..61_112 {
        let mut cluster = cluster_with_copies(4, seed);
        let (failing, aborted, gang) = (job_id(2), job_id(3), job_id(4));
        cluster.failing_jobs.insert(failing.clone(), 0);
        cluster.task_duration_ms =
            [(job_id(1), 1_000), (aborted.clone(), 60_000), (gang.clone(), 60_000)].into();
        cluster.submit_until_accepted(&job(&job_id(1), JobKind::Array, 4));
        cluster.submit_until_accepted(&job(&failing, JobKind::Array, 1));
        cluster.submit_until_accepted(&job(&aborted, JobKind::Array, 2));
        cluster.submit_until_accepted(&job(&gang, JobKind::Gang, 2));
        cluster.run_until_done(&job_id(1), 20_000);
        cluster.run_until_running(20_000, &aborted, 2);
        cluster.run_until_running(20_000, &gang, 2);
        cluster.abort_until_confirmed(&aborted);
        let member = cluster.live_tasks(&gang)[0].machine.clone();
        cluster.reboot_machine(&member, 500);
        assert_copies_have_no_effect(&mut cluster);
        cluster.abort_until_confirmed(&failing);
        cluster.abort_until_confirmed(&gang);
        assert_copies_have_no_effect(&mut cluster);
    }
}

/// Guards against late copies of commands that travelled through a relay or the mailbox, and of
/// commands of a leader that has since been replaced.
#[test]
fn relayed_and_mailed_commands_have_no_effect_when_delivered_twice() {
    for seed in 61_200..61_216 {
        let mut cluster = cluster_with_copies(4, seed);
        let leader = cluster.leader().unwrap();
        // Some machines reach only the other controllers. With half of the seeds these can't
        // reach the leader either, so that commands go by the mailbox.
        for machine in 0..2 {
            cluster.cut_controller_from_worker(leader, machine_name(machine), LinkFault::Drop);
        }
        if seed % 2 == 1 {
            let follower = (leader + 1) % 3;
            cluster.cut_controllers(leader, follower, LinkFault::Drop);
            for machine in 0..2 {
                let other = Endpoint::Controller((leader + 2) % 3);
                let machine = Endpoint::Worker(machine_name(machine));
                cluster.cut_link(other, machine, LinkFault::Drop);
            }
        }
        cluster.run_for_ms(WORKER_LEASE_MS);
        for n in 1..7 {
            cluster.task_duration_ms.insert(job_id(n), 1_000 + 700 * u64::from(n));
            cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 2));
        }
        cluster.abort_until_confirmed(&job_id(5));
        for n in (1..7).filter(|n| *n != 5) {
            cluster.run_until_done(&job_id(n), 90_000);
        }
        if seed % 4 < 2 {
            cluster.heal_links();
            cluster.crash_for_ms(leader, 3_000);
        }
        assert_copies_have_no_effect(&mut cluster);
    }
}

/// Guards against commands that only deliver a fencing token: fencing the starts of an attempt that
/// is forgotten costs no command of its own.
#[test]
fn fencing_forgotten_attempts_costs_no_commands() {
    let workers = 4;
    let mut cluster = Cluster::activated(workers, 0.0, 61_300, 1_000);
    for n in 1..21 {
        cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 3));
    }
    for n in 1..21 {
        cluster.run_until_done(&job_id(n), 60_000);
    }
    cluster.run_for_ms(4 * HEARTBEAT_INTERVAL_MS);
    assert_eq!(cluster.empty_commands, workers as u64, "one for each registration");
    let held = cluster.workers.values().map(|worker| worker.tasks.len()).sum::<usize>();
    assert_eq!(held, 0, "all attempts are forgotten");
    cluster.assert_no_violations();
}
