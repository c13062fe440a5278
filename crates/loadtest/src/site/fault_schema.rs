//! The kinds of fault that the bench knows, and the values that their keys may hold.
//!
//! When a scenario is run, a misspelt kind or key is ignored, and a test that injects no fault
//! passes. Unknown names and invalid values are therefore refused here.

use toml_edit::{Array, Item, Table, Value};

use super::SiteError;

/// Keys that every fault may have: its kind, and the second of the scenario at which it begins.
const KIND_KEY: &str = "kind";
const START_KEY: &str = "at_s";

/// The values that a key of a fault may hold.
#[derive(Clone, Copy)]
enum ValueRule {
    /// A finite number that is not negative.
    Amount,
    /// A fraction from 0 to 1.
    Fraction,
    Count,
    Name,
    Names,
    Flag,
}

use ValueRule::{Amount, Count, Flag, Fraction, Name, Names};

impl ValueRule {
    fn allows(self, value: &Value) -> bool {
        let number = value.as_float().or(value.as_integer().map(|integer| integer as f64));
        match self {
            Amount => number.is_some_and(|number| number.is_finite() && number >= 0.0),
            Fraction => number.is_some_and(|number| (0.0..=1.0).contains(&number)),
            Count => value.as_integer().is_some_and(|count| count >= 0),
            Name => value.as_str().is_some_and(|name| !name.is_empty()),
            Names => value.as_array().is_some_and(is_list_of_names),
            Flag => value.as_bool().is_some(),
        }
    }

    fn description(self) -> &'static str {
        match self {
            Amount => "a number of 0 or more",
            Fraction => "a number from 0 to 1",
            Count => "a whole number of 0 or more",
            Name => "a name",
            Names => "a list of names",
            Flag => "true or false",
        }
    }
}

fn is_list_of_names(names: &Array) -> bool {
    !names.is_empty() && names.iter().all(|name| name.as_str().is_some())
}

/// A kind of fault and the keys that are specific to it.
struct FaultKind {
    name: &'static str,
    keys: &'static [(&'static str, ValueRule)],
}

