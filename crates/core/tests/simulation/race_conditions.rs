//! Races between events that are milliseconds apart: stale heartbeats and leader elections, queries
//! and completions, aborts and leadership changes; also writes that are applied but whose answer is
//! lost.

use crate::cluster::{
    job, job_id, machine_name, with_dependencies, Cluster, Endpoint, InboundLoss, LinkFault,
    RandomDelay, StateLimits, UnansweredWrite, WriteFault, ABORT_DEADLINE_MS,
    HEARTBEAT_INTERVAL_MS, WORKER_LEASE_MS,
};
use quartzgate_core::records::RecordedStatus;
use quartzgate_wire::msg::{JobKind, JobSpec, JobStatus, Priority};
use quartzgate_wire::to_cbor;

/// Guards against taking a stale heartbeat as proof that a task is on no other machine (invariant
/// 4). The heartbeat is from a machine that held the task before; it reaches the new leader first
/// and claims that the task runs there. The machine that really holds the task has its lease
/// renewed by a lease proxy under the new leader's token, and its heartbeats arrive through the
/// mailbox.
#[test]
fn stale_heartbeat_is_not_proof_of_absence_after_failover() {
    let mut renewed = 0;
    for case in 0..48u64 {
        let mut cluster = Cluster::activated(4, 0.0, 14_000 + case, 1_000);
        cluster.scale_in_disabled = true;
        cluster.task_duration_ms = [(job_id(1), 600_000)].into();
        cluster.submit_until_accepted(&job(&job_id(1), JobKind::Array, 1));
        cluster.run_until_running(20_000, &job_id(1), 1);
        cluster.run_for_ms(2 * HEARTBEAT_INTERVAL_MS);
        let first_machine = cluster.live_tasks(&job_id(1))[0].machine.clone();
        let stale_heartbeat = to_cbor(&cluster.heartbeat_of(&first_machine).unwrap());
        cluster.reboot_machine(&first_machine, 2 * WORKER_LEASE_MS);
        cluster.run_until(60_000, "the task runs elsewhere", |cluster| {
            cluster.live_tasks(&job_id(1)).first().is_some_and(|live| live.machine != first_machine)
        });
        cluster.run_for_ms(2 * WORKER_LEASE_MS);
        let second_machine = cluster.live_tasks(&job_id(1))[0].machine.clone();
        // The first machine is unreachable for a while.
        cluster.lost_heartbeats.insert(first_machine.clone());
        cluster
            .inbound_loss
            .insert(first_machine.clone(), InboundLoss { answers: false, orders: true });
        let (leader, epoch) = (cluster.leader().unwrap(), cluster.epoch_revision());
        cluster.crash_for_ms(leader, 60_000);
        // The second machine reaches only the controller that does not become leader.
        for n in 0..3 {
            cluster.cut_controller_from_worker(n, second_machine.clone(), LinkFault::Drop);
        }
        cluster.run_until(20_000, "another controller leads", |cluster| {
            cluster.epoch_revision() > epoch
        });
        let successor = cluster.leader().unwrap();
        let proxy = 3 - leader - successor;
        cluster.heal_link(&Endpoint::Controller(proxy), &Endpoint::Worker(second_machine.clone()));
        cluster.cut_controllers(successor, proxy, LinkFault::Drop);
        (0..40).for_each(|n| {
            cluster.deliver_duplicate_after(
                &stale_heartbeat,
                successor,
                1 + case * 29 % 900 + n * 25,
            )
        });
        let token_before = cluster.workers[&second_machine].fencing_token;
        cluster.run_for_ms(2 * HEARTBEAT_INTERVAL_MS + case * 41 % (2 * HEARTBEAT_INTERVAL_MS));
        cluster.lost_heartbeats.clear();
        cluster.inbound_loss.clear();
        cluster.run_for_ms(WORKER_LEASE_MS);
        renewed += u64::from(cluster.workers[&second_machine].fencing_token > token_before);
        cluster.heal_links();
        cluster.assert_no_violations();
        cluster.run_until_running(60_000, &job_id(1), 1);
        cluster.assert_recovered();
    }
    assert!(renewed > 24, "{renewed} leases renewed by a proxy under the new token");
}

/// Returns jobs of many kinds: small arrays whose tasks end at different times, an array of two
/// chunks, a service, a gang, and a dependency chain of three jobs.
fn mixed_jobs() -> Vec<JobSpec> {
    let mut jobs: Vec<JobSpec> =
        (1..9).map(|n| job(&job_id(n), JobKind::Array, 1 + n % 3)).collect();
    let mut two_chunk_array = job(&job_id(9), JobKind::Array, 70);
    (two_chunk_array.cpus, two_chunk_array.memory_gb) = (0.02, 0.02);
    jobs.push(two_chunk_array);
    let mut service = job(&job_id(10), JobKind::Service, 3);
    service.spread = true;
    jobs.push(service);
    jobs.push(job(&job_id(11), JobKind::Gang, 2));
    jobs.push(with_dependencies(job(&job_id(12), JobKind::Array, 1), &[&job_id(1)]));
    jobs.push(with_dependencies(job(&job_id(13), JobKind::Array, 2), &[&job_id(12), &job_id(2)]));
    jobs
}

/// The users of a mixed load, with the latest submission and abort of each job.
struct MixedLoad {
    case: u64,
    jobs: Vec<JobSpec>,
    submissions: Vec<Option<usize>>,
    aborts: Vec<Option<usize>>,
}

/// Number of turns between the first submissions of two consecutive jobs.
const TURNS_PER_JOB: u64 = 5;

impl MixedLoad {
    fn new(case: u64) -> MixedLoad {
        let jobs = mixed_jobs();
        let none = vec![None; jobs.len()];
        MixedLoad { case, jobs, submissions: none.clone(), aborts: none }
    }

    /// Returns whether the job's user aborts the job.
    fn is_aborted(&self, index: usize) -> bool {
        (index as u64 + self.case).is_multiple_of(3)
    }

    /// Sends the requests of one job's user that are due in this turn: submission, abort and query.
    fn send_due_requests(&mut self, cluster: &mut Cluster, index: usize, turn: u64) {
        let is_answered = |cluster: &Cluster, request: Option<usize>| {
            request.is_some_and(|request| matches!(cluster.status_code(request), 200 | 201))
        };
        let spec = &self.jobs[index];
        let first_turn = index as u64 * TURNS_PER_JOB;
        let node = (index + turn as usize / 10 + self.case as usize) % 3;
        let is_due = turn >= first_turn && (turn - first_turn).is_multiple_of(12);
        if is_due && !is_answered(cluster, self.submissions[index]) {
            self.submissions[index] = Some(cluster.submit(node, spec));
        }
        // The abort is sent at once, while the job runs, or near its end.
        let abort_turn = first_turn + [0, 12, 24, 60][(index + self.case as usize) % 4];
        let is_due = turn >= abort_turn && (turn - abort_turn).is_multiple_of(10);
        if self.is_aborted(index) && is_due && !is_answered(cluster, self.aborts[index]) {
            let is_accepted = cluster.observed_status.contains_key(&spec.id);
            self.aborts[index] = is_accepted.then(|| cluster.abort((node + 1) % 3, &spec.id));
        }
        if turn % 7 == index as u64 % 7 && cluster.observed_status.contains_key(&spec.id) {
            cluster.query((node + turn as usize) % 3, &spec.id);
        }
    }

