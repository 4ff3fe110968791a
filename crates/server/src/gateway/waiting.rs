//! The calls that wait for a connection to one backend server.

use std::collections::VecDeque;

use cassialift_core::policy::priority::Rank;
use tokio::sync::oneshot;

/// Every so many calls, the one that has waited longest comes first, whatever its rank.
const FAIR_PERIOD: u32 = 4;

/// The calls that wait for a connection to one backend server.
#[derive(Debug, Default)]
pub(super) struct WaitingCalls {
    /// The calls in the order of their arrival.
    calls: VecDeque<(Rank, oneshot::Sender<()>)>,
    /// The calls taken out so far.
    taken: u32,
}

impl WaitingCalls {
    pub(super) fn push(&mut self, rank: Rank, sender: oneshot::Sender<()>) {
        self.calls.push_back((rank, sender));
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Removes and returns the call that is served next: the first of the highest rank or, every
    /// [`FAIR_PERIOD`] calls, the first of all.
    pub(super) fn pop(&mut self) -> Option<oneshot::Sender<()>> {
        self.taken = self.taken.wrapping_add(1);
        let ranks = self.calls.iter().map(|(rank, _)| *rank).enumerate();
        let best = ranks.min_by_key(|(index, rank)| (*rank, *index));
        let (index, _) = best
            .filter(|_| !self.taken.is_multiple_of(FAIR_PERIOD))
            .unwrap_or_default();
        self.calls.remove(index).map(|(_, sender)| sender)
    }
}
