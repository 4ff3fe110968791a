//! The log lines of a request: one for its end, and one for each decision that led to it.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::{Duration, Instant},
};

use cassialift_core::request::{Coverage, MissingShard};
use log::Level;
use serde::Serialize;

use super::{
    decision::{Decisions, RecordedDecision, millis},
    fan_out::{FanOutResult, SendCounts},
};
use crate::logging::log_request;

/// One in this many successful requests is logged with its decisions: a few a second on a loaded
/// VM.
const SAMPLE_INTERVAL: u64 = 16;

/// The data that is logged for a request.
#[derive(Debug)]
pub(super) struct Trace {
    pub(super) started_at: Instant,
    pub(super) id: String,
    pub(super) route: String,
    /// The latency objective of the route; zero if only the deadline counts.
    pub(super) objective: Duration,
    /// The operators' version of the configuration that the request ran under.
    pub(super) version: u64,
    /// The platform's revision of that configuration.
    pub(super) revision: u64,
    /// The size of the request's body as this VM has it, in bytes.
    pub(super) body_bytes: usize,
    pub(super) counts: SendCounts,
    pub(super) coverage: Coverage,
    pub(super) decisions: Decisions,
}

/// The end of a request, as the log records it.
#[derive(Clone, Copy, Debug)]
pub(super) struct TraceEnd<'a> {
    /// `end` on the VM that received the caller's request, `partial` on a VM that searched shards
    /// for it.
    pub(super) event: &'a str,
    /// The HTTP status; zero on a VM that searched shards for another.
    pub(super) status: u16,
    /// Why the request ended.
    pub(super) reason: &'a str,
    pub(super) took: Duration,
}

/// The log line of a request's end.
#[derive(Serialize)]
struct EndLine<'a> {
    event: &'a str,
    id: &'a str,
    route: &'a str,
    status: u16,
    end: &'a str,
    took_ms: u64,
    objective_ms: u64,
    config: u64,
    revision: u64,
    body_bytes: usize,
    shards_in: usize,
    missing: &'a [MissingShard],
    #[serde(flatten)]
    counts: SendCounts,
}

/// The log line of a decision.
#[derive(Serialize)]
struct DecisionLine<'a> {
    id: &'a str,
    #[serde(flatten)]
    recorded: &'a RecordedDecision,
}

impl Trace {
    pub(super) fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            id: String::new(),
            route: String::new(),
            objective: Duration::ZERO,
            version: 0,
            revision: 0,
            body_bytes: 0,
            counts: SendCounts::default(),
            coverage: Coverage::default(),
            decisions: Decisions::default(),
        }
    }

    /// Adds the calls and decisions of a result, and takes over its coverage.
    pub(super) fn add(&mut self, result: &mut FanOutResult) {
        self.counts.add(result.counts);
        self.decisions.append(std::mem::take(&mut result.decisions));
        self.coverage = result.end.coverage.clone();
    }

    /// Logs the end of the request, and its decisions if it failed, was late, lacks shards or is
    /// sampled.
    pub(super) fn log(&self, end: TraceEnd<'_>) {
        let failed = end.status >= 500;
        let level = if failed { Level::Warn } else { Level::Info };
        let missing = &self.coverage.missing;
        let late = !self.objective.is_zero() && end.took > self.objective;
        if failed || late || !missing.is_empty() || self.is_sampled() {
            for recorded in self.decisions.iter() {
                if failed && missing.is_empty() || recorded.explains(missing) {
                    let id = &self.id;
                    log_request(level, &DecisionLine { id, recorded });
                }
            }
        }
        let line = EndLine {
            event: end.event,
            id: &self.id,
            route: &self.route,
            status: end.status,
            end: end.reason,
            took_ms: millis(end.took),
            objective_ms: millis(self.objective),
            config: self.version,
            revision: self.revision,
            body_bytes: self.body_bytes,
            shards_in: self.coverage.included.len(),
            missing,
            counts: self.counts,
        };
        log_request(level, &line);
    }

    /// Returns whether the request is sampled, so that its decisions are always logged; all VMs
    /// that handle the request agree.
    fn is_sampled(&self) -> bool {
        let mut hasher = DefaultHasher::new();
        self.id.hash(&mut hasher);
        hasher.finish().is_multiple_of(SAMPLE_INTERVAL)
    }
}
