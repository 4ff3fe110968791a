//! Tests of the calls that are sent again, hedged and bounded.

use std::time::Duration;

use yare::parameterized;

use super::{DEADLINE, Rig, document, end, sends, servers, targets, within};
use crate::{
    ids::ServerId,
    policy::{
        EntryTables,
        extra_calls::ExtraCallPolicy,
        gather::{Action, AttemptCause, Gather, GatherSpec, Verdict},
        outcome::{CallOutcome, NotRunCause, UnknownCause},
        replica::{CallReport, ReplicaState},
        retry::RetryReason,
    },
    presets::{HedgePolicy, KindPolicy, RetryPolicy},
    request::{MissingReason, RequestKind},
};

#[test]
fn test_gather_hedges_to_the_other_replica_and_cancels() {
    let mut rig = Rig::new(1, RequestKind::WideSearch, KindPolicy::default());
    let first = servers(&rig.start());
    let actions = rig.timer();
    assert_eq!(sends(&actions), [(1, 0, AttemptCause::Hedge)]);
    assert_ne!(servers(&actions), first);
    let (included, actions) = rig.reply(1, CallOutcome::Done(1));
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
    let mut rig = Rig::new(1, RequestKind::Job, KindPolicy::default());
    rig.start();
    let (_, actions) = rig.reply(0, CallOutcome::Unknown(UnknownCause::Broken));
    assert!(sends(&actions).is_empty());
    assert_eq!(end(&actions).unwrap().verdict, Verdict::Unknown);
    let mut rig = Rig::new(1, RequestKind::Job, KindPolicy::default());
    rig.start();
    let (_, end) = rig.run_out();
    assert_eq!(end.verdict, Verdict::Unknown);
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
    let mut rig = Rig::new(1, RequestKind::Job, KindPolicy::default());
    let first = servers(&rig.start());
    let (_, second) = rig.reply(0, CallOutcome::NotRun(cause));
    assert_eq!(sends(&second), [(1, 0, AttemptCause::Retry(reason))]);
    assert_ne!(servers(&second), first);
    let (_, none) = rig.reply(1, CallOutcome::NotRun(cause));
    assert!(sends(&none).is_empty());
    let third = rig.timer();
    assert_eq!(sends(&third), [(2, 0, AttemptCause::Retry(reason))]);
    let (_, last) = rig.reply(2, CallOutcome::NotRun(cause));
    // Given up at once, long before the deadline, and truthfully not run.
    let end = end(&last).unwrap();
    assert_eq!(end.verdict, Verdict::NotRun);
    assert_eq!(end.coverage.missing[0].reason, missing);
}

#[test]
fn test_gather_owner_changes_need_no_budget() {
    let mut rig = Rig::new(30, RequestKind::WideSearch, KindPolicy::default());
    while rig.tables.retrier.try_spend() {}
    rig.gather.spec.retry.budget = 0.0;
    let first = rig.start();
    for (attempt, _, _) in sends(&first) {
        let (_, retry) = rig.reply(attempt, CallOutcome::NotRun(NotRunCause::NotOwner));
        assert_eq!(sends(&retry).len(), 1);
    }
}

const TIGHT: ExtraCallPolicy = ExtraCallPolicy {
    ratio: 1.0,
    burst: 2.0,
    initial: 0.0,
    max_servers: 2,
};

/// Each service has a budget of its own: a shard that fails uses up its own alone.
#[test]
fn test_gather_repeats_draw_on_the_budget_of_their_service() {
    let mut rig = Rig::new(0, RequestKind::WideSearch, KindPolicy::default());
    let mut shards = targets(2);
    for (target, service) in shards.iter_mut().zip(["a", "b"]) {
        target.service = Some(service.into());
    }
    rig.gather = Gather::new(GatherSpec {
        shards,
        extra_calls: Some(TIGHT),
        hedge: HedgePolicy {
            budget: 0.0,
            ..HedgePolicy::default()
        },
        ..rig.gather.spec.clone()
    });
    rig.start();
    let failed = CallOutcome::Unknown(UnknownCause::BadReply);
    let (_, first) = rig.reply(0, failed);
    assert_eq!(sends(&first).len(), 1, "the one extra call of service a");
    assert!(!rig.tables.extra_calls.try_spend(&"a".into()));
    let (_, second) = rig.reply(1, failed);
    assert_eq!(sends(&second).len(), 1, "service b has its own");
}

