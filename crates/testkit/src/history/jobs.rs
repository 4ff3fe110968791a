//! Checks that each ticket's job runs at most once and that reported outcomes agree with the runs.

use std::collections::{BTreeMap, HashMap};

use cassialift_core::request::RequestKind;
use cassialift_wire::caller::JobState;

use super::{Call, CallEnd, CallRecord, History, Rule, Violation};
use crate::standin::backend::{RunEvent, RunStep, job_rows};

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    let runs = started_jobs(&history.runs);
    let bodies = bodies(history);
    for (body, started) in &runs {
        if started.len() > 1 {
            let detail = format!("the job {body} was run {} times", started.len());
            let runs = started.iter().map(|run| (*run).clone()).collect();
            violations.push(Violation::of_runs(Rule::AtMostOnce, runs, detail));
        }
    }
    for record in &history.calls {
        let CallEnd::Job(answer) = &record.end else {
            continue;
        };
        let (id, ticket) = match &record.call {
            Call::Job(request) => (&request.id, &request.ticket),
            Call::Outcome(request) => (&request.id, &request.ticket),
            Call::Search(_) => {
                let detail = "a job state was returned for a search";
                violations.push(Violation::of_call(Rule::Identity, record, detail));
                continue;
            }
        };
        if *id != answer.id {
            let detail = format!(
                "the answer has the id {}, not that of the request",
                answer.id
            );
            violations.push(Violation::of_call(Rule::Identity, record, detail));
        }
        let Some(body) = bodies.get(ticket.as_str()) else {
            continue;
        };
        let started = runs.get(*body).map(Vec::as_slice).unwrap_or_default();
        check_state(record, &answer.state, body, started, violations);
    }
}

fn check_state(
    record: &CallRecord,
    state: &JobState,
    body: &str,
    started: &[&RunEvent],
    violations: &mut Vec<Violation>,
) {
    let runs: Vec<RunEvent> = started.iter().map(|run| (*run).clone()).collect();
    match state {
        JobState::Done(rows) if *rows != job_rows(body) => {
            let detail = "the outcome is that of another job";
            violations.push(Violation::of_call(Rule::Identity, record, detail));
        }
        JobState::Done(_) if started.is_empty() => {
            let detail = "the job is reported as done but never ran";
            violations.push(Violation::of_call(Rule::Identity, record, detail));
        }
        JobState::NotRun(_) if !started.is_empty() => {
            let detail = "the job is reported as not run, but it ran";
            violations.push(Violation::of_call(Rule::Refusal, record, detail).with_runs(runs));
        }
        _ => {}
    }
}

/// Returns the start events of each job, keyed by the body of the job.
fn started_jobs(runs: &[RunEvent]) -> BTreeMap<&str, Vec<&RunEvent>> {
    let mut jobs = BTreeMap::<_, Vec<_>>::new();
    for run in runs {
        if run.kind == RequestKind::Job && run.step == RunStep::Started {
            jobs.entry(run.body.as_str()).or_default().push(run);
        }
    }
    jobs
}

/// Returns the body that was submitted first with each ticket, keyed by the ticket.
fn bodies(history: &History) -> HashMap<&str, &str> {
    let mut bodies = HashMap::new();
    for record in &history.calls {
        if let Call::Job(request) = &record.call {
            let entry = bodies.entry(request.ticket.as_str());
            entry.or_insert(request.body.as_str());
        }
    }
    bodies
}
