//! Failures of the harness.

use std::{io, path::PathBuf};

use displaydoc::Display;

use crate::client::ClientError;

/// Why the harness cannot go on.
#[derive(Debug, Display)]
pub enum HarnessError {
    /// {0:?} is not there; build the workspace and its examples first
    NoBinary(PathBuf),
    /// {0}
    Io(io::Error),
    /// {0}
    Client(ClientError),
    /// {0}
    Json(serde_json::Error),
    /// {what} did not come about in time; logs are in {logs:?}
    TimedOut {
        /// What was waited for.
        what: String,
        /// Where the logs are.
        logs: PathBuf,
    },
    /// a stand-in refused an order: {0}
    Refused(String),
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
