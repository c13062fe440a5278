//! The table of all record formats and features.

use std::fmt;

use enumset::EnumSetType;
use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};

use crate::records::INITIAL_FORMAT;

/// A feature. Code that depends on a feature checks whether this feature is active, and never
/// compares format numbers.
///
/// The names in `strum` attributes are stored and shown to operators, so they never change.
#[derive(Debug, EnumSetType, EnumIter, IntoStaticStr)]
pub enum Feature {
    /// Jobs may depend on other jobs. A job's record contains the ids of its dependencies.
    #[strum(serialize = "chains")]
    JobDependencies,
    /// Placement records are packed, and split over several keys if they exceed one value.
    #[strum(serialize = "pieces")]
    SplitPlacementRecords,
    /// The record of a completed service states that the job was a service.
    #[strum(serialize = "service-mark")]
    ServiceMark,
    /// The announced limits of the key-value store are observed before they apply, because they
    /// take effect without notice.
    #[strum(serialize = "low-limits")]
    AnnouncedLimits,
    /// The placement of a job with one chunk is a field of the job's own record if it fits there.
    #[strum(serialize = "inline-shares")]
    InlinePlacements,
    /// Jobs that are accepted together while writes are scarce share a record.
    #[strum(serialize = "shared-pages")]
    BatchRecords,
}

impl Feature {
    /// Returns the feature's name in the table, in records and in metrics.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// Returns all features in declaration order.
    pub fn all() -> impl Iterator<Item = Feature> {
        Feature::iter()
    }
}

/// How a feature is activated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activation {
    /// Together with the record format of this number.
    WithFormat(u32),
    /// By an activation step of its own.
    Separate {
        /// Oldest format whose versions support the feature. It must be active before the feature.
        min_format: u32,
    },
}

/// A format of the stored records.
#[derive(Clone, Copy, Debug)]
pub struct FormatEntry {
    /// Format number, consecutive from 2 on.
    pub version: u32,
    /// Name of the step that activates the format.
    pub name: &'static str,
    /// Text for operators that tells what the format changes.
    pub description: &'static str,
}

/// A feature and the conditions of its activation.
#[derive(Clone, Copy, Debug)]
pub struct FeatureEntry {
    /// Name of the feature, and of its activation step if it has one of its own.
    pub name: &'static str,
    /// Whether the feature is activated with a format or by a step of its own.
    pub activation: Activation,
    /// Names of the features that must be active before this one.
    pub requires: &'static [&'static str],
    /// Text for operators that tells what the feature changes.
    pub description: &'static str,
}

/// All formats and features that a version supports.
#[derive(Debug)]
pub struct GateTable {
    /// Formats from number 2 on, in ascending order without gaps.
    pub formats: &'static [FormatEntry],
    /// Features, each listed after those that it requires.
    pub features: &'static [FeatureEntry],
}

/// The formats and features of this version. New ones are added to this table.
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

/// The activation of the next format, or of a feature that has a step of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ActivationStep {
    /// A format of the records, with all features that are activated with it.
    Format {
        /// Format number.
        version: u32,
        /// Name of the step in settings and metrics.
        name: &'static str,
    },
    /// The feature of this name.
    Feature(&'static str),
}

impl ActivationStep {
    /// Returns the name of the step in operators' settings and in metrics.
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
    /// Returns the number of the newest supported record format.
    pub fn newest_format(&self) -> u32 {
        self.formats.last().map_or(INITIAL_FORMAT, |format| format.version)
    }

    /// Returns the names of all steps: first the formats, then the features, in table order.
    pub fn step_names(&self) -> Vec<&'static str> {
        let formats = self.formats.iter().map(|format| format.name);
        formats.chain(self.separate_features().map(|feature| feature.entry.name)).collect()
    }

    pub(crate) fn format(&self, version: u32) -> Option<&'static FormatEntry> {
        self.formats.iter().find(|format| format.version == version)
    }

    /// Returns the features that have an activation step of their own.
    pub(crate) fn separate_features(&self) -> impl Iterator<Item = SeparateFeature> {
        self.features.iter().filter_map(|entry| match entry.activation {
            Activation::Separate { min_format } => Some(SeparateFeature { entry, min_format }),
            Activation::WithFormat(_) => None,
        })
    }
}
