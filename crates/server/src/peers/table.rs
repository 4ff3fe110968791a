//! The table of connections to peers: one for each VM, opened on first use.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use cassialift_core::{ids::VmId, view::FleetView};
use cassialift_wire::peer::{
    Greeting, PeerClient, Ping, PingReply,
    version::{self, MessageVersion},
};
use tarpc::{
    client::{Config, NewClient, RpcError},
    context,
    tokio_serde::{self, formats::Bincode},
};
use tokio::{sync::OnceCell, time::timeout};

use super::{PeerError, PeerTraffic, is_broken, silence::Silence};
use crate::{metrics::Metrics, sockets, timer::Timer};

/// The time limit for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The time limit for a peer's reply to a greeting.
const GREETING_TIMEOUT: Duration = Duration::from_secs(1);

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
    /// The version of the messages that the process at the other end reads; unset before it is needed.
    version: OnceCell<MessageVersion>,
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
        let entry = self.entry(view, vm)?;
        entry.client(&self.traffic).await
    }

    /// Returns a connection to a VM that reads messages of a version. Greets the VM first if that is not
    /// known.
    ///
    /// # Errors
    /// Returns an error when there is no connection, or the VM is of an earlier version or gives no reply
    /// to the greeting; nothing else was sent then.
    pub async fn client_reading(
        &self,
        least: MessageVersion,
        view: &FleetView,
        vm: &VmId,
    ) -> Result<PeerClient, PeerError> {
        let entry = self.entry(view, vm)?;
        // Opened first: it closes when the VM's process is replaced by one of another version.
        let client = entry.client(&self.traffic).await?;
        if least <= version::WITHOUT_GREETING {
            return Ok(client);
        }
        let greeting = entry
            .version
            .get_or_try_init(|| greet(vm, entry.address, &self.traffic));
        match *greeting.await? {
            known if known < least => Err(PeerError::Outdated(known)),
            _ => Ok(client),
        }
    }

    /// Returns the VMs that are known to read only messages of versions before `least`.
    ///
    /// # Panics
    /// Panics when another thread panicked while it held the lock on the table.
    pub fn outdated(&self, least: MessageVersion) -> HashSet<VmId> {
        if least <= version::WITHOUT_GREETING {
            return HashSet::new();
        }
        let entries = self
            .entries
            .lock()
            .expect("no thread panics holding the lock");
        let is_outdated = |entry: &Entry| {
            let known = entry.version.get();
            entry.is_open() && known.is_some_and(|known| *known < least)
        };
        let outdated = entries.iter().filter(|(_, entry)| is_outdated(entry));
        outdated.map(|(vm, _)| VmId::clone(vm)).collect()
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
            PeerError::Unknown
            | PeerError::Connect(_)
            | PeerError::ConnectTimeout
            | PeerError::Outdated(_) => {}
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

    /// Returns the entry of a VM; replaces one whose connection is not to be used any more.
    fn entry(&self, view: &FleetView, vm: &VmId) -> Result<Arc<Entry>, PeerError> {
        let Some(member) = view.members.get(vm) else {
            return Err(PeerError::Unknown);
        };
        let address = member.peers;
        let mut entries = self
            .entries
            .lock()
            .expect("no thread panics holding the lock");
        Ok(match entries.get(vm) {
            Some(entry) if entry.address == address && entry.is_open() => Arc::clone(entry),
            _ => {
                let entry = Arc::new(Entry {
                    address,
                    client: OnceCell::new(),
                    link: Link::default(),
                    version: OnceCell::new(),
                });
                entries.insert(VmId::clone(vm), Arc::clone(&entry));
                entry
            }
        })
    }
}

impl Entry {
    /// Returns whether the connection has neither closed nor fallen silent.
    fn is_open(&self) -> bool {
        let closed = self.link.closed.load(Ordering::Acquire);
        !closed && !self.link.silence.is_over_limit()
    }

    async fn client(&self, traffic: &Arc<PeerTraffic>) -> Result<PeerClient, PeerError> {
        let client = self
            .client
            .get_or_try_init(|| connect(self.address, traffic, &self.link));
        client.await.cloned()
    }
}

/// Greets a peer and returns the version of the messages that it reads.
///
/// A process that knows no greeting ends the connection, so the greeting is sent on one of its own. If that
/// connection breaks for another reason, the peer gets no newer calls on its present connection.
async fn greet(
    vm: &VmId,
    address: SocketAddr,
    traffic: &Arc<PeerTraffic>,
) -> Result<MessageVersion, PeerError> {
    let client = connect(address, traffic, &Link::default()).await?;
    let mut context = context::current();
    context.deadline = Instant::min(context.deadline, Timer.now() + GREETING_TIMEOUT);
    let version = match client.greet(context, Greeting::default()).await {
        Ok(greeting) => greeting.version,
        Err(error) if is_broken(&error) => version::WITHOUT_GREETING,
        Err(error) => {
            log::debug!("peers: {vm} did not reply to a greeting: {error}.");
            return Err(PeerError::ConnectTimeout);
        }
    };
    log::info!("peers: {vm} reads messages up to version {version}.");
    Ok(version)
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
