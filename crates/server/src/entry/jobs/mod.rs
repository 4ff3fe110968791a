//! Jobs, which are requests that run at most once: tickets, submission and outcomes.
//!
//! The run of a process that issued a ticket is the ticket's holder: only the holder starts the
//! job, and the holder keeps the outcome. Other VMs forward submissions and outcome queries to it.

mod forward;
mod issue;
mod run;
mod settings;
mod store;
mod submit;

pub use settings::JobSettings;
pub use store::JobStore;
pub(crate) use submit::handle_as_holder;

pub(super) use forward::{query_outcome, submit};
pub(super) use issue::issue;
