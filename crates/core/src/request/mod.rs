//! Requests, the coverage of their answers, and the reasons for refusals.

mod coverage;
mod kind;
mod refusal;

pub use coverage::{Coverage, MissingReason, MissingShard};
pub use kind::{RequestKind, Urgency};
pub use refusal::{ExecutionStatus, RefusalReason};
