//! Errors of the server program.

use displaydoc::Display;

use crate::{process::ProcessError, settings::SettingsError};

/// The reason why the program failed.
#[derive(Debug, Display)]
pub enum CliError {
    /// {0}
    Options(getopts::Fail),
    /// unexpected argument `{0}`
    Extra(String),
    /// no settings file was named
    NoSettings,
    /// {0}
    Settings(SettingsError),
    /// {0}
    Process(ProcessError),
}

impl std::error::Error for CliError {}

impl From<SettingsError> for CliError {
    fn from(error: SettingsError) -> Self {
        Self::Settings(error)
    }
}

impl From<ProcessError> for CliError {
    fn from(error: ProcessError) -> Self {
        Self::Process(error)
    }
}

impl CliError {
    /// Returns a hint for the operator on how to resolve the error.
    #[must_use]
    pub fn hint(&self) -> String {
        match self {
            Self::Options(_) | Self::Extra(_) => "see cassialift --help".to_owned(),
            Self::NoSettings => "name one with --settings FILE".to_owned(),
            Self::Settings(error) => error.hint(),
            Self::Process(error) => error.hint().to_owned(),
        }
    }

    /// Returns the exit code: 2 for an invalid command line, 3 for settings, and 1 for other
    /// errors.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Options(_) | Self::Extra(_) | Self::NoSettings => 2,
            Self::Settings(_) => 3,
            Self::Process(_) => 1,
        }
    }
}