    /// Repeats each abort until it is confirmed and each submission until it is accepted, except
    /// for jobs with an aborted dependency.
    fn repeat_until_confirmed(&self, cluster: &mut Cluster) {
        for (index, spec) in self.jobs.iter().enumerate() {
            let dependencies = cluster.transitive_dependencies(&spec.id);
            let is_aborted = |id: &String| {
                self.jobs
                    .iter()
                    .position(|job| job.id == *id)
                    .is_some_and(|index| self.is_aborted(index))
            };
            if self.is_aborted(index) {
                if cluster.observed_status.contains_key(&spec.id) {
                    cluster.abort_until_confirmed(&spec.id);
                }
            } else if !dependencies.iter().any(is_aborted) {
                cluster.submit_until_accepted(spec);
            }
        }
    }
}

/// Returns the accepted jobs that were not aborted and are not done or, if they are services, do
/// not run.
fn unserved_jobs(cluster: &Cluster) -> Vec<String> {
    let accepted = cluster.observed_status.keys();
    let unserved =
        accepted.filter(|id| !cluster.abort_was_requested(id) && !cluster.is_done_or_running(id));
    unserved.cloned().collect()
}

/// Runs a mixed load for 30 s. One job is submitted every 500 ms, at any controller, and submitted
/// again until a controller answers; every third job is aborted once it is accepted, at once or
/// later. `inject` is called every 100 ms. Once all faults are cleared, every job that was not
/// aborted must complete or, if it is a service, run.
fn run_mixed_load(cluster: &mut Cluster, case: u64, mut inject: impl FnMut(&mut Cluster, u64)) {
    let mut load = MixedLoad::new(case);
    cluster.scale_out_disabled = false;
    for n in 1..9 {
        cluster.task_duration_ms.insert(format!("{}/0", job_id(n)), 1_500 + u64::from(n) * 900);
        cluster.task_duration_ms.insert(format!("{}/1", job_id(n)), 14_000 + u64::from(n) * 500);
    }
    for turn in 0..300u64 {
        inject(cluster, turn);
        (0..load.jobs.len()).for_each(|index| load.send_due_requests(cluster, index, turn));
        cluster.run_for_ms(100);
    }
    cluster.clear_all_faults();
    cluster.run_for_ms(2 * WORKER_LEASE_MS);
    load.repeat_until_confirmed(cluster);
    let until = cluster.now + 120_000;
    while cluster.now < until && !unserved_jobs(cluster).is_empty() {
        for id in unserved_jobs(cluster) {
            cluster.query((cluster.now / 500) as usize % 3, &id);
        }
        cluster.run_for_ms(500);
    }
    let (seed, unserved, violations) = (cluster.seed, unserved_jobs(cluster), &cluster.violations);
    assert!(unserved.is_empty(), "seed {seed}: {unserved:?} not done; {violations:?}");
    cluster.assert_recovered();
}

/// Guards against an answer that is older than an earlier one (invariants 12, 20, 22, 28). Users
/// query all controllers and repeat the submission within milliseconds of an acceptance, a
/// completion and a confirmed abort, while the leader crashes, hands over, is partitioned from the
/// other controllers or the state service, or is about to lose leadership. Some jobs are aborted at
/// once, some at the moment of completion.
#[test]
fn answers_never_regress_under_leader_faults() {
    let mut accepted = 0;
    for case in 0..40u64 {
        let mut cluster = Cluster::activated(8, 0.0, 14_200 + case, 1_000);
        cluster.restart_with_job_batches(case % 2 == 0);
        (cluster.query_on_change, cluster.abort_at_completion) = (true, 0.3);
        run_mixed_load(&mut cluster, case, |cluster, turn| {
            let leader = cluster.leader().unwrap_or(0);
            match case / 2 % 5 {
                // The leader crashes repeatedly, for a moment or for seconds.
                0 if turn % 60 == 20 + case % 7 => {
                    cluster.crash_for_ms(leader, [200, 3_500][case as usize % 2])
                }
                // The leader is partitioned from one or both of the other controllers.
                1 if turn % 100 == 15 + case % 9 => {
                    cluster.cut_controllers(leader, (leader + 1) % 3, LinkFault::Drop);
                    if case % 4 == 0 {
                        cluster.cut_controllers(leader, (leader + 2) % 3, LinkFault::Hold);
                    }
                }
                // The state service refuses the leader until the leader has lost leadership.
                2 if turn % 100 == 15 + case % 9 => {
                    cluster.state.refused_nodes.insert(leader);
                }
                // Answers of the state service arrive late and out of order.
                3 => {
                    cluster.state.extra_latency_ms =
                        if turn % 100 > 20 { [150, 700][case as usize % 2] } else { 0 }
                }
                4 if turn % 60 == 10 => cluster.stall(leader, 1_000 + case * 90),
                _ => {}
            }
            if turn % 100 == 60 {
                cluster.heal_links();
                cluster.state.refused_nodes.clear();
            }
        });
        accepted += cluster.observed_status.len();
    }
    assert!(accepted > 400, "{accepted} were accepted");
}

