//! Heartbeats, membership and configuration between processes.

use std::net::SocketAddr;

use cassialift_core::{
    config::{ConfigNote, Document},
    ids::{DataCentre, Incarnation, Revision, VmId},
};
use serde::{Deserialize, Serialize};

/// How a process is reached and which run of it this is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Contact {
    /// The VM.
    pub vm: VmId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub centre: DataCentre,
    /// Where it listens for peers.
    pub peers: SocketAddr,
    /// Where it listens for callers.
    pub callers: SocketAddr,
}

/// What one process holds of another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Did not answer lately; may yet refute it.
    Suspect,
    /// Taken to be gone.
    Dead,
    /// Said that it is leaving.
    Leaving,
}

/// One piece of membership news, carried by pings and their replies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// Whom it is about.
    pub contact: Contact,
    /// The state.
    pub state: MemberState,
    /// Orders the states of one incarnation; raised only by the process itself.
    pub version: u64,
}

/// A heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ping {
    /// Who pings.
    pub from: Contact,
    /// Whether it is leaving.
    pub leaving: bool,
    /// What it holds of the configuration.
    pub config: ConfigNote,
    /// Its load: requests in flight.
    pub load: u32,
    /// Membership news.
    pub updates: Vec<MemberUpdate>,
}

/// The reply to a [`Ping`]; the same facts about the replier.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PingReply {
    /// Who replies.
    pub from: Contact,
    /// Whether it is leaving.
    pub leaving: bool,
    /// What it holds of the configuration.
    pub config: ConfigNote,
    /// Its load: requests in flight.
    pub load: u32,
    /// Membership news.
    pub updates: Vec<MemberUpdate>,
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
pub struct ConfigPush {
    /// What the sender holds.
    pub note: ConfigNote,
    /// The revision after which it holds every change.
    pub after: Revision,
    /// The changed documents, rejected ones included; a document whose newest text is rejected
    /// may stand twice, with its accepted and its newest text. Only as many as one frame holds.
    pub documents: Vec<Document>,
    /// Whether there are more documents after these.
    pub more: bool,
}
