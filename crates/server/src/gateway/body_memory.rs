//! The memory that callers' bodies take while they are received and forwarded.
//!
//! Callers may hold bodies open that are almost complete. The bodies of all requests share one budget; under
//! pressure the ones that have stopped give way, and further large ones are refused. Small ones have a
//! reserve.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use displaydoc::Display;
use tokio::{sync::Notify, time::timeout};

use super::body_buffer::BlockPool;
use crate::timer::Timer;

/// The share of the machine's memory that bodies may take, as a divisor. Replies and connections
/// take as much again.
const BUDGET_DIVISOR: usize = 5;
/// The share of the budget that is kept for small bodies, as a divisor.
const RESERVE_DIVISOR: usize = 4;
/// The size up to which a body is small, in bytes.
const SMALL_BODY: usize = 16 << 10;
/// The time without a byte after which a body gives way to others.
const STALL_TIME: Duration = Duration::from_millis(250);
/// The time for which a body waits for one that gives way.
const EVICTION_TIME: Duration = Duration::from_millis(100);
/// The most bodies that give way to one.
const MAX_EVICTIONS: usize = 8;

/// the bodies of all requests take too much memory
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(super) struct OutOfMemory;

impl std::error::Error for OutOfMemory {}

/// The memory for the bodies of all requests.
#[derive(Debug)]
pub(super) struct BodyMemory {
    budget: usize,
    inner: Mutex<Inner>,
    pool: BlockPool,
    /// Notified when a body has given its memory back.
    freed: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    used: usize,
    next_id: u64,
    bodies: HashMap<u64, HeldBody>,
}

/// A body that is held.
#[derive(Debug)]
struct HeldBody {
    bytes: usize,
    state: BodyState,
    /// Notified when the body must give way.
    evicted: Arc<Notify>,
}

/// What a held body is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyState {
    /// It is being received; the last bytes came at this time.
    Receiving(Instant),
    /// It gives way to others.
    Evicted,
    /// It is complete, and the request is being served.
    Complete,
}

/// The part of the memory that one body holds.
#[derive(Debug)]
pub(super) struct BodyShare {
    memory: Arc<BodyMemory>,
    id: u64,
    evicted: Arc<Notify>,
}

impl BodyMemory {
    /// Returns the memory for bodies on a machine with this many bytes of memory.
    pub(super) fn new(machine: usize) -> Self {
        Self {
            budget: machine / BUDGET_DIVISOR,
            inner: Mutex::default(),
            pool: BlockPool::default(),
            freed: Notify::new(),
        }
    }

    /// Returns the share of a body of which nothing has been received yet.
    pub(super) fn begin(self: &Arc<Self>) -> BodyShare {
        let evicted = Arc::new(Notify::new());
        let body = HeldBody {
            bytes: 0,
            state: BodyState::Receiving(Timer.now()),
            evicted: Arc::clone(&evicted),
        };
        let mut inner = self.lock();
        let id = inner.next_id;
        inner.next_id += 1;
        inner.bodies.insert(id, body);
        BodyShare {
            memory: Arc::clone(self),
            id,
            evicted,
        }
    }

    /// Returns the share of a body that has been received as a whole, if nothing has to give way for it.
    ///
    /// # Errors
    /// Returns an error if the memory does not suffice.
    pub(super) fn reserve(self: &Arc<Self>, bytes: usize) -> Result<BodyShare, OutOfMemory> {
        let share = self.begin();
        share.try_extend(bytes)?;
        share.complete();
        Ok(share)
    }

    /// Makes the body give way that has been stopped for longest; returns whether there was one.
    pub(super) fn evict_stalled(&self) -> bool {
        self.lock().evict_stalled(None, Timer.now())
    }

