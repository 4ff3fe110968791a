//! Requests that end the backend servers that run them, recognised when they come again.
//!
//! Each VM counts the servers that ended under a request, by the request's fingerprint, and exchanges
//! the counts with the others. A request that ended three is refused everywhere. The counts of two VMs
//! merge in any order and any number of times.

mod fingerprint;
mod table;

pub use fingerprint::Fingerprint;
pub use table::{PoisonReport, PoisonTable, Strike, Verdict};

#[cfg(test)]
mod tests;
