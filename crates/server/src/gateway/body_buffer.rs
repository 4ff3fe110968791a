//! The buffer of a caller's body while it is received.
//!
//! A contiguous buffer would be replaced by a larger one again and again, and the allocator would keep the
//! outgrown ones of all sizes: with many bodies at once, several times the memory in use. So a body is
//! collected in blocks of one size, which all bodies share, and joined when it is complete.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;

use super::body_memory::{BodyShare, OutOfMemory};

/// The size of a block, in bytes.
pub(super) const BLOCK_BYTES: usize = 16 << 10;

/// The blocks that no body uses at the moment.
#[derive(Debug, Default)]
pub(super) struct BlockPool(Mutex<Vec<Vec<u8>>>);

/// A body that is being received, and the memory that it takes.
#[derive(Debug)]
pub(super) struct BodyBuffer<'a> {
    share: &'a BodyShare,
    /// The size that the caller stated.
    stated: Option<usize>,
    /// All but the last are full.
    blocks: Vec<Vec<u8>>,
    len: usize,
}

impl BlockPool {
    /// Returns an empty block.
    fn take(&self) -> Vec<u8> {
        let block = self.lock().pop();
        block.unwrap_or_else(|| Vec::with_capacity(BLOCK_BYTES))
    }

    /// Keeps the blocks of a body that has ended or has been joined.
    fn put_back(&self, blocks: impl IntoIterator<Item = Vec<u8>>) {
        let mut free = self.lock();
        for mut block in blocks {
            if block.capacity() == BLOCK_BYTES {
                block.clear();
                free.push(block);
            }
        }
    }

    /// Frees the blocks that take more than this many bytes together.
    pub(super) fn trim(&self, bytes: usize) {
        let mut free = self.lock();
        let kept = free.len().min(bytes / BLOCK_BYTES);
        let freed = free.split_off(kept);
        drop(free);
        drop(freed);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Vec<u8>>> {
        // Each step under the lock leaves the list consistent, so a poisoned lock is safe to use.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<'a> BodyBuffer<'a> {
    /// Returns the empty buffer of a body, whose size the caller may have stated.
    pub(super) fn new(share: &'a BodyShare, stated: Option<usize>) -> Self {
        Self {
            share,
            stated,
            blocks: Vec::new(),
            len: 0,
        }
    }

    /// Returns the number of bytes received so far.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Appends bytes, at the expense of bodies that have stopped if need be.
    ///
    /// # Errors
    /// Returns an error if the memory does not suffice.
    pub(super) async fn extend(&mut self, mut data: &[u8]) -> Result<(), OutOfMemory> {
        while !data.is_empty() {
            let block = match self.blocks.last_mut() {
                Some(block) if block.len() < block.capacity() => block,
                _ => self.add_block().await?,
            };
            let (fitting, rest) = data.split_at(data.len().min(block.capacity() - block.len()));
            block.extend_from_slice(fitting);
            self.len += fitting.len();
            data = rest;
        }
        self.share.record_progress();
        Ok(())
    }

    async fn add_block(&mut self) -> Result<&mut Vec<u8>, OutOfMemory> {
        // A small body of a stated size takes no more than that.
        let small = self.stated.filter(|stated| *stated < BLOCK_BYTES);
        let size = small.unwrap_or(BLOCK_BYTES);
        self.share.extend(self.held_bytes() + size).await?;
        let block = match small {
            Some(size) => Vec::with_capacity(size),
            None => self.share.pool().take(),
        };
        self.blocks.push(block);
        let last = self.blocks.len() - 1;
        Ok(&mut self.blocks[last])
    }

    fn held_bytes(&self) -> usize {
        self.blocks.iter().map(Vec::capacity).sum()
    }

    /// Returns the complete body.
    ///
    /// # Errors
    /// Returns an error if the memory for joining its blocks does not suffice.
    pub(super) async fn join(mut self) -> Result<Bytes, OutOfMemory> {
        if self.blocks.len() <= 1 {
            let block = self.blocks.pop().unwrap_or_default();
            return Ok(Bytes::from(block));
        }
        self.share.extend(self.held_bytes() + self.len).await?;
        let mut joined = Vec::with_capacity(self.len);
        for block in &self.blocks {
            joined.extend_from_slice(block);
        }
        let (share, len) = (self.share, self.len);
        drop(self);
        share.shrink(len);
        Ok(Bytes::from(joined))
    }
}

impl Drop for BodyBuffer<'_> {
    fn drop(&mut self) {
        self.share.pool().put_back(self.blocks.drain(..));
    }
}
