//! Tests of the time and the content of answers.

use std::time::Duration;

use yare::parameterized;

use super::{DEADLINE, Harness, end, sends, within_policy};
use crate::{
    policy::{
        gather::{Action, Gather, GatherOutcome},
        outcome::CallOutcome,
    },
    presets::{AnswerPolicy, KindPolicy},
    request::{MissingReason, RequestKind},
};

#[test]
fn test_gather_answers_with_all_shards() {
    let mut harness = Harness::new(3, RequestKind::WideSearch, KindPolicy::default());
    let first = harness.start();
    assert_eq!(sends(&first).len(), 3);
    for (attempt, _, _) in sends(&first) {
        let (included, actions) = harness.reply(attempt, CallOutcome::Done(1));
        assert!(included);
        let done = attempt == 2;
        assert_eq!(end(&actions).is_some(), done);
        if let Some(end) = end(&actions) {
            assert_eq!(end.outcome, GatherOutcome::Answer);
            assert_eq!(end.coverage.included, [0, 1, 2]);
            assert!(end.coverage.missing.is_empty());
        }
    }
    assert_eq!(harness.gather.next_timer(), None);
    // A reply after the end, or a repeated one, is not included.
    assert!(!harness.reply(1, CallOutcome::Done(1)).0);
}

#[parameterized(
    wait = { AnswerPolicy::Wait, DEADLINE, MissingReason::Deadline },
    early = { AnswerPolicy::Early { share: 0.5, after: 0.6 }, DEADLINE.mul_f64(0.6), MissingReason::Early },
)]
fn test_gather_waits_or_answers_early(
    answer: AnswerPolicy,
    expected: Duration,
    reason: MissingReason,
) {
    let policy = KindPolicy {
        answer,
        ..KindPolicy::default()
    };
    let mut harness = Harness::new(2, RequestKind::WideSearch, policy);
    harness.start();
    harness.reply(0, CallOutcome::Done(1));
    let (elapsed, end) = harness.run_to_end();
    assert_eq!(elapsed, expected);
    assert_eq!(end.coverage.included, [0]);
    assert_eq!(end.coverage.missing[0].reason, reason);
    assert_eq!(end.outcome, GatherOutcome::Answer);
}

#[test]
fn test_gather_refuses_below_least_coverage() {
    let policy = KindPolicy {
        coverage: 0.6,
        ..KindPolicy::default()
    };
    let mut harness = Harness::new(2, RequestKind::WideSearch, policy);
    harness.start();
    harness.reply(0, CallOutcome::Done(1));
    let (_, end) = harness.run_to_end();
    assert_eq!(end.outcome, GatherOutcome::Unknown);
    assert_eq!(end.coverage.included, [0]);
}

#[parameterized(
    all_in = { 4, 0, GatherOutcome::Answer },
    enough = { 3, 50, GatherOutcome::Answer },
    too_few = { 2, 400, GatherOutcome::Unknown },
)]
fn test_gather_answers_within_a_time(included: u32, millis: u64, outcome: GatherOutcome) {
    let mut harness = Harness::new(4, RequestKind::WideSearch, within_policy());
    harness.start();
    let mut finish = None;
    for attempt in 0..included {
        finish = end(&harness.reply(attempt, CallOutcome::Done(1)).1);
    }
    let (time, end) = match finish {
        Some(end) => (Duration::ZERO, end),
        None => harness.run_to_end(),
    };
    assert_eq!(time, Duration::from_millis(millis));
    assert_eq!(end.outcome, outcome);
}

/// A reply that arrives after the given time and completes the share ends the search at once.
#[test]
fn test_gather_answers_late_once_the_share_is_reached() {
    let mut harness = Harness::new(4, RequestKind::WideSearch, within_policy());
    harness.start();
    harness.reply(0, CallOutcome::Done(1));
    harness.reply(1, CallOutcome::Done(1));
    harness.now = harness.start + Duration::from_millis(80);
    let (_, actions) = harness.reply(2, CallOutcome::Done(1));
    assert_eq!(end(&actions).unwrap().coverage.included, [0, 1, 2]);
}

/// A search that no caller waits for ends at once and cancels its pending calls.
#[test]
fn test_gather_answer_now_cancels_the_rest() {
    let policy = KindPolicy {
        coverage: 1.0,
        ..KindPolicy::default()
    };
    let mut harness = Harness::new(3, RequestKind::WideSearch, policy);
    harness.start();
    assert!(harness.reply(1, CallOutcome::Done(1)).0);
    let actions = harness.step(Gather::answer_now);
    let is_cancel = |action: &&Action| matches!(action, Action::Cancel { .. });
    assert_eq!(actions.iter().filter(is_cancel).count(), 2);
    let end = end(&actions).unwrap();
    assert_eq!(end.coverage.included, [1]);
    assert_eq!(end.outcome, GatherOutcome::Unknown);
    assert_eq!(harness.gather.next_timer(), None);
}