/// Checks invariants 2, 9, 12, 16 and 24 to 28 when the answer to a write is lost and the write is
/// applied at once or late, each with and without a crash of its writer. Covers every kind of
/// write: acceptances, completions, aborts, compactions, placements, batch records, the epoch
/// record, member keys, proxy claims, mailbox records, handoff entries and their deletions.
#[test]
fn jobs_complete_when_any_kind_of_write_goes_unanswered() {
    const KEY_PREFIXES: [&str; 9] = [
        "jobs/",
        "shares/",
        "pages/",
        "view",
        "view/leader",
        "members/",
        "view/keeper/",
        "view/post/",
        "inbox/",
    ];
    let mut faults_by_prefix = std::collections::BTreeMap::new();
    for case in 0..72u64 {
        let prefix = KEY_PREFIXES[case as usize % KEY_PREFIXES.len()];
        let variant = case / KEY_PREFIXES.len() as u64;
        let mut cluster = Cluster::activated(8, 0.0, 14_300 + case, 1_000);
        cluster.restart_with_job_batches(prefix == "pages/" || case % 4 == 0);
        cluster.query_on_change = case % 2 == 0;
        let mut previous_remaining = 0;
        run_mixed_load(&mut cluster, case, |cluster, turn| {
            if turn % 50 == 10 {
                let delay_ms = 2_000 + case * 97 % 9_000;
                let outcome = if variant.is_multiple_of(2) {
                    UnansweredWrite::AppliedAtOnce
                } else {
                    UnansweredWrite::AppliedAfterMs(delay_ms)
                };
                cluster.state.write_faults =
                    vec![WriteFault { key_prefix: prefix, outcome, remaining: 3 }];
            }
            // These keys are written during elections and by restarted controllers.
            let is_written_in_elections = matches!(prefix, "view" | "view/leader" | "members/");
            if is_written_in_elections && turn % 50 == 12 {
                let leader = cluster.leader().unwrap_or(0);
                cluster.crash_for_ms(leader, [200, 3_500][(variant % 2) as usize]);
            }
            // Followers and lease proxies write these keys only while the leader is unreachable.
            let needs_unreachable_leader =
                matches!(prefix, "inbox/" | "view/keeper/" | "view/post/");
            if needs_unreachable_leader && turn == 20 {
                let leader = cluster.leader().unwrap_or(0);
                for n in (0..3).filter(|n| *n != leader) {
                    cluster.cut_controllers(leader, n, LinkFault::Drop);
                }
                (0..4).for_each(|m| {
                    cluster.cut_controller_from_worker(leader, machine_name(m), LinkFault::Drop)
                });
            }
            let remaining = cluster.state.write_faults.first().map_or(3, |f| f.remaining);
            // The writer crashes before it can learn the outcome of the write.
            if remaining < 3 && previous_remaining == 3 && variant / 2 % 2 == 1 {
                let writer = cluster.leader().unwrap_or(0);
                cluster.crash_for_ms(writer, [200, 4_000][case as usize % 2]);
            }
            *faults_by_prefix.entry(prefix).or_insert(0u32) +=
                u32::from(remaining < 3 && previous_remaining == 3);
            previous_remaining = remaining;
        });
    }
    println!("unanswered transactions by key prefix: {faults_by_prefix:?}");
    for prefix in KEY_PREFIXES {
        assert!(
            faults_by_prefix.get(prefix).is_some_and(|n| *n > 0),
            "{prefix}: {faults_by_prefix:?}"
        );
    }
}

/// Checks team quotas (invariant 10): a team at its limit aborts its running jobs while further
/// jobs wait, the machines of the aborted tasks hang or are unreachable, and the leader changes.
/// Capacity must become free once a task is proven gone, not before, and must then be used.
#[test]
fn quota_holds_when_aborted_tasks_hang_during_failover() {
    for case in 0..40u64 {
        // The quota limits GPUs in every fourth case, otherwise CPUs.
        let gpus = case % 4 == 3;
        let mut cluster =
            Cluster::activated(8, if gpus { 0.0 } else { 24.0 }, 14_400 + case, 1_000);
        if gpus {
            (cluster.machine_gpus, cluster.team_gpu_limit) = (2.0, 6.0);
            cluster.restart_all_controllers();
            cluster.run_until(20_000, "a controller leads", |cluster| cluster.leader().is_some());
            cluster.run_for_ms(3_000);
        }
        let spec = |n: u32| {
            let mut spec = job(&job_id(n), JobKind::Array, 2);
            spec.gpus = f64::from(u8::from(gpus));
            spec
        };
        cluster.scale_out_disabled = false;
        cluster.scale_in_disabled = case % 2 == 0;
        cluster.task_duration_ms = (1..40).map(|n| (job_id(n), 600_000)).collect();
        (1..4).for_each(|n| cluster.submit_until_accepted(&spec(n)));
        cluster.run_until(20_000, "the quota is used up", |cluster| {
            (1..4).all(|n| cluster.live_tasks(&job_id(n)).len() == 2)
        });
        // These jobs wait until the capacity of the aborted jobs becomes free.
        (4..7).for_each(|n| cluster.submit_until_accepted(&spec(n)));
        let machines: Vec<String> =
            (1..4).flat_map(|n| cluster.live_tasks(&job_id(n))).map(|live| live.machine).collect();
        let leader = cluster.leader().unwrap();
        for (index, machine) in machines.iter().enumerate() {
            match (index as u64 + case) % 3 {
                0 => cluster.hang_machine(machine, 1_000 + case * 190),
                1 => (0..3).for_each(|n| {
                    cluster.cut_controller_from_worker(n, machine.clone(), LinkFault::Hold)
                }),
                _ => {}
            }
        }
        let request_aborts = |cluster: &mut Cluster| {
            for n in 1..4 {
                cluster.abort(n as usize % 3, &job_id(n));
            }
        };
        match case / 3 % 4 {
            0 => {
                request_aborts(&mut cluster);
                cluster.run_for_ms(case * 7);
                cluster.crash_for_ms(leader, [200, 5_000][case as usize % 2]);
            }
            1 => {
                cluster.crash_for_ms(leader, 200);
                cluster.run_for_ms(case * 60);
                request_aborts(&mut cluster);
            }
            2 => {
                cluster.state.refused_nodes.insert(leader);
                cluster.run_for_ms(case * 80);
                request_aborts(&mut cluster);
            }
            _ => request_aborts(&mut cluster),
        }
        cluster.run_for_ms(WORKER_LEASE_MS);
        cluster.state.refused_nodes.clear();
        (1..4).for_each(|n| cluster.abort_until_confirmed(&job_id(n)));
        cluster.run_for_ms(WORKER_LEASE_MS);
        cluster.heal_links();
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        cluster.scale_in_disabled = false;
        cluster.run_until(90_000, "the waiting jobs run", |cluster| {
            (4..7).all(|n| cluster.live_tasks(&job_id(n)).len() == 2)
        });
        cluster.assert_recovered();
    }
}

