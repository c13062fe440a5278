//! Scenarios in which many times as many jobs arrive for a while.

use super::profile::SiteProfile;
use super::scenario::{Fault, Scenario};

/// How many times as many jobs of a single class arrive.
const FLOOD_FACTORS: [f64; 3] = [5.0, 8.0, 15.0];
/// How many times as many jobs arrive while spot machines are interrupted.
const INTERRUPTION_FLOOD_FACTOR: f64 = 5.0;
/// How many times as many jobs of each of two classes arrive.
const TWO_CLASS_FLOOD_FACTOR: f64 = 8.0;
/// When a flood begins, as a part of the scenario.
pub const FLOOD_START_PART: f64 = 0.35;
/// How long a flood lasts, as a part of the scenario.
pub const FLOOD_LENGTH_PART: f64 = 0.2;

/// Floods of each class and of each two classes, with a controller crash or a wave of spot
/// interruptions in the middle.
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
    let duration_s = site.duration_s * FLOOD_LENGTH_PART;
    Fault::job_burst(site.duration_s * FLOOD_START_PART, class, factor, duration_s)
}

fn middle_of_flood_s(site: &SiteProfile) -> f64 {
    site.duration_s * (FLOOD_START_PART + FLOOD_LENGTH_PART / 2.0)
}

fn crash(site: &SiteProfile) -> Fault {
    Fault::controller_crash(middle_of_flood_s(site), 1)
}

fn spot_interruptions(site: &SiteProfile) -> Fault {
    Fault::new(middle_of_flood_s(site), "spot_taken")
        .with("share", 0.4)
        .with("notice_s", 12.0)
        .with("over_s", 20.0)
}