/// However often calls are refused, no more backend servers are asked than allowed.
#[test]
fn test_gather_asks_a_bounded_number_of_servers() {
    let mut rig = Rig::new(0, RequestKind::WideSearch, KindPolicy::default());
    let mut shards = targets(1);
    shards[0].replicas.push("shard-0-c".into());
    rig.gather = Gather::new(GatherSpec {
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
        ..rig.gather.spec.clone()
    });
    let mut asked: Vec<ServerId> = Vec::new();
    let mut actions = rig.start();
    while end(&actions).is_none() {
        let mut next = Vec::new();
        for action in &actions {
            if let Action::Send {
                attempt, server, ..
            } = action
            {
                asked.push(ServerId::clone(server));
                let busy = CallOutcome::NotRun(NotRunCause::Busy);
                next.extend(rig.reply(*attempt, busy).1);
            }
        }
        actions = if next.is_empty() { rig.timer() } else { next };
    }
    assert!(asked.len() > 2, "{asked:?}");
    asked.sort();
    asked.dedup();
    assert_eq!(asked.len(), 2);
}

/// Before any latency is known calls are hedged after the time that the request gives.
#[test]
fn test_gather_hedges_before_latencies_are_known() {
    let mut rig = Rig::new(1, RequestKind::WideSearch, within());
    rig.tables = EntryTables::default();
    rig.tables
        .hedger
        .on_first_calls(100, &HedgePolicy::default());
    rig.gather = Gather::new(GatherSpec {
        initial_hedge: Some(Duration::from_millis(20)),
        ..rig.gather.spec.clone()
    });
    rig.start();
    let sent = sends(&rig.timer());
    assert_eq!(rig.now - rig.start, Duration::from_millis(20));
    assert_eq!(sent, [(1, 0, AttemptCause::Hedge)]);
}

/// Load: a service has used up its extra calls, and the search needs its shard; first calls of
/// other requests earn new ones.
#[test]
fn test_gather_awaits_the_budget_for_a_shard_that_it_needs() {
    let policy = KindPolicy {
        coverage: 1.0,
        ..KindPolicy::default()
    };
    let mut rig = Rig::new(0, RequestKind::WideSearch, policy);
    let extra_calls = ExtraCallPolicy {
        ratio: 0.5,
        burst: 1.0,
        initial: 0.0,
        max_servers: 2,
    };
    rig.gather = Gather::new(GatherSpec {
        extra_calls: Some(extra_calls),
        ..rig.gather.spec.clone()
    });
    rig.gather.delegate(vec![0]);
    rig.start();
    assert!(sends(&rig.undelegate(targets(1), true)).is_empty());
    let service = "counter".into();
    rig.tables.extra_calls.on_first_call(&service, &extra_calls);
    rig.tables.extra_calls.on_first_call(&service, &extra_calls);
    let sent = sends(&rig.timer());
    assert_eq!(sent, [(0, 0, AttemptCause::Retry(RetryReason::Timeout))]);
    let (_, actions) = rig.reply(0, CallOutcome::Done(1));
    assert_eq!(end(&actions).unwrap().verdict, Verdict::Answer);
}

/// A request that fails while its probe has no reply may have run there.
#[test]
fn test_gather_open_probe_may_have_run() {
    let mut rig = Rig::new(1, RequestKind::WideSearch, KindPolicy::default());
    let probed = &targets(1)[0].replicas[1];
    rig.tables.replicas.sync(&document(&targets(1)), rig.now);
    let broken = CallReport {
        outcome: CallOutcome::Unknown(UnknownCause::Broken),
        latency: Duration::from_millis(5),
        queue_len: None,
        queue_wait: Duration::ZERO,
    };
    for _ in 0..8 {
        rig.tables.replicas.on_send(probed);
        rig.tables.replicas.on_report(probed, &broken, rig.now);
    }
    let Some(ReplicaState::Ejected(due)) = rig.tables.replicas.state(probed) else {
        panic!("not ejected");
    };
    rig.now = due;
    rig.gather = Gather::new(GatherSpec {
        started: due,
        deadline: due + DEADLINE,
        ..rig.gather.spec.clone()
    });
    let sent = sends(&rig.start());
    assert_eq!(sent[1].2, AttemptCause::Probe, "{sent:?}");
    let refused = CallOutcome::NotRun(NotRunCause::Expired);
    rig.reply(sent[0].0, refused);
    let (_, end) = rig.run_out();
    assert_eq!(end.verdict, Verdict::Unknown);
}
