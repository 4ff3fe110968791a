//! The resources that a call holds at a backend server: a place in the queue, and later a slot and
//! a connection.

use std::sync::Arc;

use cassialift_wire::peer::CallRefusal;
use tokio::sync::oneshot;

use super::{connection::Connection, pool::ConnectionSource, server::Server};
use crate::metrics::Metrics;

/// Wakes a waiting call with its grant or with the refusal.
pub(super) type Waiter = oneshot::Sender<Result<Grant, CallRefusal>>;

/// A permit to hold one connection open; returned when dropped.
#[derive(Debug)]
pub(super) struct OpenPermit(Arc<Server>);

/// A slot with a connection or the permit to open one; returned when dropped.
#[derive(Debug)]
pub(super) struct Grant {
    server: Arc<Server>,
    connection: Option<Connection>,
    permit: Option<OpenPermit>,
}

/// The response to a call's request for a slot.
#[derive(Debug)]
pub(super) enum Admission {
    /// A slot was free.
    Granted(Grant),
    /// The call waits in the queue.
    Waiting(QueuePlace),
}

/// A place in the queue; the call leaves the queue when this is dropped.
#[derive(Debug)]
pub(super) struct QueuePlace {
    server: Arc<Server>,
    id: u64,
    receiver: oneshot::Receiver<Result<Grant, CallRefusal>>,
}

impl OpenPermit {
    /// Creates a permit for a connection that the pool has counted already.
    pub(super) const fn new(server: Arc<Server>) -> Self {
        Self(server)
    }

    /// Returns the counters of this process.
    pub(super) fn metrics(&self) -> Arc<Metrics> {
        Arc::clone(&self.0.metrics)
    }
}

impl Drop for OpenPermit {
    fn drop(&mut self) {
        self.0.lock().open -= 1;
        self.0.dispatch();
    }
}

impl Grant {
    /// Creates a grant of a slot that the pool has counted already.
    pub(super) fn new(server: Arc<Server>, source: ConnectionSource) -> Self {
        let (connection, permit) = match source {
            ConnectionSource::Idle(connection) => (Some(connection), None),
            ConnectionSource::New => (None, Some(OpenPermit::new(Arc::clone(&server)))),
        };
        Self {
            server,
            connection,
            permit,
        }
    }

    /// Returns the backend server of the slot.
    pub(super) fn server(&self) -> &Arc<Server> {
        &self.server
    }

    /// Takes the idle connection, if the grant has one.
    pub(super) fn take_connection(&mut self) -> Option<Connection> {
        self.connection.take()
    }

    /// Takes the permit to open a connection, or reserves another one if it was taken before.
    pub(super) fn take_permit(&mut self) -> Option<OpenPermit> {
        self.permit.take().or_else(|| self.server.reserve_open())
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let connection = self.connection.take();
        drop(self.permit.take());
        {
            let mut pool = self.server.lock();
            pool.running -= 1;
            if let Some(connection) = connection {
                pool.put_idle(connection);
            }
        }
        self.server.dispatch();
    }
}

impl QueuePlace {
    /// Creates a place for a call that was queued under `id`.
    pub(super) const fn new(
        server: Arc<Server>,
        id: u64,
        receiver: oneshot::Receiver<Result<Grant, CallRefusal>>,
    ) -> Self {
        Self {
            server,
            id,
            receiver,
        }
    }

    /// Waits for a slot or a refusal.
    pub(super) async fn wait(&mut self) -> Result<Grant, CallRefusal> {
        let received = (&mut self.receiver).await;
        received.unwrap_or(Err(CallRefusal::Cancelled))
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        drop(self.server.lock().queue.remove(self.id));
    }
}
