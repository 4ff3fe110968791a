//! The calls to backend servers that are cold: that have just started, or lost their caches.
//!
//! A service may state how many calls a second a cold server bears from all VMs together. Such a server
//! gets calls against permits, like one that states a limit itself (see
//! [`server_limit`](super::server_limit)). Unlike there, the sum must hold in each second, also while VMs
//! disagree about the fleet.

mod fleet_share;
mod state;

pub use fleet_share::FleetSight;
pub(crate) use state::Warmup;
pub use state::WarmupPolicy;

#[cfg(test)]
mod tests;
