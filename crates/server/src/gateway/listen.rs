//! The gateway's listeners.

use std::{sync::Arc, time::Duration};

use http_body_util::Full;
use hyper::{
    Request,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};
use tokio::sync::{Notify, watch};

use super::{Gateway, answer::Answer};
use crate::{
    http::{AcceptSettings, Acceptor, Caller},
    process::ProcessError,
    sockets,
    timer::Timer,
};
use cassialift_core::routes::TrafficLimits;

/// The period at which changes of backend servers are applied without a request: several times
/// within the time that a server drains.
const SYNC_PERIOD: Duration = Duration::from_millis(200);

/// The most headers of a request that hyper accepts.
const MAX_HEADERS: usize = 128;

/// Serves callers until `stop` completes, then finishes the requests in flight.
///
/// # Errors
/// Returns an error when an address cannot be listened on.
pub async fn serve(
    gateway: Arc<Gateway>,
    stop: impl Future<Output = ()>,
) -> Result<(), ProcessError> {
    let settings = &gateway.settings;
    let requests = sockets::listen(settings.requests).await?;
    let directory = sockets::listen(settings.directory).await?;
    let readiness = sockets::listen(settings.readiness).await?;
    let accept_settings = accept_settings(&gateway);
    let syncing = tokio::spawn(sync_periodically(Arc::clone(&gateway)));
    let claiming = tokio::spawn(Arc::clone(&gateway).claim_periodically());
    let evicting = tokio::spawn(evict_when_full(
        Arc::clone(&gateway),
        Arc::clone(&accept_settings.full),
    ));
    let exchanging = tokio::spawn(Arc::clone(&gateway).exchange_periodically());
    let watching = tokio::spawn(Arc::clone(&gateway).watch_reach());
    let (stopping, stopped) = watch::channel(false);
    for listener in [directory, readiness] {
        let pages = Arc::clone(&gateway);
        let serve = move |_: Caller, request: Request<Incoming>| {
            let answer = pages.page(request.uri()).map(Full::new);
            async move { answer }
        };
        let stopped = wait_for_stop(stopped.clone());
        tokio::spawn(Acceptor::new(&accept_settings, serve).run(listener, stopped));
    }
    let forwarding = Arc::clone(&gateway);
    let serve = move |caller: Caller, request: Request<Incoming>| {
        let gateway = Arc::clone(&forwarding);
        async move {
            let answer = Arc::clone(&gateway).serve(caller, request).await;
            gateway.close_if_leaving(answer).map(Full::new)
        }
    };
    Acceptor::new(&accept_settings, serve)
        .run(requests, stop)
        .await;
    stopping.send_replace(true);
    syncing.abort();
    claiming.abort();
    evicting.abort();
    exchanging.abort();
    watching.abort();
    Ok(())
}

/// Applies each change of backend servers, also while no requests arrive.
///
/// Otherwise a server that drained and left between two requests would look like one whose entry
/// expired while it was serving.
async fn sync_periodically(gateway: Arc<Gateway>) {
    let mut ticks = Timer.subscribe(SYNC_PERIOD);
    loop {
        ticks.next().await;
        let view = gateway.node.control.snapshot();
        if let Some(config) = &view.config {
            gateway.sync(&view, config);
        }
    }
}

/// Makes room for a connection whenever there are too many: one whose body has stopped is closed.
async fn evict_when_full(gateway: Arc<Gateway>, full: Arc<Notify>) {
    loop {
        full.notified().await;
        if gateway.bodies.evict_stalled() {
            gateway.node.metrics.count("gateway.body_evicted");
        }
    }
}

async fn wait_for_stop(mut stopped: watch::Receiver<bool>) {
    // `wait_for` fails only when the process ends.
    drop(stopped.wait_for(|stopped| *stopped).await);
}

/// Returns the limits on connections.
///
/// The listeners start before the first configuration document arrives, so that the limits are the
/// platform's defaults and not those of the configuration.
fn accept_settings(gateway: &Gateway) -> AcceptSettings {
    let limits = TrafficLimits::default();
    AcceptSettings {
        max_connections: gateway.node.settings.limits.max_connections(),
        max_headers: MAX_HEADERS,
        max_head: limits.head,
        // hyper measures the time for a head from the end of the previous request.
        head_timeout: limits.idle.0,
        refusal: "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\n\
                  content-length: 0\r\n\r\n"
            .to_owned(),
        full: Arc::default(),
    }
}

impl Gateway {
    /// Asks the caller to close the connection after this answer if this process is leaving.
    fn close_if_leaving(&self, mut answer: Answer) -> Answer {
        if self.node.control.view().own.leaving {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        answer
    }
}
