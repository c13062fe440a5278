//! Stories of the largest jobs, while small ones keep coming.

use crate::world::{job, World};
use quartzgate_wire::msg::{JobSpec, Shape};

fn name(n: u32) -> String {
    format!("wk-{n:06}")
}

/// Machines that stay, and no others.
fn world(workers: usize, seed: u64) -> World {
    let mut w = World::new(3, workers, 0.0, seed);
    w.keeps_idle = true;
    w.start_anew();
    w.run(2_500);
    w
}

/// A job each of whose tasks takes a machine whole.
fn whole(n: u32, shape: Shape, tasks: u32) -> JobSpec {
    JobSpec { cpus: 8.0, estimate_s: 6.0, ..job(&name(n), shape, tasks) }
}

/// Small jobs come faster than they can run while the large one waits; returns how long that was.
fn crowd(w: &mut World, large: &JobSpec, shape: Shape, every_ms: u64) -> u64 {
    w.run_ms = (0..2_000).map(|n| (name(n), 6_000)).collect();
    for n in 0..16 {
        w.submit(n as usize % 3, &whole(n, shape, 1));
    }
    w.run(4_000);
    w.submit(0, large);
    let (began, mut n) = (w.now, 16);
    let begun =
        |w: &World| (0..large.tasks).all(|n| w.starts.contains_key(&format!("{}/{n}", large.id)));
    while !begun(w) {
        assert!(w.now < began + 240_000, "{} of {:?} has not begun", large.id, large.shape);
        w.submit(n as usize % 3, &whole(n, shape, 1));
        w.run(every_ms);
        n += 1;
    }
    w.now - began
}

/// Guards wide gangs against small ones that come later and fit at once, and the state service's
/// changes against gangs that are planned on the same room over and over: one that takes most of
/// the machines begins while gangs of one come faster than they can run, alone and as one of
/// three, none of which holds what another lacks.
#[test]
fn a_wide_gang_is_not_kept_out_by_small_ones() {
    for case in 0..6u64 {
        let mut w = world(8, 12_000 + case);
        let wide = |n: u32| whole(5_000 + n, Shape::Gang, if case % 2 == 0 { 6 } else { 8 });
        if case >= 4 {
            w.submit_surely(&wide(1));
            w.submit_surely(&wide(2));
        }
        let (writes, starts) = (w.state.writes, w.starts.len());
        let waited = crowd(&mut w, &wide(0), Shape::Gang, 600);
        let (writes, starts) = (w.state.writes - writes, w.starts.len() - starts);
        assert!(waited < 120_000, "case {case}: {waited} ms");
        assert!(writes < 40 + 8 * starts as u64, "case {case}: {writes} changes, {starts} starts");
        w.until_done(&wide(0).id, 60_000);
        w.nobody_is_forgotten();
    }
}

/// Guards a wide array, and a service that is spread, against small jobs of their own priority
/// that would always be done sooner.
#[test]
fn wide_arrays_and_services_begin_among_small_ones() {
    for case in 0..4u64 {
        let mut w = world(8, 12_100 + case);
        let shape = [Shape::Array, Shape::Service][case as usize % 2];
        let mut large = whole(5_000, shape, 8);
        large.rank = whole(0, Shape::Array, 1).rank;
        large.spread = shape == Shape::Service;
        w.run_ms.insert(large.id.clone(), 30_000);
        let waited = crowd(&mut w, &large, Shape::Array, 700);
        assert!(waited < 120_000, "case {case}: {waited} ms");
        w.nobody_is_forgotten();
    }
}
