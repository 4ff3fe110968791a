//! The queue in front of a backend server's gate.

use std::{collections::BTreeMap, time::Instant};

use cassialift_core::{ids::CallerId, presets::QueuePolicy, request::Urgency};

/// Orders waiting calls by urgency, then deadline, then arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueueKey {
    /// How the call ranks.
    pub(super) urgency: Urgency,
    /// When its time runs out.
    pub(super) deadline: Instant,
    /// Its place among arrivals.
    pub(super) sequence: u64,
}

#[derive(Debug)]
struct Waiting<T> {
    caller: CallerId,
    entered: Instant,
    item: T,
}

/// Calls that wait for one backend server.
#[derive(Debug)]
pub(super) struct CallQueue<T> {
    waiting: BTreeMap<QueueKey, Waiting<T>>,
}

impl<T> CallQueue<T> {
    /// Makes an empty queue.
    pub(super) const fn new() -> Self {
        Self {
            waiting: BTreeMap::new(),
        }
    }

    /// Returns how many calls wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no call waits.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether the queue has room for a call of `caller`.
    pub(super) fn has_room(&self, caller: &str, policy: &QueuePolicy) -> bool {
        let length = policy.length as usize;
        if self.waiting.len() >= length {
            return false;
        }
        let of_caller = self
            .waiting
            .values()
            .filter(|waiting| &*waiting.caller == caller)
            .count();
        of_caller < caller_limit(policy)
    }

    /// Returns how many calls would be served before `key`.
    pub(super) fn ahead(&self, key: &QueueKey) -> usize {
        self.waiting.range(..key).count()
    }

    /// Adds a call.
    pub(super) fn push(&mut self, key: QueueKey, caller: CallerId, entered: Instant, item: T) {
        let waiting = Waiting {
            caller,
            entered,
            item,
        };
        self.waiting.insert(key, waiting);
    }

    /// Removes a call.
    pub(super) fn remove(&mut self, key: &QueueKey) -> Option<T> {
        self.waiting.remove(key).map(|waiting| waiting.item)
    }

    /// Takes the next call: one that starves, else the most urgent with the earliest deadline.
    pub(super) fn pop(&mut self, now: Instant, policy: &QueuePolicy) -> Option<T> {
        let key = match self.starving(now, policy) {
            Some(key) => key,
            None => *self.waiting.first_key_value()?.0,
        };
        self.remove(&key)
    }

    /// Takes all calls.
    pub(super) fn drain(&mut self) -> Vec<T> {
        std::mem::take(&mut self.waiting)
            .into_values()
            .map(|waiting| waiting.item)
            .collect()
    }

    /// Takes the calls whose time has run out.
    pub(super) fn drain_expired(&mut self, now: Instant) -> Vec<T> {
        let expired: Vec<QueueKey> = self
            .waiting
            .keys()
            .filter(|key| key.deadline <= now)
            .copied()
            .collect();
        expired.iter().filter_map(|key| self.remove(key)).collect()
    }

    fn starving(&self, now: Instant, policy: &QueuePolicy) -> Option<QueueKey> {
        self.waiting
            .iter()
            .filter(|(key, _)| key.urgency == Urgency::Ordinary)
            .filter(|(_, waiting)| now.duration_since(waiting.entered) >= policy.starvation.0)
            .min_by_key(|(_, waiting)| waiting.entered)
            .map(|(key, _)| *key)
    }
}

fn caller_limit(policy: &QueuePolicy) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of at most one of a u32 length fits"
    )]
    let limit = (f64::from(policy.length) * policy.caller_share) as usize;
    limit.max(1)
}
