//! Days of our own for a site: controllers that end in every way, floods of each class, guests who
//! send small jobs faster than they can be recorded, and pairs of troubles that meet.

use toml_edit::{Array, ArrayOfTables, DocumentMut, InlineTable, Item, Table, Value};

use crate::site::SiteError;

/// One-task jobs a second that guests send.
const GUESTS: [f64; 3] = [15.0, 40.0, 80.0];
/// How many times as many jobs of a class come in a flood.
const FLOODS: [f64; 3] = [5.0, 8.0, 15.0];
/// How long a flood lasts, as a part of the day, and when it begins.
const FLOOD: f64 = 0.2;
const BEGINS: f64 = 0.35;

fn fault(at_s: f64, kind: &str, more: &[(&str, Value)]) -> InlineTable {
    let mut f = InlineTable::new();
    f.insert("at_s", at_s.into());
    f.insert("kind", kind.into());
    more.iter().for_each(|(k, v)| drop(f.insert(*k, v.clone())));
    f
}

fn crash(at_s: f64, count: i64) -> InlineTable {
    fault(at_s, "node_crash", &[("count", count.into()), ("busiest", true.into())])
}

fn lasting(at_s: f64, kind: &str, for_s: f64, more: &[(&str, Value)]) -> InlineTable {
    let mut f = fault(at_s, kind, more);
    f.insert("for_s", for_s.into());
    f
}

struct Site {
    /// Seconds of a day.
    lasts: f64,
    nodes: i64,
    zone: Option<String>,
    teams: Vec<String>,
    classes: Vec<String>,
    /// Those whose tasks run to an end, each by itself.
    arrays: Vec<String>,
    /// Seconds within which a cancelled job is gone, and after which an unheard worker lets go.
    cancel_s: f64,
    lease_s: f64,
    /// Teams with a limit each that the day's work reaches: parts of all that can be rented.
    limited: Vec<(String, f64)>,
}

/// Part of all CPUs that can be rented which teams may use together where their limits bind.
const BINDS: f64 = 0.55;

/// An amount, written with a point or without.
fn amount(item: Option<&Item>) -> Option<f64> {
    let item = item?;
    item.as_float().or(item.as_integer().map(|n| n as f64))
}

/// Each team's part, by its weight, of what binds them all.
fn limits_that_bind(doc: &DocumentMut) -> Vec<(String, f64)> {
    let tables =
        |list: &str| doc.get(list).and_then(Item::as_array_of_tables).into_iter().flatten();
    let name = |t: &Table, key: &str| t.get(key).and_then(Item::as_str).unwrap_or("").to_string();
    let cpus_of: std::collections::BTreeMap<String, f64> = tables("machine_types")
        .map(|t| (name(t, "name"), amount(t.get("cpus")).unwrap_or(0.0)))
        .collect();
    let rented = |t: &Table| {
        let each = cpus_of.get(&name(t, "type")).copied().unwrap_or(0.0);
        each * (amount(t.get("count")).unwrap_or(0.0) + amount(t.get("spot")).unwrap_or(0.0))
    };
    let all: f64 = tables("capacity").map(rented).sum();
    let weight = |t: &Table| amount(t.get("weight")).unwrap_or(1.0);
    let weights: f64 = tables("teams").map(weight).sum();
    let part = |t: &Table| (name(t, "name"), (all * BINDS * weight(t) / weights).round());
    tables("teams").map(part).filter(|(_, limit)| *limit > 0.0).collect()
}

