//! The loop that accepts connections and serves them until they end.

use std::{convert::Infallible, error::Error, net::SocketAddr, sync::Arc, time::Duration};

use http_body::Body;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, OwnedSemaphorePermit, Semaphore, watch},
};
use tokio_util::task::TaskTracker;

use super::{Caller, ConnectionCloser};
use crate::{sockets, timer::Timer};

/// The time that a connection beyond the limit is given to read its refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest number of connections beyond the limit that are sent a refusal at once. Others are
/// closed without one.
const MAX_REFUSALS: usize = 64;

/// The pause after an error in accepting a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits on connections and on the heads of their requests.
#[derive(Clone, Debug)]
pub(crate) struct AcceptSettings {
    /// The largest number of connections open at once.
    pub(crate) max_connections: usize,
    /// The largest number of headers of a request.
    pub(crate) max_headers: usize,
    /// The largest head of a request, in bytes.
    pub(crate) max_head: usize,
    /// The longest time in which the whole head of a request must arrive.
    pub(crate) head_timeout: Duration,
    /// The whole HTTP response to a connection beyond the limit.
    pub(crate) refusal: String,
    /// Notified when a connection finds no room.
    pub(crate) full: Arc<Notify>,
}

/// A server that accepts connections and serves their requests with one function.
pub(crate) struct Acceptor<F> {
    serve: F,
    http: http1::Builder,
    refusal: Arc<str>,
    connections: Arc<Semaphore>,
    refusals: Arc<Semaphore>,
    full: Arc<Notify>,
    stopping: watch::Sender<()>,
    tasks: TaskTracker,
}

impl<F, Answering, SentBody> Acceptor<F>
where
    F: Fn(Caller, Request<Incoming>) -> Answering + Clone + Send + 'static,
    Answering: Future<Output = Response<SentBody>> + Send + 'static,
    SentBody: Body + Send + 'static,
    SentBody::Data: Send,
    SentBody::Error: Into<Box<dyn Error + Send + Sync>>,
{
    pub(crate) fn new(settings: &AcceptSettings, serve: F) -> Self {
        let mut http = http1::Builder::new();
        http.timer(TokioTimer::new())
            .header_read_timeout(settings.head_timeout)
            .max_headers(settings.max_headers)
            .max_buf_size(settings.max_head);
        Self {
            serve,
            http,
            refusal: settings.refusal.as_str().into(),
            connections: Arc::new(Semaphore::new(settings.max_connections)),
            refusals: Arc::new(Semaphore::new(MAX_REFUSALS)),
            full: Arc::clone(&settings.full),
            stopping: watch::Sender::new(()),
            tasks: TaskTracker::new(),
        }
    }

    /// Serves until `stop` ends, then finishes the requests in flight.
    pub(crate) async fn run(self, listener: TcpListener, stop: impl Future<Output = ()>) {
        tokio::select! {
            () = self.accept_all(&listener) => {}
            () = stop => {}
        }
        drop(listener);
        self.stopping.send_replace(());
        self.tasks.close();
        self.tasks.wait().await;
    }

    async fn accept_all(&self, listener: &TcpListener) {
        loop {
            match sockets::accept(listener).await {
                Ok((stream, peer)) => self.admit(stream, peer),
                Err(error) => {
                    log::warn!("callers: A connection could not be accepted: {error}.");
                    Timer.after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit(&self, stream: TcpStream, peer: SocketAddr) {
        let connections = Arc::clone(&self.connections);
        if let Ok(permit) = connections.try_acquire_owned() {
            self.drive(stream, peer, permit);
        } else if let Ok(permit) = Arc::clone(&self.refusals).try_acquire_owned() {
            self.full.notify_one();
            let refusal = Arc::clone(&self.refusal);
            self.tasks.spawn(refuse_connection(stream, refusal, permit));
        }
    }

    fn drive(&self, stream: TcpStream, peer: SocketAddr, permit: OwnedSemaphorePermit) {
        let serve = self.serve.clone();
        let closer = ConnectionCloser::default();
        let caller = Caller {
            address: peer,
            closer: closer.clone(),
        };
        let service = service_fn(move |request| {
            let served = serve(caller.clone(), request);
            async move { Ok::<_, Infallible>(served.await) }
        });
        let connection = self.http.serve_connection(TokioIo::new(stream), service);
        let mut stopped = self.stopping.subscribe();
        self.tasks.spawn(async move {
            let _permit = permit;
            let mut connection = std::pin::pin!(connection);
            let serving = async {
                tokio::select! {
                    ended = connection.as_mut() => ended,
                    _ = stopped.changed() => {
                        // Closes the connection once its present request, if any, has been answered.
                        connection.as_mut().graceful_shutdown();
                        connection.await
                    }
                }
            };
            tokio::select! {
                ended = serving => if let Err(error) = ended {
                    log::debug!("callers: A connection failed: {error}.");
                },
                () = closer.closed() => log::debug!("callers: Closed the connection of {peer}."),
            }
        });
    }
}

/// Sends the refusal to a connection beyond the limit and closes it.
async fn refuse_connection(mut stream: TcpStream, refusal: Arc<str>, permit: OwnedSemaphorePermit) {
    let _permit = permit;
    let sent = tokio::time::timeout(REFUSAL_TIMEOUT, async {
        stream.write_all(refusal.as_bytes()).await?;
        stream.shutdown().await?;
        // Closing a socket with unread bytes resets the connection, and the response may be lost.
        let mut rest = [0; 1_024];
        while stream.read(&mut rest).await? > 0 {}
        Ok::<(), std::io::Error>(())
    });
    if !matches!(sent.await, Ok(Ok(()))) {
        log::debug!("callers: A connection beyond the limit did not read its refusal.");
    }
}
