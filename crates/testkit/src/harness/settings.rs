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
    pub cut: Vec<usize>,
    /// The backend servers of the search service.
    pub servers: usize,
    /// The shards of the search service.
    pub shards: ShardId,
    /// The replicas of each shard.
    pub replicas: usize,
    /// The backend servers of the job service.
    pub runners: usize,
    /// The processes that the backend servers are spread over.
    pub hosts: usize,
    /// The slots of each backend server.
    pub slots: u32,
    /// The connections that each backend server accepts.
    pub connections: u32,
    /// How long a new connection to a backend server takes.
    pub connect: Millis,
    /// How long a search's part runs at a backend server.
    pub time: ServiceTime,
    /// How long a job runs.
    pub job_time: ServiceTime,
    /// The preset in force.
    pub preset: Preset,
    /// Further settings of each VM, by their names in its settings file.
    pub node: serde_json::Map<String, serde_json::Value>,
    /// Whether the VMs reach each other through relays that can be cut.
    pub relays: bool,
    /// The seed of all stand-ins.
    pub seed: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            vms: vec![2, 1],
            cut: Vec::new(),
            servers: 4,
            shards: 8,
            replicas: 2,
            runners: 2,
            hosts: 2,
            slots: 2,
            connections: 25,
            connect: Millis::default(),
            time: ServiceTime::default(),
            job_time: ServiceTime::default(),
            preset: Preset::default(),
            node: serde_json::Map::new(),
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
