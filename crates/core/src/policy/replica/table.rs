//! The table of backend servers that one entry learns about.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use super::{
    event::{EjectCause, ReplicaEvent},
    stats::{ReplicaState, ReplicaStats, ReportedHealth},
};
use crate::{
    ids::{ServerId, ServiceId},
    index::{IndexDocument, ServerState},
    policy::{
        outcome::{CallOutcome, NotRunCause},
        retry::RetryReason,
    },
    request::RequestKind,
};

/// The latency assumed of backend servers before any was seen.
const FIRST_GUESS: Duration = Duration::from_millis(5);
/// The factor over the best replica from which a probe's latency does not count as recovered.
const RECOVERED_FACTOR: f64 = 3.0;

/// The backend servers that one entry learns about.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    pub(super) servers: HashMap<ServerId, ReplicaStats>,
    /// Changes in standing that were not taken yet.
    pub(super) events: Vec<ReplicaEvent>,
    listed: HashMap<ServiceId, HashSet<ServerId>>,
}

/// One backend server of a service, as the platform lists it.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The backend server.
    pub server: ServerId,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// What is added to its expected latency when replicas are compared; the price of the way to
    /// another data centre.
    pub penalty: Duration,
    /// Whether it pauses now and then while it is sound, so that calls which were under way
    /// together and lost to their hedges count as one loss.
    pub may_pause: bool,
}

/// What came of one shard call.
#[derive(Clone, Copy, Debug)]
pub struct CallReport {
    /// What came of it.
    pub outcome: CallOutcome,
    /// How long it took, as the entry saw it.
    pub latency: Duration,
    /// The calls that waited at the owner when it replied; none when the owner did not reply.
    pub queue_len: Option<u32>,
    /// How long the owner expects one more call to wait; zero when it has not learned that.
    pub queue_wait: Duration,
}

/// The expected time until a shard call is done.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitEstimate {
    /// The wait in the owner's queue.
    pub queue_wait: Duration,
    /// The latency apart from that wait.
    pub service: Duration,
    /// The calls that wait in that queue.
    pub queue_len: f64,
}

impl ReplicaTable {
    /// Takes over the backend servers of an index document and forgets those that it dropped.
    pub fn sync(&mut self, document: &IndexDocument, now: Instant) {
        let listings = document.servers.iter().map(|entry| Listing {
            server: ServerId::clone(&entry.id),
            slots: entry.slots,
            leaving: entry.state == ServerState::Leaving,
            penalty: Duration::ZERO,
            may_pause: false,
        });
        self.set_servers(&document.service, listings.collect(), now);
    }

    /// Takes over the backend servers of a service and forgets those that it no longer has.
    ///
    /// A backend server that joins others which are in use already starts with a small share.
    pub fn set_servers(&mut self, service: &ServiceId, listings: Vec<Listing>, now: Instant) {
        let known = self.listed.get(service);
        let joins = known.is_some_and(|known| !known.is_empty());
        let mut listed = HashSet::new();
        for listing in listings {
            let initial = if joins {
                ReplicaState::Ramp(now)
            } else {
                ReplicaState::Active
            };
            let stats = self
                .servers
                .entry(ServerId::clone(&listing.server))
                .or_insert_with(|| ReplicaStats::new(listing.slots, initial));
            stats.slots = listing.slots.max(1);
            stats.listed_leaving = listing.leaving;
            stats.penalty = listing.penalty;
            stats.may_pause = listing.may_pause;
            listed.insert(listing.server);
        }
        let former = self.listed.insert(ServiceId::clone(service), listed);
        self.forget(former.unwrap_or_default());
    }

    /// Forgets the services that are not in `kept`, and their backend servers.
    pub fn retain_services(&mut self, kept: impl Fn(&ServiceId) -> bool) {
        let dropped: Vec<_> = self
            .listed
            .keys()
            .filter(|one| !kept(one))
            .cloned()
            .collect();
        for service in dropped {
            let former = self.listed.remove(&service);
            self.forget(former.unwrap_or_default());
        }
    }

    /// Notes that a call was sent.
    pub fn on_send(&mut self, server: &ServerId) {
        if let Some(stats) = self.servers.get_mut(server) {
            stats.in_flight += 1;
        }
    }

    /// Notes what came of a call.
    pub fn on_report(&mut self, server: &ServerId, report: &CallReport, now: Instant) {
        let before = self.state(server);
        let ejected = matches!(before, Some(ReplicaState::Ejected(_)));
        let usual = if ejected { self.usual() } else { FIRST_GUESS };
        let Some(stats) = self.servers.get_mut(server) else {
            return;
        };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        let waited = report
            .queue_len
            .is_some_and(|queued| stats.on_queue(queued, report.queue_wait, now));
        match report.outcome {
            CallOutcome::Done(_) => {
                stats.on_done(report.latency, waited, now);
                let queued = report.queue_len.unwrap_or_default();
                let turns = 1.0 + f64::from(queued) / f64::from(stats.slots);
                review_probe(stats, report.latency.div_f64(turns), usual, now);
            }
            CallOutcome::NotRun(NotRunCause::Leaving) => stats.on_leaving(now),
            outcome if outcome.is_fault() => stats.on_fault(now),
            outcome if outcome.is_refusal() => stats.on_refused(now),
            CallOutcome::NotRun(_) | CallOutcome::Unknown(_) => {}
        }
        self.note_change(server, before, cause_of(report.outcome));
    }

