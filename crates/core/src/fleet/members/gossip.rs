//! The queue of membership updates to pass on.

use std::collections::BTreeMap;

use crate::ids::VmId;

/// The number of times that an update is sent, as a multiple of the number of binary digits of the
/// fleet's size.
const REPEAT_FACTOR: u32 = 3;

/// The members whose state is to be sent to others, each with the number of times that it has been
/// sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Gossip {
    send_counts: BTreeMap<VmId, u32>,
}

impl Gossip {
    /// Queues a member's state ahead of all that has been sent before.
    pub(super) fn push(&mut self, vm: &VmId) {
        self.send_counts.insert(VmId::clone(vm), 0);
    }

    /// Returns up to `limit` members whose state has been sent the fewest times, and counts it as
    /// sent once more.
    pub(super) fn take(&mut self, limit: usize, fleet: usize) -> Vec<VmId> {
        let repeats = REPEAT_FACTOR * (usize::BITS - fleet.leading_zeros());
        let mut order: Vec<_> = self
            .send_counts
            .iter()
            .map(|(vm, n)| (*n, VmId::clone(vm)))
            .collect();
        order.sort();
        order.truncate(limit);
        for (count, vm) in &order {
            if count + 1 >= repeats {
                self.send_counts.remove(vm);
            } else {
                self.send_counts.insert(VmId::clone(vm), count + 1);
            }
        }
        order.into_iter().map(|(_, vm)| vm).collect()
    }
}
