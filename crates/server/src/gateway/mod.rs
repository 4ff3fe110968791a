//! The gateway role: forwards callers' HTTP requests to backend servers.
//!
//! A route selects one backend server, or one for each shard, whose parts are merged. Requests go
//! to backend servers directly: the servers queue them, and each VM holds its share of the
//! connections that the servers accept.

mod answer;
mod body_buffer;
mod body_memory;
mod connections;
mod continuations;
mod crashes;
mod decision;
mod exchange;
mod fan_out;
mod forward;
mod inbound;
mod listen;
mod notice;
mod pages;
mod partial;
mod permits;
mod plan;
mod poison;
mod priority;
mod reach;
mod readiness;
mod receive_limit;
mod relay;
mod reply_memory;
mod server_call;
mod servers;
mod settings;
mod state;
mod trace;
mod trial;
mod waiting;

#[cfg(test)]
mod body_memory_tests;
#[cfg(test)]
mod reply_memory_tests;
#[cfg(test)]
mod tests;

pub use listen::serve;
pub use settings::GatewaySettings;
pub use state::Gateway;
