//! Detection of backend servers that end while they run a request.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use cassialift_core::{ids::ServerId, policy::poison::Strike, routes::RouteTarget};
use tokio::time::timeout;

use super::{Gateway, inbound::Inbound};
use crate::{sockets, timer::Timer};

/// The time after a connection broke until its server is checked. A process that ends closes its
/// connections before its address refuses new ones.
const CHECK_DELAY: Duration = Duration::from_millis(20);
/// The time limit for the connection that checks a server.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

impl Gateway {
    /// Checks whether the backend server whose connection broke while it ran a request has ended.
    ///
    /// A connection that only broke shows nothing: networks and servers close connections too. Nor does
    /// a server that refuses others while no server can be reached: this VM may have lost its links.
    pub(super) fn check_crash(
        self: &Arc<Self>,
        server: &ServerId,
        address: SocketAddr,
        inbound: &Arc<Inbound>,
    ) {
        let (gateway, server, inbound) = (
            Arc::clone(self),
            ServerId::clone(server),
            Arc::clone(inbound),
        );
        tokio::spawn(async move {
            Timer.after(CHECK_DELAY).await;
            let checked_at = Timer.now();
            if !has_ended(address).await {
                return;
            }
            if gateway.has_reached_since(checked_at).await {
                gateway.on_crash(&server, &inbound);
            } else {
                gateway.node.metrics.count("gateway.crashes_doubted");
                log::info!(
                    "gateway: Server {server} refuses connections after it ran request {}, and so do others.",
                    inbound.id()
                );
            }
        });
    }

    fn on_crash(self: &Arc<Self>, server: &ServerId, inbound: &Inbound) {
        self.node.metrics.count("gateway.crashes");
        log::info!(
            "gateway: Server {server} ended while it ran request {}, fingerprint {}.",
            inbound.id(),
            inbound.fingerprint
        );
        let strike = match &inbound.route.target {
            RouteTarget::Shards(_) => Strike::of_search(&inbound.attempt),
            RouteTarget::Service(_) | RouteTarget::Split(_) => Strike::of_server(server),
        };
        self.strike(inbound.fingerprint, strike);
    }
}

/// Returns whether an address refuses connections.
async fn has_ended(address: SocketAddr) -> bool {
    match timeout(CHECK_TIMEOUT, sockets::connect(address)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
