//! What this entry has learned of backend servers, shared by all its requests.

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use cassialift_core::{
    policy::{
        EntryTables,
        gather::{Context, Gather},
    },
    view::ConfigView,
};

use crate::{journal::Part, process::Node, timer::Timer};

/// What this entry has learned, behind one lock that is held for decisions only.
#[derive(Debug, Default)]
pub struct PolicyTables {
    tables: Mutex<EntryTables>,
    /// The revision whose backend servers the tables know, plus one; zero before the first.
    synced: AtomicU64,
}

impl PolicyTables {
    /// Takes over the backend servers of a configuration, unless that or a newer one was taken.
    pub(super) fn sync(&self, config: &ConfigView) {
        let wanted = config.revision.saturating_add(1);
        if self.synced.load(Ordering::Acquire) >= wanted {
            return;
        }
        let mut tables = self.lock();
        if self.synced.load(Ordering::Acquire) >= wanted {
            return;
        }
        for document in config.indexes.values() {
            tables.replicas.sync(document, Timer.now());
        }
        self.synced.store(wanted, Ordering::Release);
    }

    /// Takes one decision and tells the journal of backend servers that were ejected or returned.
    pub(crate) fn decide<R>(&self, node: &Node, run: impl FnOnce(&mut EntryTables) -> R) -> R {
        let mut tables = self.lock();
        let result = run(&mut tables);
        let events = tables.replicas.take_events();
        drop(tables);
        for event in events {
            node.metrics.count(event.counter());
            node.journal.info(Part::Entry, &event);
        }
        result
    }

    /// Takes one step of a gather.
    pub(crate) fn step<R>(
        &self,
        node: &Node,
        gather: &mut Gather,
        run: impl FnOnce(&mut Gather, &mut Context<'_>) -> R,
    ) -> R {
        let mut rng = rand::rng();
        self.decide(node, |tables| {
            let mut context = Context {
                tables,
                now: Timer.now(),
                rng: &mut rng,
            };
            run(gather, &mut context)
        })
    }

    /// Locks the tables for one decision.
    pub(super) fn lock(&self) -> MutexGuard<'_, EntryTables> {
        // A panic while deciding leaves counts that are off by one at most.
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
