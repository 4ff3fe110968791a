//! A holder of slots of one backend server: a queue, a limit, and calls at the server.
//!
//! It is the server's owner, or an entry where entries send directly.

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

/// The service time assumed before any call was seen.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(5);

/// How calls wait.
#[derive(Clone, Debug)]
enum CallQueue {
    /// As in the server.
    Policy(Box<Queue>, ConcurrencyLimit),
    /// First in, first out, up to all slots.
    Fifo(VecDeque<(u64, Instant)>),
}

/// A holder of slots of one backend server.
#[derive(Clone, Debug)]
pub(super) struct ServerQueue {
    queue: CallQueue,
    slots: u32,
    running: u32,
    /// The connections that are open.
    open_connections: u32,
    /// When it begins to take calls.
    available_from: Instant,
    service_time: MovingAverage,
    policy: QueuePolicy,
}

/// A call that left the queue without a slot.
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

    /// Lets it take no calls until a time.
    pub(super) const fn set_available_from(&mut self, available_from: Instant) {
        self.available_from = available_from;
    }

    /// Returns whether it takes no calls.
    pub(super) fn is_unavailable(&self, now: Instant) -> bool {
        now < self.available_from
    }

    /// Takes a connection for the call that left the queue; returns whether it had to be opened.
    pub(super) fn take_connection(&mut self) -> bool {
        let opens = self.running > self.open_connections;
        self.open_connections += u32::from(opens);
        opens
    }

    /// Queues a call; returns calls that were dropped for it, or the call itself.
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

    /// Takes out the calls whose time has run out.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<DroppedCall> {
        let service = self.service_rate();
        match &mut self.queue {
            CallQueue::Policy(queue, _) => {
                let gone = queue.expire(service, now).into_iter();
                gone.map(|(entry, why)| (entry.id, why.cause())).collect()
            }
            CallQueue::Fifo(queue) => {
                // All deadlines are equally far away, so the first in line is the first to go.
                let mut gone = Vec::new();
                while let Some((id, deadline)) = queue.front().copied()
                    && deadline <= now
                {
                    queue.pop_front();
                    gone.push((id, NotRunCause::Expired));
                }
                gone
            }
        }
    }

    /// Takes the next call that may go to the backend server.
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

    /// Takes a cancelled call out of the queue; returns whether it waited.
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

    /// Frees the slot of a call and learns from its outcome, unless it was cancelled.
    pub(super) fn on_end(&mut self, outcome: Option<CallOutcome>, took: Duration, now: Instant) {
        self.running -= 1;
        let Some(outcome) = outcome else {
            return;
        };
        if matches!(outcome, CallOutcome::Done(_)) {
            self.service_time.add(took);
        }
        if let CallQueue::Policy(_, limit) = &mut self.queue {
            limit.on_reply(outcome, took, now);
        }
    }

    /// Returns how many calls wait.
    pub(super) fn queue_len(&self) -> u32 {
        match &self.queue {
            CallQueue::Policy(queue, _) => queue.len(),
            CallQueue::Fifo(queue) => u32::try_from(queue.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns what is told of the queue with a reply.
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
