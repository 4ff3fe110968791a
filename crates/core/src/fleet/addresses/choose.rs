//! The weighted random choice of the addresses in one answer.

use std::{net::SocketAddr, time::Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{AddressEntry, AddressSettings};
use crate::{ids::DataCentre, view::Reachability};

/// Returns the addresses for a caller in or near the data centre `near`, best first.
///
/// Entries that answer come first, those of the data centre `near` before the others unless the
/// caller is sent elsewhere because that data centre is overloaded. Suspected entries are included
/// only if there are too few that answer, and leaving ones only if there is no other.
#[must_use]
pub fn select_addresses(
    entries: &[AddressEntry],
    near: &DataCentre,
    settings: &AddressSettings,
    rng: &mut ChaCha8Rng,
    now: Instant,
) -> Vec<SocketAddr> {
    let alive: Vec<&AddressEntry> = with_reachability(entries, Reachability::Alive);
    let fleet_load = mean_load(alive.iter().copied());
    let local = alive.iter().filter(|entry| entry.centre == *near);
    let local_load = mean_load(local.copied());
    let spills = rng.random_bool(spill_probability(local_load, fleet_load, settings));
    let mut drawn: Vec<_> = alive
        .into_iter()
        .map(|entry| {
            let is_far = !spills && entry.centre != *near;
            (
                is_far,
                sort_key(entry, fleet_load, settings, rng, now),
                entry.address,
            )
        })
        .collect();
    drawn.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
    let mut addresses: Vec<_> = drawn.into_iter().map(|(_, _, address)| address).collect();
    let suspects = with_reachability(entries, Reachability::Suspect);
    addresses.extend(suspects.iter().map(|entry| entry.address));
    if addresses.is_empty() {
        let leaving = with_reachability(entries, Reachability::Leaving);
        addresses.extend(leaving.iter().map(|entry| entry.address));
    }
    addresses.truncate(settings.max_addresses);
    addresses
}

fn with_reachability(entries: &[AddressEntry], reachability: Reachability) -> Vec<&AddressEntry> {
    let found = entries
        .iter()
        .filter(|entry| entry.reachability == reachability);
    found.collect()
}

fn mean_load<'a>(entries: impl Iterator<Item = &'a AddressEntry>) -> f64 {
    let (mut sum, mut count) = (0.0, 0.0);
    for entry in entries {
        sum += f64::from(entry.load);
        count += 1.0;
    }
    if count == 0.0 { 0.0 } else { sum / count }
}

/// Returns the probability that a caller is sent to an address in any data centre because its own
/// data centre is overloaded.
fn spill_probability(local_load: f64, fleet_load: f64, settings: &AddressSettings) -> f64 {
    let allowed = settings.excess_ratio * (fleet_load + 1.0);
    (1.0 - allowed / (local_load + 1.0)).clamp(0.0, 1.0)
}

/// Draws a random sort key. Sorting by it in descending order gives a weighted random order without
/// replacement.
fn sort_key(
    entry: &AddressEntry,
    mean: f64,
    settings: &AddressSettings,
    rng: &mut ChaCha8Rng,
    now: Instant,
) -> f64 {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    uniform.ln() / entry.weight(mean, settings, now)
}
