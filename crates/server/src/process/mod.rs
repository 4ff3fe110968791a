//! The process: the parts that it consists of, and how they are started and stopped.

mod adapter;
mod drain;
mod error;
mod node;
mod reload;
mod run;
#[cfg(test)]
mod tests;

pub use adapter::PlatformAdapter;
pub use drain::{Drain, InFlight, drain};
pub use error::ProcessError;
pub use node::{CallError, Node};
pub use run::run;
