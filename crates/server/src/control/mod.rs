//! The control thread: owns all tables and publishes a view for the traffic threads.

mod config;
mod config_pull;
mod config_read;
mod config_state;
mod event;
mod fleet;
mod handle;
mod heartbeats;
mod seeds;
mod thread;
mod vm_list;

pub use config::ConfigEvent;
pub use config_state::ConfigState;
pub use event::Event;
pub use fleet::FleetEvent;
pub use handle::ControlHandle;
pub use thread::{ControlInput, start};

#[cfg(test)]
mod config_read_tests;
#[cfg(test)]
mod config_tests;
