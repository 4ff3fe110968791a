//! Tests of scatter-gather.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use super::{Action, AttemptCause, Context, Gather, GatherEnd, GatherSpec, ShardTarget, Verdict};
use crate::{
    ids::{AttemptId, IndexVersion, ServerId, ShardId},
    index::{IndexDocument, ServerEntry, ServerState},
    policy::{
        EntryTables,
        outcome::{CallOutcome, NotRunCause, UnknownCause},
        repeat::RepeatPolicy,
        replica::{CallReport, Standing},
        retry::RetryReason,
    },
    presets::{AnswerPolicy, HedgePolicy, KindPolicy, RetryPolicy},
    request::{MissingReason, RequestKind},
    time::Millis,
};

const DEADLINE: Duration = Duration::from_millis(400);

struct Rig {
    gather: Gather,
    tables: EntryTables,
    rng: ChaCha8Rng,
    now: Instant,
    start: Instant,
}

fn targets(shards: u32) -> Vec<ShardTarget> {
    let replica = |shard, copy| ServerId::from(format!("s{shard}{copy}"));
    (0..shards)
        .map(|shard| ShardTarget {
            shard,
            service: None,
            replicas: vec![replica(shard, 'a'), replica(shard, 'b')],
        })
        .collect()
}

impl Rig {
    fn new(shards: u32, kind: RequestKind, policy: KindPolicy) -> Self {
        let start = Instant::now();
        let spec = GatherSpec {
            service: "counter".into(),
            kind,
            version: 1,
            shards: targets(shards),
            started: start,
            deadline: start + DEADLINE,
            policy,
            hedge: HedgePolicy::default(),
            first_hedge: None,
            retry: RetryPolicy {
                budget: 1.0,
                ..RetryPolicy::default()
            },
            repeat: None,
        };
        let mut tables = EntryTables::default();
        for _ in 0..100 {
            let service = "counter".into();
            tables
                .hedger
                .learn(&service, kind, Duration::from_millis(10));
            tables.hedger.on_first(1, &spec.hedge);
        }
        Self {
            gather: Gather::new(spec),
            tables,
            rng: ChaCha8Rng::seed_from_u64(3),
            now: start,
            start,
        }
    }

    fn start(&mut self) -> Vec<Action> {
        let mut context = Context {
            tables: &mut self.tables,
            now: self.now,
            rng: &mut self.rng,
        };
        self.gather.start(&mut context)
    }

    fn reply(&mut self, attempt: AttemptId, outcome: CallOutcome) -> (bool, Vec<Action>) {
        let mut actions = Vec::new();
        let mut context = Context {
            tables: &mut self.tables,
            now: self.now,
            rng: &mut self.rng,
        };
        let included = self
            .gather
            .on_reply(attempt, outcome, &mut context, &mut actions);
        (included, actions)
    }

    /// Goes to the next timer and acts on it.
    fn timer(&mut self) -> Vec<Action> {
        self.now = self.gather.next_timer().unwrap();
        let mut context = Context {
            tables: &mut self.tables,
            now: self.now,
            rng: &mut self.rng,
        };
        self.gather.on_timer(&mut context)
    }

    fn delegated(&mut self, included: &[ShardId]) -> (bool, Vec<Action>) {
        let mut actions = Vec::new();
        let mut context = Context {
            tables: &mut self.tables,
            now: self.now,
            rng: &mut self.rng,
        };
        let taken = self
            .gather
            .on_delegated(included, &mut context, &mut actions);
        (taken, actions)
    }

    fn adopt(&mut self, targets: Vec<ShardTarget>, repeated: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut context = Context {
            tables: &mut self.tables,
            now: self.now,
            rng: &mut self.rng,
        };
        self.gather
            .adopt(targets, repeated, &mut context, &mut actions);
        actions
    }

    fn restart(&mut self, version: IndexVersion, shards: u32) -> Vec<Action> {
        let mut context = Context {
            tables: &mut self.tables,
            now: self.now,
            rng: &mut self.rng,
        };
        self.gather.restart(version, targets(shards), &mut context)
    }

    /// Acts on timers until the request ends.
    fn run_out(&mut self) -> (Duration, GatherEnd) {
        loop {
            if let Some(end) = end(&self.timer()) {
                return (self.now - self.start, end);
            }
        }
    }
}

