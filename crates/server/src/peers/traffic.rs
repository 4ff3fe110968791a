//! Counts the bytes between this process and its peers.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use tarpc::tokio_util::codec::Framed;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::{frames::FrameCodec, silence::Silence};
use crate::metrics::Metrics;

/// The counters of bytes between this process and its peers, without the headers of TCP and IP.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    sent: AtomicU64,
    received: AtomicU64,
}

impl PeerTraffic {
    /// Adds the bytes counted since the last call to the metrics.
    pub fn report(&self, metrics: &Metrics) {
        let counts = [
            ("peers.sent_bytes", &self.sent),
            ("peers.received_bytes", &self.received),
        ];
        for (name, count) in counts {
            let bytes = count.swap(0, Ordering::Relaxed);
            if bytes > 0 {
                metrics.add(name, bytes);
            }
        }
    }

    /// Wraps a connection to a peer into a framed stream whose bytes are counted.
    pub(super) fn framed(
        self: &Arc<Self>,
        stream: TcpStream,
        silence: Arc<Silence>,
    ) -> Framed<CountedStream, FrameCodec> {
        let counted = CountedStream {
            stream,
            traffic: Arc::clone(self),
            silence,
        };
        Framed::new(counted, FrameCodec::default())
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub(super) struct CountedStream {
    stream: TcpStream,
    traffic: Arc<PeerTraffic>,
    silence: Arc<Silence>,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.traffic
            .received
            .fetch_add(read as u64, Ordering::Relaxed);
        if read > 0 {
            self.silence.record_received();
        }
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &polled {
            self.traffic
                .sent
                .fetch_add(*written as u64, Ordering::Relaxed);
            self.silence.record_sent();
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
