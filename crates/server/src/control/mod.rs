//! The control thread: it owns all tables and publishes a view for the traffic threads.

mod event;
mod handle;
mod tables;
mod thread;

pub use event::Event;
pub use handle::ControlHandle;
pub use thread::{ControlInput, start};
