//! The operators' protocol: read-only JSON over HTTP/1.1, served beside the callers' protocol.
//!
//! - `GET /v1/status` gives a [`Status`].
//! - `GET /v1/counters` gives [`Counters`].

use std::collections::BTreeMap;

use cassialift_core::{
    config::ServiceReachability,
    ids::{DataCentre, Incarnation, PresetId, Revision, VmId},
    time::Millis,
};
use serde::{Deserialize, Serialize};

/// The path of the status page.
pub const STATUS_PATH: &str = "/v1/status";
/// The path of the counters.
pub const COUNTERS_PATH: &str = "/v1/counters";
/// The path of counters and latency histograms as text.
pub const METRICS_PATH: &str = "/metrics";

/// The fleet as one VM sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// The VM that answers.
    pub vm: VmId,
    /// Its data centre.
    pub centre: DataCentre,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The configuration in force.
    pub config: ConfigStatus,
    /// The VMs it knows.
    pub vms: Vec<VmStatus>,
    /// The backend servers it knows.
    pub servers: Vec<ServerStatus>,
    /// Recent decisions, oldest first.
    pub events: Vec<Event>,
}

/// The configuration in force on one VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigStatus {
    /// The revision in force; zero before the first.
    pub revision: Revision,
    /// The preset in force.
    pub preset: Option<PresetId>,
    /// Where the preset in force was learned: `platform` or a VM's name; none before the first.
    pub source: Option<String>,
    /// How long the preset has been in force here.
    #[serde(rename = "since")]
    pub active_for: Option<Millis>,
    /// Whether requests are admitted under it.
    pub admits: bool,
    /// How long ago the platform last confirmed the revision, as far as is known here.
    pub age: Option<Millis>,
    /// The VM that had the platform's confirmation; none before the first.
    pub reader: Option<VmId>,
    /// Whether this VM itself can read the configuration service.
    pub service: ServiceReachability,
    /// Documents whose newest text is rejected; their former text is in force.
    pub rejections: Vec<Rejection>,
}

/// Why the newest text of a document is rejected.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rejection {
    /// The document's key.
    pub key: String,
    /// The revision of the rejected text.
    pub revision: Revision,
    /// The revision of the text that stays in force; none if there never was one.
    #[serde(rename = "former")]
    pub fallback: Option<Revision>,
    /// The line at fault, from 1.
    pub line: usize,
    /// The column at fault, from 1.
    pub column: usize,
    /// What is wrong.
    pub cause: String,
    /// How to mend it.
    pub hint: Option<String>,
}

/// One VM as another sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmStatus {
    /// The VM.
    pub vm: VmId,
    /// Its data centre.
    pub centre: DataCentre,
    /// What it is taken to be: `alive`, `suspect`, `dead`, `leaving` or `unknown`.
    pub state: String,
    /// The run of its process, once heard of.
    pub incarnation: Option<Incarnation>,
}

/// One backend server as a VM sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerStatus {
    /// The backend server.
    pub server: String,
    /// The VM that is taken to own it.
    pub owner: Option<VmId>,
    /// The next in line.
    pub standby: Option<VmId>,
    /// The slots that the answering VM may use itself.
    pub slots: u32,
    /// `serving`, `leaving` or `ejected`.
    pub state: String,
}

/// A decision that an operator may ask about.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// How long ago it was taken.
    pub age: Millis,
    /// The part that took it, the log prefix.
    pub part: String,
    /// What was decided and why, one sentence.
    pub text: String,
    /// How often it was decided in a row.
    pub count: u32,
}

/// Counters since the process started, by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Counters {
    /// The counters.
    pub counters: BTreeMap<String, u64>,
}
