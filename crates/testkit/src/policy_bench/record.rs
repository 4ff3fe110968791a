//! The measurements of a run and the figures derived from them.

use std::{collections::BTreeMap, time::Duration};

use cassialift_core::request::{RequestKind, Urgency};

/// A request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct CompletedRequest {
    /// The index of the service in its deployment.
    pub service: usize,
    /// The kind of the request.
    pub kind: RequestKind,
    /// The arrival time, since the start of the run.
    pub started_at: Duration,
    /// The time from the arrival to the end.
    pub latency: Duration,
    /// The time from the arrival to the deadline.
    pub time_limit: Duration,
    /// How the request ended.
    pub end: RequestEnd,
    /// The number of shards included in the answer.
    pub included: u32,
    /// The number of requested shards.
    pub total: u32,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// The request was answered.
    Answered,
    /// Admission control refused the request before any call was sent.
    Shed,
    /// Too few shards replied, and the request ran on no backend server.
    NotRun,
    /// Too few shards replied although the request may have run, or the entry VM was killed.
    Failed,
}

/// The measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// The requests that have ended.
    pub completed: Vec<CompletedRequest>,
    /// First calls to each shard of a request, by second.
    pub first_calls: BTreeMap<u64, u64>,
    /// Hedges, retries and probes by second.
    pub extra_calls: BTreeMap<u64, u64>,
    /// Slot time that calls used on backend servers of the first service, by second.
    pub busy_time: BTreeMap<u64, Duration>,
    /// Calls that reached backend servers, by second.
    pub server_calls: BTreeMap<u64, u64>,
    /// Calls that backend servers refused because no slot was free, by second.
    pub busy_refusals: BTreeMap<u64, u64>,
    /// Connections opened to backend servers, by second.
    pub opened_connections: BTreeMap<u64, u64>,
    /// The number of requests that arrived.
    pub offered_requests: u64,
    /// The number of answers with rows of two index versions, or of another version than stated.
    pub mixed_answers: u64,
    /// The number of refusals that state that nothing ran although a call did run.
    pub false_refusals: u64,
    /// The number of ended requests whose stated coverage differs from their rows or shards.
    pub false_coverage: u64,
    /// The number of non-idempotent requests that ran more than once.
    pub repeated_runs: u64,
    /// The number of requests that ended after their deadline.
    pub late_ends: u64,
    /// The number of restarts of requests on a newer index version.
    pub restarts: u64,
}

/// An interval of a run.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// The start of the interval, since the start of the run.
    pub from: Duration,
    /// The end of the interval (exclusive), since the start of the run.
    pub to: Duration,
}

impl Window {
    /// Returns a window of whole seconds.
    #[must_use]
    pub const fn secs(from: u64, to: u64) -> Self {
        Self {
            from: Duration::from_secs(from),
            to: Duration::from_secs(to),
        }
    }

    fn contains(self, time: Duration) -> bool {
        self.from <= time && time < self.to
    }

    fn seconds(self) -> std::ops::Range<u64> {
        self.from.as_secs()..self.to.as_secs()
    }

    /// Returns the sum of the counts by second that fall into the window.
    #[must_use]
    pub fn sum(self, counts: &BTreeMap<u64, u64>) -> u64 {
        self.seconds()
            .filter_map(|second| counts.get(&second))
            .sum()
    }
}

impl Record {
    /// Returns the requests of a kind to the first service that arrived in a window.
    pub fn requests(
        &self,
        kind: RequestKind,
        window: Window,
    ) -> impl Iterator<Item = &CompletedRequest> {
        let is_selected = move |request: &&CompletedRequest| {
            request.service == 0 && request.kind == kind && window.contains(request.started_at)
        };
        self.completed.iter().filter(is_selected)
    }

