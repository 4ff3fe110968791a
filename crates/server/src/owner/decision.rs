//! The one point at which it is decided whether a request is sent.

use std::{
    sync::atomic::{AtomicU8, Ordering},
    time::Instant,
};

/// Whether a request was handed to its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(super) enum SendState {
    /// Not yet; it may still be sent.
    Waiting,
    /// Handed to the connection; it may have run.
    Sent,
    /// Its time had run out; it will not be sent.
    Withheld,
    /// Cancelled before it was sent; it will not be sent.
    Cancelled,
}

/// Decides once whether a request is sent, withheld or cancelled.
///
/// The decision leaves [`SendState::Waiting`] at most once, so a cancellation that succeeds
/// proves that no byte of the request's body reaches the connection afterwards.
#[derive(Debug, Default)]
pub(super) struct SendDecision(AtomicU8);

impl SendDecision {
    /// Claims the right to send; fails once the deadline has passed or the mark was decided.
    pub(super) fn claim(&self, now: Instant, deadline: Instant) -> bool {
        if now >= deadline {
            self.decide(SendState::Withheld);
            return false;
        }
        self.decide(SendState::Sent)
    }

    /// Cancels the request; fails when it was sent.
    pub(super) fn cancel(&self) -> bool {
        self.decide(SendState::Cancelled) || self.state() != SendState::Sent
    }

    /// Returns what was decided.
    pub(super) fn state(&self) -> SendState {
        match self.0.load(Ordering::Acquire) {
            0 => SendState::Waiting,
            1 => SendState::Sent,
            2 => SendState::Withheld,
            _ => SendState::Cancelled,
        }
    }

    fn decide(&self, state: SendState) -> bool {
        self.0
            .compare_exchange(
                SendState::Waiting as u8,
                state as u8,
                Ordering::AcqRel,
                Ordering::Acquire,
            )
            .is_ok()
    }
}
