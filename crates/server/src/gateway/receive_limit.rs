//! A bound on what a backend server may send without getting on with its reply.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use displaydoc::Display;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The most bytes that are received between two parts of a body, and before the first one: heads,
/// interim replies and the framing of chunks. A head alone may have about 400 KB.
const MAX_OVERHEAD: usize = 1 << 20;

/// {0} bytes brought no part of a reply
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(super) struct NoProgress(usize);

impl std::error::Error for NoProgress {}

/// The number of bytes received on a connection since the last part of a reply.
#[derive(Clone, Debug, Default)]
pub(super) struct Overhead(Arc<AtomicUsize>);

impl Overhead {
    /// Records that a request is sent, or that a part of a body was received.
    pub(super) fn record_progress(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

/// A connection that fails once it brings too many bytes without a part of a reply.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    overhead: Overhead,
}

impl LimitedStream {
    pub(super) const fn new(stream: TcpStream, overhead: Overhead) -> Self {
        Self { stream, overhead }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        let overhead = self.overhead.0.fetch_add(read, Ordering::Relaxed) + read;
        if overhead > MAX_OVERHEAD {
            return Poll::Ready(Err(io::Error::other(NoProgress(overhead))));
        }
        polled
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
