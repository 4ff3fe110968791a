//! Searches that this VM continues for other VMs after it replied with the shards included so far.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::sync::oneshot;

use super::fan_out::{FanOut, FanOutResult};
use crate::timer::Timer;

/// How long a VM may take to request the rest of a search: several round trips. A VM that has not
/// done so by then has answered its caller or is gone.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(60);

/// The caller's id of an attempt.
pub(super) type AttemptKey = Vec<u8>;

/// The continued searches whose rest other VMs may still request.
#[derive(Debug, Default)]
pub(super) struct Continuations {
    unclaimed: Mutex<HashMap<AttemptKey, Continuation>>,
}

/// The rest of a search: the shards that its interim reply did not include.
#[derive(Debug)]
pub(super) struct Continuation {
    /// The most records that the answer holds.
    pub(super) top: usize,
    /// Receives the result of the search; the search stops when the receiver is dropped.
    pub(super) result: oneshot::Receiver<FanOutResult>,
}

impl Continuations {
    /// Stores the rest of a search until it is claimed or expires.
    pub(super) fn insert(&self, attempt: AttemptKey, continuation: Continuation) {
        self.lock().insert(attempt, continuation);
    }

    /// Removes and returns the rest of a search; `None` if it was claimed before or has expired.
    pub(super) fn claim(&self, attempt: &[u8]) -> Option<Continuation> {
        self.lock().remove(attempt)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<AttemptKey, Continuation>> {
        // Each step under the lock leaves the map consistent, so a poisoned lock is safe to use.
        self.unclaimed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A search that continues after an interim reply.
pub(super) struct ContinuedSearch {
    pub(super) fan_out: FanOut,
    /// The caller's id of the attempt.
    pub(super) attempt: AttemptKey,
    /// Sends the result of the search to the holder of its [`Continuation`].
    pub(super) sender: oneshot::Sender<FanOutResult>,
}

impl ContinuedSearch {
    /// Runs until the search ends or its [`Continuation`] is dropped; passes the result to
    /// `on_end`.
    pub(super) async fn run(
        mut self,
        continuations: &Continuations,
        on_end: impl FnOnce(&mut FanOutResult),
    ) {
        let claim_by = Timer.now() + CLAIM_TIMEOUT;
        let mut is_claimable = true;
        let mut result = loop {
            tokio::select! {
                result = self.fan_out.finish() => break result,
                () = Timer.at(claim_by), if is_claimable => {
                    is_claimable = false;
                    drop(continuations.claim(&self.attempt));
                }
                () = self.sender.closed() => break self.fan_out.stop(),
            }
        };
        on_end(&mut result);
        // Sending fails if the search was answered without the rest.
        drop(self.sender.send(result));
        if is_claimable {
            Timer.at(claim_by).await;
            drop(continuations.claim(&self.attempt));
        }
    }
}
