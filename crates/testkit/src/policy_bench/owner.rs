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

use super::event::Told;

/// The service time assumed before any call was seen.
const FIRST_GUESS: Duration = Duration::from_millis(5);

/// How calls wait.
#[derive(Clone, Debug)]
enum Lane {
    /// As in the server.
    Policy(Box<Queue>, ConcurrencyLimit),
    /// First in, first out, up to all slots.
    Fifo(VecDeque<(u64, Instant)>),
}

/// A holder of slots of one backend server.
#[derive(Clone, Debug)]
pub(super) struct Owner {
    lane: Lane,
    slots: u32,
    running: u32,
    /// The connections that are open.
    open: u32,
    /// When it begins to take calls.
    from: Instant,
    service: MovingAverage,
    policy: QueuePolicy,
}

/// A call that left the queue without a slot.
pub(super) type Dropped = (u64, NotRunCause);

impl Owner {
    pub(super) fn new(
        naive: bool,
        slots: u32,
        open: u32,
        policy: QueuePolicy,
        now: Instant,
    ) -> Self {
        let lane = if naive {
            Lane::Fifo(VecDeque::new())
        } else {
            Lane::Policy(Box::default(), ConcurrencyLimit::new(slots, now))
        };
        Self {
            lane,
            slots,
            running: 0,
            open,
            from: now,
            service: MovingAverage::default(),
            policy,
        }
    }

    /// Lets it take no calls until a time.
    pub(super) const fn absent_until(&mut self, from: Instant) {
        self.from = from;
    }

    /// Returns whether it takes no calls.
    pub(super) fn is_absent(&self, now: Instant) -> bool {
        now < self.from
    }

    /// Takes a connection for the call that left the queue; returns whether it had to be opened.
    pub(super) fn connect(&mut self) -> bool {
        let opens = self.running > self.open;
        self.open += u32::from(opens);
        opens
    }

    /// Queues a call; returns calls that were dropped for it, or the call itself.
    pub(super) fn push(&mut self, entry: QueueEntry, now: Instant) -> Option<Dropped> {
        let service = self.service();
        let id = entry.id;
        match &mut self.lane {
            Lane::Policy(queue, _) => match queue.push(entry, service, &self.policy, now) {
                Ok(displaced) => displaced.map(|entry| (entry.id, NotRunCause::QueueFull)),
                Err(refusal) => Some((id, refusal.cause())),
            },
            Lane::Fifo(queue) => {
                queue.push_back((id, entry.deadline));
                None
            }
        }
    }

    /// Takes out the calls whose time has run out.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<Dropped> {
        let service = self.service();
        match &mut self.lane {
            Lane::Policy(queue, _) => {
                let gone = queue.expire(service, now).into_iter();
                gone.map(|(entry, why)| (entry.id, why.cause())).collect()
            }
            Lane::Fifo(queue) => {
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
        let limit = self.service().limit;
        if self.running >= limit {
            return None;
        }
        let id = match &mut self.lane {
            Lane::Policy(queue, _) => queue.pop(&self.policy, now).map(|entry| entry.id),
            Lane::Fifo(queue) => queue.pop_front().map(|(id, _)| id),
        };
        self.running += u32::from(id.is_some());
        id
    }

    /// Takes a cancelled call out of the queue; returns whether it waited.
    pub(super) fn remove(&mut self, call: u64) -> bool {
        match &mut self.lane {
            Lane::Policy(queue, _) => queue.remove(call).is_some(),
            Lane::Fifo(queue) => {
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
            self.service.add(took);
        }
        if let Lane::Policy(_, limit) = &mut self.lane {
            limit.on_reply(outcome, took, now);
        }
    }

    /// Returns how many calls wait.
    pub(super) fn queued(&self) -> u32 {
        match &self.lane {
            Lane::Policy(queue, _) => queue.len(),
            Lane::Fifo(queue) => u32::try_from(queue.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns what is told of the queue with a reply.
    pub(super) fn told(&self) -> Told {
        let queued = self.queued();
        let wait = self.service().wait(queued);
        Told { queued, wait }
    }

    fn service(&self) -> ServiceRate {
        let limit = match &self.lane {
            Lane::Policy(_, limit) => limit.get(),
            Lane::Fifo(_) => self.slots,
        };
        let time = self.service.get().unwrap_or(FIRST_GUESS);
        ServiceRate { time, limit }
    }
}
