//! Pools of connections to backend servers; each connection carries one request at a time.

use std::{
    collections::HashMap,
    io::ErrorKind,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use cassialift_core::{ids::ServerId, policy::priority::Rank};
use displaydoc::Display;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::{sync::oneshot, task::AbortHandle, time::timeout};

use super::{reach::ReachMonitor, receive_limit::Overhead, waiting::WaitingCalls};
use crate::{
    http::server_connections,
    sockets::{self, MeteredStream},
    timer::Timer,
};

/// The time limit for opening a connection: many round trips between data centres. The call then
/// goes to another server; the slow one has done no work for it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a new connection stays unused, so that a server that has too many can reset it: two
/// round trips between data centres of one region.
const RESET_WAIT: Duration = Duration::from_millis(8);

/// The period in which each new connection stays unused for [`RESET_WAIT`]: after one broke during
/// its first request, and after the start of a process that may have replaced another. A backend
/// server may still count connections of processes that were killed, and notices their end within a
/// few seconds.
const RESET_WINDOW: Duration = Duration::from_secs(3);

/// How long before the backend server's own idle timeout a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// The idle limit of a connection whose backend server states no timeout.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Why no connection could be acquired.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(super) enum AcquireError {
    /// all connections stayed in use
    Busy,
    /// no connection could be opened
    Connect,
}

/// An open connection to a backend server.
#[derive(Debug)]
pub(super) struct PooledConnection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// The attempt that last used the connection; a second, late reply to that attempt may still
    /// arrive.
    pub(super) last_attempt: Option<Bytes>,
    /// How long the connection may stay idle.
    pub(super) idle_limit: Duration,
    /// What was received since the last part of a reply.
    pub(super) overhead: Overhead,
    address: SocketAddr,
    last_used: Instant,
    driver: AbortHandle,
}

impl Drop for PooledConnection {
    /// Closes the connection, so that the backend server drops a request that has no reply yet.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl PooledConnection {
    async fn open(address: SocketAddr, reach: &ReachMonitor) -> Option<Self> {
        let connected = timeout(CONNECT_TIMEOUT, sockets::connect(address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                log::debug!("gateway: Connecting to {address} failed: {error}.");
                reach.on_open_failed(error.kind());
                return None;
            }
            Err(_) => {
                log::debug!("gateway: Connecting to {address} timed out.");
                reach.on_open_failed(ErrorKind::TimedOut);
                return None;
            }
        };
        let overhead = Overhead::default();
        let stream = MeteredStream::new(stream, overhead.clone());
        let handshake = server_connections().handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.ok()?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("gateway: A connection to {address} failed: {error}.");
            }
        });
        Some(Self {
            sender,
            last_attempt: None,
            idle_limit: DEFAULT_IDLE_LIMIT,
            overhead,
            address,
            last_used: Timer.now(),
            driver: driver.abort_handle(),
        })
    }

    fn is_usable(&self, address: SocketAddr, now: Instant) -> bool {
        let limit = self.idle_limit.saturating_sub(IDLE_MARGIN);
        self.address == address
            && !self.sender.is_closed()
            && now.saturating_duration_since(self.last_used) < limit
    }
}

/// The connection pools of all backend servers.
#[derive(Debug)]
pub(super) struct ConnectionPools {
    pools: Mutex<HashMap<ServerId, Arc<ServerPool>>>,
    reach: Arc<ReachMonitor>,
    /// Until when any backend server may reset new connections; `None` if no resets are expected.
    resets_until: Option<Instant>,
}

/// The connection pool of one backend server.
#[derive(Debug, Default)]
struct ServerPool {
    state: Mutex<PoolState>,
}

#[derive(Debug, Default)]
struct PoolState {
    in_use: u32,
    idle: Vec<PooledConnection>,
    waiting: WaitingCalls,
    /// Until when the backend server may reset new connections; `None` if no resets are expected.
    resets_until: Option<Instant>,
}

/// The connection that a call needs.
#[derive(Clone, Debug)]
pub(super) struct ConnectionRequest {
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    /// The most connections that this VM may hold to the backend server.
    pub(super) limit: u32,
    /// The attempt that will use the connection.
    pub(super) attempt: Bytes,
    /// Whether the connection must be new, so that no reply to an earlier request can arrive on it.
    pub(super) fresh: bool,
    /// The rank of the request's route; calls of lower numbers get a connection first.
    pub(super) rank: Rank,
}

/// The permission to use one connection to a backend server, released when it is dropped.
#[derive(Debug)]
pub(super) struct ConnectionPermit {
    pool: Arc<ServerPool>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut state = self.pool.lock();
        while let Some(waiting) = state.waiting.pop() {
            if waiting.send(()).is_ok() {
                // The permit passes to the waiting call, so the count stays.
                return;
            }
        }
        state.in_use -= 1;
    }
}

impl ConnectionPermit {
    /// Returns a connection to the pool after a complete reply.
    pub(super) fn put_back(&self, mut connection: PooledConnection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.last_used = Timer.now();
        self.pool.lock().idle.push(connection);
    }
}

impl ConnectionPools {
    pub(super) fn new(reach: Arc<ReachMonitor>) -> Self {
        Self {
            pools: Mutex::default(),
            reach,
            resets_until: None,
        }
    }

