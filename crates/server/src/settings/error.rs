//! Errors of reading and validating settings.

use std::{net::SocketAddr, path::PathBuf};

use cassialift_core::jsonc::{self, JsoncCause, Path, Position, locate};
use displaydoc::Display;

/// The reason why settings were refused.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// {path:?} cannot be read: {cause}
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The error of reading the file.
        cause: std::io::Error,
    },
    /// {path:?}: {fault}
    Refused {
        /// The path of the file.
        path: PathBuf,
        /// The fault in the file, with its position.
        fault: SettingsFault,
    },
}

/// A fault in settings, with its position.
#[derive(Clone, Debug, Display, PartialEq)]
#[displaydoc("{position}: {cause}")]
pub struct SettingsFault {
    /// The position of the fault.
    pub position: Position,
    /// The cause of the fault.
    pub cause: SettingsCause,
    /// A hint on how to correct the fault, if there is one.
    pub hint: Option<String>,
}

/// The cause of a fault in settings.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum SettingsCause {
    /// {0}
    Text(JsoncCause),
    /// a name must have 1 to 256 bytes
    BadName,
    /// {0} is no address that others can connect to
    UnspecifiedAddress(SocketAddr),
    /// {0} is no address that can be called
    UnspecifiedTarget(SocketAddr),
    /// callers and peers are both to connect to {0}
    SameAddress(SocketAddr),
    /// either the platform's services or its store must be named, not both
    NotOnePlatform,
    /// callers of the gateway are served with an adapter, which needs the platform's store
    GatewayWithoutStore,
    /// {0} is no share that extra calls may have
    BadRatio(f64),
    /// reads that wait {wait} ms leave confirmations older than {stale} ms
    LateConfirmations {
        /// The wait of a read, in milliseconds.
        wait: u64,
        /// The age from which other VMs read themselves, in milliseconds.
        stale: u64,
    },
    /// changes cannot be in force within {apply} ms, since the read after a failed one takes up to {least} ms
    ShortApply {
        /// The time in which a change is to be in force, in milliseconds.
        apply: u64,
        /// The time that a read and the spread of a change take after a failed read, in milliseconds.
        least: u64,
    },
    /// must not be zero
    Zero,
    /// {value} is more than {limit}
    TooLarge {
        /// The value in the settings.
        value: u64,
        /// The largest value that is allowed.
        limit: u64,
    },
}

impl std::error::Error for SettingsError {}

impl std::error::Error for SettingsFault {}

impl SettingsFault {
    pub(super) fn new(text: &str, path: &Path, cause: SettingsCause) -> Self {
        let hint = match &cause {
            SettingsCause::UnspecifiedAddress(_) => {
                Some("write this VM's own IP number and a port")
            }
            SettingsCause::UnspecifiedTarget(_) => Some("write an IP number and a port"),
            SettingsCause::SameAddress(_) => Some("give callers and peers different ports"),
            SettingsCause::NotOnePlatform => Some("name platform or store"),
            SettingsCause::GatewayWithoutStore => Some("name the store or leave out the gateway"),
            SettingsCause::BadRatio(_) => Some("write a number between 0 and 1"),
            SettingsCause::LateConfirmations { .. } => {
                Some("make reads.stale longer than two waits and one second")
            }
            SettingsCause::ShortApply { .. } => Some("make reads.apply longer than that"),
            SettingsCause::Text(_)
            | SettingsCause::BadName
            | SettingsCause::Zero
            | SettingsCause::TooLarge { .. } => None,
        };
        Self {
            position: locate(text, path),
            cause,
            hint: hint.map(str::to_owned),
        }
    }
}

impl From<jsonc::JsoncError> for SettingsFault {
    fn from(fault: jsonc::JsoncError) -> Self {
        Self {
            position: fault.position,
            cause: SettingsCause::Text(fault.cause),
            hint: fault.hint.map(|hint| hint.to_string()),
        }
    }
}

impl SettingsError {
    /// Returns a hint for the operator on how to resolve the error.
    #[must_use]
    pub fn hint(&self) -> String {
        match self {
            Self::Read { .. } => "check the path and its permissions".to_owned(),
            Self::Refused { fault, .. } => fault
                .hint
                .clone()
                .unwrap_or_else(|| "see docs/OPERATORS.md for the settings".to_owned()),
        }
    }
}
