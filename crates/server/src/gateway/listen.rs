//! The gateway's listeners.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{
    Request,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};
use tokio::sync::watch;

use super::{Gateway, answer::Answer};
use crate::{
    http::{AcceptSettings, Acceptor},
    process::ProcessError,
    sockets,
    timer::Timer,
};
use cassialift_core::routes::TrafficLimits;

/// How often changes of backend servers are taken over without a request: several times within the
/// time that a server drains.
const SYNC_PERIOD: Duration = Duration::from_millis(200);

/// How many headers the library takes.
const HEADERS: usize = 128;

/// Serves callers until `stop` ends, then finishes what is in flight.
///
/// # Errors
/// Returns why an address could not be listened on.
pub async fn serve(
    gateway: Arc<Gateway>,
    stop: impl Future<Output = ()>,
) -> Result<(), ProcessError> {
    let settings = &gateway.settings;
    let requests = sockets::listen(settings.requests).await?;
    let directory = sockets::listen(settings.directory).await?;
    let readiness = sockets::listen(settings.readiness).await?;
    let accepting = accepting(&gateway);
    let in_step = tokio::spawn(keep_in_step(Arc::clone(&gateway)));
    let (stopping, stopped) = watch::channel(false);
    for listener in [directory, readiness] {
        let pages = Arc::clone(&gateway);
        let serve = move |_: SocketAddr, request: Request<Incoming>| {
            let answer = pages.page(request.uri());
            async move { answer }
        };
        let stopped = wait(stopped.clone());
        tokio::spawn(Acceptor::new(&accepting, serve).run(listener, stopped));
    }
    let forwarding = Arc::clone(&gateway);
    let serve = move |_: SocketAddr, request: Request<Incoming>| {
        let gateway = Arc::clone(&forwarding);
        async move {
            let answer = Arc::clone(&gateway).serve(request).await;
            gateway.finish(answer)
        }
    };
    Acceptor::new(&accepting, serve).run(requests, stop).await;
    stopping.send_replace(true);
    in_step.abort();
    Ok(())
}

/// Takes over each change of backend servers, also while no request comes.
///
/// A server that drained and left between two requests would else look like one whose entry
/// lapsed while it served.
async fn keep_in_step(gateway: Arc<Gateway>) {
    let mut ticks = Timer.subscribe(SYNC_PERIOD);
    loop {
        ticks.next().await;
        let view = gateway.node.control.snapshot();
        if let Some(config) = &view.config {
            gateway.sync(&view, config);
        }
    }
}

async fn wait(mut stopped: watch::Receiver<bool>) {
    // An error means that the process ends.
    drop(stopped.wait_for(|stopped| *stopped).await);
}

/// Returns the bounds on connections.
///
/// Those of the configuration come with the first document, after the listeners; they are the
/// platform's usual ones.
fn accepting(gateway: &Gateway) -> AcceptSettings {
    let limits = TrafficLimits::default();
    AcceptSettings {
        connections: gateway.node.settings.limits.connections,
        headers: HEADERS,
        head: limits.head,
        // The library times a head from the end of the request before it.
        receive: limits.idle.0,
        refusal: "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\n\
                  content-length: 0\r\n\r\n"
            .to_owned(),
    }
}

impl Gateway {
    /// Asks the caller to leave with this answer, if the process does.
    fn finish(&self, mut answer: Answer) -> Answer {
        if self.node.control.view().own.leaving {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        answer
    }
}
