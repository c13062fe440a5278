//! Scenarios in which two faults coincide.

use toml_edit::{Array, InlineTable, Value};

use super::profile::{SiteProfile, TeamLimit};
use super::scenario::{inline_table, CutMode, Fault, Scenario};

/// Time at which the first fault begins, as a fraction of the scenario's length.
const START_FRACTION: f64 = 0.25;
/// Seconds for which an outage continues after the cancellation timeout, by which the tasks of
/// cancelled jobs must be gone.
const AFTER_CANCEL_TIMEOUT_S: f64 = 12.0;
/// Seconds for which a zone stays cut off after its workers' leases have expired.
const AFTER_LEASE_EXPIRY_S: f64 = 15.0;
/// Seconds that a single fault of users, messages or machines lasts.
const FAULT_DURATION_S: f64 = 60.0;
/// Fraction of the jobs of one class that their users cancel.
const CANCELLED_FRACTION: f64 = 0.6;

/// Returns scenarios with pairs of faults, during which users cancel many jobs whose tasks outlast
/// both faults.
pub fn faults_during_cancellations(site: &SiteProfile) -> Vec<Scenario> {
    let cancelled = site.array_classes.first().map(|class| cancelled_jobs(site, class));
    let groups = [
        store_unreachable_then_down(site),
        leader_isolated(site),
        workers_unreachable(site),
        late_messages(site),
    ];
    let named = |(name, faults): (&str, Vec<Fault>)| {
        let scenario = Scenario::new(format!("meet-{name}"), faults);
        match &cancelled {
            Some(jobs) => scenario.with_jobs(jobs.clone()),
            None => scenario,
        }
    };
    groups.into_iter().flatten().map(named).collect()
}

