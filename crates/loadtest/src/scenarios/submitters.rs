//! Scenarios in which one team submits small jobs faster than they can be recorded.

use toml_edit::{Array, InlineTable, Value};

use super::job_floods::{FLOOD_DURATION_FRACTION, FLOOD_START_FRACTION};
use super::profile::SiteProfile;
use super::scenario::{inline_table, Fault, Scenario};

/// One-task jobs per second that a best-effort team submits, by scenario.
const BEST_EFFORT_RATES: [f64; 3] = [15.0, 40.0, 80.0];
/// One-task jobs per second that one of the site's own teams submits.
const OWN_TEAM_RATE: f64 = 80.0;
/// Name of the team without a quota that a scenario adds to the site.
const BEST_EFFORT_TEAM: &str = "guests";
/// Seconds from the first submission of a small job to each controller crash.
const CRASHES_AFTER_S: [f64; 2] = [20.0, 60.0];

/// The class of the small jobs: one task that needs a quarter of a CPU for about half a minute.
const SMALL_JOB_CLASS: &str = r#"{ name = "guest-swarm", kind = "array", priority = "low", teams = ["guests"], cpus = 0.25, gpus = 0.0, memory_gb = 0.9, vary = 0.3, spot = true, tasks = { sizes = [1], weights = [1.0] }, run_s = { median = 20.0, p95 = 40.0, max = 60.0 }, estimate_error = 0.2, checkpoint_s = 0.0, save_s = 0.0, images = { count = 1, gb = { median = 0.5, p95 = 0.6, max = 0.8 } } }"#;

/// Returns a scenario for a best-effort team at each rate, and one in which the site's last team
/// submits the jobs at normal priority.
pub fn submitters(site: &SiteProfile) -> Vec<Scenario> {
    let mut scenarios: Vec<Scenario> =
        BEST_EFFORT_RATES.iter().map(|rate| best_effort_submitter(site, *rate)).collect();
    if let Some(team) = site.teams.last() {
        scenarios.push(own_team_submitter(site, team));
    }
    scenarios
}

fn best_effort_submitter(site: &SiteProfile, rate: f64) -> Scenario {
    let team = inline_table([("name", BEST_EFFORT_TEAM.into()), ("weight", 1.0.into())]);
    let jobs = site_classes_with(site, small_jobs_at_rate(site, rate));
    Scenario::new(format!("guests-{rate}"), crashes(site))
        .with_teams(Array::from_iter([Value::from(team)]))
        .with_jobs(jobs)
}

fn own_team_submitter(site: &SiteProfile, team: &str) -> Scenario {
    let mut class = small_job_class();
    class.insert("priority", "normal".into());
    class.insert("teams", Array::from_iter([team]).into());
    let class = with_arrivals(site, class, OWN_TEAM_RATE);
    Scenario::new(format!("crew-{OWN_TEAM_RATE}"), crashes(site))
        .with_jobs(site_classes_with(site, class))
}

fn small_jobs_at_rate(site: &SiteProfile, rate: f64) -> InlineTable {
    with_arrivals(site, small_job_class(), rate)
}

fn crashes(site: &SiteProfile) -> Vec<Fault> {
    let from_s = site.duration_s * FLOOD_START_FRACTION;
    CRASHES_AFTER_S.iter().map(|after_s| Fault::controller_crash(from_s + after_s, 1)).collect()
}

fn with_arrivals(site: &SiteProfile, mut class: InlineTable, rate: f64) -> InlineTable {
    let start_s = site.duration_s * FLOOD_START_FRACTION;
    let stop_s = site.duration_s * (FLOOD_START_FRACTION + FLOOD_DURATION_FRACTION);
    let arrivals = inline_table([
        ("rate", rate.into()),
        ("start_s", start_s.into()),
        ("stop_s", stop_s.into()),
    ]);
    class.insert("arrivals", arrivals.into());
    class
}

/// Returns the site's classes, each restricted to the site's own teams, and `class`.
fn site_classes_with(site: &SiteProfile, class: InlineTable) -> Array {
    let teams: Array = site.teams.iter().map(String::as_str).collect();
    let restricted = |name: &String| {
        let class = [("name", name.as_str().into()), ("teams", teams.clone().into())];
        Value::from(inline_table(class))
    };
    let mut jobs: Array = site.job_classes.iter().map(restricted).collect();
    jobs.push(class);
    jobs
}

fn small_job_class() -> InlineTable {
    match SMALL_JOB_CLASS.parse::<Value>() {
        Ok(Value::InlineTable(class)) => class,
        _ => unreachable!("SMALL_JOB_CLASS is an inline table"),
    }
}
