//! The queue, ordered by urgency and deadline.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use super::entry::{QueueEntry, QueueRefusal, ServiceRate};
use crate::{ids::CallerId, presets::QueuePolicy, request::Urgency};

/// One in this many turns may go to an ordinary call that has waited too long.
const STARVED_INTERVAL: u32 = 4;
/// The share of the queue that is reserved for ordinary calls: urgent calls displace no ordinary
/// call while ordinary calls fill at most this share.
const RESERVED_SHARE: f64 = 0.125;

type CallsByDeadline = BTreeMap<(Instant, u64), QueueEntry>;

/// The calls that wait for one backend server, ordered by urgency, then by deadline.
///
/// An ordinary call that has waited for [`QueuePolicy::starvation`] goes before urgent ones, in one
/// turn out of four, so that a constant excess of urgent calls cannot delay it forever.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    urgent: CallsByDeadline,
    ordinary: CallsByDeadline,
    callers: HashMap<CallerId, u32>,
    turns: u32,
}

impl Queue {
    /// Queues a call and returns the ordinary call that it displaced, if any.
    ///
    /// # Errors
    /// Returns why the call was not queued.
    pub fn push(
        &mut self,
        entry: QueueEntry,
        service: ServiceRate,
        policy: &QueuePolicy,
        now: Instant,
    ) -> Result<Option<QueueEntry>, QueueRefusal> {
        self.check(&entry, service, policy, now)?;
        let displaced = if self.len() >= policy.length {
            Some(self.displace(&entry, policy).ok_or(QueueRefusal::Full)?)
        } else {
            None
        };
        *self
            .callers
            .entry(CallerId::clone(&entry.caller))
            .or_default() += 1;
        let key = (entry.deadline, entry.id);
        self.calls(entry.urgency).insert(key, entry);
        Ok(displaced)
    }

    /// Removes and returns the call that gets the next free slot.
    ///
    /// Call [`Self::expire`] first: this method does not check the deadline again.
    pub fn pop(&mut self, policy: &QueuePolicy, now: Instant) -> Option<QueueEntry> {
        self.turns = self.turns.wrapping_add(1);
        if self.turns.is_multiple_of(STARVED_INTERVAL)
            && let Some(key) = self.starved(policy, now)
        {
            return self.take(Urgency::Ordinary, key);
        }
        if let Some(&key) = self.urgent.keys().next() {
            return self.take(Urgency::Urgent, key);
        }
        let key = *self.ordinary.keys().next()?;
        self.take(Urgency::Ordinary, key)
    }

    /// Removes a cancelled call.
    pub fn remove(&mut self, id: u64) -> Option<QueueEntry> {
        for urgency in [Urgency::Urgent, Urgency::Ordinary] {
            let found = self.calls(urgency).keys().find(|key| key.1 == id).copied();
            if let Some(key) = found {
                return self.take(urgency, key);
            }
        }
        None
    }

    /// Removes all calls that can no longer finish in time: their deadline has passed or is closer
    /// than half of the service time.
    pub fn expire(
        &mut self,
        service: ServiceRate,
        now: Instant,
    ) -> Vec<(QueueEntry, QueueRefusal)> {
        let mut expired = Vec::new();
        for urgency in [Urgency::Urgent, Urgency::Ordinary] {
            while let Some(&key) = self.calls(urgency).keys().next() {
                let refusal = if key.0 <= now {
                    QueueRefusal::Expired
                } else if key.0 < now + service.time / 2 {
                    QueueRefusal::Infeasible
                } else {
                    break;
                };
                expired.extend(self.take(urgency, key).map(|entry| (entry, refusal)));
            }
        }
        expired
    }

    /// Returns when the next call can no longer finish in time, as in [`Self::expire`].
    #[must_use]
    pub fn next_expiry(&self, service: ServiceRate) -> Option<Instant> {
        let first_keys = [&self.urgent, &self.ordinary].map(|calls| calls.keys().next());
        let first = first_keys.into_iter().flatten().map(|key| key.0).min()?;
        Some(first.checked_sub(service.time / 2).unwrap_or(first))
    }

    /// Returns the number of calls that wait.
    #[must_use]
    pub fn len(&self) -> u32 {
        u32::try_from(self.urgent.len() + self.ordinary.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.ordinary.is_empty()
    }

    fn check(
        &self,
        entry: &QueueEntry,
        service: ServiceRate,
        policy: &QueuePolicy,
        now: Instant,
    ) -> Result<(), QueueRefusal> {
        let remaining = entry.deadline.saturating_duration_since(now);
        if remaining.is_zero() {
            return Err(QueueRefusal::Expired);
        }
        if self.wait(entry, service) + service.time > remaining {
            return Err(QueueRefusal::Infeasible);
        }
        let count = self.callers.get(&entry.caller).copied().unwrap_or_default();
        let limit = (f64::from(policy.length) * policy.caller_share).max(1.0);
        if policy.caller_share < 1.0 && f64::from(count) + 1.0 > limit {
            return Err(QueueRefusal::CallerShare);
        }
        Ok(())
    }

    /// Returns the time until a call would get its slot, based on the calls ahead of it.
    fn wait(&self, entry: &QueueEntry, service: ServiceRate) -> Duration {
        let key = (entry.deadline, entry.id);
        let ahead = match entry.urgency {
            Urgency::Urgent => self.urgent.range(..key).count(),
            Urgency::Ordinary => self.urgent.len() + self.ordinary.range(..key).count(),
        };
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        service.wait(ahead)
    }

    /// Removes and returns the ordinary call with the latest deadline to make room for an urgent
    /// call; `None` if the new call is ordinary or too few ordinary calls are queued.
    fn displace(&mut self, entry: &QueueEntry, policy: &QueuePolicy) -> Option<QueueEntry> {
        let ordinary = u32::try_from(self.ordinary.len()).unwrap_or(u32::MAX);
        let reserved = f64::from(policy.length) * RESERVED_SHARE;
        if entry.urgency == Urgency::Ordinary || f64::from(ordinary) <= reserved {
            return None;
        }
        let key = *self.ordinary.keys().next_back()?;
        self.take(Urgency::Ordinary, key)
    }

    fn starved(&self, policy: &QueuePolicy, now: Instant) -> Option<(Instant, u64)> {
        let oldest = self.ordinary.values().min_by_key(|entry| entry.queued_at)?;
        let waited = now.saturating_duration_since(oldest.queued_at);
        let key = (oldest.deadline, oldest.id);
        (waited >= Duration::from(policy.starvation)).then_some(key)
    }

    fn take(&mut self, urgency: Urgency, key: (Instant, u64)) -> Option<QueueEntry> {
        let entry = self.calls(urgency).remove(&key)?;
        if let Some(count) = self.callers.get_mut(&entry.caller) {
            *count -= 1;
            if *count == 0 {
                self.callers.remove(&entry.caller);
            }
        }
        Some(entry)
    }

    const fn calls(&mut self, urgency: Urgency) -> &mut CallsByDeadline {
        match urgency {
            Urgency::Urgent => &mut self.urgent,
            Urgency::Ordinary => &mut self.ordinary,
        }
    }
}
