//! A naive search, for differential tests and as the measure of the policy benchmark.
//!
//! What a competent engineer would write in a day: fan out to one replica a shard, a fixed
//! timeout, one retry on another replica.

mod gather;

pub use gather::{NaiveGather, NaiveSettings, ReplicaOrder};
