//! The fleet, as the traffic threads see it.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Instant};

use serde::{Deserialize, Serialize};

use super::{ConfigView, OwnersView};
use crate::ids::{DataCentre, Incarnation, VmId};

/// The configuration and fleet state that the traffic threads work with.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// The state of this process.
    pub own: OwnView,
    /// The active configuration; `None` until the first has been accepted.
    pub config: Option<Arc<ConfigView>>,
    /// All processes including this one, by VM; shared by all views between two changes.
    pub members: Arc<HashMap<VmId, Arc<MemberView>>>,
    /// The owners of the backend servers.
    pub owners: OwnersView,
}

impl FleetView {
    /// Returns the other VMs that answer.
    pub fn answering_peers(&self) -> impl Iterator<Item = (&VmId, &MemberView)> {
        let members = self.members.iter().map(|(vm, member)| (vm, &**member));
        members.filter(|(vm, member)| {
            **vm != self.own.vm && member.reachability == Reachability::Alive
        })
    }
}

/// The state of the process that publishes the view.
#[derive(Clone, Debug)]
pub struct OwnView {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// The data centre of the VM.
    pub centre: DataCentre,
    /// Whether the process is leaving.
    pub leaving: bool,
}

/// The known state of one process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// The run of the process; `None` before the first contact or update.
    pub incarnation: Option<Incarnation>,
    /// The data centre of the process.
    pub centre: DataCentre,
    /// The address on which the process listens for peers.
    pub peers: SocketAddr,
    /// The address on which the process listens for callers.
    pub callers: SocketAddr,
    /// The processor time of the VM, in thousandths of a core; zero if unknown.
    pub capacity: u32,
    /// Whether the process can be used.
    pub reachability: Reachability,
    /// Whether the process reaches no backend server.
    pub detached: bool,
    /// The number of requests in flight that the process last reported.
    pub load: u32,
    /// The time since which the process has answered without interruption; `None` while it does not
    /// answer.
    pub alive_since: Option<Instant>,
}

/// The reachability of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reachability {
    /// The process is known, but its state is not: it has not been heard from yet, or not since a
    /// freeze, or it cannot serve.
    Unknown,
    /// The process answers.
    Alive,
    /// The process did not answer recently.
    Suspect,
    /// The process is considered gone.
    Dead,
    /// The process is leaving and completes its running requests.
    Leaving,
}

/// The owner and the standby of one backend server, and the share that this process may use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OwnerView {
    /// The VM through which calls to the server are sent.
    pub owner: Option<VmId>,
    /// The VM that takes over when the owner is lost.
    pub standby: Option<VmId>,
    /// The number of slots that this process may use itself; zero if it may use none.
    pub slots: u32,
    /// The number of connections that this process may keep open itself.
    pub connections: u32,
    /// The time from which no call may be started without a newer view.
    pub valid_until: Option<Instant>,
}
