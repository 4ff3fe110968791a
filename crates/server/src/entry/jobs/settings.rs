//! Bounds on the outcomes that a process remembers.

use cassialift_core::ticket::TableLimits;
use serde::{Deserialize, Serialize};

/// Bounds on the outcomes that a process remembers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSettings {
    /// The most tickets with a job.
    pub records: usize,
    /// The most of them that belong to one caller.
    pub caller: usize,
    /// The outcomes, bytes, beyond which no new job is admitted.
    pub bytes: usize,
}

impl Default for JobSettings {
    fn default() -> Self {
        let limits = TableLimits::default();
        Self {
            records: limits.records,
            caller: limits.caller,
            bytes: limits.bytes,
        }
    }
}

impl From<JobSettings> for TableLimits {
    fn from(settings: JobSettings) -> Self {
        Self {
            records: settings.records,
            caller: settings.caller,
            bytes: settings.bytes,
        }
    }
}
