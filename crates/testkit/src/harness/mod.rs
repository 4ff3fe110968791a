//! Runs stand-ins and a small fleet as processes, disturbs them and records what callers see.

mod binaries;
mod caller;
mod child;
mod error;
mod fleet;
mod memory;
mod network;
mod platform;
mod publish;
mod recorder;
mod relay;
mod settings;
mod vms;

pub use binaries::cassialift_path;
pub use caller::Caller;
pub use child::{Child, Signal};
pub use error::HarnessError;
pub use fleet::Fleet;
pub use memory::{peak_resident_bytes, resident_bytes};
pub use network::Network;
pub use publish::{JOB_SERVICE, SEARCH_SERVICE};
pub use recorder::Recorder;
pub use relay::Partition;
pub use settings::FleetSettings;
