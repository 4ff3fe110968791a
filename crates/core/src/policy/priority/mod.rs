//! Priority among routes that share backend servers.
//!
//! Backend servers queue the calls of all VMs in one order, and a full queue refuses whoever comes. Where
//! the configuration has routes of several priorities on one service, each VM therefore keeps the queues of
//! the service short: it learns from the replies to its own calls whether calls wait or are refused there,
//! and admits a smaller share of the requests of lower priority as long as they do.

mod gate;
mod rank;
mod refused;
mod table;

pub use rank::{Rank, RouteRanks};
pub use table::{Admittance, PriorityTable, RequestClass};

#[cfg(test)]
mod tests;
