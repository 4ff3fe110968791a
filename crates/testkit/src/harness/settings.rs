//! Settings of a fleet under test.

use cassialift_core::{
    ids::{DataCentre, ShardId},
    presets::Preset,
    time::Millis,
};
use std::sync::Arc;

use crate::standin::backend::ServiceTime;

/// The settings of a fleet and its stand-ins.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The number of VMs in each data centre.
    pub vms: Vec<usize>,
    /// The VMs that cannot reach the configuration service.
    pub config_blocked: Vec<usize>,
    /// The number of backend servers of the search service.
    pub servers: usize,
    /// The number of shards of the search service.
    pub shards: ShardId,
    /// The number of replicas of each shard.
    pub replicas: usize,
    /// The number of backend servers of the job service.
    pub job_servers: usize,
    /// The number of processes that the backend servers are spread over.
    pub backend_processes: usize,
    /// The number of slots of each backend server.
    pub slots: u32,
    /// The number of connections that each backend server accepts.
    pub connections: u32,
    /// The delay of a new connection to a backend server.
    pub connect_delay: Millis,
    /// The distribution of the time that one shard's part of a search runs at a backend server.
    pub search_time: ServiceTime,
    /// The distribution of the time that a job runs.
    pub job_time: ServiceTime,
    /// The active preset at the start.
    pub preset: Preset,
    /// Additional settings of each VM, keyed by their names in its settings file.
    pub vm_settings: serde_json::Map<String, serde_json::Value>,
    /// Whether the VMs reach each other through relays, which can simulate partitions.
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
