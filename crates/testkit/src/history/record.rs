//! The records that make up a history.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use cassialift_core::{
    ids::{IndexVersion, PresetId, Revision, ServerId, ServiceId},
    index::IndexDocument,
};
use cassialift_wire::caller::{
    JobAnswer, JobRequest, OutcomeRequest, Refusal, SearchAnswer, SearchRequest,
};
use serde::{Deserialize, Serialize};

use crate::standin::backend::RunEvent;

/// A caller's request; bodies and queries are unique, so that runs can be told apart.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// A search or a fetch.
    Search(SearchRequest),
    /// A submission of a job.
    Job(JobRequest),
    /// A request for the outcome of a job.
    Outcome(OutcomeRequest),
}

/// The result of a call as its caller saw it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallEnd {
    /// The answer to a search.
    Answer(SearchAnswer),
    /// The state of a job.
    Job(JobAnswer),
    /// A refusal of the request.
    Refused(Refusal),
    /// No connection could be opened, so nothing was sent.
    NoConnection,
    /// The connection was opened, but no complete reply was received; holds the cause.
    Broken(String),
    /// A reply was received that is not a message of the protocol; holds its text.
    Unreadable(String),
}

/// One call of a caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallRecord {
    /// When the request was sent, in microseconds since the Unix epoch.
    #[serde(rename = "sent")]
    pub sent_at: u64,
    /// When the call ended, in microseconds since the Unix epoch.
    #[serde(rename = "ended")]
    pub ended_at: u64,
    /// The address that the request was sent to.
    pub address: SocketAddr,
    /// The request.
    pub call: Call,
    /// The result.
    pub end: CallEnd,
}

/// The target of a disturbance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DisturbanceTarget {
    /// The process that serves callers at this address, which was killed, frozen or shut down.
    Process(SocketAddr),
    /// A backend server that was told to leave.
    Server(ServerId),
    /// The platform or the links between processes.
    Platform,
}

/// A period in which a target was disturbed on purpose.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Disturbance {
    /// The disturbed target.
    pub target: DisturbanceTarget,
    /// The start of the period, in microseconds since the Unix epoch.
    pub from: u64,
    /// The end of the period; `None` if it lasts to the end of the history.
    pub until: Option<u64>,
}

/// What the checker compares a history with.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Expectations {
    /// The published index documents, by service and version.
    pub indexes: BTreeMap<ServiceId, BTreeMap<IndexVersion, IndexDocument>>,
    /// When each revision was published, in microseconds since the Unix epoch.
    #[serde(rename = "published")]
    pub published_at: BTreeMap<Revision, u64>,
    /// The preset that became active with each revision that published one.
    pub presets: BTreeMap<Revision, PresetId>,
    /// The number of rows in a shard's reply.
    #[serde(rename = "rows")]
    pub row_count: u32,
    /// How long a leaving backend server may still receive work.
    #[serde(rename = "leaving")]
    pub leaving_limit: Duration,
    /// How long a revision may take to become active everywhere.
    #[serde(rename = "settle")]
    pub settle_limit: Duration,
}

/// Everything observed in one test.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct History {
    /// What the checker compares the rest with.
    pub expected: Expectations,
    /// The calls of all callers, in any order.
    pub calls: Vec<CallRecord>,
    /// The run events of all backend servers, in any order.
    pub runs: Vec<RunEvent>,
    /// The disturbances that the harness caused on purpose.
    pub disturbances: Vec<Disturbance>,
}

impl Default for Expectations {
    fn default() -> Self {
        Self {
            indexes: BTreeMap::new(),
            published_at: BTreeMap::new(),
            presets: BTreeMap::new(),
            row_count: 2,
            leaving_limit: Duration::from_secs(3),
            settle_limit: Duration::from_secs(3),
        }
    }
}

impl Disturbance {
    /// Returns whether the disturbance overlaps the period between two times.
    #[must_use]
    pub fn overlaps(&self, from: u64, until: u64) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

impl History {
    /// Returns whether a target was disturbed in the period between two times.
    #[must_use]
    pub fn is_disturbed(&self, target: &DisturbanceTarget, from: u64, until: u64) -> bool {
        let mut disturbances = self.disturbances.iter();
        disturbances
            .any(|disturbance| disturbance.target == *target && disturbance.overlaps(from, until))
    }
}
