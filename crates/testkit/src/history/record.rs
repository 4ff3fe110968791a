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

/// What a caller asked; bodies and queries are unique, so that runs can be told apart.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// A search or a fetch.
    Search(SearchRequest),
    /// The submission of a job.
    Job(JobRequest),
    /// The question for a job's outcome.
    Outcome(OutcomeRequest),
}

/// How a call ended for its caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallEnd {
    /// A search was answered.
    Answer(SearchAnswer),
    /// The state of a job came back.
    Job(JobAnswer),
    /// The request was refused.
    Refused(Refusal),
    /// No connection could be opened, so that nothing was sent.
    NoConnection,
    /// The connection was opened and no whole reply came.
    Broken(String),
    /// A reply came that is no message of the protocol.
    Unreadable(String),
}

/// One call of a caller; times are microseconds since the Unix epoch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallRecord {
    /// When it was sent.
    #[serde(rename = "sent")]
    pub sent_at: u64,
    /// When it ended.
    #[serde(rename = "ended")]
    pub ended_at: u64,
    /// The address it was sent to.
    pub address: SocketAddr,
    /// What was asked.
    pub call: Call,
    /// How it ended.
    pub end: CallEnd,
}

/// What a disturbance struck.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The process that serves callers at an address was killed, frozen or cut off.
    Process(SocketAddr),
    /// A backend server was told to leave.
    Server(ServerId),
    /// The platform or the links between processes.
    Platform,
}

/// A time in which something was disturbed on purpose.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Disturbance {
    /// What was struck.
    pub target: Target,
    /// From when, microseconds since the Unix epoch.
    pub from: u64,
    /// Until when; none for as long as the history lasts.
    pub until: Option<u64>,
}

/// What the checker measures a history against.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Expectations {
    /// The published index documents by service and version.
    pub indexes: BTreeMap<ServiceId, BTreeMap<IndexVersion, IndexDocument>>,
    /// When each revision was published, microseconds since the Unix epoch.
    #[serde(rename = "published")]
    pub published_at: BTreeMap<Revision, u64>,
    /// The preset that each revision which changed it put in force.
    pub presets: BTreeMap<Revision, PresetId>,
    /// The rows of a shard's reply.
    #[serde(rename = "rows")]
    pub row_count: u32,
    /// How long a leaving backend server may still be sent work.
    #[serde(rename = "leaving")]
    pub leaving_limit: Duration,
    /// How long a revision may take to be in force everywhere.
    #[serde(rename = "settle")]
    pub settle_limit: Duration,
}

/// All that was seen in one test.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct History {
    /// What the checker measures against.
    pub expected: Expectations,
    /// What callers saw, in any order.
    pub calls: Vec<CallRecord>,
    /// What backend servers saw, in any order.
    pub runs: Vec<RunEvent>,
    /// What was disturbed on purpose.
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
    /// Returns whether it overlaps a time.
    #[must_use]
    pub fn overlaps(&self, from: u64, until: u64) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

impl History {
    /// Returns whether something was disturbed in a time.
    #[must_use]
    pub fn is_disturbed(&self, target: &Target, from: u64, until: u64) -> bool {
        let mut disturbances = self.disturbances.iter();
        disturbances.any(|found| found.target == *target && found.overlaps(from, until))
    }
}
