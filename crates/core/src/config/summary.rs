//! What processes tell each other of the configuration with every heartbeat.

use serde::{Deserialize, Serialize};

use super::ServiceReachability;
use crate::{
    ids::{Revision, VmId},
    time::Millis,
};

/// What a process holds of the configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigSummary {
    /// The revision up to which it holds every change; zero before the first.
    pub revision: Revision,
    /// Fingerprint of the documents held; two processes at one revision whose fingerprints differ
    /// hold different fallbacks for a rejected document and reconcile them.
    pub digest: u64,
    /// How long ago the platform confirmed that revision, as far as is known.
    pub age: Option<Millis>,
    /// The VM that had the platform's confirmation.
    pub reader: Option<VmId>,
    /// Whether the sender itself can read the configuration service.
    pub service: ServiceReachability,
}
