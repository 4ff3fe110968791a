//! Checks that the checker finds the violated rule in each invalid history and none in a valid one.

mod broken;

use cassialift_core::request::RequestKind;
use cassialift_testkit::{
    history::{Disturbance, DisturbanceTarget, History, Rule, Violation},
    standin::backend::{RunEnd, RunStep},
};
use yare::parameterized;

use broken::{SECOND, address, run, with_leaving};

/// Returns the violated rules without consecutive repetitions.
fn rules(violations: &[Violation]) -> Vec<Rule> {
    let mut rules: Vec<Rule> = violations.iter().map(|found| found.rule).collect();
    rules.dedup();
    rules
}

#[parameterized(
    mixed_versions = { broken::mixed_versions(), Rule::Snapshot },
    unpublished_version = { broken::unpublished_version(), Rule::Snapshot },
    included_without_rows = { broken::included_without_rows(), Rule::Coverage },
    missing_unstated = { broken::missing_unstated(), Rule::Coverage },
    crossed_rows = { broken::crossed_rows(), Rule::Identity },
    truncated_rows = { broken::truncated_rows(), Rule::Identity },
    crossed_id = { broken::crossed_id(), Rule::Identity },
    job_twice = { broken::job_twice(), Rule::AtMostOnce },
    job_done_and_never_ran = { broken::job_done_and_never_ran(), Rule::Identity },
    job_outcome_of_another = { broken::job_outcome_of_another(), Rule::Identity },
    job_not_run_and_ran = { broken::job_not_run_and_ran(), Rule::Refusal },
    job_refused_and_ran = { broken::job_refused_and_ran(), Rule::Refusal },
    search_refused_and_ran = { broken::search_refused_and_ran(), Rule::Refusal },
    cut_off = { broken::cut_off(), Rule::InFlight },
    address_closed = { broken::address_closed(), Rule::Address },
    unreadable = { broken::unreadable(), Rule::InFlight },
    leaving_with_late_work = { broken::leaving_with_late_work(), Rule::Leaving },
    reverted = { broken::reverted(), Rule::ConfigOrder },
    of_a_former_preset = { broken::of_a_former_preset(), Rule::ConfigOrder },
    not_settled = { broken::not_settled(), Rule::ConfigDelay },
)]
fn test_checker_finds(history: History, rule: Rule) {
    let violations = history.check();
    assert_eq!(rules(&violations), [rule], "{violations:?}");
    let text = violations[0].to_string();
    assert!(
        text.contains("  call ") || text.contains("  run "),
        "{text}"
    );
}

#[test]
fn test_checker_accepts_a_whole_history() {
    assert_eq!(broken::valid().check(), []);
}

#[test]
fn test_checker_accepts_what_was_disturbed() {
    let mut history = broken::cut_off();
    history.disturbances.push(Disturbance {
        target: DisturbanceTarget::Process(address()),
        from: SECOND,
        until: Some(SECOND),
    });
    assert_eq!(history.check(), []);
    let done = RunStep::Ended(RunEnd::Done);
    let ended = run(RequestKind::Fetch, "query", 5 * SECOND, done);
    assert_eq!(with_leaving(ended).check(), []);
    let early = run(RequestKind::Fetch, "query", 3 * SECOND, RunStep::Started);
    assert_eq!(with_leaving(early).check(), []);
}
