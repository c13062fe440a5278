//! Reads and checks the platform's and the operators' settings files.

use std::path::Path;

use quartzgate_core::config::{Config, Operator};
use quartzgate_feature_gates::Activation;
use quartzgate_wire::settings::{Platform, SettingsError};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Length to which an error truncates the value that it quotes, in characters.
const MAX_QUOTED_CHARS: usize = 200;

/// Why settings can't be used. Each message names the file and fits on one line.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A file can't be read.
    #[error("{file}: {source}")]
    Read { file: String, source: std::io::Error },
    /// A file is not valid JSON, has a field of the wrong type, or lacks a required field.
    #[error("{file}: {source}")]
    Json { file: String, source: serde_json::Error },
    /// A file is not valid YAML, or has an unknown field or a field of the wrong type.
    #[error("{file}: {source}")]
    Yaml { file: String, source: serde_yaml_ng::Error },
    /// A field has a value that is not allowed.
    #[error("{file}: setting `{field}` is {value}, but {allowed}")]
    Invalid { file: String, field: String, value: String, allowed: String },
}

/// The name and the unparsed text of a settings file.
struct SettingsFile {
    name: String,
    text: String,
}

impl SettingsFile {
    fn read(path: &Path) -> Result<Self, LoadError> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Ok(SettingsFile { name, text }),
            Err(source) => Err(LoadError::Read { file: name, source }),
        }
    }

    fn parse_json<T: DeserializeOwned>(&self) -> Result<T, LoadError> {
        let parsed = serde_json::from_str(&self.text);
        parsed.map_err(|source| LoadError::Json { file: self.name.clone(), source })
    }

    /// Parses the file as YAML. Every key may be omitted, so an empty file stands for the defaults.
    fn parse_yaml<T: DeserializeOwned + Default>(&self) -> Result<T, LoadError> {
        if self.text.trim().is_empty() {
            return Ok(T::default());
        }
        let parsed = serde_yaml_ng::from_str(&self.text);
        parsed.map_err(|source| LoadError::Yaml { file: self.name.clone(), source })
    }

    /// Creates an error about a field, quoting the field's value in `document`, the parsed content
    /// of this file.
    fn invalid(self, error: SettingsError, document: &Value) -> LoadError {
        let value = quoted_value(document, &error.field);
        LoadError::Invalid {
            file: self.name,
            field: error.field,
            value,
            allowed: error.requirement,
        }
    }
}

/// Formats the value of the field with this dotted path. For a field of the entries of a list, the
/// result holds the values of all entries.
fn quoted_value(document: &Value, field: &str) -> String {
    match value_at_path(document, field.split('.')) {
        Value::Null => "not set".into(),
        value => {
            let quoted: String = value.to_string().chars().take(MAX_QUOTED_CHARS).collect();
            format!("`{quoted}`")
        }
    }
}

fn value_at_path<'a>(value: &Value, mut path: impl Iterator<Item = &'a str> + Clone) -> Value {
    if let Value::Array(entries) = value {
        if path.clone().next().is_some() {
            return entries.iter().map(|entry| value_at_path(entry, path.clone())).collect();
        }
    }
    match path.next() {
        None => value.clone(),
        Some(key) => value.get(key).map_or(Value::Null, |inner| value_at_path(inner, path)),
    }
}

/// Reads and checks the platform's settings and the operators' settings. Without a file of the
/// operators, the defaults apply.
pub fn load(platform: &Path, operator: Option<&Path>) -> Result<Config, LoadError> {
    let platform = load_platform(platform)?;
    let operator = operator.map(load_operator).transpose()?.unwrap_or_default();
    Ok(Config::new(platform, operator))
}

fn load_platform(path: &Path) -> Result<Platform, LoadError> {
    let file = SettingsFile::read(path)?;
    let platform: Platform = file.parse_json()?;
    if let Err(error) = platform.check() {
        let document = file.parse_json()?;
        return Err(file.invalid(error, &document));
    }
    Ok(platform)
}

fn load_operator(path: &Path) -> Result<Operator, LoadError> {
    let file = SettingsFile::read(path)?;
    let operator: Operator = file.parse_yaml()?;
    if let Err(error) = operator.check() {
        let document = file.parse_yaml()?;
        return Err(file.invalid(error, &document));
    }
    Ok(operator)
}

/// Returns what `--check` prints for valid settings: the formats and features that this build
/// knows, and which of them this controller withholds.
pub fn report(config: &Config) -> String {
    let withheld = config.operator.withheld();
    let line = |name: &str, activation: String, description: &str| {
        let suffix = if withheld.contains(name) { " (withheld here)" } else { "" };
        format!("{name}: {activation}{suffix}: {description}\n")
    };
    let formats = config.table.formats.iter().map(|format| {
        let activation = "format of the records".to_string();
        line(format.name, activation, format.description)
    });
    let features = config.table.features.iter().map(|feature| {
        let activation = match feature.activation {
            Activation::WithFormat(format) => format!("feature, with format {format}"),
            Activation::Separate { min_format } => {
                format!("feature, its own step from format {min_format} on")
            }
        };
        line(feature.name, activation, feature.description)
    });
    let title = format!("settings of {} are in order\n", config.platform.node);
    std::iter::once(title).chain(formats).chain(features).collect()
}
