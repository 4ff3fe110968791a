//! Heartbeats, membership and configuration between processes.

use std::net::SocketAddr;

use cassialift_core::{
    config::ServiceReach,
    ids::{DataCentre, Incarnation, Revision, VmId},
    time::Millis,
};
use serde::{Deserialize, Serialize};

use crate::platform::Document;

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

/// What a heartbeat says of the configuration besides its revision and age.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigNote {
    /// Fingerprint of the documents held; two processes at one revision whose fingerprints differ
    /// hold different fallbacks for a rejected document and reconcile them.
    pub digest: u64,
    /// The VM that had the platform's confirmation; none before the first.
    pub reader: Option<VmId>,
    /// Whether the sender itself can read the configuration service.
    pub service: ServiceReach,
}

/// A heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ping {
    /// Who pings.
    pub from: Contact,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The configuration revision it holds.
    pub revision: Revision,
    /// How long ago the platform confirmed that revision, as far as it knows.
    pub age: Option<Millis>,
    /// What else it knows of the configuration.
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
    /// The configuration revision it holds.
    pub revision: Revision,
    /// How long ago the platform confirmed that revision, as far as it knows.
    pub age: Option<Millis>,
    /// What else it knows of the configuration.
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
}

/// Configuration documents from a peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigPush {
    /// The revision that the sender holds.
    pub revision: Revision,
    /// How long ago the platform confirmed that revision, as far as the sender knows.
    pub age: Option<Millis>,
    /// The documents changed after the revision asked for, rejected ones included.
    pub documents: Vec<Document>,
}
