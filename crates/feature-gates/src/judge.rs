//! What stands, what may come next, and what holds it back.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::record::{NodeRecord, StandingRecord};
use crate::table::{Comes, Step, Table};

/// What is known of what stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stands {
    /// Not read yet.
    Unknown,
    /// All of it is known to this build.
    At(StandingRecord),
    /// Something is on that this build does not know: it neither leads nor serves.
    Foreign(String),
}

/// Why a controller holds a step back.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// It has never left word of what it can do.
    NeverSaid,
    /// It is too old; it said the version named.
    Older(u32),
    /// It is too old to know the feature.
    Lacks,
    /// Its operators withhold the step.
    Withheld,
    /// It lives, and has not said in this life what it can do: perhaps an older version
    /// was put back.
    Replaced,
    /// It has said so and is not there now: nobody knows what comes back.
    Away,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Why::NeverSaid => write!(f, "has not said what it can do"),
            Why::Older(v) => write!(f, "knows format {v} at most"),
            Why::Lacks => write!(f, "does not know it"),
            Why::Withheld => write!(f, "is told to withhold it"),
            Why::Replaced => write!(f, "was started anew and has not said so since"),
            Why::Away => write!(f, "is not there"),
        }
    }
}

/// A step that waits for some controllers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    pub step: Step,
    pub since_ms: u64,
    pub by: BTreeMap<String, Why>,
}

/// A step to be taken now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Due {
    pub step: Step,
    /// What stands once it is taken.
    pub record: StandingRecord,
    /// What must still be as it was read.
    pub guards: Vec<StillThere>,
}

/// What a step rests on: one key for each controller, so that a transaction holds the
/// guards of a dozen even where it may change four keys only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StillThere {
    /// The key on its lease, of the life in which it said what it can do.
    Life { node: String, stamp: u64 },
    /// The lasting key of a build before the ladder, which does not say in which life.
    Word { node: String, stamp: u64 },
}

/// One controller's view of the ladder.
#[derive(Debug)]
pub struct Ladder {
    table: &'static Table,
    /// Steps that this controller's operators withhold.
    withheld: BTreeSet<String>,
    stands: Stands,
    /// Stamp of the key that says what stands; 0 while there is none.
    stamp: u64,
    /// What each controller has said, and the stamp of its key.
    nodes: BTreeMap<String, (NodeRecord, u64)>,
    held: Vec<Held>,
}

impl Ladder {
    pub fn new(table: &'static Table, withheld: BTreeSet<String>) -> Self {
        Ladder {
            table,
            withheld,
            stands: Stands::Unknown,
            stamp: 0,
            nodes: BTreeMap::new(),
            held: Vec::new(),
        }
    }

    pub fn stands(&self) -> &Stands {
        &self.stands
    }

    /// Version of the records that stands, as far as is known.
    pub fn version(&self) -> u32 {
        match &self.stands {
            Stands::At(r) => r.version,
            _ => 1,
        }
    }

    /// Something stands that this build does not know.
    pub fn foreign(&self) -> bool {
        matches!(self.stands, Stands::Foreign(_))
    }

    /// Whether a feature is known to be on.
    pub fn has(&self, name: &str) -> bool {
        let Stands::At(at) = &self.stands else { return false };
        let entry = self.table.features.iter().find(|f| f.name == name);
        entry.is_some_and(|f| match f.comes {
            Comes::With(version) => at.version >= version,
            Comes::Alone { .. } => at.features.contains(name),
        })
    }

    /// What each controller said last.
    pub fn nodes(&self) -> impl Iterator<Item = (&String, &NodeRecord)> {
        self.nodes.iter().map(|(node, (record, _))| (node, record))
    }

    /// Steps that wait, and for whom.
    pub fn held(&self) -> &[Held] {
        &self.held
    }

    /// Nothing that this build knows is left to be switched on.
    pub fn complete(&self) -> bool {
        match &self.stands {
            Stands::Unknown => false,
            Stands::Foreign(_) => true,
            Stands::At(at) => self.open_steps(at).is_empty(),
        }
    }

    /// There is a step to take to which this controller agrees.
    pub fn hopeful(&self) -> bool {
        match &self.stands {
            Stands::Unknown => true,
            Stands::Foreign(_) => false,
            Stands::At(at) => self.open_steps(at).iter().any(|s| !self.withheld.contains(s.name())),
        }
    }

    /// The one function that changes what is thought to stand. What stands stands for ever,
    /// and an older read shows less: it changes nothing. Returns whether something changed.
    pub fn stands_to(&mut self, next: Stands, stamp: u64) -> bool {
        let further = match (&self.stands, &next) {
            (Stands::Foreign(_), _) | (_, Stands::Unknown) => false,
            (Stands::Unknown, _) | (_, Stands::Foreign(_)) => true,
            (Stands::At(old), Stands::At(new)) => old != new && new.covers(old),
        };
        if further {
            (self.stands, self.stamp) = (next, stamp);
            self.held.retain(|h| !step_stands(&self.stands, h.step));
        }
        further
    }