/// Checks invariants 1, 8, 9, 12 and 29 when aborts are requested at the old leader, the new leader
/// and a third controller at every moment of a leadership change. The change is caused by a crash,
/// a lost lease or a stall; leadership passes to another controller and back.
#[test]
fn aborts_take_effect_during_leadership_changes() {
    let mut returned_to_first = 0;
    for case in 0..60u64 {
        let mut cluster = Cluster::activated(8, 0.0, 14_500 + case, 1_000);
        cluster.scale_out_disabled = false;
        cluster.scale_in_disabled = case % 2 == 0;
        cluster.task_duration_ms = (1..9).map(|n| (job_id(n), 600_000)).collect();
        (1..7).for_each(|n| cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 2)));
        cluster.run_until(20_000, "all tasks run", |cluster| {
            (1..7).all(|n| cluster.live_tasks(&job_id(n)).len() == 2)
        });
        let first_leader = cluster.leader().unwrap();
        let fault = case % 4;
        let inject_fault = |cluster: &mut Cluster, node: usize| match fault {
            0 => cluster.crash_for_ms(node, 6_000),
            1 => {
                cluster.state.refused_nodes.insert(node);
            }
            2 => cluster.stall(node, 4_000 + case * 10),
            _ => cluster.cut_controller_from_state_service(node, LinkFault::Hold),
        };
        let epoch = cluster.epoch_revision();
        inject_fault(&mut cluster, first_leader);
        // One abort each before, during and after the change.
        let interval_ms = 5 + case * 17 % 400;
        for n in 1..4u32 {
            cluster.abort((first_leader + n as usize) % 3, &job_id(n));
            cluster.run_for_ms(interval_ms);
        }
        cluster.run_until(20_000, "another controller leads", |cluster| {
            cluster.epoch_revision() > epoch
        });
        cluster.run_for_ms(case * 11 % 700);
        cluster.abort(case as usize % 3, &job_id(4));
        // Leadership returns to the first leader, whose last incarnation or lease has just ended.
        cluster.heal_links();
        cluster.state.refused_nodes.clear();
        cluster.run_for_ms(3_000);
        if !cluster.is_up(first_leader) {
            cluster.start_controller(first_leader);
        }
        cluster.run_for_ms(1_500);
        let third = (0..3).find(|n| *n != first_leader && Some(*n) != cluster.leader()).unwrap();
        let second_leader = cluster.leader().unwrap();
        if second_leader != first_leader {
            let epoch = cluster.epoch_revision();
            cluster.crash_for_ms(second_leader, 20_000);
            cluster.crash_for_ms(third, 4_000);
            cluster.run_for_ms(case * 13 % 900);
            cluster.abort(first_leader, &job_id(5));
            cluster.run_until(20_000, "another controller leads", |cluster| {
                cluster.epoch_revision() > epoch
            });
            returned_to_first += u64::from(cluster.leader() == Some(first_leader));
        }
        cluster.abort(first_leader, &job_id(1));
        cluster.run_for_ms(WORKER_LEASE_MS);
        (1..6).for_each(|n| cluster.abort_until_confirmed(&job_id(n)));
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        (1..6).for_each(|n| assert!(cluster.live_tasks(&job_id(n)).is_empty()));
        cluster.scale_in_disabled = false;
        cluster.run_until_running(60_000, &job_id(6), 2);
        cluster.assert_recovered();
    }
    assert!(
        returned_to_first > 20,
        "leadership returned to the first leader {returned_to_first} times"
    );
}

/// Checks invariants 3, 4 and 8 for machines that are up within two seconds but not listed by the
/// cloud yet. Answers to some provisioning requests are lost, writes are late or unanswered, images
/// are fetched slowly, and the leader crashes; its successor may not know the machine at all.
#[test]
fn unlisted_machines_work_across_leader_crashes() {
    for case in 0..40u64 {
        let mut cluster = Cluster::activated(1, 0.0, 14_600 + case, 1_000);
        cluster.scale_out_disabled = false;
        (cluster.boot_ms, cluster.list_lag_ms) = (0..=2_000, 4_000);
        cluster.lost_provision_answers = (case % 3) as u32;
        cluster.fetch_gb_per_s = (case % 2 == 0).then_some(0.4);
        cluster.task_duration_ms = (1..9).map(|n| (job_id(n), 20_000)).collect();
        let delay = RandomDelay { share: 0.4, from_ms: 1_000, to_ms: 6_000 };
        match case % 3 {
            0 => cluster.state.delayed_writes = Some(delay),
            1 => cluster.state.lost_answer_share = 0.4,
            _ => {}
        }
        for n in 1..6 {
            cluster.submit(n as usize % 3, &job(&job_id(n), JobKind::Array, 3));
            cluster.run_for_ms(150);
        }
        cluster.run_for_ms(1_200 + case * 83 % 3_000);
        for _ in 0..3 {
            let leader = cluster.leader().unwrap_or(0);
            cluster.crash_for_ms(leader, [200, 5_000][case as usize / 3 % 2]);
            cluster.run_for_ms(2_800 + case * 37 % 900);
            for n in 1..6 {
                cluster.submit((n as usize + 1) % 3, &job(&job_id(n), JobKind::Array, 3));
            }
        }
        cluster.clear_all_faults();
        cluster.run_for_ms(5_000);
        for n in 1..6 {
            cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 3));
        }
        (1..6).for_each(|n| cluster.run_until_done(&job_id(n), 150_000));
        cluster.assert_recovered();
    }
}

/// Checks invariants 4, 6, 7 and 30 when stale heartbeats reach the leader, a follower and a lease
/// proxy before, during and after the recovery of a new leader. The heartbeats are from earlier
/// agent epochs and attempts and report exits that have been cleared since.
#[test]
fn stale_heartbeats_are_ignored_when_a_new_leader_starts() {
    for case in 0..36u64 {
        let mut cluster = Cluster::activated(8, 0.0, 14_700 + case, 1_000);
        cluster.stale_heartbeat_share = 0.5;
        cluster.state.max_list_keys = (case % 3 == 0).then_some(2);
        cluster.redirect_delay_ms = (case % 2 == 0).then_some(200);
        run_mixed_load(&mut cluster, case, |cluster, turn| {
            if turn % 50 == 20 + case % 7 {
                let leader = cluster.leader().unwrap_or(0);
                match case / 3 % 3 {
                    0 => cluster.crash_for_ms(leader, [200, 3_000][case as usize % 2]),
                    1 => {
                        cluster.state.refused_nodes.insert(leader);
                    }
                    _ => {
                        for n in (0..3).filter(|n| *n != leader) {
                            cluster.cut_controllers(leader, n, LinkFault::Drop);
                        }
                        cluster.cut_controller_from_state_service(leader, LinkFault::Hold);
                    }
                }
            }
            if turn % 50 == 45 {
                cluster.heal_links();
                cluster.state.refused_nodes.clear();
            }
            if turn % 40 == 5 {
                let machine = machine_name((turn / 40 + case) as usize % 8);
                cluster.reboot_machine(&machine, 200 + case * 40);
            }
        });
    }
}

