//! Contacts, states and updates of members, as pings carry them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentre, Incarnation, VmId};

/// The addresses and identity of one run of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Contact {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// The VM's data centre.
    pub centre: DataCentre,
    /// The address on which the process listens for peers.
    pub peers: SocketAddr,
    /// The address on which the process listens for callers.
    pub callers: SocketAddr,
    /// The processor time of the VM, in thousandths of a core; zero if unknown.
    pub capacity: u32,
}

/// Whether a process reaches the backend servers, as it says itself.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attachment {
    /// The number of changes in this run of the process; the greatest is the newest.
    pub version: u64,
    /// Whether the process reaches no backend server.
    pub detached: bool,
}

impl Attachment {
    /// Adopts a newer statement; returns whether it says something else.
    pub(super) fn adopt(&mut self, other: Self) -> bool {
        if other.version <= self.version {
            return false;
        }
        let is_change = self.detached != other.detached;
        *self = other;
        is_change
    }
}

/// The status that a process reports of itself in each heartbeat.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Whether the process is leaving.
    pub leaving: bool,
    /// Whether the process can serve: it has a configuration and knows the state of the other
    /// processes.
    pub serving: bool,
    /// The number of requests in flight on the process.
    pub load: u32,
    /// Whether the process reaches the backend servers.
    pub attachment: Attachment,
}

/// The state of a process in an update. Of two states with the same version, the greater one wins.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// The process answers.
    Alive,
    /// The process is leaving.
    Leaving,
    /// The process did not answer recently, and may still refute the suspicion.
    Suspect,
    /// The process is considered gone.
    Dead,
}

/// A membership update about one process, carried by pings and their replies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// The process that the update is about.
    pub contact: Contact,
    /// The state of the process.
    pub state: MemberState,
    /// The version of the state, which orders the states of one run and is raised by the process
    /// itself only.
    pub version: u64,
    /// Whether the process reaches the backend servers.
    pub attachment: Attachment,
}