impl Site {
    fn read(doc: &DocumentMut) -> Result<Site, SiteError> {
        let names = |list: &'static str| -> Result<Vec<String>, SiteError> {
            let tables = doc.get(list).and_then(Item::as_array_of_tables);
            let tables = tables.ok_or(SiteError::Missing(list))?;
            let name = |t: &Table| t.get("name").and_then(Item::as_str).map(str::to_string);
            Ok(tables.iter().filter_map(name).collect())
        };
        let array = |t: &&Table| t.get("kind").and_then(Item::as_str) == Some("array");
        let jobs = doc.get("jobs").and_then(Item::as_array_of_tables);
        let jobs = jobs.into_iter().flatten().filter(array);
        let arrays = jobs.filter_map(|t| t.get("name").and_then(Item::as_str));
        let workers = doc.get("workers").ok_or(SiteError::Missing("workers"))?;
        let nodes = doc.get("nodes").ok_or(SiteError::Missing("nodes"))?;
        let zones = nodes.get("zones").and_then(Item::as_array);
        Ok(Site {
            lasts: doc
                .get("duration_s")
                .and_then(Item::as_float)
                .ok_or(SiteError::Missing("duration_s"))?,
            nodes: nodes.get("count").and_then(Item::as_integer).unwrap_or(3),
            zone: zones.and_then(|z| Some(z.get(0)?.as_str()?.to_string())),
            teams: names("teams")?,
            classes: names("jobs")?,
            arrays: arrays.map(str::to_string).collect(),
            cancel_s: workers
                .get("cancel_s")
                .and_then(Item::as_float)
                .ok_or(SiteError::Missing("workers.cancel_s"))?,
            lease_s: workers
                .get("lease_s")
                .and_then(Item::as_float)
                .ok_or(SiteError::Missing("workers.lease_s"))?,
            limited: limits_that_bind(doc),
        })
    }

    fn burst(&self, class: &str, factor: f64) -> InlineTable {
        let more = [("class", class.into()), ("factor", factor.into())];
        lasting(self.lasts * BEGINS, "job_burst", self.lasts * FLOOD, &more)
    }

    /// Ends of controllers, each with what else goes on meanwhile.
    fn restarts(&self) -> Vec<(String, Vec<InlineTable>)> {
        let from = self.lasts * 0.3;
        let every = |s: f64, n: u32, count: i64| -> Vec<InlineTable> {
            (0..n).map(|i| crash(from + s * f64::from(i), count)).collect()
        };
        let mut days = vec![
            ("leader-crashes".to_string(), every(self.lasts * 0.08, 8, 1)),
            ("all-crash-twice".into(), every(1.5, 2, self.nodes)),
            ("all-crash-on".into(), every(5.0, 6, self.nodes)),
            ("crash-loop".into(), every(1.3, 20, 1)),
        ];
        let busiest = [("count", Value::from(1)), ("busiest", true.into())];
        let during = [
            ("outage", lasting(from, "state_outage", 20.0, &[])),
            ("slow-state", lasting(from, "state_slow", 60.0, &[("factor", 10.0.into())])),
            ("pause", lasting(from, "node_freeze", 30.0, &busiest)),
        ];
        let zone = self.zone.iter().map(|z| {
            let cut = [("zone", z.as_str().into()), ("mode", "hold".into())];
            ("zone-cut", lasting(from, "zone_cut", 40.0, &cut))
        });
        for (name, trouble) in during.into_iter().chain(zone) {
            let ends = [crash(from + 8.0, 1), crash(from + 9.0, self.nodes), crash(from + 30.0, 1)];
            let faults = [trouble].into_iter().chain(ends).collect();
            days.push((format!("restart-{name}"), faults));
        }
        days
    }

    /// Ends within an election, and controllers that lose some of those they talk to.
    fn cuts(&self) -> Vec<(String, Vec<InlineTable>)> {
        let from = self.lasts * 0.3;
        let ends = |counts: &[i64]| -> Vec<InlineTable> {
            let at = |n: usize| from + 0.7 * n as f64;
            counts.iter().enumerate().map(|(n, count)| crash(at(n), *count)).collect()
        };
        let cut = |count: i64, how: &str, mode: &str| {
            let more = [
                ("count", count.into()),
                ("busiest", true.into()),
                (how, true.into()),
                ("mode", mode.into()),
            ];
            lasting(from, "node_cut", 60.0, &more)
        };
        let apart = || lasting(from, "peers_refuse", 60.0, &[]);
        let few = (self.nodes / 2).max(1);
        vec![
            ("ends-in-election-1".to_string(), ends(&[1; 12])),
            ("ends-in-election-2".into(), ends(&[2, 2, 1, 2, 2, 1])),
            ("ends-in-election-all".into(), ends(&[self.nodes, 1, self.nodes, 2, self.nodes])),
            ("only-workers-left".into(), vec![cut(1, "from_state", "hold"), apart()]),
            ("only-workers-left-few".into(), vec![cut(few, "from_state", "refuse"), apart()]),
            ("workers-lost".into(), vec![cut(1, "from_workers", "hold"), crash(from + 20.0, 1)]),
            (
                "hangs".into(),
                vec![
                    lasting(from, "machine_hang", 15.0, &[("count", 20.into())]),
                    crash(from + 5.0, 1),
                    lasting(from + 40.0, "machine_hang", 40.0, &[("count", 20.into())]),
                ],
            ),
        ]
    }

    /// Pairs of troubles that meet, each while many cancel jobs whose tasks outlast all of them.
    fn meetings(&self) -> Vec<Table> {
        let from = self.lasts * 0.25;
        let past_cancel = self.cancel_s + 12.0;
        let refused = |mode: &str, peers: bool, for_s: f64| {
            let more = [
                ("count", 1.into()),
                ("busiest", true.into()),
                ("from_state", true.into()),
                ("from_peers", peers.into()),
                ("mode", mode.into()),
            ];
            lasting(from, "node_cut", for_s, &more)
        };
        let share = |at_s: f64, kind: &str, share: f64, for_s: f64| {
            lasting(at_s, kind, for_s, &[("share", share.into())])
        };
        let outage = |at_s: f64| lasting(at_s, "state_outage", past_cancel, &[]);
        let ends =
            |at_s: f64| [crash(at_s, 1), crash(at_s + 0.7, self.nodes), crash(at_s + 9.0, 1)];
        let [one, all, again] = ends(from + 6.0);
        let days = [
            ("gap", vec![refused("refuse", false, 14.0), outage(from + 2.0)]),
            ("gap-silent", vec![refused("hold", false, past_cancel), outage(from + 5.0)]),
            (
                "gap-late-writes",
                vec![
                    share(from - 15.0, "late_writes", 0.3, 25.0),
                    refused("refuse", false, 14.0),
                    outage(from + 4.0),
                ],
            ),
            (
                "cut-off-late-reports",
                vec![refused("hold", true, 60.0), share(from, "late_reports", 0.3, 90.0)],
            ),
            ("cut-off-ends", vec![refused("refuse", true, 40.0), one.clone(), again.clone()]),
            ("cut-off-outage", vec![refused("refuse", true, 30.0), outage(from + 8.0)]),
            ("deaf-ends", vec![share(from, "machine_deaf", 0.3, 40.0), one.clone(), all.clone()]),
            ("deaf-outage", vec![share(from, "machine_deaf", 0.3, 60.0), outage(from + 5.0)]),
            (
                "late-writes-ends",
                vec![share(from, "late_writes", 0.4, 60.0), one.clone(), all.clone(), again],
            ),
            (
                "late-both",
                vec![
                    share(from, "late_writes", 0.3, 60.0),
                    share(from, "late_reports", 0.3, 60.0),
                    lasting(from, "state_slow", 60.0, &[("factor", 10.0.into())]),
                ],
            ),
            ("outage-ends", vec![outage(from), one, all, crash(from + past_cancel + 0.5, 1)]),
        ];
        let cancelled = self.arrays.first().map(|class| {
            let mut run = InlineTable::new();
            let around = [("median", 2.0), ("p95", 2.6), ("max", 3.0)];
            around.iter().for_each(|(k, by)| drop(run.insert(*k, (by * self.cancel_s).into())));
            let mut job = InlineTable::new();
            job.insert("name", class.as_str().into());
            job.insert("cancelled", 0.6.into());
            job.insert("run_s", run.into());
            Array::from_iter([Value::from(job)])
        });
        let day = |(name, faults): (&str, Vec<InlineTable>)| {
            let mut day = table(&format!("meet-{name}"), faults);
            if let Some(jobs) = &cancelled {
                day.insert("jobs", Item::Value(jobs.clone().into()));
            }
            day
        };
        days.into_iter().map(day).collect()
    }

    /// What users, messages and machines may do, each met by an end of the busiest controller, by
    /// an outage past `cancel_s`, by a zone that is cut past `lease_s` and by limits that bind.
    fn pairs(&self) -> Vec<Table> {
        let from = self.lasts * 0.25;
        let share = |kind: &str, share: f64, more: &[(&str, Value)]| {
            let all: Vec<_> = [("share", share.into())].into_iter().chain(more.to_vec()).collect();
            lasting(from, kind, 60.0, &all)
        };
        let cancel_now =
            |at_s: f64| fault(at_s, "cancel_now", &[("count", 40.into()), ("hang_s", 20.0.into())]);
        let troubles = [
            ("mute", vec![share("machine_mute", 0.3, &[])]),
            ("cancel-now", [6.2, 7.0, 22.0].map(|at| cancel_now(from + at)).to_vec()),
            ("cancel-at-end", vec![share("cancel_at_end", 0.5, &[])]),
            ("odd-requests", vec![lasting(from, "odd_requests", 60.0, &[])]),
            ("close-looks", vec![lasting(from, "close_looks", 60.0, &[])]),
            ("answers-lost", vec![share("late_writes", 0.4, &[("at_once", true.into())])]),
            ("copies-kept", vec![share("late_reports", 0.5, &[("for_next", true.into())])]),
        ];
        let ends = || vec![crash(from + 6.0, 1), crash(from + 21.0, 1), crash(from + 40.0, 1)];
        let outage = || vec![lasting(from + 6.5, "state_outage", self.cancel_s + 12.0, &[])];
        let zone = self.zone.iter().map(|z| {
            let cut = [("zone", z.as_str().into()), ("mode", "hold".into())];
            ("zone", vec![lasting(from + 5.0, "zone_cut", self.lease_s + 15.0, &cut)], false)
        });
        let meets = [("ends", ends(), false), ("outage", outage(), false), ("limit", ends(), true)];
        let mut days = Vec::new();
        for (other, more, limited) in meets.into_iter().chain(zone) {
            for (name, faults) in &troubles {
                let faults = faults.iter().chain(&more).cloned();
                let mut day = table(&format!("meet-{name}-{other}"), faults);
                if limited {
                    day.insert("teams", toml_edit::value(self.bound()));
                }
                days.push(day);
            }
        }
        days
    }

    /// The teams, at limits that bind.
    fn bound(&self) -> Array {
        let team = |(name, limit): &(String, f64)| {
            let mut team = InlineTable::new();
            team.insert("name", name.as_str().into());
            team.insert("cpus", (*limit / 2.0).into());
            team.insert("cpus_max", (*limit).into());
            Value::from(team)
        };
        self.limited.iter().map(team).collect()
    }

    /// Floods of each class, and of each two, with an end of the busiest in them.
    fn floods(&self) -> Vec<(String, Vec<InlineTable>)> {
        let end = || crash(self.lasts * (BEGINS + FLOOD / 2.0), 1);
        let mut days = Vec::new();
        for (at, class) in self.classes.iter().enumerate() {
            for factor in FLOODS {
                let faults = vec![self.burst(class, factor), end()];
                days.push((format!("flood-{class}-x{factor}"), faults));
            }
            let wave = [("share", 0.4.into()), ("notice_s", 12.0.into()), ("over_s", 20.0.into())];
            let wave = fault(self.lasts * (BEGINS + FLOOD / 2.0), "spot_taken", &wave);
            days.push((format!("wave-{class}"), vec![self.burst(class, 5.0), wave]));
            for other in &self.classes[at + 1..] {
                let faults = vec![self.burst(class, 8.0), self.burst(other, 8.0), end()];
                days.push((format!("flood-{class}-{other}"), faults));
            }
        }
        days
    }

    /// A day on which somebody sends so many one-task jobs a second: a team without a guarantee,
    /// without haste, or one of the site's own teams, at normal priority.
    fn swarm(&self, who: &str, rate: f64, own_team: Option<&str>) -> Table {
        let (from, to) = (self.lasts * BEGINS, self.lasts * (BEGINS + FLOOD));
        let ends = [crash(from + 20.0, 1), crash(from + 60.0, 1)];
        let mut day = table(&format!("{who}-{rate}"), ends);
        if own_team.is_none() {
            let mut guest = InlineTable::new();
            guest.insert("name", "guests".into());
            guest.insert("weight", 1.0.into());
            day.insert("teams", Item::Value(Array::from_iter([Value::from(guest)]).into()));
        }
        let own = Array::from_iter(self.teams.iter().map(String::as_str));
        let mut jobs = Array::new();
        for class in &self.classes {
            let mut job = InlineTable::new();
            job.insert("name", class.as_str().into());
            job.insert("teams", own.clone().into());
            jobs.push(job);
        }
        let mut swarm = match SWARM.parse::<Value>() {
            Ok(Value::InlineTable(t)) => t,
            _ => unreachable!("an inline table"),
        };
        if let Some(team) = own_team {
            swarm.insert("priority", "normal".into());
            swarm.insert("teams", Array::from_iter([team]).into());
        }
        let mut arrivals = InlineTable::new();
        arrivals.insert("rate", rate.into());
        arrivals.insert("start_s", from.into());
        arrivals.insert("stop_s", to.into());
        swarm.insert("arrivals", arrivals.into());
        jobs.push(swarm);
        day.insert("jobs", Item::Value(jobs.into()));
        day
    }
}