/// Guards against records of finished jobs that accumulate. Four one-task jobs arrive per second, a
/// quarter of them is aborted before, at or after the write of their batch record, the leader fails
/// over repeatedly, and writes are scarce. Every other job must be done, every aborted job must be
/// reported as aborted or done, and the records of finished jobs must be deleted.
#[test]
fn finished_jobs_leave_no_records_under_aborts_and_failovers() {
    for case in 0..4u64 {
        let mut cluster = Cluster::activated(12, 0.0, 14_800 + case, 1_000);
        cluster.scale_out_disabled = false;
        cluster.state.limits =
            Some(StateLimits { max_value_bytes: 8 * 1024, max_changes: 12, changes_per_s: 15.0 });
        cluster.query_on_change = case % 2 == 1;
        let job_count = 260u32;
        let spec = |n: u32| {
            let mut spec = job(&job_id(n), JobKind::Array, 1);
            (spec.cpus, spec.memory_gb, spec.image_gb) = (0.5, 0.5, 0.1);
            spec
        };
        let is_aborted = |n: u32| n % 4 == 1;
        for n in 0..job_count {
            cluster.submit(n as usize % 3, &spec(n));
            // A quarter of the jobs is aborted, each within four seconds of its submission.
            for earlier in n.saturating_sub(16)..=n {
                let due = is_aborted(earlier) && n - earlier == earlier / 4 % 16;
                if due && cluster.observed_status.contains_key(&job_id(earlier)) {
                    cluster.abort((earlier as usize + 1) % 3, &job_id(earlier));
                }
            }
            if n % 5 == 0 && n > 20 {
                cluster.query(n as usize % 3, &job_id(n - 17));
            }
            if n % 90 == 60 {
                let leader = cluster.leader().unwrap_or(0);
                cluster.crash_for_ms(leader, [200, 3_000][case as usize % 2]);
            }
            cluster.run_for_ms(250);
        }
        cluster.run_for_ms(5_000);
        // Users repeat their requests until every job is reported in a terminal state.
        for round in 0..40 {
            let unfinished: Vec<u32> = (0..job_count)
                .filter(|n| {
                    let observed = cluster.observed_status.get(&job_id(*n));
                    let ended = if is_aborted(*n) {
                        matches!(observed, Some(JobStatus::Aborted | JobStatus::Done))
                    } else {
                        observed == Some(&JobStatus::Done)
                    };
                    !ended
                })
                .collect();
            if unfinished.is_empty() {
                break;
            }
            for n in unfinished.into_iter().take(60) {
                let node = (n as usize + round) % 3;
                match (cluster.observed_status.contains_key(&job_id(n)), is_aborted(n)) {
                    (false, _) => cluster.submit(node, &spec(n)),
                    (true, true) => cluster.abort(node, &job_id(n)),
                    (true, false) => cluster.query(node, &job_id(n)),
                };
            }
            cluster.run_for_ms(2_000);
        }
        for n in 0..job_count {
            let observed = cluster.observed_status.get(&job_id(n)).copied();
            let is_expected = observed == Some(JobStatus::Done)
                || is_aborted(n) && observed == Some(JobStatus::Aborted);
            assert!(
                is_expected,
                "seed {}: {} is reported as {observed:?}; {:?}",
                cluster.seed,
                job_id(n),
                cluster.violations
            );
        }
        cluster.assert_no_violations();
        cluster.run_until(60_000, "no records of finished jobs are left", |cluster| {
            let record_count =
                |prefix: &str| cluster.state.keys.keys().filter(|k| k.starts_with(prefix)).count();
            record_count("pages/") <= 1
                && record_count("shares/") == 0
                && record_count("inbox/") == 0
        });
    }
}

/// Partitions the leader from its siblings and returns the leader and its siblings.
fn partition_leader_from_siblings(cluster: &mut Cluster) -> (usize, [usize; 2]) {
    let leader = cluster.leader().unwrap();
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    others.iter().for_each(|n| cluster.cut_controllers(leader, *n, LinkFault::Drop));
    (leader, others)
}

/// Guards against an accepted job that does not run because only the leader does not know of it.
/// The answer to the leader's write of the acceptance is lost, and the write is applied at once or
/// late; the user repeats the submission at the other controllers, which the leader cannot reach,
/// and queries only those.
#[test]
fn accepted_job_is_found_when_its_write_goes_unanswered() {
    for case in 0..24u64 {
        let mut cluster = Cluster::activated(4, 0.0, 14_900 + case, 1_000);
        cluster.restart_with_job_batches(case % 3 == 0);
        cluster.run_for_ms(1_000);
        cluster.task_duration_ms = [(job_id(1), 600_000)].into();
        let (leader, others) = partition_leader_from_siblings(&mut cluster);
        let delay_ms = 1_500 + case * 200;
        let outcome = if case % 2 == 0 {
            UnansweredWrite::AppliedAtOnce
        } else {
            UnansweredWrite::AppliedAfterMs(delay_ms)
        };
        let prefix = if cluster.batch_small_jobs { "pages/" } else { "jobs/" };
        cluster.state.write_faults = vec![WriteFault { key_prefix: prefix, outcome, remaining: 1 }];
        let spec = job(&job_id(1), JobKind::Array, 2);
        cluster.submit(leader, &spec);
        cluster.run_for_ms(200 + delay_ms);
        for turn in 0..20 {
            let request = cluster.submit(others[turn % 2], &spec);
            cluster.run_for_ms(900);
            if matches!(cluster.status_code(request), 200 | 201) {
                break;
            }
        }
        assert!(
            cluster.observed_status.contains_key(&job_id(1)),
            "case {case}: the job is accepted"
        );
        let until = cluster.now + 10_000;
        while cluster.now < until && cluster.live_tasks(&job_id(1)).len() < 2 {
            cluster.query(others[case as usize % 2], &job_id(1));
            cluster.run_for_ms(500);
        }
        assert_eq!(
            cluster.live_tasks(&job_id(1)).len(),
            2,
            "case {case}: the job runs while the leader reaches no sibling"
        );
        assert_eq!(cluster.leader(), Some(leader));
        cluster.heal_links();
        cluster.assert_recovered();
    }
}

