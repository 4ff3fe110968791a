//! The body of a request to a backend server.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use displaydoc::Display;
use http_body::{Body, Frame, SizeHint};

use super::decision::SendDecision;

/// the request was withheld from the connection
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(super) struct Withheld;

impl std::error::Error for Withheld {}

/// A request body that claims the right to send right before the connection takes it.
///
/// The HTTP library polls the body in the same step in which it writes the head into its buffer,
/// before it flushes the buffer, so that nothing was sent if the body is withheld.
#[derive(Debug)]
pub(super) struct CallBody {
    data: Option<Bytes>,
    deadline: Instant,
    decision: Arc<SendDecision>,
}

impl CallBody {
    /// Creates a body that is withheld once `deadline` has passed.
    pub(super) fn new(data: Bytes, deadline: Instant, decision: Arc<SendDecision>) -> Self {
        Self {
            data: Some(data),
            deadline,
            decision,
        }
    }
}

impl Body for CallBody {
    type Data = Bytes;
    type Error = Withheld;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Withheld>>> {
        let Some(data) = self.data.take() else {
            return Poll::Ready(None);
        };
        if !self.decision.claim(Instant::now(), self.deadline) {
            return Poll::Ready(Some(Err(Withheld)));
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let length = self.data.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(length as u64)
    }
}