fn sends(actions: &[Action]) -> Vec<(AttemptId, ShardId, AttemptCause)> {
    let send = |action: &Action| match action {
        Action::Send {
            attempt,
            shard,
            cause,
            ..
        } => Some((*attempt, *shard, *cause)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn servers(actions: &[Action]) -> Vec<ServerId> {
    let send = |action: &Action| match action {
        Action::Send { server, .. } => Some(ServerId::clone(server)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn end(actions: &[Action]) -> Option<GatherEnd> {
    actions.iter().find_map(|action| match action {
        Action::Finish(end) => Some(end.clone()),
        _ => None,
    })
}

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
    while rig.tables.retrier.allow() {}
    rig.gather.spec.retry.budget = 0.0;
    let first = rig.start();
    for (attempt, _, _) in sends(&first) {
        let (_, retry) = rig.reply(attempt, CallOutcome::NotRun(NotRunCause::NotOwner));
        assert_eq!(sends(&retry).len(), 1);
    }
}

#[test]
fn test_gather_restarts_whole_on_newer_version() {
    let mut rig = Rig::new(2, RequestKind::WideSearch, KindPolicy::default());
    rig.start();
    assert!(rig.reply(0, CallOutcome::Done(1)).0);
    let gone = CallOutcome::NotRun(NotRunCause::VersionGone(2));
    let (_, retry) = rig.reply(1, gone);
    let attempt = sends(&retry)[0].0;
    let (_, stall) = rig.reply(attempt, gone);
    assert!(stall.contains(&Action::Stall { version: 1 }));
    let again = rig.restart(2, 3);
    let shards: Vec<_> = sends(&again).iter().map(|send| send.1).collect();
    assert_eq!(shards, [0, 1, 2]);
    // A late reply of the old version enters nothing.
    assert!(!rig.reply(0, CallOutcome::Done(1)).0);
    for (attempt, _, _) in sends(&again) {
        let (included, actions) = rig.reply(attempt, CallOutcome::Done(2));
        assert!(included);
        if let Some(end) = end(&actions) {
            assert_eq!((end.version, end.coverage.included.len()), (2, 3));
        }
    }
    assert!(rig.gather.is_ended());
}

#[test]
fn test_gather_drops_rows_of_another_version() {
    let mut rig = Rig::new(1, RequestKind::WideSearch, KindPolicy::default());
    rig.start();
    let (included, actions) = rig.reply(0, CallOutcome::Done(2));
    assert!(!included);
    let cause = AttemptCause::Retry(RetryReason::VersionGone);
    assert_eq!(sends(&actions), [(1, 0, cause)]);
}

#[test]
fn test_gather_stalled_ends_at_deadline() {
    let mut rig = Rig::new(1, RequestKind::WideSearch, KindPolicy::default());
    rig.start();
    for attempt in [0, 1] {
        rig.reply(attempt, CallOutcome::NotRun(NotRunCause::VersionGone(2)));
    }
    let (took, end) = rig.run_out();
    assert_eq!(took, DEADLINE);
    assert_eq!(end.verdict, Verdict::NotRun);
    assert_eq!(end.coverage.missing[0].reason, MissingReason::VersionGone);
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

fn document(targets: &[ShardTarget]) -> IndexDocument {
    let servers = targets.iter().flat_map(|target| &target.replicas);
    let entry = |(port, id): (u16, &ServerId)| ServerEntry {
        id: ServerId::clone(id),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        centre: "dc-0".into(),
        slots: 2,
        connections: 25,
        state: ServerState::Serving,
    };
    IndexDocument {
        service: "counter".into(),
        version: 1,
        servers: (1..).zip(servers).map(entry).collect(),
        shards: Vec::new(),
    }
}

/// A pause of the machine ejects all replicas at once, and their replies come when it is over.
#[test]
fn test_gather_gives_ejected_replicas_a_fifth_of_the_deadline() {
    let mut rig = Rig::new(1, RequestKind::WideSearch, KindPolicy::default());
    let replicas = targets(1).remove(0).replicas;
    rig.tables.replicas.sync(&document(&targets(1)), rig.now);
    for server in replicas.iter().cycle().take(8) {
        rig.tables.replicas.on_send(server);
        rig.tables.replicas.on_overdue(server, rig.now, rig.now);
    }
    assert!(rig.tables.replicas.is_hopeless(&replicas, rig.now));
    rig.start();
    let (time, end) = rig.run_out();
    assert_eq!(end.coverage.missing[0].reason, MissingReason::Unreachable);
    // The second replica was called once the first call was overdue, after 30 ms.
    let least = DEADLINE / 5 + Duration::from_millis(30);
    assert!(time >= least && time < DEADLINE, "{time:?}");
}

/// Answers with what is in after 50 ms, if that is three quarters.
fn within() -> KindPolicy {
    KindPolicy {
        coverage: 0.75,
        answer: AnswerPolicy::Within {
            share: 0.75,
            time: Millis::new(50),
        },
        ..KindPolicy::default()
    }
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
    let sent = sends(&rig.adopt(far[1..].to_vec(), false));
    assert_eq!(sent, [(1, 2, AttemptCause::First)]);
    rig.reply(0, CallOutcome::Done(1));
    let (included, actions) = rig.reply(1, CallOutcome::Done(1));
    assert!(included);
    assert_eq!(end(&actions).unwrap().coverage.included, [0, 1, 2]);
}

const TIGHT: RepeatPolicy = RepeatPolicy {
    ratio: 1.0,
    burst: 2.0,
    start: 0.0,
    servers: 2,
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
        repeat: Some(TIGHT),
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
    assert!(!rig.tables.repeats.allow(&"a".into()));
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
        repeat: Some(RepeatPolicy {
            burst: 100.0,
            ratio: 50.0,
            start: 0.0,
            servers: 2,
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
    rig.tables.hedger.on_first(100, &HedgePolicy::default());
    rig.gather = Gather::new(GatherSpec {
        first_hedge: Some(Duration::from_millis(20)),
        ..rig.gather.spec.clone()
    });
    rig.start();
    let sent = sends(&rig.timer());
    assert_eq!(rig.now - rig.start, Duration::from_millis(20));
    assert_eq!(sent, [(1, 0, AttemptCause::Hedge)]);
}

/// Returns a rig of one shard whose two replicas are ejected as slow; `age` ago one gave rows.
fn ejected(age: Duration) -> Rig {
    let policy = KindPolicy {
        coverage: 1.0,
        ..KindPolicy::default()
    };
    let mut rig = Rig::new(1, RequestKind::WideSearch, policy);
    rig.tables.replicas.sync(&document(&targets(1)), rig.now);
    let replicas = targets(1).remove(0).replicas;
    let report = CallReport {
        outcome: CallOutcome::Done(1),
        latency: Duration::from_millis(10),
        queued: None,
        wait: Duration::ZERO,
    };
    rig.tables.replicas.on_send(&replicas[0]);
    rig.tables
        .replicas
        .on_report(&replicas[0], &report, rig.now);
    rig.now += age;
    for server in replicas.iter().cycle().take(8) {
        rig.tables.replicas.on_send(server);
        rig.tables.replicas.on_overdue(server, rig.now, rig.now);
    }
    assert!(rig.tables.replicas.is_hopeless(&replicas, rig.now));
    rig.start = rig.now;
    rig.gather = Gather::new(GatherSpec {
        started: rig.now,
        deadline: rig.now + DEADLINE,
        ..rig.gather.spec.clone()
    });
    rig.start();
    rig
}

/// Load: both replicas of a shard are several times as slow as usual, and the search needs it.
#[test]
fn test_gather_waits_for_slow_replicas_of_a_shard_that_it_needs() {
    let mut rig = ejected(Duration::from_millis(100));
    while rig.gather.next_timer().unwrap() < rig.start + Duration::from_millis(300) {
        assert!(end(&rig.timer()).is_none(), "{:?}", rig.now - rig.start);
    }
    let (included, actions) = rig.reply(0, CallOutcome::Done(1));
    assert!(included);
    assert_eq!(end(&actions).unwrap().verdict, Verdict::Answer);
}

/// Load: both replicas of a shard went silent; the search fails at once without it.
#[test]
fn test_gather_does_not_wait_for_silent_replicas() {
    let mut rig = ejected(Duration::from_secs(2));
    let (time, end) = rig.run_out();
    assert_eq!(end.verdict, Verdict::Unknown);
    assert!(time < DEADLINE * 3 / 4, "{time:?}");
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
    let repeat = RepeatPolicy {
        ratio: 0.5,
        burst: 1.0,
        start: 0.0,
        servers: 2,
    };
    rig.gather = Gather::new(GatherSpec {
        repeat: Some(repeat),
        ..rig.gather.spec.clone()
    });
    rig.gather.delegate(vec![0]);
    rig.start();
    assert!(sends(&rig.adopt(targets(1), true)).is_empty());
    let service = "counter".into();
    rig.tables.repeats.on_first(&service, &repeat);
    rig.tables.repeats.on_first(&service, &repeat);
    let sent = sends(&rig.timer());
    assert_eq!(sent, [(0, 0, AttemptCause::Retry(RetryReason::Timeout))]);
    let (_, actions) = rig.reply(0, CallOutcome::Done(1));
    assert_eq!(end(&actions).unwrap().verdict, Verdict::Answer);
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
    let mut context = Context {
        tables: &mut rig.tables,
        now: rig.now,
        rng: &mut rig.rng,
    };
    let actions = rig.gather.answer_now(&mut context);
    let is_cancel = |action: &&Action| matches!(action, Action::Cancel { .. });
    assert_eq!(actions.iter().filter(is_cancel).count(), 2);
    let end = end(&actions).unwrap();
    assert_eq!(end.coverage.included, [1]);
    assert_eq!(end.verdict, Verdict::Unknown);
    assert_eq!(rig.gather.next_timer(), None);
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
        queued: None,
        wait: Duration::ZERO,
    };
    for _ in 0..8 {
        rig.tables.replicas.on_send(probed);
        rig.tables.replicas.on_report(probed, &broken, rig.now);
    }
    let Some(Standing::Ejected(due)) = rig.tables.replicas.standing(probed) else {
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
