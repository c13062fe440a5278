//! Tests of what `cloud.rs` keeps to itself.

use proptest::prelude::*;

use super::*;

fn place(kind: &str, cpus: f64) -> Place {
    let room = Resources { cpus, gpus: 0.0, memory_gb: 4.0 * cpus };
    Place { kind: kind.into(), zone: Some(0), spot: false, room: thousandths(&room) }
}

proptest! {
    /// Guards what is hired: counting machines that are alike finds exactly the room
    /// that listing them one by one would, and takes exactly what it gives out.
    #[test]
    fn counted_room_is_the_room_there_is(
        machines in prop::collection::vec((0u32..3, 1u32..5), 0..30),
        jobs in prop::collection::vec((1u32..4, 0u32..60), 1..8),
    ) {
        let mut pool = Pool::default();
        for (size, n) in &machines {
            pool.add(place(["s", "m", "l"][*size as usize], f64::from(4 << size)), *n);
        }
        let cpus = |pool: &Pool| -> f64 {
            pool.places.iter().map(|(p, n)| p.resources().cpus * f64::from(*n)).sum()
        };
        for (cpu, wanted) in jobs {
            let need = Resources { cpus: f64::from(cpu), gpus: 0.0, memory_gb: 1.0 };
            let one_by_one: u32 = pool
                .places
                .iter()
                .flat_map(|(p, n)| (0..*n).map(|_| p.resources().holds(&need)))
                .sum();
            let before = cpus(&pool);
            let left = pool.fill(&need, wanted, |_| true);
            prop_assert_eq!(left, wanted.saturating_sub(one_by_one));
            let taken = f64::from(wanted - left) * need.cpus;
            prop_assert!((before - cpus(&pool) - taken).abs() < 1e-6);
            prop_assert!(pool.places.keys().all(|p| p.room.iter().all(|r| *r >= 0)));
        }
    }
}
