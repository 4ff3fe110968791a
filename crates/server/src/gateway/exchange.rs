//! One HTTP exchange with a backend server, and the classification of its outcome.

use std::{
    io::ErrorKind,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cassialift_core::{
    policy::{
        outcome::{NotRunCause, UnknownCause},
        replica::ServerNotice,
    },
    routes::RouteTarget,
};
use cassialift_wire::platform::HeaderNames;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_ENCODING, HeaderMap, HeaderValue},
};

use super::{
    Gateway,
    connections::{AcquireError, ConnectionRequest},
    inbound::{Inbound, strip_hop_headers},
    notice::read_notice,
    receive_limit::Overhead,
    reply_memory::{ReplyBuffer, ReplyMemory, ReplyShare, ReplyTooLarge},
};
use crate::timer::Timer;

/// The header in which a backend server states how long an idle connection stays open.
const KEEP_ALIVE: &str = "keep-alive";

/// The largest request body after which a connection is reused, in bytes. A backend server may
/// reply before it has read a longer one, and the rest would precede the next request.
const MAX_REUSE_BODY: usize = 4 * 1024;

/// How long a call may wait for its connection without another check that the backend server still
/// takes calls.
const UNCHECKED_WAIT: Duration = Duration::from_millis(5);

/// The outcome of an exchange with a backend server.
#[derive(Debug)]
pub(super) enum ExchangeEnd {
    /// A complete reply of this backend server to this request.
    Reply(Reply),
    /// The request certainly did not run.
    NotRun(NotRunCause),
    /// The request may have run.
    Unknown(UnknownCause),
}

/// A complete reply of a backend server.
#[derive(Clone, Debug)]
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The backend server's signature; `None` if the reply is unsigned.
    pub(super) signature: Option<HeaderValue>,
}

/// A request to one backend server and the connection that it needs.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) inbound: Arc<Inbound>,
    pub(super) connection: ConnectionRequest,
}

impl Exchange {
    /// Sends the request at most once and reads the reply; returns what the reply states about the
    /// backend server, too.
    ///
    /// `sent` becomes true when the request is handed to a connection.
    pub(super) async fn run(
        &self,
        gateway: &Gateway,
        sent: &AtomicBool,
    ) -> (ExchangeEnd, ServerNotice) {
        let mut notice = ServerNotice::default();
        let end = self.try_run(gateway, sent, &mut notice).await;
        (end, notice)
    }

    async fn try_run(
        &self,
        gateway: &Gateway,
        sent: &AtomicBool,
        notice: &mut ServerNotice,
    ) -> ExchangeEnd {
        let (pools, names) = (&gateway.connections, gateway.dialect.headers());
        let deadline = self.inbound.deadline;
        let called_at = Timer.now();
        let (mut connection, permit) = match pools.acquire(&self.connection, deadline).await {
            Ok(acquired) => acquired,
            Err(AcquireError::Busy) => return ExchangeEnd::NotRun(NotRunCause::QueueFull),
            Err(AcquireError::Connect) => return ExchangeEnd::NotRun(NotRunCause::Connect),
        };
        let acquired_at = Timer.now();
        let remaining = deadline.saturating_duration_since(acquired_at);
        if remaining.is_zero() {
            permit.put_back(connection);
            return ExchangeEnd::NotRun(NotRunCause::Expired);
        }
        let waited = acquired_at.saturating_duration_since(called_at);
        if waited > UNCHECKED_WAIT
            && let Some(cause) = gateway.withdrawn(&self.connection.server)
        {
            permit.put_back(connection);
            return ExchangeEnd::NotRun(cause);
        }
        if connection.sender.ready().await.is_err() {
            if connection.last_attempt.is_none() {
                gateway.reach.on_open_failed(ErrorKind::ConnectionReset);
            }
            return ExchangeEnd::NotRun(NotRunCause::Connect);
        }
        // Counted before the check, so that a relay that begins meanwhile counts this call or stops it.
        self.inbound.sends.fetch_add(1, Ordering::SeqCst);
        if self.inbound.relayed.load(Ordering::SeqCst) {
            self.inbound.sends.fetch_sub(1, Ordering::SeqCst);
            permit.put_back(connection);
            return ExchangeEnd::NotRun(NotRunCause::Cancelled);
        }
        let is_new = connection
            .last_attempt
            .replace(self.connection.attempt.clone())
            .is_none();
        connection.overhead.record_progress();
        sent.store(true, Ordering::Relaxed);
        let sent_at = Timer.now();
        let response = connection
            .sender
            .try_send_request(self.request(names, remaining));
        let exchange = async {
            match response.await {
                Ok(response) => read_reply(response, &gateway.replies, &connection.overhead).await,
                // hyper returns the request only if none of it was written.
                Err(mut error) => Err(match error.take_message() {
                    Some(_) => ExchangeError::Unsent,
                    None => ExchangeError::Broken,
                }),
            }
        };
        let outcome = tokio::select! {
            outcome = exchange => outcome,
            () = Timer.at(deadline) => Err(ExchangeError::Timeout),
        };
        match outcome {
            Ok((reply, hints)) => {
                if is_new {
                    gateway.reach.on_opened();
                }
                *notice = read_notice(reply.status, &reply.headers, names, &gateway.settings);
                let end = self.classify(reply, *notice, names);
                if hints.reusable && self.is_reusable(&end) {
                    connection.idle_limit = hints.idle.unwrap_or(connection.idle_limit);
                    permit.put_back(connection);
                }
                end
            }
            Err(ExchangeError::Unsent) => {
                if is_new {
                    gateway.reach.on_open_failed(ErrorKind::ConnectionReset);
                }
                ExchangeEnd::NotRun(NotRunCause::Connect)
            }
            Err(ExchangeError::Broken) => {
                if is_new {
                    pools.on_new_broken(&self.connection.server);
                }
                ExchangeEnd::Unknown(UnknownCause::Broken)
            }
            Err(ExchangeError::TooLarge(reason)) => {
                let server = &self.connection.server;
                log::warn!("gateway: Dropped a reply of {server} before its end: {reason}.");
                ExchangeEnd::Unknown(match reason {
                    ReplyTooLarge::Reply | ReplyTooLarge::Together => UnknownCause::BadReply,
                    ReplyTooLarge::Unread => UnknownCause::NoMemory,
                })
            }
            Err(ExchangeError::Timeout) => {
                pools.close_idle_before(&self.connection.server, sent_at);
                ExchangeEnd::Unknown(UnknownCause::Timeout)
            }
        }
    }

