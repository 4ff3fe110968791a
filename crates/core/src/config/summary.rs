//! The summary of the configuration that processes exchange with heartbeats.

use serde::{Deserialize, Serialize};

use super::ServiceReachability;
use crate::{
    ids::{Position, VmId},
    time::Millis,
};

/// A summary of the configuration of one process.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigSummary {
    /// The position up to which the process has all changes.
    pub position: Position,
    /// A hash of the documents. Two processes at the same position with different hashes have
    /// different accepted texts of a rejected document, and exchange them.
    pub digest: u64,
    /// The age of the newest known confirmation of the position by the platform; `None` if no
    /// confirmation is known.
    pub age: Option<Millis>,
    /// The VM that received this confirmation from the platform.
    pub reader: Option<VmId>,
    /// Whether the process can read the configuration service itself.
    pub service: ServiceReachability,
}
