//! From whom configuration is pulled, and to whom news of it is announced.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::ids::{Revision, VmId};

/// The peers that a process tells at once when its revision has moved.
pub const FANOUT: usize = 5;
/// How long one pull may take before another peer is asked as well.
pub const PULL_PATIENCE: Duration = Duration::from_millis(300);
/// The shortest time between two pulls from one peer at the same revision.
const RECONCILE_PERIOD: Duration = Duration::from_secs(2);
/// How long nothing is pulled from a peer that did not serve the revision that it named.
const DOUBT_PERIOD: Duration = Duration::from_secs(2);

/// What a process is to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigAction {
    /// Ask a peer for the changes after a revision.
    Pull {
        /// The peer.
        vm: VmId,
        /// The revision.
        after: Revision,
    },
    /// Send a peer a heartbeat at once; it carries the new revision.
    Announce(VmId),
}

/// The pulls in flight, and the peers that are known to be ahead.
#[derive(Clone, Debug, Default)]
pub(super) struct Spread {
    ahead: HashMap<VmId, Revision>,
    pulling: HashMap<VmId, Pull>,
    reconciled: HashMap<VmId, Instant>,
    doubted: HashMap<VmId, Instant>,
}

/// A pull in flight.
#[derive(Clone, Copy, Debug)]
struct Pull {
    since: Instant,
    /// The revision that the peer had named, if it is newer than what is held.
    named: Option<Revision>,
}

impl Spread {
    /// Notes a peer's revision.
    pub(super) fn heard(&mut self, vm: &VmId, revision: Revision, held: Revision) {
        if revision > held {
            self.ahead.insert(VmId::clone(vm), revision);
        } else {
            self.ahead.remove(vm);
        }
    }

    /// Returns whether a peer at the same revision with other documents is to be pulled from.
    pub(super) fn reconciles(&mut self, vm: &VmId, now: Instant) -> bool {
        let last = self.reconciled.get(vm);
        let due = last.is_none_or(|last| now.saturating_duration_since(*last) >= RECONCILE_PERIOD);
        if due {
            self.reconciled.insert(VmId::clone(vm), now);
        }
        due
    }

    /// Notes that a pull was sent.
    pub(super) fn pulled(&mut self, vm: VmId, now: Instant) {
        let named = self.ahead.get(&vm).copied();
        self.pulling.insert(vm, Pull { since: now, named });
    }

    /// Notes that a pull got no answer.
    pub(super) fn failed(&mut self, vm: &VmId) {
        self.pulling.remove(vm);
        self.ahead.remove(vm);
    }

    /// Notes that a pull was answered and `held` is held since; gives the revision that the peer
    /// had named and did not serve, if there is one.
    pub(super) fn answered(&mut self, vm: &VmId, held: Revision, now: Instant) -> Option<Revision> {
        let pull = self.pulling.remove(vm)?;
        let unserved = pull.named.filter(|named| *named > held)?;
        self.ahead.remove(vm);
        self.doubted.insert(VmId::clone(vm), now);
        Some(unserved)
    }

    /// Returns the peer to pull from next: the one furthest ahead, unless a pull is under way.
    pub(super) fn next(&mut self, held: Revision, now: Instant) -> Option<VmId> {
        self.ahead.retain(|_, revision| *revision > held);
        let waiting = self
            .pulling
            .values()
            .any(|pull| now.saturating_duration_since(pull.since) < PULL_PATIENCE);
        if waiting {
            return None;
        }
        self.doubted
            .retain(|_, since| now.saturating_duration_since(*since) < DOUBT_PERIOD);
        self.ahead
            .iter()
            .filter(|(vm, _)| !self.pulling.contains_key(*vm) && !self.doubted.contains_key(*vm))
            .max_by_key(|(vm, revision)| (**revision, VmId::clone(vm)))
            .map(|(vm, _)| VmId::clone(vm))
    }

    /// Forgets peers that are no longer known.
    pub(super) fn retain(&mut self, known: impl Fn(&VmId) -> bool) {
        self.ahead.retain(|vm, _| known(vm));
        self.pulling.retain(|vm, _| known(vm));
        self.reconciled.retain(|vm, _| known(vm));
        self.doubted.retain(|vm, _| known(vm));
    }
}
