//! Detection of connections that fell silent without being closed.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use crate::timer::Timer;

/// The time without any byte from the peer, counted from the first byte sent to it since its last
/// one, after which a connection gets no further calls.
const SILENCE_LIMIT: Duration = Duration::from_millis(800);

/// The time for which a peer has sent nothing on a connection although something was sent to it.
#[derive(Debug)]
pub(super) struct Silence {
    opened_at: Instant,
    /// When the first byte since the peer's last one was sent, in milliseconds after `opened_at`;
    /// [`NOTHING_SENT`] if none was sent since.
    sent_at: AtomicU64,
}

const NOTHING_SENT: u64 = u64::MAX;

impl Default for Silence {
    fn default() -> Self {
        Self {
            opened_at: Timer.now(),
            sent_at: AtomicU64::new(NOTHING_SENT),
        }
    }
}

impl Silence {
    /// Records that bytes were sent to the peer.
    pub(super) fn record_sent(&self) {
        if self.sent_at.load(Ordering::Relaxed) == NOTHING_SENT {
            self.sent_at.store(self.age(), Ordering::Relaxed);
        }
    }

    /// Records that bytes came from the peer.
    pub(super) fn record_received(&self) {
        self.sent_at.store(NOTHING_SENT, Ordering::Relaxed);
    }

    /// Returns whether the connection is to get no further calls.
    pub(super) fn is_over_limit(&self) -> bool {
        let sent_at = self.sent_at.load(Ordering::Relaxed);
        let silent_for = self.age().saturating_sub(sent_at);
        Duration::from_millis(silent_for) >= SILENCE_LIMIT
    }

    fn age(&self) -> u64 {
        let age = Timer.now().saturating_duration_since(self.opened_at);
        u64::try_from(age.as_millis()).unwrap_or(NOTHING_SENT)
    }
}
