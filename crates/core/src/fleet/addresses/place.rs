//! The placement of callers near the backend servers that their requests need.

use std::{collections::BTreeMap, net::SocketAddr};

use super::Entry;
use crate::{ids::DataCentre, view::Reach};

/// The share of the best data centre's backend servers from which a data centre counts as a home
/// of the index.
const HOME_SHARE: f64 = 0.5;

/// The share of the VMs that answer, below which the homes' VMs are too few to take all callers.
const LEAST_SHARE: f64 = 0.25;

/// Returns the addresses of all VMs that callers are to be spread over, in a fixed order.
///
/// A request over many shards costs one message to each; from a data centre that holds a replica
/// of every shard none of them crosses to another. So callers are sent to the data centres that
/// hold most backend servers of sharded indexes (`homes`), or to all VMs if those are few. The
/// order does not change from answer to answer, so that callers keep their connections.
#[must_use]
pub fn place(
    entries: &[Entry],
    homes: &BTreeMap<DataCentre, u32>,
    near: Option<&str>,
) -> Vec<SocketAddr> {
    let of = |reach: Reach| entries.iter().filter(move |entry| entry.reach == reach);
    let mut chosen: Vec<&Entry> = of(Reach::Alive).collect();
    if chosen.is_empty() {
        chosen = of(Reach::Suspect).chain(of(Reach::Leaving)).collect();
    }
    let best = homes.values().copied().max().unwrap_or_default();
    let is_home = |entry: &&&Entry| {
        let held = homes.get(&entry.centre).copied().unwrap_or_default();
        best > 0 && f64::from(held) >= f64::from(best) * HOME_SHARE
    };
    let home: Vec<&Entry> = chosen.iter().filter(is_home).copied().collect();
    let least = (count(&chosen) * LEAST_SHARE).max(2.0);
    if count(&home) >= least {
        chosen = home;
    }
    let far = |entry: &&Entry| near.is_some_and(|near| &*entry.centre != near);
    chosen.sort_by_key(|entry| (far(entry), entry.address));
    chosen.iter().map(|entry| entry.address).collect()
}

fn count(entries: &[&Entry]) -> f64 {
    f64::from(u32::try_from(entries.len()).unwrap_or(u32::MAX))
}
