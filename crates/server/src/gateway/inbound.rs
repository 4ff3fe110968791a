//! Reading of callers' requests.

use std::{
    net::IpAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use cassialift_core::{
    policy::poison::Fingerprint,
    records::RECORD_BYTES,
    request::RefusalReason,
    routes::{Route, RouteTarget, TrafficLimits},
};
use cassialift_wire::{
    peer::version::{self, MessageVersion},
    platform::HeaderNames,
};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::{
    Method, Request, Uri,
    body::Incoming,
    header::{self, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue},
};

use super::{
    body_buffer::BodyBuffer,
    body_memory::{BodyShare, OutOfMemory},
};
use crate::{peers::MAX_CONTENT, timer::Timer};

/// The time limit for receiving a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The most characters of a caller's id in a log line.
const MAX_PRINTABLE: usize = 64;

/// The start of the names of headers that describe a body.
const CONTENT_PREFIX: &str = "content-";

/// The headers that apply to one connection only, besides those that `Connection` names.
const HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// A caller's complete request and its route.
#[derive(Debug)]
pub(super) struct Inbound {
    pub(super) route: Arc<Route>,
    /// The address of the caller; `None` if another VM passed the request on.
    pub(super) caller: Option<IpAddr>,
    pub(super) method: Method,
    pub(super) target: Uri,
    /// The headers to forward.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The memory that the body takes.
    #[expect(dead_code, reason = "it is held until the request has been served")]
    pub(super) body_share: BodyShare,
    /// What the request asks for, the same for all its attempts.
    pub(super) fingerprint: Fingerprint,
    /// The caller's id of this attempt.
    pub(super) attempt: Bytes,
    pub(super) started_at: Instant,
    /// The time by which the request must be answered.
    pub(super) deadline: Instant,
    /// How often this VM has sent the request to a backend server.
    pub(super) sends: AtomicU32,
    /// Whether another VM may send the request, so that this one sends it to no more servers.
    pub(super) relayed: AtomicBool,
}

impl Inbound {
    /// Builds a request from a VM's message; `None` if the message is not a valid HTTP request.
    pub(super) fn from_peer(
        request: PeerRequest<'_>,
        route: Route,
        body_share: BodyShare,
        started_at: Instant,
        remaining: Duration,
    ) -> Option<Self> {
        let headers = header_map(request.headers)?;
        let method = request.method.parse().ok()?;
        let target = request.target.parse().ok()?;
        let host = headers.get(HOST).and_then(|host| host.to_str().ok());
        let host = host.unwrap_or_default();
        Some(Self {
            route: Arc::new(route),
            caller: None,
            fingerprint: fingerprint(&method, host, &target, &request.body),
            method,
            target,
            headers,
            body: request.body,
            body_share,
            attempt: Bytes::copy_from_slice(request.attempt),
            started_at,
            deadline: started_at + remaining,
            sends: AtomicU32::new(0),
            relayed: AtomicBool::new(false),
        })
    }

    /// Returns the caller's id of this attempt for a log line.
    pub(super) fn id(&self) -> String {
        printable(&self.attempt)
    }

    /// Returns whether the request has a body, or is of a kind that often has one.
    pub(super) fn suggests_body(&self) -> bool {
        let has_content_header = || {
            let mut names = self.headers.keys();
            names.any(|name| name.as_str().starts_with(CONTENT_PREFIX))
        };
        !self.body.is_empty() || !self.method.is_safe() || has_content_header()
    }

    /// Returns whether another VM can be sent the request, and the records of its answer can be sent back.
    ///
    /// A larger message would end the connection, and with it the calls of other requests.
    pub(super) fn fits_message(&self) -> bool {
        let records = match &self.route.target {
            RouteTarget::Shards(set) => set.top.saturating_mul(RECORD_BYTES),
            RouteTarget::Service(_) | RouteTarget::Split(_) => 0,
        };
        self.body.len() <= MAX_CONTENT && records <= MAX_CONTENT
    }

    /// Returns the version of the messages that a VM must read to work for the request.
    ///
    /// VMs of earlier versions leave the bodies of searches out.
    pub(super) fn message_version(&self) -> MessageVersion {
        match self.route.target {
            RouteTarget::Shards(_) if self.suggests_body() => version::WITH_BODIES,
            RouteTarget::Shards(_) | RouteTarget::Service(_) | RouteTarget::Split(_) => {
                version::WITHOUT_GREETING
            }
        }
    }

    /// Returns the time since the request arrived.
    pub(super) fn age(&self) -> Duration {
        Timer.now().saturating_duration_since(self.started_at)
    }
}

/// A caller's request as VMs exchange it.
#[derive(Clone, Debug)]
pub(super) struct PeerRequest<'a> {
    pub(super) method: &'a str,
    /// The path and the query.
    pub(super) target: &'a str,
    pub(super) headers: &'a [(String, Vec<u8>)],
    pub(super) body: Bytes,
    /// The caller's id of the attempt.
    pub(super) attempt: &'a [u8],
}

