//! Tests of the queue of an owner.

use std::time::{Duration, Instant};

use super::{Queue, QueueEntry, QueueRefusal, ServiceRate};
use crate::{presets::QueuePolicy, request::Urgency, time::Millis};

const SERVICE: ServiceRate = ServiceRate {
    time: Duration::from_millis(5),
    limit: 2,
};

fn policy() -> QueuePolicy {
    QueuePolicy {
        length: 16,
        starvation: Millis::new(100),
        caller_share: 1.0,
    }
}

fn entry(id: u64, urgency: Urgency, deadline_ms: u64, now: Instant) -> QueueEntry {
    QueueEntry {
        id,
        caller: "dealer".into(),
        urgency,
        deadline: now + Duration::from_millis(deadline_ms),
        queued_at: now,
    }
}

fn push(queue: &mut Queue, entry: QueueEntry, now: Instant) -> Result<Option<u64>, QueueRefusal> {
    let displaced = queue.push(entry, SERVICE, &policy(), now)?;
    Ok(displaced.map(|entry| entry.id))
}

#[test]
fn test_queue_orders_by_urgency_then_deadline() {
    let now = Instant::now();
    let mut queue = Queue::default();
    push(&mut queue, entry(1, Urgency::Ordinary, 300, now), now).unwrap();
    push(&mut queue, entry(2, Urgency::Urgent, 900, now), now).unwrap();
    push(&mut queue, entry(3, Urgency::Urgent, 500, now), now).unwrap();
    push(&mut queue, entry(4, Urgency::Ordinary, 200, now), now).unwrap();
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(&policy(), now))
        .map(|entry| entry.id)
        .collect();
    assert_eq!(order, [3, 2, 4, 1]);
    assert!(queue.is_empty());
}

#[test]
fn test_queue_starved_ordinary_gets_a_turn_in_four() {
    let start = Instant::now();
    let mut queue = Queue::default();
    push(
        &mut queue,
        entry(100, Urgency::Ordinary, 9_000, start),
        start,
    )
    .unwrap();
    push(
        &mut queue,
        entry(101, Urgency::Ordinary, 9_000, start),
        start,
    )
    .unwrap();
    let mut popped = Vec::new();
    for turn in 0..8 {
        let now = start + Duration::from_millis(100 + turn);
        push(&mut queue, entry(turn, Urgency::Urgent, 500, now), now).unwrap();
        popped.push(queue.pop(&policy(), now).unwrap().urgency);
    }
    let ordinary = popped
        .iter()
        .filter(|urgency| **urgency == Urgency::Ordinary);
    assert_eq!(ordinary.count(), 2, "{popped:?}");
}

#[test]
fn test_queue_refuses_infeasible_deadline() {
    let now = Instant::now();
    let mut queue = Queue::default();
    for id in 0..10 {
        push(&mut queue, entry(id, Urgency::Urgent, 400, now), now).unwrap();
    }
    // Ten calls ahead over two slots take 25 ms, the call itself takes 5 ms.
    let late = entry(20, Urgency::Ordinary, 29, now);
    assert_eq!(push(&mut queue, late, now), Err(QueueRefusal::Infeasible));
    let feasible = entry(21, Urgency::Ordinary, 31, now);
    assert_eq!(push(&mut queue, feasible, now), Ok(None));
    let past = entry(22, Urgency::Urgent, 0, now);
    assert_eq!(push(&mut queue, past, now), Err(QueueRefusal::Expired));
}

#[test]
fn test_queue_sheds_ordinary_before_urgent() {
    let now = Instant::now();
    let mut queue = Queue::default();
    for id in 0..16 {
        push(
            &mut queue,
            entry(id, Urgency::Ordinary, 1_000 + id, now),
            now,
        )
        .unwrap();
    }
    let more = entry(16, Urgency::Ordinary, 1_000, now);
    assert_eq!(push(&mut queue, more, now), Err(QueueRefusal::Full));
    let mut displaced = Vec::new();
    for id in 100..120 {
        match push(&mut queue, entry(id, Urgency::Urgent, 1_000, now), now) {
            Ok(found) => displaced.extend(found),
            Err(refusal) => assert_eq!(refusal, QueueRefusal::Full),
        }
    }
    // Calls with the latest deadlines are displaced first, and two of sixteen places stay reserved
    // for ordinary calls.
    assert_eq!(displaced, (2..16).rev().collect::<Vec<_>>());
    assert_eq!(queue.len(), 16);
}

#[test]
fn test_queue_limits_each_caller() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let policy = QueuePolicy {
        caller_share: 0.5,
        ..policy()
    };
    for id in 0..8 {
        let entry = entry(id, Urgency::Urgent, 900, now);
        queue.push(entry, SERVICE, &policy, now).unwrap();
    }
    let more = entry(8, Urgency::Urgent, 900, now);
    let refused = queue.push(more.clone(), SERVICE, &policy, now);
    assert_eq!(refused, Err(QueueRefusal::CallerShare));
    let other = QueueEntry {
        caller: "promoter".into(),
        ..more.clone()
    };
    assert_eq!(queue.push(other, SERVICE, &policy, now), Ok(None));
    queue.remove(3).unwrap();
    assert_eq!(queue.push(more, SERVICE, &policy, now), Ok(None));
}

#[test]
fn test_queue_expired_leave_at_once() {
    let start = Instant::now();
    let mut queue = Queue::default();
    push(&mut queue, entry(1, Urgency::Ordinary, 50, start), start).unwrap();
    push(&mut queue, entry(2, Urgency::Urgent, 60, start), start).unwrap();
    push(&mut queue, entry(3, Urgency::Urgent, 500, start), start).unwrap();
    assert!(queue.expire(SERVICE, start).is_empty());
    let next = queue.next_expiry(SERVICE).unwrap();
    assert_eq!(next, start + Duration::from_micros(47_500));
    let later = start + Duration::from_millis(59);
    let expired = queue.expire(SERVICE, later);
    let expired: Vec<_> = expired
        .iter()
        .map(|(entry, why)| (entry.id, *why))
        .collect();
    assert_eq!(
        expired,
        [(2, QueueRefusal::Infeasible), (1, QueueRefusal::Expired)]
    );
    assert_eq!(queue.len(), 1);
}
