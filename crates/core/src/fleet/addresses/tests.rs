//! Tests of address answers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use yare::parameterized;

use super::{AddressEntry, AddressSettings, place_callers, select_addresses};
use crate::{ids::DataCentre, view::Reachability};

const STEP: Duration = Duration::from_millis(100);
const TTL: Duration = Duration::from_secs(2);
const CALLERS: usize = 800;
/// The maximum load of the only entry left in a data centre that had two, as a multiple of the
/// fleet's mean load.
const EXCESS: f64 = 2.0;

fn entry(index: u16, centre: &str, since: Instant) -> AddressEntry {
    AddressEntry {
        centre: centre.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + index)),
        capacity: 0,
        reachability: Reachability::Alive,
        load: 0,
        alive_since: Some(since),
    }
}

/// Simulated callers that keep each answer for its time to live and use its first responsive
/// address.
///
/// The callers are spread evenly over the data centres.
struct Callers {
    entries: Vec<AddressEntry>,
    centres: usize,
    rng: ChaCha8Rng,
    now: Instant,
    answers: Vec<(Instant, Vec<SocketAddr>)>,
    /// The reported loads that other entries do not know yet, oldest first.
    reported: Vec<Vec<u32>>,
}

impl Callers {
    fn new(entries: Vec<AddressEntry>, centres: usize, seed: u64, now: Instant) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let answers = (0..CALLERS)
            .map(|_| (now + TTL.mul_f64(rng.random()), Vec::new()))
            .collect();
        Self {
            entries,
            centres,
            rng,
            now,
            answers,
            reported: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let settings = AddressSettings::default();
        for (caller, (until, answer)) in self.answers.iter_mut().enumerate() {
            if *until <= self.now {
                let near = centre(caller % self.centres).into();
                *until = self.now + TTL;
                *answer =
                    select_addresses(&self.entries, &near, &settings, &mut self.rng, self.now);
            }
        }
        // Entries learn of each other's load half a second late.
        self.reported.push(self.loads());
        if self.reported.len() > 5 {
            let loads = self.reported.remove(0);
            for (entry, load) in self.entries.iter_mut().zip(loads) {
                entry.load = load;
            }
        }
    }

    fn loads(&self) -> Vec<u32> {
        let works = |address: &&SocketAddr| {
            let found = self.entries.iter().find(|entry| entry.address == **address);
            found.is_some_and(|entry| entry.reachability == Reachability::Alive)
        };
        let mut loads = vec![0; self.entries.len()];
        for (_, answer) in &self.answers {
            if let Some(address) = answer.iter().find(works) {
                loads[usize::from(address.port() - 9_000)] += 1;
            }
        }
        loads
    }

    /// Returns the largest share of callers that one entry had during `time`.
    fn largest_share(&mut self, time: Duration) -> f64 {
        let shares = self.shares(time);
        shares.into_iter().map(|(_, most)| most).fold(0.0, f64::max)
    }

    /// Returns the smallest and the largest share of callers that each entry had during `time`.
    fn shares(&mut self, time: Duration) -> Vec<(f64, f64)> {
        let end = self.now + time;
        let mut shares = vec![(1.0_f64, 0.0_f64); self.entries.len()];
        while self.now < end {
            self.step();
            for (share, load) in shares.iter_mut().zip(self.loads()) {
                let now = f64::from(load) / f64::from(u32::try_from(CALLERS).unwrap());
                *share = (share.0.min(now), share.1.max(now));
            }
        }
        shares
    }
}

fn centre(index: usize) -> &'static str {
    ["dc-0", "dc-1", "dc-2", "dc-3"][index]
}

fn settled_callers(size: u16, seed: u64) -> Callers {
    settled_callers_in(1, size, seed)
}

/// Returns the callers of a settled fleet whose entries are spread evenly over data centres.
fn settled_callers_in(centres: usize, size: u16, seed: u64) -> Callers {
    let now = Instant::now();
    let since = now.checked_sub(Duration::from_mins(1)).unwrap_or(now);
    let entries = (0..size).map(|index| entry(index, centre(usize::from(index) % centres), since));
    let mut callers = Callers::new(entries.collect(), centres, seed, now);
    callers.largest_share(Duration::from_secs(20));
    callers
}

#[test]
fn test_share_of_callers_stays_bounded_after_a_kill() {
    for seed in 0..5 {
        let mut callers = settled_callers(8, seed);
        callers.entries[3].reachability = Reachability::Dead;
        let largest = callers.largest_share(Duration::from_secs(20));
        assert!(largest <= 1.5 / 7.0, "{largest}");
    }
}

