//! The table of connections to peers: one for each VM, opened on first use.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cassialift_core::{ids::VmId, view::FleetView};
use cassialift_wire::peer::{PeerClient, Ping, PingReply};
use tarpc::{
    client::{Config, NewClient, RpcError},
    context,
    tokio_serde::{self, formats::Bincode},
};
use tokio::{sync::OnceCell, time::timeout};

use super::{PeerError, PeerTraffic, is_broken, silence::Silence};
use crate::{metrics::Metrics, sockets};

/// The time limit for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The most calls in flight on one connection.
const MAX_IN_FLIGHT: usize = 16_384;

/// The table of connections to peers.
#[derive(Debug)]
pub struct PeerTable {
    traffic: Arc<PeerTraffic>,
    entries: Mutex<HashMap<VmId, Arc<Entry>>>,
}

#[derive(Debug)]
struct Entry {
    address: SocketAddr,
    client: OnceCell<PeerClient>,
    link: Link,
}

/// What is known about a connection to a peer.
#[derive(Clone, Debug, Default)]
struct Link {
    /// Whether the connection was opened and has closed since.
    closed: Arc<AtomicBool>,
    silence: Arc<Silence>,
}

impl PeerTable {
    /// Returns a table without connections; `traffic` counts the bytes of those opened later.
    #[must_use]
    pub fn new(traffic: Arc<PeerTraffic>) -> Self {
        let entries = Mutex::default();
        Self { traffic, entries }
    }

    pub(super) fn traffic(&self) -> &Arc<PeerTraffic> {
        &self.traffic
    }

    /// Returns a connection to a VM; opens one if there is none, or the last one has closed or fallen
    /// silent. Calls in flight on a silent connection go on.
    ///
    /// A call on a closed connection would fail without revealing whether it was sent. A peer's
    /// connections close when its process is replaced.
    ///
    /// # Errors
    /// Returns an error when there is no connection; nothing was sent then.
    pub async fn client(&self, view: &FleetView, vm: &VmId) -> Result<PeerClient, PeerError> {
        let Some(member) = view.members.get(vm) else {
            return Err(PeerError::Unknown);
        };
        let entry = self.entry(vm, member.peers);
        let client = entry
            .client
            .get_or_try_init(|| connect(entry.address, &self.traffic, &entry.link));
        client.await.cloned()
    }

    /// Sends a heartbeat to an address on a separate connection.
    ///
    /// # Errors
    /// Returns an error when there is no reply.
    pub async fn ping_address(
        &self,
        address: SocketAddr,
        ping: Ping,
    ) -> Result<PingReply, PeerError> {
        let client = connect(address, &self.traffic, &Link::default()).await?;
        let result = client.ping(context::current(), ping).await;
        result.map_err(PeerError::Call)
    }

    /// Handles a failed call: counts a reply that belongs to another call, and discards a
    /// connection that broke.
    pub fn on_call_failed(&self, vm: &VmId, error: &PeerError, metrics: &Metrics) {
        match error {
            PeerError::Call(error) => self.discard_broken(vm, error),
            PeerError::MismatchedReply => metrics.count("peers.foreign_reply"),
            PeerError::Unknown | PeerError::Connect(_) | PeerError::ConnectTimeout => {}
        }
    }

    /// Discards the connection to a VM if the error of a call shows that the connection broke.
    ///
    /// # Panics
    /// Panics when another thread panicked while it held the lock on the table.
    pub fn discard_broken(&self, vm: &VmId, error: &RpcError) {
        if is_broken(error) {
            self.discard(vm);
        }
    }

    /// Discards the connection to a VM; calls in flight on it go on.
    ///
    /// # Panics
    /// Panics when another thread panicked while it held the lock on the table.
    pub fn discard(&self, vm: &VmId) {
        let mut entries = self
            .entries
            .lock()
            .expect("no thread panics holding the lock");
        entries.remove(vm);
    }

    fn entry(&self, vm: &VmId, address: SocketAddr) -> Arc<Entry> {
        let mut entries = self
            .entries
            .lock()
            .expect("no thread panics holding the lock");
        match entries.get(vm) {
            Some(entry) if entry.is_usable(address) => Arc::clone(entry),
            _ => {
                let entry = Arc::new(Entry {
                    address,
                    client: OnceCell::new(),
                    link: Link::default(),
                });
                entries.insert(VmId::clone(vm), Arc::clone(&entry));
                entry
            }
        }
    }
}

impl Entry {
    fn is_usable(&self, address: SocketAddr) -> bool {
        let closed = self.link.closed.load(Ordering::Acquire);
        self.address == address && !closed && !self.link.silence.is_over_limit()
    }
}

async fn connect(
    address: SocketAddr,
    traffic: &Arc<PeerTraffic>,
    link: &Link,
) -> Result<PeerClient, PeerError> {
    let Ok(connected) = timeout(CONNECT_TIMEOUT, sockets::connect(address)).await else {
        return Err(PeerError::ConnectTimeout);
    };
    let stream = connected.map_err(PeerError::Connect)?;
    let transport = tokio_serde::Framed::new(
        traffic.framed(stream, Arc::clone(&link.silence)),
        Bincode::default(),
    );
    let mut config = Config::default();
    config.max_in_flight_requests = MAX_IN_FLIGHT;
    config.pending_request_buffer = MAX_IN_FLIGHT;
    let NewClient { client, dispatch } = PeerClient::new(config, transport);
    let closed = Arc::clone(&link.closed);
    tokio::spawn(async move {
        if let Err(error) = dispatch.await {
            log::debug!("peers: A connection failed: {error}.");
        }
        closed.store(true, Ordering::Release);
    });
    Ok(client)
}
