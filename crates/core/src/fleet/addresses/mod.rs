//! Address answers: the addresses that callers are given to send their requests to.
//!
//! No other load balancer distributes the callers, and a caller keeps an answer for its time to
//! live. [`select_addresses`] therefore draws each answer at random by weight, so that callers need
//! not coordinate and do not all use the same address. [`place_callers`] returns all suitable
//! addresses in a fixed order, for callers that spread their requests over them. An entry's weight
//! falls with its load, and grows slowly after the process has joined.

mod choose;
mod entry;
mod place;

#[cfg(test)]
mod tests;

pub use choose::select_addresses;
pub use entry::{AddressEntry, AddressSettings};
pub use place::place_callers;
