//! Coverage: which shards of the pinned shard map an answer includes.

use serde::{Deserialize, Serialize};

use crate::ids::ShardId;

/// Which shards of the pinned shard map an answer includes, and why the others are missing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Coverage {
    /// The shards that the answer includes, in ascending order.
    pub included: Vec<ShardId>,
    /// The shards that were asked for and are not included, in ascending order.
    pub missing: Vec<MissingShard>,
}

/// A shard that an answer does not include.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why it is missing.
    pub reason: MissingReason,
}

/// Why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No reply came before the deadline.
    Deadline,
    /// The answer was given early, before this shard replied.
    Early,
    /// Every replica refused for want of a slot.
    Busy,
    /// Every replica failed or could not be reached.
    Unreachable,
    /// No VM answers for any of the shard's backend servers.
    NoOwner,
    /// The replicas hold only other versions of the index.
    VersionGone,
    /// The retry budget was used up.
    Budget,
}

impl Coverage {
    /// Returns the share of the shards asked for that are included, 0 to 1.
    #[must_use]
    pub fn share(&self) -> f64 {
        let included = self.included.len();
        let total = included + self.missing.len();
        if total == 0 {
            return 0.0;
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "shard counts are far below 2^52"
        )]
        let share = included as f64 / total as f64;
        share
    }
}
