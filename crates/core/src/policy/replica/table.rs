//! The table of backend servers that one entry learns about.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use super::{
    event::{EjectCause, ReplicaEvent},
    stats::{ReplicaState, ReplicaStats, ReportedHealth, ServerNotice},
};
use crate::{
    ids::{ServerId, ServiceId},
    index::{IndexDocument, ServerState},
    policy::{
        outcome::{CallOutcome, NotRunCause},
        retry::RetryReason,
        server_limit::StatedLimit,
        warmup::WarmupPolicy,
    },
    request::RequestKind,
};

/// The latency assumed for backend servers before any latency is known.
const DEFAULT_LATENCY: Duration = Duration::from_millis(5);
/// The latency from which a probe does not readmit a backend server, as a multiple of the median
/// latency.
const RECOVERED_FACTOR: f64 = 3.0;

/// The backend servers that one entry learns about.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    pub(super) servers: HashMap<ServerId, ReplicaStats>,
    /// The ejections and returns that have not been taken yet.
    pub(super) events: Vec<ReplicaEvent>,
    listed: HashMap<ServiceId, HashSet<ServerId>>,
    /// The backend servers that state a limit on their calls.
    pub(super) limited: HashSet<ServerId>,
    /// The backend servers that stated the end of their limit, each with the time of the reply, until
    /// a claim tells it.
    pub(super) unlimited: Vec<(ServerId, Instant)>,
}

/// One backend server of a service, as the platform lists it.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The backend server.
    pub server: ServerId,
    /// The number of requests that the backend server runs at once.
    pub slots: u32,
    /// Whether the backend server is leaving.
    pub leaving: bool,
    /// Whether the data centre of the backend server is evacuated.
    pub evacuated: bool,
    /// The start of the backend server's run, or zero if unknown.
    pub born: u64,
    /// What the service states about cold servers; `None` if they take as many calls as others.
    pub warmup: Option<WarmupPolicy>,
    /// How long the backend server stays cold, as of its document.
    pub cold: Duration,
    /// The penalty added to the expected latency when replicas are compared: the cost of the path
    /// to another data centre.
    pub penalty: Duration,
    /// Whether a healthy backend server may pause briefly, so that concurrent calls that were
    /// overtaken by their hedges count as one loss.
    pub may_pause: bool,
}

/// The report on one shard call.
#[derive(Clone, Copy, Debug)]
pub struct CallReport {
    /// The outcome of the call.
    pub outcome: CallOutcome,
    /// The latency of the call as measured by the entry.
    pub latency: Duration,
    /// The number of calls that waited at the owner when it replied, or `None` if the owner did not
    /// reply.
    pub queue_len: Option<u32>,
    /// The time that the owner expects one more call to wait, or zero if the owner has not learned
    /// that yet.
    pub queue_wait: Duration,
}

/// The estimated time until a shard call is done.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitEstimate {
    /// The wait in the queue of the owner.
    pub queue_wait: Duration,
    /// The latency apart from that wait.
    pub service: Duration,
    /// The number of calls that wait in that queue.
    pub queue_len: f64,
}

impl WaitEstimate {
    /// Returns the whole time until the call is done.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.queue_wait.saturating_add(self.service)
    }
}

impl ReplicaTable {
    /// Replaces the backend servers of a service by those of an index document, and drops those
    /// that the document no longer lists.
    pub fn sync(&mut self, document: &IndexDocument, now: Instant) {
        let listings = document.servers.iter().map(|entry| Listing {
            server: ServerId::clone(&entry.id),
            slots: entry.slots,
            leaving: entry.state == ServerState::Leaving,
            evacuated: false,
            born: 0,
            warmup: None,
            cold: Duration::ZERO,
            penalty: Duration::ZERO,
            may_pause: false,
        });
        self.set_servers(&document.service, listings.collect(), now);
    }

    /// Replaces the backend servers of a service, and drops those that the service no longer has.
    ///
    /// A backend server that joins others that are already in use starts with a small share of
    /// calls.
    pub fn set_servers(&mut self, service: &ServiceId, listings: Vec<Listing>, now: Instant) {
        let known = self.listed.get(service);
        let is_joining = known.is_some_and(|known| !known.is_empty());
        let mut listed = HashSet::new();
        for listing in listings {
            let initial = if is_joining {
                ReplicaState::Ramp(now)
            } else {
                ReplicaState::Active
            };
            let stats = self
                .servers
                .entry(ServerId::clone(&listing.server))
                .or_insert_with(|| ReplicaStats::new(listing.slots, initial));
            stats
                .service_id
                .get_or_insert_with(|| ServiceId::clone(service));
            stats.slots = listing.slots.max(1);
            stats.listed_leaving = listing.leaving;
            stats.set_warmup(listing.warmup, listing.cold, now);
            stats.set_run(listing.born, now);
            stats.set_evacuated(listing.evacuated, now);
            stats.penalty = listing.penalty;
            stats.may_pause = listing.may_pause;
            self.update_limit(&listing.server, now);
            listed.insert(listing.server);
        }
        let previous = self.listed.insert(ServiceId::clone(service), listed);
        self.drop_unlisted(previous.unwrap_or_default());
    }