/// What guests send: a task of a quarter of a CPU for half a minute.
const SWARM: &str = r#"{ name = "guest-swarm", kind = "array", priority = "low", teams = ["guests"], cpus = 0.25, gpus = 0.0, memory_gb = 0.9, vary = 0.3, spot = true, tasks = { sizes = [1], weights = [1.0] }, run_s = { median = 20.0, p95 = 40.0, max = 60.0 }, estimate_error = 0.2, checkpoint_s = 0.0, save_s = 0.0, images = { count = 1, gb = { median = 0.5, p95 = 0.6, max = 0.8 } } }"#;

fn table(name: &str, faults: impl IntoIterator<Item = InlineTable>) -> Table {
    let mut day = Table::new();
    day.insert("name", toml_edit::value(name));
    day.insert("slot", toml_edit::value("scale"));
    day.insert("light", toml_edit::value(false));
    day.insert("seed", toml_edit::value(1));
    let faults = Array::from_iter(faults.into_iter().map(Value::from));
    day.insert("faults", toml_edit::value(faults));
    day
}

/// What a key of a trouble may say.
#[derive(Clone, Copy)]
enum Allowed {
    /// A number that is not below zero.
    Amount,
    /// A part of the whole.
    Part,
    Count,
    Name,
    Names,
    Flag,
}