/// Guards against a missed entry of the handoff queue (invariant 12). The leader's deletion of an
/// entry gets no answer, is sent again, and is applied late, after another entry has been written
/// to the key; the watch that would have shown the second entry is answered with 410.
#[test]
fn replaced_handoff_entry_is_read_after_watch_history_is_lost() {
    let (mut entries_read, mut entries_read_soon) = (0, 0);
    for case in 0..24u64 {
        let mut cluster = Cluster::activated(0, 0.0, 14_950 + case, 1_000);
        cluster.task_duration_ms = [(job_id(1), 600_000)].into();
        let (leader, others) = partition_leader_from_siblings(&mut cluster);
        cluster.run_for_ms(1_500);
        let spec = job(&job_id(1), JobKind::Array, 2);
        let handoff_key = "inbox/wk-000001";
        for turn in 0..4_000 {
            if turn % 1_200 == 0 {
                cluster.submit(others[0], &spec);
            }
            cluster.run_for_ms(1);
            if cluster.state.keys.contains_key(handoff_key) {
                break;
            }
        }
        // The leader has read the entry. Its deletion of the entry gets no answer and is applied
        // between two times at which the leader rereads its live jobs.
        let delay_ms = 6_500 + case * 30;
        cluster.state.write_faults = vec![WriteFault {
            key_prefix: "inbox/",
            outcome: UnansweredWrite::AppliedAfterMs(delay_ms),
            remaining: 1,
        }];
        for _ in 0..4_000 {
            if cluster.state.write_faults[0].remaining == 0 {
                break;
            }
            cluster.run_for_ms(1);
        }
        let deletion_sent_ms = cluster.now;
        // No machine existed yet for a task of the job, so that the deletion was sent alone.
        (0..4).for_each(|_| drop(cluster.add_worker()));
        cluster.run_until_running(5_500, &job_id(1), 2);
        assert_eq!(
            cluster.state.write_faults[0].remaining, 0,
            "case {case}: the deletion got no answer"
        );
        cluster.run_for_ms((deletion_sent_ms + delay_ms - 700).saturating_sub(cluster.now));
        cluster.state.refused_nodes.insert(leader);
        cluster.abort(others[1], &job_id(1));
        cluster.run_for_ms(400);
        // The abort is recorded, with its entry. It is confirmed later, since nobody can tell the
        // leader.
        if cluster.recorded_status(&job_id(1)) != Some(RecordedStatus::Aborted) {
            continue;
        }
        cluster.run_for_ms(1_200);
        cluster.state.retained_changes = Some(1);
        cluster.state.refused_nodes.clear();
        let healed_at_ms = cluster.now;
        cluster.run_until(ABORT_DEADLINE_MS, "the tasks of the aborted job are gone", |cluster| {
            cluster.live_tasks(&job_id(1)).is_empty()
        });
        entries_read_soon += u64::from(cluster.now < healed_at_ms + 1_000);
        entries_read += 1;
        cluster.state.retained_changes = None;
        cluster.heal_links();
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        cluster.assert_recovered();
    }
    assert!(
        entries_read > 12 && entries_read_soon * 4 >= entries_read * 3,
        "{entries_read_soon} of {entries_read} replaced entries were read within a second"
    );
}

/// Checks that no job is lost and every job that was not aborted completes when more work than
/// capacity arrives, in all priorities, over slow and lossy links.
#[test]
fn all_jobs_complete_under_overload_and_slow_links() {
    for case in 0..6u64 {
        let mut cluster = Cluster::activated(5, 0.0, 15_300 + case, 1_000);
        (cluster.max_delay_ms, cluster.message_loss) = (60 + 40 * case, 0.01);
        let jobs: Vec<JobSpec> = (1..25)
            .map(|n| {
                let mut spec = job(&job_id(n), JobKind::Array, 3);
                spec.priority = [Priority::Low, Priority::Normal, Priority::High][n as usize % 3];
                spec
            })
            .collect();
        for (n, spec) in jobs.iter().enumerate() {
            cluster.submit(n % 3, spec);
            cluster.run_for_ms(120);
        }
        let leader = cluster.leader().unwrap();
        cluster.crash_for_ms(leader, [200, 4_000][case as usize % 2]);
        cluster.run_for_ms(4_000);
        jobs.iter().for_each(|spec| cluster.submit_until_accepted(spec));
        for n in [3u32, 7, 11] {
            cluster.abort_until_confirmed(&job_id(n));
        }
        for n in (1..25).filter(|n| ![3, 7, 11].contains(n)) {
            cluster.run_until_done(&job_id(n), 150_000);
        }
        (cluster.max_delay_ms, cluster.message_loss) = (4, 0.0);
        cluster.assert_recovered();
    }
}

/// Guards against contradictory answers. Aborts, queries and repeated submissions at any controller
/// race the end of the job's last task by milliseconds, while the completion is being recorded; no
/// other fault occurs.
#[test]
fn answers_agree_when_requests_race_the_last_completion() {
    let mut outcome_counts = [0, 0];
    for case in 0..60u64 {
        let mut cluster = Cluster::activated(4, 0.0, 15_400 + case, 1_000);
        cluster.restart_with_job_batches(case % 3 == 0);
        cluster.run_for_ms(1_000);
        let spec = job(&job_id(1), JobKind::Array, 2);
        cluster.submit_until_accepted(&spec);
        cluster.run_until(20_000, "the last task has ended", |cluster| {
            cluster.completed_tasks.get(&job_id(1)).is_some_and(|d| d.len() == 2)
        });
        cluster.run_for_ms(case * 5 % 150);
        let node = case as usize % 3;
        for turn in 0..12usize {
            match (turn + case as usize) % 3 {
                0 => cluster.abort((node + turn) % 3, &job_id(1)),
                1 => cluster.submit((node + turn) % 3, &spec),
                _ => cluster.query((node + turn) % 3, &job_id(1)),
            };
            cluster.run_for_ms(1 + case % 4);
        }
        cluster.run_for_ms(3_000);
        cluster.abort_until_confirmed(&job_id(1));
        outcome_counts[usize::from(cluster.observed_status[&job_id(1)] == JobStatus::Done)] += 1;
        cluster.assert_no_violations();
    }
    assert!(outcome_counts.iter().all(|n| *n > 0), "aborted and done: {outcome_counts:?}");
}

/// Checks invariants 4, 9 and 16 when a zone is partitioned together with its workers and one
/// controller. Jobs are aborted on both sides; the leader is on one side or the other, and crashes
/// during the partition or not at all.
#[test]
fn aborts_hold_on_both_sides_of_a_partition_longer_than_leases() {
    for case in 0..24u64 {
        let mut cluster = Cluster::activated(8, 0.0, 15_500 + case, 1_000);
        cluster.scale_out_disabled = false;
        cluster.task_duration_ms = (1..9).map(|n| (job_id(n), 600_000)).collect();
        for n in 1..6 {
            let mut spec = job(&job_id(n), JobKind::Array, 2);
            spec.zone = (n == 1).then(|| "a".into()).or((n == 2).then(|| "b".into()));
            cluster.submit_until_accepted(&spec);
        }
        cluster.run_until(20_000, "all tasks run", |cluster| {
            (1..6).all(|n| cluster.live_tasks(&job_id(n)).len() == 2)
        });
        let leader = cluster.leader().unwrap();
        // The machines of zone b have odd numbers. The controller on their side of the partition is
        // the leader or a follower.
        let inner_controller = if case % 2 == 0 { (leader + 1) % 3 } else { leader };
        let link_fault = if case / 2 % 2 == 0 { LinkFault::Hold } else { LinkFault::Drop };
        let outer_controllers: Vec<usize> = (0..3).filter(|n| *n != inner_controller).collect();
        for n in &outer_controllers {
            cluster.cut_controllers(inner_controller, *n, link_fault);
            [1, 3, 5, 7]
                .iter()
                .for_each(|m| cluster.cut_controller_from_worker(*n, machine_name(*m), link_fault));
        }
        [0, 2, 4, 6].iter().for_each(|m| {
            cluster.cut_controller_from_worker(inner_controller, machine_name(*m), link_fault)
        });
        cluster.run_for_ms(case * 131 % 4_000);
        cluster.abort(inner_controller, &job_id(1));
        cluster.abort(outer_controllers[0], &job_id(2));
        cluster.run_for_ms(WORKER_LEASE_MS);
        if case % 3 == 0 {
            let leader = cluster.leader().unwrap_or(0);
            cluster.crash_for_ms(leader, [200, 3_000][case as usize / 3 % 2]);
        }
        cluster.abort(outer_controllers[1], &job_id(3));
        cluster.run_for_ms(WORKER_LEASE_MS + 4_000);
        cluster.heal_links();
        (1..4).for_each(|n| cluster.abort_until_confirmed(&job_id(n)));
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        cluster.run_until(90_000, "the other jobs run", |cluster| {
            (4..6).all(|n| cluster.live_tasks(&job_id(n)).len() == 2)
        });
        cluster.assert_recovered();
    }
}

