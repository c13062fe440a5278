//! Scenarios in which controllers crash, or lose connections to some of their peers.

use super::profile::SiteProfile;
use super::scenario::{CutMode, Fault, Scenario};

/// Time at which the faults begin, as a fraction of the scenario's length.
const START_FRACTION: f64 = 0.3;
/// Seconds between crashes within one election.
const ELECTION_CRASH_INTERVAL_S: f64 = 0.7;
/// Seconds for which connections stay cut.
const CUT_DURATION_S: f64 = 60.0;
/// Number of machines that hang at the same time.
const HANGING_MACHINES: i64 = 20;

/// Returns scenarios in which controllers crash repeatedly, or during another fault.
pub fn crashes(site: &SiteProfile) -> Vec<Scenario> {
    let mut scenarios = repeated_crashes(site);
    scenarios.extend(crashes_during_faults(site));
    scenarios
}

fn repeated_crashes(site: &SiteProfile) -> Vec<Scenario> {
    let from_s = site.duration_s * START_FRACTION;
    let crash_every = |interval_s: f64, times: u32, count: i64| -> Vec<Fault> {
        let at_s = |n: u32| from_s + interval_s * f64::from(n);
        (0..times).map(|n| Fault::controller_crash(at_s(n), count)).collect()
    };
    vec![
        Scenario::new("leader-crashes", crash_every(site.duration_s * 0.08, 8, 1)),
        Scenario::new("all-crash-twice", crash_every(1.5, 2, site.controllers)),
        Scenario::new("all-crash-on", crash_every(5.0, 6, site.controllers)),
        Scenario::new("crash-loop", crash_every(1.3, 20, 1)),
    ]
}

fn crashes_during_faults(site: &SiteProfile) -> Vec<Scenario> {
    let from_s = site.duration_s * START_FRACTION;
    let freeze =
        Fault::new(from_s, "node_freeze").with("count", 1).with("busiest", true).lasting(30.0);
    let mut faults = vec![
        ("outage", Fault::state_service_outage(from_s, 20.0)),
        ("slow-state", Fault::state_service_slow(from_s, 10.0, 60.0)),
        ("pause", freeze),
    ];
    if let Some(zone) = &site.first_zone {
        faults.push(("zone-cut", Fault::zone_cut(from_s, zone, 40.0)));
    }
    let with_crashes = |(name, fault): (&str, Fault)| {
        let faults = vec![
            fault,
            Fault::controller_crash(from_s + 8.0, 1),
            Fault::controller_crash(from_s + 9.0, site.controllers),
            Fault::controller_crash(from_s + 30.0, 1),
        ];
        Scenario::new(format!("restart-{name}"), faults)
    };
    faults.into_iter().map(with_crashes).collect()
}

/// Returns scenarios in which controllers crash during an election or lose some of their
/// connections, and one in which machines hang.
pub fn cut_connections(site: &SiteProfile) -> Vec<Scenario> {
    let from_s = site.duration_s * START_FRACTION;
    let all_controllers = site.controllers;
    let minority = (all_controllers / 2).max(1);
    let without_store = |count: i64, mode: CutMode| {
        vec![cut_busiest_controllers(from_s, count, "from_state", mode), peers_refuse(from_s)]
    };
    let without_workers = vec![
        cut_busiest_controllers(from_s, 1, "from_workers", CutMode::Hang),
        Fault::controller_crash(from_s + 20.0, 1),
    ];
    vec![
        Scenario::new("ends-in-election-1", crashes_in_election(from_s, &[1; 12])),
        Scenario::new("ends-in-election-2", crashes_in_election(from_s, &[2, 2, 1, 2, 2, 1])),
        Scenario::new(
            "ends-in-election-all",
            crashes_in_election(from_s, &[all_controllers, 1, all_controllers, 2, all_controllers]),
        ),
        Scenario::new("only-workers-left", without_store(1, CutMode::Hang)),
        Scenario::new("only-workers-left-few", without_store(minority, CutMode::Refuse)),
        Scenario::new("workers-lost", without_workers),
        Scenario::new("hangs", hanging_machines(from_s)),
    ]
}

fn crashes_in_election(from_s: f64, counts: &[i64]) -> Vec<Fault> {
    let at_s = |n: usize| from_s + ELECTION_CRASH_INTERVAL_S * n as f64;
    counts.iter().enumerate().map(|(n, count)| Fault::controller_crash(at_s(n), *count)).collect()
}

/// Cuts the busiest controllers off from one kind of peer; `side` is the fault's key for that kind.
fn cut_busiest_controllers(at_s: f64, count: i64, side: &str, mode: CutMode) -> Fault {
    Fault::new(at_s, "node_cut")
        .with("count", count)
        .with("busiest", true)
        .with(side, true)
        .with("mode", mode.key())
        .lasting(CUT_DURATION_S)
}

fn peers_refuse(at_s: f64) -> Fault {
    Fault::new(at_s, "peers_refuse").lasting(CUT_DURATION_S)
}

fn hanging_machines(from_s: f64) -> Vec<Fault> {
    let hang = |at_s: f64, duration_s: f64| {
        Fault::new(at_s, "machine_hang").with("count", HANGING_MACHINES).lasting(duration_s)
    };
    vec![hang(from_s, 15.0), Fault::controller_crash(from_s + 5.0, 1), hang(from_s + 40.0, 40.0)]
}
