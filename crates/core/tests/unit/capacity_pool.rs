//! Tests of private items of `fleet/provisioning/capacity_pool.rs`.

use proptest::prelude::*;

use super::*;

fn group(kind: &str, cpus: f64) -> MachineGroup {
    let free = Resources { cpus, gpus: 0.0, memory_gb: 4.0 * cpus };
    MachineGroup::new(kind, Some(0), false, &free)
}

proptest! {
    /// Guards against provisioning too many or too few machines: counting identical machines as a
    /// group finds exactly the capacity of the single machines, and placing tasks takes exactly
    /// the capacity that they need.
    #[test]
    fn grouped_capacity_equals_capacity_of_single_machines(
        machines in prop::collection::vec((0u32..3, 1u32..5), 0..30),
        jobs in prop::collection::vec((1u32..4, 0u32..60), 1..8),
    ) {
        let mut pool = CapacityPool::default();
        for (size, count) in &machines {
            pool.add(group(["s", "m", "l"][*size as usize], f64::from(4 << size)), *count);
        }
        let free_cpus = |pool: &CapacityPool| -> f64 {
            pool.groups.iter().map(|(group, count)| group.free().cpus * f64::from(*count)).sum()
        };
        for (cpus, wanted) in jobs {
            let need = Resources { cpus: f64::from(cpus), gpus: 0.0, memory_gb: 1.0 };
            let one_by_one: u32 = pool
                .groups
                .iter()
                .flat_map(|(group, count)| (0..*count).map(|_| group.free().max_tasks(&need)))
                .sum();
            let before = free_cpus(&pool);
            let unplaced = pool.place(&need, wanted, |_| true);
            prop_assert_eq!(unplaced, wanted.saturating_sub(one_by_one));
            let taken = f64::from(wanted - unplaced) * need.cpus;
            prop_assert!((before - free_cpus(&pool) - taken).abs() < 1e-6);
            prop_assert!(
                pool.groups.keys().all(|group| group.free_thousandths.iter().all(|r| *r >= 0))
            );
        }
    }
}
