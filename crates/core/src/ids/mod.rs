//! Identifiers that all modules share.

mod position;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use position::Position;

/// The name of a VM, as spelled in the platform's VM list.
pub type VmId = Arc<str>;

/// The name of a data centre.
pub type DataCentre = Arc<str>;

/// The name of a service: a sharded index or a pool of job runners.
pub type ServiceId = Arc<str>;

/// The name of a route.
pub type RouteId = Arc<str>;

/// The name of a backend server, unique across all services.
pub type ServerId = Arc<str>;

/// The name of a caller: a dealer, a promoter or a gate crew.
pub type CallerId = Arc<str>;

/// The name of a preset.
pub type PresetId = Arc<str>;

/// The number of a shard within one version of a service's shard map.
pub type ShardId = u32;

/// The number of a version of a service's index; newer versions have larger numbers.
pub type IndexVersion = u64;

/// The number of a change of the platform's configuration, which orders the configurations of one
/// epoch.
pub type Revision = u64;

/// The number of times that the configuration service was restored from a backup. Revisions of
/// different epochs are unrelated.
pub type Epoch = u64;

/// The identifier of one run of a process, drawn at random at its start.
pub type Incarnation = u64;

/// The number of an attempt of a request, counted across all its shards.
pub type AttemptId = u32;

/// The fleet-wide identifier of a request: the process run that admitted it and a sequence number
/// within that run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKey {
    /// The run of the process that admitted the request.
    pub incarnation: Incarnation,
    /// The sequence number of the request within that run.
    pub sequence: u64,
}
