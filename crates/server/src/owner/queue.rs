//! The calls that wait for a backend server: the queue of the policy, and a waker for each call.

use std::{collections::HashMap, time::Instant};

use cassialift_core::{
    policy::queue::{Queue, QueueEntry, QueueRefusal, ServiceRate},
    presets::QueuePolicy,
};

/// The calls that wait for a backend server, each with the waiter to wake.
#[derive(Debug)]
pub(super) struct WaitQueue<W> {
    queue: Queue,
    waiters: HashMap<u64, W>,
}

impl<W> WaitQueue<W> {
    /// Creates an empty queue.
    pub(super) fn new() -> Self {
        Self {
            queue: Queue::default(),
            waiters: HashMap::new(),
        }
    }

    /// Returns the number of waiting calls.
    pub(super) fn len(&self) -> u32 {
        self.queue.len()
    }

    /// Returns whether no calls wait.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Adds a call and returns the waiter of the call that it displaced, if any.
    pub(super) fn push(
        &mut self,
        entry: QueueEntry,
        waiter: W,
        service: ServiceRate,
        policy: &QueuePolicy,
    ) -> Result<Option<W>, QueueRefusal> {
        let (id, now) = (entry.id, entry.queued_at);
        let displaced = self.queue.push(entry, service, policy, now)?;
        self.waiters.insert(id, waiter);
        Ok(displaced.and_then(|entry| self.waiters.remove(&entry.id)))
    }

    /// Removes a call and returns its waiter, if the call was queued.
    pub(super) fn remove(&mut self, id: u64) -> Option<W> {
        let waiter = self.waiters.remove(&id)?;
        self.queue.remove(id);
        Some(waiter)
    }

    /// Removes the next call to run and returns its waiter.
    pub(super) fn pop(&mut self, policy: &QueuePolicy, now: Instant) -> Option<W> {
        let entry = self.queue.pop(policy, now)?;
        self.waiters.remove(&entry.id)
    }

    /// Removes all calls and returns their waiters.
    pub(super) fn drain(&mut self) -> Vec<W> {
        self.queue = Queue::default();
        self.waiters.drain().map(|(_, waiter)| waiter).collect()
    }

    /// Removes the calls that can no longer be completed in time and returns their waiters with the
    /// reasons.
    pub(super) fn expire(&mut self, service: ServiceRate, now: Instant) -> Vec<(W, QueueRefusal)> {
        let expired = self.queue.expire(service, now);
        expired
            .into_iter()
            .filter_map(|(entry, refusal)| Some((self.waiters.remove(&entry.id)?, refusal)))
            .collect()
    }
}
