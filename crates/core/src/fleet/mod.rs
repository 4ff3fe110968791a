//! The fleet: which processes answer, which of them owns each backend server, and which addresses
//! callers are told to use.

pub mod addresses;
pub mod members;
mod node;
pub mod ownership;

#[cfg(test)]
mod tests;

pub use node::{Beat, BeatReply, Node, NodeSettings};
