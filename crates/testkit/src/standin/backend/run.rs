//! Runs requests on one backend server.

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
    table::{Admission, Table},
};
use crate::standin::ConnectionLimiter;

/// The size of an oversized reply.
const OVERSIZED_BYTES: usize = 64 << 20;

/// One backend server.
pub(super) struct Backend {
    pub(super) limiter: Arc<ConnectionLimiter>,
    table: Mutex<Table>,
    hang: watch::Sender<bool>,
    history: Option<Arc<HistoryFile>>,
}

impl Backend {
    pub(super) fn new(settings: BackendSettings, history: Option<Arc<HistoryFile>>) -> Self {
        let limit = usize::try_from(settings.connections).unwrap_or(usize::MAX);
        let limiter = ConnectionLimiter::new(limit, Duration::from(settings.connect));
        Self {
            limiter: Arc::new(limiter),
            table: Mutex::new(Table::new(settings)),
            hang: watch::Sender::new(false),
            history,
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        let mut table = self.lock();
        let connect = faults.connect.unwrap_or(table.settings.connect);
        self.limiter.set_delay(Duration::from(connect));
        self.hang.send_replace(faults.hang);
        table.faults = faults;
    }

    /// Runs a request to its end, whether or not its connection lasts, and returns the reply's text.
    pub(super) async fn run(self: Arc<Self>, peer: SocketAddr, request: RunRequest) -> String {
        let fault = self.lock().draw_fault();
        if fault == Some(Fault::DropBefore) {
            self.record(&request, RunStep::Dropped);
            return self.cut(peer).await;
        }
        let admission = self.lock().admit(&request);
        let reply = match admission {
            Admission::Refuse(refusal) => {
                self.record(&request, RunStep::Refused(refusal));
                self.lock().reply(&request, RunOutcome::Refused(refusal))
            }
            Admission::Run { time, cancelled } => {
                self.record(&request, RunStep::Started);
                // A task of its own, since a closed connection ends the handler but not the run.
                let run = Arc::clone(&self).finish(request, time, cancelled, fault);
                let Ok(reply) = tokio::spawn(run).await else {
                    return String::new();
                };
                reply
            }
        };
        match fault {
            Some(Fault::DropAfter) => self.cut(peer).await,
            Some(Fault::Garbage) => String::from("{\"outcome\":"),
            Some(Fault::Oversized) => "x".repeat(OVERSIZED_BYTES),
            Some(Fault::Crossed) => text(&self.swap_last(reply)),
            _ => {
                let text = text(&reply);
                self.lock().last = Some(reply);
                text
            }
        }
    }

    async fn finish(
        self: Arc<Self>,
        request: RunRequest,
        time: Duration,
        cancelled: oneshot::Receiver<()>,
        fault: Option<Fault>,
    ) -> RunReply {
        let end = self.wait(&request, time, cancelled).await;
        let outcome = match end {
            RunEnd::Cancelled | RunEnd::Expired => RunOutcome::Stopped,
            RunEnd::Done => self.done(&request, fault),
        };
        let reply = self.lock().finish(&request, outcome);
        self.record(&request, RunStep::Ended(end));
        reply
    }

    async fn wait(
        &self,
        request: &RunRequest,
        time: Duration,
        cancelled: oneshot::Receiver<()>,
    ) -> RunEnd {
        let mut hang = self.hang.subscribe();
        let mut freeze = self.hang.subscribe();
        let run = async {
            tokio::time::sleep(time).await;
            // The sender lives as long as the server.
            let _open = hang.wait_for(|hang| !hang).await;
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
        // A hanging server does not react to anything.
        let _open = freeze.wait_for(|hang| !hang).await;
        end
    }

    fn done(&self, request: &RunRequest, fault: Option<Fault>) -> RunOutcome {
        let shift = u64::from(fault == Some(Fault::WrongVersion));
        let version = request.version + shift;
        let count = self.lock().settings.rows;
        let rows = match request.kind {
            RequestKind::Job => job_rows(&request.body),
            _ => search_rows(request.shard, version, &request.body, count),
        };
        RunOutcome::Done { version, rows }
    }

    fn swap_last(&self, reply: RunReply) -> RunReply {
        let mut table = self.lock();
        let last = table.last.replace(reply.clone());
        last.unwrap_or(reply)
    }

    async fn cut(&self, peer: SocketAddr) -> String {
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

fn text(reply: &RunReply) -> String {
    serde_json::to_string(reply).unwrap_or_default()
}
