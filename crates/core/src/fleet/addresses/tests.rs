//! Tests of address answers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{AddressSettings, Entry, choose};
use crate::view::Reach;

const STEP: Duration = Duration::from_millis(100);
const TTL: Duration = Duration::from_secs(2);
const CALLERS: usize = 800;

fn entry(index: u16, centre: &str, since: Instant) -> Entry {
    Entry {
        centre: centre.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + index)),
        reach: Reach::Alive,
        load: 0,
        since: Some(since),
    }
}

/// Callers that keep each answer for its time to live and go to its first address that works.
struct Callers {
    entries: Vec<Entry>,
    rng: ChaCha8Rng,
    now: Instant,
    answers: Vec<(Instant, Vec<SocketAddr>)>,
    /// The loads that entries reported a while ago.
    reported: Vec<Vec<u32>>,
}

impl Callers {
    fn new(entries: Vec<Entry>, seed: u64, now: Instant) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let answers = (0..CALLERS)
            .map(|_| (now + TTL.mul_f64(rng.random()), Vec::new()))
            .collect();
        Self {
            entries,
            rng,
            now,
            answers,
            reported: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let settings = AddressSettings::default();
        let near = "dc-0".into();
        for (until, answer) in &mut self.answers {
            if *until <= self.now {
                *until = self.now + TTL;
                *answer = choose(&self.entries, &near, &settings, &mut self.rng, self.now);
            }
        }
        // Entries hear of each other's load half a second late.
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
            found.is_some_and(|entry| entry.reach == Reach::Alive)
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
    fn largest(&mut self, time: Duration) -> f64 {
        let end = self.now + time;
        let mut largest: u32 = 0;
        while self.now < end {
            self.step();
            largest = largest.max(self.loads().into_iter().max().unwrap_or(0));
        }
        f64::from(largest) / f64::from(u32::try_from(CALLERS).unwrap())
    }
}

fn settled(size: u16, seed: u64) -> Callers {
    let now = Instant::now();
    let since = now.checked_sub(Duration::from_mins(1)).unwrap_or(now);
    let entries = (0..size).map(|index| entry(index, "dc-0", since)).collect();
    let mut callers = Callers::new(entries, seed, now);
    callers.largest(Duration::from_secs(20));
    callers
}

#[test]
fn test_share_of_callers_stays_bounded_after_a_kill() {
    for seed in 0..5 {
        let mut callers = settled(8, seed);
        callers.entries[3].reach = Reach::Dead;
        let largest = callers.largest(Duration::from_secs(20));
        assert!(largest <= 1.5 / 7.0, "{largest}");
    }
}

#[test]
fn test_share_of_callers_stays_bounded_after_a_join() {
    for seed in 0..5 {
        let mut callers = settled(7, seed);
        let joined = entry(7, "dc-0", callers.now);
        callers.entries.push(joined);
        let start = callers.now;
        while callers.now < start + Duration::from_secs(2) {
            callers.step();
            let share = f64::from(callers.loads()[7]) / f64::from(u32::try_from(CALLERS).unwrap());
            assert!(share <= 1.5 / 8.0, "{share}");
        }
        let largest = callers.largest(Duration::from_secs(18));
        assert!(largest <= 1.5 / 8.0, "{largest}");
        let share = f64::from(callers.loads()[7]) / f64::from(u32::try_from(CALLERS).unwrap());
        assert!(share >= 0.5 / 8.0, "{share}");
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
    let mut first_far = |entries: &[Entry]| {
        let far = (0..1_000).filter(|_| {
            let answer = choose(entries, &near, &settings, &mut rng, now);
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
    suspect = { Reach::Suspect, 2 },
    leaving = { Reach::Leaving, 1 },
    dead = { Reach::Dead, 1 },
    unknown = { Reach::Unknown, 1 },
)]
fn test_answers_name_unusable_entries_last_or_never(reach: Reach, length: usize) {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut entries = vec![entry(0, "dc-1", now), entry(1, "dc-0", now)];
    entries[1].reach = reach;
    let settings = AddressSettings::default();
    let answer = choose(&entries, &"dc-0".into(), &settings, &mut rng, now);
    assert_eq!(answer.len(), length);
    assert_eq!(answer[0], entries[0].address);
}

#[test]
fn test_answers_name_leaving_entries_when_there_is_no_other() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut entries = vec![entry(0, "dc-0", now)];
    entries[0].reach = Reach::Leaving;
    let settings = AddressSettings::default();
    let answer = choose(&entries, &"dc-0".into(), &settings, &mut rng, now);
    assert_eq!(answer, [entries[0].address]);
}
