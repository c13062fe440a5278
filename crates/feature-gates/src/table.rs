//! The table of all record formats and features.

use std::fmt;

use enumset::EnumSetType;
use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};

use crate::records::INITIAL_FORMAT;

/// A behaviour that code checks for by name, never by a format number.
///
/// The names in `strum` attributes are stored and shown to operators: they never change.
#[derive(Debug, EnumSetType, EnumIter, IntoStaticStr)]
pub enum Feature {
    /// Jobs may depend on other jobs; their records name them.
    #[strum(serialize = "chains")]
    JobDependencies,
    /// Placement records are packed, and split over several keys where one value is too small.
    #[strum(serialize = "pieces")]
    SplitPlacementRecords,
    /// The record of a completed service says that the job was a service.
    #[strum(serialize = "service-mark")]
    ServiceMark,
    /// The announced limits of the state service are observed ahead of time, because they take
    /// effect without notice.
    #[strum(serialize = "low-limits")]
    AnnouncedLimits,
    /// The placement of a job of one chunk is a field of the job's own record where it fits.
    #[strum(serialize = "inline-shares")]
    InlinePlacements,
    /// Jobs that are accepted together while writes are scarce share a record.
    #[strum(serialize = "shared-pages")]
    BatchRecords,
}

impl Feature {
    /// The feature's name in the table, in the records and in metrics.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// All features, in the order of their declaration.
    pub fn all() -> impl Iterator<Item = Feature> {
        Feature::iter()
    }
}

/// How a feature is activated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activation {
    /// Together with a format of the records.
    WithFormat(u32),
    /// By a step of its own.
    Separate {
        /// Oldest format whose versions understand the feature; it must be active first.
        min_format: u32,
    },
}

/// A format of the stored records.
#[derive(Clone, Copy, Debug)]
pub struct FormatEntry {
    /// The format's number.
    pub version: u32,
    /// Name of the step that activates it.
    pub name: &'static str,
    /// What it changes, for operators.
    pub description: &'static str,
}

/// A feature and the conditions of its activation.
#[derive(Clone, Copy, Debug)]
pub struct FeatureEntry {
    /// The feature's name, which is also the name of its step if it has one.
    pub name: &'static str,
    /// How it is activated.
    pub activation: Activation,
    /// Names of the features that must be active before it.
    pub requires: &'static [&'static str],
    /// What it changes, for operators.
    pub description: &'static str,
}

/// All formats and features that a version supports.
#[derive(Debug)]
pub struct GateTable {
    /// Formats from the second on, without gaps.
    pub formats: &'static [FormatEntry],
    /// Features, each after those that it requires.
    pub features: &'static [FeatureEntry],
}

/// The formats and features of this version. A new one is added here.
pub static GATES: GateTable = GateTable {
    formats: &[
        FormatEntry {
            version: 2,
            name: "format-2",
            description: "job records name dependencies; placement records are packed and split",
        },
        FormatEntry {
            version: 3,
            name: "format-3",
            description: "records of jobs of up to 64 tasks contain their placement if it fits",
        },
        FormatEntry {
            version: 4,
            name: "format-4",
            description: "jobs that are accepted together may share a batch record",
        },
    ],
    features: &[
        FeatureEntry {
            name: "chains",
            activation: Activation::WithFormat(2),
            requires: &[],
            description: "submissions with prereqs are accepted; before, they are answered 503",
        },
        FeatureEntry {
            name: "pieces",
            activation: Activation::WithFormat(2),
            requires: &[],
            description: "placement records are packed, over as many keys as they need",
        },
        FeatureEntry {
            name: "service-mark",
            activation: Activation::WithFormat(2),
            requires: &["chains"],
            description: "a completed service is recorded as one, so that no job depends on it",
        },
        FeatureEntry {
            name: "low-limits",
            activation: Activation::WithFormat(2),
            requires: &["pieces"],
            description: "the lower of the state service's present and announced limits applies",
        },
        FeatureEntry {
            name: "inline-shares",
            activation: Activation::WithFormat(3),
            requires: &["pieces"],
            description: "a job of one chunk is accepted, placed and completed by one write each",
        },
        FeatureEntry {
            name: "shared-pages",
            activation: Activation::WithFormat(4),
            requires: &["inline-shares"],
            description: "while writes are scarce, one write accepts and places several jobs",
        },
    ],
};

/// One activation: of the next format, or of a feature that has a step of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ActivationStep {
    /// A format of the records, with all features that are activated with it.
    Format {
        /// The format's number.
        version: u32,
        /// Name of the step.
        name: &'static str,
    },
    /// A feature of this name.
    Feature(&'static str),
}

impl ActivationStep {
    /// Name of the step, as operators withhold it and metrics show it.
    pub fn name(self) -> &'static str {
        match self {
            ActivationStep::Format { name, .. } | ActivationStep::Feature(name) => name,
        }
    }
}

impl fmt::Display for ActivationStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A feature that has an activation step of its own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SeparateFeature {
    pub entry: &'static FeatureEntry,
    pub min_format: u32,
}

impl GateTable {
    /// Newest supported format of the records.
    pub fn newest_format(&self) -> u32 {
        self.formats.last().map_or(INITIAL_FORMAT, |format| format.version)
    }

    /// Names of all steps, in the order of the table.
    pub fn step_names(&self) -> Vec<&'static str> {
        let formats = self.formats.iter().map(|format| format.name);
        formats.chain(self.separate_features().map(|feature| feature.entry.name)).collect()
    }

    pub(crate) fn format(&self, version: u32) -> Option<&'static FormatEntry> {
        self.formats.iter().find(|format| format.version == version)
    }

    /// Features that have a step of their own.
    pub(crate) fn separate_features(&self) -> impl Iterator<Item = SeparateFeature> {
        self.features.iter().filter_map(|entry| match entry.activation {
            Activation::Separate { min_format } => Some(SeparateFeature { entry, min_format }),
            Activation::WithFormat(_) => None,
        })
    }
}
