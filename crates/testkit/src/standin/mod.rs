//! Stand-ins for the platform and the backend servers; each can run as a process of its own.

pub mod backend;
mod command;
pub mod config;
mod limiter;
mod serve;
pub mod vms;

pub use command::{StandinError, run_command};
pub use config::{ConfigMode, ConfigService, ConfigStats, Edit};
pub use limiter::ConnectionLimiter;
pub use serve::ServerHandle;
pub use vms::{VmChange, VmService};

/// The path at which every stand-in answers once it is ready.
pub const READY_PATH: &str = "/admin/ready";
