//! Settings of a fleet under test.

use cassialift_core::{
    ids::{DataCentre, ShardId},
    presets::Preset,
    time::Millis,
};
use std::sync::Arc;

use crate::standin::backend::ServiceTime;

/// Settings of a fleet and its stand-ins.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The VMs of each data centre.
    pub vms: Vec<usize>,
    /// The VMs that cannot reach the configuration service.
    pub config_blocked: Vec<usize>,
    /// The backend servers of the search service.
    pub servers: usize,
    /// The shards of the search service.
    pub shards: ShardId,
    /// The replicas of each shard.
    pub replicas: usize,
    /// The backend servers of the job service.
    pub job_servers: usize,
    /// The processes that the backend servers are spread over.
    pub backend_processes: usize,
    /// The slots of each backend server.
    pub slots: u32,
    /// The connections that each backend server accepts.
    pub connections: u32,
    /// How long a new connection to a backend server takes.
    pub connect_delay: Millis,
    /// How long a search's part runs at a backend server.
    pub search_time: ServiceTime,
    /// How long a job runs.
    pub job_time: ServiceTime,
    /// The preset in force.
    pub preset: Preset,
    /// Further settings of each VM, by their names in its settings file.
    pub vm_settings: serde_json::Map<String, serde_json::Value>,
    /// Whether the VMs reach each other through relays that can be cut.
    pub relays: bool,
    /// The seed of all stand-ins.
    pub seed: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            vms: vec![2, 1],
            config_blocked: Vec::new(),
            servers: 4,
            shards: 8,
            replicas: 2,
            job_servers: 2,
            backend_processes: 2,
            slots: 2,
            connections: 25,
            connect_delay: Millis::default(),
            search_time: ServiceTime::default(),
            job_time: ServiceTime::default(),
            preset: Preset::default(),
            vm_settings: serde_json::Map::new(),
            relays: false,
            seed: 1,
        }
    }
}

impl FleetSettings {
    /// Returns the name of a data centre.
    #[must_use]
    pub fn centre(index: usize) -> DataCentre {
        Arc::from(format!("centre-{index}"))
    }
}
