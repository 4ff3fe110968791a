//! Whether a process can read the configuration service.

use serde::{Deserialize, Serialize};

/// Whether a process can read the configuration service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceReachability {
    /// It has not tried lately.
    #[default]
    Untried,
    /// Its last read succeeded.
    Reached,
    /// Its last reads failed.
    Unreachable,
}