/// Checks that running tasks keep running and new jobs complete when the leader changes ten times
/// in two minutes, by crash, refusal and stall in turn, also with short outages of the state
/// service.
#[test]
fn jobs_complete_under_ten_leader_changes_in_two_minutes() {
    for case in 0..8u64 {
        let mut cluster = Cluster::activated(8, 0.0, 15_600 + case, 1_000);
        cluster.task_duration_ms = [(job_id(1), 600_000)].into();
        cluster.submit_until_accepted(&job(&job_id(1), JobKind::Service, 3));
        let mut epochs = std::collections::BTreeSet::new();
        for turn in 0..12u32 {
            let leader = cluster.leader().unwrap_or(turn as usize % 3);
            match (u64::from(turn) + case) % 3 {
                0 => cluster.crash_for_ms(leader, [200, 3_000][turn as usize % 2]),
                1 => {
                    cluster.state.refused_nodes.insert(leader);
                }
                _ => cluster.stall(leader, 3_500),
            }
            cluster.submit((leader + 1) % 3, &job(&job_id(10 + turn), JobKind::Array, 2));
            cluster.run_for_ms(case * 97 % 900);
            if turn % 4 == 1 {
                cluster.state.down = true;
                cluster.run_for_ms(1_500 + case * 400);
                cluster.state.down = false;
            }
            cluster.run_for_ms(7_000);
            cluster.state.refused_nodes.clear();
            epochs.insert(cluster.epoch_revision());
            if turn % 3 == 0 {
                cluster.abort(turn as usize % 3, &job_id(10 + turn));
            }
            cluster.run_for_ms(2_000);
        }
        assert!(epochs.len() >= 9, "{} epochs", epochs.len());
        for turn in 0..12u32 {
            match turn % 3 {
                0 if cluster.observed_status.contains_key(&job_id(10 + turn)) => {
                    cluster.abort_until_confirmed(&job_id(10 + turn))
                }
                0 => {}
                _ => {
                    cluster.submit_until_accepted(&job(&job_id(10 + turn), JobKind::Array, 2));
                    cluster.run_until_done(&job_id(10 + turn), 60_000);
                }
            }
        }
        cluster.run_until_running(60_000, &job_id(1), 3);
        cluster.assert_recovered();
    }
}

/// Checks invariants 3 to 5 and 8 when all controllers are down for longer than a worker's lease
/// and restart one by one, while machines lose their tasks or hang.
#[test]
fn jobs_complete_when_all_controllers_are_down_longer_than_leases() {
    for case in 0..16u64 {
        let mut cluster = Cluster::activated(6, 16.0, 15_700 + case, 1_000);
        cluster.task_duration_ms = (1..4).map(|n| (job_id(n), 40_000)).collect();
        cluster.submit_until_accepted(&job(&job_id(1), JobKind::Array, 2));
        cluster.submit_until_accepted(&job(&job_id(2), JobKind::Gang, 2));
        cluster.submit_until_accepted(&job(&job_id(3), JobKind::Array, 2));
        cluster.run_for_ms(2_000);
        cluster.abort((case % 3) as usize, &job_id(3));
        cluster.run_for_ms(case * 7 % 60);
        for n in 0..3 {
            cluster.crash_for_ms(
                n,
                WORKER_LEASE_MS + 500 + case * 150 + n as u64 * [0, 300, 4_000][case as usize % 3],
            );
        }
        let hung_until_ms = cluster.now + WORKER_LEASE_MS - 200;
        cluster.workers.get_mut(&machine_name(case as usize % 6)).unwrap().hung_until_ms =
            hung_until_ms;
        cluster.run_for_ms(WORKER_LEASE_MS + 8_000);
        if cluster.observed_status.contains_key(&job_id(3)) {
            cluster.abort_until_confirmed(&job_id(3));
        }
        cluster.run_until_done(&job_id(1), 150_000);
        cluster.run_until_done(&job_id(2), 150_000);
        cluster.assert_recovered();
    }
}

/// Checks invariants 4, 8 and 32 when the heartbeats of some machines reach no controller while
/// orders still reach these machines. Their tasks must end with the lease and run elsewhere, once;
/// aborted tasks must be gone in time; and the machines must receive work again once their
/// heartbeats arrive again.
#[test]
fn tasks_move_when_heartbeats_are_lost_and_orders_arrive() {
    for case in 0..24u64 {
        let mut cluster =
            Cluster::activated(6, [0.0, 24.0][case as usize % 2], 15_800 + case, 1_000);
        cluster.task_duration_ms = (1..6).map(|n| (job_id(n), 600_000)).collect();
        for n in 1..4 {
            cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 2));
        }
        cluster.run_until(20_000, "all tasks run", |cluster| {
            (1..4).all(|n| cluster.live_tasks(&job_id(n)).len() == 2)
        });
        cluster.lost_heartbeats.extend((0..1 + case as usize % 4).map(machine_name));
        cluster.run_for_ms(case * 217 % WORKER_LEASE_MS);
        cluster.abort(case as usize % 3, &job_id(1));
        if case % 3 == 0 {
            let leader = cluster.leader().unwrap();
            cluster.crash_for_ms(leader, [200, 4_000][case as usize / 3 % 2]);
        }
        cluster.run_for_ms(WORKER_LEASE_MS / 2 + case * 500);
        cluster.abort_until_confirmed(&job_id(1));
        cluster.submit_until_accepted(&job(&job_id(4), JobKind::Array, 2));
        cluster.run_for_ms(WORKER_LEASE_MS);
        cluster.lost_heartbeats.clear();
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        assert!(cluster.live_tasks(&job_id(1)).is_empty());
        cluster.run_until(90_000, "the other jobs run", |cluster| {
            (2..5).all(|n| cluster.live_tasks(&job_id(n)).len() == 2)
        });
        cluster.assert_recovered();
    }
}

