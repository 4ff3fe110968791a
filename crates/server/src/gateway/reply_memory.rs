//! The memory that replies of backend servers take until they have been written to callers.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{http::ConnectionCloser, timer::Timer};

/// The largest reply body that is read, in bytes.
const MAX_REPLY: usize = 8 << 20;

/// The size up to which a reply body needs no share of the memory for large ones, in bytes.
const SMALL_REPLY: usize = 64 << 10;

/// The unit in which the memory for large replies is reserved and allocated, in bytes.
const BLOCK: usize = 64 << 10;

/// The share of the machine's memory that large replies and answers may take, as a divisor: as much as callers'
/// bodies and connections may take each.
const MEMORY_DIVISOR: usize = 5;

/// The part of the memory, as a divisor, that is kept free at the expense of slow readers.
const FREE_DIVISOR: usize = 4;

/// The part of the memory, as a divisor, from which unread answers, and not a backend server, are the reason why a
/// reply finds no room.
const UNREAD_DIVISOR: usize = 4;

/// The time that a caller has to read an answer before it gives way to others.
const READ_TIME: Duration = Duration::from_secs(5);

/// Why a reply is not read to its end.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(super) enum ReplyTooLarge {
    /// it has more than 8 MiB
    Reply,
    /// all large replies together take too much memory
    Together,
    /// large answers that callers have not read take too much memory
    Unread,
}

/// The body of a reply while it is received.
///
/// It is kept in blocks, and joined when it is complete: one buffer that grew with it would take several times
/// its size, also for a reply that never ends.
#[derive(Debug, Default)]
pub(super) struct ReplyBuffer {
    full: Vec<Bytes>,
    last: BytesMut,
}

impl ReplyBuffer {
    /// Returns the number of bytes received so far.
    pub(super) fn len(&self) -> usize {
        self.full.len() * BLOCK + self.last.len()
    }

    pub(super) fn extend(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let room = BLOCK - self.last.len();
            let (fitting, rest) = data.split_at(room.min(data.len()));
            self.last.extend_from_slice(fitting);
            if self.last.len() == BLOCK {
                let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(BLOCK));
                self.full.push(full.freeze());
            }
            data = rest;
        }
    }

    /// Returns the whole body.
    pub(super) fn join(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut whole = BytesMut::with_capacity(self.len());
        for block in self.full {
            whole.extend_from_slice(&block);
        }
        whole.extend_from_slice(&self.last);
        whole.freeze()
    }
}

/// The memory that is left for large replies.
#[derive(Debug)]
pub(super) struct ReplyMemory {
    size: usize,
    blocks: Arc<Semaphore>,
    deliveries: Mutex<Deliveries>,
}

/// The large replies that callers are reading.
#[derive(Debug, Default)]
struct Deliveries {
    next_id: u64,
    readers: HashMap<u64, Delivery>,
}

#[derive(Debug)]
struct Delivery {
    blocks: usize,
    since: Instant,
    closer: ConnectionCloser,
    /// Whether the connection is being closed.
    closing: bool,
}

/// The part of the memory for large replies that one reply holds.
#[derive(Debug, Default)]
pub(super) struct ReplyShare {
    permit: Option<OwnedSemaphorePermit>,
}

/// A body with the memory that it takes.
struct HeldBody {
    bytes: Bytes,
    _share: ReplyShare,
}

/// A body that a caller is reading.
struct DeliveredBody {
    bytes: Bytes,
    id: u64,
    memory: Arc<ReplyMemory>,
}

impl ReplyMemory {
    /// Returns the memory for large replies on a machine with this many bytes of memory.
    pub(super) fn new(machine: usize) -> Self {
        let size = machine / MEMORY_DIVISOR / BLOCK;
        Self {
            size,
            blocks: Arc::new(Semaphore::new(size)),
            deliveries: Mutex::default(),
        }
    }

    /// Extends the share of a reply whose body now has `bytes` bytes.
    ///
    /// # Errors
    /// Returns an error if the reply is too large, or too large beside the others.
    pub(super) fn extend(&self, share: &mut ReplyShare, bytes: usize) -> Result<(), ReplyTooLarge> {
        if bytes > MAX_REPLY {
            return Err(ReplyTooLarge::Reply);
        }
        self.acquire(share, bytes)
    }

