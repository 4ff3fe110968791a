//! Membership: which processes of the fleet answer now.
//!
//! The platform's VM list names the candidates; it lags. Pings, a constant number a second, tell
//! who answers. A process that does not answer is probed through others before it is suspected,
//! and suspected before it is taken to be dead. A process refutes what is said of it by raising
//! its own version, which nobody else may do. News rides on pings and their replies.

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
pub use update::{Contact, MemberState, MemberStatus, MemberUpdate};