impl Allowed {
    fn takes(self, value: &Value) -> bool {
        let number = value.as_float().or(value.as_integer().map(|n| n as f64));
        match self {
            Allowed::Amount => number.is_some_and(|n| n.is_finite() && n >= 0.0),
            Allowed::Part => number.is_some_and(|n| (0.0..=1.0).contains(&n)),
            Allowed::Count => value.as_integer().is_some_and(|n| n >= 0),
            Allowed::Name => value.as_str().is_some_and(|s| !s.is_empty()),
            Allowed::Names => {
                let names = |a: &Array| !a.is_empty() && a.iter().all(|n| n.as_str().is_some());
                value.as_array().is_some_and(names)
            }
            Allowed::Flag => value.as_bool().is_some(),
        }
    }

    fn says(self) -> &'static str {
        match self {
            Allowed::Amount => "a number of 0 or more",
            Allowed::Part => "a number from 0 to 1",
            Allowed::Count => "a whole number of 0 or more",
            Allowed::Name => "a name",
            Allowed::Names => "a list of names",
            Allowed::Flag => "true or false",
        }
    }
}

use Allowed::{Amount, Count, Flag, Name, Names, Part};

/// Kinds of trouble that a day may name, with their keys beside `kind` and `at_s`.
const KINDS: [(&str, &[(&str, Allowed)]); 31] = [
    ("boot_trouble", &[("fail", Part), ("factor", Amount), ("for_s", Amount)]),
    ("cancel_at_end", &[("share", Part), ("for_s", Amount)]),
    ("cancel_now", &[("count", Count), ("hang_s", Amount)]),
    (
        "capacity",
        &[
            ("type", Name),
            ("zone", Name),
            // Parts of what there was.
            ("count", Amount),
            ("spot", Amount),
            ("for_s", Amount),
        ],
    ),
    ("close_looks", &[("for_s", Amount)]),
    ("cloud_outage", &[("for_s", Amount)]),
    ("job_burst", &[("class", Name), ("factor", Amount), ("for_s", Amount)]),
    ("late_reports", &[("share", Part), ("for_s", Amount), ("for_next", Flag)]),
    ("late_writes", &[("share", Part), ("for_s", Amount), ("at_once", Flag)]),
    ("machine_deaf", MACHINES),
    ("machine_die", MACHINES),
    ("machine_hang", MACHINES),
    ("machine_mute", MACHINES),
    ("machine_sick", MACHINES),
    ("machine_slow", MACHINES),
    ("node_crash", NODES),
    (
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
    ("node_down", NODES),
    ("node_freeze", NODES),
    ("node_roll", &[("every_s", Amount), ("upgrade", Flag)]),
    ("node_slow", NODES),
    ("odd_requests", &[("for_s", Amount)]),
    ("peers_refuse", &[("for_s", Amount)]),
    ("poll_storm", &[("factor", Amount), ("for_s", Amount)]),
    ("spot_rate", &[("per_hour", Amount), ("for_s", Amount)]),
    ("spot_taken", &[("share", Part), ("notice_s", Amount), ("over_s", Amount)]),
    ("state_limits", &[("value_kb", Amount), ("txn_ops", Count), ("write_rps", Amount)]),
    ("state_outage", &[("for_s", Amount)]),
    ("state_slow", &[("factor", Amount), ("for_s", Amount)]),
    ("zone_cut", &[("zone", Name), ("for_s", Amount), ("mode", Name)]),
    ("zone_partition", &[("zones", Names), ("for_s", Amount), ("mode", Name)]),
];
const MACHINES: &[(&str, Allowed)] =
    &[("count", Count), ("share", Part), ("zone", Name), ("factor", Amount), ("for_s", Amount)];
const NODES: &[(&str, Allowed)] =
    &[("count", Count), ("busiest", Flag), ("factor", Amount), ("for_s", Amount)];

/// Looks whether all troubles of a day are known, with what they say; else tells which of which
/// day is not, and what is allowed.
pub fn check(day: &Table) -> Result<(), SiteError> {
    let name = day.get("name").and_then(Item::as_str).unwrap_or("without a name");
    let faults = day.get("faults").and_then(Item::as_array);
    for fault in faults.into_iter().flatten().filter_map(Value::as_inline_table) {
        let kind = fault.get("kind").and_then(Value::as_str).unwrap_or("none");
        let (day, kind) = (name.to_string(), kind.to_string());
        let Some((_, keys)) = KINDS.iter().find(|(k, _)| *k == kind) else {
            let allowed: Vec<&str> = KINDS.iter().map(|(k, _)| *k).collect();
            return Err(SiteError::Kind { day, kind, allowed: allowed.join(", ") });
        };
        for (key, value) in fault.iter().filter(|(key, _)| *key != "kind") {
            let key = key.to_string();
            let known = keys.iter().find(|(k, _)| *k == key).map(|(_, a)| *a);
            match known.or((key == "at_s").then_some(Amount)) {
                Some(allowed) if allowed.takes(value) => {}
                Some(allowed) => {
                    let (value, allowed) = (value.to_string().trim().to_string(), allowed.says());
                    return Err(SiteError::Value { day, kind, key, value, allowed });
                }
                None => {
                    let allowed: Vec<&str> = keys.iter().map(|(k, _)| *k).collect();
                    let allowed = format!("at_s, {}", allowed.join(", "));
                    return Err(SiteError::Key { day, kind, key, allowed });
                }
            }
        }
    }
    Ok(())
}

/// Puts days of our own in the place of the file's.
pub fn replace(doc: &mut DocumentMut) -> Result<(), SiteError> {
    let site = Site::read(doc)?;
    let mut days = ArrayOfTables::new();
    let with_faults = site.restarts().into_iter().chain(site.cuts()).chain(site.floods());
    with_faults.for_each(|(name, faults)| days.push(table(&name, faults)));
    site.meetings().into_iter().chain(site.pairs()).for_each(|day| days.push(day));
    GUESTS.iter().for_each(|rate| days.push(site.swarm("guests", *rate, None)));
    if let Some(team) = site.teams.last() {
        days.push(site.swarm("crew", GUESTS[GUESTS.len() - 1], Some(team)));
    }
    doc.insert("day", Item::ArrayOfTables(days));
    Ok(())
}
