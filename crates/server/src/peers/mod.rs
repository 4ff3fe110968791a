//! The tarpc connections between the processes of the fleet.

mod calls;
mod error;
mod frames;
mod serve;
mod silence;
mod table;
mod traffic;

#[cfg(test)]
mod tests;

pub use calls::{
    call_shard, claim_permits, context_until, exchange_poison, forward_job, gather,
    gather_with_body, relay, rest,
};
pub use error::{PeerError, is_broken};
pub use frames::MAX_CONTENT;
pub use serve::{PeerServer, serve};
pub use table::PeerTable;
pub use traffic::PeerTraffic;