    /// Returns the pools of a process that may have replaced a killed one.
    pub(super) fn after_restart(reach: Arc<ReachMonitor>, now: Instant) -> Self {
        Self {
            resets_until: Some(now + RESET_WINDOW),
            ..Self::new(reach)
        }
    }

    /// Records that a new connection to a backend server broke during its first request.
    pub(super) fn on_new_broken(&self, server: &ServerId) {
        self.reach.on_open_failed(ErrorKind::ConnectionReset);
        self.pool(server).lock().resets_until = Some(Timer.now() + RESET_WINDOW);
    }

    /// Returns the number of calls that wait for a connection to a backend server.
    pub(super) fn queue_len(&self, server: &ServerId) -> u32 {
        let pools = self.lock();
        let Some(pool) = pools.get(server) else {
            return 0;
        };
        let waiting = pool.lock().waiting.len();
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    /// Removes the pools of backend servers for which `keep` returns false.
    pub(super) fn retain(&self, keep: impl Fn(&ServerId) -> bool) {
        self.lock().retain(|server, _| keep(server));
    }

    /// Acquires a connection; while all are in use, waits for one until `deadline`.
    pub(super) async fn acquire(
        &self,
        request: &ConnectionRequest,
        deadline: Instant,
    ) -> Result<(PooledConnection, ConnectionPermit), AcquireError> {
        let pool = self.pool(&request.server);
        let permit =
            ServerPool::acquire_permit(&pool, request.limit, request.rank, deadline).await?;
        if !request.fresh
            && let Some(connection) = pool.take_idle(request)
        {
            return Ok((connection, permit));
        }
        if self.reach.is_detached() {
            // A new connection would fail; a periodic check finds out when they open again.
            return Err(AcquireError::Connect);
        }
        pool.make_room(request.limit);
        let Some(connection) = PooledConnection::open(request.address, &self.reach).await else {
            return Err(AcquireError::Connect);
        };
        let resets_until = self.resets_until.max(pool.lock().resets_until);
        if request.fresh || resets_until.is_some_and(|until| Timer.now() < until) {
            // A reset that arrives after the request was sent leaves open whether the request ran.
            Timer.after(RESET_WAIT).await;
            if connection.sender.is_closed() {
                self.reach.on_open_failed(ErrorKind::ConnectionReset);
                return Err(AcquireError::Connect);
            }
        }
        Ok((connection, permit))
    }

    /// Closes the idle connections to a backend server that were last used before `time`: when a
    /// call got no reply, the network may have dropped all of them.
    pub(super) fn close_idle_before(&self, server: &ServerId, time: Instant) {
        let pools = self.lock();
        if let Some(pool) = pools.get(server) {
            pool.lock()
                .idle
                .retain(|connection| connection.last_used >= time);
        }
    }

    fn pool(&self, server: &ServerId) -> Arc<ServerPool> {
        let mut pools = self.lock();
        let pool = pools.entry(ServerId::clone(server)).or_default();
        Arc::clone(pool)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServerId, Arc<ServerPool>>> {
        // Each step under the lock leaves the map consistent, so a poisoned lock is safe to use.
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServerPool {
    async fn acquire_permit(
        pool: &Arc<Self>,
        limit: u32,
        rank: Rank,
        deadline: Instant,
    ) -> Result<ConnectionPermit, AcquireError> {
        let receiver = {
            let mut state = pool.lock();
            if state.in_use < limit {
                state.in_use += 1;
                None
            } else {
                let (sender, receiver) = oneshot::channel();
                state.waiting.push(rank, sender);
                Some(receiver)
            }
        };
        let permit = || ConnectionPermit {
            pool: Arc::clone(pool),
        };
        let Some(receiver) = receiver else {
            return Ok(permit());
        };
        let mut waiter = Waiter { receiver, pool };
        tokio::select! {
            granted = &mut waiter.receiver => match granted {
                Ok(()) => Ok(permit()),
                Err(_) => Err(AcquireError::Busy),
            },
            () = Timer.at(deadline) => Err(AcquireError::Busy),
        }
    }

    /// Closes the idle connections that are no longer usable, then takes the most recently used one
    /// that did not last serve the same attempt.
    fn take_idle(&self, request: &ConnectionRequest) -> Option<PooledConnection> {
        let now = Timer.now();
        let mut state = self.lock();
        state
            .idle
            .retain(|connection| connection.is_usable(request.address, now));
        let idle = &state.idle;
        let is_other = |connection: &PooledConnection| {
            connection.last_attempt.as_ref() != Some(&request.attempt)
        };
        let index = idle.iter().rposition(is_other)?;
        Some(state.idle.remove(index))
    }

    /// Closes the least recently used idle connections until one more can be opened.
    fn make_room(&self, limit: u32) {
        let mut state = self.lock();
        let free = limit.saturating_sub(state.in_use) as usize;
        let surplus = state.idle.len().saturating_sub(free);
        state.idle.drain(..surplus);
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        // Each step under the lock leaves the counts consistent, so a poisoned lock is safe to use.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place in the queue for a permit; when dropped, a permit that was granted but not taken passes
/// to the next waiting call.
struct Waiter<'a> {
    receiver: oneshot::Receiver<()>,
    pool: &'a Arc<ServerPool>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.receiver.close();
        if self.receiver.try_recv().is_ok() {
            drop(ConnectionPermit {
                pool: Arc::clone(self.pool),
            });
        }
    }
}
