//! One request to one backend server, and what its reply proves.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use cassialift_core::policy::outcome::{NotRunCause, UnknownCause};
use cassialift_wire::platform::HeaderNames;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_ENCODING, HeaderMap, HeaderValue},
};

use super::{
    inbound::{Inbound, strip_hop_headers},
    lanes::{LaneError, LaneRequest, LaneTable},
};
use crate::timer::Timer;

/// The header in which a server names how long an idle connection stays open.
const KEEP_ALIVE: &str = "keep-alive";

/// The largest reply that is read, bytes.
const MAX_REPLY: usize = 8 << 20;

/// The largest request body after which a connection is used again: a backend server may reply
/// before it has read a longer one, and the rest would precede the next request.
const MAX_REUSED_BODY: usize = 4 * 1024;

/// What came of a request to a backend server.
#[derive(Debug)]
pub(super) enum CallEnd {
    /// A whole reply that is this backend server's to this request.
    Reply(Reply),
    /// It was proved not run.
    NotRun(NotRunCause),
    /// It may have run.
    Unknown(UnknownCause),
}

/// A whole reply of a backend server.
#[derive(Clone, Debug)]
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The backend server's signature; none when it did not sign.
    pub(super) signature: Option<HeaderValue>,
}

/// A request to one backend server.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) inbound: Arc<Inbound>,
    pub(super) lane: LaneRequest,
}

impl Call {
    /// Sends the request once at most and reads the reply.
    ///
    /// `sent` is set once the request is handed to a connection.
    pub(super) async fn run(
        &self,
        lanes: &LaneTable,
        names: &HeaderNames,
        sent: &AtomicBool,
    ) -> CallEnd {
        let deadline = self.inbound.deadline;
        let (mut lane, permit) = match lanes.take(&self.lane, deadline).await {
            Ok(taken) => taken,
            Err(LaneError::Busy) => return CallEnd::NotRun(NotRunCause::QueueFull),
            Err(LaneError::Connect) => return CallEnd::NotRun(NotRunCause::Connect),
        };
        let left = deadline.saturating_duration_since(Timer.now());
        if left.is_zero() {
            permit.give(lane);
            return CallEnd::NotRun(NotRunCause::Expired);
        }
        if lane.sender.ready().await.is_err() {
            return CallEnd::NotRun(NotRunCause::Connect);
        }
        let is_new = lane.attempt.replace(self.lane.attempt.clone()).is_none();
        sent.store(true, Ordering::Relaxed);
        let began = Timer.now();
        let sending = lane.sender.try_send_request(self.request(names, left));
        let exchange = async {
            match sending.await {
                Ok(response) => read(response).await,
                // The library gives the request back only if none of it was written.
                Err(mut error) => Err(match error.take_message() {
                    Some(_) => Failure::Unsent,
                    None => Failure::Broken,
                }),
            }
        };
        let exchanged = tokio::select! {
            exchanged = exchange => exchanged,
            () = Timer.at(deadline) => Err(Failure::Timeout),
        };
        match exchanged {
            Ok((reply, whole)) => {
                let end = self.judge(reply, names);
                if whole.reusable && self.is_reusable(&end) {
                    lane.idle = whole.idle.unwrap_or(lane.idle);
                    permit.give(lane);
                }
                end
            }
            Err(Failure::Unsent) => CallEnd::NotRun(NotRunCause::Connect),
            Err(Failure::Broken) => {
                if is_new {
                    lanes.on_new_broken(&self.lane.server);
                }
                CallEnd::Unknown(UnknownCause::Broken)
            }
            Err(Failure::Timeout) => {
                lanes.close_older(&self.lane.server, began);
                CallEnd::Unknown(UnknownCause::Timeout)
            }
        }
    }

    fn request(&self, names: &HeaderNames, left: Duration) -> Request<Full<Bytes>> {
        let inbound = &self.inbound;
        let mut request = Request::new(Full::new(inbound.body.clone()));
        *request.method_mut() = inbound.method.clone();
        *request.uri_mut() = inbound.target.clone();
        let headers = request.headers_mut();
        headers.clone_from(&inbound.headers);
        let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(names.deadline.clone(), HeaderValue::from(millis));
        if let Ok(server) = HeaderValue::from_str(&self.lane.server) {
            headers.insert(names.instance.clone(), server);
        }
        request
    }

    /// Tells what a reply proves.
    fn judge(&self, mut reply: Reply, names: &HeaderNames) -> CallEnd {
        let echoed = reply.headers.get(&names.attempt);
        if echoed.is_some_and(|id| id.as_bytes() != &*self.lane.attempt) {
            return CallEnd::Unknown(UnknownCause::BadReply);
        }
        if reply.status == StatusCode::MISDIRECTED_REQUEST {
            // Another backend server has the address now.
            return CallEnd::NotRun(NotRunCause::Leaving);
        }
        if reply.headers.contains_key(&names.refused) {
            return CallEnd::NotRun(NotRunCause::Busy);
        }
        reply.signature = reply.headers.get(&names.signature).cloned();
        let whole = reply.signature.is_some() && !reply.headers.contains_key(CONTENT_ENCODING);
        if !whole {
            return CallEnd::Unknown(UnknownCause::BadReply);
        }
        strip_hop_headers(&mut reply.headers);
        CallEnd::Reply(reply)
    }

    fn is_reusable(&self, end: &CallEnd) -> bool {
        let sound = match end {
            CallEnd::Reply(_) => true,
            CallEnd::NotRun(cause) => *cause != NotRunCause::Leaving,
            CallEnd::Unknown(_) => false,
        };
        // Calls of the kind that needs new connections would never take it.
        sound && !self.lane.fresh && self.inbound.body.len() <= MAX_REUSED_BODY
    }
}

/// Why there is no whole reply.
enum Failure {
    Unsent,
    Broken,
    Timeout,
}

/// What a whole reply says of its connection.
struct Whole {
    reusable: bool,
    idle: Option<Duration>,
}

async fn read(response: Response<Incoming>) -> Result<(Reply, Whole), Failure> {
    let (parts, mut body) = response.into_parts();
    let whole = Whole {
        reusable: !closes(&parts.headers),
        idle: idle_timeout(&parts.headers),
    };
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(Failure::Broken);
        };
        if let Ok(data) = frame.into_data() {
            buffer.extend_from_slice(&data);
        }
        if buffer.len() > MAX_REPLY {
            log::warn!("gateway: a reply of more than {MAX_REPLY} bytes was dropped.");
            return Err(Failure::Broken);
        }
    }
    let reply = Reply {
        status: parts.status,
        headers: parts.headers,
        body: buffer.freeze(),
        signature: None,
    };
    Ok((reply, whole))
}

fn closes(headers: &HeaderMap) -> bool {
    let named = headers.get_all(CONNECTION).iter();
    named
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"))
}

/// Reads the seconds of a header such as `Keep-Alive: timeout=5, max=100`.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut named = value
        .split(',')
        .filter_map(|part| part.trim().split_once('='));
    let (_, seconds) = named.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}
