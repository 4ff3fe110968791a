//! The immutable view of fleet and configuration that the control thread publishes for the traffic
//! threads.
//!
//! A request that holds a view runs under one configuration and one index version from admission to
//! answer.

mod config;
mod fleet;
mod owners;

pub use config::ConfigView;
pub use fleet::{FleetView, MemberView, OwnView, OwnerView, Reachability};
pub use owners::OwnersView;
