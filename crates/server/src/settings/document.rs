//! The settings document.

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
    /// The VM's name, as in the platform's VM list.
    pub vm: VmId,
    /// The data centre the VM stands in.
    pub centre: DataCentre,
    /// Where to listen for callers and operators.
    pub callers: SocketAddr,
    /// The address that peers are told; they reach this process there.
    pub peers: SocketAddr,
    /// Where to listen for peers, when they reach this process through another address.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// Where the platform's services are; missing where the platform has a store instead.
    #[serde(default)]
    pub platform: Option<PlatformSettings>,
    /// Where the platform's store is, which an adapter reads.
    #[serde(default)]
    pub store: Option<SocketAddr>,
    /// The addresses for peers of VMs to meet the fleet through, where no VM list tells of it.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Who reads the configuration, and how often.
    #[serde(default)]
    pub reads: ReadSettings,
    /// The gateway; missing where callers speak cassialift's own protocol only.
    #[serde(default)]
    pub gateway: Option<GatewaySettings>,
    /// Where to send statsd metrics; nowhere when missing.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Bounds on what callers and peers can take up.
    #[serde(default)]
    pub limits: LimitSettings,
    /// The edge to backend servers.
    #[serde(default)]
    pub owner: OwnerSettings,
    /// The outcomes that are remembered.
    #[serde(default)]
    pub jobs: JobSettings,
}

/// Where the platform is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The configuration service.
    pub config: SocketAddr,
    /// The VM list.
    pub vms: SocketAddr,
}

/// Bounds on what callers and peers can take up.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The largest request body, bytes.
    pub body: usize,
    /// The most headers of a request.
    pub headers: usize,
    /// The most connections from callers.
    pub connections: usize,
    /// The most requests in flight.
    pub requests: usize,
    /// The longest that a caller may take to send a request.
    pub receive: Millis,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body: 64 * 1024,
            headers: 64,
            connections: 4_096,
            requests: 4_096,
            receive: Millis::new(5_000),
        }
    }
}
