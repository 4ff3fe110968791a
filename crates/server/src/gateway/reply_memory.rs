//! The memory that replies of backend servers take while they are received and delivered.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The largest reply body that is read, in bytes.
const MAX_REPLY: usize = 8 << 20;

/// The size up to which a reply body needs no share of the memory for large ones, in bytes.
const SMALL_REPLY: usize = 64 << 10;

/// The unit in which the memory for large replies is reserved and allocated, in bytes.
const BLOCK: usize = 64 << 10;

/// The memory for all large replies together, in blocks. A reply takes twice its size for a moment when it is
/// complete.
const MAX_BLOCKS: usize = (16 << 20) / BLOCK;

/// The share of the machine's memory that large replies may take, as a divisor.
const MEMORY_DIVISOR: usize = 10;

/// Why a reply is not read to its end.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(super) enum ReplyTooLarge {
    /// it has more than 8 MiB
    Reply,
    /// all large replies together have more than 16 MiB
    Together,
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
    blocks: Arc<Semaphore>,
}

/// The part of the memory for large replies that one reply holds.
#[derive(Debug, Default)]
pub(super) struct ReplyShare {
    permit: Option<OwnedSemaphorePermit>,
}

impl ReplyMemory {
    /// Returns the memory for large replies on a machine with this many bytes of memory.
    pub(super) fn new(machine: usize) -> Self {
        let blocks = (machine / MEMORY_DIVISOR / BLOCK).min(MAX_BLOCKS);
        Self {
            blocks: Arc::new(Semaphore::new(blocks)),
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
        if bytes <= SMALL_REPLY {
            return Ok(());
        }
        let held = share
            .permit
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        let missing = bytes.div_ceil(BLOCK).saturating_sub(held);
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        let Ok(permit) = Arc::clone(&self.blocks).try_acquire_many_owned(missing) else {
            return Err(ReplyTooLarge::Together);
        };
        match &mut share.permit {
            Some(held) => held.merge(permit),
            None => share.permit = Some(permit),
        }
        Ok(())
    }
}
