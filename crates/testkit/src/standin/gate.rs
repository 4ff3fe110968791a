//! Accepts connections up to a limit, after a delay, and can cut them.

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

/// The connections that wait between their acceptance and the HTTP library.
const ACCEPTED_LENGTH: usize = 64;

/// The connections of one listening address.
#[derive(Debug)]
pub struct Gate {
    limit: usize,
    table: Mutex<GateTable>,
}

#[derive(Debug, Default)]
struct GateTable {
    open: HashMap<SocketAddr, std::net::TcpStream>,
    delay: Duration,
    most: usize,
    refused: u64,
}

impl Gate {
    /// Makes a gate that lets `limit` connections in, each after `delay`.
    #[must_use]
    pub fn new(limit: usize, delay: Duration) -> Self {
        let table = GateTable {
            delay,
            ..GateTable::default()
        };
        Self {
            limit,
            table: Mutex::new(table),
        }
    }

    /// Sets how long a new connection waits before it is served.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Returns the most connections that were open at once.
    #[must_use]
    pub fn most(&self) -> usize {
        self.lock().most
    }

    /// Returns how many connections were closed at once for the limit.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    /// Closes the connection of a peer in both directions.
    pub fn cut(&self, peer: SocketAddr) {
        if let Some(stream) = self.lock().open.get(&peer) {
            // A connection that is closed already needs no cut.
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admit(&self, peer: SocketAddr, stream: std::net::TcpStream) -> Option<Duration> {
        let mut table = self.lock();
        if table.open.len() >= self.limit {
            table.refused += 1;
            return None;
        }
        table.open.insert(peer, stream);
        table.most = table.most.max(table.open.len());
        Some(table.delay)
    }

    fn release(&self, peer: SocketAddr) {
        self.lock().open.remove(&peer);
    }
}

/// Hands accepted connections to the HTTP library.
#[derive(Debug)]
pub(super) struct GatedIncoming {
    accepted: mpsc::Receiver<Conn>,
}

impl Incoming for GatedIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        match self.accepted.recv().await {
            Some(conn) => Ok(Some(conn)),
            // The library would ask again at once for ever.
            None => std::future::pending().await,
        }
    }
}

impl MakeIncoming for GatedIncoming {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

/// Makes the library's end and the task that accepts for it.
pub(super) fn accept_through(
    listener: TcpListener,
    gate: std::sync::Arc<Gate>,
) -> (GatedIncoming, impl Future<Output = ()>) {
    let (sender, accepted) = mpsc::channel(ACCEPTED_LENGTH);
    let accept = async move {
        while let Ok((stream, peer)) = listener.accept().await {
            let Ok((stream, watch)) = admit(&gate, peer, stream) else {
                continue;
            };
            let (gate, sender) = (std::sync::Arc::clone(&gate), sender.clone());
            let delay = gate.lock().delay;
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                if sender.send(Conn::from(stream)).await.is_ok() {
                    wait_closed(&watch).await;
                }
                gate.release(peer);
            });
        }
    };
    (GatedIncoming { accepted }, accept)
}

/// Admits a connection and returns it with a second handle to watch it by.
fn admit(gate: &Gate, peer: SocketAddr, stream: TcpStream) -> io::Result<(TcpStream, TcpStream)> {
    stream.set_nodelay(true)?;
    let stream = stream.into_std()?;
    let (watch, cut) = (stream.try_clone()?, stream.try_clone()?);
    if gate.admit(peer, cut).is_none() {
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
