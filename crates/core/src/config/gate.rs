//! When a starting process may use the configuration it holds.
//!
//! A stale replica of the service may give a starting process an older configuration than the
//! fleet runs under. It therefore asks a few peers first and serves once they have answered or
//! failed. Without peers the service's word is all there is.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::ids::VmId;

/// The peers that a starting process asks.
pub const START_PEERS: usize = 3;
/// How long it waits for them when the service has answered.
pub const START_WAIT: Duration = Duration::from_secs(2);

/// Holds back a starting process's configuration until its peers were asked.
#[derive(Clone, Debug)]
pub struct StartGate {
    started: Instant,
    patience: Duration,
    asked: BTreeMap<VmId, Asked>,
    open: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Asked {
    Waiting,
    Answered,
    Failed,
}

impl StartGate {
    /// Makes the gate of a process that starts now and waits for its peers for `patience`.
    #[must_use]
    pub const fn new(started: Instant, patience: Duration) -> Self {
        Self {
            started,
            patience,
            asked: BTreeMap::new(),
            open: false,
        }
    }

    /// Returns whether the configuration may be used.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.open
    }

    /// Returns how many more peers are to be asked.
    #[must_use]
    pub fn wants(&self) -> usize {
        if self.open {
            return 0;
        }
        let waiting_or_answered = self.asked.values().filter(|asked| **asked != Asked::Failed);
        START_PEERS.saturating_sub(waiting_or_answered.count())
    }

    /// Returns whether a peer was asked already.
    #[must_use]
    pub fn has_asked(&self, vm: &VmId) -> bool {
        self.asked.contains_key(vm)
    }

    /// Notes that a peer was asked.
    pub fn ask(&mut self, vm: VmId) {
        self.asked.insert(vm, Asked::Waiting);
    }

    /// Notes that a peer answered, or that it did not.
    pub fn answered(&mut self, vm: &VmId, answered: bool) {
        if let Some(asked) = self.asked.get_mut(vm) {
            *asked = if answered {
                Asked::Answered
            } else {
                Asked::Failed
            };
        }
    }

    /// Opens the gate if what is held may be used; `confirmed` says that the service was read.
    pub fn update(&mut self, holds: bool, confirmed: bool, now: Instant) {
        if self.open || !holds {
            return;
        }
        let waited = now.saturating_duration_since(self.started) >= self.patience;
        let answered = self.asked.values().any(|asked| *asked == Asked::Answered);
        let waiting = self.asked.values().any(|asked| *asked == Asked::Waiting);
        self.open = (answered && !waiting) || (waited && (answered || confirmed));
    }
}
