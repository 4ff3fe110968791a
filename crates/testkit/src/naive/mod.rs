//! A naive scatter-gather search, the baseline of differential tests and of the policy benchmark.
//!
//! The algorithm is what a competent engineer would write in a day: a fan-out to one replica of
//! each shard, a fixed timeout, and one retry on another replica.

mod gather;

pub use gather::{NaiveGather, NaiveSettings, ReplicaOrder};
