//! Random combinations of all kinds of faults.

use crate::cluster::{job, Cluster, LinkFault};
use quartzgate_wire::msg::{JobKind, JobStatus};

/// Injects a random fault at a random controller, or ends all faults; returns that controller.
pub fn inject_random_fault(cluster: &mut Cluster, rng: &mut rand::rngs::SmallRng) -> usize {
    use rand::Rng;
    let node = rng.random_range(0..3);
    let link_fault = if rng.random_bool(0.5) { LinkFault::Hold } else { LinkFault::Drop };
    match rng.random_range(0..11) {
        0 => cluster.crash_for_ms(node, 3_000),
        1 => cluster.crash_all_for_ms(2_000),
        2 => cluster.cut_controller_from_state_service(node, link_fault),
        3 => {
            cluster.state.refused_nodes.insert(node);
        }
        4 => cluster.state.down = !cluster.state.down,
        5 => cluster.cut_controllers(node, (node + 1) % 3, link_fault),
        6 => {
            let machines: Vec<String> = cluster.workers.keys().cloned().collect();
            let machine = machines[rng.random_range(0..machines.len())].clone();
            cluster.hang_machine(&machine, rng.random_range(2_000..12_000));
        }
        8 => cluster.stall(node, rng.random_range(1_000..26_000)),
        9 => cluster.stall_in_round(node, rng.random_range(1_000..26_000)),
        7 => {
            let machines: Vec<String> = cluster.workers.keys().cloned().collect();
            for machine in machines.iter().filter(|_| rng.random_bool(0.4)) {
                cluster.cut_controller_from_worker(node, machine.clone(), link_fault);
            }
        }
        _ => {
            cluster.heal_links();
            cluster.state.refused_nodes.clear();
            cluster.state.down = false;
        }
    }
    node
}

/// Random crashes, partitions, outages, hangs and aborts over a lossy network: the invariants must
/// hold, and once the faults are over every job that was not aborted must complete.
#[test]
fn all_jobs_complete_under_random_faults() {
    use rand::{rngs::SmallRng, Rng, SeedableRng};
    for seed in 0..30 {
        let mut cluster = Cluster::new(3, 6, 32.0, 2000 + seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        cluster.message_loss = 0.01;
        cluster.max_delay_ms = 60;
        cluster.scale_out_disabled = false;
        cluster.run_for_ms(1_000);
        let mut jobs = Vec::new();
        for n in 0..12 {
            let id = format!("wk-{:06}", n + 1);
            let kind = match n % 4 {
                0 => JobKind::Service,
                3 => JobKind::Gang,
                _ => JobKind::Array,
            };
            cluster.task_duration_ms.insert(id.clone(), rng.random_range(500..12_000));
            let mut spec = job(&id, kind, rng.random_range(1..5));
            spec.spread = kind == JobKind::Service;
            cluster.submit(rng.random_range(0..3), &spec);
            jobs.push((id, spec));
            let node = inject_random_fault(&mut cluster, &mut rng);
            if rng.random_bool(0.2) {
                let index = rng.random_range(0..jobs.len());
                let id = jobs[index].0.clone();
                cluster.abort(node, &id);
            }
            cluster.run_for_ms(rng.random_range(500..8_000));
        }
        cluster.heal_links();
        cluster.state.refused_nodes.clear();
        cluster.state.down = false;
        cluster.crash_all_for_ms(1_000);
        cluster.run_for_ms(2_000);
        for (id, spec) in &jobs {
            if spec.kind == JobKind::Service {
                cluster.submit_until_accepted(spec);
                cluster.abort_until_confirmed(id);
            }
        }
        for (id, spec) in &jobs {
            if spec.kind != JobKind::Service {
                cluster.submit_until_accepted(spec);
                if cluster.observed_status.get(id) != Some(&JobStatus::Aborted) {
                    cluster.run_until_done(id, 300_000);
                }
            }
        }
        cluster.assert_no_accepted_job_is_lost();
    }
}
