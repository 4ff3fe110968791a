//! The operators' protocol: read-only, over HTTP/1.1, served beside the callers' protocol.
//!
//! - `GET /v1/status` gives a [`Status`] as JSON.
//! - `GET /v1/counters` gives [`Counters`] as JSON.
//! - `GET /metrics` gives the counters and latency histograms in a text format.

use std::collections::BTreeMap;

use cassialift_core::{
    config::ServiceReachability,
    ids::{DataCentre, Epoch, Incarnation, PresetId, Revision, VmId},
    time::Millis,
};
use serde::{Deserialize, Serialize};

/// The path of the status page.
pub const STATUS_PATH: &str = "/v1/status";
/// The path of the counters.
pub const COUNTERS_PATH: &str = "/v1/counters";
/// The path of the counters and latency histograms in a text format.
pub const METRICS_PATH: &str = "/metrics";

/// The fleet as one VM sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// The VM that answers.
    pub vm: VmId,
    /// The data centre of the VM.
    pub centre: DataCentre,
    /// The current run of the VM's process.
    pub incarnation: Incarnation,
    /// Whether the VM is leaving.
    pub leaving: bool,
    /// The configuration in force on the VM.
    pub config: ConfigStatus,
    /// The VMs that the answering VM knows.
    pub vms: Vec<VmStatus>,
    /// The backend servers that the answering VM knows.
    pub servers: Vec<ServerStatus>,
    /// The recent decisions of the answering VM, oldest first.
    pub events: Vec<Event>,
}

/// The configuration in force on one VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigStatus {
    /// The number of times that the configuration service was restored from a backup, as far as it
    /// tells.
    #[serde(default)]
    pub epoch: Epoch,
    /// The number of documents of earlier epochs that stay in use.
    #[serde(default)]
    pub retained: usize,
    /// The newest revision that the VM has; zero before the first.
    pub revision: Revision,
    /// The preset in force; `None` before the first.
    pub preset: Option<PresetId>,
    /// Where the VM got the preset in force: `platform` or a VM's name; `None` before the first.
    pub source: Option<String>,
    /// How long the preset has been in force on this VM; `None` before the first.
    #[serde(rename = "since")]
    pub active_for: Option<Millis>,
    /// Whether the VM has a configuration under which it admits requests.
    pub admits: bool,
    /// How long ago the platform last confirmed the revision, as far as this VM knows; `None`
    /// before the first confirmation.
    pub age: Option<Millis>,
    /// The VM that got the confirmation from the platform; `None` before the first
    /// confirmation.
    pub reader: Option<VmId>,
    /// Whether this VM itself can read the configuration service.
    pub service: ServiceReachability,
    /// Documents whose newest text was rejected; their previous accepted text stays in force.
    pub rejections: Vec<Rejection>,
}

/// The reason why the newest text of a document was rejected.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rejection {
    /// The document's key.
    pub key: String,
    /// The revision of the rejected text.
    pub revision: Revision,
    /// The revision of the text that stays in force; `None` if no text was ever accepted.
    #[serde(rename = "former")]
    pub fallback: Option<Revision>,
    /// The line of the error, from 1.
    pub line: usize,
    /// The column of the error, from 1.
    pub column: usize,
    /// The description of the error.
    pub cause: String,
    /// A hint on how to correct the text, if there is one.
    pub hint: Option<String>,
}

/// One VM as the answering VM sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmStatus {
    /// The name of the VM.
    pub vm: VmId,
    /// The data centre of the VM.
    pub centre: DataCentre,
    /// The state of the VM: `alive`, `suspect`, `dead`, `leaving` or `unknown`.
    pub state: String,
    /// The current run of the VM's process; `None` until the answering VM has learned of a run.
    pub incarnation: Option<Incarnation>,
}

/// One backend server as the answering VM sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerStatus {
    /// The name of the backend server.
    pub server: String,
    /// The VM that owns the backend server, as far as the answering VM knows.
    pub owner: Option<VmId>,
    /// The VM that takes over if the owner is lost, as far as the answering VM knows.
    pub standby: Option<VmId>,
    /// The number of slots that the answering VM may use itself.
    pub slots: u32,
    /// The published state of the backend server: `serving` or `leaving`.
    pub state: String,
}

/// A decision of a VM that operators may want explained.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// How long ago the decision was last taken.
    pub age: Millis,
    /// The part of the program that took the decision, which is also its prefix in the log.
    pub part: String,
    /// The decision and its reason, in one sentence.
    pub text: String,
    /// How many times the decision was taken; repeats among a part's last few decisions are
    /// counted as one event.
    pub count: u32,
}

/// The counters of a VM.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Counters {
    /// The counts since the process started, by name.
    pub counters: BTreeMap<String, u64>,
}
