//! Address answers: which addresses a caller is told to use.
//!
//! Callers keep an answer for its time to live, so answers are the only balancer. Each answer is
//! drawn at random by weight, so that no two callers need agree and none is sent where all the
//! others go. An entry's weight falls with its load and grows slowly after it has joined.

mod choose;
mod entry;
mod place;

#[cfg(test)]
mod tests;

pub use choose::select_addresses;
pub use entry::{AddressEntry, AddressSettings};
pub use place::place_callers;
