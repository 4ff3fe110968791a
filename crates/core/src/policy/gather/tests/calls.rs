//! Tests of retries, hedges and their limits.

use std::time::Duration;

use yare::parameterized;

use super::{DEADLINE, Harness, document, end, sends, servers, targets, within_policy};
use crate::{
    ids::ServerId,
    policy::{
        EntryTables,
        extra_calls::ExtraCallPolicy,
        gather::{Action, AttemptCause, Gather, GatherOutcome, GatherSpec},
        outcome::{CallOutcome, NotRunCause, UnknownCause},
        replica::{CallReport, ReplicaState},
        retry::RetryReason,
    },
    presets::{HedgePolicy, KindPolicy, RetryPolicy},
    request::{MissingReason, RequestKind},
};

#[test]
fn test_gather_hedges_to_the_other_replica_and_cancels() {
    let mut harness = Harness::new(1, RequestKind::WideSearch, KindPolicy::default());
    let first = servers(&harness.start());
    let actions = harness.timer();
    assert_eq!(sends(&actions), [(1, 0, AttemptCause::Hedge)]);
    assert_ne!(servers(&actions), first);
    let (included, actions) = harness.reply(1, CallOutcome::Done(1));
    assert!(included);
    let cancelled = Action::Cancel {
        attempt: 0,
        server: ServerId::clone(&first[0]),
    };
    assert!(actions.contains(&cancelled), "{actions:?}");
    assert!(end(&actions).is_some());
}

#[test]
fn test_gather_never_repeats_what_may_have_run() {
    let mut harness = Harness::new(1, RequestKind::Job, KindPolicy::default());
    harness.start();
    let (_, actions) = harness.reply(0, CallOutcome::Unknown(UnknownCause::Broken));
    assert!(sends(&actions).is_empty());
    assert_eq!(end(&actions).unwrap().outcome, GatherOutcome::Unknown);
    let mut harness = Harness::new(1, RequestKind::Job, KindPolicy::default());
    harness.start();
    let (_, end) = harness.run_to_end();
    assert_eq!(end.outcome, GatherOutcome::Unknown);
    assert_eq!(end.coverage.missing[0].reason, MissingReason::Deadline);
}

#[parameterized(
    busy = { NotRunCause::Busy, RetryReason::Busy, MissingReason::Busy },
    connect = { NotRunCause::Connect, RetryReason::Connect, MissingReason::Unreachable },
    owner = { NotRunCause::NotOwner, RetryReason::NotOwner, MissingReason::NoOwner },
)]
fn test_gather_retries_what_was_not_run(
    cause: NotRunCause,
    reason: RetryReason,
    missing: MissingReason,
) {
    let mut harness = Harness::new(1, RequestKind::Job, KindPolicy::default());
    let first = servers(&harness.start());
    let (_, second) = harness.reply(0, CallOutcome::NotRun(cause));
    assert_eq!(sends(&second), [(1, 0, AttemptCause::Retry(reason))]);
    assert_ne!(servers(&second), first);
    let (_, none) = harness.reply(1, CallOutcome::NotRun(cause));
    assert!(sends(&none).is_empty());
    let third = harness.timer();
    assert_eq!(sends(&third), [(2, 0, AttemptCause::Retry(reason))]);
    let (_, last) = harness.reply(2, CallOutcome::NotRun(cause));
    // The shard is given up at once, long before the deadline, and is reported as not run.
    let end = end(&last).unwrap();
    assert_eq!(end.outcome, GatherOutcome::NotRun);
    assert_eq!(end.coverage.missing[0].reason, missing);
}

#[test]
fn test_gather_owner_changes_need_no_budget() {
    let mut harness = Harness::new(30, RequestKind::WideSearch, KindPolicy::default());
    while harness.tables.retrier.try_spend() {}
    harness.gather.spec.retry.budget = 0.0;
    let first = harness.start();
    for (attempt, _, _) in sends(&first) {
        let (_, retry) = harness.reply(attempt, CallOutcome::NotRun(NotRunCause::NotOwner));
        assert_eq!(sends(&retry).len(), 1);
    }
}

const ONE_EXTRA_CALL: ExtraCallPolicy = ExtraCallPolicy {
    ratio: 1.0,
    burst: 2.0,
    initial: 0.0,
    max_servers: 2,
};

/// Each service has its own budget: retries of a failing shard use up only the budget of its
/// service.
#[test]
fn test_gather_retries_use_the_budget_of_their_service() {
    let mut harness = Harness::new(0, RequestKind::WideSearch, KindPolicy::default());
    let mut shards = targets(2);
    for (target, service) in shards.iter_mut().zip(["a", "b"]) {
        target.service = Some(service.into());
    }
    harness.gather = Gather::new(GatherSpec {
        shards,
        extra_calls: Some(ONE_EXTRA_CALL),
        hedge: HedgePolicy {
            budget: 0.0,
            ..HedgePolicy::default()
        },
        ..harness.gather.spec.clone()
    });
    harness.start();
    let failed = CallOutcome::Unknown(UnknownCause::BadReply);
    let (_, first) = harness.reply(0, failed);
    assert_eq!(sends(&first).len(), 1, "the one extra call of service a");
    assert!(!harness.tables.extra_calls.try_spend(&"a".into()));
    let (_, second) = harness.reply(1, failed);
    assert_eq!(sends(&second).len(), 1, "service b has its own");
}

