//! Tests of shards that another VM asks.

use super::{Rig, end, sends, targets, within};
use crate::{
    policy::{
        gather::{AttemptCause, Verdict},
        outcome::CallOutcome,
    },
    request::RequestKind,
};

/// Two shards are asked here, two by another VM; shares and times count all four.
#[test]
fn test_gather_counts_delegated_shards() {
    let mut rig = Rig::new(2, RequestKind::WideSearch, within());
    rig.gather.delegate(vec![2, 3]);
    assert_eq!(sends(&rig.start()).len(), 2);
    rig.reply(0, CallOutcome::Done(1));
    assert!(end(&rig.reply(1, CallOutcome::Done(1)).1).is_none());
    let (taken, actions) = rig.delegated(&[2, 3]);
    let end = end(&actions).unwrap();
    assert!(taken);
    assert_eq!(end.verdict, Verdict::Answer);
    assert_eq!(end.coverage.included, [0, 1, 2, 3]);
}

#[test]
fn test_gather_names_delegated_shards_that_are_missing() {
    let mut rig = Rig::new(3, RequestKind::WideSearch, within());
    rig.gather.delegate(vec![3]);
    rig.start();
    for attempt in 0..3 {
        rig.reply(attempt, CallOutcome::Done(1));
    }
    let (_, end) = rig.run_out();
    assert_eq!(end.coverage.included, [0, 1, 2]);
    assert_eq!(end.coverage.missing[0].shard, 3);
    let (taken, _) = rig.delegated(&[3]);
    assert!(!taken, "the answer has gone out");
}

#[test]
fn test_gather_adopts_what_another_vm_did_not_include() {
    let mut rig = Rig::new(1, RequestKind::WideSearch, within());
    let far = targets(3).split_off(1);
    rig.gather.delegate(vec![1, 2]);
    rig.start();
    rig.delegated(&[1]);
    let sent = sends(&rig.undelegate(far[1..].to_vec(), false));
    assert_eq!(sent, [(1, 2, AttemptCause::First)]);
    rig.reply(0, CallOutcome::Done(1));
    let (included, actions) = rig.reply(1, CallOutcome::Done(1));
    assert!(included);
    assert_eq!(end(&actions).unwrap().coverage.included, [0, 1, 2]);
}
