//! Decision on when a starting process may use its configuration.
//!
//! A stale replica of the configuration service may return a configuration that is older than the
//! one that the fleet runs under. A starting process therefore queries a few peers first, and
//! admits requests once at least one of them has replied and no reply is pending. After a timeout
//! one reply, or a confirmation by the service, is enough: without peers the service is the only
//! source.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::ids::VmId;

/// The number of peers that a starting process queries.
pub const START_PEERS: usize = 3;
/// The time after its start for which a process waits for the replies of its peers.
pub const START_WAIT: Duration = Duration::from_secs(2);

/// Withholds the configuration of a starting process until peers have been queried.
#[derive(Clone, Debug)]
pub struct StartGate {
    started_at: Instant,
    peer_timeout: Duration,
    peers: BTreeMap<VmId, PeerState>,
    is_open: bool,
}

/// The state of the query to one peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PeerState {
    Pending,
    Replied,
    Failed,
}

impl StartGate {
    /// Creates the gate of a process that started at `started_at` and waits up to `peer_timeout`
    /// for the replies of its peers.
    #[must_use]
    pub const fn new(started_at: Instant, peer_timeout: Duration) -> Self {
        Self {
            started_at,
            peer_timeout,
            peers: BTreeMap::new(),
            is_open: false,
        }
    }

    /// Returns whether the configuration may be used.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.is_open
    }

    /// Returns the number of further peers to query.
    #[must_use]
    pub fn peers_to_query(&self) -> usize {
        if self.is_open {
            return 0;
        }
        let pending_or_replied = self
            .peers
            .values()
            .filter(|state| **state != PeerState::Failed);
        START_PEERS.saturating_sub(pending_or_replied.count())
    }

    /// Returns whether a peer has been queried.
    #[must_use]
    pub fn has_queried(&self, vm: &VmId) -> bool {
        self.peers.contains_key(vm)
    }

    /// Records that a peer was queried.
    pub fn record_query(&mut self, vm: VmId) {
        self.peers.insert(vm, PeerState::Pending);
    }

    /// Records that a peer replied, or that its query failed.
    pub fn record_reply(&mut self, vm: &VmId, replied: bool) {
        if let Some(state) = self.peers.get_mut(vm) {
            *state = if replied {
                PeerState::Replied
            } else {
                PeerState::Failed
            };
        }
    }

    /// Opens the gate if the configuration may be used.
    ///
    /// `has_config` states whether there is an accepted configuration, `confirmed` whether a
    /// confirmation by the service is known.
    pub fn update(&mut self, has_config: bool, confirmed: bool, now: Instant) {
        if self.is_open || !has_config {
            return;
        }
        let timed_out = now.saturating_duration_since(self.started_at) >= self.peer_timeout;
        let replied = self
            .peers
            .values()
            .any(|state| *state == PeerState::Replied);
        let pending = self
            .peers
            .values()
            .any(|state| *state == PeerState::Pending);
        self.is_open = (replied && !pending) || (timed_out && (replied || confirmed));
    }
}
