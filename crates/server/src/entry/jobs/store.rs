//! The tickets that this run of the process holds.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use cassialift_core::ticket::{JobOutcome, JobTable, KEY_BYTES, TicketKey};
use cassialift_wire::backend::Row;
use tokio::sync::watch;

use super::JobSettings;
use crate::timer::Timer;

/// The rows that a job gave.
pub(super) type Rows = Arc<Vec<Row>>;

/// Tells who waits for a job that it has ended.
pub(super) type EndSignal = watch::Receiver<()>;

/// The tickets that this run of the process holds.
#[derive(Debug)]
pub struct JobStore {
    key: TicketKey,
    started: Instant,
    sequence: AtomicU64,
    state: Mutex<State>,
}

/// The table with the runs that have not ended.
#[derive(Debug)]
pub(super) struct State {
    /// The submitted tickets.
    pub(super) table: JobTable<Rows>,
    /// The runs that have not ended, by their ticket's sequence number.
    pub(super) runs: HashMap<u64, EndSignal>,
}

impl JobStore {
    /// Makes a book without tickets and draws its key.
    #[must_use]
    pub fn new(settings: JobSettings) -> Self {
        Self {
            key: TicketKey::new(rand::random::<[u8; KEY_BYTES]>()),
            started: Timer.now(),
            sequence: AtomicU64::new(0),
            state: Mutex::new(State {
                table: JobTable::new(settings.into()),
                runs: HashMap::new(),
            }),
        }
    }

    /// Returns how many jobs have not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        self.lock().runs.len()
    }

    /// Returns the key of this run's tickets.
    pub(super) const fn key(&self) -> &TicketKey {
        &self.key
    }

    /// Returns the time since the book was made, which tickets are measured in.
    pub(super) fn now(&self) -> Duration {
        Timer.now().saturating_duration_since(self.started)
    }

    /// Returns the sequence number of a new ticket.
    pub(super) fn next(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Records the outcome of a run and wakes those who wait for it.
    pub(super) fn finish(&self, sequence: u64, outcome: JobOutcome<Rows>, bytes: usize) {
        let mut state = self.lock();
        state.table.finish(sequence, outcome, bytes);
        state.runs.remove(&sequence);
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
