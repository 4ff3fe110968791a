//! The caller at the other end of a connection, and the closing of the connection from outside its task.

use std::{net::SocketAddr, sync::Arc};

use tokio::sync::Notify;

/// The caller of a request.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) address: SocketAddr,
    /// Closes the connection on which the request came.
    pub(crate) closer: ConnectionCloser,
}

/// Closes one connection, whatever is being sent on it.
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