    /// What a record of what stands means to this build. `None` stands for one that can't
    /// be decoded: not ours to guess at.
    pub fn understand(&self, record: Option<StandingRecord>) -> Stands {
        let Some(record) = record else {
            return Stands::Foreign("a record that can't be read".into());
        };
        if record.version > self.table.newest() {
            return Stands::Foreign(format!("format {}", record.version));
        }
        let knows = |n: &&String| self.table.alone().any(|(f, _)| f.name == n.as_str());
        if let Some(name) = record.features.iter().find(|n| !knows(n)) {
            return Stands::Foreign(format!("feature {name}"));
        }
        Stands::At(StandingRecord { version: record.version.max(1), ..record })
    }

    /// Takes in what each controller's lasting key says now: all of them, and their stamps.
    pub fn see(&mut self, nodes: BTreeMap<String, (NodeRecord, u64)>) {
        self.nodes = nodes;
    }

    /// What this controller can do and agrees to, beside what stands already.
    pub fn can(&self) -> NodeRecord {
        let free = |name: &str| !self.withheld.contains(name);
        let agreed = self.table.versions.iter().take_while(|v| free(v.name)).last();
        let (version, on) = match &self.stands {
            Stands::At(at) => (at.version, at.features.clone()),
            _ => (1, BTreeSet::new()),
        };
        let mut features = on;
        let alone = self.table.alone().filter(|(f, _)| free(f.name));
        features.extend(alone.map(|(f, _)| f.name.to_string()));
        NodeRecord {
            version: agreed.map_or(1, |v| v.number).max(version),
            features,
            withheld: self.withheld.clone(),
            life: None,
        }
    }

    /// Whether this controller's lasting key has to be written: it says something else, or
    /// was left in an earlier life while there is still a step to take.
    pub fn key_wanted(&self, node: &str, life: Option<u64>) -> bool {
        if !matches!(self.stands, Stands::At(_)) {
            return false;
        }
        match self.nodes.get(node) {
            None => true,
            Some((said, _)) => {
                !said.says_like(&self.can()) || !self.complete() && said.life != life
            }
        }
    }

    /// Steps of this build that don't stand and could be next.
    fn open_steps(&self, at: &StandingRecord) -> Vec<Step> {
        let version = self.table.version(at.version + 1);
        let mut steps: Vec<Step> =
            version.map(|v| Step::Version(v.number, v.name)).into_iter().collect();
        let ready = |needs: &[&str]| needs.iter().all(|n| self.has(n));
        for (f, from) in self.table.alone() {
            if at.version >= from && !at.features.contains(f.name) && ready(f.needs) {
                steps.push(Step::Feature(f.name));
            }
        }
        steps
    }

    /// Looks which step may be taken: `named` are the controllers of the settings, `members`
    /// those that live now with the stamp of the key on their lease, read after what each
    /// can do. Who lives is asked about whether it is named or not.
    pub fn weigh(
        &mut self,
        now_ms: u64,
        named: &[String],
        members: &BTreeMap<String, u64>,
    ) -> Option<Due> {
        let Stands::At(at) = self.stands.clone() else { return None };
        let all: BTreeSet<&String> = named.iter().chain(members.keys()).collect();
        let (mut held, mut due) = (Vec::new(), None);
        for step in self.open_steps(&at) {
            let why = |n: &&String| self.holds(n, step, members).map(|w| ((*n).clone(), w));
            let by: BTreeMap<String, Why> = all.iter().filter_map(why).collect();
            if by.is_empty() {
                due = due.or_else(|| Some(self.due(&at, step, &all)));
                continue;
            }
            let before = self.held.iter().find(|h| h.step == step);
            let since_ms = before.map_or(now_ms, |b| b.since_ms);
            held.push(Held { step, since_ms, by });
        }
        self.held = held;
        due
    }

    fn holds(&self, node: &str, step: Step, members: &BTreeMap<String, u64>) -> Option<Why> {
        let Some((said, _)) = self.nodes.get(node) else { return Some(Why::NeverSaid) };
        let agrees = match step {
            Step::Version(v, _) => said.version >= v,
            Step::Feature(name) => said.features.contains(name),
        };
        if !agrees {
            return Some(match step {
                _ if said.withheld.contains(step.name()) => Why::Withheld,
                Step::Version(..) => Why::Older(said.version),
                Step::Feature(_) => Why::Lacks,
            });
        }
        // Builds before the ladder don't say in which life they said it.
        let life = said.life?;
        match members.get(node) {
            Some(stamp) if *stamp == life => None,
            Some(_) => Some(Why::Replaced),
            None => Some(Why::Away),
        }
    }

    fn due(&self, at: &StandingRecord, step: Step, all: &BTreeSet<&String>) -> Due {
        let mut record = at.clone();
        match step {
            Step::Version(v, _) => record.version = v,
            Step::Feature(name) => drop(record.features.insert(name.to_string())),
        }
        let rests = |n: &&String| {
            let (said, stamp) = self.nodes.get(*n)?;
            let node = (*n).clone();
            Some(match said.life {
                Some(stamp) => StillThere::Life { node, stamp },
                None => StillThere::Word { node, stamp: *stamp },
            })
        };
        Due { step, record, guards: all.iter().filter_map(rests).collect() }
    }

    /// Stamp of the key that says what stands, to guard a step by.
    pub fn stamp(&self) -> u64 {
        self.stamp
    }
}

fn step_stands(stands: &Stands, step: Step) -> bool {
    let Stands::At(at) = stands else { return false };
    match step {
        Step::Version(v, _) => at.version >= v,
        Step::Feature(name) => at.features.contains(name),
    }
}
