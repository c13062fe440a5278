//! Building blocks of generated scenarios, in the format of the bench's site files.

use toml_edit::{Array, InlineTable, Item, Table, Value};

/// Value of the key `slot` in all generated scenarios.
const SLOT: &str = "scale";
/// Random seed of all generated scenarios.
const SEED: i64 = 1;

/// One entry of a scenario's list of faults. Keys are written in the order of the calls.
#[derive(Clone, Debug)]
pub struct Fault(InlineTable);

impl Fault {
    /// Creates a fault of a kind that begins at a second of the scenario.
    pub fn new(at_s: f64, kind: &str) -> Self {
        Fault(InlineTable::new()).with("at_s", at_s).with("kind", kind)
    }

    /// Sets a key of the fault.
    pub fn with(mut self, key: &str, value: impl Into<Value>) -> Self {
        self.0.insert(key, value.into());
        self
    }

    /// Sets the number of seconds that the fault lasts.
    pub fn lasting(self, duration_s: f64) -> Self {
        self.with("for_s", duration_s)
    }

    /// Creates a fault that crashes `count` controllers, the busiest first.
    pub fn controller_crash(at_s: f64, count: i64) -> Self {
        Fault::new(at_s, "node_crash").with("count", count).with("busiest", true)
    }

    /// Creates a fault that takes the state service down.
    pub fn state_service_outage(at_s: f64, duration_s: f64) -> Self {
        Fault::new(at_s, "state_outage").lasting(duration_s)
    }

    /// Creates a fault that makes the state service slower by a factor.
    pub fn state_service_slow(at_s: f64, factor: f64, duration_s: f64) -> Self {
        Fault::new(at_s, "state_slow").with("factor", factor).lasting(duration_s)
    }

    /// Creates a fault that cuts a zone off from all others; messages to and from it hang.
    pub fn zone_cut(at_s: f64, zone: &str, duration_s: f64) -> Self {
        Fault::new(at_s, "zone_cut")
            .with("zone", zone)
            .with("mode", CutMode::Hang.key())
            .lasting(duration_s)
    }

    /// Creates a fault that affects a fraction (0 to 1) of all machines, messages or jobs.
    pub fn of_fraction(at_s: f64, kind: &str, fraction: f64, duration_s: f64) -> Self {
        Fault::new(at_s, kind).with("share", fraction).lasting(duration_s)
    }

    /// Creates a fault that multiplies the arrival rate of a job class by a factor.
    pub fn job_burst(at_s: f64, class: &str, factor: f64, duration_s: f64) -> Self {
        Fault::new(at_s, "job_burst")
            .with("class", class)
            .with("factor", factor)
            .lasting(duration_s)
    }
}

/// The way in which calls fail across a cut connection.
#[derive(Clone, Copy)]
pub enum CutMode {
    /// Connections are refused at once.
    Refuse,
    /// Messages get no answer.
    Hang,
}

impl CutMode {
    /// Returns the value that the bench reads for the mode.
    pub fn key(self) -> &'static str {
        match self {
            CutMode::Refuse => "refuse",
            CutMode::Hang => "hold",
        }
    }
}

/// A generated scenario: faults, and teams and jobs that differ from the site's own.
pub struct Scenario {
    name: String,
    faults: Vec<Fault>,
    teams: Option<Array>,
    jobs: Option<Array>,
}

impl Scenario {
    /// Creates a scenario with the site's own teams and jobs.
    pub fn new(name: impl Into<String>, faults: Vec<Fault>) -> Self {
        Scenario { name: name.into(), faults, teams: None, jobs: None }
    }

    /// Sets the teams that the scenario adds to the site's or changes.
    pub fn with_teams(self, teams: Array) -> Self {
        Scenario { teams: Some(teams), ..self }
    }

    /// Sets the job classes that the scenario adds to the site's or changes.
    pub fn with_jobs(self, jobs: Array) -> Self {
        Scenario { jobs: Some(jobs), ..self }
    }

    /// Converts the scenario to the table that the bench reads.
    pub fn into_table(self) -> Table {
        let faults: Array = self.faults.into_iter().map(|fault| Value::from(fault.0)).collect();
        let mut table = Table::new();
        table.insert("name", toml_edit::value(self.name));
        table.insert("slot", toml_edit::value(SLOT));
        table.insert("light", toml_edit::value(false));
        table.insert("seed", toml_edit::value(SEED));
        table.insert("faults", toml_edit::value(faults));
        if let Some(teams) = self.teams {
            table.insert("teams", Item::Value(teams.into()));
        }
        if let Some(jobs) = self.jobs {
            table.insert("jobs", Item::Value(jobs.into()));
        }
        table
    }
}

/// Creates an inline table with the given keys, in the given order.
pub fn inline_table<const N: usize>(entries: [(&str, Value); N]) -> InlineTable {
    let mut table = InlineTable::new();
    for (key, value) in entries {
        table.insert(key, value);
    }
    table
}