/// Retries of refused calls do not raise the number of called backend servers above the limit.
#[test]
fn test_gather_calls_a_limited_number_of_servers() {
    let mut harness = Harness::new(0, RequestKind::WideSearch, KindPolicy::default());
    let mut shards = targets(1);
    shards[0].replicas.push("shard-0-c".into());
    harness.gather = Gather::new(GatherSpec {
        shards,
        extra_calls: Some(ExtraCallPolicy {
            burst: 100.0,
            ratio: 50.0,
            initial: 0.0,
            max_servers: 2,
        }),
        retry: RetryPolicy {
            attempts: 16,
            budget: 1.0,
        },
        ..harness.gather.spec.clone()
    });
    let mut called: Vec<ServerId> = Vec::new();
    let mut actions = harness.start();
    while end(&actions).is_none() {
        let mut next = Vec::new();
        for action in &actions {
            if let Action::Send {
                attempt, server, ..
            } = action
            {
                called.push(ServerId::clone(server));
                let busy = CallOutcome::NotRun(NotRunCause::Busy);
                next.extend(harness.reply(*attempt, busy).1);
            }
        }
        actions = if next.is_empty() {
            harness.timer()
        } else {
            next
        };
    }
    assert!(called.len() > 2, "{called:?}");
    called.sort();
    called.dedup();
    assert_eq!(called.len(), 2);
}

/// Calls are hedged after the delay of the request before any latency is known.
#[test]
fn test_gather_hedges_before_latencies_are_known() {
    let mut harness = Harness::new(1, RequestKind::WideSearch, within_policy());
    harness.tables = EntryTables::default();
    harness
        .tables
        .hedger
        .on_first_calls(100, &HedgePolicy::default());
    harness.gather = Gather::new(GatherSpec {
        initial_hedge: Some(Duration::from_millis(20)),
        ..harness.gather.spec.clone()
    });
    harness.start();
    let sent = sends(&harness.timer());
    assert_eq!(harness.now - harness.start, Duration::from_millis(20));
    assert_eq!(sent, [(1, 0, AttemptCause::Hedge)]);
}

/// Guards against failing a search because the budget of extra calls for a shard that it needs is
/// used up: first calls of other requests earn new extra calls in time.
#[test]
fn test_gather_awaits_the_budget_for_a_shard_that_it_needs() {
    let policy = KindPolicy {
        coverage: 1.0,
        ..KindPolicy::default()
    };
    let mut harness = Harness::new(0, RequestKind::WideSearch, policy);
    let extra_calls = ExtraCallPolicy {
        ratio: 0.5,
        burst: 1.0,
        initial: 0.0,
        max_servers: 2,
    };
    harness.gather = Gather::new(GatherSpec {
        extra_calls: Some(extra_calls),
        ..harness.gather.spec.clone()
    });
    harness.gather.delegate(vec![0]);
    harness.start();
    assert!(sends(&harness.undelegate(targets(1), true)).is_empty());
    let service = "counter".into();
    harness
        .tables
        .extra_calls
        .on_first_call(&service, &extra_calls);
    harness
        .tables
        .extra_calls
        .on_first_call(&service, &extra_calls);
    let sent = sends(&harness.timer());
    assert_eq!(sent, [(0, 0, AttemptCause::Retry(RetryReason::Timeout))]);
    let (_, actions) = harness.reply(0, CallOutcome::Done(1));
    assert_eq!(end(&actions).unwrap().outcome, GatherOutcome::Answer);
}

/// A request that fails while its probe is pending may have run there.
#[test]
fn test_gather_open_probe_may_have_run() {
    let mut harness = Harness::new(1, RequestKind::WideSearch, KindPolicy::default());
    let probed = &targets(1)[0].replicas[1];
    harness
        .tables
        .replicas
        .sync(&document(&targets(1)), harness.now);
    let broken = CallReport {
        outcome: CallOutcome::Unknown(UnknownCause::Broken),
        latency: Duration::from_millis(5),
        queue_len: None,
        queue_wait: Duration::ZERO,
    };
    for _ in 0..8 {
        harness.tables.replicas.on_send(probed);
        harness
            .tables
            .replicas
            .on_report(probed, &broken, harness.now);
    }
    let Some(ReplicaState::Ejected(due)) = harness.tables.replicas.state(probed) else {
        panic!("not ejected");
    };
    harness.now = due;
    harness.gather = Gather::new(GatherSpec {
        started_at: due,
        deadline: due + DEADLINE,
        ..harness.gather.spec.clone()
    });
    let sent = sends(&harness.start());
    assert_eq!(sent[1].2, AttemptCause::Probe, "{sent:?}");
    let refused = CallOutcome::NotRun(NotRunCause::Expired);
    harness.reply(sent[0].0, refused);
    let (_, end) = harness.run_to_end();
    assert_eq!(end.outcome, GatherOutcome::Unknown);
}
