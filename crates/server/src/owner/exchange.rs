//! Sending one request on a connection and reading its reply.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::{
    Method, Request, Response,
    body::Incoming,
    header::{CONTENT_TYPE, HOST},
};

use super::{
    body::CallBody,
    connection::Connection,
    counters::OwnerCounter,
    decision::{SendDecision, SendState},
};
use crate::metrics::Metrics;

/// The reason why an exchange yielded no reply body.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(super) enum ExchangeError {
    /// the connection was closed before the request was handed to it
    Unsent,
    /// the time ran out before the request was handed to the connection
    Withheld,
    /// the request was cancelled before it was handed to the connection
    Cancelled,
    /// the connection broke after the request was handed to it
    Broken,
    /// the reply is larger than the settings allow
    TooLarge,
}

/// A request to send on a connection, with the limits on its reply.
#[derive(Debug)]
pub(super) struct Exchange {
    /// The HTTP method.
    pub(super) method: Method,
    /// The path of the request.
    pub(super) path: &'static str,
    /// The body of the request.
    pub(super) body: Bytes,
    /// The instant after which the request is not sent.
    pub(super) deadline: Instant,
    /// The decision whether the request is sent.
    pub(super) decision: Arc<SendDecision>,
    /// The counters of this process.
    pub(super) metrics: Arc<Metrics>,
    /// The counter to increment once the request was handed to the connection.
    pub(super) counter: OwnerCounter,
    /// The largest reply body that is read, in bytes.
    pub(super) limit: usize,
}

/// Sends a request on a connection, at most once, and reads the reply.
///
/// After an error the connection must not be used again.
pub(super) async fn exchange(
    connection: &mut Connection,
    exchange: Exchange,
) -> Result<Bytes, ExchangeError> {
    let Exchange {
        method,
        path,
        body,
        deadline,
        decision,
        metrics,
        counter,
        limit,
    } = exchange;
    if connection.sender.ready().await.is_err() {
        return Err(send_error(&decision));
    }
    let body = CallBody::new(body, deadline, Arc::clone(&decision));
    let request = build_request(connection.address, method, path, body);
    let sent = connection.sender.try_send_request(request).await;
    if decision.state() == SendState::Sent {
        counter.add(&metrics);
    }
    let Ok(response) = sent else {
        return Err(send_error(&decision));
    };
    read_body(response, limit).await
}

fn build_request(
    address: SocketAddr,
    method: Method,
    path: &'static str,
    body: CallBody,
) -> Request<CallBody> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(body)
        .expect("a constant path and an address make a valid request")
}

/// Returns the error of a request without a reply.
///
/// The decision, and not the error of the HTTP library, tells whether the request was sent.
fn send_error(decision: &SendDecision) -> ExchangeError {
    match decision.state() {
        SendState::Waiting => ExchangeError::Unsent,
        SendState::Withheld => ExchangeError::Withheld,
        SendState::Cancelled => ExchangeError::Cancelled,
        SendState::Sent => ExchangeError::Broken,
    }
}

async fn read_body(response: Response<Incoming>, limit: usize) -> Result<Bytes, ExchangeError> {
    let mut body = response.into_body();
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(ExchangeError::Broken);
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limit {
            return Err(ExchangeError::TooLarge);
        }
        if buffer.is_empty() && http_body::Body::is_end_stream(&body) {
            return Ok(data);
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}
