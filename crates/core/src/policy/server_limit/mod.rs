//! Limits on the calls a second that a backend server takes from all VMs together.

mod rate;

pub use rate::{CallRate, StatedLimit};

#[cfg(test)]
mod tests;
