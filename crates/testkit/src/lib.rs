//! Stand-ins, process harness, histories, load, cost and benchmarks for cassialift; never shipped.

pub mod capacity;
pub mod client;
pub mod config_spread;
pub mod cost;
pub mod demo;
pub mod faults;
pub mod harness;
pub mod history;
pub mod load;
pub mod naive;
pub mod overhead;
pub mod policy_bench;
pub mod sources;
pub mod standin;
