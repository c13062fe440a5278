//! Scenarios with a flood of jobs: for a while, jobs arrive at a multiple of their usual rate.

use super::profile::SiteProfile;
use super::scenario::{Fault, Scenario};

/// Multiples of the arrival rate in floods of a single class.
const FLOOD_FACTORS: [f64; 3] = [5.0, 8.0, 15.0];
/// Multiple of the arrival rate in floods during which spot machines are interrupted.
const INTERRUPTION_FLOOD_FACTOR: f64 = 5.0;
/// Multiple of the arrival rate of each class in floods of two classes.
const TWO_CLASS_FLOOD_FACTOR: f64 = 8.0;
/// Time at which a flood begins, as a fraction of the scenario's length.
pub const FLOOD_START_FRACTION: f64 = 0.35;
/// Duration of a flood, as a fraction of the scenario's length.
pub const FLOOD_DURATION_FRACTION: f64 = 0.2;

/// Returns floods of each class and of each pair of classes, with a controller crash or many spot
/// interruptions in the middle of the flood.
pub fn floods(site: &SiteProfile) -> Vec<Scenario> {
    let classes = &site.job_classes;
    let mut scenarios = Vec::new();
    for (index, class) in classes.iter().enumerate() {
        for factor in FLOOD_FACTORS {
            let faults = vec![burst(site, class, factor), crash(site)];
            scenarios.push(Scenario::new(format!("flood-{class}-x{factor}"), faults));
        }
        let faults = vec![burst(site, class, INTERRUPTION_FLOOD_FACTOR), spot_interruptions(site)];
        scenarios.push(Scenario::new(format!("wave-{class}"), faults));
        for other in &classes[index + 1..] {
            let faults = vec![
                burst(site, class, TWO_CLASS_FLOOD_FACTOR),
                burst(site, other, TWO_CLASS_FLOOD_FACTOR),
                crash(site),
            ];
            scenarios.push(Scenario::new(format!("flood-{class}-{other}"), faults));
        }
    }
    scenarios
}

fn burst(site: &SiteProfile, class: &str, factor: f64) -> Fault {
    let duration_s = site.duration_s * FLOOD_DURATION_FRACTION;
    Fault::job_burst(site.duration_s * FLOOD_START_FRACTION, class, factor, duration_s)
}

fn flood_middle_s(site: &SiteProfile) -> f64 {
    site.duration_s * (FLOOD_START_FRACTION + FLOOD_DURATION_FRACTION / 2.0)
}

fn crash(site: &SiteProfile) -> Fault {
    Fault::controller_crash(flood_middle_s(site), 1)
}

fn spot_interruptions(site: &SiteProfile) -> Fault {
    Fault::new(flood_middle_s(site), "spot_taken")
        .with("share", 0.4)
        .with("notice_s", 12.0)
        .with("over_s", 20.0)
}
