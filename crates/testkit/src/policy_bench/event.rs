//! The events of a run and the queue that orders them by time.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use cassialift_core::policy::outcome::CallOutcome;

use super::fault::Fault;

/// An event at one instant of a run.
///
/// Requests and calls are given by their id; services, queues and entries by their index.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A request to a service arrives.
    RequestArrives(usize),
    /// A call reaches the VM that queues it and sends it to the backend server.
    CallReachesSender(u64),
    /// A cancellation reaches the VM that queues or has sent the call.
    CancelReachesSender(u64),
    /// A call reaches its backend server.
    CallReachesServer(u64),
    /// A request to stop a call reaches its backend server.
    StopReachesServer(u64),
    /// The outcome of a call, or `None` if it was stopped, reaches the VM that sent the call.
    OutcomeReachesSender(u64, Option<CallOutcome>),
    /// The deadline of a call that was put into this queue has passed.
    QueueExpiry(usize),
    /// A call ends at its backend server.
    CallEnds(u64),
    /// A reply reaches the entry that made the call.
    ReplyReachesEntry(u64, CallOutcome, QueueReport),
    /// The timer of a request is due.
    Timer(u64),
    /// A fault or change is injected.
    Fault(Fault),
    /// An entry receives the latest index documents.
    IndexUpdate(usize),
    /// Entries read the health endpoints.
    HealthCheck,
}

/// The state of a queue that is attached to each reply.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueReport {
    /// The number of queued calls.
    pub(super) queue_len: u32,
    /// The estimated time that one more call would wait.
    pub(super) queue_wait: Duration,
}

#[derive(Clone, Debug)]
struct ScheduledEvent {
    at: Instant,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Events ordered by time; events at the same instant keep the order of their insertion.
#[derive(Clone, Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Instant, event: Event) {
        let sequence = self.sequence;
        self.sequence += 1;
        self.heap.push(Reverse(ScheduledEvent {
            at,
            sequence,
            event,
        }));
    }

    pub(super) fn pop(&mut self) -> Option<(Instant, Event)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}
