//! Validation of gate tables and of the step names in operators' settings.

use std::collections::BTreeSet;

use thiserror::Error;

use crate::table::{Activation, FeatureEntry, GateTable};

/// First format with an entry in the table; the initial format needs no activation.
const FIRST_ENTRY_FORMAT: u32 = 2;
/// Oldest format that may be the minimum format of a separately activated feature. All controller
/// versions that support this format check which of these features are active; versions that
/// support only older formats would not notice an active feature.
const FIRST_FORMAT_WITH_SEPARATE_FEATURES: u32 = 3;

/// Error for a step name in the operators' settings that this version does not know.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{name}` is no step of this version; it knows {}", .known.join(", "))]
pub struct UnknownStep {
    /// The name as it stands in the settings.
    pub name: String,
    /// Names of all steps of this version.
    pub known: Vec<&'static str>,
}

/// Violations of the rules for a table.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// Formats are not numbered consecutively from the second on.
    #[error("format {found} is listed where format {expected} is expected")]
    FormatOutOfOrder {
        /// Format number that this position must have.
        expected: u32,
        /// Format number that the table has at this position.
        found: u32,
    },
    /// Two entries have the same name.
    #[error("the name `{0}` is used twice")]
    DuplicateName(&'static str),
    /// A feature is activated with a format, or requires a minimum format, that is not allowed for
    /// its kind of activation.
    #[error("`{feature}` can't be activated with format {format}: allowed are {min} to {max}")]
    FormatNotAllowed {
        /// Name of the feature.
        feature: &'static str,
        /// Format in the feature's entry.
        format: u32,
        /// Oldest format that is allowed for the kind of activation.
        min: u32,
        /// Newest format in the table.
        max: u32,
    },
    /// A feature requires another feature that the table does not list before it.
    #[error("`{feature}` requires `{requirement}`, which is not listed before it")]
    RequirementNotBefore {
        /// Name of the feature.
        feature: &'static str,
        /// Name of the required feature.
        requirement: &'static str,
    },
}

impl GateTable {
    /// Checks that every step name from the operators' settings is known.
    pub fn check_step_names<'a>(
        &self,
        names: impl IntoIterator<Item = &'a String>,
    ) -> Result<(), UnknownStep> {
        let known = self.step_names();
        match names.into_iter().find(|name| !known.contains(&name.as_str())) {
            Some(name) => Err(UnknownStep { name: name.clone(), known }),
            None => Ok(()),
        }
    }

    /// Checks the table itself. With an invalid table, a step could be activated that some
    /// controller does not support.
    pub fn validate(&self) -> Result<(), TableError> {
        self.check_format_order()?;
        self.check_names_are_unique()?;
        for (position, feature) in self.features.iter().enumerate() {
            self.check_activation_format(feature)?;
            check_requirements(feature, &self.features[..position])?;
        }
        Ok(())
    }

    fn check_format_order(&self) -> Result<(), TableError> {
        for (expected, format) in (FIRST_ENTRY_FORMAT..).zip(self.formats) {
            if format.version != expected {
                return Err(TableError::FormatOutOfOrder { expected, found: format.version });
            }
        }
        Ok(())
    }

    fn check_names_are_unique(&self) -> Result<(), TableError> {
        let formats = self.formats.iter().map(|format| format.name);
        let features = self.features.iter().map(|feature| feature.name);
        let mut seen = BTreeSet::new();
        match formats.chain(features).find(|name| !seen.insert(*name)) {
            Some(name) => Err(TableError::DuplicateName(name)),
            None => Ok(()),
        }
    }

    fn check_activation_format(&self, feature: &FeatureEntry) -> Result<(), TableError> {
        let (format, min) = match feature.activation {
            Activation::WithFormat(version) => (version, FIRST_ENTRY_FORMAT),
            Activation::Separate { min_format } => {
                (min_format, FIRST_FORMAT_WITH_SEPARATE_FEATURES)
            }
        };
        let max = self.newest_format();
        if (min..=max).contains(&format) {
            return Ok(());
        }
        Err(TableError::FormatNotAllowed { feature: feature.name, format, min, max })
    }
}

fn check_requirements(feature: &FeatureEntry, earlier: &[FeatureEntry]) -> Result<(), TableError> {
    for requirement in feature.requires {
        if !earlier.iter().any(|entry| entry.name == *requirement) {
            return Err(TableError::RequirementNotBefore { feature: feature.name, requirement });
        }
    }
    Ok(())
}
