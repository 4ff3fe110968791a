//! The encoded size of heartbeats between processes.

use bincode::Options;
use cassialift_core::{
    config::ServiceReachability,
    fleet::{Heartbeat, HeartbeatReply},
    ids::{Epoch, Position, VmId},
    time::Millis,
};
use cassialift_wire::peer::{ConfigSummary, PeerRequest, PeerResponse, Ping, PingReply};
use serde::Serialize;
use tarpc::{ClientMessage, Request, Response, context};

/// Size of the length prefix of a frame in bytes.
const FRAME_HEADER_BYTES: u64 = 4;
/// Configuration revision in heartbeats, as after a year of 1,500 changes a day.
const REVISION: u64 = 547_500;
/// Configuration epoch in heartbeats, as after a year of weekly restores.
const EPOCH: Epoch = 52;
/// Request identifier, as after 10,000 calls on a connection. Larger numbers are encoded in more
/// bytes.
const REQUEST_ID: u64 = 10_000;

/// Returns the size in bytes of a heartbeat and its reply as frames, without TCP and IP headers.
pub(super) fn heartbeat_bytes(heartbeat: &Heartbeat, reply: &HeartbeatReply) -> u64 {
    let ping = Ping {
        heartbeat: heartbeat.clone(),
        config: summary(heartbeat),
    };
    let reply = PingReply {
        reply: reply.clone(),
        config: summary(heartbeat),
    };
    let request = ClientMessage::Request(Request {
        context: context::current(),
        id: REQUEST_ID,
        message: PeerRequest::Ping { ping },
    });
    let response = Response {
        request_id: REQUEST_ID,
        message: Ok(PeerResponse::Ping(reply)),
    };
    frame_bytes(&request) + frame_bytes(&response)
}

fn frame_bytes(message: &impl Serialize) -> u64 {
    let encoded = bincode::DefaultOptions::new().serialized_size(message);
    FRAME_HEADER_BYTES + encoded.unwrap_or_default()
}

fn summary(heartbeat: &Heartbeat) -> ConfigSummary {
    ConfigSummary {
        position: Position {
            epoch: EPOCH,
            revision: REVISION,
        },
        digest: u64::MAX,
        age: Some(Millis::new(500)),
        reader: Some(VmId::clone(&heartbeat.from.vm)),
        service: ServiceReachability::Reached,
    }
}
