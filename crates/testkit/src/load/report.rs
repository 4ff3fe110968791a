//! What came of a history's calls, for people.

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
    /// Searches and fetches that were asked.
    pub searches: u64,
    /// Those that were answered.
    pub answers: u64,
    /// Those whose answer included every shard.
    pub complete: u64,
    /// Shards asked for in answered searches.
    pub asked: u64,
    /// Shards included in answers.
    pub included: u64,
    /// Submissions of jobs and questions for outcomes.
    pub submissions: u64,
    /// Jobs that backend servers ran.
    pub jobs: u64,
    /// Runs of searches at backend servers.
    pub runs: u64,
    /// How the calls ended, by name.
    pub ends: BTreeMap<String, u64>,
    /// Latencies of answers in microseconds, p50, p99 and the largest.
    pub latency: [u64; 3],
    /// The broken rules.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Summarises a history; latencies are those given.
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
        *self.ends.entry(end_name(&record.end)).or_default() += 1;
        if !matches!(record.call, Call::Search(_)) {
            self.submissions += 1;
            return;
        }
        self.searches += 1;
        if let CallEnd::Answer(answer) = &record.end {
            let (included, missing) = (&answer.coverage.included, &answer.coverage.missing);
            self.answers += 1;
            self.complete += u64::from(missing.is_empty());
            self.included += included.len() as u64;
            self.asked += (included.len() + missing.len()) as u64;
        }
    }

    fn count_run(&mut self, run: &RunEvent) {
        if run.step != RunStep::Started {
            return;
        }
        match run.kind {
            RequestKind::Job => self.jobs += 1,
            _ => self.runs += 1,
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
            self.complete, self.included, self.asked
        )?;
        writeln!(f, "latency:  p50 {p50} us, p99 {p99} us, largest {max} us")?;
        writeln!(
            f,
            "load:     {} runs for {} shards asked",
            self.runs, self.asked
        )?;
        writeln!(
            f,
            "jobs:     {} submissions, {} runs",
            self.submissions, self.jobs
        )?;
        for (end, count) in &self.ends {
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
