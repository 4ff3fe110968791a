//! Reachability of the configuration service.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Whether a process can read the configuration service, by its last read.
///
/// The comment of each variant is its text in log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceReachability {
    /// not yet tried
    #[default]
    Untried,
    /// reached
    Reached,
    /// unreachable
    Unreachable,
}
