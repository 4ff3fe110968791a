//! Checks that a request whose refusal says that it did not run did not run.

use cassialift_core::request::ExecutionStatus;

use super::{Call, CallEnd, CallRecord, History, Rule, Violation};
use crate::standin::backend::{RunEvent, RunStep};

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    for record in &history.calls {
        let CallEnd::Refused(refusal) = &record.end else {
            continue;
        };
        let (id, body) = match &record.call {
            Call::Search(request) => (&request.id, &request.query),
            Call::Job(request) => (&request.id, &request.body),
            // A request for an outcome runs nothing itself.
            Call::Outcome(_) => continue,
        };
        if refusal.id.as_ref().is_some_and(|refused| refused != id) {
            let detail = "the refusal has the id of another request";
            violations.push(Violation::of_call(Rule::Identity, record, detail));
        }
        if refusal.ran != ExecutionStatus::NotRun {
            continue;
        }
        let is_own = |run: &&RunEvent| run.step == RunStep::Started && run.body == *body;
        if let Some(run) = history.runs.iter().find(is_own) {
            if may_be_other_submission(history, &record.call) {
                continue;
            }
            let detail = "the request is reported as not run, but it ran";
            let violation = Violation::of_call(Rule::Refusal, record, detail);
            violations.push(violation.with_runs(vec![run.clone()]));
        }
    }
}

/// Returns whether the run may belong to another submission of the same ticket and body, one that
/// was not refused as not run.
fn may_be_other_submission(history: &History, call: &Call) -> bool {
    let Call::Job(request) = call else {
        return false;
    };
    let not_refused = |other: &CallRecord| match (&other.call, &other.end) {
        (_, CallEnd::Refused(refusal)) if refusal.ran == ExecutionStatus::NotRun => false,
        (Call::Job(other), _) => other.ticket == request.ticket && other.body == request.body,
        (Call::Search(_) | Call::Outcome(_), _) => false,
    };
    history.calls.iter().any(not_refused)
}
