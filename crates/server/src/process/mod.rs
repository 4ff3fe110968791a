//! One process: its parts and how they are started and stopped.

mod drain;
mod error;
mod node;
mod run;
#[cfg(test)]
mod tests;

pub use drain::{Drain, InFlight, drain};
pub use error::ProcessError;
pub use node::{CallError, Node};
pub use run::run;
