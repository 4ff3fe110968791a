//! Load and fault policy: decisions based on learned state, with time and randomness passed in.
//!
//! An entry is the VM that received a request. It keeps one [`EntryTables`] and drives one
//! [`gather::Gather`] per request. An owner is the VM that queues the calls to a backend server. It
//! keeps one [`queue::Queue`] and one [`limit::ConcurrencyLimit`] per backend server.

pub mod admission;
pub mod budget;
pub mod delegate;
pub mod early_answer;
pub mod extra_calls;
pub mod gather;
pub mod hedge;
pub mod latency;
pub mod limit;
pub mod outcome;
pub mod poison;
pub mod priority;
pub mod queue;
pub mod reach;
pub mod replica;
pub mod retry;
pub mod server_limit;
pub mod shutdown;
mod tables;
pub mod warmup;

pub use tables::EntryTables;

#[cfg(test)]
mod tests;
