//! What the control thread is told.

use cassialift_core::ids::VmId;
use cassialift_wire::peer::{ConfigPull, ConfigPush, Ping, PingReply};
use tokio::sync::oneshot;

use super::{ConfigEvent, FleetEvent};

/// What the control thread is told.
#[derive(Debug)]
pub enum Event {
    /// Something for the configuration's part.
    Config(ConfigEvent),
    /// Something for the fleet's part.
    Fleet(FleetEvent),
    /// A peer sent a heartbeat.
    Ping(Box<Ping>, oneshot::Sender<PingReply>),
    /// A heartbeat to a seed is wanted, behind whose address any VM may listen.
    SeedPing(oneshot::Sender<Box<Ping>>),
    /// A peer asks whether another answers.
    Probe(VmId, oneshot::Sender<bool>),
    /// A peer asks for configuration documents.
    Pull(ConfigPull, oneshot::Sender<ConfigPush>),
    /// The process is to leave; the reply tells whether every VM that may name it was told.
    Leave(oneshot::Sender<bool>),
}
