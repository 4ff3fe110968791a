//! Limits on the job outcomes that a process keeps.

use cassialift_core::ticket::TableLimits;
use serde::{Deserialize, Serialize};

/// Limits on the job outcomes that a process keeps.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSettings {
    /// The largest number of tickets with a job.
    pub records: usize,
    /// The largest number of tickets with a job that belong to one caller.
    pub caller: usize,
    /// The size of the kept outcomes, in bytes, from which no new job is admitted.
    pub bytes: usize,
}

impl Default for JobSettings {
    fn default() -> Self {
        let limits = TableLimits::default();
        Self {
            records: limits.records,
            caller: limits.per_caller,
            bytes: limits.bytes,
        }
    }
}

impl From<JobSettings> for TableLimits {
    fn from(settings: JobSettings) -> Self {
        Self {
            records: settings.records,
            per_caller: settings.caller,
            bytes: settings.bytes,
        }
    }
}
