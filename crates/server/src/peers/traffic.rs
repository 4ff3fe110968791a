//! Counts the bytes between this process and its peers.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tarpc::tokio_util::codec::Framed;
use tokio::net::TcpStream;

use super::{frames::FrameCodec, silence::Silence};
use crate::{
    metrics::Metrics,
    sockets::{Meter, MeteredStream},
};

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
    ) -> Framed<MeteredStream<PeerMeter>, FrameCodec> {
        let meter = PeerMeter {
            traffic: Arc::clone(self),
            silence,
        };
        Framed::new(MeteredStream::new(stream, meter), FrameCodec::default())
    }
}

/// Counts the bytes of a connection to a peer, and watches for its silence.
#[derive(Debug)]
pub(super) struct PeerMeter {
    traffic: Arc<PeerTraffic>,
    silence: Arc<Silence>,
}

impl Meter for PeerMeter {
    fn record_sent(&self, bytes: usize) {
        self.traffic.sent.fetch_add(bytes as u64, Ordering::Relaxed);
        self.silence.record_sent();
    }

    fn record_received(&self, bytes: usize) -> io::Result<()> {
        let received = &self.traffic.received;
        received.fetch_add(bytes as u64, Ordering::Relaxed);
        self.silence.record_received();
        Ok(())
    }
}
