//! Heartbeats, probes of members, and configuration documents between processes.

use cassialift_core::{
    config::{ConfigSummary, Document, RetainedDocuments},
    fleet::{Heartbeat, HeartbeatReply},
    ids::{Position, Revision},
};
use serde::{Deserialize, Serialize};

/// A heartbeat, together with the state of the sender's configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ping {
    /// The sender's identity, status and membership updates.
    #[serde(rename = "beat")]
    pub heartbeat: Heartbeat,
    /// The state of the sender's configuration.
    pub config: ConfigSummary,
}

/// The reply to a [`Ping`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PingReply {
    /// The replier's identity, status and membership updates.
    pub reply: HeartbeatReply,
    /// The state of the replier's configuration.
    pub config: ConfigSummary,
}

/// The result of an indirect probe.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeReply {
    /// Whether the target answered the VM that probed it.
    pub answered: bool,
}

/// Asks a peer for the configuration documents changed after a position.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigPull {
    /// The position of the requester.
    pub after: Position,
    /// How many documents of the reply the requester has received already, on earlier pages.
    pub skip: usize,
}

/// The reply to a [`ConfigPull`]: one page of configuration documents.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigPullReply {
    /// The state of the replier's configuration.
    #[serde(rename = "note")]
    pub summary: ConfigSummary,
    /// The revision, in the epoch of the summary, after which all pages together include every
    /// change; zero if they are all documents.
    pub after: Revision,
    /// The changed documents, rejected ones included, as many as fit into one frame. A document
    /// whose newest text is rejected may occur twice, with its accepted and its newest text.
    #[serde(with = "super::packed")]
    pub documents: Vec<Document>,
    /// Documents of earlier epochs that the replier still uses; on the last page.
    pub retained: RetainedDocuments,
    /// Whether more pages follow.
    pub more: bool,
}
