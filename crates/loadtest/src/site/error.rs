//! Errors of reading and scaling a site file.

use toml_edit::Item;

/// The reason why a site file can't be scaled. The caller adds the path of the file.
#[derive(Debug, thiserror::Error)]
pub enum SiteError {
    /// The file can't be parsed, for instance because it is truncated.
    #[error("not TOML: {0}")]
    Toml(#[from] toml_edit::TomlError),
    /// A required key of the site file is missing.
    #[error("the site file has no `{key}`; allowed is {allowed}")]
    Missing {
        /// Path of the key in the file.
        key: &'static str,
        /// Description of the values allowed.
        allowed: &'static str,
    },
    /// A key of the site file holds a value of another type.
    #[error("`{key}` is {value}; allowed is {allowed}")]
    WrongType {
        /// Path of the key in the file.
        key: &'static str,
        /// The value as written, or its type if it is a table or a list of tables.
        value: String,
        /// Description of the values allowed.
        allowed: &'static str,
    },
    /// A scenario names a kind of fault that the bench does not have.
    #[error("scenario `{scenario}` has a fault of unknown kind `{kind}`; allowed are {allowed}")]
    UnknownFaultKind {
        /// Name of the scenario.
        scenario: String,
        /// The kind as written.
        kind: String,
        /// All known kinds.
        allowed: String,
    },
    /// A fault has a key that its kind does not have.
    #[error(
        "scenario `{scenario}`: a fault of kind `{kind}` has no key `{key}`; allowed are {allowed}"
    )]
    UnknownFaultKey {
        /// Name of the scenario.
        scenario: String,
        /// Kind of the fault.
        kind: String,
        /// The key as written.
        key: String,
        /// All keys that faults of this kind have.
        allowed: String,
    },
    /// A key of a fault holds a value that is out of range or of another type.
    #[error("scenario `{scenario}`: `{key}` of `{kind}` is {value}; allowed is {allowed}")]
    FaultValue {
        /// Name of the scenario.
        scenario: String,
        /// Kind of the fault.
        kind: String,
        /// The key.
        key: String,
        /// The value as written.
        value: String,
        /// Description of the values allowed.
        allowed: &'static str,
    },
}

impl SiteError {
    /// Returns the error for a required key: missing if there is no item, else of the wrong type.
    pub fn required(key: &'static str, found: Option<&Item>, allowed: &'static str) -> Self {
        let Some(item) = found.filter(|item| !item.is_none()) else {
            return SiteError::Missing { key, allowed };
        };
        let value = match item.as_value() {
            Some(value) => value.to_string().trim().to_string(),
            None => item.type_name().to_string(),
        };
        SiteError::WrongType { key, value, allowed }
    }
}