    /// Returns a quantile of the latency of wide searches in milliseconds, or infinity without any
    /// admitted search in the window.
    ///
    /// An admitted search without an answer counts with its full time limit.
    #[must_use]
    pub fn wide_latency_ms(&self, quantile: f64, window: Window) -> f64 {
        let admitted = self.requests(RequestKind::WideSearch, window);
        let admitted = admitted.filter(|request| request.end != RequestEnd::Shed);
        let mut times: Vec<_> = admitted
            .map(|request| match request.end {
                RequestEnd::Answered => request.latency,
                _ => request.time_limit,
            })
            .collect();
        if times.is_empty() {
            return f64::INFINITY;
        }
        times.sort_unstable();
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "counts are far below 2^52"
        )]
        let rank = ((times.len() as f64 * quantile).ceil() as usize).clamp(1, times.len());
        times[rank - 1].as_secs_f64() * 1e3
    }

    /// Returns the mean coverage of the wide searches that arrived in a window.
    ///
    /// Searches without an answer count as zero.
    #[must_use]
    pub fn coverage(&self, window: Window) -> f64 {
        let shares = self
            .requests(RequestKind::WideSearch, window)
            .map(|request| match request.end {
                RequestEnd::Answered => f64::from(request.included) / f64::from(request.total),
                _ => 0.0,
            });
        let (sum, count) =
            shares.fold((0.0, 0.0), |(sum, count), share| (sum + share, count + 1.0));
        if count == 0.0 { 0.0 } else { sum / count }
    }

    /// Returns the ratio of extra calls to first calls.
    #[must_use]
    pub fn extra_share(&self, window: Window) -> f64 {
        ratio(window.sum(&self.extra_calls), window.sum(&self.first_calls))
    }

    /// Returns the number of calls that reached backend servers for each shard that admitted
    /// requests asked for.
    #[must_use]
    pub fn calls_per_shard(&self, window: Window) -> f64 {
        let admitted = self.completed.iter().filter(|request| {
            window.contains(request.started_at) && request.end != RequestEnd::Shed
        });
        let shards = admitted.map(|request| u64::from(request.total)).sum();
        ratio(window.sum(&self.server_calls), shards)
    }

    /// Returns the share of calls that backend servers refused because no slot was free.
    #[must_use]
    pub fn refused_share(&self, window: Window) -> f64 {
        ratio(
            window.sum(&self.busy_refusals),
            window.sum(&self.server_calls),
        )
    }

    /// Returns the slot time for each shard result that an answer of the first service includes.
    #[must_use]
    pub fn slot_time_per_row(&self, window: Window) -> Duration {
        let busy: Duration = window
            .seconds()
            .filter_map(|second| self.busy_time.get(&second))
            .sum();
        let answered = self.completed.iter().filter(|request| {
            request.service == 0
                && request.end == RequestEnd::Answered
                && window.contains(request.started_at + request.latency)
        });
        let rows: u32 = answered.map(|request| request.included).sum();
        busy / rows.max(1)
    }

    /// Returns the number of shard results a second that answers to urgent requests of the first
    /// service include.
    #[must_use]
    pub fn urgent_goodput(&self, window: Window) -> f64 {
        let urgent = self.completed.iter().filter(|request| {
            request.service == 0
                && request.kind.urgency() == Urgency::Urgent
                && request.end == RequestEnd::Answered
                && window.contains(request.started_at + request.latency)
        });
        let results: u64 = urgent.map(|request| u64::from(request.included)).sum();
        ratio(results, 1) / window.to.saturating_sub(window.from).as_secs_f64()
    }

    /// Returns the number of requests that arrived and never ended.
    #[must_use]
    pub fn lost_requests(&self) -> u64 {
        self.offered_requests
            .saturating_sub(self.completed.len() as u64)
    }

    /// Returns the number of violated guarantees: false statements, repeated runs, late ends and
    /// lost requests.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.mixed_answers
            + self.false_refusals
            + self.false_coverage
            + self.repeated_runs
            + self.late_ends
            + self.lost_requests()
    }
}

/// Returns `part / whole`, with a `whole` of zero counted as one.
#[must_use]
pub fn ratio(part: u64, whole: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    let ratio = part as f64 / whole.max(1) as f64;
    ratio
}
