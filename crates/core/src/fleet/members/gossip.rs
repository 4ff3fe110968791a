//! The queue of news to pass on.

use std::collections::BTreeMap;

use crate::ids::VmId;

/// News is passed on this many times the logarithm of the fleet's size.
const REPEAT_FACTOR: u32 = 3;

/// Members whose news is to be passed on, with the number of times that it has been.
#[derive(Clone, Debug, Default)]
pub(super) struct Gossip {
    send_counts: BTreeMap<VmId, u32>,
}

impl Gossip {
    /// Puts a member's news first in line.
    pub(super) fn push(&mut self, vm: &VmId) {
        self.send_counts.insert(VmId::clone(vm), 0);
    }

    /// Returns up to `limit` members with the least repeated news and counts it as passed on.
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
