//! Settings of the core: the platform's, the operators', and the times that follow from them.
//! Every time is a ratio to a setting, so that it holds for any deployment.

use std::collections::BTreeSet;

use quartzgate_feature_gates::{GateTable, GATES};
use quartzgate_wire::settings::{Platform, SettingsError, StateLimits};
use serde::Deserialize;

/// Operators' own settings, read from YAML. Every key may be left out.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Probes of each short task.
    pub probes: usize,
    /// Tasks estimated to run longer than this, in seconds, get a single probe at the best machine.
    pub long_task_s: f64,
    /// Demand/supply ratio above which scarce constraints may go first.
    pub ratio_threshold: f64,
    /// E\[W\], in seconds, above which scarce constraints go first.
    pub wait_threshold_s: f64,
    /// How often a queued task may be passed by others.
    pub slack_cap: u32,
    /// Idle time after which a machine is released, in multiples of the larger of
    /// its boot time and the minute that is charged at least.
    pub idle_ratio: f64,
    /// Resources of ordinary machines kept free for production starts, as a share of what
    /// production uses.
    pub warm_share: f64,
    /// Whether this controller agrees to format 2 of the records, and so to any later one.
    /// Once all do, the first version cannot be put back.
    pub new_format: bool,
    /// Accepted jobs share batch records while less than this part of a second's writes is left.
    pub share_pages_below: f64,
    /// Names of formats and features that this controller does not agree to activate.
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
    /// Checks that every value is in range and every step is known; the error names the key.
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

    /// Formats and features that this controller does not agree to activate.
    pub fn withheld(&self) -> BTreeSet<String> {
        let first = GATES.formats.first().filter(|_| !self.new_format);
        let named = self.withhold.iter().cloned();
        named.chain(first.map(|v| v.name.to_string())).collect()
    }
}

/// All settings of one controller.
#[derive(Clone, Debug)]
pub struct Config {
    /// The platform's settings.
    pub platform: Platform,
    /// The operators' settings.
    pub operator: Operator,
    /// Limits of the key-value store that hold now and after they have fallen.
    pub lowest: StateLimits,
    /// The formats and features that this build knows.
    pub table: &'static GateTable,
}

/// Time after which a worker ignores the answer to its heartbeat, by the protocol.
const ANSWER_DROP_MS: u64 = 4_000;
/// Monotonic clocks drift apart by up to 0.05%; counted twice, for both ends.
const DRIFT: f64 = 0.001;

fn ms(seconds: f64) -> u64 {
    (seconds * 1000.0).ceil() as u64
}

impl Config {
    /// Settings with the feature gates that this build knows.
    pub fn new(platform: Platform, operator: Operator) -> Self {
        let lowest = platform.params.state.lowest();
        Config { platform, operator, lowest, table: &GATES }
    }

    /// Time between two heartbeats of a worker.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        ms(self.platform.params.workers.report_s)
    }

    /// Length of a worker's lease, from when it sent the heartbeat that was answered.
    pub fn lease_ms(&self) -> u64 {
        ms(self.platform.params.workers.lease_s)
    }

    /// Time within which the tasks of a cancelled job must be gone.
    fn cancel_ms(&self) -> u64 {
        ms(self.platform.params.workers.cancel_s)
    }

    /// Margin for drift over the longest span that is measured, and for two late timers.
    fn margin_ms(&self) -> u64 {
        ms(self.platform.params.workers.cancel_s * DRIFT) + 250
    }

    /// The lease bound: how long after its last proven contact with the key-value store a
    /// controller may go on answering heartbeats, so that all that it keeps alive is gone in time
    /// for a cancellation that it did not see. A worker's lease counts from when it sent the
    /// heartbeat, so the time after which it ignores an answer needs no place here.
    pub fn lease_bound_ms(&self) -> u64 {
        self.cancel_ms().saturating_sub(self.lease_ms() + 2 * self.margin_ms())
    }

    /// How long after this leader's last answer a worker that accepts only its fencing token must
    /// have given up all its tasks.
    pub fn lease_expiry_ms(&self) -> u64 {
        self.lease_ms() + self.margin_ms()
    }

    /// How long after an epoch began a worker that never saw its fencing token must have given up
    /// all its tasks: the earlier leader has stopped answering by its lease bound, and the lease
    /// that it last renewed has expired.
    pub fn inherited_lease_expiry_ms(&self) -> u64 {
        self.lease_bound_ms() + self.lease_ms() + 2 * self.margin_ms()
    }

    /// Time to live of a controller's lease at the key-value store.
    pub fn controller_lease_ttl_ms(&self) -> u64 {
        (self.lease_ms() / 4).max(1000)
    }

    /// Time between two renewals of a controller's lease.
    pub fn lease_renewal_ms(&self) -> u64 {
        self.controller_lease_ttl_ms() / 4
    }

    /// How long a watch at the key-value store waits for a change.
    pub fn watch_block_ms(&self) -> u64 {
        // Contact must be proven several times within the lease bound.
        self.heartbeat_interval_ms().clamp(1000, 3000).min((self.lease_bound_ms() / 4).max(100))
    }

    /// Time between two events above which the process must have stalled: ticks come far more
    /// often, and a lease outlasts it.
    pub fn stall_threshold_ms(&self) -> u64 {
        self.controller_lease_ttl_ms() / 3
    }

    /// Timeout of an ordinary call to the key-value store.
    pub fn store_timeout_ms(&self) -> u64 {
        (self.controller_lease_ttl_ms() / 3).clamp(400, 1000)
    }

    /// Timeout of a call to a worker.
    pub fn worker_timeout_ms(&self) -> u64 {
        self.heartbeat_interval_ms().clamp(800, ANSWER_DROP_MS / 2)
    }

    /// How long a worker waits for the answer to its heartbeat.
    pub fn worker_patience_ms(&self) -> u64 {
        ANSWER_DROP_MS
    }

    /// How long a worker's heartbeat may be held before it is answered: well within the time
    /// after which the worker turns to another controller.
    pub fn max_heartbeat_hold_ms(&self) -> u64 {
        ANSWER_DROP_MS * 3 / 4
    }

    /// Timeout of a call to another controller: well within the two seconds that a user waits for
    /// the answer to a status query.
    pub fn mesh_timeout_ms(&self) -> u64 {
        1_000
    }

    /// Timeout of a user's request that is forwarded: what is left must do to decide it here by
    /// the records.
    pub fn forward_timeout_ms(&self) -> u64 {
        self.mesh_timeout_ms() * 2 / 5
    }

    /// Longest time for which changes are gathered into one write.
    pub fn write_batch_ms(&self) -> u64 {
        self.heartbeat_interval_ms() / 10
    }

    /// Longest time for which a write that nothing waits for is delayed by others.
    pub fn max_write_delay_ms(&self) -> u64 {
        self.lease_ms() / 2
    }

    /// Index of a team in the settings.
    pub fn team(&self, name: &str) -> Option<usize> {
        self.platform.params.teams.iter().position(|t| t.name == name)
    }
}
