//! Placement of callers near the backend servers that their requests need.

use std::{collections::BTreeMap, net::SocketAddr};

use super::AddressEntry;
use crate::{ids::DataCentre, view::Reachability};

/// The minimum number of backend servers of sharded indexes in an index centre, as a share of the
/// greatest number in any data centre.
const INDEX_CENTRE_SHARE: f64 = 0.5;

/// The minimum processor time of VMs that take all callers, as a share of the processor time of all
/// candidate VMs.
const MIN_CAPACITY_SHARE: f64 = 0.2;

/// The minimum number of VMs that take all callers.
const MIN_VMS: usize = 2;

/// The share of the largest VM's processor time from which a VM counts as large.
const LARGE_VM_SHARE: f64 = 0.5;

/// Returns the addresses of all VMs that callers are spread over, in a fixed order.
///
/// A request over many shards sends one message to each. In a data centre that holds a replica of
/// every shard, none of these messages crosses to another data centre. Callers are therefore sent
/// to the index centres, the data centres with the most backend servers of sharded indexes, and
/// there to the large VMs, unless those are too few or too small. `server_counts` holds the number
/// of these backend servers by data centre. The order does not change from answer to answer, so
/// that callers keep their connections.
#[must_use]
pub fn place_callers(
    entries: &[AddressEntry],
    server_counts: &BTreeMap<DataCentre, u32>,
    near: Option<&str>,
) -> Vec<SocketAddr> {
    let with_state = |reachability: Reachability| {
        entries
            .iter()
            .filter(move |entry| entry.reachability == reachability)
    };
    let mut chosen: Vec<&AddressEntry> = with_state(Reachability::Alive).collect();
    if chosen.is_empty() {
        chosen = with_state(Reachability::Suspect)
            .chain(with_state(Reachability::Leaving))
            .collect();
    }
    let best = server_counts.values().copied().max().unwrap_or_default();
    let is_index_centre = |entry: &AddressEntry| {
        let count = server_counts
            .get(&entry.centre)
            .copied()
            .unwrap_or_default();
        best > 0 && f64::from(count) >= f64::from(best) * INDEX_CENTRE_SHARE
    };
    let total = total_capacity(&chosen);
    let chosen = filter_if_enough(chosen, total, is_index_centre);
    let is_large = is_large_among(&chosen);
    let mut chosen = filter_if_enough(chosen, total, is_large);
    let is_far = |entry: &&AddressEntry| near.is_some_and(|near| &*entry.centre != near);
    chosen.sort_by_key(|entry| (is_far(entry), entry.address));
    chosen.iter().map(|entry| entry.address).collect()
}

/// Returns the VMs that satisfy `wanted` if they are enough to serve the callers of all VMs, whose
/// processor time is `total`; otherwise returns all of `chosen`.
fn filter_if_enough(
    chosen: Vec<&AddressEntry>,
    total: f64,
    wanted: impl Fn(&AddressEntry) -> bool,
) -> Vec<&AddressEntry> {
    let kept: Vec<&AddressEntry> = chosen.iter().filter(|one| wanted(one)).copied().collect();
    if kept.len() >= MIN_VMS && total_capacity(&kept) >= total * MIN_CAPACITY_SHARE {
        return kept;
    }
    chosen
}

/// Returns a predicate for VMs that are not much smaller than the largest. A VM with little
/// processor time answers searches over many shards late.
fn is_large_among(entries: &[&AddressEntry]) -> impl Fn(&AddressEntry) -> bool + use<> {
    let largest = entries.iter().map(|entry| entry.capacity).max();
    let min_capacity = f64::from(largest.unwrap_or_default()) * LARGE_VM_SHARE;
    move |entry| f64::from(entry.capacity) >= min_capacity
}

/// Returns the total processor time of VMs in thousandths of a core. A VM of unknown processor time
/// counts as one core.
fn total_capacity(entries: &[&AddressEntry]) -> f64 {
    let capacity = |entry: &&AddressEntry| match entry.capacity {
        0 => 1_000.0,
        known => f64::from(known),
    };
    entries.iter().map(capacity).sum()
}
