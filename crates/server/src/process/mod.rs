//! One process: its parts and how they are started and stopped.

mod error;
mod node;
mod run;

pub use error::ProcessError;
pub use node::{CallError, Node};
pub use run::run;
