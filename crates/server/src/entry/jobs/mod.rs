//! Requests that may run at most once: tickets, submission and outcomes.
//!
//! The process run that a ticket names holds it: only it starts the job, and it remembers the
//! outcome. Any VM forwards submissions and questions to the holder.

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