/// Returns headers in the form in which VMs exchange them.
pub(super) fn header_pairs(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let pairs = headers.iter();
    let pairs = pairs.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
    pairs.collect()
}

/// Returns headers that VMs exchanged; `None` if one is not valid.
pub(super) fn header_map(pairs: &[(String, Vec<u8>)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name: HeaderName = name.parse().ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}

/// Returns a caller's bytes as one word for a log line, with `?` for each unprintable byte.
pub(super) fn printable(bytes: &[u8]) -> String {
    let word = |byte: &u8| match byte {
        b'!'..=b'~' => char::from(*byte),
        _ => '?',
    };
    bytes.iter().take(MAX_PRINTABLE).map(word).collect()
}

/// The values that the gateway reads from a request's head.
#[derive(Debug)]
pub(super) struct Head {
    pub(super) attempt: Bytes,
    /// How long the caller will wait; `None` if the request does not say.
    pub(super) timeout: Option<Duration>,
}

impl Head {
    /// Reads the values from the headers of a request.
    pub(super) fn read(headers: &HeaderMap, names: &HeaderNames) -> Result<Self, RefusalReason> {
        let attempt = headers.get(&names.attempt).map(HeaderValue::as_bytes);
        let Some(attempt) = attempt.filter(|id| !id.is_empty()) else {
            return Err(RefusalReason::Malformed);
        };
        let timeout = match headers.get(&names.deadline) {
            None => None,
            Some(value) => {
                let millis = value.to_str().ok().and_then(|text| text.parse().ok());
                Some(millis.ok_or(RefusalReason::Malformed)?)
            }
        };
        Ok(Self {
            attempt: Bytes::copy_from_slice(attempt),
            timeout: timeout.map(Duration::from_millis),
        })
    }
}

/// Returns the fingerprint of a request to a host.
pub(super) fn fingerprint(method: &Method, host: &str, target: &Uri, body: &[u8]) -> Fingerprint {
    let target = target.path_and_query().map_or("", |target| target.as_str());
    Fingerprint::new(&[
        method.as_str().as_bytes(),
        host.as_bytes(),
        target.as_bytes(),
        body,
    ])
}

/// Returns the host that a request names in its target, or else in its `Host` header.
pub(super) fn host<T>(request: &Request<T>) -> Option<&str> {
    let named = request.uri().authority().map(http::uri::Authority::as_str);
    named.or_else(|| request.headers().get(HOST)?.to_str().ok())
}

/// Returns the target that is sent to backend servers: the path and the query.
pub(super) fn origin_form(target: &Uri) -> Uri {
    let path = target.path_and_query().cloned();
    path.map_or_else(|| target.clone(), Uri::from)
}

/// Removes the headers that apply to one connection only.
pub(super) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
    // hyper sets the length of the forwarded body.
    headers.remove(CONTENT_LENGTH);
}

/// Reads a body within the limits on its size, its time and the memory for all bodies.
pub(super) async fn read_body(
    body: Incoming,
    limits: &TrafficLimits,
    share: &BodyShare,
) -> Result<Bytes, RefusalReason> {
    let reading = tokio::time::timeout(BODY_TIMEOUT, collect(body, limits.body, share));
    tokio::select! {
        result = reading => result.unwrap_or(Err(RefusalReason::Malformed)),
        () = share.evicted() => {
            log::debug!("gateway: A body that had stopped gave way to others.");
            Err(RefusalReason::Overloaded)
        }
    }
}

/// Collects a body by copying it: a part that was received keeps the whole buffer of the connection.
async fn collect(
    mut body: Incoming,
    limit: usize,
    share: &BodyShare,
) -> Result<Bytes, RefusalReason> {
    let stated = body.size_hint().exact();
    if stated.is_some_and(|size| size > limit as u64) {
        return Err(RefusalReason::TooLarge);
    }
    let stated = stated.and_then(|size| usize::try_from(size).ok());
    let mut buffer = BodyBuffer::new(share, stated);
    let refuse = |error: OutOfMemory| {
        log::debug!("gateway: A body was refused: {error}.");
        RefusalReason::Overloaded
    };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            log::debug!("gateway: A body broke off: {error}.");
            RefusalReason::Malformed
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limit {
            return Err(RefusalReason::TooLarge);
        }
        buffer.extend(&data).await.map_err(refuse)?;
    }
    let body = buffer.join().await.map_err(refuse)?;
    share.complete();
    Ok(body)
}