#[test]
fn test_share_of_callers_stays_bounded_after_a_join() {
    for seed in 0..5 {
        let mut callers = settled_callers(7, seed);
        let joined = entry(7, "dc-0", callers.now);
        callers.entries.push(joined);
        let start = callers.now;
        while callers.now < start + Duration::from_secs(2) {
            callers.step();
            let share = f64::from(callers.loads()[7]) / f64::from(u32::try_from(CALLERS).unwrap());
            assert!(share <= 1.5 / 8.0, "{share}");
        }
        let largest = callers.largest_share(Duration::from_secs(18));
        assert!(largest <= 1.5 / 8.0, "{largest}");
        let share = f64::from(callers.loads()[7]) / f64::from(u32::try_from(CALLERS).unwrap());
        assert!(share >= 0.5 / 8.0, "{share}");
    }
}

/// Prints the shares of each entry, which docs/design/addresses.md shows.
fn print_shares(what: &str, shares: &[(f64, f64)]) {
    let percent = |share: &(f64, f64)| format!("{:.1}-{:.1}", share.0 * 100.0, share.1 * 100.0);
    let cells: Vec<String> = shares.iter().map(percent).collect();
    println!("| {what} | {} |", cells.join(" | "));
}

/// In four data centres of two entries each, one entry is killed. The other entry of its data
/// centre takes over the callers, up to the allowed excess over the mean load.
#[test]
fn test_shares_of_callers_on_each_entry_after_a_kill() {
    for seed in 0..5 {
        let mut callers = settled_callers_in(4, 8, seed);
        callers.entries[3].reachability = Reachability::Dead;
        let shares = callers.shares(Duration::from_secs(20));
        print_shares(&format!("kill, seed {seed}"), &shares);
        for (index, (_, most)) in shares.into_iter().enumerate() {
            let bound = match index {
                3 => 0.0,
                7 => EXCESS / 7.0,
                _ => 1.5 / 8.0,
            };
            assert!(most <= bound, "{seed}: {index}: {most}");
        }
    }
}

/// An entry joins a data centre that has one entry left. The new entry takes at most 1.5 times its
/// even share, and at least half of that share once its weight has grown.
#[test]
fn test_shares_of_callers_on_each_entry_after_a_join() {
    for seed in 0..5 {
        let mut callers = settled_callers_in(4, 7, seed);
        let joined = entry(7, "dc-3", callers.now);
        callers.entries.push(joined);
        let first = callers.shares(Duration::from_secs(2));
        print_shares(&format!("join, first 2 s, seed {seed}"), &first);
        let growing = callers.shares(Duration::from_secs(10));
        print_shares(&format!("join, next 10 s, seed {seed}"), &growing);
        let grown = callers.shares(Duration::from_secs(8));
        print_shares(&format!("join, last 8 s, seed {seed}"), &grown);
        for shares in [first, growing] {
            for (index, (_, most)) in shares.into_iter().enumerate() {
                let bound = if index == 3 { EXCESS / 7.0 } else { 1.5 / 8.0 };
                assert!(most <= bound, "{seed}: {index}: {most}");
            }
        }
        for (index, (least, most)) in grown.into_iter().enumerate() {
            let even = 0.5 / 8.0..=1.5 / 8.0;
            let within = even.contains(&least) && even.contains(&most);
            assert!(within, "{seed}: {index}: {least} to {most}");
        }
    }
}

#[test]
fn test_answers_prefer_the_near_data_centre_until_it_is_overloaded() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut entries: Vec<_> = (0..4)
        .map(|index| entry(index, if index < 2 { "dc-0" } else { "dc-1" }, now))
        .collect();
    let near = "dc-0".into();
    let settings = AddressSettings::default();
    let mut first_far = |entries: &[AddressEntry]| {
        let far = (0..1_000).filter(|_| {
            let answer = select_addresses(entries, &near, &settings, &mut rng, now);
            answer[0].port() >= 9_002
        });
        far.count()
    };
    assert_eq!(first_far(&entries), 0);
    entries[0].load = 1_000;
    entries[1].load = 1_000;
    entries[2].load = 10;
    entries[3].load = 10;
    assert_eq!(first_far(&entries), 0);
    entries.extend((4..12).map(|index| entry(index, "dc-1", now)));
    let far = first_far(&entries);
    assert!((300..900).contains(&far), "{far}");
}

