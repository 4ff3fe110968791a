//! The fleet, as traffic sees it.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Instant};

use serde::{Deserialize, Serialize};

use super::{ConfigView, OwnersView};
use crate::ids::{DataCentre, Incarnation, VmId};

/// Everything that the traffic threads need to know of configuration and fleet.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// This process.
    pub own: OwnView,
    /// The configuration in force; none until the first has been accepted.
    pub config: Option<Arc<ConfigView>>,
    /// The other processes, and this one, by VM; shared by all views between two changes.
    pub members: Arc<HashMap<VmId, Arc<MemberView>>>,
    /// Who owns each backend server.
    pub owners: OwnersView,
}

/// What a process knows of itself.
#[derive(Clone, Debug)]
pub struct OwnView {
    /// The VM it runs on.
    pub vm: VmId,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// The data centre of the VM.
    pub centre: DataCentre,
    /// Whether the process is leaving.
    pub leaving: bool,
}

/// What is known of one process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// The run of the process; none before it was first heard.
    pub incarnation: Option<Incarnation>,
    /// Its data centre.
    pub centre: DataCentre,
    /// Where it listens for peers.
    pub peers: SocketAddr,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// The processor time that its VM has, thousandths of a core; zero when that is not known.
    pub capacity: u32,
    /// Whether it can be used.
    pub reachability: Reachability,
    /// The requests that it last said were in flight.
    pub load: u32,
    /// Since when it has answered without a break; none while it does not.
    pub alive_since: Option<Instant>,
}

/// Whether a process can be used.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reachability {
    /// On the VM list, but not heard of yet.
    Unknown,
    /// Answers.
    Alive,
    /// Did not answer lately.
    Suspect,
    /// Taken to be gone.
    Dead,
    /// Leaving; finishes what it has.
    Leaving,
}

/// Who owns a backend server.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OwnerView {
    /// The VM to send calls for it through.
    pub owner: Option<VmId>,
    /// The VM that takes over when the owner is lost.
    pub standby: Option<VmId>,
    /// The slots that this process may use itself; zero when it is not an owner.
    pub slots: u32,
    /// The connections that this process may hold open itself.
    pub connections: u32,
    /// The instant from which on no call may be started without a newer view.
    pub valid_until: Option<Instant>,
}
