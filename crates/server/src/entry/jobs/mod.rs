//! Requests that may run at most once: tickets, submission and outcomes.
//!
//! The process run that a ticket names holds it: only it starts the job, and it remembers the
//! outcome. Any VM forwards submissions and questions to the holder.

mod book;
mod forward;
mod issue;
mod run;
mod settings;
mod submit;

pub use book::Jobs;
pub use settings::JobSettings;
pub(crate) use submit::handle_as_holder;

pub(super) use forward::{ask, submit};
pub(super) use issue::issue;
