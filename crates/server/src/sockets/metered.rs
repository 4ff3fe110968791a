//! Connections whose bytes are metered.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// What a connection reports its bytes to.
pub trait Meter: Unpin {
    /// Records bytes that were sent.
    fn record_sent(&self, bytes: usize);

    /// Records bytes that were received, at least one.
    ///
    /// # Errors
    /// Returns an error if the connection is to fail.
    fn record_received(&self, bytes: usize) -> io::Result<()>;
}

/// A connection whose bytes are metered.
#[derive(Debug)]
pub struct MeteredStream<M> {
    stream: TcpStream,
    meter: M,
}

impl<M: Meter> MeteredStream<M> {
    /// Returns a connection that reports its bytes to a meter.
    pub const fn new(stream: TcpStream, meter: M) -> Self {
        Self { stream, meter }
    }
}

impl<M: Meter> AsyncRead for MeteredStream<M> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        if received > 0 {
            self.meter.record_received(received)?;
        }
        polled
    }
}

impl<M: Meter> AsyncWrite for MeteredStream<M> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(sent)) = &polled {
            self.meter.record_sent(*sent);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
