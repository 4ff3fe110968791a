//! The result of a command.

use serde::Serialize;

/// The exit code of a command that found no error.
pub(crate) const SUCCESS: u8 = 0;
/// The exit code of `check` if it refused a file.
pub(crate) const FILE_REFUSED: u8 = 3;

/// The output and the exit code of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The text for standard output, without the final line break.
    pub text: String,
    /// The program's exit code.
    pub exit_code: u8,
}

impl Report {
    /// Returns a successful report of plain text.
    pub(crate) fn text(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            exit_code: SUCCESS,
        }
    }

    /// Returns a successful report of a value as JSON.
    pub(crate) fn json<T: Serialize>(value: &T) -> Self {
        // All reported types have only string keys, so serialization does not fail.
        Self::text(serde_json::to_string_pretty(value).unwrap_or_default())
    }

    /// Replaces the exit code.
    pub(crate) fn with_code(mut self, exit_code: u8) -> Self {
        self.exit_code = exit_code;
        self
    }
}
