//! One process: its parts and how they are started and stopped.

mod drain;
mod edges;
mod error;
mod node;
mod reload;
mod run;
#[cfg(test)]
mod tests;

pub use drain::{Drain, InFlight, drain};
pub use edges::Edges;
pub use error::ProcessError;
pub use node::{CallError, Node};
pub use run::run;