    /// Extends a body to `bytes` if the budget allows it; otherwise makes one that has stopped give way.
    fn extend(&self, id: u64, bytes: usize) -> Extended {
        let now = Timer.now();
        let limit = if bytes <= SMALL_BODY {
            self.budget
        } else {
            self.budget - self.budget / RESERVE_DIVISOR
        };
        let mut inner = self.lock();
        let Some(body) = inner.bodies.get_mut(&id) else {
            return Extended::Refused;
        };
        if body.state == BodyState::Evicted {
            return Extended::Refused;
        }
        body.state = BodyState::Receiving(now);
        let missing = bytes.saturating_sub(body.bytes);
        if inner.used + missing <= limit {
            if let Some(body) = inner.bodies.get_mut(&id) {
                body.bytes += missing;
            }
            inner.used += missing;
            let spare = self.budget - inner.used;
            drop(inner);
            // Free blocks are part of the budget.
            self.pool.trim(spare);
            return Extended::Granted;
        }
        if inner.evict_stalled(Some(id), now) {
            Extended::Evicting
        } else {
            Extended::Refused
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Each step under the lock leaves the sums consistent, so a poisoned lock is safe to use.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The result of extending a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Extended {
    Granted,
    /// Another body is giving way.
    Evicting,
    Refused,
}

impl Inner {
    /// Makes the body give way that has been stopped for longest, apart from `except`.
    fn evict_stalled(&mut self, except: Option<u64>, now: Instant) -> bool {
        let stalled = self.bodies.iter_mut().filter_map(|(id, body)| {
            let BodyState::Receiving(at) = body.state else {
                return None;
            };
            let is_stalled = now.saturating_duration_since(at) >= STALL_TIME;
            (is_stalled && Some(*id) != except).then_some((at, body))
        });
        let Some((_, body)) = stalled.min_by_key(|(at, _)| *at) else {
            return false;
        };
        body.state = BodyState::Evicted;
        body.evicted.notify_one();
        true
    }
}

impl BodyShare {
    /// Extends the share to `bytes`, at the expense of bodies that have stopped if need be.
    ///
    /// # Errors
    /// Returns an error if the memory does not suffice.
    pub(super) async fn extend(&self, bytes: usize) -> Result<(), OutOfMemory> {
        for _ in 0..MAX_EVICTIONS {
            let freed = self.memory.freed.notified();
            match self.memory.extend(self.id, bytes) {
                Extended::Granted => return Ok(()),
                Extended::Refused => return Err(OutOfMemory),
                // Without an answer in time, the next one gives way.
                Extended::Evicting => drop(timeout(EVICTION_TIME, freed).await),
            }
        }
        Err(OutOfMemory)
    }

    /// Extends the share to `bytes` if nothing has to give way for that.
    ///
    /// # Errors
    /// Returns an error if the memory does not suffice.
    pub(super) fn try_extend(&self, bytes: usize) -> Result<(), OutOfMemory> {
        match self.memory.extend(self.id, bytes) {
            Extended::Granted => Ok(()),
            Extended::Evicting | Extended::Refused => Err(OutOfMemory),
        }
    }

    /// Returns the blocks that bodies share.
    pub(super) fn pool(&self) -> &BlockPool {
        &self.memory.pool
    }

    /// Records that bytes of the body have come, for which no memory was needed.
    pub(super) fn record_progress(&self) {
        if let Some(body) = self.memory.lock().bodies.get_mut(&self.id)
            && let BodyState::Receiving(at) = &mut body.state
        {
            *at = Timer.now();
        }
    }

    /// Gives back all but `bytes` of the share.
    pub(super) fn shrink(&self, bytes: usize) {
        let mut inner = self.memory.lock();
        let Some(body) = inner.bodies.get_mut(&self.id) else {
            return;
        };
        let returned = body.bytes.saturating_sub(bytes);
        body.bytes -= returned;
        inner.used -= returned;
        drop(inner);
        self.memory.freed.notify_waiters();
    }

    /// Records that the whole body has been received, so that it no longer gives way.
    pub(super) fn complete(&self) {
        if let Some(body) = self.memory.lock().bodies.get_mut(&self.id) {
            body.state = BodyState::Complete;
        }
    }

    /// Waits until the body must give way.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        let mut inner = self.memory.lock();
        if let Some(body) = inner.bodies.remove(&self.id) {
            inner.used -= body.bytes;
        }
        drop(inner);
        self.memory.freed.notify_waiters();
    }
}
