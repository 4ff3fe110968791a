//! Reading settings from a file.

use std::path::Path;

use jsonc_parser::{ParseOptions, parse_to_serde_value};

use super::{Settings, SettingsError};

impl Settings {
    /// Reads and checks the settings in a file.
    ///
    /// # Errors
    /// Returns why the file cannot be read or what in it is wrong.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        let value: serde_json::Value = parse_to_serde_value(&text, &ParseOptions::default())
            .map_err(|cause| SettingsError::Parse {
                path: path.to_owned(),
                cause,
            })?;
        serde_json::from_value(value).map_err(|cause| SettingsError::Shape {
            path: path.to_owned(),
            cause,
        })
    }
}
