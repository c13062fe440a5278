//! The one table of all steps.

use std::collections::BTreeSet;
use std::fmt;

use enumset::EnumSetType;
use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};

/// Behaviour that the code asks for by name, never by a number.
#[derive(Debug, EnumSetType, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Feature {
    /// Jobs may need others; their records say which.
    Chains,
    /// Shares are packed, and spread over several keys where one value is too small.
    Pieces,
    /// The record of a service that has ended says that it was one.
    ServiceMark,
    /// The state service's limits to come are kept, since they come without notice.
    LowLimits,
    /// The share of a job of one chunk stands in the job's own record where it fits.
    InlineShares,
    /// Jobs that are accepted together while changes are scarce share a record.
    SharedPages,
}

impl Feature {
    pub fn name(self) -> &'static str {
        self.into()
    }

    pub fn all() -> impl Iterator<Item = Feature> {
        Feature::iter()
    }
}

/// How a feature comes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comes {
    /// With a version of the records.
    With(u32),
    /// By a step of its own. Builds understand it from the version named on, which must
    /// stand before; it is 3 at least, since earlier builds look for no features and
    /// would not know that one is on.
    Alone { from: u32 },
}

#[derive(Clone, Copy, Debug)]
pub struct VersionEntry {
    pub number: u32,
    /// Name of the step that switches it on.
    pub name: &'static str,
    pub changes: &'static str,
}

#[derive(Clone, Copy, Debug)]
pub struct FeatureEntry {
    pub name: &'static str,
    pub comes: Comes,
    /// Features that must be on before it.
    pub needs: &'static [&'static str],
    pub changes: &'static str,
}

/// All that a build knows.
#[derive(Debug)]
pub struct Table {
    /// From the second on, ascending by one.
    pub versions: &'static [VersionEntry],
    pub features: &'static [FeatureEntry],
}

/// What this build knows. A new step is a new entry here.
pub static TABLE: Table = Table {
    versions: &[
        VersionEntry {
            number: 2,
            name: "format-2",
            changes: "records name the jobs that a job needs; shares are packed, over several keys",
        },
        VersionEntry {
            number: 3,
            name: "format-3",
            changes: "the record of a job of up to 64 tasks names their machines, where they fit",
        },
        VersionEntry {
            number: 4,
            name: "format-4",
            changes: "jobs that are accepted together may share a record, a page",
        },
    ],
    features: &[
        FeatureEntry {
            name: "chains",
            comes: Comes::With(2),
            needs: &[],
            changes: "submissions with prereqs are taken; before it they get 503",
        },
        FeatureEntry {
            name: "pieces",
            comes: Comes::With(2),
            needs: &[],
            changes: "a share is written packed, over as many keys as its values need",
        },
        FeatureEntry {
            name: "service-mark",
            comes: Comes::With(2),
            needs: &["chains"],
            changes: "the end of a service says that it was one, so that no job may need it",
        },
        FeatureEntry {
            name: "low-limits",
            comes: Comes::With(2),
            needs: &["pieces"],
            changes: "the lower of the state service's present and announced limits are kept",
        },
        FeatureEntry {
            name: "inline-shares",
            comes: Comes::With(3),
            needs: &["pieces"],
            changes: "a job of one chunk is accepted, dealt and ended with one change each time",
        },
        FeatureEntry {
            name: "shared-pages",
            comes: Comes::With(4),
            needs: &["inline-shares"],
            changes: "while changes are scarce, jobs are accepted and dealt many with one change",
        },
    ],
};

/// One step up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    Version(u32, &'static str),
    Feature(&'static str),
}

impl Step {
    pub fn name(self) -> &'static str {
        match self {
            Step::Version(_, name) | Step::Feature(name) => name,
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A step that an operator names and the table lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownStep {
    pub name: String,
    pub known: Vec<&'static str>,
}

impl fmt::Display for UnknownStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is no step of this version; it knows {}", self.name, self.known.join(", "))
    }
}

impl Table {
    /// Newest version of the records.
    pub fn newest(&self) -> u32 {
        self.versions.last().map_or(1, |v| v.number)
    }

    /// Version 2 has its entry at place 0, and so on.
    pub(crate) fn version(&self, number: u32) -> Option<&'static VersionEntry> {
        self.versions.iter().find(|v| v.number == number)
    }

    /// Features that have a step of their own.
    pub(crate) fn alone(&self) -> impl Iterator<Item = (&'static FeatureEntry, u32)> {
        self.features.iter().filter_map(|f| match f.comes {
            Comes::Alone { from } => Some((f, from)),
            Comes::With(_) => None,
        })
    }

    /// Names of all steps, in the order of the table.
    pub fn steps(&self) -> Vec<&'static str> {
        let versions = self.versions.iter().map(|v| v.name);
        versions.chain(self.alone().map(|(f, _)| f.name)).collect()
    }

    /// Checks the names of steps that an operator gives.
    pub fn check_steps<'a>(
        &self,
        names: impl IntoIterator<Item = &'a String>,
    ) -> Result<(), UnknownStep> {
        let known = self.steps();
        match names.into_iter().find(|n| !known.contains(&n.as_str())) {
            Some(name) => Err(UnknownStep { name: name.clone(), known }),
            None => Ok(()),
        }
    }

    /// What is wrong with the table itself, if anything is.
    pub fn fault(&self) -> Option<String> {
        if let Some((at, v)) =
            (2..).zip(self.versions).find(|(at, v)| v.number != *at).map(|(at, v)| (at, v.number))
        {
            return Some(format!("version {v} stands where {at} belongs"));
        }
        let mut names: BTreeSet<&str> = BTreeSet::new();
        let all = self.versions.iter().map(|v| v.name).chain(self.features.iter().map(|f| f.name));
        for name in all {
            if !names.insert(name) {
                return Some(format!("`{name}` stands twice"));
            }
        }
        for (at, f) in self.features.iter().enumerate() {
            let (from, least) = match f.comes {
                Comes::With(v) => (v, 2),
                Comes::Alone { from } => (from, 3),
            };
            if from < least || from > self.newest() {
                return Some(format!("`{}` can't come with version {from}", f.name));
            }
            let before = |n: &&str| self.features[..at].iter().any(|g| g.name == *n);
            if let Some(n) = f.needs.iter().find(|n| !before(n)) {
                return Some(format!("`{}` needs `{n}`, which does not stand before it", f.name));
            }
        }
        None
    }
}
