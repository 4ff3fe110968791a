//! Fleet state: which processes are reachable, which of them owns each backend server, and which
//! addresses are given to callers.

pub mod addresses;
pub mod members;
mod node;
pub mod ownership;
mod views;

#[cfg(test)]
mod tests;

pub use node::{Heartbeat, HeartbeatReply, Node, NodeSettings};
pub use views::ViewBuilder;
