//! Execution of requests on one backend server stand-in.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cassialift_core::{ids::ServerId, request::RequestKind};
use cassialift_wire::backend::{RunOutcome, RunReply, RunRequest};
use tokio::sync::{oneshot, watch};

use super::{
    BackendSettings, Fault, Faults, HistoryFile, RunEnd, RunStep, job_rows, search_rows,
    state::{Admission, ServerState},
};
use crate::standin::ConnectionLimiter;

/// The size of an oversized reply in bytes.
const OVERSIZED_BYTES: usize = 64 << 20;

/// A backend server stand-in.
pub(super) struct BackendServer {
    pub(super) limiter: Arc<ConnectionLimiter>,
    state: Mutex<ServerState>,
    hang: watch::Sender<bool>,
    history: Option<Arc<HistoryFile>>,
}

impl BackendServer {
    pub(super) fn new(settings: BackendSettings, history: Option<Arc<HistoryFile>>) -> Self {
        let limit = usize::try_from(settings.connections).unwrap_or(usize::MAX);
        let limiter = ConnectionLimiter::new(limit, Duration::from(settings.connect));
        Self {
            limiter: Arc::new(limiter),
            state: Mutex::new(ServerState::new(settings)),
            hang: watch::Sender::new(false),
            history,
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        let connect = faults.connect.unwrap_or(state.settings.connect);
        self.limiter.set_delay(Duration::from(connect));
        self.hang.send_replace(faults.hang);
        state.faults = faults;
    }

    /// Runs a request to its end, even if its connection is closed, and returns the reply as JSON.
    pub(super) async fn run(self: Arc<Self>, peer: SocketAddr, request: RunRequest) -> String {
        let fault = self.lock().sample_fault();
        if fault == Some(Fault::DropBefore) {
            self.record(&request, RunStep::Dropped);
            return self.drop_connection(peer).await;
        }
        let admission = self.lock().admit(&request);
        let reply = match admission {
            Admission::Refuse(refusal) => {
                self.record(&request, RunStep::Refused(refusal));
                self.lock().reply(&request, RunOutcome::Refused(refusal))
            }
            Admission::Run { time, cancelled } => {
                self.record(&request, RunStep::Started);
                // The run needs a task of its own: a closed connection ends the handler but not the
                // run.
                let run = Arc::clone(&self).complete_run(request, time, cancelled, fault);
                let Ok(reply) = tokio::spawn(run).await else {
                    return String::new();
                };
                reply
            }
        };
        match fault {
            Some(Fault::DropAfter) => self.drop_connection(peer).await,
            Some(Fault::Garbage) => String::from("{\"outcome\":"),
            Some(Fault::Oversized) => "x".repeat(OVERSIZED_BYTES),
            Some(Fault::Crossed) => to_json(&self.swap_last_reply(reply)),
            _ => {
                let text = to_json(&reply);
                self.lock().last_reply = Some(reply);
                text
            }
        }
    }

    /// Waits for the end of a run, records it and returns the reply.
    async fn complete_run(
        self: Arc<Self>,
        request: RunRequest,
        time: Duration,
        cancelled: oneshot::Receiver<()>,
        fault: Option<Fault>,
    ) -> RunReply {
        let end = self.wait_for_end(&request, time, cancelled).await;
        let outcome = match end {
            RunEnd::Cancelled | RunEnd::Expired => RunOutcome::Stopped,
            RunEnd::Done => self.done_outcome(&request, fault),
        };
        let reply = self.lock().finish(&request, outcome);
        self.record(&request, RunStep::Ended(end));
        reply
    }

    /// Waits until a run is done, cancelled or past its deadline; a job runs until it is done.
    async fn wait_for_end(
        &self,
        request: &RunRequest,
        time: Duration,
        cancelled: oneshot::Receiver<()>,
    ) -> RunEnd {
        let mut hang = self.hang.subscribe();
        let mut end_hang = self.hang.subscribe();
        let run = async {
            tokio::time::sleep(time).await;
            // An error is impossible: the sender lives as long as the server.
            let _released = hang.wait_for(|hang| !hang).await;
        };
        if request.kind == RequestKind::Job {
            run.await;
            return RunEnd::Done;
        }
        let end = tokio::select! {
            () = run => RunEnd::Done,
            Ok(()) = cancelled => RunEnd::Cancelled,
            () = tokio::time::sleep(request.remaining.into()) => RunEnd::Expired,
        };
        // A hanging server reacts to neither a cancellation nor a deadline.
        let _released = end_hang.wait_for(|hang| !hang).await;
        end
    }

    fn done_outcome(&self, request: &RunRequest, fault: Option<Fault>) -> RunOutcome {
        let offset = u64::from(fault == Some(Fault::WrongVersion));
        let version = request.version + offset;
        let count = self.lock().settings.rows;
        let rows = match request.kind {
            RequestKind::Job => job_rows(&request.body),
            _ => search_rows(request.shard, version, &request.body, count),
        };
        RunOutcome::Done { version, rows }
    }

    /// Stores a reply as the last one and returns the previous one, or the reply itself if there is
    /// none.
    fn swap_last_reply(&self, reply: RunReply) -> RunReply {
        let mut state = self.lock();
        let last = state.last_reply.replace(reply.clone());
        last.unwrap_or(reply)
    }

    /// Closes the connection of a peer and never returns, so that no reply is sent.
    async fn drop_connection(&self, peer: SocketAddr) -> String {
        self.limiter.close(peer);
        std::future::pending().await
    }

    fn record(&self, request: &RunRequest, step: RunStep) {
        let Some(history) = &self.history else {
            return;
        };
        let server = ServerId::clone(&self.lock().settings.server);
        history.write(&server, request, step);
    }
}

fn to_json(reply: &RunReply) -> String {
    serde_json::to_string(reply).unwrap_or_default()
}
