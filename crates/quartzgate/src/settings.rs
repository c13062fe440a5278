//! Reading and checking the settings files.

use std::path::Path;

use quartzgate_core::config::{Config, Operator};
use quartzgate_feature_gates::Activation;
use quartzgate_wire::settings::{Platform, SettingsError};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Longest value that an error quotes, in characters.
const MAX_QUOTED_CHARS: usize = 200;

/// Why settings can't be used. Every message is a single line and names the file.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A file can't be read.
    #[error("{file}: {source}")]
    Read { file: String, source: std::io::Error },
    /// A file is no JSON, or has a field of the wrong type or none that is required.
    #[error("{file}: {source}")]
    Json { file: String, source: serde_json::Error },
    /// A file is no YAML, or has an unknown field or one of the wrong type.
    #[error("{file}: {source}")]
    Yaml { file: String, source: serde_yaml_ng::Error },
    /// A field has a value that is not allowed.
    #[error("{file}: setting `{field}` is {value}, but {allowed}")]
    Invalid { file: String, field: String, value: String, allowed: String },
}

/// A settings file that was read but not understood yet.
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

    /// Every key may be left out, so an empty file stands for the defaults.
    fn parse_yaml<T: DeserializeOwned + Default>(&self) -> Result<T, LoadError> {
        if self.text.trim().is_empty() {
            return Ok(T::default());
        }
        let parsed = serde_yaml_ng::from_str(&self.text);
        parsed.map_err(|source| LoadError::Yaml { file: self.name.clone(), source })
    }

    /// An error about a field, with the value that `document`, this file's content, has.
    fn invalid(self, error: SettingsError, document: &Value) -> LoadError {
        let value = value_at(document, &error.field);
        LoadError::Invalid { file: self.name, field: error.field, value, allowed: error.problem }
    }
}

/// The value of a field that is named by its path with dots. Within a list, the values of
/// all entries are given.
fn value_at(document: &Value, field: &str) -> String {
    match descend(document, field.split('.')) {
        Value::Null => "not set".into(),
        value => {
            let quoted: String = value.to_string().chars().take(MAX_QUOTED_CHARS).collect();
            format!("`{quoted}`")
        }
    }
}

fn descend<'a>(value: &Value, mut path: impl Iterator<Item = &'a str> + Clone) -> Value {
    if let Value::Array(entries) = value {
        if path.clone().next().is_some() {
            return entries.iter().map(|entry| descend(entry, path.clone())).collect();
        }
    }
    match path.next() {
        None => value.clone(),
        Some(key) => value.get(key).map_or(Value::Null, |inner| descend(inner, path)),
    }
}

/// Reads and checks the platform's settings and, if there are any, the operators' own.
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

/// What `--check` prints of valid settings: the formats and features that this build
/// knows, and which of them this controller withholds.
pub fn report(config: &Config) -> String {
    let withheld = config.operator.withheld();
    let line = |name: &str, how: String, description: &str| {
        let mark = if withheld.contains(name) { " (withheld here)" } else { "" };
        format!("{name}: {how}{mark}: {description}\n")
    };
    let formats = config.table.formats.iter().map(|format| {
        let how = "format of the records".to_string();
        line(format.name, how, format.description)
    });
    let features = config.table.features.iter().map(|feature| {
        let how = match feature.activation {
            Activation::WithFormat(format) => format!("feature, with format {format}"),
            Activation::Separate { min_format } => {
                format!("feature, its own step from format {min_format} on")
            }
        };
        line(feature.name, how, feature.description)
    });
    let title = format!("settings of {} are in order\n", config.platform.node);
    std::iter::once(title).chain(formats).chain(features).collect()
}