/// Lists of faults, each with the name from which the name of its scenario is formed.
type NamedFaults = Vec<(&'static str, Vec<Fault>)>;

fn start_s(site: &SiteProfile) -> f64 {
    site.duration_s * START_FRACTION
}

fn past_cancel_timeout_s(site: &SiteProfile) -> f64 {
    site.cancel_timeout_s + AFTER_CANCEL_TIMEOUT_S
}

fn long_outage(site: &SiteProfile, at_s: f64) -> Fault {
    Fault::state_service_outage(at_s, past_cancel_timeout_s(site))
}

/// Cuts the busiest controller off from the state service, and with `peers` from its peers as well.
fn cut_busiest_controller(
    site: &SiteProfile,
    mode: CutMode,
    peers: bool,
    duration_s: f64,
) -> Fault {
    Fault::new(start_s(site), "node_cut")
        .with("count", 1)
        .with("busiest", true)
        .with("from_state", true)
        .with("from_peers", peers)
        .with("mode", mode.key())
        .lasting(duration_s)
}

/// Crashes of the busiest controller, of all controllers, and of the busiest one again.
struct Crashes {
    first: Fault,
    all: Fault,
    last: Fault,
}

fn crashes(site: &SiteProfile) -> Crashes {
    let at_s = start_s(site) + 6.0;
    Crashes {
        first: Fault::controller_crash(at_s, 1),
        all: Fault::controller_crash(at_s + 0.7, site.controllers),
        last: Fault::controller_crash(at_s + 9.0, 1),
    }
}

/// The leader alone loses its connection to the state service; then the state service is down for
/// all controllers.
fn store_unreachable_then_down(site: &SiteProfile) -> NamedFaults {
    let from_s = start_s(site);
    let refused = || cut_busiest_controller(site, CutMode::Refuse, false, 14.0);
    let hanging = cut_busiest_controller(site, CutMode::Hang, false, past_cancel_timeout_s(site));
    let late_writes = Fault::of_fraction(from_s - 15.0, "late_writes", 0.3, 25.0);
    vec![
        ("gap", vec![refused(), long_outage(site, from_s + 2.0)]),
        ("gap-silent", vec![hanging, long_outage(site, from_s + 5.0)]),
        ("gap-late-writes", vec![late_writes, refused(), long_outage(site, from_s + 4.0)]),
    ]
}

/// The leader loses its connections to the state service and to its peers.
fn leader_isolated(site: &SiteProfile) -> NamedFaults {
    let from_s = start_s(site);
    let late_reports = Fault::of_fraction(from_s, "late_reports", 0.3, 90.0);
    let Crashes { first, last, .. } = crashes(site);
    let isolated =
        |mode: CutMode, duration_s: f64| cut_busiest_controller(site, mode, true, duration_s);
    vec![
        ("cut-off-late-reports", vec![isolated(CutMode::Hang, 60.0), late_reports]),
        ("cut-off-ends", vec![isolated(CutMode::Refuse, 40.0), first, last]),
        ("cut-off-outage", vec![isolated(CutMode::Refuse, 30.0), long_outage(site, from_s + 8.0)]),
    ]
}

/// Workers can send heartbeats but receive no messages.
fn workers_unreachable(site: &SiteProfile) -> NamedFaults {
    let from_s = start_s(site);
    let unreachable = |duration_s| Fault::of_fraction(from_s, "machine_deaf", 0.3, duration_s);
    let Crashes { first, all, .. } = crashes(site);
    vec![
        ("deaf-ends", vec![unreachable(40.0), first, all]),
        ("deaf-outage", vec![unreachable(60.0), long_outage(site, from_s + 5.0)]),
    ]
}

/// Writes and heartbeats arrive late, or controllers crash during and after an outage of the state
/// service.
fn late_messages(site: &SiteProfile) -> NamedFaults {
    let from_s = start_s(site);
    let late = |kind: &str, fraction| Fault::of_fraction(from_s, kind, fraction, 60.0);
    let Crashes { first, all, last } = crashes(site);
    let late_writes_and_crashes = vec![late("late_writes", 0.4), first.clone(), all.clone(), last];
    let all_late = vec![
        late("late_writes", 0.3),
        late("late_reports", 0.3),
        Fault::state_service_slow(from_s, 10.0, 60.0),
    ];
    let crash_after_outage = Fault::controller_crash(from_s + past_cancel_timeout_s(site) + 0.5, 1);
    let outage_and_crashes = vec![long_outage(site, from_s), first, all, crash_after_outage];
    vec![
        ("late-writes-ends", late_writes_and_crashes),
        ("late-both", all_late),
        ("outage-ends", outage_and_crashes),
    ]
}

/// Changes a class so that most of its jobs are cancelled, and its tasks run for longer than the
/// cancellation timeout.
fn cancelled_jobs(site: &SiteProfile, class: &str) -> Array {
    let run_s = |factor: f64| Value::from(factor * site.cancel_timeout_s);
    let run_s = inline_table([("median", run_s(2.0)), ("p95", run_s(2.6)), ("max", run_s(3.0))]);
    let job: InlineTable = inline_table([
        ("name", class.into()),
        ("cancelled", CANCELLED_FRACTION.into()),
        ("run_s", run_s.into()),
    ]);
    Array::from_iter([Value::from(job)])
}

/// Returns scenarios with a single fault of users, messages or machines, under each of the
/// disturbances that a cluster must withstand: controller crashes, an outage that exceeds the
/// cancellation timeout, a zone that is cut off beyond the expiry of its workers' leases, and
/// teams' limits that the load reaches.
pub fn faults_under_disturbances(site: &SiteProfile) -> Vec<Scenario> {
    let faults = single_faults(site);
    let mut scenarios = Vec::new();
    for disturbance in disturbances(site) {
        for (name, faults) in &faults {
            let faults = faults.iter().chain(&disturbance.faults).cloned().collect();
            let scenario = Scenario::new(format!("meet-{name}-{}", disturbance.name), faults);
            scenarios.push(match disturbance.limits_bind {
                true => scenario.with_teams(teams_at_binding_limits(&site.binding_limits)),
                false => scenario,
            });
        }
    }
    scenarios
}

/// A disturbance that accompanies a single fault.
struct Disturbance {
    name: &'static str,
    faults: Vec<Fault>,
    /// Whether the teams get limits that the load reaches.
    limits_bind: bool,
}

fn disturbances(site: &SiteProfile) -> Vec<Disturbance> {
    let from_s = start_s(site);
    let crashes =
        || [6.0, 21.0, 40.0].map(|after_s| Fault::controller_crash(from_s + after_s, 1)).to_vec();
    let outage = vec![long_outage(site, from_s + 6.5)];
    let mut disturbances = vec![
        Disturbance { name: "ends", faults: crashes(), limits_bind: false },
        Disturbance { name: "outage", faults: outage, limits_bind: false },
        Disturbance { name: "limit", faults: crashes(), limits_bind: true },
    ];
    if let Some(zone) = &site.first_zone {
        let cut = Fault::zone_cut(from_s + 5.0, zone, site.worker_lease_s + AFTER_LEASE_EXPIRY_S);
        disturbances.push(Disturbance { name: "zone", faults: vec![cut], limits_bind: false });
    }
    disturbances
}

fn single_faults(site: &SiteProfile) -> NamedFaults {
    let from_s = start_s(site);
    let of_fraction = |kind: &str, fraction: f64| Fault::new(from_s, kind).with("share", fraction);
    let cancel_at_once = |after_s: f64| {
        Fault::new(from_s + after_s, "cancel_now").with("count", 40).with("hang_s", 20.0)
    };
    let answers_lost = of_fraction("late_writes", 0.4).with("at_once", true);
    let copies_kept = of_fraction("late_reports", 0.5).with("for_next", true);
    vec![
        ("mute", vec![of_fraction("machine_mute", 0.3).lasting(FAULT_DURATION_S)]),
        ("cancel-now", [6.2, 7.0, 22.0].map(cancel_at_once).to_vec()),
        ("cancel-at-end", vec![of_fraction("cancel_at_end", 0.5).lasting(FAULT_DURATION_S)]),
        ("odd-requests", vec![Fault::new(from_s, "odd_requests").lasting(FAULT_DURATION_S)]),
        ("close-looks", vec![Fault::new(from_s, "close_looks").lasting(FAULT_DURATION_S)]),
        ("answers-lost", vec![answers_lost.lasting(FAULT_DURATION_S)]),
        ("copies-kept", vec![copies_kept.lasting(FAULT_DURATION_S)]),
    ]
}

fn teams_at_binding_limits(limits: &[TeamLimit]) -> Array {
    let team = |limit: &TeamLimit| {
        Value::from(inline_table([
            ("name", limit.team.as_str().into()),
            ("cpus", (limit.max_cpus / 2.0).into()),
            ("cpus_max", limit.max_cpus.into()),
        ]))
    };
    limits.iter().map(team).collect()
}
