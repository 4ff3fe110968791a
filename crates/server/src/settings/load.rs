//! Reading settings from a file.

use std::path::Path;

use cassialift_core::jsonc;

use super::{Settings, SettingsError, SettingsFault};

impl Settings {
    /// Reads and checks the settings in a file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or its settings are invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::Read {
            path: path.to_owned(),
            cause,
        })?;
        Self::parse(&text).map_err(|fault| SettingsError::Refused {
            path: path.to_owned(),
            fault,
        })
    }

    /// Reads and checks the text of settings.
    ///
    /// # Errors
    /// Returns the first fault, with its line and column and the cause.
    pub fn parse(text: &str) -> Result<Self, SettingsFault> {
        let settings: Self = jsonc::parse(text)?;
        settings
            .validate()
            .map_err(|(path, cause)| SettingsFault::new(text, &path, cause))?;
        Ok(settings)
    }
}
