//! What the control thread is told.

use cassialift_wire::{
    peer::{ConfigPull, ConfigPush},
    platform::VmList,
};
use tokio::sync::oneshot;

use super::ConfigEvent;

/// What the control thread is told.
#[derive(Debug)]
pub enum Event {
    /// Something for the configuration's part.
    Config(ConfigEvent),
    /// The VM list answered.
    Vms(VmList),
    /// A peer asks for configuration documents.
    Pull(ConfigPull, oneshot::Sender<ConfigPush>),
    /// The process is to leave.
    Leave,
}
