//! What a run left behind, and the figures drawn from it.

use std::{collections::BTreeMap, time::Duration};

use cassialift_core::request::{RequestKind, Urgency};

/// How one request ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
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
    pub end: End,
    /// The shards included.
    pub included: u32,
    /// The shards asked for.
    pub total: u32,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
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
    pub ended: Vec<Ended>,
    /// First calls by second.
    pub first: BTreeMap<u64, u64>,
    /// Hedges, retries and probes by second.
    pub extra: BTreeMap<u64, u64>,
    /// The slot time that calls took of the first service's backend servers, by second.
    pub busy: BTreeMap<u64, Duration>,
    /// Calls that reached backend servers, by second.
    pub sent: BTreeMap<u64, u64>,
    /// Calls that backend servers refused for want of a free slot, by second.
    pub busy_refusals: BTreeMap<u64, u64>,
    /// Connections opened to backend servers, by second.
    pub opened: BTreeMap<u64, u64>,
    /// The requests that came.
    pub offered: u64,
    /// Answers with rows of two index versions, or of another than stated.
    pub mixed: u64,
    /// Refusals that claim that nothing ran although something did.
    pub untrue: u64,
    /// Answers whose coverage differs from their rows.
    pub uncovered: u64,
    /// Requests that may not be repeated and ran more than once.
    pub repeated: u64,
    /// Requests that ended after their deadline.
    pub late: u64,
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

    fn holds(self, time: Duration) -> bool {
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
    pub fn of(&self, kind: RequestKind, window: Window) -> impl Iterator<Item = &Ended> {
        let wanted = move |ended: &&Ended| {
            ended.service == 0 && ended.kind == kind && window.holds(ended.started)
        };
        self.ended.iter().filter(wanted)
    }

    /// Returns a quantile of the latency of wide searches in milliseconds.
    ///
    /// A request that was taken on and got no answer counts with all the time that it had.
    #[must_use]
    pub fn wide_quantile(&self, quantile: f64, window: Window) -> f64 {
        let taken = self.of(RequestKind::WideSearch, window);
        let taken = taken.filter(|ended| ended.end != End::Shed);
        let mut times: Vec<_> = taken
            .map(|ended| match ended.end {
                End::Answered => ended.latency,
                _ => ended.allowed,
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
            .of(RequestKind::WideSearch, window)
            .map(|ended| match ended.end {
                End::Answered => f64::from(ended.included) / f64::from(ended.total),
                _ => 0.0,
            });
        let (sum, count) =
            shares.fold((0.0, 0.0), |(sum, count), share| (sum + share, count + 1.0));
        if count == 0.0 { 0.0 } else { sum / count }
    }

    /// Returns the extra calls as a share of the first calls.
    #[must_use]
    pub fn extra_share(&self, window: Window) -> f64 {
        ratio(window.sum(&self.extra), window.sum(&self.first))
    }

    /// Returns the calls that reached backend servers for each shard that was asked for by the
    /// requests taken on.
    #[must_use]
    pub fn calls_a_shard(&self, window: Window) -> f64 {
        let taken = self
            .ended
            .iter()
            .filter(|ended| window.holds(ended.started) && ended.end != End::Shed);
        let asked = taken.map(|ended| u64::from(ended.total)).sum();
        ratio(window.sum(&self.sent), asked)
    }

    /// Returns the share of calls that backend servers refused for want of a free slot.
    #[must_use]
    pub fn refused_share(&self, window: Window) -> f64 {
        ratio(window.sum(&self.busy_refusals), window.sum(&self.sent))
    }

    /// Returns the slot time a row set that went into an answer of the first service.
    #[must_use]
    pub fn slot_time(&self, window: Window) -> Duration {
        let busy: Duration = window
            .seconds()
            .filter_map(|second| self.busy.get(&second))
            .sum();
        let answered = self.ended.iter().filter(|ended| {
            ended.service == 0
                && ended.end == End::Answered
                && window.holds(ended.started + ended.latency)
        });
        let rows: u32 = answered.map(|ended| ended.included).sum();
        busy / rows.max(1)
    }

    /// Returns the shard calls a second that went into answers of the first service to urgent
    /// requests.
    #[must_use]
    pub fn urgent_goodput(&self, window: Window) -> f64 {
        let urgent = self.ended.iter().filter(|ended| {
            ended.service == 0
                && ended.kind.urgency() == Urgency::Urgent
                && ended.end == End::Answered
                && window.holds(ended.started + ended.latency)
        });
        let calls: u64 = urgent.map(|ended| u64::from(ended.included)).sum();
        ratio(calls, 1) / window.to.saturating_sub(window.from).as_secs_f64()
    }

    /// Returns how many requests came and never ended.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.offered.saturating_sub(self.ended.len() as u64)
    }

    /// Returns how many statements were untrue and how many promises were broken.
    #[must_use]
    pub fn broken(&self) -> u64 {
        self.mixed + self.untrue + self.uncovered + self.repeated + self.late + self.lost()
    }
}

/// Divides counts.
#[must_use]
pub fn ratio(part: u64, whole: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    let ratio = part as f64 / whole.max(1) as f64;
    ratio
}
