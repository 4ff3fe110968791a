//! Address answers: the addresses that callers are told to use.
//!
//! Callers keep an answer for its time to live, so answers are the only load balancer. Each answer
//! is drawn at random by weight, so that callers need not coordinate and do not all go to the same
//! address. An entry's weight falls with its load, and grows slowly after the process has joined.

mod choose;
mod entry;
mod place;

#[cfg(test)]
mod tests;

pub use choose::select_addresses;
pub use entry::{AddressEntry, AddressSettings};
pub use place::place_callers;
