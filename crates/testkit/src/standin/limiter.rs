//! Accepts connections up to a limit, serves each after a delay and can close them.

use std::{
    collections::HashMap,
    io,
    net::{Shutdown, SocketAddr},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    io::Interest,
    net::{TcpListener, TcpStream},
    sync::mpsc,
};
use volo::net::{
    conn::Conn,
    incoming::{Incoming, MakeIncoming},
};

/// The capacity of the queue of accepted connections before the HTTP library.
const ACCEPT_QUEUE_CAPACITY: usize = 64;

/// Limits, delays and tracks the connections of one listening address.
#[derive(Debug)]
pub struct ConnectionLimiter {
    limit: usize,
    state: Mutex<LimiterState>,
}

#[derive(Debug, Default)]
struct LimiterState {
    open: HashMap<SocketAddr, std::net::TcpStream>,
    delay: Duration,
    max_open: usize,
    refused: u64,
}

impl ConnectionLimiter {
    /// Creates a limiter that allows `limit` open connections and serves each after `delay`.
    #[must_use]
    pub fn new(limit: usize, delay: Duration) -> Self {
        let state = LimiterState {
            delay,
            ..LimiterState::default()
        };
        Self {
            limit,
            state: Mutex::new(state),
        }
    }

    /// Sets the delay before a new connection is served.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Returns the highest number of connections that were open at once.
    #[must_use]
    pub fn max_open(&self) -> usize {
        self.lock().max_open
    }

    /// Returns the number of connections that were closed immediately because of the limit.
    #[must_use]
    pub fn refused_count(&self) -> u64 {
        self.lock().refused
    }

    /// Closes the connection of a peer in both directions.
    pub fn close(&self, peer: SocketAddr) {
        if let Some(stream) = self.lock().open.get(&peer) {
            // An error means that the connection is closed already.
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }

    fn lock(&self) -> MutexGuard<'_, LimiterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a connection and returns its delay, or `None` if the limit is reached.
    fn admit(&self, peer: SocketAddr, stream: std::net::TcpStream) -> Option<Duration> {
        let mut state = self.lock();
        if state.open.len() >= self.limit {
            state.refused += 1;
            return None;
        }
        state.open.insert(peer, stream);
        state.max_open = state.max_open.max(state.open.len());
        Some(state.delay)
    }

    fn release(&self, peer: SocketAddr) {
        self.lock().open.remove(&peer);
    }
}

/// The source of connections for the HTTP library.
#[derive(Debug)]
pub(super) struct LimitedIncoming {
    accepted: mpsc::Receiver<Conn>,
}

impl Incoming for LimitedIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        match self.accepted.recv().await {
            Some(conn) => Ok(Some(conn)),
            // The library would call again at once, in an endless loop.
            None => std::future::pending().await,
        }
    }
}

impl MakeIncoming for LimitedIncoming {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

/// Creates the source of connections for the HTTP library and the task that accepts them.
pub(super) fn accept_limited(
    listener: TcpListener,
    limiter: std::sync::Arc<ConnectionLimiter>,
) -> (LimitedIncoming, impl Future<Output = ()>) {
    let (sender, accepted) = mpsc::channel(ACCEPT_QUEUE_CAPACITY);
    let accept = async move {
        while let Ok((stream, peer)) = listener.accept().await {
            let Ok((stream, watch)) = admit(&limiter, peer, stream) else {
                continue;
            };
            let (limiter, sender) = (std::sync::Arc::clone(&limiter), sender.clone());
            let delay = limiter.lock().delay;
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                if sender.send(Conn::from(stream)).await.is_ok() {
                    wait_closed(&watch).await;
                }
                limiter.release(peer);
            });
        }
    };
    (LimitedIncoming { accepted }, accept)
}

/// Admits a connection and returns it with a second handle for watching it.
fn admit(
    limiter: &ConnectionLimiter,
    peer: SocketAddr,
    stream: TcpStream,
) -> io::Result<(TcpStream, TcpStream)> {
    stream.set_nodelay(true)?;
    let stream = stream.into_std()?;
    let (watch, registered) = (stream.try_clone()?, stream.try_clone()?);
    if limiter.admit(peer, registered).is_none() {
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    Ok((TcpStream::from_std(stream)?, TcpStream::from_std(watch)?))
}

/// Waits until the peer has closed the connection.
async fn wait_closed(watch: &TcpStream) {
    while let Ok(ready) = watch.ready(Interest::READABLE).await {
        if ready.is_read_closed() {
            return;
        }
        // Clears the readiness without reading, so that the next wait is for the next event.
        let _cleared = watch.try_io(Interest::READABLE, || {
            Err::<(), _>(io::ErrorKind::WouldBlock.into())
        });
    }
}
