//! The edge towards backend servers: queue, slots, connections and exchanges.
//!
//! Each backend server that this process owns has a gate that bounds the requests it runs and the
//! connections it holds, a queue in front of the gate, and lanes: connections that carry one
//! request at a time. Whether a request was handed to a connection is decided at one point, the
//! `SendMark`, so that a refusal that says `not run` is proved.

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
