//! Jobs: at most one run a ticket, and outcomes that agree with the runs.

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
                let detail = "the state of a job came to a search";
                violations.push(Violation::of_call(Rule::Identity, record, detail));
                continue;
            }
        };
        if *id != answer.id {
            let detail = format!("the answer carries the id {}", answer.id);
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
            let detail = "the job is said to be done and never ran";
            violations.push(Violation::of_call(Rule::Identity, record, detail));
        }
        JobState::NotRun(_) if !started.is_empty() => {
            let detail = "the job is said not to have run and ran";
            violations.push(Violation::of_call(Rule::Refusal, record, detail).with_runs(runs));
        }
        _ => {}
    }
}

/// Returns the runs of each job, by its body.
fn started_jobs(runs: &[RunEvent]) -> BTreeMap<&str, Vec<&RunEvent>> {
    let mut jobs = BTreeMap::<_, Vec<_>>::new();
    for run in runs {
        if run.kind == RequestKind::Job && run.step == RunStep::Started {
            jobs.entry(run.body.as_str()).or_default().push(run);
        }
    }
    jobs
}

/// Returns the body that was first submitted under each ticket.
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