    /// Notes that a call was cancelled after `elapsed` without a reply.
    pub fn on_cancelled(&mut self, server: &ServerId, elapsed: Duration, now: Instant) {
        let before = self.state(server);
        if let Some(stats) = self.servers.get_mut(server) {
            stats.in_flight = stats.in_flight.saturating_sub(1);
            stats.on_cancelled(elapsed, now);
        }
        self.note_change(server, before, EjectCause::Hedges);
    }

    /// Notes that a call which was sent at `sent` is overdue; it stays in flight.
    ///
    /// While calls wait for the backend server that is no fault of its own, nor when it gave rows
    /// since: calls then wait that the owner had not told of yet.
    pub fn on_overdue(&mut self, server: &ServerId, sent: Instant, now: Instant) {
        let before = self.state(server);
        if let Some(stats) = self.servers.get_mut(server)
            && stats.queue(now) < 1.0
            && !stats.gave_rows_since(sent)
        {
            stats.on_fault(now);
        }
        self.note_change(server, before, EjectCause::Faults(RetryReason::Timeout));
    }

    /// Notes what a backend server's health endpoint claims.
    pub fn on_health(&mut self, server: &ServerId, claim: ReportedHealth, now: Instant) {
        if let Some(stats) = self.servers.get_mut(server) {
            stats.on_health(claim, now);
        }
    }

    /// Returns whether a backend server gets calls; none when it is not known.
    #[must_use]
    pub fn state(&self, server: &ServerId) -> Option<ReplicaState> {
        self.servers.get(server).map(|stats| stats.state)
    }

    /// Returns whether calls wait for a backend server, or this entry fills its slots.
    #[must_use]
    pub fn is_busy(&self, server: &ServerId, now: Instant) -> bool {
        let busy = |stats: &ReplicaStats| stats.queue(now) >= 1.0 || stats.in_flight >= stats.slots;
        self.servers.get(server).is_some_and(busy)
    }

    /// Returns how long one more call is expected to wait at the owner.
    #[must_use]
    pub fn wait(&self, server: &ServerId, now: Instant) -> Duration {
        self.servers
            .get(server)
            .map_or(Duration::ZERO, |stats| stats.wait(now))
    }

    /// Returns the expected time of a call to the best of `replicas`.
    #[must_use]
    pub fn estimate(&self, replicas: &[ServerId], now: Instant) -> WaitEstimate {
        replicas
            .iter()
            .filter_map(|server| self.servers.get(server))
            .filter(|stats| !matches!(stats.state, ReplicaState::Ejected(_)))
            .filter(|stats| !stats.is_leaving(now))
            .map(|stats| estimate_one(stats, now))
            .min_by(|a, b| (a.queue_wait + a.service).cmp(&(b.queue_wait + b.service)))
            .unwrap_or_default()
    }

    /// Returns the median latency over all backend servers that were seen and are not ejected.
    pub(super) fn usual(&self) -> Duration {
        let mut seen: Vec<_> = self
            .servers
            .values()
            .filter(|stats| !matches!(stats.state, ReplicaState::Ejected(_)))
            .filter_map(ReplicaStats::service)
            .collect();
        if seen.is_empty() {
            return FIRST_GUESS;
        }
        let middle = seen.len() / 2;
        *seen.select_nth_unstable(middle).1
    }

    fn forget(&mut self, former: HashSet<ServerId>) {
        let listed = &self.listed;
        for server in former {
            if !listed.values().any(|servers| servers.contains(&server)) {
                self.servers.remove(&server);
            }
        }
    }
}

/// Returns why a backend server is ejected after calls with this outcome.
fn cause_of(outcome: CallOutcome) -> EjectCause {
    let reason = RetryReason::from_outcome(outcome, RequestKind::Fetch);
    reason.map_or(EjectCause::Slow, EjectCause::Faults)
}

/// Lets an ejected backend server return when it is about as fast as the others, apart from the
/// wait at its owner.
fn review_probe(stats: &mut ReplicaStats, service: Duration, usual: Duration, now: Instant) {
    if !matches!(stats.state, ReplicaState::Ejected(_)) {
        return;
    }
    if service < usual.mul_f64(RECOVERED_FACTOR) {
        stats.readmit(now);
    } else {
        stats.postpone_probe(now);
    }
}

fn estimate_one(stats: &ReplicaStats, now: Instant) -> WaitEstimate {
    let service = stats.least_service(now);
    WaitEstimate {
        queue_wait: stats.wait(now),
        service,
        queue_len: stats.queue(now),
    }
}
