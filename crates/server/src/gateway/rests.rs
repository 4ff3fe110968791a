//! Searches that this VM goes on with for other VMs after it replied with what was in.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::sync::oneshot;

use super::fan::{Fan, Fanned};
use crate::timer::Timer;

/// How long a VM may take to ask for the rest: several ways there and back. One that does not has
/// answered its caller, or is gone.
const CLAIM_TIME: Duration = Duration::from_millis(60);

/// The caller's id of an attempt.
pub(super) type AttemptKey = Vec<u8>;

/// The searches that other VMs may ask the rest of.
#[derive(Debug, Default)]
pub(super) struct Rests {
    open: Mutex<HashMap<AttemptKey, Rest>>,
}

/// The rest of a search.
#[derive(Debug)]
pub(super) struct Rest {
    /// How many records the answer holds at most.
    pub(super) top: usize,
    /// Tells its end; the search is given up once this is dropped.
    pub(super) ended: oneshot::Receiver<Fanned>,
}

impl Rests {
    /// Keeps the rest of a search until it is claimed.
    pub(super) fn keep(&self, attempt: AttemptKey, rest: Rest) {
        self.lock().insert(attempt, rest);
    }

    /// Takes the rest of a search; none if it was claimed before, or too late.
    pub(super) fn claim(&self, attempt: &[u8]) -> Option<Rest> {
        self.lock().remove(attempt)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<AttemptKey, Rest>> {
        // The map is whole between any two steps.
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A search that goes on after an open reply.
pub(super) struct OpenSearch {
    pub(super) fan: Fan,
    /// The caller's id of the attempt.
    pub(super) attempt: AttemptKey,
    /// Whom to tell its end.
    pub(super) waiter: oneshot::Sender<Fanned>,
}

impl OpenSearch {
    /// Goes on until the search ends or nobody waits for it; `ended` is told what came of it.
    pub(super) async fn run(mut self, rests: &Rests, ended: impl FnOnce(&mut Fanned)) {
        let claim_by = Timer.now() + CLAIM_TIME;
        let mut claimable = true;
        let mut fanned = loop {
            tokio::select! {
                fanned = self.fan.finish() => break fanned,
                () = Timer.at(claim_by), if claimable => {
                    claimable = false;
                    drop(rests.claim(&self.attempt));
                }
                () = self.waiter.closed() => break self.fan.give_up(),
            }
        };
        ended(&mut fanned);
        // Nobody receives once the search was answered without the rest.
        drop(self.waiter.send(fanned));
        if claimable {
            Timer.at(claim_by).await;
            drop(rests.claim(&self.attempt));
        }
    }
}