const fn kind(name: &'static str, keys: &'static [(&'static str, ValueRule)]) -> FaultKind {
    FaultKind { name, keys }
}

impl FaultKind {
    fn find(name: &str) -> Option<&'static FaultKind> {
        FAULT_KINDS.iter().find(|kind| kind.name == name)
    }

    fn all_names() -> String {
        let names: Vec<&str> = FAULT_KINDS.iter().map(|kind| kind.name).collect();
        names.join(", ")
    }

    fn rule_of(&self, key: &str) -> Option<ValueRule> {
        let specific = self.keys.iter().find(|(known, _)| *known == key).map(|(_, rule)| *rule);
        specific.or((key == START_KEY).then_some(Amount))
    }

    fn all_keys(&self) -> String {
        let keys: Vec<&str> = self.keys.iter().map(|(key, _)| *key).collect();
        format!("{START_KEY}, {}", keys.join(", "))
    }
}

/// Kinds of fault that a scenario may name, with their keys in addition to `kind` and `at_s`.
static FAULT_KINDS: [FaultKind; 31] = [
    kind("boot_trouble", &[("fail", Fraction), ("factor", Amount), ("for_s", Amount)]),
    kind("cancel_at_end", &[("share", Fraction), ("for_s", Amount)]),
    kind("cancel_now", &[("count", Count), ("hang_s", Amount)]),
    kind(
        "capacity",
        &[
            ("type", Name),
            ("zone", Name),
            // Both are fractions of the previous capacity.
            ("count", Amount),
            ("spot", Amount),
            ("for_s", Amount),
        ],
    ),
    kind("close_looks", &[("for_s", Amount)]),
    kind("cloud_outage", &[("for_s", Amount)]),
    kind("job_burst", &[("class", Name), ("factor", Amount), ("for_s", Amount)]),
    kind("late_reports", &[("share", Fraction), ("for_s", Amount), ("for_next", Flag)]),
    kind("late_writes", &[("share", Fraction), ("for_s", Amount), ("at_once", Flag)]),
    kind("machine_deaf", MACHINE_FAULT_KEYS),
    kind("machine_die", MACHINE_FAULT_KEYS),
    kind("machine_hang", MACHINE_FAULT_KEYS),
    kind("machine_mute", MACHINE_FAULT_KEYS),
    kind("machine_sick", MACHINE_FAULT_KEYS),
    kind("machine_slow", MACHINE_FAULT_KEYS),
    kind("node_crash", CONTROLLER_FAULT_KEYS),
    kind(
        "node_cut",
        &[
            ("count", Count),
            ("busiest", Flag),
            ("from_state", Flag),
            ("from_peers", Flag),
            ("from_workers", Flag),
            ("for_s", Amount),
            ("mode", Name),
        ],
    ),
    kind("node_down", CONTROLLER_FAULT_KEYS),
    kind("node_freeze", CONTROLLER_FAULT_KEYS),
    kind("node_roll", &[("every_s", Amount), ("upgrade", Flag)]),
    kind("node_slow", CONTROLLER_FAULT_KEYS),
    kind("odd_requests", &[("for_s", Amount)]),
    kind("peers_refuse", &[("for_s", Amount)]),
    kind("poll_storm", &[("factor", Amount), ("for_s", Amount)]),
    kind("spot_rate", &[("per_hour", Amount), ("for_s", Amount)]),
    kind("spot_taken", &[("share", Fraction), ("notice_s", Amount), ("over_s", Amount)]),
    kind("state_limits", &[("value_kb", Amount), ("txn_ops", Count), ("write_rps", Amount)]),
    kind("state_outage", &[("for_s", Amount)]),
    kind("state_slow", &[("factor", Amount), ("for_s", Amount)]),
    kind("zone_cut", &[("zone", Name), ("for_s", Amount), ("mode", Name)]),
    kind("zone_partition", &[("zones", Names), ("for_s", Amount), ("mode", Name)]),
];

/// Keys of the faults that affect machines.
const MACHINE_FAULT_KEYS: &[(&str, ValueRule)] =
    &[("count", Count), ("share", Fraction), ("zone", Name), ("factor", Amount), ("for_s", Amount)];

/// Keys of the faults that affect controllers.
const CONTROLLER_FAULT_KEYS: &[(&str, ValueRule)] =
    &[("count", Count), ("busiest", Flag), ("factor", Amount), ("for_s", Amount)];

/// Checks that the kind of each fault of a scenario is known and has its keys, with allowed values.
pub fn check_scenario(scenario: &Table) -> Result<(), SiteError> {
    let name = scenario.get("name").and_then(Item::as_str).unwrap_or("without a name");
    let faults = scenario.get("faults").and_then(Item::as_array);
    for fault in faults.into_iter().flatten().filter_map(Value::as_inline_table) {
        let kind_name = fault.get(KIND_KEY).and_then(Value::as_str).unwrap_or("none");
        let Some(kind) = FaultKind::find(kind_name) else {
            return Err(SiteError::UnknownFaultKind {
                scenario: name.to_string(),
                kind: kind_name.to_string(),
                allowed: FaultKind::all_names(),
            });
        };
        for (key, value) in fault.iter().filter(|(key, _)| *key != KIND_KEY) {
            check_value(name, kind, key, value)?;
        }
    }
    Ok(())
}

fn check_value(
    scenario: &str,
    kind: &FaultKind,
    key: &str,
    value: &Value,
) -> Result<(), SiteError> {
    let (scenario, kind_name) = (scenario.to_string(), kind.name.to_string());
    match kind.rule_of(key) {
        Some(rule) if rule.allows(value) => Ok(()),
        Some(rule) => Err(SiteError::FaultValue {
            scenario,
            kind: kind_name,
            key: key.to_string(),
            value: value.to_string().trim().to_string(),
            allowed: rule.description(),
        }),
        None => Err(SiteError::UnknownFaultKey {
            scenario,
            kind: kind_name,
            key: key.to_string(),
            allowed: kind.all_keys(),
        }),
    }
}
