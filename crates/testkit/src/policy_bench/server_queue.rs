//! The calls of one sender to one backend server: a queue, a concurrency limit and the calls that
//! run at the server.
//!
//! The sender is the owner of the backend server or, with direct routing, an entry.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use cassialift_core::{
    policy::{
        latency::MovingAverage,
        limit::ConcurrencyLimit,
        outcome::{CallOutcome, NotRunCause},
        queue::{Queue, QueueEntry, ServiceRate},
    },
    presets::QueuePolicy,
};

use super::event::QueueReport;

/// Service time that is assumed until the first call has completed.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(5);

/// The queue of the calls that wait for a slot.
#[derive(Clone, Debug)]
enum CallQueue {
    /// The queue and the adaptive concurrency limit of the server's policy.
    Policy(Box<Queue>, ConcurrencyLimit),
    /// A first-in, first-out queue of call identifiers and deadlines that uses all slots.
    Fifo(VecDeque<(u64, Instant)>),
}

/// The call queue of one sender for one backend server.
#[derive(Clone, Debug)]
pub(super) struct ServerQueue {
    queue: CallQueue,
    slots: u32,
    running: u32,
    /// The number of open connections to the backend server.
    open_connections: u32,
    /// When the sender starts to accept calls.
    available_from: Instant,
    service_time: MovingAverage,
    policy: QueuePolicy,
}

/// A call that was removed from the queue without being sent, and the reason.
pub(super) type DroppedCall = (u64, NotRunCause);

impl ServerQueue {
    pub(super) fn new(
        first_in_first_out: bool,
        slots: u32,
        open_connections: u32,
        policy: QueuePolicy,
        now: Instant,
    ) -> Self {
        let queue = if first_in_first_out {
            CallQueue::Fifo(VecDeque::new())
        } else {
            CallQueue::Policy(Box::default(), ConcurrencyLimit::new(slots, now))
        };
        Self {
            queue,
            slots,
            running: 0,
            open_connections,
            available_from: now,
            service_time: MovingAverage::default(),
            policy,
        }
    }

    /// Sets the time before which the sender accepts no calls.
    pub(super) const fn set_available_from(&mut self, available_from: Instant) {
        self.available_from = available_from;
    }

    /// Returns whether the sender accepts no calls yet.
    pub(super) fn is_unavailable(&self, now: Instant) -> bool {
        now < self.available_from
    }

    /// Takes a connection for the call that left the queue last; returns whether the connection
    /// has to be opened.
    pub(super) fn take_connection(&mut self) -> bool {
        let is_new = self.running > self.open_connections;
        self.open_connections += u32::from(is_new);
        is_new
    }

    /// Queues a call; returns the call that is dropped: one that the new call displaced, or the
    /// new call if it is refused.
    pub(super) fn push(&mut self, entry: QueueEntry, now: Instant) -> Option<DroppedCall> {
        let service = self.service_rate();
        let id = entry.id;
        match &mut self.queue {
            CallQueue::Policy(queue, _) => match queue.push(entry, service, &self.policy, now) {
                Ok(displaced) => displaced.map(|entry| (entry.id, NotRunCause::QueueFull)),
                Err(refusal) => Some((id, refusal.cause())),
            },
            CallQueue::Fifo(queue) => {
                queue.push_back((id, entry.deadline));
                None
            }
        }
    }

    /// Removes and returns the calls that can no longer be completed in time.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<DroppedCall> {
        let service = self.service_rate();
        match &mut self.queue {
            CallQueue::Policy(queue, _) => {
                let expired = queue.expire(service, now).into_iter();
                expired
                    .map(|(entry, why)| (entry.id, why.cause()))
                    .collect()
            }
            CallQueue::Fifo(queue) => {
                // All requests have the same time limit, so the call at the front expires first.
                let mut expired = Vec::new();
                while let Some((id, deadline)) = queue.front().copied()
                    && deadline <= now
                {
                    queue.pop_front();
                    expired.push((id, NotRunCause::Expired));
                }
                expired
            }
        }
    }

    /// Removes the next call that may be sent, or returns `None` if the queue is empty or the
    /// concurrency limit is reached.
    pub(super) fn pop(&mut self, now: Instant) -> Option<u64> {
        let limit = self.service_rate().limit;
        if self.running >= limit {
            return None;
        }
        let id = match &mut self.queue {
            CallQueue::Policy(queue, _) => queue.pop(&self.policy, now).map(|entry| entry.id),
            CallQueue::Fifo(queue) => queue.pop_front().map(|(id, _)| id),
        };
        self.running += u32::from(id.is_some());
        id
    }

    /// Removes a cancelled call from the queue; returns whether the call was queued.
    pub(super) fn remove(&mut self, call: u64) -> bool {
        match &mut self.queue {
            CallQueue::Policy(queue, _) => queue.remove(call).is_some(),
            CallQueue::Fifo(queue) => {
                let before = queue.len();
                queue.retain(|(id, _)| *id != call);
                queue.len() < before
            }
        }
    }

    /// Frees the slot of a call and updates the service time and the limit from its outcome.
    ///
    /// `outcome` is `None` for a call that was stopped; the estimates are not updated then.
    pub(super) fn on_end(
        &mut self,
        outcome: Option<CallOutcome>,
        duration: Duration,
        now: Instant,
    ) {
        self.running -= 1;
        let Some(outcome) = outcome else {
            return;
        };
        if matches!(outcome, CallOutcome::Done(_)) {
            self.service_time.add(duration);
        }
        if let CallQueue::Policy(_, limit) = &mut self.queue {
            limit.on_reply(outcome, duration, now);
        }
    }

    /// Returns the number of queued calls.
    pub(super) fn queue_len(&self) -> u32 {
        match &self.queue {
            CallQueue::Policy(queue, _) => queue.len(),
            CallQueue::Fifo(queue) => u32::try_from(queue.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the state of the queue that is attached to a reply.
    pub(super) fn queue_report(&self) -> QueueReport {
        let queue_len = self.queue_len();
        let queue_wait = self.service_rate().wait(queue_len);
        QueueReport {
            queue_len,
            queue_wait,
        }
    }

    fn service_rate(&self) -> ServiceRate {
        let limit = match &self.queue {
            CallQueue::Policy(_, limit) => limit.get(),
            CallQueue::Fifo(_) => self.slots,
        };
        let time = self.service_time.get().unwrap_or(INITIAL_SERVICE_TIME);
        ServiceRate { time, limit }
    }
}
