//! A bound on what a backend server may send without getting on with its reply.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use displaydoc::Display;

use crate::sockets::Meter;

/// The most bytes that are received between two parts of a body, and before the first one: heads,
/// interim replies and the framing of chunks. A head alone may have 64 KiB.
const MAX_OVERHEAD: usize = 1 << 20;

/// {0} bytes brought no part of a reply
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(super) struct NoProgress(usize);

impl std::error::Error for NoProgress {}

/// The number of bytes received on a connection since the last part of a reply; too many fail it.
#[derive(Clone, Debug, Default)]
pub(super) struct Overhead(Arc<AtomicUsize>);

impl Overhead {
    /// Records that a request is sent, or that a part of a body was received.
    pub(super) fn record_progress(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

impl Meter for Overhead {
    fn record_sent(&self, _bytes: usize) {}

    fn record_received(&self, bytes: usize) -> io::Result<()> {
        let overhead = self.0.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if overhead > MAX_OVERHEAD {
            return Err(io::Error::other(NoProgress(overhead)));
        }
        Ok(())
    }
}
