//! Positions in the history of the configuration service.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Epoch, Revision};

/// A position in the history of the configuration service; positions are ordered by epoch first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(deny_unknown_fields)]
pub struct Position {
    /// The epoch, zero where the service has never been restored from a backup.
    pub epoch: Epoch,
    /// The revision within the epoch; zero before the first change.
    pub revision: Revision,
}

impl fmt::Display for Position {
    /// Writes the revision alone in epoch zero, and `EPOCH.REVISION` otherwise.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.epoch == 0 {
            return write!(f, "{}", self.revision);
        }
        write!(f, "{}.{}", self.epoch, self.revision)
    }
}
