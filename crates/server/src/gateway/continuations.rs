//! Searches that this VM continues for other VMs after it replied with the shards included so far.

use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use cassialift_core::ids::ServerId;
use cassialift_wire::peer::RestRequest;
use tokio::sync::{mpsc, oneshot};

use super::{
    fan_out::{FanOut, FanOutResult},
    plan::Part,
};
use crate::timer::Timer;

/// How long a VM may take to request the rest of a search: a round trip between regions, and the delays of
/// a loaded VM. A VM that has not done so by then has answered its caller or is gone.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);

/// The minimum time between two interim replies.
const INTERIM_PERIOD: Duration = Duration::from_millis(10);

/// The number of requests for the rest of one search that may wait; there is one at a time.
const REQUEST_QUEUE: usize = 4;

/// The number of a continued search, unique in this run of the process.
pub(super) type SearchId = u64;

/// The continued searches whose rest other VMs may still request.
#[derive(Debug, Default)]
pub(super) struct Continuations {
    last_id: AtomicU64,
    open: Mutex<HashMap<SearchId, Continuation>>,
}

/// A search that continues after an interim reply.
#[derive(Clone, Debug)]
struct Continuation {
    /// The caller's id of the attempt.
    attempt: Vec<u8>,
    requests: mpsc::Sender<oneshot::Sender<Rest>>,
}

/// Shards of a continued search that no reply has included yet.
#[derive(Debug)]
pub(super) struct Rest {
    pub(super) parts: Vec<Part>,
    /// The most records that the answer holds.
    pub(super) top: usize,
    /// The called backend servers that announced that they leave.
    pub(super) leaving: Vec<ServerId>,
    /// Whether the search continues.
    pub(super) pending: bool,
}

impl Continuations {
    /// Returns the next shards of a search; `None` if there is no such search any more.
    pub(super) async fn next(&self, request: &RestRequest) -> Option<Rest> {
        let continuation = self.lock().get(&request.search).cloned();
        // Two callers may use the same id for their attempts, but not the same search.
        let continuation = continuation.filter(|search| search.attempt == request.attempt)?;
        let (sender, rest) = oneshot::channel();
        continuation.requests.send(sender).await.ok()?;
        rest.await.ok()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SearchId, Continuation>> {
        // Each step under the lock leaves the map consistent, so a poisoned lock is safe to use.
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A search that continues after an interim reply.
pub(super) struct ContinuedSearch {
    fan_out: FanOut,
    id: SearchId,
    /// The most records that the answer holds.
    top: usize,
    requests: mpsc::Receiver<oneshot::Sender<Rest>>,
    /// The request that waits for the next shards.
    waiting: Option<oneshot::Sender<Rest>>,
    /// The time of the next interim reply to the waiting request, or the time by which a request
    /// must arrive if none waits.
    due: Instant,
}

impl ContinuedSearch {
    /// Makes the rest of a search available to requests.
    pub(super) fn new(
        continuations: &Continuations,
        attempt: Vec<u8>,
        top: usize,
        fan_out: FanOut,
    ) -> Self {
        let id = continuations.last_id.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, requests) = mpsc::channel(REQUEST_QUEUE);
        let continuation = Continuation {
            attempt,
            requests: sender,
        };
        continuations.lock().insert(id, continuation);
        Self {
            fan_out,
            id,
            top,
            requests,
            waiting: None,
            due: Timer.now() + CLAIM_TIMEOUT,
        }
    }

    pub(super) const fn id(&self) -> SearchId {
        self.id
    }

    /// Runs until the search ends, or until nobody waits for its shards any more; passes the result
    /// to `on_end`.
    pub(super) async fn run(
        mut self,
        continuations: &Continuations,
        on_end: impl FnOnce(&mut FanOutResult),
    ) {
        let result = self.search().await;
        let is_wanted = result.is_some();
        let mut result = result.unwrap_or_else(|| self.fan_out.stop());
        on_end(&mut result);
        if is_wanted {
            if self.waiting.is_none() {
                let request = tokio::time::timeout(CLAIM_TIMEOUT, self.requests.recv()).await;
                self.waiting = request.ok().flatten();
            }
            if let Some(waiting) = self.waiting {
                // Sending fails if the search was answered without the rest.
                drop(waiting.send(Rest {
                    parts: result.parts,
                    top: self.top,
                    leaving: result.leaving,
                    pending: false,
                }));
            }
        }
        continuations.lock().remove(&self.id);
    }

    /// Searches and replies to requests until the search has ended. Returns `None` if nobody waits
    /// for it any more.
    async fn search(&mut self) -> Option<FanOutResult> {
        loop {
            tokio::select! {
                result = self.fan_out.finish() => return Some(result),
                Some(request) = self.requests.recv() => {
                    self.waiting = Some(request);
                    self.due = Timer.now() + INTERIM_PERIOD;
                }
                () = Timer.at(self.due) => match self.waiting.take() {
                    Some(waiting) if waiting.is_closed() => return None,
                    Some(waiting) => self.reply_interim(waiting),
                    None => return None,
                },
            }
        }
    }

    /// Replies with the shards that have arrived since the last reply, if there are any.
    fn reply_interim(&mut self, waiting: oneshot::Sender<Rest>) {
        let parts = self.fan_out.take_parts();
        if parts.is_empty() {
            self.waiting = Some(waiting);
            self.due = Timer.now() + INTERIM_PERIOD;
            return;
        }
        self.due = Timer.now() + CLAIM_TIMEOUT;
        // Sending fails if the search was answered without the rest.
        drop(waiting.send(Rest {
            parts,
            top: self.top,
            leaving: self.fan_out.take_leaving(),
            pending: true,
        }));
    }
}
