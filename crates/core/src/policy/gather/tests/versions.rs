//! Tests of index versions that change during a search.

use super::{DEADLINE, Harness, end, sends};
use crate::{
    policy::{
        gather::{Action, AttemptCause, GatherOutcome},
        outcome::{CallOutcome, NotRunCause},
        retry::RetryReason,
    },
    presets::KindPolicy,
    request::{MissingReason, RequestKind},
};

#[test]
fn test_gather_restarts_whole_on_newer_version() {
    let mut harness = Harness::new(2, RequestKind::WideSearch, KindPolicy::default());
    harness.start();
    assert!(harness.reply(0, CallOutcome::Done(1)).0);
    let gone = CallOutcome::NotRun(NotRunCause::VersionGone(2));
    let (_, retry) = harness.reply(1, gone);
    let attempt = sends(&retry)[0].0;
    let (_, stall) = harness.reply(attempt, gone);
    assert!(stall.contains(&Action::Stall { version: 1 }));
    let again = harness.restart(2, 3);
    let shards: Vec<_> = sends(&again).iter().map(|send| send.1).collect();
    assert_eq!(shards, [0, 1, 2]);
    // A late reply of the old version is not included.
    assert!(!harness.reply(0, CallOutcome::Done(1)).0);
    for (attempt, _, _) in sends(&again) {
        let (included, actions) = harness.reply(attempt, CallOutcome::Done(2));
        assert!(included);
        if let Some(end) = end(&actions) {
            assert_eq!((end.version, end.coverage.included.len()), (2, 3));
        }
    }
    assert!(harness.gather.is_ended());
}

#[test]
fn test_gather_drops_rows_of_another_version() {
    let mut harness = Harness::new(1, RequestKind::WideSearch, KindPolicy::default());
    harness.start();
    let (included, actions) = harness.reply(0, CallOutcome::Done(2));
    assert!(!included);
    let cause = AttemptCause::Retry(RetryReason::VersionGone);
    assert_eq!(sends(&actions), [(1, 0, cause)]);
}

#[test]
fn test_gather_stalled_ends_at_deadline() {
    let mut harness = Harness::new(1, RequestKind::WideSearch, KindPolicy::default());
    harness.start();
    for attempt in [0, 1] {
        harness.reply(attempt, CallOutcome::NotRun(NotRunCause::VersionGone(2)));
    }
    let (elapsed, end) = harness.run_to_end();
    assert_eq!(elapsed, DEADLINE);
    assert_eq!(end.outcome, GatherOutcome::NotRun);
    assert_eq!(end.coverage.missing[0].reason, MissingReason::VersionGone);
}
