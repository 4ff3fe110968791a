//! Tests of the owner's parts that need no connection.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use bytes::Bytes;
use cassialift_core::{presets::QueuePolicy, request::Urgency, time::Millis};
use http_body::Body;

use super::{
    body::{CallBody, Withheld},
    mark::{SendMark, SendState},
    queue::{CallQueue, QueueKey},
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

fn key(urgency: Urgency, start: Instant, after: u64, sequence: u64) -> QueueKey {
    QueueKey {
        urgency,
        deadline: start + Duration::from_secs(after),
        sequence,
    }
}

#[test]
fn test_queue_serves_starving_ordinary_call() {
    let start = Instant::now();
    let policy = QueuePolicy {
        starvation: Millis::new(500),
        ..QueuePolicy::default()
    };
    let mut queue = CallQueue::new();
    let entries = [
        (Urgency::Ordinary, 9, "o1"),
        (Urgency::Urgent, 5, "u2"),
        (Urgency::Urgent, 3, "u1"),
        (Urgency::Ordinary, 8, "o2"),
    ];
    for (sequence, (urgency, after, name)) in (0..).zip(entries) {
        let key = key(urgency, start, after, sequence);
        queue.push(key, "dealer".into(), start, name);
    }
    assert_eq!(queue.ahead(&key(Urgency::Urgent, start, 4, 9)), 1);
    assert_eq!(queue.pop(start, &policy), Some("u1"));
    let starved = start + Duration::from_millis(500);
    assert_eq!(queue.pop(starved, &policy), Some("o2"));
    assert_eq!(queue.pop(start, &policy), Some("u2"));
    assert_eq!(queue.pop(start, &policy), Some("o1"));
    assert_eq!(queue.pop(start, &policy), None);
}

#[test]
fn test_queue_drops_expired_calls() {
    let start = Instant::now();
    let mut queue = CallQueue::new();
    for sequence in 1..=4 {
        let key = key(Urgency::Urgent, start, sequence, sequence);
        queue.push(key, "dealer".into(), start, sequence);
    }
    let expired = queue.drain_expired(start + Duration::from_secs(2));
    assert_eq!(expired, [1, 2]);
    assert_eq!(queue.len(), 2);
}
