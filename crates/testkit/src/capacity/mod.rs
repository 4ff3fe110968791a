//! What the control decisions of one process cost at a given size of the fleet.
//!
//! One process's tables are driven with passed-in time against peers that always answer, so that
//! sizes far beyond one machine can be measured. Sockets and system calls are not part of it; the
//! `cost` example measures those with real processes.

mod bytes;
mod config;
mod fleet;
mod memory;
mod roles;

pub use config::{CapacityError, ConfigCost, config_cost};
pub use fleet::{FleetCost, FleetSize, fleet_cost};
pub use roles::MeasuredVm;
