//! Open connections to peers, one a VM, opened on first use.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use cassialift_core::{ids::VmId, view::FleetView};
use cassialift_wire::peer::PeerClient;
use tarpc::{
    client::{Config, RpcError},
    serde_transport,
    tokio_serde::formats::Bincode,
};
use tokio::{net::TcpStream, sync::OnceCell, time::timeout};

use super::{PeerError, Traffic};

/// How long opening a connection to a peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The most calls in flight on one connection.
const MAX_IN_FLIGHT: usize = 16_384;

/// Open connections to peers.
#[derive(Debug)]
pub struct PeerTable {
    traffic: Arc<Traffic>,
    entries: Mutex<HashMap<VmId, Arc<Entry>>>,
}

#[derive(Debug)]
struct Entry {
    address: SocketAddr,
    client: OnceCell<PeerClient>,
}

impl PeerTable {
    /// Makes a table without connections, whose bytes `traffic` counts.
    #[must_use]
    pub fn new(traffic: Arc<Traffic>) -> Self {
        let entries = Mutex::default();
        Self { traffic, entries }
    }

    pub(super) fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Returns a connection to a VM, opening one when there is none.
    ///
    /// # Errors
    /// Returns why there is no connection; nothing was sent.
    pub async fn client(&self, view: &FleetView, vm: &VmId) -> Result<PeerClient, PeerError> {
        let Some(member) = view.members.get(vm) else {
            return Err(PeerError::Unknown);
        };
        let entry = self.entry(vm, member.peers);
        let client = entry
            .client
            .get_or_try_init(|| connect(entry.address, &self.traffic));
        client.await.cloned()
    }

    /// Forgets the connection to a VM after a call on it failed.
    ///
    /// # Panics
    /// Panics when another thread panicked while it held the table.
    pub fn forget(&self, vm: &VmId, error: &RpcError) {
        match error {
            RpcError::Shutdown | RpcError::Send(_) | RpcError::Channel(_) => {
                let mut entries = self
                    .entries
                    .lock()
                    .expect("no thread panics holding the lock");
                entries.remove(vm);
            }
            RpcError::DeadlineExceeded | RpcError::Server(_) => {}
        }
    }

    fn entry(&self, vm: &VmId, address: SocketAddr) -> Arc<Entry> {
        let mut entries = self
            .entries
            .lock()
            .expect("no thread panics holding the lock");
        match entries.get(vm) {
            Some(entry) if entry.address == address => Arc::clone(entry),
            _ => {
                let client = OnceCell::new();
                let entry = Arc::new(Entry { address, client });
                entries.insert(VmId::clone(vm), Arc::clone(&entry));
                entry
            }
        }
    }
}

async fn connect(address: SocketAddr, traffic: &Arc<Traffic>) -> Result<PeerClient, PeerError> {
    let Ok(connected) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return Err(PeerError::ConnectTimeout);
    };
    let stream = connected.map_err(PeerError::Connect)?;
    // Frames are small: held back for the peer's acknowledgement, a call would wait 40 ms.
    stream.set_nodelay(true).map_err(PeerError::Connect)?;
    let transport = serde_transport::new(traffic.frames(stream), Bincode::default());
    let mut config = Config::default();
    config.max_in_flight_requests = MAX_IN_FLIGHT;
    config.pending_request_buffer = MAX_IN_FLIGHT;
    Ok(PeerClient::new(config, transport).spawn())
}
