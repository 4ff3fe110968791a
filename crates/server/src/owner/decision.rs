//! The atomic decision whether a request is sent.

use std::{
    sync::atomic::{AtomicU8, Ordering},
    time::Instant,
};

/// The state of the decision whether a request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(super) enum SendState {
    /// The request was not handed to the connection; it may still be sent.
    Waiting,
    /// The request was handed to the connection; it may have run.
    Sent,
    /// The deadline had passed; the request will not be sent.
    Withheld,
    /// The request was cancelled before it was sent; it will not be sent.
    Cancelled,
}

/// An atomic decision, made once, whether a request is sent, withheld or cancelled.
///
/// The state leaves [`SendState::Waiting`] at most once, so a cancellation that succeeds proves
/// that no byte of the request's body reaches the connection afterwards.
#[derive(Debug, Default)]
pub(super) struct SendDecision(AtomicU8);

impl SendDecision {
    /// Claims the right to send. Returns `false` if the deadline has passed or the decision was
    /// made before.
    pub(super) fn claim(&self, now: Instant, deadline: Instant) -> bool {
        if now >= deadline {
            self.decide(SendState::Withheld);
            return false;
        }
        self.decide(SendState::Sent)
    }

    /// Cancels the request. Returns `false` if it was sent.
    pub(super) fn cancel(&self) -> bool {
        self.decide(SendState::Cancelled) || self.state() != SendState::Sent
    }

    /// Returns the present state of the decision.
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
