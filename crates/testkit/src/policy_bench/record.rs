//! What a run left behind, and the figures drawn from it.

use std::{collections::BTreeMap, time::Duration};

use cassialift_core::request::{RequestKind, Urgency};

/// How one request ended.
#[derive(Clone, Copy, Debug)]
pub struct CompletedRequest {
    /// The service.
    pub service: usize,
    /// The kind.
    pub kind: RequestKind,
    /// When it came, since the beginning of the run.
    pub started: Duration,
    /// How long it took.
    pub latency: Duration,
    /// The time that it had.
    pub allowed: Duration,
    /// How it ended.
    pub end: RequestEnd,
    /// The shards included.
    pub included: u32,
    /// The shards asked for.
    pub total: u32,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// With an answer.
    Answered,
    /// Refused before anything was sent.
    Shed,
    /// With too few shards, none of which ran.
    NotRun,
    /// With too few shards.
    Failed,
}

/// What a run left behind.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// The requests.
    pub completed: Vec<CompletedRequest>,
    /// First calls by second.
    pub first_calls: BTreeMap<u64, u64>,
    /// Hedges, retries and probes by second.
    pub extra_calls: BTreeMap<u64, u64>,
    /// The slot time that calls took of the first service's backend servers, by second.
    pub busy_time: BTreeMap<u64, Duration>,
    /// Calls that reached backend servers, by second.
    pub server_calls: BTreeMap<u64, u64>,
    /// Calls that backend servers refused for want of a free slot, by second.
    pub busy_refusals: BTreeMap<u64, u64>,
    /// Connections opened to backend servers, by second.
    pub opened_connections: BTreeMap<u64, u64>,
    /// The requests that came.
    pub offered_requests: u64,
    /// Answers with rows of two index versions, or of another than stated.
    pub mixed_answers: u64,
    /// Refusals that claim that nothing ran although something did.
    pub false_refusals: u64,
    /// Answers whose coverage differs from their rows.
    pub false_coverage: u64,
    /// Requests that may not be repeated and ran more than once.
    pub repeated_runs: u64,
    /// Requests that ended after their deadline.
    pub late_ends: u64,
    /// Requests that were started over on a newer index version.
    pub restarts: u64,
}

/// A stretch of a run.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Its beginning.
    pub from: Duration,
    /// Its end.
    pub to: Duration,
}

impl Window {
    /// Makes a window of whole seconds.
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

    /// Returns the sum of counts by second.
    #[must_use]
    pub fn sum(self, counts: &BTreeMap<u64, u64>) -> u64 {
        self.seconds()
            .filter_map(|second| counts.get(&second))
            .sum()
    }
}

impl Record {
    /// Returns the requests of a kind that came in a window to the first service.
    pub fn requests(
        &self,
        kind: RequestKind,
        window: Window,
    ) -> impl Iterator<Item = &CompletedRequest> {
        let wanted = move |request: &&CompletedRequest| {
            request.service == 0 && request.kind == kind && window.contains(request.started)
        };
        self.completed.iter().filter(wanted)
    }

    /// Returns a quantile of the latency of wide searches in milliseconds.
    ///
    /// A request that was taken on and got no answer counts with all the time that it had.
    #[must_use]
    pub fn wide_latency_ms(&self, quantile: f64, window: Window) -> f64 {
        let taken = self.requests(RequestKind::WideSearch, window);
        let taken = taken.filter(|request| request.end != RequestEnd::Shed);
        let mut times: Vec<_> = taken
            .map(|request| match request.end {
                RequestEnd::Answered => request.latency,
                _ => request.allowed,
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

    /// Returns the mean coverage of the wide searches that came, those without answer with none.
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

    /// Returns the extra calls as a share of the first calls.
    #[must_use]
    pub fn extra_share(&self, window: Window) -> f64 {
        ratio(window.sum(&self.extra_calls), window.sum(&self.first_calls))
    }

    /// Returns the calls that reached backend servers for each shard that was asked for by the
    /// requests taken on.
    #[must_use]
    pub fn calls_per_shard(&self, window: Window) -> f64 {
        let taken = self
            .completed
            .iter()
            .filter(|request| window.contains(request.started) && request.end != RequestEnd::Shed);
        let asked = taken.map(|request| u64::from(request.total)).sum();
        ratio(window.sum(&self.server_calls), asked)
    }

    /// Returns the share of calls that backend servers refused for want of a free slot.
    #[must_use]
    pub fn refused_share(&self, window: Window) -> f64 {
        ratio(
            window.sum(&self.busy_refusals),
            window.sum(&self.server_calls),
        )
    }

    /// Returns the slot time a row set that went into an answer of the first service.
    #[must_use]
    pub fn slot_time_per_row(&self, window: Window) -> Duration {
        let busy: Duration = window
            .seconds()
            .filter_map(|second| self.busy_time.get(&second))
            .sum();
        let answered = self.completed.iter().filter(|request| {
            request.service == 0
                && request.end == RequestEnd::Answered
                && window.contains(request.started + request.latency)
        });
        let rows: u32 = answered.map(|request| request.included).sum();
        busy / rows.max(1)
    }

    /// Returns the shard calls a second that went into answers of the first service to urgent
    /// requests.
    #[must_use]
    pub fn urgent_goodput(&self, window: Window) -> f64 {
        let urgent = self.completed.iter().filter(|request| {
            request.service == 0
                && request.kind.urgency() == Urgency::Urgent
                && request.end == RequestEnd::Answered
                && window.contains(request.started + request.latency)
        });
        let calls: u64 = urgent.map(|request| u64::from(request.included)).sum();
        ratio(calls, 1) / window.to.saturating_sub(window.from).as_secs_f64()
    }

    /// Returns how many requests came and never ended.
    #[must_use]
    pub fn lost_requests(&self) -> u64 {
        self.offered_requests
            .saturating_sub(self.completed.len() as u64)
    }

    /// Returns how many statements were untrue and how many promises were broken.
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

/// Divides counts.
#[must_use]
pub fn ratio(part: u64, whole: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    let ratio = part as f64 / whole.max(1) as f64;
    ratio
}
