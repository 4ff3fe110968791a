//! The policy tables of this entry: its observations of backend servers, shared by all requests.

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

/// The policy tables of this entry, behind one lock that is held only while a decision is made.
#[derive(Debug, Default)]
pub struct PolicyTables {
    tables: Mutex<EntryTables>,
    /// The generation of the view whose backend servers the tables contain, or zero before the
    /// first view.
    synced: AtomicU64,
}

impl PolicyTables {
    /// Updates the tables with the backend servers of a view, unless they are of this or a newer
    /// view already.
    pub(super) fn sync(&self, config: &ConfigView) {
        let wanted = config.generation;
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

    /// Makes one decision, then counts and logs the backend servers that it ejected or readmitted.
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

    /// Runs one step of a gather.
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
        // A panic during a decision leaves counts that are wrong by at most one.
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
