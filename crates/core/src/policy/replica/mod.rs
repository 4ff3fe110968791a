//! Replica selection: the state learned about each backend server, and the choice among replicas.

mod choose;
mod event;
mod limits;
mod permits;
mod stats;
mod table;

pub use choose::Pick;
pub use event::{EjectCause, ReplicaEvent};
pub use stats::{ReplicaState, ReportedHealth, ServerNotice};
pub use table::{CallReport, Listing, ReplicaTable, WaitEstimate};

#[cfg(test)]
mod balance_tests;
#[cfg(test)]
mod notice_tests;
#[cfg(test)]
mod tests;
