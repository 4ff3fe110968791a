//! Accepting connections of callers, and ending them gracefully.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cassialift_core::request::{Ran, RefusalReason};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
};
use tokio_util::task::TaskTracker;

use super::{connection::Shared, routes::router};
use crate::{
    entry::refuse::Refused,
    process::{Node, ProcessError},
    sockets,
    timer::Timer,
};

/// How many headers the library takes; those above the settings get a typed refusal.
const HEADERS_SPARE: usize = 64;

/// The largest head of a request, bytes.
const HEAD_BYTES: usize = 64 * 1024;

/// How long a connection beyond the limit is given to read its refusal.
const LINGER: Duration = Duration::from_secs(1);

/// The most connections beyond the limit that are given time to read their refusal.
const LINGERERS: usize = 64;

/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers until `stop` ends, then finishes what is in flight.
///
/// # Errors
/// Returns why the address could not be listened on.
pub async fn serve(node: Arc<Node>, stop: impl Future<Output = ()>) -> Result<(), ProcessError> {
    let address = node.settings.callers;
    let listening = TcpListener::bind(address).await;
    let listener = listening.map_err(|cause| ProcessError::Listen(address, cause))?;
    let (stopping, stopped) = watch::channel(());
    let acceptor = Acceptor::new(&node, stopped);
    tokio::select! {
        () = acceptor.accept_all(&listener) => {}
        () = stop => {}
    }
    drop(listener);
    drop(stopping);
    acceptor.tasks.close();
    acceptor.tasks.wait().await;
    Ok(())
}

struct Acceptor {
    shared: Shared,
    http: http1::Builder,
    connections: Arc<Semaphore>,
    lingerers: Arc<Semaphore>,
    stopped: watch::Receiver<()>,
    tasks: TaskTracker,
}

impl Acceptor {
    fn new(node: &Arc<Node>, stopped: watch::Receiver<()>) -> Self {
        let limits = &node.settings.limits;
        let mut http = http1::Builder::new();
        http.timer(TokioTimer::new())
            .header_read_timeout(limits.receive.0)
            .max_headers(limits.headers + HEADERS_SPARE)
            .max_buf_size(HEAD_BYTES);
        Self {
            shared: Shared::new(node, router(node)),
            http,
            connections: Arc::new(Semaphore::new(limits.connections)),
            lingerers: Arc::new(Semaphore::new(LINGERERS)),
            stopped,
            tasks: TaskTracker::new(),
        }
    }

    async fn accept_all(&self, listener: &TcpListener) {
        loop {
            match sockets::accept(listener).await {
                Ok((stream, peer)) => self.admit(stream, peer),
                Err(error) => {
                    log::warn!("callers: a connection could not be accepted: {error}.");
                    Timer.after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit(&self, stream: TcpStream, peer: SocketAddr) {
        let connections = Arc::clone(&self.connections);
        if let Ok(permit) = connections.try_acquire_owned() {
            self.serve(stream, peer, permit);
        } else if let Ok(permit) = Arc::clone(&self.lingerers).try_acquire_owned() {
            self.tasks.spawn(turn_away(stream, permit));
        }
    }

    fn serve(&self, stream: TcpStream, peer: SocketAddr, permit: OwnedSemaphorePermit) {
        let shared = self.shared.clone();
        let service = service_fn(move |request| shared.clone().serve(peer, request));
        let connection = self.http.serve_connection(TokioIo::new(stream), service);
        let mut stopped = self.stopped.clone();
        self.tasks.spawn(async move {
            let _permit = permit;
            let mut connection = std::pin::pin!(connection);
            let ended = tokio::select! {
                ended = connection.as_mut() => ended,
                _ = stopped.changed() => {
                    // Ends the connection once its request, if any, has been answered.
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = ended {
                log::debug!("callers: a connection ended: {error}.");
            }
        });
    }
}

/// Tells a caller beyond the limit on connections why it is not served.
async fn turn_away(mut stream: TcpStream, permit: OwnedSemaphorePermit) {
    let _permit = permit;
    let detail = "too many connections are open".to_owned();
    let refused = Refused::new(RefusalReason::Overloaded, Ran::NotRun, detail);
    let body = serde_json::to_string(&refused.refusal).unwrap_or_default();
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let told = tokio::time::timeout(LINGER, async {
        stream.write_all(response.as_bytes()).await?;
        stream.shutdown().await?;
        // A socket that is closed with unread bytes is reset, which may destroy the response.
        let mut rest = [0; 1_024];
        while stream.read(&mut rest).await? > 0 {}
        Ok::<(), std::io::Error>(())
    });
    if !matches!(told.await, Ok(Ok(()))) {
        log::debug!("callers: a connection beyond the limit did not take its refusal.");
    }
}
