//! What the control thread is told.

use std::time::Instant;

use cassialift_wire::{
    peer::{ConfigPull, ConfigPush},
    platform::{Changes, VmList},
};
use tokio::sync::oneshot;

/// What the control thread is told.
#[derive(Debug)]
pub enum Event {
    /// The configuration service answered.
    Changes(Changes, Instant),
    /// The VM list answered.
    Vms(VmList),
    /// A peer asks for configuration documents.
    Pull(ConfigPull, oneshot::Sender<ConfigPush>),
    /// The process is to leave.
    Leave,
}
