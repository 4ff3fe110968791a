//! Why settings are refused.

use std::path::PathBuf;

use displaydoc::Display;

/// Why settings are refused.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// {path:?} cannot be read: {source}
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// {path:?}: {cause}
    Parse {
        /// The file.
        path: PathBuf,
        /// The cause with its position.
        cause: jsonc_parser::errors::ParseError,
    },
    /// {path:?}: {cause}
    Shape {
        /// The file.
        path: PathBuf,
        /// The cause.
        cause: serde_json::Error,
    },
}

impl std::error::Error for SettingsError {}

impl SettingsError {
    /// Returns what the operator can do about it.
    #[must_use]
    pub fn hint(&self) -> String {
        match self {
            Self::Read { .. } => "check the path and its permissions",
            Self::Parse { .. } => "settings are JSON with comments",
            Self::Shape { .. } => "see docs/OPERATORS.md for the settings",
        }
        .to_owned()
    }
}
