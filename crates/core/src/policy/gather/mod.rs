//! Scatter-gather: the state machine of one search over its shards.
//!
//! The inputs are events (start, reply, timer, newer version) and the outputs are actions (send,
//! cancel, stall, finish). The code that drives the state machine does the I/O and keeps the rows.

mod finish;
mod machine;
mod recover;
mod send;
mod shard;
mod spec;

pub use machine::Gather;
pub use spec::{
    Action, AttemptCause, Context, ExpectedTimes, GatherEnd, GatherOutcome, GatherSpec, ShardTarget,
};

#[cfg(test)]
mod tests;
