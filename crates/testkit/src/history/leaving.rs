//! Checks that a leaving backend server receives no new work after the leaving limit.

use super::{DisturbanceTarget, History, Rule, Violation};
use crate::standin::backend::RunStep;

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    let limit = u64::try_from(history.expected.leaving_limit.as_micros()).unwrap_or(u64::MAX);
    for disturbance in &history.disturbances {
        let DisturbanceTarget::Server(server) = &disturbance.target else {
            continue;
        };
        let late = history.runs.iter().find(|run| {
            run.server == *server
                && !matches!(run.step, RunStep::Ended(_))
                && run.at > disturbance.from.saturating_add(limit)
                && disturbance.until.is_none_or(|until| run.at < until)
        });
        if let Some(run) = late {
            let elapsed = run.at - disturbance.from;
            let detail = format!("{server} received work {elapsed} us after it began to leave");
            violations.push(Violation::of_runs(Rule::Leaving, vec![run.clone()], detail));
        }
    }
}