    /// Drops all services for which `kept` returns `false`, together with their backend servers.
    pub fn retain_services(&mut self, kept: impl Fn(&ServiceId) -> bool) {
        let dropped: Vec<_> = self
            .listed
            .keys()
            .filter(|service| !kept(service))
            .cloned()
            .collect();
        for service in dropped {
            let previous = self.listed.remove(&service);
            self.drop_unlisted(previous.unwrap_or_default());
        }
    }

    /// Returns the service of a backend server; `None` if the server is unknown.
    #[must_use]
    pub fn service(&self, server: &ServerId) -> Option<&ServiceId> {
        let stats = self.servers.get(server)?;
        stats.service_id.as_ref()
    }

    /// Records that a call was sent.
    pub fn on_send(&mut self, server: &ServerId) {
        if let Some(stats) = self.servers.get_mut(server) {
            stats.in_flight += 1;
        }
    }

    /// Records the outcome of a call.
    pub fn on_report(&mut self, server: &ServerId, report: &CallReport, now: Instant) {
        let before = self.state(server);
        let ejected = matches!(before, Some(ReplicaState::Ejected(_)));
        let median = if ejected {
            self.median_latency()
        } else {
            DEFAULT_LATENCY
        };
        let Some(stats) = self.servers.get_mut(server) else {
            return;
        };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        let waited = report
            .queue_len
            .is_some_and(|queue_len| stats.on_queue_report(queue_len, report.queue_wait, now));
        match report.outcome {
            CallOutcome::Done(_) => {
                stats.on_done(report.latency, waited, now);
                let queue_len = report.queue_len.unwrap_or_default();
                let rounds = 1.0 + f64::from(queue_len) / f64::from(stats.slots);
                apply_probe(stats, report.latency.div_f64(rounds), median, now);
            }
            CallOutcome::NotRun(NotRunCause::Leaving) => stats.on_leaving(now),
            outcome if outcome.is_fault() => stats.on_fault(now),
            outcome if outcome.is_refusal() => stats.on_refused(now),
            CallOutcome::NotRun(_) | CallOutcome::Unknown(_) => {}
        }
        if stats.may_be_cold() {
            self.update_limit(server, now);
        }
        self.record_change(server, before, eject_cause(report.outcome));
    }

    /// Records what a backend server stated in its reply to a call that was sent at `sent_at`.
    pub fn on_notice(
        &mut self,
        server: &ServerId,
        notice: ServerNotice,
        sent_at: Instant,
        now: Instant,
    ) {
        let Some(stats) = self.servers.get_mut(server) else {
            return;
        };
        let is_new_limit = stats.set_limit(notice.limit, sent_at, now);
        if let Some(remaining) = notice.cold {
            stats.set_cold(remaining, sent_at, now);
        }
        if stats.on_notice(notice, sent_at, now) {
            self.record_notice(server, notice);
        }
        if is_new_limit {
            if notice.limit == StatedLimit::Unlimited {
                self.unlimited.push((ServerId::clone(server), now));
            }
            self.record_limit(server, notice.limit);
        }
        if is_new_limit || notice.cold.is_some() {
            self.update_limit(server, now);
        }
    }

    /// Returns the time until the first of `replicas` may get calls, apart from their limits: zero if
    /// one may get them now, `None` if none may get any more.
    #[must_use]
    pub fn ready_in(&self, replicas: &[ServerId], now: Instant) -> Option<Duration> {
        let ready_in = |server| match self.servers.get(server) {
            Some(stats) => stats.ready_in(now),
            None => Some(Duration::ZERO),
        };
        replicas.iter().filter_map(ready_in).min()
    }

    /// Records that a call was cancelled after `elapsed` without a reply.
    pub fn on_cancelled(&mut self, server: &ServerId, elapsed: Duration, now: Instant) {
        let before = self.state(server);
        if let Some(stats) = self.servers.get_mut(server) {
            stats.in_flight = stats.in_flight.saturating_sub(1);
            stats.on_cancelled(elapsed, now);
        }
        self.record_change(server, before, EjectCause::Hedges);
    }

