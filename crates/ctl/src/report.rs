//! What a command has to say.

use serde::Serialize;

/// The exit code of a command that found nothing wrong.
pub(crate) const SUCCESS: u8 = 0;
/// The exit code of `check` when a file is refused.
pub(crate) const REFUSED: u8 = 3;

/// What a command has to say.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Text for standard output, without its last line break.
    pub text: String,
    /// The program's exit code.
    pub exit_code: u8,
}

impl Report {
    pub(crate) fn text(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            exit_code: SUCCESS,
        }
    }

    /// Makes a report of JSON.
    pub(crate) fn json<T: Serialize>(value: &T) -> Self {
        // The types that are reported have string keys only, so that they always serialise.
        Self::text(serde_json::to_string_pretty(value).unwrap_or_default())
    }

    pub(crate) fn with_code(mut self, exit_code: u8) -> Self {
        self.exit_code = exit_code;
        self
    }
}