    fn request(&self, names: &HeaderNames, remaining: Duration) -> Request<Full<Bytes>> {
        let inbound = &self.inbound;
        let mut request = Request::new(Full::new(inbound.body.clone()));
        *request.method_mut() = inbound.method.clone();
        *request.uri_mut() = inbound.target.clone();
        let headers = request.headers_mut();
        headers.clone_from(&inbound.headers);
        let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        headers.insert(names.deadline.clone(), HeaderValue::from(millis));
        if let Ok(server) = HeaderValue::from_str(&self.connection.server) {
            headers.insert(names.target_server.clone(), server);
        }
        request
    }

    /// Classifies a reply as an answer, as proof that the request did not run, or as inconclusive.
    fn classify(&self, mut reply: Reply, notice: ServerNotice, names: &HeaderNames) -> ExchangeEnd {
        let echoed = reply.headers.get(&names.attempt);
        if echoed.is_some_and(|id| id.as_bytes() != &*self.connection.attempt) {
            return ExchangeEnd::Unknown(UnknownCause::BadReply);
        }
        if !is_final(reply.status) {
            return ExchangeEnd::Unknown(UnknownCause::BadReply);
        }
        if reply.status == StatusCode::MISDIRECTED_REQUEST {
            // Another backend server has the address now.
            return ExchangeEnd::NotRun(NotRunCause::Leaving);
        }
        if reply.headers.contains_key(&names.not_run) {
            let cause = if notice.pause.is_some() {
                NotRunCause::Paused
            } else {
                NotRunCause::Busy
            };
            return ExchangeEnd::NotRun(cause);
        }
        reply.signature = reply.headers.get(&names.signature).cloned();
        let is_part = matches!(self.inbound.route.target, RouteTarget::Shards(_));
        let is_signed = reply
            .signature
            .as_ref()
            .is_some_and(|signature| !is_part || is_list_entry(signature));
        if !is_signed || reply.headers.contains_key(CONTENT_ENCODING) {
            return ExchangeEnd::Unknown(UnknownCause::BadReply);
        }
        strip_hop_headers(&mut reply.headers);
        ExchangeEnd::Reply(reply)
    }

    fn is_reusable(&self, end: &ExchangeEnd) -> bool {
        let is_intact = match end {
            ExchangeEnd::Reply(_) => true,
            ExchangeEnd::NotRun(cause) => *cause != NotRunCause::Leaving,
            ExchangeEnd::Unknown(_) => false,
        };
        // A connection that had to be new is not kept: later calls of this kind could not reuse it.
        is_intact && !self.connection.fresh && self.inbound.body.len() <= MAX_REUSE_BODY
    }
}

/// Returns whether a status is one with which a reply ends. HTTP knows none above 599, and nobody asked to
/// switch protocols.
pub(super) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether a status states to a caller that its request has not run and never will.
pub(super) const fn states_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns whether a signature is one entry of the list of signatures that the answer to a search has.
pub(super) fn is_list_entry(signature: &HeaderValue) -> bool {
    let bytes = signature.as_bytes();
    !bytes.is_empty() && !bytes.contains(&b',')
}

/// Why there is no complete reply.
enum ExchangeError {
    Unsent,
    Broken,
    TooLarge(ReplyTooLarge),
    Timeout,
}

/// The properties of a connection that the headers of a reply state.
struct ConnectionHints {
    reusable: bool,
    idle: Option<Duration>,
}

async fn read_reply(
    response: Response<Incoming>,
    memory: &ReplyMemory,
    overhead: &Overhead,
) -> Result<(Reply, ConnectionHints), ExchangeError> {
    let (parts, mut body) = response.into_parts();
    let hints = ConnectionHints {
        reusable: !requests_close(&parts.headers),
        idle: idle_timeout(&parts.headers),
    };
    let mut buffer = ReplyBuffer::default();
    let mut share = ReplyShare::default();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(ExchangeError::Broken);
        };
        if let Ok(data) = frame.into_data() {
            overhead.record_progress();
            let extended = memory.extend(&mut share, buffer.len() + data.len());
            extended.map_err(ExchangeError::TooLarge)?;
            buffer.extend(&data);
        }
    }
    let reply = Reply {
        status: parts.status,
        headers: parts.headers,
        body: share.hold(buffer.join()),
        signature: None,
    };
    Ok((reply, hints))
}

fn requests_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"))
}

/// Returns the timeout of a header such as `Keep-Alive: timeout=5, max=100`.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parameters = value
        .split(',')
        .filter_map(|part| part.trim().split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}