#[yare::parameterized(
    suspect = { Reachability::Suspect, 2 },
    leaving = { Reachability::Leaving, 1 },
    dead = { Reachability::Dead, 1 },
    unknown = { Reachability::Unknown, 1 },
)]
fn test_answers_name_unusable_entries_last_or_never(reachability: Reachability, length: usize) {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut entries = vec![entry(0, "dc-1", now), entry(1, "dc-0", now)];
    entries[1].reachability = reachability;
    let settings = AddressSettings::default();
    let answer = select_addresses(&entries, &"dc-0".into(), &settings, &mut rng, now);
    assert_eq!(answer.len(), length);
    assert_eq!(answer[0], entries[0].address);
}

#[test]
fn test_answers_name_leaving_entries_when_there_is_no_other() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut entries = vec![entry(0, "dc-0", now)];
    entries[0].reachability = Reachability::Leaving;
    let settings = AddressSettings::default();
    let answer = select_addresses(&entries, &"dc-0".into(), &settings, &mut rng, now);
    assert_eq!(answer, [entries[0].address]);
}

fn server_counts(centres: &[(&str, u32)]) -> BTreeMap<DataCentre, u32> {
    centres
        .iter()
        .map(|&(centre, count)| (centre.into(), count))
        .collect()
}

fn seven_entries() -> Vec<AddressEntry> {
    ["a", "a", "b", "b", "c", "c", "d"]
        .iter()
        .zip(1_u16..)
        .map(|(&centre, port)| AddressEntry {
            centre: centre.into(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            capacity: 0,
            reachability: Reachability::Alive,
            load: 0,
            alive_since: None,
        })
        .collect()
}

fn ports(placed: &[SocketAddr]) -> Vec<u16> {
    placed.iter().map(SocketAddr::port).collect()
}

#[parameterized(
    index_centres_only = { &[("a", 20), ("b", 20)], "c", &[1, 2, 3, 4] },
    near_index_centre_first = { &[("a", 20), ("b", 20)], "b", &[3, 4, 1, 2] },
    one_that_holds_little = { &[("a", 20), ("b", 20), ("c", 3)], "c", &[1, 2, 3, 4] },
    index_centre_with_one_vm = { &[("d", 20)], "a", &[1, 2, 3, 4, 5, 6, 7] },
    no_index_centre = { &[], "d", &[7, 1, 2, 3, 4, 5, 6] },
)]
fn test_place_callers(centres: &[(&str, u32)], near: &str, expected: &[u16]) {
    let placed = place_callers(&seven_entries(), &server_counts(centres), Some(near));
    assert_eq!(ports(&placed), expected);
}

#[test]
fn test_place_passes_over_vms_that_leave_or_are_lost() {
    let mut entries = seven_entries();
    entries[0].reachability = Reachability::Leaving;
    entries[2].reachability = Reachability::Dead;
    let placed = place_callers(&entries, &server_counts(&[("a", 20), ("b", 20)]), None);
    assert_eq!(ports(&placed), [2, 4]);
    entries[3].reachability = Reachability::Suspect;
    let placed = place_callers(&entries, &server_counts(&[("a", 20), ("b", 20)]), None);
    assert_eq!(ports(&placed), [2, 5, 6, 7], "one VM is too few");
}

#[test]
fn test_place_names_somebody_while_all_leave() {
    let mut entries = seven_entries();
    for entry in &mut entries {
        entry.reachability = Reachability::Leaving;
    }
    let placed = place_callers(&entries, &server_counts(&[("a", 20)]), None);
    assert_eq!(placed.len(), 2);
}

/// A fleet has few large and many small VMs, and a search over all shards takes long on a small
/// one. Callers go to the large VMs only, as long as these have enough processor time for all
/// callers.
#[test]
fn test_place_prefers_large_vms_while_they_are_enough() {
    let mut entries: Vec<AddressEntry> = (0..10).flat_map(|_| seven_entries()).collect();
    for (port, entry) in (1..).zip(&mut entries) {
        entry.address.set_port(port);
        entry.capacity = if port <= 7 { 500 } else { 120 };
    }
    let counts = server_counts(&[("a", 20), ("b", 20), ("c", 20), ("d", 20)]);
    let placed = place_callers(&entries, &counts, None);
    assert_eq!(ports(&placed), [1, 2, 3, 4, 5, 6, 7]);
    for entry in &mut entries[..5] {
        entry.reachability = Reachability::Dead;
    }
    let placed = place_callers(&entries, &counts, None);
    assert_eq!(
        placed.len(),
        65,
        "two large ones are too few for all callers"
    );
}
