//! Stand-ins, process harness, histories and load for testing cassialift; never shipped.

pub mod capacity;
pub mod client;
pub mod config_spread;
pub mod demo;
pub mod faults;
pub mod harness;
pub mod history;
pub mod load;
pub mod overhead;
pub mod standin;
