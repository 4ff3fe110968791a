//! The server of the cassialift query tier.
//!
//! One control thread owns the state of the fleet and the configuration, and publishes it as an
//! immutable view. Traffic threads serve callers and peers from that view. See `docs/DESIGN.md`.

pub mod cli;
pub mod control;
pub mod entry;
pub mod gateway;
mod http;
pub mod journal;
pub mod logging;
pub mod metrics;
pub mod operator;
pub mod owner;
pub mod peers;
pub mod platform;
pub mod process;
pub mod settings;
pub mod sockets;
pub mod timer;
