//! One sample of each call and each reply that a version after the first has added.

use bytes::Bytes;
use cassialift_wire::peer::{GatherWithBody, Greeting, PeerRequest, PeerResponse, version};

use crate::samples::{partial_gather, partial_reply};

pub(crate) fn requests() -> Vec<PeerRequest> {
    vec![
        PeerRequest::Greet {
            greeting: Greeting {
                version: version::WITH_BODIES,
            },
        },
        PeerRequest::GatherWithBody {
            search: GatherWithBody {
                gather: partial_gather(),
                body: Bytes::from_static(&[0, 250, 251, 252, 253, 254, 255]),
            },
        },
    ]
}

pub(crate) fn responses() -> Vec<PeerResponse> {
    vec![
        PeerResponse::Greet(Greeting {
            version: version::WITH_BODIES,
        }),
        PeerResponse::GatherWithBody(partial_reply()),
    ]
}