    /// Returns the body of an answer with the memory that it takes; `None` if it is too large beside the
    /// others.
    pub(super) fn hold(&self, body: Bytes) -> Option<Bytes> {
        let mut share = ReplyShare::default();
        let bytes = body.len();
        if let Err(reason) = self.acquire(&mut share, bytes) {
            log::warn!("gateway: Dropped an answer of {bytes} bytes: {reason}.");
            return None;
        }
        Some(share.hold(body))
    }

    fn acquire(&self, share: &mut ReplyShare, bytes: usize) -> Result<(), ReplyTooLarge> {
        if bytes <= SMALL_REPLY {
            return Ok(());
        }
        let missing = bytes.div_ceil(BLOCK).saturating_sub(share.blocks());
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        let permit = Arc::clone(&self.blocks).try_acquire_many_owned(missing);
        self.close_slow(Timer.now());
        let Ok(permit) = permit else {
            return Err(if self.unread_blocks() >= self.size / UNREAD_DIVISOR {
                ReplyTooLarge::Unread
            } else {
                ReplyTooLarge::Together
            });
        };
        match &mut share.permit {
            Some(held) => held.merge(permit),
            None => share.permit = Some(permit),
        }
        Ok(())
    }

    /// Returns the body of an answer to the caller whose connection `closer` closes, which happens if the
    /// caller reads slowly while memory is short.
    pub(super) fn deliver(self: &Arc<Self>, bytes: Bytes, closer: ConnectionCloser) -> Bytes {
        if bytes.len() <= SMALL_REPLY {
            return bytes;
        }
        let mut deliveries = self.lock();
        let id = deliveries.next_id;
        deliveries.next_id += 1;
        let delivery = Delivery {
            blocks: bytes.len().div_ceil(BLOCK),
            since: Timer.now(),
            closer,
            closing: false,
        };
        deliveries.readers.insert(id, delivery);
        drop(deliveries);
        Bytes::from_owner(DeliveredBody {
            bytes,
            id,
            memory: Arc::clone(self),
        })
    }

    /// Closes the connections of slow readers, the slowest first, until enough memory is or will be free.
    fn close_slow(&self, now: Instant) {
        let wanted = self.size / FREE_DIVISOR;
        let free = self.blocks.available_permits();
        if free >= wanted {
            return;
        }
        let mut deliveries = self.lock();
        let readers = &mut deliveries.readers;
        let closing = readers.values().filter(|delivery| delivery.closing);
        let mut expected = free + closing.map(|delivery| delivery.blocks).sum::<usize>();
        let mut slow: Vec<_> = readers
            .values_mut()
            .filter(|delivery| !delivery.closing && delivery.age(now) >= READ_TIME)
            .collect();
        slow.sort_unstable_by_key(|delivery| delivery.since);
        for delivery in slow {
            if expected >= wanted {
                return;
            }
            log::warn!(
                "gateway: Closed a connection whose caller had not read its answer after {} ms: the memory for \
                 large replies is short.",
                delivery.age(now).as_millis()
            );
            delivery.closer.close();
            delivery.closing = true;
            expected += delivery.blocks;
        }
    }

    /// Returns the blocks of the answers that callers have not read.
    fn unread_blocks(&self) -> usize {
        let deliveries = self.lock();
        let readers = deliveries.readers.values();
        readers.map(|delivery| delivery.blocks).sum()
    }

    fn lock(&self) -> MutexGuard<'_, Deliveries> {
        // Each step under the lock leaves the table consistent, so a poisoned lock is safe to use.
        self.deliveries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Delivery {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }
}

impl ReplyShare {
    /// Returns a body that holds this share until nobody needs its bytes.
    pub(super) fn hold(self, bytes: Bytes) -> Bytes {
        if self.permit.is_none() {
            return bytes;
        }
        Bytes::from_owner(HeldBody {
            bytes,
            _share: self,
        })
    }

    fn blocks(&self) -> usize {
        self.permit
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits)
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AsRef<[u8]> for DeliveredBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for DeliveredBody {
    fn drop(&mut self) {
        self.memory.lock().readers.remove(&self.id);
    }
}
