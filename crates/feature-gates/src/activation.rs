//! What is active, which step can be activated next, and what blocks the others.

use std::collections::BTreeMap;
use std::fmt;

use thiserror::Error;

use crate::records::ActivationRecord;
use crate::table::ActivationStep;

/// What this controller knows about the activation record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActivationStatus {
    /// It has not been read yet.
    Unknown,
    /// This version supports everything that is active.
    Active(ActivationRecord),
    /// Something is active that this version does not support: it must neither lead nor serve.
    Unsupported(UnsupportedActivation),
}

/// The part of the activation record that this version does not support.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnsupportedActivation {
    /// The record cannot be decoded. Its meaning is not guessed.
    #[error("unreadable activation record")]
    UnreadableRecord,
    /// A later record format is active.
    #[error("format {0}")]
    Format(u32),
    /// An unknown feature is active.
    #[error("feature {0}")]
    Feature(String),
}

/// Why a controller blocks a step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BlockReason {
    /// It has never published its capabilities.
    NoCapabilities,
    /// It supports record formats only up to the one named.
    OlderFormat(u32),
    /// It does not support the feature.
    UnsupportedFeature,
    /// Its operators withhold the step.
    Withheld,
    /// It is alive and has not published its capabilities since it was started: an older
    /// version may have been deployed.
    Restarted,
    /// It published its capabilities and is not alive: the version that comes back is unknown.
    Absent,
}

impl fmt::Display for BlockReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BlockReason::NoCapabilities => formatter.write_str("has not published capabilities"),
            BlockReason::OlderFormat(version) => {
                write!(formatter, "supports formats up to {version}")
            }
            BlockReason::UnsupportedFeature => formatter.write_str("does not support the feature"),
            BlockReason::Withheld => formatter.write_str("is configured to withhold it"),
            BlockReason::Restarted => {
                formatter.write_str("has not published capabilities since its restart")
            }
            BlockReason::Absent => formatter.write_str("is not alive"),
        }
    }
}

/// A step that some controllers block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockedStep {
    /// The step.
    pub step: ActivationStep,
    /// When it was first found to be blocked, by whichever controllers.
    pub since_ms: u64,
    /// The controllers that block it, by name.
    pub blocked_by: BTreeMap<String, BlockReason>,
}

/// A step that every controller supports, and the write that activates it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedActivation {
    /// The step.
    pub step: ActivationStep,
    /// The activation record to be written.
    pub record: ActivationRecord,
    /// Keys that must be unchanged for the write to be applied.
    pub guards: Vec<ActivationGuard>,
}

/// A key that the decision for a step relies on. One key for each controller is enough, so that
/// a transaction, which may have few guards, covers every controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActivationGuard {
    /// The membership key of the run in which the controller published its capabilities.
    Membership {
        /// The controller's name.
        node: String,
        /// The key's revision.
        revision: u64,
    },
    /// The capability record of a version without feature gates, which names no run.
    Capabilities {
        /// The controller's name.
        node: String,
        /// The key's revision.
        revision: u64,
    },
}
