//! The event queue of a run.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use cassialift_core::policy::outcome::CallOutcome;

use super::fault::Fault;

/// Something that happens at one time of a run.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A request comes to a service.
    RequestArrives(usize),
    /// A call reaches the VM that holds it.
    CallReachesSender(u64),
    /// A cancellation reaches the VM that holds its call.
    CancelReachesSender(u64),
    /// A call reaches its backend server.
    CallReachesServer(u64),
    /// A backend server is told to stop a call.
    StopReachesServer(u64),
    /// What came of a call reaches the VM that holds it; none when it was stopped.
    OutcomeReachesSender(u64, Option<CallOutcome>),
    /// Calls in a queue may have run out of time.
    QueueExpiry(usize),
    /// A backend server is done with a call.
    CallEnds(u64),
    /// A reply reaches its entry.
    ReplyReachesEntry(u64, CallOutcome, QueueReport),
    /// A request's timer is due.
    Timer(u64),
    /// Something goes wrong.
    Fault(Fault),
    /// An entry learns of the newest index version.
    IndexUpdate(usize),
    /// Entries read the health endpoints.
    HealthCheck,
}

/// What an owner tells of its queue with a reply.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueReport {
    /// The calls that wait.
    pub(super) queue_len: u32,
    /// How long one more call would wait.
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

/// Events by time, those of the same time in the order in which they were added.
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
