//! The state that one entry learns, shared by its requests.

use std::time::{Duration, Instant};

use super::{
    admission::Admission,
    extra_calls::ExtraCallBudgets,
    hedge::Hedger,
    outcome::CallOutcome,
    priority::PriorityTable,
    replica::{CallReport, ReplicaTable, WaitEstimate},
    retry::Retrier,
};
use crate::{
    ids::{ServerId, ServiceId},
    request::RequestKind,
};

/// The state that one entry learns, shared by its requests behind one lock.
#[derive(Clone, Debug, Default)]
pub struct EntryTables {
    /// The backend servers.
    pub replicas: ReplicaTable,
    /// Learned latencies and the budget of hedges.
    pub hedger: Hedger,
    /// The budget of retries.
    pub retrier: Retrier,
    /// The budgets of extra calls of each service.
    pub extra_calls: ExtraCallBudgets,
    /// The admitted requests.
    pub admission: Admission,
    /// The congestion of services with routes of several priorities.
    pub priority: PriorityTable,
}

impl EntryTables {
    /// Records the outcome of a shard call.
    ///
    /// Every sent call is reported exactly once: either here, or as cancelled by its
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
        if let Some(called) = self.replicas.service(server) {
            self.priority
                .on_report(called, service, report.outcome, report.latency, now);
        }
        if matches!(report.outcome, CallOutcome::Done(_)) {
            self.hedger.record_latency(service, kind, report.latency);
        }
    }

    /// Returns the estimated time until `share` of the shard calls, 0 to 1, are done.
    #[must_use]
    pub fn estimate<'a>(
        &self,
        shards: impl Iterator<Item = &'a [ServerId]>,
        share: f64,
        now: Instant,
    ) -> WaitEstimate {
        let estimates = shards.map(|replicas| self.replicas.estimate(replicas, now));
        let mut estimates: Vec<_> = estimates.collect();
        estimates.sort_by_key(|estimate| estimate.queue_wait + estimate.service);
        let needed = needed_shards(estimates.len(), share);
        estimates.into_iter().nth(needed - 1).unwrap_or_default()
    }

    /// Returns the time until at least `share` of the shards, 0 to 1, have a replica that may get
    /// calls: zero if they have one now, `None` if too many will have none.
    ///
    /// Servers that ask for a pause do so under a load that all entries together bring about, most
    /// of all while their neighbours are down; calls within the pause would only be refused.
    #[must_use]
    pub fn ready_in<'a>(
        &self,
        shards: impl Iterator<Item = &'a [ServerId]>,
        share: f64,
        now: Instant,
    ) -> Option<Duration> {
        let ready_in = shards.map(|replicas| self.replicas.ready_in(replicas, now));
        time_of_share(ready_in.collect(), share)
    }

    /// Returns the same with regard to the limits that the servers state.
    #[must_use]
    pub fn permitted_in<'a>(
        &self,
        shards: impl Iterator<Item = &'a [ServerId]>,
        share: f64,
        now: Instant,
    ) -> Option<Duration> {
        let permitted_in = shards.map(|replicas| self.replicas.permitted_in(replicas, now));
        time_of_share(permitted_in.collect(), share)
    }
}

/// Returns the time by which `share` of the shards, 0 to 1, are ready; `None` if too many never are.
fn time_of_share(shards: Vec<Option<Duration>>, share: f64) -> Option<Duration> {
    let needed = needed_shards(shards.len(), share);
    let mut ready: Vec<_> = shards.into_iter().flatten().collect();
    ready.sort();
    ready.get(needed - 1).copied()
}

/// Returns how many of `shards` shards make up `share` of them, 0 to 1; at least one.
fn needed_shards(shards: usize, share: f64) -> usize {
    whole_shards(share.clamp(0.0, 1.0) * shard_count(shards)).max(1)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "shard counts are far below 2^52"
)]
const fn shard_count(shards: usize) -> f64 {
    shards as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a number of shards, not negative"
)]
fn whole_shards(shards: f64) -> usize {
    // Rounding must not add a shard that is not needed.
    (shards - 1e-9).ceil() as usize
}
