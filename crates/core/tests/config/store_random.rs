//! Random histories, delivery orders, duplicates, loss, restarts and joins.

use std::{collections::BTreeMap, time::Instant};

use cassialift_core::{
    config::{Batch, Document, Source, Store, parse_document},
    ids::Revision,
};
use proptest::{prelude::*, test_runner::RngAlgorithm};

use crate::history::{Edit, Platform};

const PROCESSES: usize = 5;

/// What happens next.
#[derive(Clone, Debug)]
enum Action {
    /// A process reads a replica that holds this share of the history, in 256ths.
    Read(usize, u8),
    /// A process asks another for what it lacks; the reply waits in the queue.
    Pull(usize, usize),
    /// A waiting reply arrives, and stays in the queue to arrive again if told so.
    Deliver(usize, bool),
    /// A waiting reply is lost.
    Lose(usize),
    /// A process loses all it holds.
    Restart(usize),
}

fn edits() -> impl Strategy<Value = Vec<Edit>> {
    let edit = prop_oneof![
        3 => (1..100_u32).prop_map(|length| Edit::Presets(length + 1)),
        2 => Just(Edit::BadPresets),
        1 => Just(Edit::DeletePresets),
        2 => (0..3_u8, 1..9_u64).prop_map(|(service, version)| Edit::Index(service, version)),
        1 => (0..3_u8).prop_map(Edit::BadIndex),
        1 => (0..3_u8).prop_map(Edit::DeleteIndex),
    ];
    prop::collection::vec(edit, 1..20)
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let process = 0..PROCESSES;
    let action = prop_oneof![
        3 => (process.clone(), any::<u8>()).prop_map(|(p, share)| Action::Read(p, share)),
        3 => (process.clone(), process.clone()).prop_map(|(p, q)| Action::Pull(p, q)),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(i, again)| Action::Deliver(i, again)),
        1 => any::<usize>().prop_map(Action::Lose),
        1 => process.prop_map(Action::Restart),
    ];
    prop::collection::vec(action, 0..80)
}

/// Returns the text in force of each key, read back from what the store would send a joiner.
fn in_force(store: &Store) -> BTreeMap<String, Document> {
    let mut held: BTreeMap<String, Document> = BTreeMap::new();
    for document in store.changes_since(0).documents {
        let good = parse_document(&document.key, document.text.as_deref()).is_ok();
        let older = held
            .get(&document.key)
            .is_some_and(|held| held.revision > document.revision);
        if good && !older {
            held.insert(document.key.clone(), document);
        }
    }
    held
}

/// Returns the newest text of each key.
fn newest(store: &Store) -> BTreeMap<String, Document> {
    let mut held: BTreeMap<String, Document> = BTreeMap::new();
    for document in store.changes_since(0).documents {
        let key = document.key.clone();
        let older = held
            .get(&key)
            .is_some_and(|held| held.revision > document.revision);
        if !older {
            held.insert(key, document);
        }
    }
    held
}

/// Asserts that nothing in force went back.
fn assert_forward(before: &Store, after: &Store) -> Result<(), TestCaseError> {
    prop_assert!(after.revision() >= before.revision());
    let now = in_force(after);
    for (key, document) in in_force(before) {
        prop_assert!(now[&key].revision >= document.revision);
    }
    Ok(())
}

#[derive(Default)]
struct Fleet {
    stores: [Store; PROCESSES],
    waiting: Vec<(usize, usize, Batch)>,
}

impl Fleet {
    /// Takes a batch in; one that was asked for before a restart may have a gap.
    fn apply(&mut self, to: usize, batch: Batch, source: &Source) -> Result<(), TestCaseError> {
        let before = self.stores[to].clone();
        let gap = batch.after > before.revision();
        let result = self.stores[to].apply(batch, source, Instant::now());
        prop_assert_eq!(result.is_err(), gap);
        assert_forward(&before, &self.stores[to])
    }

    fn step(&mut self, platform: &Platform, action: &Action) -> Result<(), TestCaseError> {
        match *action {
            Action::Read(p, share) => {
                let replica = platform.revision() * Revision::from(share) / 255;
                let batch = platform.changes(self.stores[p].revision(), replica);
                self.apply(p, batch, &Source::Platform)
            }
            Action::Pull(p, q) => {
                let batch = self.stores[q].changes_since(self.stores[p].revision());
                self.waiting.push((p, q, batch));
                Ok(())
            }
            Action::Deliver(i, again) if !self.waiting.is_empty() => {
                let i = i % self.waiting.len();
                let (p, q, batch) = if again {
                    self.waiting[i].clone()
                } else {
                    self.waiting.swap_remove(i)
                };
                self.apply(p, batch, &Source::Vm(format!("v{q}").into()))
            }
            Action::Lose(i) if !self.waiting.is_empty() => {
                self.waiting.swap_remove(i % self.waiting.len());
                Ok(())
            }
            Action::Restart(p) => {
                self.stores[p] = Store::default();
                Ok(())
            }
            Action::Deliver(..) | Action::Lose(_) => Ok(()),
        }
    }

