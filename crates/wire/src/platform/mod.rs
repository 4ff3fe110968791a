//! The platform's read-only protocols: the configuration service and the VM list, JSON over HTTP.
//!
//! - `GET /v1/changes?after=REVISION&wait=MILLIS` gives [`Changes`]: every document changed after
//!   the revision. If there is no change yet, the service waits up to `wait` milliseconds for one.
//!   An answer may end at an earlier revision than the service's, and then says that there are more.
//! - `GET /v1/vms` gives a [`VmList`].

mod adapter;

use std::net::SocketAddr;

pub use cassialift_core::config::{Document, INDEX_PREFIX, PRESETS_KEY};
use cassialift_core::ids::{DataCentre, Epoch, Revision, VmId};
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
    /// The epoch of all revisions; zero where the service is never restored from a backup.
    #[serde(default)]
    pub epoch: Epoch,
    /// The revision up to which the answer has all changes, at least that of each document below.
    pub revision: Revision,
    /// Whether `documents` contains every existing document, so that all others are deleted.
    #[serde(default)]
    pub complete: bool,
    /// Whether there may be further changes, up to a later revision, that this answer leaves out.
    #[serde(default)]
    pub more: bool,
    /// The changed documents, each in its newest state.
    pub documents: Vec<Document>,
}

/// The platform's list of VMs, which may be out of date.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmList {
    /// The VMs of the platform.
    pub vms: Vec<VmEntry>,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// The VM's name.
    pub id: VmId,
    /// The VM's data centre.
    pub centre: DataCentre,
    /// The address at which the VM's process listens for callers.
    pub callers: SocketAddr,
    /// The address at which the VM's process listens for its peers.
    pub peers: SocketAddr,
    /// The VM's state as the platform last knew it.
    pub state: VmState,
}

/// The state of a VM according to the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be removed.
    Leaving,
}
