//! The requests that were refused a moment ago, so that repeats at once gain nothing.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::{Duration, Instant},
};

use super::RequestClass;

/// The most requests that are remembered.
const MAX_REFUSED: usize = 4_096;

/// The requests that were refused a moment ago.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusedRequests {
    until: HashMap<u64, Instant>,
}

impl RefusedRequests {
    /// Remembers that a request was told to come back after a time.
    pub(super) fn insert(&mut self, request: &RequestClass<'_>, wait: Duration, now: Instant) {
        if self.until.len() >= MAX_REFUSED {
            self.until.retain(|_, until| *until > now);
        }
        if self.until.len() < MAX_REFUSED {
            self.until.insert(key(request), now + wait);
        }
    }

    /// Returns how long a request should still have waited; `None` if it was not told to, or has.
    pub(super) fn wait(&mut self, request: &RequestClass<'_>, now: Instant) -> Option<Duration> {
        let key = key(request);
        let until = *self.until.get(&key)?;
        if until <= now {
            self.until.remove(&key);
            return None;
        }
        Some(until.saturating_duration_since(now))
    }
}

fn key(request: &RequestClass<'_>) -> u64 {
    let mut hasher = DefaultHasher::new();
    request.caller.hash(&mut hasher);
    request.fingerprint.hash(&mut hasher);
    hasher.finish()
}
