//! Closing of a caller's connection from outside the task that serves it.

use std::sync::Arc;

use tokio::sync::Notify;

/// Closes one connection, whatever is being sent on it.
///
/// Each request has the closer of its connection among its extensions.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionCloser(Arc<Notify>);

impl ConnectionCloser {
    pub(crate) fn close(&self) {
        self.0.notify_one();
    }

    /// Waits until the connection must be closed.
    pub(super) async fn closed(&self) {
        self.0.notified().await;
    }
}
