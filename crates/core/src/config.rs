//! All figures that the core goes by: the platform's, the operators', and what
//! follows from them. Lengths of time are ratios to the platform's figures.

use std::collections::BTreeSet;

use quartzgate_feature_gates::{GateTable, GATES};
use quartzgate_wire::settings::{Platform, SettingsError, StateLimits};
use serde::Deserialize;

/// Operators' own settings, read from YAML. Every key may be left out.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Machines each short task is probed to.
    pub probes: usize,
    /// Tasks estimated to run longer than this are placed directly.
    pub long_task_s: f64,
    /// Demand/supply ratio past which scarce constraints may go first.
    pub ratio_threshold: f64,
    /// E[W] past which scarce constraints go first.
    pub wait_threshold_s: f64,
    /// Times a queued task may be passed.
    pub slack_cap: u32,
    /// Idle time after which a machine is returned, in multiples of the larger of
    /// its boot time and the minute it is charged for anyway.
    pub idle_ratio: f64,
    /// Ordinary room kept free for production starts, as a share of what
    /// production uses.
    pub warm_share: f64,
    /// Whether this controller agrees to format 2 of the records, and so to any later one.
    /// Once all do, the version before can't be put back.
    pub new_format: bool,
    /// Acceptances share records while less than this part of a second's changes is left.
    pub share_pages_below: f64,
    /// Names of steps, formats or features, that this controller does not agree to.
    pub withhold: Vec<String>,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            probes: 2,
            long_task_s: 600.0,
            ratio_threshold: 1.0,
            wait_threshold_s: 30.0,
            slack_cap: 5,
            idle_ratio: 0.5,
            warm_share: 0.1,
            new_format: true,
            share_pages_below: 0.5,
            withhold: Vec::new(),
        }
    }
}

impl Operator {
    pub fn check(&self) -> Result<(), SettingsError> {
        let range = |field: &str, value: f64, low: f64, high: f64| {
            if (low..=high).contains(&value) {
                return Ok(());
            }
            Err(SettingsError {
                field: field.into(),
                problem: format!("must be from {low} to {high}"),
            })
        };
        range("probes", self.probes as f64, 1.0, 16.0)?;
        range("long_task_s", self.long_task_s, 1.0, 1e6)?;
        range("ratio_threshold", self.ratio_threshold, 0.0, 1e6)?;
        range("wait_threshold_s", self.wait_threshold_s, 0.0, 1e6)?;
        range("slack_cap", self.slack_cap as f64, 0.0, 1e6)?;
        range("idle_ratio", self.idle_ratio, 0.0, 1e4)?;
        range("warm_share", self.warm_share, 0.0, 10.0)?;
        range("share_pages_below", self.share_pages_below, 0.0, 1.0)?;
        GATES.check_step_names(&self.withhold).map_err(|unknown| SettingsError {
            field: "withhold".into(),
            problem: unknown.to_string(),
        })
    }

    /// Steps that this controller does not agree to.
    pub fn withheld(&self) -> BTreeSet<String> {
        let first = GATES.formats.first().filter(|_| !self.new_format);
        let named = self.withhold.iter().cloned();
        named.chain(first.map(|v| v.name.to_string())).collect()
    }
}

#[derive(Clone, Debug)]
pub struct Config {
    pub platform: Platform,
    pub operator: Operator,
    /// What fits the state service's limits now and later.
    pub lowest: StateLimits,
    /// The formats and features that this build knows.
    pub table: &'static GateTable,
}

/// Time after which a worker drops an answer to its report (PROTOCOL).
const ANSWER_DROP_MS: u64 = 4_000;
/// Steady clocks drift apart by up to 0.05%; counted twice, for both ends.
const DRIFT: f64 = 0.001;

fn ms(seconds: f64) -> u64 {
    (seconds * 1000.0).ceil() as u64
}

impl Config {
    pub fn new(platform: Platform, operator: Operator) -> Self {
        let lowest = platform.params.state.lowest();
        Config { platform, operator, lowest, table: &GATES }
    }

    pub fn report_ms(&self) -> u64 {
        ms(self.platform.params.workers.report_s)
    }

    pub fn lease_ms(&self) -> u64 {
        ms(self.platform.params.workers.lease_s)
    }

    fn cancel_ms(&self) -> u64 {
        ms(self.platform.params.workers.cancel_s)
    }

    /// Slack for drift over the longest span that we measure, and for a timer or two.
    fn margin_ms(&self) -> u64 {
        ms(self.platform.params.workers.cancel_s * DRIFT) + 250
    }

    /// How long after its last proven contact with the state service a controller
    /// may go on answering reports. A worker's lease counts from when it sent the
    /// report that was answered, so the time after which it drops an answer
    /// (PROTOCOL) needs no place here.
    pub fn horizon_ms(&self) -> u64 {
        self.cancel_ms().saturating_sub(self.lease_ms() + 2 * self.margin_ms())
    }

    /// How long after our last answer a machine that knows our token must have
    /// given up all its tasks.
    pub fn silence_ms(&self) -> u64 {
        self.lease_ms() + self.margin_ms()
    }

    /// How long after a view began a machine that never knew its token must have
    /// given up all its tasks: its former owner has stopped answering, and the
    /// lease that it last gave has run out.
    pub fn inheritance_ms(&self) -> u64 {
        self.horizon_ms() + self.lease_ms() + 2 * self.margin_ms()
    }

    /// Time to live of a controller's lease at the state service.
    pub fn member_ttl_ms(&self) -> u64 {
        (self.lease_ms() / 4).max(1000)
    }

    pub fn renew_every_ms(&self) -> u64 {
        self.member_ttl_ms() / 4
    }

    pub fn watch_block_ms(&self) -> u64 {
        // Contact must be proven several times within the horizon.
        self.report_ms().clamp(1000, 3000).min((self.horizon_ms() / 4).max(100))
    }

    /// Time between two events past which this process must have stood still: it is
    /// told the time far more often, and a lease outlasts it.
    pub fn pause_ms(&self) -> u64 {
        self.member_ttl_ms() / 3
    }

    /// Time for an ordinary answer of the state service.
    pub fn state_timeout_ms(&self) -> u64 {
        (self.member_ttl_ms() / 3).clamp(400, 1000)
    }

    pub fn worker_timeout_ms(&self) -> u64 {
        self.report_ms().clamp(800, ANSWER_DROP_MS / 2)
    }

    /// How long a worker waits for the answer to its report.
    pub fn worker_patience_ms(&self) -> u64 {
        ANSWER_DROP_MS
    }

    /// How long a worker's report may wait for an answer: well within the time
    /// after which the worker looks elsewhere.
    pub fn park_ms(&self) -> u64 {
        ANSWER_DROP_MS * 3 / 4
    }

    /// Time for a sibling to answer a request passed on: well within the two
    /// seconds that a poll waits.
    pub fn mesh_timeout_ms(&self) -> u64 {
        1_000
    }

    /// Time for a sibling to decide a user's request: what is left must do to decide
    /// it here, by the records.
    pub fn pass_on_ms(&self) -> u64 {
        self.mesh_timeout_ms() * 2 / 5
    }

    /// Longest time for which recorded ends of tasks are gathered into one write.
    pub fn batch_ms(&self) -> u64 {
        self.report_ms() / 10
    }

    /// Longest time for which a write that nothing waits for makes way for others.
    pub fn patience_ms(&self) -> u64 {
        self.lease_ms() / 2
    }

    pub fn team(&self, name: &str) -> Option<usize> {
        self.platform.params.teams.iter().position(|t| t.name == name)
    }
}
