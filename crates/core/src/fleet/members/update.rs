//! News of members as pings carry it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentre, Incarnation, VmId};

/// How a process is reached and which run of it this is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Contact {
    /// The VM.
    pub vm: VmId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub centre: DataCentre,
    /// Where it listens for peers.
    pub peers: SocketAddr,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// The processor time that its VM has, thousandths of a core; zero when that is not known.
    pub capacity: u32,
}

/// What a process says of itself with each heartbeat.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it holds a configuration that it can serve under.
    pub serving: bool,
    /// Its requests in flight.
    pub load: u32,
}

/// What one process holds of another; of two states at one version the greater counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Said that it is leaving.
    Leaving,
    /// Did not answer lately; may yet refute it.
    Suspect,
    /// Taken to be gone.
    Dead,
}

/// One piece of membership news, carried by pings and their replies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// Whom it is about.
    pub contact: Contact,
    /// The state.
    pub state: MemberState,
    /// Orders the states of one incarnation; raised only by the process itself.
    pub version: u64,
}