/// Checks a team at its quota (invariant 10) when the leader changes, some machines cannot be
/// queried, and jobs are aborted during that time at the new leader or a follower.
#[test]
fn quota_holds_when_machines_are_unreachable_during_failover() {
    for case in 0..32u64 {
        let mut cluster = Cluster::activated(7, 32.0, 15_900 + case, 1_000);
        cluster.scale_out_disabled = false;
        cluster.task_duration_ms = (1..9).map(|n| (job_id(n), 600_000)).collect();
        for n in 1..5 {
            cluster.submit_until_accepted(&job(
                &job_id(n),
                [JobKind::Array, JobKind::Gang][n as usize % 2],
                2,
            ));
        }
        cluster.run_until(30_000, "the quota is used up", |cluster| {
            (1..5).all(|n| cluster.live_tasks(&job_id(n)).len() == 2)
        });
        (5..8).for_each(|n| cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 2)));
        let leader = cluster.leader().unwrap();
        cluster.crash_for_ms(leader, [200, 12_000][case as usize % 2]);
        let link_fault = if case % 3 == 0 { LinkFault::Hold } else { LinkFault::Drop };
        for m in 0..3 {
            (0..3).for_each(|n| {
                cluster.cut_controller_from_worker(
                    n,
                    machine_name(m + case as usize % 4),
                    link_fault,
                )
            });
        }
        cluster.run_for_ms(case * 151 % 5_000);
        cluster.abort((leader + 1) % 3, &job_id(1));
        cluster.abort((leader + 2) % 3, &job_id(2));
        cluster.run_for_ms(WORKER_LEASE_MS / 2 + case * 300);
        cluster.heal_links();
        cluster.abort_until_confirmed(&job_id(1));
        cluster.abort_until_confirmed(&job_id(2));
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        cluster.run_until(90_000, "the other jobs run", |cluster| {
            cluster.assert_no_violations();
            (3..7).filter(|n| cluster.live_tasks(&job_id(*n)).len() == 2).count() == 4
        });
        cluster.assert_recovered();
    }
}

/// Guards against tasks that leave their zone. Arrays, gangs and services that are bound to one
/// zone lose machines there, one by one or all at once, with or without a failover. Their tasks
/// must run in that zone again and in no other.
#[test]
fn zone_bound_jobs_restart_in_their_zone_when_machines_reboot() {
    for case in 0..16u64 {
        let mut cluster = Cluster::activated(8, 0.0, 16_000 + case, 1_000);
        cluster.scale_out_disabled = case % 2 == 0;
        (cluster.boot_ms, cluster.list_lag_ms) = (0..=2_000, 2_000);
        cluster.task_duration_ms = (1..5).map(|n| (job_id(n), 30_000)).collect();
        for (n, kind) in [(1, JobKind::Array), (2, JobKind::Gang), (3, JobKind::Service)] {
            let mut spec = job(&job_id(n), kind, 2);
            spec.zone = Some("b".into());
            cluster.submit_until_accepted(&spec);
        }
        let mut together = job(&job_id(4), JobKind::Array, 3);
        together.together = true;
        cluster.submit_until_accepted(&together);
        cluster.run_for_ms(3_000 + case * 60);
        let rebooted: Vec<usize> = if case % 3 == 0 { vec![1, 3, 5, 7] } else { vec![1, 5] };
        for (index, machine) in rebooted.iter().enumerate() {
            cluster.reboot_machine(&machine_name(*machine), 5_000 + case * 700);
            cluster.run_for_ms(index as u64 * (case % 4) * 300);
        }
        if case % 4 < 2 {
            let leader = cluster.leader().unwrap();
            cluster.crash_for_ms(leader, [200, 4_000][case as usize % 2]);
        }
        cluster.run_for_ms(WORKER_LEASE_MS);
        for n in [1, 2, 4] {
            cluster.run_until_done(&job_id(n), 200_000);
        }
        cluster.run_until_running(90_000, &job_id(3), 2);
        cluster.assert_recovered();
    }
}

/// Checks invariants 9 and 12 for a leader that the state service refuses and its siblings cannot
/// reach. The leader sees that tasks were stopped by another controller; it must not start them
/// again before it has read the job record.
#[test]
fn refused_leader_does_not_restart_tasks_stopped_by_a_proxy() {
    let mut stopped_by_proxy = 0;
    for case in 0..48u64 {
        let mut cluster = Cluster::activated(4, 0.0, 16_100 + case, 1_000);
        cluster.task_duration_ms = [(job_id(1), 600_000)].into();
        cluster.submit_until_accepted(&job(&job_id(1), JobKind::Array, 2));
        cluster.run_until_running(20_000, &job_id(1), 2);
        let (leader, others) = partition_leader_from_siblings(&mut cluster);
        let machines: Vec<String> =
            cluster.live_tasks(&job_id(1)).into_iter().map(|live| live.machine).collect();
        machines
            .iter()
            .for_each(|m| cluster.cut_controller_from_worker(leader, m.clone(), LinkFault::Drop));
        cluster.run_until(6_000, "a proxy renews the leases", |cluster| {
            cluster.state.keys.keys().any(|k| k.starts_with("view/keeper/"))
        });
        cluster.run_for_ms(1_000 + case * 13);
        cluster.state.refused_nodes.insert(leader);
        let request = cluster.abort(others[case as usize % 2], &job_id(1));
        cluster.run_until(1_900, "a proxy stops the tasks", |cluster| {
            cluster.live_tasks(&job_id(1)).is_empty() || cluster.status_code(request) != 0
        });
        cluster.run_for_ms(600);
        if cluster.status_code(request) == 200 && cluster.live_tasks(&job_id(1)).is_empty() {
            stopped_by_proxy += 1;
            // The leader reaches the machines again before it learns of the abort.
            machines.iter().for_each(|m| {
                cluster.heal_link(&Endpoint::Controller(leader), &Endpoint::Worker(m.clone()))
            });
            cluster.run_for_ms(1_000 + case * 11 % 300);
            assert!(
                cluster.starts_after_abort.is_empty(),
                "case {case}: {:?}",
                cluster.starts_after_abort
            );
        }
        cluster.clear_all_faults();
        cluster.abort_until_confirmed(&job_id(1));
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        cluster.assert_recovered();
    }
    assert!(stopped_by_proxy > 12, "a proxy stopped the tasks {stopped_by_proxy} times");
}
