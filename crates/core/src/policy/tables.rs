//! What one entry has learned, shared by its requests.

use std::time::Instant;

use super::{
    admission::Admission,
    hedge::Hedger,
    outcome::CallOutcome,
    repeat::Repeats,
    replica::{CallReport, ReplicaTable, WaitEstimate},
    retry::Retrier,
};
use crate::{
    ids::{ServerId, ServiceId},
    request::RequestKind,
};

/// What one entry has learned, shared by its requests behind one lock.
#[derive(Clone, Debug, Default)]
pub struct EntryTables {
    /// The backend servers.
    pub replicas: ReplicaTable,
    /// Learned latencies and the budget of extra calls.
    pub hedger: Hedger,
    /// The budget of retries.
    pub retrier: Retrier,
    /// The budget of extra calls of each service.
    pub repeats: Repeats,
    /// The requests taken on.
    pub admission: Admission,
}

impl EntryTables {
    /// Notes what came of a shard call.
    ///
    /// Every sent call is reported exactly once: here, or as cancelled by its
    /// [`Gather`](super::gather::Gather).
    pub fn on_report(
        &mut self,
        service: &ServiceId,
        kind: RequestKind,
        server: &ServerId,
        report: &CallReport,
        now: Instant,
    ) {
        self.replicas.on_report(server, report, now);
        if matches!(report.outcome, CallOutcome::Done(_)) {
            self.hedger.learn(service, kind, report.latency);
        }
    }

    /// Returns the expected time of the slowest of several shard calls.
    #[must_use]
    pub fn estimate<'a>(
        &self,
        shards: impl Iterator<Item = &'a [ServerId]>,
        now: Instant,
    ) -> WaitEstimate {
        let estimates = shards.map(|replicas| self.replicas.estimate(replicas, now));
        estimates
            .max_by(|a, b| (a.wait + a.service).cmp(&(b.wait + b.service)))
            .unwrap_or_default()
    }
}
