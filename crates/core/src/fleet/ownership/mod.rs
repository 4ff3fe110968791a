//! Ownership: which process holds the connections and slots of each backend server.
//!
//! Each backend server has at most one owner and one standby. The owner uses all slots while the
//! standby promises to use none, a promise that lapses unless it is renewed. Once it has lapsed,
//! each of the two uses its half, so that the sum stays within the server's slots whatever the
//! two believe of each other. Every other process uses none. Roles move by explicit steps:
//!
//! - An owner takes a standby by naming it in an [`OwnershipRequest`], and gives it up by naming it no longer.
//! - An owner hands over by becoming the standby of its successor; the successor becomes owner
//!   once it reads that in an [`OwnershipReply`] to its own ask.
//! - A process takes a server that nobody holds after every candidate has denied holding it or is
//!   known to be gone.
//! - A standby whose owner is known to be gone becomes owner.
//!
//! Rank, by rendezvous hash, decides who should hold what; the steps above decide who does.

mod candidate;
mod event;
mod exchange;
mod rank;
mod role;
mod row;
mod settings;
mod share;
mod steps;
mod table;
mod targets;
mod view;

#[cfg(test)]
mod tests;

pub use candidate::{Candidate, Candidates};
pub use event::OwnershipEvent;
pub use exchange::{OwnershipReply, OwnershipRequest};
pub use rank::{ServerKey, rank, server_key};
pub use role::{ProcessRun, Role, StandbyOrigin};
pub use settings::OwnershipSettings;
pub use share::Share;
pub use table::{OwnState, Ownership};
