//! A caller's request that one VM passes on whole to another.

use cassialift_core::{
    request::{ExecutionStatus, RefusalReason},
    routes::Route,
    time::Millis,
};
use serde::{Deserialize, Serialize};

/// Asks a VM to serve a caller's request, since the sender reaches no backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelayRequest {
    /// The caller's id for the attempt.
    pub attempt: Vec<u8>,
    /// The HTTP method of the caller's request.
    pub method: String,
    /// The path and query of the caller's request.
    pub target: String,
    /// The headers of the caller's request without hop-by-hop headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body of the caller's request.
    pub body: Vec<u8>,
    /// The route of the request in the sender's configuration, with one service or the shards.
    pub route: Route,
    /// The time until the caller stops waiting.
    pub remaining: Millis,
}

/// The reply to a [`RelayRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelayReply {
    /// The caller's id for the attempt.
    pub attempt: Vec<u8>,
    /// How the request ended.
    pub outcome: RelayOutcome,
}

/// How a request ended at the VM that it was passed on to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RelayOutcome {
    /// The answer for the caller.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<(String, Vec<u8>)>,
        /// The body.
        body: Vec<u8>,
    },
    /// There is no answer.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Whether the request may have run.
        ran: ExecutionStatus,
        /// The time after which to retry; `None` if a retry would not help.
        retry: Option<Millis>,
    },
    /// The VM did nothing for the request, since it reaches no backend server or is leaving.
    Unavailable,
}
