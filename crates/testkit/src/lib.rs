//! Stand-ins, process harness, histories and load for testing cassialift; never shipped.

pub mod client;
pub mod harness;
pub mod history;
pub mod standin;
