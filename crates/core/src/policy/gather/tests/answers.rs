//! Tests of when a search is answered, and with what.

use std::time::Duration;

use yare::parameterized;

use super::{DEADLINE, Rig, end, sends, within};
use crate::{
    policy::{
        gather::{Action, Gather, Verdict},
        outcome::CallOutcome,
    },
    presets::{AnswerPolicy, KindPolicy},
    request::{MissingReason, RequestKind},
};

#[test]
fn test_gather_answers_with_all_shards() {
    let mut rig = Rig::new(3, RequestKind::WideSearch, KindPolicy::default());
    let first = rig.start();
    assert_eq!(sends(&first).len(), 3);
    for (attempt, _, _) in sends(&first) {
        let (included, actions) = rig.reply(attempt, CallOutcome::Done(1));
        assert!(included);
        let done = attempt == 2;
        assert_eq!(end(&actions).is_some(), done);
        if let Some(end) = end(&actions) {
            assert_eq!(end.verdict, Verdict::Answer);
            assert_eq!(end.coverage.included, [0, 1, 2]);
            assert!(end.coverage.missing.is_empty());
        }
    }
    assert_eq!(rig.gather.next_timer(), None);
    // A reply after the end, or repeated, enters nothing.
    assert!(!rig.reply(1, CallOutcome::Done(1)).0);
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
    let mut rig = Rig::new(2, RequestKind::WideSearch, policy);
    rig.start();
    rig.reply(0, CallOutcome::Done(1));
    let (took, end) = rig.run_out();
    assert_eq!(took, expected);
    assert_eq!(end.coverage.included, [0]);
    assert_eq!(end.coverage.missing[0].reason, reason);
    assert_eq!(end.verdict, Verdict::Answer);
}

#[test]
fn test_gather_refuses_below_least_coverage() {
    let policy = KindPolicy {
        coverage: 0.6,
        ..KindPolicy::default()
    };
    let mut rig = Rig::new(2, RequestKind::WideSearch, policy);
    rig.start();
    rig.reply(0, CallOutcome::Done(1));
    let (_, end) = rig.run_out();
    assert_eq!(end.verdict, Verdict::Unknown);
    assert_eq!(end.coverage.included, [0]);
}

#[parameterized(
    all_in = { 4, 0, Verdict::Answer },
    enough = { 3, 50, Verdict::Answer },
    too_few = { 2, 400, Verdict::Unknown },
)]
fn test_gather_answers_within_a_time(included: u32, millis: u64, verdict: Verdict) {
    let mut rig = Rig::new(4, RequestKind::WideSearch, within());
    rig.start();
    let mut finish = None;
    for attempt in 0..included {
        finish = end(&rig.reply(attempt, CallOutcome::Done(1)).1);
    }
    let (time, end) = match finish {
        Some(end) => (Duration::ZERO, end),
        None => rig.run_out(),
    };
    assert_eq!(time, Duration::from_millis(millis));
    assert_eq!(end.verdict, verdict);
}

/// A reply after the time completes the share, and the answer does not wait any longer.
#[test]
fn test_gather_answers_late_once_the_share_is_reached() {
    let mut rig = Rig::new(4, RequestKind::WideSearch, within());
    rig.start();
    rig.reply(0, CallOutcome::Done(1));
    rig.reply(1, CallOutcome::Done(1));
    rig.now = rig.start + Duration::from_millis(80);
    let (_, actions) = rig.reply(2, CallOutcome::Done(1));
    assert_eq!(end(&actions).unwrap().coverage.included, [0, 1, 2]);
}

/// A gather that nobody waits for ends at once with what is in, and cancels the rest.
#[test]
fn test_gather_answer_now_cancels_the_rest() {
    let policy = KindPolicy {
        coverage: 1.0,
        ..KindPolicy::default()
    };
    let mut rig = Rig::new(3, RequestKind::WideSearch, policy);
    rig.start();
    assert!(rig.reply(1, CallOutcome::Done(1)).0);
    let actions = rig.step(Gather::answer_now);
    let is_cancel = |action: &&Action| matches!(action, Action::Cancel { .. });
    assert_eq!(actions.iter().filter(is_cancel).count(), 2);
    let end = end(&actions).unwrap();
    assert_eq!(end.coverage.included, [1]);
    assert_eq!(end.verdict, Verdict::Unknown);
    assert_eq!(rig.gather.next_timer(), None);
}
