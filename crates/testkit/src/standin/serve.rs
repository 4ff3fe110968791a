//! Runs an HTTP server on one address.

use std::{io, net::SocketAddr, sync::Arc};

use tokio::{net::TcpListener, task::JoinHandle};
use volo_http::server::{Router, Server};

use super::limiter::{ConnectionLimiter, accept_limited};

/// A running server; dropping it stops it from accepting connections.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    tasks: [JoinHandle<()>; 2],
}

impl ServerHandle {
    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Serves `router` on `address`, with connections limited by `limiter`.
pub(super) async fn serve(
    router: Router,
    address: SocketAddr,
    limiter: Arc<ConnectionLimiter>,
) -> io::Result<ServerHandle> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (incoming, accept) = accept_limited(listener, limiter);
    let accept = tokio::spawn(accept);
    let run = tokio::spawn(async move {
        if let Err(error) = Server::new(router).run(incoming).await {
            log::error!("standin: The server on {address} stopped: {error}.");
        }
    });
    Ok(ServerHandle {
        address,
        tasks: [accept, run],
    })
}
