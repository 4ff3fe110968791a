//! Scatter-gather: the state machine of one search over its shards.
//!
//! Events go in (started, replied, timer, newer version), actions come out (send, cancel, stall,
//! finish). The driver does the I/O and keeps the rows.

mod finish;
mod machine;
mod recover;
mod send;
mod shard;
mod spec;

pub use machine::Gather;
pub use spec::{
    Action, AttemptCause, Context, GatherEnd, GatherSpec, SendBasis, ShardTarget, Verdict,
};

#[cfg(test)]
mod tests;
