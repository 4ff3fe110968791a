//! Errors of the harness.

use std::{io, path::PathBuf};

use displaydoc::Display;

use crate::client::ClientError;

/// An error that stops the harness.
#[derive(Debug, Display)]
pub enum HarnessError {
    /// {0:?} does not exist; build the workspace and its examples first
    NoBinary(PathBuf),
    /// {0}
    Io(io::Error),
    /// {0}
    Client(ClientError),
    /// {0}
    Json(serde_json::Error),
    /// timed out waiting for {what}; logs are in {logs:?}
    TimedOut {
        /// What the harness waited for.
        what: String,
        /// The folder of the logs.
        logs: PathBuf,
    },
    /// a stand-in rejected a command: {0}
    Rejected(String),
}

impl std::error::Error for HarnessError {}

impl From<io::Error> for HarnessError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<ClientError> for HarnessError {
    fn from(error: ClientError) -> Self {
        Self::Client(error)
    }
}

impl From<serde_json::Error> for HarnessError {
    fn from(error: serde_json::Error) -> Self {
        Self::Json(error)
    }
}
