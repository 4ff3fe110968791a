//! The events that the control thread handles.

use cassialift_core::ids::VmId;
use cassialift_wire::peer::{ConfigPull, ConfigPullReply, Ping, PingReply};
use tokio::sync::oneshot;

use super::{ConfigEvent, FleetEvent};

/// An event that the control thread handles.
#[derive(Debug)]
pub enum Event {
    /// An event for the configuration tables.
    Config(ConfigEvent),
    /// An event for the fleet tables.
    Fleet(FleetEvent),
    /// A peer sent a heartbeat; the reply goes to the sender.
    Ping(Box<Ping>, oneshot::Sender<PingReply>),
    /// A heartbeat for a seed's address, where any VM may listen, is requested.
    SeedPing(oneshot::Sender<Box<Ping>>),
    /// A peer asks whether another VM answers.
    Probe(VmId, oneshot::Sender<bool>),
    /// A peer asks for configuration documents.
    Pull(ConfigPull, oneshot::Sender<ConfigPullReply>),
    /// The process starts to leave; the reply states whether every VM that may name it to callers
    /// was informed.
    Leave(oneshot::Sender<bool>),
}
