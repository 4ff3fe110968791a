//! The job tickets that this run of the process issued, and the jobs submitted under them.

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

/// The rows that a job returned.
pub(super) type Rows = Arc<Vec<Row>>;

/// A receiver that is notified when a job has ended.
pub(super) type EndSignal = watch::Receiver<()>;

/// The jobs submitted under tickets that this run of the process issued.
#[derive(Debug)]
pub struct JobStore {
    key: TicketKey,
    started_at: Instant,
    sequence: AtomicU64,
    state: Mutex<State>,
}

/// The jobs by their tickets, and the runs that have not ended.
#[derive(Debug)]
pub(super) struct State {
    /// The tickets under which a job was submitted.
    pub(super) table: JobTable<Rows>,
    /// The runs that have not ended, by the sequence numbers of their tickets.
    pub(super) runs: HashMap<u64, EndSignal>,
}

impl JobStore {
    /// Creates an empty store with a random ticket key.
    #[must_use]
    pub fn new(settings: JobSettings) -> Self {
        Self {
            key: TicketKey::new(rand::random::<[u8; KEY_BYTES]>()),
            started_at: Timer.now(),
            sequence: AtomicU64::new(0),
            state: Mutex::new(State {
                table: JobTable::new(settings.into()),
                runs: HashMap::new(),
            }),
        }
    }

    /// Returns the number of jobs that have not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        self.lock().runs.len()
    }

    /// Returns the key that signs the tickets of this run of the process.
    pub(super) const fn key(&self) -> &TicketKey {
        &self.key
    }

    /// Returns the time since the store was created, on which the expiry of tickets is based.
    pub(super) fn now(&self) -> Duration {
        Timer.now().saturating_duration_since(self.started_at)
    }

    /// Returns the sequence number for a new ticket.
    pub(super) fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Records the outcome of a run and removes the run.
    pub(super) fn finish(&self, sequence: u64, outcome: JobOutcome<Rows>, bytes: usize) {
        let mut state = self.lock();
        state.table.finish(sequence, outcome, bytes);
        state.runs.remove(&sequence);
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
