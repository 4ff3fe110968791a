//! Choice of the peers that configuration changes are pulled from.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::ids::{Position, VmId};

/// The number of peers to which a process announces a new position at once.
pub const FANOUT: usize = 5;
/// The number of these peers in other data centres, if there are enough in its own. A change crosses
/// between data centres a few times and spreads within them.
pub(super) const FAR_FANOUT: usize = 1;
/// The time after which changes are pulled from another peer as well if a pull has no reply.
pub const PULL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// The minimum time between two pulls from one peer at the same position.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(2);
/// The time for which no changes are pulled from a peer after it did not serve the position that it
/// had announced.
const PEER_BACKOFF: Duration = Duration::from_secs(2);

/// A message that the process is to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigAction {
    /// Request the changes after a revision from a peer.
    Pull {
        /// The VM of the peer.
        vm: VmId,
        /// The position after which changes are requested.
        after: Position,
    },
    /// Send a heartbeat, which carries the new revision, to a peer at once.
    Announce(VmId),
}

/// Tracks the pulls in flight and the peers that are known to have later positions.
#[derive(Clone, Debug, Default)]
pub(super) struct PullTracker {
    /// The peers that are ahead of this process.
    ahead_peers: HashMap<VmId, AheadPeer>,
    /// The pulls without a reply, by peer.
    pending_pulls: HashMap<VmId, Pull>,
    /// The time of the last pull from each peer at the same position.
    reconciled_at: HashMap<VmId, Instant>,
    /// The peers that did not serve the position they had announced, with the time of the reply.
    backoffs: HashMap<VmId, Instant>,
}

/// A peer that is ahead of this process. The latest one is pulled from, and a near one among equals.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct AheadPeer {
    /// The position that the peer announced.
    position: Position,
    /// Whether the peer is in the data centre of this process.
    near: bool,
}

/// A pull in flight.
#[derive(Clone, Copy, Debug)]
struct Pull {
    sent_at: Instant,
    /// The position that the peer had announced, if it was later than that of this process.
    announced: Option<Position>,
}

impl PullTracker {
    /// Records the position that a peer announced; `near` states whether the peer is in the data
    /// centre of this process.
    pub(super) fn record_position(
        &mut self,
        vm: &VmId,
        position: Position,
        near: bool,
        own: Position,
    ) {
        if position > own {
            let peer = AheadPeer { position, near };
            self.ahead_peers.insert(VmId::clone(vm), peer);
        } else {
            self.ahead_peers.remove(vm);
        }
    }

    /// Returns whether to pull now from a peer at the same position with other documents; if so,
    /// records the time.
    pub(super) fn start_reconcile(&mut self, vm: &VmId, now: Instant) -> bool {
        let last = self.reconciled_at.get(vm);
        let is_due =
            last.is_none_or(|last| now.saturating_duration_since(*last) >= RECONCILE_INTERVAL);
        if is_due {
            self.reconciled_at.insert(VmId::clone(vm), now);
        }
        is_due
    }

    /// Records that a pull was sent.
    pub(super) fn record_pull(&mut self, vm: VmId, now: Instant) {
        let announced = self.ahead_peers.get(&vm).map(|peer| peer.position);
        self.pending_pulls.insert(
            vm,
            Pull {
                sent_at: now,
                announced,
            },
        );
    }

    /// Records that a pull got no reply.
    pub(super) fn record_failure(&mut self, vm: &VmId) {
        self.pending_pulls.remove(vm);
        self.ahead_peers.remove(vm);
    }

    /// Records the reply to a pull, after which this process is at `own`. Returns the
    /// position that the peer had announced, if the peer did not serve it.
    pub(super) fn record_reply(
        &mut self,
        vm: &VmId,
        own: Position,
        now: Instant,
    ) -> Option<Position> {
        let pull = self.pending_pulls.remove(vm)?;
        let missing = pull.announced.filter(|announced| *announced > own)?;
        self.ahead_peers.remove(vm);
        self.backoffs.insert(VmId::clone(vm), now);
        Some(missing)
    }

    /// Returns the peer to pull from next: the one with the latest position, a near one if there is
    /// one, or `None` while a pull that is younger than [`PULL_RETRY_DELAY`] is in flight.
    pub(super) fn next_peer(&mut self, own: Position, now: Instant) -> Option<VmId> {
        self.ahead_peers.retain(|_, peer| peer.position > own);
        let is_waiting = self
            .pending_pulls
            .values()
            .any(|pull| now.saturating_duration_since(pull.sent_at) < PULL_RETRY_DELAY);
        if is_waiting {
            return None;
        }
        self.backoffs
            .retain(|_, at| now.saturating_duration_since(*at) < PEER_BACKOFF);
        self.ahead_peers
            .iter()
            .filter(|(vm, _)| {
                !self.pending_pulls.contains_key(*vm) && !self.backoffs.contains_key(*vm)
            })
            .max_by_key(|(vm, peer)| (**peer, VmId::clone(vm)))
            .map(|(vm, _)| VmId::clone(vm))
    }

    /// Removes the peers that are no longer known.
    pub(super) fn retain_peers(&mut self, is_known: impl Fn(&VmId) -> bool) {
        self.ahead_peers.retain(|vm, _| is_known(vm));
        self.pending_pulls.retain(|vm, _| is_known(vm));
        self.reconciled_at.retain(|vm, _| is_known(vm));
        self.backoffs.retain(|vm, _| is_known(vm));
    }
}
