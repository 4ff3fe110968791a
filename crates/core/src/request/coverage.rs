//! Coverage: the shards that an answer includes.

use serde::{Deserialize, Serialize};

use crate::ids::ShardId;

/// The shards that an answer includes, and the reasons why others are missing.
///
/// The shards are those of the shard map that the request was pinned to.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Coverage {
    /// The shards that the answer includes, in ascending order.
    pub included: Vec<ShardId>,
    /// The requested shards that the answer does not include, in ascending order.
    pub missing: Vec<MissingShard>,
}

/// A requested shard that an answer does not include.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MissingShard {
    /// The number of the shard.
    pub shard: ShardId,
    /// The reason why the shard is missing.
    pub reason: MissingReason,
}

/// The reason why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No reply came before the deadline.
    Deadline,
    /// The answer was given early, before this shard replied.
    Early,
    /// Every replica refused the call because it had no free slot.
    Busy,
    /// Every replica failed or could not be reached.
    Unreachable,
    /// None of the shard's backend servers has an owner VM.
    NoOwner,
    /// The replicas have only other versions of the index.
    VersionGone,
    /// The retry budget was used up.
    Budget,
}

impl Coverage {
    /// Returns the share of the requested shards that the answer includes, 0 to 1.
    ///
    /// The share is 0 if no shard was requested.
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
