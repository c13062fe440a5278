use rand::rngs::SmallRng;
use rand::SeedableRng;

use super::{draw, Fault, FaultKind, Target};

fn schedule(seed: u64) -> Vec<Fault> {
    draw(&mut SmallRng::seed_from_u64(seed), 3, 6_000, 56_000)
}

#[test]
fn schedule_is_determined_by_the_seed() {
    assert_eq!(schedule(7), schedule(7));
    assert_ne!(schedule(7), schedule(8));
}

#[test]
fn faults_overlap_and_end_within_the_fault_phase() {
    for seed in 0..200 {
        let faults = schedule(seed);
        let is_kill = |fault: &Fault| {
            matches!(fault.kind, FaultKind::Kill { .. } | FaultKind::KillAll { .. })
        };
        for fault in &faults {
            assert!(fault.start_ms >= 6_000, "seed {seed}: {fault}");
            let limit_ms = if is_kill(fault) { 59_500 } else { 56_000 };
            assert!(fault.end_ms() <= limit_ms, "seed {seed}: {fault}");
        }
        assert!(faults.is_sorted_by_key(|fault| fault.start_ms), "seed {seed}");
        let overlaps = |pair: &[Fault]| pair[1].start_ms < pair[0].end_ms();
        assert!(faults.windows(2).any(overlaps), "seed {seed}: no two faults overlap");
    }
}

#[test]
fn every_schedule_delivers_orders_twice_and_isolates_a_leader() {
    for seed in 0..50 {
        let faults = schedule(seed);
        let copies = |fault: &Fault| matches!(fault.kind, FaultKind::CopiedOrders { .. });
        assert!(faults.iter().any(copies), "seed {seed}");
        let isolates = |cut: &Fault| {
            matches!(cut.kind, FaultKind::CutStore { target: Target::Leader, .. })
                && faults.iter().any(|other| {
                    other.start_ms == cut.start_ms
                        && matches!(other.kind, FaultKind::CutMesh { target: Target::Leader, .. })
                })
        };
        assert!(faults.iter().any(isolates), "seed {seed}");
    }
}
