//! The gateway role: it forwards callers' HTTP requests to backend servers.
//!
//! A route chooses one backend server, or one of each shard, whose parts are merged. Requests go
//! to backend servers directly: they queue by themselves, and each VM holds its share of the
//! connections that they accept.

mod answer;
mod call;
mod decision;
mod fan;
mod forward;
mod inbound;
mod lanes;
mod listen;
mod one_call;
mod pages;
mod partial;
mod plan;
mod rests;
mod roster;
mod settings;
mod state;
mod trace;

#[cfg(test)]
mod tests;

pub use listen::serve;
pub use settings::GatewaySettings;
pub use state::Gateway;
