//! Violated rules and the records that show each violation.

use displaydoc::Display;

use super::CallRecord;
use crate::standin::backend::RunEvent;

/// An invariant that every history must satisfy; the doc comment of a variant is its text in
/// reports.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Rule {
    /// every answer is drawn from one snapshot
    Snapshot,
    /// every answer states its coverage truthfully
    Coverage,
    /// each caller receives the whole answer to its own request
    Identity,
    /// a request that is not idempotent runs at most once
    AtMostOnce,
    /// a request that is reported as not run did not run
    Refusal,
    /// no request in flight is cut off
    InFlight,
    /// an address is served for as long as callers may use it
    Address,
    /// a leaving backend server receives no new work
    Leaving,
    /// no process reverts to an older configuration revision
    ConfigOrder,
    /// each configuration revision becomes active everywhere in time
    ConfigDelay,
}

/// A violation of one rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// A description of what was observed.
    pub detail: String,
    /// A minimal set of calls that shows the violation.
    pub calls: Vec<CallRecord>,
    /// The runs that show the violation.
    pub runs: Vec<RunEvent>,
}

impl Violation {
    pub(super) fn of_call(rule: Rule, call: &CallRecord, detail: impl Into<String>) -> Self {
        Self {
            rule,
            detail: detail.into(),
            calls: vec![call.clone()],
            runs: Vec::new(),
        }
    }

    pub(super) fn of_runs(rule: Rule, runs: Vec<RunEvent>, detail: impl Into<String>) -> Self {
        Self {
            rule,
            detail: detail.into(),
            calls: Vec::new(),
            runs,
        }
    }

    pub(super) fn with_runs(mut self, runs: Vec<RunEvent>) -> Self {
        self.runs = runs;
        self
    }
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "broken: {}: {}", self.rule, self.detail)?;
        for call in &self.calls {
            writeln!(
                f,
                "  call {}",
                serde_json::to_string(call).unwrap_or_default()
            )?;
        }
        for run in &self.runs {
            writeln!(
                f,
                "  run {}",
                serde_json::to_string(run).unwrap_or_default()
            )?;
        }
        Ok(())
    }
}
