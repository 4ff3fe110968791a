//! State and decisions of the cassialift query tier: configuration, membership, policies and
//! tickets.
//!
//! This package does no I/O, reads no clock and uses no global random source: callers pass in the
//! time and the randomness. Every decision can therefore be tested with fixed seeds.

pub mod config;
pub mod evacuation;
pub mod fleet;
pub mod ids;
pub mod index;
pub mod jsonc;
pub mod policy;
pub mod pool;
pub mod presets;
pub mod records;
pub mod request;
pub mod routes;
pub mod ticket;
pub mod time;
pub mod view;
