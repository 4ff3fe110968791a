//! Tests of request bodies and send decisions, without a connection.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body::Body;

use super::{
    body::{CallBody, Withheld},
    decision::{SendDecision, SendState},
};

fn poll(body: &mut CallBody) -> Poll<Option<Result<Bytes, Withheld>>> {
    let mut context = Context::from_waker(Waker::noop());
    Pin::new(body)
        .poll_frame(&mut context)
        .map(|frame| frame.map(|frame| frame.map(|frame| frame.into_data().unwrap_or_default())))
}

#[test]
fn test_body_withheld_after_deadline() {
    let decision = Arc::new(SendDecision::default());
    let mut body = CallBody::new(
        Bytes::from_static(b"x"),
        Instant::now(),
        Arc::clone(&decision),
    );
    assert_eq!(poll(&mut body), Poll::Ready(Some(Err(Withheld))));
    assert_eq!(decision.state(), SendState::Withheld);
    assert_eq!(poll(&mut body), Poll::Ready(None));
}

#[test]
fn test_body_cancelled_before_send() {
    let decision = Arc::new(SendDecision::default());
    let deadline = Instant::now() + Duration::from_hours(1);
    let mut body = CallBody::new(Bytes::from_static(b"x"), deadline, Arc::clone(&decision));
    assert!(decision.cancel());
    assert_eq!(poll(&mut body), Poll::Ready(Some(Err(Withheld))));
    assert_eq!(decision.state(), SendState::Cancelled);
}

#[test]
fn test_body_sent_cannot_be_cancelled() {
    let decision = Arc::new(SendDecision::default());
    let deadline = Instant::now() + Duration::from_hours(1);
    let mut body = CallBody::new(Bytes::from_static(b"x"), deadline, Arc::clone(&decision));
    assert_eq!(body.size_hint().exact(), Some(1));
    assert_eq!(
        poll(&mut body),
        Poll::Ready(Some(Ok(Bytes::from_static(b"x"))))
    );
    assert!(!decision.cancel());
    assert_eq!(decision.state(), SendState::Sent);
}
