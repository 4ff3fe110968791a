//! The memory that replies of backend servers take while they are received and delivered.

use std::sync::Arc;

use displaydoc::Display;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The largest reply body that is read, in bytes.
const MAX_REPLY: usize = 8 << 20;

/// The size up to which a reply body needs no share of the memory for large ones, in bytes.
const SMALL_REPLY: usize = 64 << 10;

/// The unit in which the memory for large replies is reserved, in bytes.
const BLOCK: usize = 64 << 10;

/// The memory for all large replies together, in blocks. A buffer that grows takes up to three times
/// the size of its reply for a moment, and the smallest VMs have 160 MB.
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
