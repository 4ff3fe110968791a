//! Test support for cassialift, never shipped: stand-ins, a process harness, checked histories,
//! load generation, cost measurements and benchmarks.

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
