//! Connections to a backend server that carry one request at a time.

use std::{io, net::SocketAddr, time::Duration, time::Instant};

use displaydoc::Display;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::runtime::Handle;

use super::{body::CallBody, counters::OwnerCounter, grant::OpenPermit};
use crate::{http::server_connections, sockets};

/// The reason why a connection could not be opened.
#[derive(Debug, Display)]
pub(super) enum ConnectError {
    /// no answer within the connect time
    Timeout,
    /// the socket could not be connected: {0}
    Socket(io::Error),
    /// the connection could not be set up: {0}
    Setup(hyper::Error),
}

/// An open connection that carries one request at a time.
#[derive(Debug)]
pub(super) struct Connection {
    /// The sender of requests to the task that drives the connection.
    pub(super) sender: SendRequest<CallBody>,
    /// The address to which the connection was opened.
    pub(super) address: SocketAddr,
    /// The instant at which the connection was opened or last received a reply.
    pub(super) last_used: Instant,
}

impl Connection {
    /// Opens a connection within `limit`. The permit is returned once the socket is closed.
    pub(super) async fn open(
        address: SocketAddr,
        permit: OpenPermit,
        limit: Duration,
        handle: &Handle,
    ) -> Result<Self, ConnectError> {
        let result = Self::open_inner(address, permit, limit, handle).await;
        if let Err(error) = &result {
            log::debug!("owner: Could not connect to {address}: {error}.");
        }
        result
    }

    async fn open_inner(
        address: SocketAddr,
        permit: OpenPermit,
        limit: Duration,
        handle: &Handle,
    ) -> Result<Self, ConnectError> {
        let metrics = permit.metrics();
        let connecting = tokio::time::timeout(limit, sockets::connect(address)).await;
        let stream = match connecting {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                OwnerCounter::ConnectFailed.add(&metrics);
                return Err(ConnectError::Socket(error));
            }
            Err(_elapsed) => {
                OwnerCounter::ConnectFailed.add(&metrics);
                return Err(ConnectError::Timeout);
            }
        };
        let (sender, connection) = server_connections()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(ConnectError::Setup)?;
        OwnerCounter::Opened.add(&metrics);
        handle.spawn(async move {
            let _permit = permit;
            if let Err(error) = connection.await {
                log::debug!("owner: Connection to {address} failed: {error}.");
            }
        });
        Ok(Self {
            sender,
            address,
            last_used: Instant::now(),
        })
    }

    /// Returns whether the connection is known to be closed.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}