    /// Records that a call which was sent at `sent_at` is overdue. The call stays in flight.
    ///
    /// An overdue call is not a fault of the backend server while calls wait in its queue. It is
    /// not a fault either if the backend server has returned rows since `sent_at`, because calls
    /// then wait there that the owner has not reported yet.
    pub fn on_overdue(&mut self, server: &ServerId, sent_at: Instant, now: Instant) {
        let before = self.state(server);
        if let Some(stats) = self.servers.get_mut(server)
            && stats.queue_len(now) < 1.0
            && !stats.returned_rows_since(sent_at)
        {
            stats.on_fault(now);
        }
        self.record_change(server, before, EjectCause::Faults(RetryReason::Timeout));
    }

    /// Records the health state that the health endpoint of a backend server reports.
    pub fn on_health(&mut self, server: &ServerId, health: ReportedHealth, now: Instant) {
        if let Some(stats) = self.servers.get_mut(server) {
            stats.on_health(health, now);
        }
    }

    /// Returns whether a backend server gets calls; `None` if the server is unknown.
    #[must_use]
    pub fn state(&self, server: &ServerId) -> Option<ReplicaState> {
        self.servers.get(server).map(|stats| stats.state)
    }

    /// Returns whether calls wait for a backend server, or the calls of this entry fill its slots.
    #[must_use]
    pub fn is_busy(&self, server: &ServerId, now: Instant) -> bool {
        let busy =
            |stats: &ReplicaStats| stats.queue_len(now) >= 1.0 || stats.in_flight >= stats.slots;
        self.servers.get(server).is_some_and(busy)
    }

    /// Returns how long one more call is expected to wait at the owner.
    #[must_use]
    pub fn queue_wait(&self, server: &ServerId, now: Instant) -> Duration {
        self.servers
            .get(server)
            .map_or(Duration::ZERO, |stats| stats.queue_wait(now))
    }

    /// Returns the estimated time of a call to the best of `replicas`.
    #[must_use]
    pub fn estimate(&self, replicas: &[ServerId], now: Instant) -> WaitEstimate {
        let estimates = self.estimates(replicas, now);
        let fastest = estimates.min_by_key(WaitEstimate::total);
        fastest.unwrap_or_default()
    }

    /// Returns the same for the slowest of the replicas.
    #[must_use]
    pub fn slowest_estimate(&self, replicas: &[ServerId], now: Instant) -> WaitEstimate {
        let estimates = self.estimates(replicas, now);
        let slowest = estimates.max_by_key(WaitEstimate::total);
        slowest.unwrap_or_default()
    }

    /// Returns the estimate of each replica that gets calls.
    fn estimates(&self, replicas: &[ServerId], now: Instant) -> impl Iterator<Item = WaitEstimate> {
        replicas
            .iter()
            .filter_map(|server| self.servers.get(server))
            .filter(|stats| !matches!(stats.state, ReplicaState::Ejected(_)))
            .filter(move |stats| stats.accepts_calls(now))
            .map(move |stats| estimate_server(stats, now))
    }

    /// Returns the median latency of all backend servers that have a sample and are not ejected.
    pub(super) fn median_latency(&self) -> Duration {
        let mut latencies: Vec<_> = self
            .servers
            .values()
            .filter(|stats| !matches!(stats.state, ReplicaState::Ejected(_)))
            .filter_map(ReplicaStats::service)
            .collect();
        if latencies.is_empty() {
            return DEFAULT_LATENCY;
        }
        let middle = latencies.len() / 2;
        *latencies.select_nth_unstable(middle).1
    }

    fn drop_unlisted(&mut self, previous: HashSet<ServerId>) {
        let listed = &self.listed;
        for server in previous {
            if !listed.values().any(|servers| servers.contains(&server)) {
                self.servers.remove(&server);
                self.limited.remove(&server);
            }
        }
    }
}

/// Returns the reason for an ejection after a call with this outcome.
fn eject_cause(outcome: CallOutcome) -> EjectCause {
    let reason = RetryReason::from_outcome(outcome, RequestKind::Fetch);
    reason.map_or(EjectCause::Slow, EjectCause::Faults)
}

/// Readmits an ejected backend server if its probe was about as fast as the other backend servers,
/// apart from the wait at its owner. Otherwise postpones its next probe.
fn apply_probe(stats: &mut ReplicaStats, service: Duration, median: Duration, now: Instant) {
    if !matches!(stats.state, ReplicaState::Ejected(_)) {
        return;
    }
    if service < median.mul_f64(RECOVERED_FACTOR) {
        stats.readmit(now);
    } else {
        stats.postpone_probe(now);
    }
}

fn estimate_server(stats: &ReplicaStats, now: Instant) -> WaitEstimate {
    let service = stats.decayed_service(now);
    WaitEstimate {
        queue_wait: stats.queue_wait(now),
        service,
        queue_len: stats.queue_len(now),
    }
}
