//! Membership: which processes of the fleet are reachable, by a SWIM-like failure detector with
//! gossip.
//!
//! The platform's VM list names the members, but lags. Each process pings members in turn, at a
//! constant rate that does not depend on the fleet's size. A member that does not answer is probed
//! through others before it is suspected, and suspected before it is considered dead. A process
//! refutes a false suspicion by raising its own version, which no other process may do. A ping is
//! sent as a [`Heartbeat`](super::Heartbeat), which together with its reply also carries membership
//! updates.

mod gossip;
mod member;
mod settings;
mod table;
mod transitions;
mod update;

#[cfg(test)]
mod tests;

pub use member::{ListedVm, Member};
pub use settings::MemberSettings;
pub use table::{MemberEvent, Members, PingFailure, Probe, TickActions};
pub use update::{Attachment, Contact, MemberState, MemberStatus, MemberUpdate};
