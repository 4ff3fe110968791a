//! A human-readable summary of a history.

use std::{collections::BTreeMap, fmt};

use cassialift_core::request::RequestKind;
use cassialift_wire::caller::JobState;
use hdrhistogram::Histogram;

use crate::{
    history::{Call, CallEnd, CallRecord, History, Violation},
    standin::backend::{RunEvent, RunStep},
};

/// A summary of a history.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The number of searches and fetches sent.
    pub searches: u64,
    /// The number of searches and fetches that were answered.
    pub answers: u64,
    /// The number of answers that included every requested shard.
    pub complete_answers: u64,
    /// The number of shards requested in answered searches and fetches.
    pub requested_shards: u64,
    /// The number of shards included in answers.
    pub included_shards: u64,
    /// The number of submissions of jobs and requests for outcomes.
    pub submissions: u64,
    /// The number of job runs at backend servers.
    pub job_runs: u64,
    /// The number of runs of searches and fetches at backend servers.
    pub search_runs: u64,
    /// The number of calls with each result, by the result's name.
    pub end_counts: BTreeMap<String, u64>,
    /// The p50, p99 and maximum latency of answers, in microseconds.
    pub latency: [u64; 3],
    /// The violations of the rules of histories.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Summarises a history, with latencies recorded by the load generator.
    #[must_use]
    pub fn new(history: &History, latencies: &Histogram<u64>) -> Self {
        let mut report = Self {
            latency: [
                latencies.value_at_quantile(0.5),
                latencies.value_at_quantile(0.99),
                latencies.max(),
            ],
            violations: history.check(),
            ..Self::default()
        };
        for record in &history.calls {
            report.count_call(record);
        }
        for run in &history.runs {
            report.count_run(run);
        }
        report
    }

    fn count_call(&mut self, record: &CallRecord) {
        *self.end_counts.entry(end_name(&record.end)).or_default() += 1;
        if !matches!(record.call, Call::Search(_)) {
            self.submissions += 1;
            return;
        }
        self.searches += 1;
        if let CallEnd::Answer(answer) = &record.end {
            let (included, missing) = (&answer.coverage.included, &answer.coverage.missing);
            self.answers += 1;
            self.complete_answers += u64::from(missing.is_empty());
            self.included_shards += included.len() as u64;
            self.requested_shards += (included.len() + missing.len()) as u64;
        }
    }

    fn count_run(&mut self, run: &RunEvent) {
        if run.step != RunStep::Started {
            return;
        }
        match run.kind {
            RequestKind::Job => self.job_runs += 1,
            _ => self.search_runs += 1,
        }
    }
}

fn end_name(end: &CallEnd) -> String {
    match end {
        CallEnd::Answer(_) => String::from("answered"),
        CallEnd::Refused(refusal) => format!("refused {:?} ({:?})", refusal.reason, refusal.ran),
        CallEnd::NoConnection => String::from("no connection"),
        CallEnd::Broken(_) => String::from("broken"),
        CallEnd::Unreadable(_) => String::from("unreadable"),
        CallEnd::Job(answer) => match &answer.state {
            JobState::Done(_) => String::from("job done"),
            JobState::NotRun(reason) => format!("job not run {reason:?}"),
            JobState::Unknown(reason) => format!("job unknown {reason:?}"),
            JobState::Running => String::from("job running"),
            JobState::Unused => String::from("job unused"),
        },
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [p50, p99, max] = self.latency;
        writeln!(
            f,
            "searches: {} asked, {} answered",
            self.searches, self.answers
        )?;
        writeln!(
            f,
            "coverage: {} answers complete, {} of {} shards",
            self.complete_answers, self.included_shards, self.requested_shards
        )?;
        writeln!(f, "latency:  p50 {p50} us, p99 {p99} us, largest {max} us")?;
        writeln!(
            f,
            "load:     {} runs for {} shards asked",
            self.search_runs, self.requested_shards
        )?;
        writeln!(
            f,
            "jobs:     {} submissions, {} runs",
            self.submissions, self.job_runs
        )?;
        for (end, count) in &self.end_counts {
            writeln!(f, "  {count:>8} {end}")?;
        }
        if self.violations.is_empty() {
            return writeln!(f, "invariants: all held");
        }
        writeln!(f, "invariants: {} broken", self.violations.len())?;
        for violation in &self.violations {
            write!(f, "{violation}")?;
        }
        Ok(())
    }
}