    /// Exchanges everything once along a ring and back.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        let ring = (0..PROCESSES).chain((0..PROCESSES).rev());
        let order: Vec<usize> = ring.collect();
        for pair in order.windows(2).filter(|pair| pair[0] != pair[1]) {
            let batch = self.stores[pair[0]].changes_since(self.stores[pair[1]].revision());
            let source = Source::Vm(format!("v{}", pair[0]).into());
            self.apply(pair[1], batch, &source)?;
        }
        Ok(())
    }
}

/// Processes at one revision hold the same newest texts, whatever they missed.
fn assert_agreement(stores: &[Store]) -> Result<(), TestCaseError> {
    let mut seen: BTreeMap<Revision, &Store> = BTreeMap::new();
    for store in stores {
        let other = *seen.entry(store.revision()).or_insert(store);
        prop_assert_eq!(newest(store), newest(other));
        if store.digest() == other.digest() {
            prop_assert_eq!(in_force(store), in_force(other));
        } else {
            prop_assert_ne!(in_force(store), in_force(other));
        }
    }
    Ok(())
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: prop::test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Whatever is lost, repeated or reordered, nothing reverts, processes at one revision agree,
    /// and once they have exchanged all, they hold the same in force, a joiner included.
    #[test]
    fn test_store_spread(edits in edits(), actions in actions()) {
        let platform = Platform::new(&edits);
        let mut fleet = Fleet::default();
        for action in &actions {
            fleet.step(&platform, action)?;
            assert_agreement(&fleet.stores)?;
        }
        fleet.settle()?;
        let mut joiner = Store::default();
        let batch = fleet.stores[0].changes_since(0);
        joiner.apply(batch, &Source::Vm("v0".into()), Instant::now()).unwrap();
        for store in &fleet.stores {
            prop_assert_eq!(store.revision(), joiner.revision());
            prop_assert_eq!(store.digest(), joiner.digest());
            prop_assert_eq!(in_force(store), in_force(&joiner));
            prop_assert_eq!(store.rejections(), joiner.rejections());
        }
    }

    /// Against last writer by arrival: both hold the same while every revision comes in order, and
    /// the naive version goes back with the first answer of a stale replica.
    #[test]
    fn test_store_against_last_writer(edits in edits(), stale in any::<u8>()) {
        let platform = Platform::new(&edits);
        let (mut store, mut naive) = (Store::default(), BTreeMap::new());
        for revision in 1..=platform.revision() {
            let batch = platform.changes(revision - 1, revision);
            naive.extend(batch.documents.iter().map(|d| (d.key.clone(), d.clone())));
            store.apply(batch, &Source::Platform, Instant::now()).unwrap();
            prop_assert_eq!(&newest(&store), &naive);
        }
        let fresh = naive.clone();
        let batch = platform.changes(0, platform.revision() * Revision::from(stale) / 255);
        let goes_back = batch.documents.iter().any(|d| fresh[&d.key].revision > d.revision);
        naive.extend(batch.documents.iter().map(|d| (d.key.clone(), d.clone())));
        store.apply(batch, &Source::Platform, Instant::now()).unwrap();
        prop_assert_eq!(naive != fresh, goes_back);
        prop_assert_eq!(newest(&store), fresh);
    }

    /// Against the naive version, which replays every edit in order: a process that was told of
    /// every revision, late, twice and out of order, and one that joins from it, hold the same.
    #[test]
    fn test_store_against_replay(edits in edits(), late in prop::collection::vec(any::<u8>(), 0..20)) {
        let platform = Platform::new(&edits);
        let mut store = Store::default();
        for revision in 1..=platform.revision() {
            let batch = platform.changes(store.revision(), revision);
            store.apply(batch, &Source::Platform, Instant::now()).unwrap();
            if let Some(late) = late.get(usize::try_from(revision).unwrap()) {
                let batch = platform.changes(0, revision * Revision::from(*late) / 255);
                store.apply(batch, &Source::Platform, Instant::now()).unwrap();
            }
            prop_assert_eq!(in_force(&store), platform.replay(revision));
        }
        let mut joiner = Store::default();
        joiner.apply(store.changes_since(0), &Source::Vm("v".into()), Instant::now()).unwrap();
        prop_assert_eq!(in_force(&joiner), platform.replay(platform.revision()));
    }
}
