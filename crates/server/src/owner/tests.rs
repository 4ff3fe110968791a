//! Tests of the owner's parts that need no connection.

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
    mark::{SendMark, SendState},
};

fn poll(body: &mut CallBody) -> Poll<Option<Result<Bytes, Withheld>>> {
    let mut context = Context::from_waker(Waker::noop());
    Pin::new(body)
        .poll_frame(&mut context)
        .map(|frame| frame.map(|frame| frame.map(|frame| frame.into_data().unwrap_or_default())))
}

#[test]
fn test_body_withheld_after_deadline() {
    let mark = Arc::new(SendMark::default());
    let mut body = CallBody::new(Bytes::from_static(b"x"), Instant::now(), Arc::clone(&mark));
    assert_eq!(poll(&mut body), Poll::Ready(Some(Err(Withheld))));
    assert_eq!(mark.state(), SendState::Withheld);
    assert_eq!(poll(&mut body), Poll::Ready(None));
}

#[test]
fn test_body_cancelled_before_send() {
    let mark = Arc::new(SendMark::default());
    let deadline = Instant::now() + Duration::from_hours(1);
    let mut body = CallBody::new(Bytes::from_static(b"x"), deadline, Arc::clone(&mark));
    assert!(mark.cancel());
    assert_eq!(poll(&mut body), Poll::Ready(Some(Err(Withheld))));
    assert_eq!(mark.state(), SendState::Cancelled);
}

#[test]
fn test_body_sent_cannot_be_cancelled() {
    let mark = Arc::new(SendMark::default());
    let deadline = Instant::now() + Duration::from_hours(1);
    let mut body = CallBody::new(Bytes::from_static(b"x"), deadline, Arc::clone(&mark));
    assert_eq!(body.size_hint().exact(), Some(1));
    assert_eq!(
        poll(&mut body),
        Poll::Ready(Some(Ok(Bytes::from_static(b"x"))))
    );
    assert!(!mark.cancel());
    assert_eq!(mark.state(), SendState::Sent);
}
