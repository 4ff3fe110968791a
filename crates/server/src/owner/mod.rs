//! Calls to backend servers: queues, slots, connections and exchanges.
//!
//! Each backend server that this process owns has a pool, which bounds the requests that run on it
//! and the connections to it, and a queue of the calls that wait for the pool. A connection carries
//! one request at a time. Whether a request was handed to a connection is decided at one point,
//! the `SendDecision`, so that a refusal that says `not run` is proved.

mod body;
mod cancel;
mod connection;
mod counters;
mod decision;
mod exchange;
mod grant;
mod health;
mod pool;
mod queue;
mod run;
mod server;
mod service;
mod settings;
#[cfg(test)]
mod tests;

pub use service::Owner;
pub use settings::OwnerSettings;
