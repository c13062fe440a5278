//! Reading and checking the settings files.

use std::path::Path;

use quartzgate_core::config::{Config, Operator};
use quartzgate_feature_gates::Activation;
use quartzgate_wire::settings::{Platform, SettingsError};

#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    #[error("{file}: {source}")]
    Read { file: String, source: std::io::Error },
    #[error("{file}: {source}")]
    Json { file: String, source: serde_json::Error },
    #[error("{file}: {source}")]
    Yaml { file: String, source: serde_yaml_ng::Error },
    #[error("{file}: {source}")]
    Sense { file: String, source: SettingsError },
}

fn read(path: &Path) -> Result<(String, String), LoadError> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(source) => Err(LoadError::Read { file, source }),
    }
}

pub fn load(platform: &Path, operator: Option<&Path>) -> Result<Config, LoadError> {
    let (file, text) = read(platform)?;
    let platform: Platform = serde_json::from_str(&text)
        .map_err(|source| LoadError::Json { file: file.clone(), source })?;
    platform.check().map_err(|source| LoadError::Sense { file, source })?;
    let mut own = Operator::default();
    if let Some(path) = operator {
        let (file, text) = read(path)?;
        if !text.trim().is_empty() {
            own = serde_yaml_ng::from_str(&text)
                .map_err(|source| LoadError::Yaml { file: file.clone(), source })?;
        }
        own.check().map_err(|source| LoadError::Sense { file, source })?;
    }
    Ok(Config::new(platform, own))
}

/// What `--check` prints of settings that are in order: with the activation steps that
/// this build knows, and which of them this controller withholds.
pub fn report(config: &Config) -> String {
    let withheld = config.operator.withheld();
    let mut out = format!("settings of {} are in order\n", config.platform.node);
    let mut line = |name: &str, how: String, changes: &str| {
        let held = if withheld.contains(name) { " (withheld here)" } else { "" };
        out.push_str(&format!("{name}: {how}{held}: {changes}\n"));
    };
    for v in config.table.formats {
        line(v.name, "format of the records".into(), v.description);
    }
    for f in config.table.features {
        let how = match f.activation {
            Activation::WithFormat(version) => format!("feature, with format {version}"),
            Activation::Separate { min_format: from } => {
                format!("feature, its own step from format {from} on")
            }
        };
        line(f.name, how, f.description);
    }
    out
}
