//! Settings of backend server stand-ins.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use cassialift_core::{
    ids::{IndexVersion, ServerId, ServiceId, ShardId},
    time::Millis,
};
use rand::Rng;
use serde::{Deserialize, Serialize};

/// The settings of one process of backend server stand-ins.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProcessSettings {
    /// The address through which tests control the process; `None` for no such address.
    pub admin: Option<SocketAddr>,
    /// The file that every step of a request is written to; `None` for no history.
    pub history: Option<PathBuf>,
    /// The backend servers.
    pub servers: Vec<BackendSettings>,
}

/// The settings of one backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendSettings {
    /// The name of the server.
    pub server: ServerId,
    /// The service that the server belongs to.
    pub service: ServiceId,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The number of requests that the server runs at once.
    pub slots: u32,
    /// The number of connections that the server accepts.
    pub connections: u32,
    /// The delay of a new connection.
    pub connect: Millis,
    /// The index versions that the server holds at the start.
    pub versions: Vec<IndexVersion>,
    /// The shards that the server holds; `None` for all.
    pub shards: Option<Vec<ShardId>>,
    /// The distribution of the time that a run takes.
    pub time: ServiceTime,
    /// The factor by which a run is slower just after the start.
    pub cold: f64,
    /// The time that the server takes to reach full speed.
    pub warmup: Millis,
    /// The number of rows in a shard's reply.
    pub rows: u32,
    /// The seed of the generator of service times and faults.
    pub seed: u64,
}

/// A log-normal distribution of service times.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// The median service time, in microseconds.
    pub median: u64,
    /// The standard deviation of the logarithm of the time.
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
    /// Returns a random time for one run from the distribution.
    pub fn sample(&self, rng: &mut impl Rng) -> Duration {
        // The Box-Muller transform yields a standard normal variate.
        let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
        Duration::from_micros(self.median).mul_f64((self.sigma * normal).exp())
    }
}
