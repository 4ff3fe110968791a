//! Heartbeats, membership and configuration between processes.

use cassialift_core::{
    config::{ConfigSummary, Document},
    fleet::{Heartbeat, HeartbeatReply},
    ids::Revision,
};
use serde::{Deserialize, Serialize};

/// A heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ping {
    /// Who pings, and what it tells of itself and the fleet.
    #[serde(rename = "beat")]
    pub heartbeat: Heartbeat,
    /// What it holds of the configuration.
    pub config: ConfigSummary,
}

/// The reply to a [`Ping`]; the same facts about the replier.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PingReply {
    /// Who replies, and what it tells of itself and the fleet.
    pub reply: HeartbeatReply,
    /// What it holds of the configuration.
    pub config: ConfigSummary,
}

/// What an indirect probe found.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeReply {
    /// Whether the target answered the prober.
    pub answered: bool,
}

/// Asks a peer for the configuration documents changed after a revision.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigPull {
    /// The revision that the asker holds.
    pub after: Revision,
    /// How many documents of the answer it has already.
    pub skip: usize,
}

/// Configuration documents from a peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigPullReply {
    /// What the sender holds.
    #[serde(rename = "note")]
    pub summary: ConfigSummary,
    /// The revision after which it holds every change.
    pub after: Revision,
    /// The changed documents, rejected ones included; a document whose newest text is rejected
    /// may stand twice, with its accepted and its newest text. Only as many as one frame holds.
    pub documents: Vec<Document>,
    /// Whether there are more documents after these.
    pub more: bool,
}
