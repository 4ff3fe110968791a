//! The requests under which backend servers ended.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::Fingerprint;
use crate::{ids::ServerId, time::Millis};

/// The number of strikes from which a request is refused.
const MAX_STRIKES: usize = 3;
/// How long after its last strike a request is remembered.
const MEMORY: Duration = Duration::from_mins(10);
/// The maximum number of requests that are remembered.
const MAX_SUSPECTS: usize = 1_024;
/// The maximum number of requests in one exchange with another VM.
const MAX_REPORTS: usize = 64;

/// One count against a request: the end of a backend server that ran it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Strike(u64);

impl Strike {
    /// Returns the strike for the end of a backend server; VMs that see the same end count it once.
    #[must_use]
    pub fn of_server(server: &ServerId) -> Self {
        Self::new(b"server", server.as_bytes())
    }

    /// Returns the strike for the ends of any number of backend servers in one attempt of a search. A
    /// failure that ends many servers at once reaches all searches that run, most of them harmless.
    #[must_use]
    pub fn of_search(attempt: &[u8]) -> Self {
        Self::new(b"search", attempt)
    }

    fn new(kind: &[u8], id: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(kind);
        hasher.update(id);
        Self(hasher.digest())
    }
}

/// What is known about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No server ended under it, or one has run it to its end.
    Harmless,
    /// Servers ended under it, but too few to tell.
    Suspect,
    /// It is refused for this time.
    Poison(Duration),
}

/// What one VM tells another about a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoisonReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The strikes against it.
    pub strikes: Vec<Strike>,
    /// Whether a server has run it to its end.
    pub harmless: bool,
    /// The time since the last strike.
    pub age: Millis,
}

/// The requests under which backend servers ended.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    suspects: HashMap<Fingerprint, Suspect>,
}

#[derive(Clone, Debug)]
struct Suspect {
    strikes: Vec<Strike>,
    harmless: bool,
    struck_at: Instant,
}

impl PoisonTable {
    /// Returns the number of requests about which anything is known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether nothing is known about any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Records a strike; returns whether it was new.
    pub fn strike(&mut self, fingerprint: Fingerprint, strike: Strike, now: Instant) -> bool {
        let report = PoisonReport {
            fingerprint,
            strikes: vec![strike],
            harmless: false,
            age: Millis::default(),
        };
        self.merge_one(&report, now)
    }

    /// Records that a server has run a request to its end; returns whether strikes counted against it
    /// until now.
    pub fn absolve(&mut self, fingerprint: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        !std::mem::replace(&mut suspect.harmless, true)
    }

    /// Returns what is known about a request.
    #[must_use]
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return Verdict::Harmless;
        };
        let remaining = MEMORY.saturating_sub(now.saturating_duration_since(suspect.struck_at));
        if suspect.harmless || remaining.is_zero() {
            Verdict::Harmless
        } else if suspect.strikes.len() < MAX_STRIKES {
            Verdict::Suspect
        } else {
            Verdict::Poison(remaining)
        }
    }

    /// Adds what another VM knows; returns the requests of which something was new.
    pub fn merge(&mut self, reports: &[PoisonReport], now: Instant) -> Vec<Fingerprint> {
        reports
            .iter()
            .take(MAX_REPORTS)
            .filter(|report| self.merge_one(report, now))
            .map(|report| report.fingerprint)
            .collect()
    }

    /// Returns what to tell another VM: all that is known about the requests with the last strikes.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<PoisonReport> {
        let mut all: Vec<_> = self.suspects.iter().collect();
        all.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.struck_at));
        let newest = all.into_iter().take(MAX_REPORTS);
        newest
            .map(|(fingerprint, suspect)| PoisonReport {
                fingerprint: *fingerprint,
                strikes: suspect.strikes.clone(),
                harmless: suspect.harmless,
                age: now.saturating_duration_since(suspect.struck_at).into(),
            })
            .collect()
    }

    /// Forgets the requests whose last strike is long ago.
    pub fn expire(&mut self, now: Instant) {
        self.suspects
            .retain(|_, suspect| now.saturating_duration_since(suspect.struck_at) < MEMORY);
    }

    fn merge_one(&mut self, report: &PoisonReport, now: Instant) -> bool {
        if report.age.0 >= MEMORY {
            return false;
        }
        // Clocks that start with the machine may be younger than the age.
        let struck_at = now.checked_sub(report.age.0).unwrap_or(now);
        if !self.suspects.contains_key(&report.fingerprint) {
            self.make_room();
        }
        let suspect = self
            .suspects
            .entry(report.fingerprint)
            .or_insert_with(|| Suspect {
                strikes: Vec::new(),
                harmless: false,
                struck_at,
            });
        let mut is_new = report.harmless && !suspect.harmless;
        suspect.harmless |= report.harmless;
        for strike in &report.strikes {
            // The first three decide, so that no more need be kept.
            if suspect.strikes.len() < MAX_STRIKES && !suspect.strikes.contains(strike) {
                suspect.strikes.push(*strike);
                suspect.struck_at = suspect.struck_at.max(struck_at);
                is_new = true;
            }
        }
        is_new
    }

    /// Forgets the request with the oldest strike if the table is full.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let oldest = self.suspects.iter().min_by_key(|(fingerprint, suspect)| {
            let is_poison = suspect.strikes.len() >= MAX_STRIKES && !suspect.harmless;
            (is_poison, suspect.struck_at, **fingerprint)
        });
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&oldest);
        }
    }
}
