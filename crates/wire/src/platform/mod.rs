//! The platform's read-only protocols: the configuration service and the VM list, JSON over HTTP.
//!
//! - `GET /v1/changes?after=REVISION&wait=MILLIS` gives [`Changes`]: every document changed after
//!   the revision. With a `wait` above zero the service holds the call until there is a change.
//! - `GET /v1/vms` gives a [`VmList`].

mod adapter;

use std::net::SocketAddr;

pub use cassialift_core::config::{Document, INDEX_PREFIX, PRESETS_KEY};
use cassialift_core::ids::{DataCentre, Revision, VmId};
use serde::{Deserialize, Serialize};

pub use adapter::{ChangesFuture, ConfigSource, ConfigSourceError, Dialect, HeaderNames};

/// The path of the configuration service's changes.
pub const CHANGES_PATH: &str = "/v1/changes";
/// The path of the VM list.
pub const VMS_PATH: &str = "/v1/vms";
/// Documents of the configuration service that changed after a revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// The service's revision; at least that of every document here.
    pub revision: Revision,
    /// Whether `documents` holds all that exist, so that others have been deleted.
    #[serde(default)]
    pub complete: bool,
    /// The changed documents, each at its newest state.
    pub documents: Vec<Document>,
}

/// The platform's list of VMs; lags behind the facts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<VmEntry>,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// The VM's name.
    pub id: VmId,
    /// The data centre it stands in.
    pub centre: DataCentre,
    /// Where its process listens for callers.
    pub callers: SocketAddr,
    /// Where its process listens for its peers.
    pub peers: SocketAddr,
    /// What the platform last knew of it.
    pub state: VmState,
}

/// What the platform last knew of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to be taken away.
    Leaving,
}
