//! Settings of backend server stand-ins.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use cassialift_core::{
    ids::{IndexVersion, ServerId, ServiceId, ShardId},
    time::Millis,
};
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Settings of one process of backend servers.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProcessSettings {
    /// Where the process listens for its tests; none for no such address.
    pub admin: Option<SocketAddr>,
    /// The file that every run is written to; none for no history.
    pub history: Option<PathBuf>,
    /// The backend servers.
    pub servers: Vec<BackendSettings>,
}

/// Settings of one backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendSettings {
    /// Its name.
    pub server: ServerId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// How long a new connection takes.
    pub connect: Millis,
    /// The index versions that it holds.
    pub versions: Vec<IndexVersion>,
    /// The shards that it holds; none for all.
    pub shards: Option<Vec<ShardId>>,
    /// How long a run takes.
    pub time: ServiceTime,
    /// How many times slower a run is just after the start.
    pub cold: f64,
    /// How long the server takes to reach full speed.
    pub warmup: Millis,
    /// The rows of a shard's reply.
    pub rows: u32,
    /// The seed of service times and faults.
    pub seed: u64,
}

/// A log-normal distribution of service times.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// The median in microseconds.
    pub median: u64,
    /// The standard deviation of the logarithm.
    pub sigma: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            median: 2_000,
            sigma: 0.3,
        }
    }
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            server: Arc::from("server"),
            service: Arc::from("service"),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 2,
            connections: 25,
            connect: Millis::default(),
            versions: vec![1],
            shards: None,
            time: ServiceTime::default(),
            cold: 1.0,
            warmup: Millis::default(),
            rows: 2,
            seed: 1,
        }
    }
}

impl ServiceTime {
    /// Draws the time of one run.
    pub fn draw(&self, rng: &mut impl Rng) -> Duration {
        // The Box-Muller transform gives a standard normal value.
        let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
        Duration::from_micros(self.median).mul_f64((self.sigma * normal).exp())
    }
}
