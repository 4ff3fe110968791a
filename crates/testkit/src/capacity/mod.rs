//! Measures the cost of membership, ownership and configuration for one process, by fleet size.
//!
//! The tables of a single process are driven with simulated time against peers that always answer,
//! so that fleets far larger than one machine can be measured. Sockets and system calls are not
//! included; the `cost` example measures those with real processes.

mod bytes;
mod config;
mod fleet;
mod memory;
mod roles;

pub use config::{CapacityError, ConfigCost, config_cost};
pub use fleet::{FleetCost, FleetSize, fleet_cost};
pub use roles::MeasuredVm;
