//! Types for the active formats and features, the next activation, and blocked steps.

use std::collections::BTreeMap;
use std::fmt;

use thiserror::Error;

use crate::records::ActivationRecord;
use crate::table::ActivationStep;

/// This controller's knowledge of the activation record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActivationStatus {
    /// The record has not been read yet.
    Unknown,
    /// This version supports all active formats and features.
    Active(ActivationRecord),
    /// A format or feature is active that this version does not support: this controller must
    /// neither lead nor serve requests.
    Unsupported(UnsupportedActivation),
}

/// The part of the activation record that this version does not support.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnsupportedActivation {
    /// The record cannot be decoded, so nothing is assumed about what is active.
    #[error("unreadable activation record")]
    UnreadableRecord,
    /// A record format later than the newest supported one is active.
    #[error("format {0}")]
    Format(u32),
    /// A feature that this version does not know is active.
    #[error("feature {0}")]
    Feature(String),
}

/// Reasons for which a controller blocks a step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BlockReason {
    /// The controller has never published its capabilities.
    NoCapabilities,
    /// The controller supports record formats only up to this one.
    OlderFormat(u32),
    /// The controller does not support the feature.
    UnsupportedFeature,
    /// The controller's operators withhold the step by configuration.
    Withheld,
    /// The controller is alive but has not published its capabilities since its last start, which
    /// may have deployed an older version.
    Restarted,
    /// The controller has published its capabilities but is not alive. It may be restarted with
    /// another version.
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
    /// The format or feature that can't be activated yet.
    pub step: ActivationStep,
    /// Time at which the step was first found to be blocked; it stays while the blocking
    /// controllers and their reasons change.
    pub since_ms: u64,
    /// Reasons of the controllers that block the step, by controller name.
    pub blocked_by: BTreeMap<String, BlockReason>,
}

/// A step that every controller supports, and the write that activates it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedActivation {
    /// The format or feature to activate.
    pub step: ActivationStep,
    /// The activation record to write, which includes all earlier activations.
    pub record: ActivationRecord,
    /// Keys that must be unchanged when the write is applied.
    pub guards: Vec<ActivationGuard>,
}

/// A key on which the decision to activate a step relies. There is only one for each controller, so
/// that a transaction, which may have few guards, can cover all controllers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActivationGuard {
    /// The membership key that the controller held when it published its capabilities.
    Membership {
        /// The controller's name.
        node: String,
        /// The key's revision.
        revision: u64,
    },
    /// The capability record of a version without feature gates. Such a record contains no
    /// membership revision.
    Capabilities {
        /// The controller's name.
        node: String,
        /// The key's revision.
        revision: u64,
    },
}
