//! Ownership: which process may use the connections and slots of each backend server.
//!
//! Each backend server has at most one owner and one standby. The owner may use all slots while the
//! standby promises to use none. The promise is a lease that lapses unless it is renewed. After it
//! has lapsed, each of the two uses only its half, so that the sum stays within the server's slots
//! even if the two disagree on whether the lease holds. No other process uses any slot. Roles
//! change by explicit steps:
//!
//! - An owner appoints a standby by naming it in an [`OwnershipRequest`], and dismisses it by no
//!   longer naming it.
//! - An owner hands over by becoming the standby of its successor. The successor becomes owner when
//!   the [`OwnershipReply`] to its own request says so.
//! - A process claims a server that has no owner, and becomes owner after every candidate has
//!   confirmed that it does not hold the server or is known to be gone.
//! - A standby whose owner is known to be gone becomes owner.
//!
//! Rendezvous hashing ranks the processes and so decides which of them should own a server. The
//! steps above decide which of them does.

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
