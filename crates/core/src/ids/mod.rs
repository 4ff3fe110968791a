//! Identifiers shared by all parts.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Names a VM, as the platform's VM list spells it.
pub type VmId = Arc<str>;

/// Names a data centre.
pub type DataCentre = Arc<str>;

/// Names a service: one sharded index or one pool of job runners.
pub type ServiceId = Arc<str>;

/// Names a route.
pub type RouteId = Arc<str>;

/// Names a backend server, unique over all services.
pub type ServerId = Arc<str>;

/// Names a caller: a dealer, a promoter or a gate crew.
pub type CallerId = Arc<str>;

/// Names a preset.
pub type PresetId = Arc<str>;

/// Numbers a shard within one version of a service's shard map.
pub type ShardId = u32;

/// Numbers a version of a service's index; newer versions are larger.
pub type IndexVersion = u64;

/// Numbers a change of the platform's configuration; the only order of configurations.
pub type Revision = u64;

/// Identifies one run of a process; drawn at random when it starts.
pub type Incarnation = u64;

/// Numbers the attempts of one request, over all its shards.
pub type AttemptId = u32;

/// Identifies a request fleet-wide: the process run that admitted it and a sequence number there.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKey {
    /// The run of the process that admitted the request.
    pub incarnation: Incarnation,
    /// Counts the requests of that run.
    pub sequence: u64,
}
