//! Tables, systems and policy of the cassialift query tier.
//!
//! Nothing in this package does I/O, reads a clock or draws from a global random source: time and
//! randomness are passed in. That makes every decision testable with fixed seeds.

pub mod config;
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
