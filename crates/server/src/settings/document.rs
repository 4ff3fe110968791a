//! The settings document of a process.

use std::net::SocketAddr;

use cassialift_core::{
    config::ReadSettings,
    ids::{DataCentre, VmId},
    time::Millis,
};
use serde::{Deserialize, Serialize};

use crate::{entry::jobs::JobSettings, gateway::GatewaySettings, owner::OwnerSettings};

/// The settings of one process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the VM, as in the platform's VM list.
    pub vm: VmId,
    /// The data centre of the VM.
    pub centre: DataCentre,
    /// The address on which to listen for callers and operators.
    pub callers: SocketAddr,
    /// The address at which peers reach this process, which is announced to them.
    pub peers: SocketAddr,
    /// The address on which to listen for peers, if it differs from the announced one.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// The addresses of the platform's services; missing if the platform has a store instead.
    #[serde(default)]
    pub platform: Option<PlatformSettings>,
    /// The address of the platform's store, which is read through an adapter.
    #[serde(default)]
    pub store: Option<SocketAddr>,
    /// The peer addresses of VMs through which to join the fleet if the platform has no VM list.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The choice of the VMs that read the configuration, and the read period.
    #[serde(default)]
    pub reads: ReadSettings,
    /// The gateway settings; missing if callers use only cassialift's own protocol.
    #[serde(default)]
    pub gateway: Option<GatewaySettings>,
    /// The address of the statsd server; if missing, no metrics are sent.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Limits on the resources that callers and peers can use.
    #[serde(default)]
    pub limits: LimitSettings,
    /// The settings of calls to backend servers.
    #[serde(default)]
    pub owner: OwnerSettings,
    /// The limits on the job outcomes that are kept.
    #[serde(default)]
    pub jobs: JobSettings,
}

/// The addresses of the platform's services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address of the configuration service.
    pub config: SocketAddr,
    /// The address of the VM list.
    pub vms: SocketAddr,
}

/// Limits on the resources that callers and peers can use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The largest request body, in bytes.
    pub body: usize,
    /// The largest number of headers of a request.
    pub headers: usize,
    /// The largest number of open connections from callers.
    pub connections: usize,
    /// The largest number of requests in flight.
    pub requests: usize,
    /// The memory of the machine, in megabytes: bodies, replies and connections get parts of it.
    pub memory: usize,
    /// The longest time that a caller may take to send the head, and then the body, of a request.
    pub receive: Millis,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body: 64 * 1024,
            headers: 64,
            connections: 4_096,
            requests: 4_096,
            memory: 1_024,
            receive: Millis::new(5_000),
        }
    }
}

/// The memory that a connection with an incomplete request takes at most, in bytes: the buffer of a head and
/// its tasks.
const CONNECTION_BYTES: usize = 24 << 10;

/// The share of the machine's memory that connections may take, as a divisor.
const CONNECTIONS_DIVISOR: usize = 5;

/// The memory of a machine for each of its traffic threads, in bytes. The allocator keeps what one thread has
/// freed for that thread, so that each of them takes as much as the largest load has taken on it.
const THREAD_BYTES: usize = 64 << 20;

impl LimitSettings {
    /// Returns the memory of the machine, in bytes.
    pub(crate) const fn memory_bytes(&self) -> usize {
        self.memory.saturating_mul(1 << 20)
    }

    /// Returns the largest number of threads for traffic that the memory allows.
    pub(crate) fn max_threads(&self) -> usize {
        (self.memory_bytes() / THREAD_BYTES).max(1)
    }

    /// Returns the largest number of open connections from callers that the memory allows.
    pub(crate) fn max_connections(&self) -> usize {
        let room = self.memory_bytes() / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        self.connections.min(room.max(1))
    }
}
