//! Reachability of the configuration service.

use serde::{Deserialize, Serialize};

/// Whether a process can read the configuration service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceReachability {
    /// The process has not tried to read the service yet.
    #[default]
    Untried,
    /// The last read succeeded.
    Reached,
    /// The last read failed.
    Unreachable,
}
