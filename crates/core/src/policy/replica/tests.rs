//! Tests of the choice among replicas.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use super::{
    CallReport, EjectCause, Listing, ReplicaEvent, ReplicaState, ReplicaTable, ReportedHealth,
};
use crate::{
    ids::ServerId,
    index::{IndexDocument, ServerEntry, ServerState, ShardEntry},
    policy::{
        outcome::{CallOutcome, NotRunCause, UnknownCause},
        retry::RetryReason,
    },
};

const FAST: Duration = Duration::from_millis(5);
const SLOW: Duration = Duration::from_millis(100);

fn server(name: &str, state: ServerState) -> ServerEntry {
    ServerEntry {
        id: name.into(),
        address: ([127, 0, 0, 1], 1).into(),
        centre: "lagos".into(),
        slots: 2,
        connections: 25,
        state,
    }
}

fn document(servers: Vec<ServerEntry>) -> IndexDocument {
    let replicas = servers
        .iter()
        .map(|entry| ServerId::clone(&entry.id))
        .collect();
    IndexDocument {
        service: "counter".into(),
        version: 1,
        shards: vec![ShardEntry { shard: 0, replicas }],
        servers,
    }
}

fn table(now: Instant) -> (ReplicaTable, Vec<ServerId>) {
    let servers = vec![
        server("a", ServerState::Serving),
        server("b", ServerState::Serving),
    ];
    let mut table = ReplicaTable::default();
    table.sync(&document(servers), now);
    (table, vec!["a".into(), "b".into()])
}

fn report(
    table: &mut ReplicaTable,
    name: &str,
    outcome: CallOutcome,
    latency: Duration,
    now: Instant,
) {
    let server = name.into();
    table.on_send(&server);
    let report = CallReport {
        outcome,
        latency,
        queue_len: Some(0),
        queue_wait: Duration::ZERO,
    };
    table.on_report(&server, &report, now);
}

fn learn_latency(table: &mut ReplicaTable, name: &str, latency: Duration, now: Instant) {
    for _ in 0..20 {
        report(table, name, CallOutcome::Done(1), latency, now);
    }
}

/// Returns how often `name` is chosen out of a hundred times.
fn count_picks(table: &mut ReplicaTable, replicas: &[ServerId], name: &str, now: Instant) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut count = 0;
    for _ in 0..100 {
        let pick = table.choose(replicas, &[], now, &mut rng).unwrap();
        count += u32::from(&*pick.server == name);
    }
    count
}

#[test]
fn test_replica_slow_one_is_ejected_and_probed() {
    let now = Instant::now();
    let (mut table, replicas) = table(now);
    learn_latency(&mut table, "a", FAST, now);
    learn_latency(&mut table, "b", SLOW, now);
    assert_eq!(count_picks(&mut table, &replicas, "b", now), 0);
    let Some(ReplicaState::Ejected(probe)) = table.state(&"b".into()) else {
        panic!("b is not ejected");
    };
    assert_eq!(table.take_probe(&replicas, now), None);
    assert_eq!(table.take_probe(&replicas, probe), Some("b".into()));
    assert_eq!(table.take_probe(&replicas, probe), None);
    // A slow probe does not readmit the backend server, a fast one does.
    report(&mut table, "b", CallOutcome::Done(1), SLOW, probe);
    assert!(matches!(
        table.state(&"b".into()),
        Some(ReplicaState::Ejected(_))
    ));
    report(&mut table, "b", CallOutcome::Done(1), FAST, probe);
    assert_eq!(table.state(&"b".into()), Some(ReplicaState::Ramp(probe)));
}

#[test]
fn test_replica_ramp_grows() {
    let now = Instant::now();
    let (mut table, replicas) = table(now);
    learn_latency(&mut table, "a", FAST, now);
    for _ in 0..3 {
        report(
            &mut table,
            "b",
            CallOutcome::Unknown(UnknownCause::Broken),
            FAST,
            now,
        );
    }
    assert!(matches!(
        table.state(&"b".into()),
        Some(ReplicaState::Ejected(_))
    ));
    report(&mut table, "b", CallOutcome::Done(1), FAST, now);
    let first = count_picks(&mut table, &replicas, "b", now);
    let later = count_picks(&mut table, &replicas, "b", now + Duration::from_secs(2));
    let last = count_picks(&mut table, &replicas, "b", now + Duration::from_secs(4));
    assert!(
        first < 12 && first < later && later < 60,
        "{first} {later} {last}"
    );
    assert!((30..=70).contains(&last), "{first} {later} {last}");
}

#[test]
fn test_replica_set_is_never_empty() {
    let now = Instant::now();
    let (mut table, replicas) = table(now);
    for (name, faults) in [("a", 6), ("b", 3)] {
        for _ in 0..faults {
            report(
                &mut table,
                name,
                CallOutcome::NotRun(NotRunCause::Connect),
                FAST,
                now,
            );
        }
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let pick = table.choose(&replicas, &[], now, &mut rng).unwrap();
    assert_eq!((&*pick.server, pick.last_resort), ("b", true));
    assert!(table.none_available(&replicas, now));
}

#[test]
fn test_replica_leaving_gets_no_call() {
    let now = Instant::now();
    let (mut table, replicas) = table(now);
    report(
        &mut table,
        "a",
        CallOutcome::NotRun(NotRunCause::Leaving),
        FAST,
        now,
    );
    assert_eq!(count_picks(&mut table, &replicas, "a", now), 0);
    let servers = vec![
        server("a", ServerState::Serving),
        server("b", ServerState::Leaving),
    ];
    table.sync(&document(servers), now);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    assert_eq!(table.choose(&replicas, &[], now, &mut rng), None);
}

#[parameterized(
    unhealthy = { ReportedHealth::Unhealthy },
    leaving = { ReportedHealth::Leaving },
    warming = { ReportedHealth::Warming },
)]
fn test_replica_reported_health_is_weak(health: ReportedHealth) {
    let now = Instant::now();
    let (mut table, replicas) = table(now);
    table.on_health(&"b".into(), health, now);
    assert_eq!(count_picks(&mut table, &replicas, "b", now), 0);
    // Rows that were returned recently outweigh the reported health.
    learn_latency(&mut table, "a", FAST, now);
    learn_latency(&mut table, "b", FAST, now);
    table.on_health(&"b".into(), health, now);
    assert!(count_picks(&mut table, &replicas, "b", now) >= 30);
}

#[test]
fn test_replica_queue_reported_by_owner_counts() {
    let now = Instant::now();
    let (mut table, replicas) = table(now);
    learn_latency(&mut table, "a", FAST, now);
    learn_latency(&mut table, "b", FAST, now);
    table.on_send(&"a".into());
    let report = CallReport {
        outcome: CallOutcome::Done(1),
        latency: FAST,
        queue_len: Some(10),
        queue_wait: Duration::ZERO,
    };
    table.on_report(&"a".into(), &report, now);
    assert_eq!(count_picks(&mut table, &replicas, "a", now), 0);
    assert!(table.is_busy(&"a".into(), now));
    // Two slots at 5 ms per call drain ten calls in 25 ms.
    let later = now + Duration::from_millis(26);
    assert!(!table.is_busy(&"a".into(), later));
}

#[test]
fn test_replica_is_not_ejected_for_its_queue() {
    let now = Instant::now();
    let (mut table, replicas) = table(now);
    learn_latency(&mut table, "a", FAST, now);
    learn_latency(&mut table, "b", FAST, now);
    // Replies of calls that waited at b are slow while its queue drains.
    for queued in (0..40).rev() {
        table.on_send(&"b".into());
        let report = CallReport {
            outcome: CallOutcome::Done(1),
            latency: SLOW,
            queue_len: Some(queued),
            queue_wait: Duration::ZERO,
        };
        table.on_report(&"b".into(), &report, now);
        count_picks(&mut table, &replicas, "b", now);
        assert_eq!(table.state(&"b".into()), Some(ReplicaState::Active));
    }
}

#[test]
fn test_replica_that_keeps_losing_to_hedges_is_ejected() {
    let now = Instant::now();
    let (mut table, _) = table(now);
    learn_latency(&mut table, "b", FAST, now);
    let server = ServerId::from("b");
    for loss in 1..=4 {
        assert_eq!(table.state(&server), Some(ReplicaState::Active), "{loss}");
        table.on_send(&server);
        table.on_cancelled(&server, FAST * 10, now + FAST * 10);
    }
    assert!(matches!(
        table.state(&server),
        Some(ReplicaState::Ejected(_))
    ));
}

/// Returns a table with one server that may pause.
fn table_with_pauses(server: &ServerId, now: Instant) -> ReplicaTable {
    let mut table = ReplicaTable::default();
    let listing = Listing {
        server: ServerId::clone(server),
        slots: 2,
        leaving: false,
        evacuated: false,
        born: 0,
        warmup: None,
        cold: Duration::ZERO,
        penalty: Duration::ZERO,
        may_pause: true,
    };
    table.set_servers(&"counter".into(), vec![listing], now);
    learn_latency(&mut table, server, FAST, now);
    table
}

/// Guards against ejecting a server under load because it paused once for a moment while many calls
/// were in flight.
#[test]
fn test_replica_that_paused_once_is_not_ejected() {
    let now = Instant::now();
    let server = ServerId::from("b");
    let mut table = table_with_pauses(&server, now);
    for call in 0..20 {
        table.on_send(&server);
        // All calls were sent before the first of them was overtaken by its hedge.
        let sent = now + FAST * call / 20;
        table.on_cancelled(&server, FAST * 10, sent + FAST * 10);
    }
    assert_eq!(table.state(&server), Some(ReplicaState::Active));
}

/// A server that stays slow under load is ejected, because its calls are overtaken by their hedges
/// one after the other.
#[test]
fn test_replica_that_pauses_is_ejected_once_it_keeps_losing() {
    let now = Instant::now();
    let server = ServerId::from("b");
    let mut table = table_with_pauses(&server, now);
    // Each call is sent after the previous one was overtaken.
    for loss in 1..=4 {
        assert_eq!(table.state(&server), Some(ReplicaState::Active), "{loss}");
        table.on_send(&server);
        table.on_cancelled(&server, FAST * 10, now + FAST * 10 * loss);
    }
    let state = table.state(&server);
    assert!(matches!(state, Some(ReplicaState::Ejected(_))));
}

#[test]
fn test_replica_events_report_ejection_with_its_cause_and_return() {
    let now = Instant::now();
    let (mut table, replicas) = table(now);
    learn_latency(&mut table, "a", FAST, now);
    learn_latency(&mut table, "b", FAST, now);
    let broken = CallOutcome::Unknown(UnknownCause::Broken);
    for _ in 0..4 {
        report(&mut table, "b", broken, FAST, now);
    }
    let server = ServerId::from("b");
    let ejected = |cause| ReplicaEvent::Ejected {
        server: "b".into(),
        cause,
    };
    let faults = EjectCause::Faults(RetryReason::Broken);
    assert_eq!(table.take_events(), [ejected(faults)]);
    report(&mut table, "b", CallOutcome::Done(1), FAST, now);
    let returned = ReplicaEvent::Returned { server };
    assert_eq!(table.take_events(), std::slice::from_ref(&returned));
    learn_latency(&mut table, "b", SLOW, now);
    count_picks(&mut table, &replicas, "b", now);
    assert_eq!(table.take_events(), [ejected(EjectCause::Slow)]);
    learn_latency(&mut table, "b", FAST, now);
    assert_eq!(table.take_events(), [returned]);
    for _ in 0..4 {
        table.on_send(&"b".into());
        table.on_cancelled(&"b".into(), FAST * 10, now + FAST * 10);
    }
    assert_eq!(table.take_events(), [ejected(EjectCause::Hedges)]);
}

#[test]
fn test_replica_that_gives_rows_is_not_ejected_for_overdue_calls() {
    let now = Instant::now();
    let (mut table, _) = table(now);
    learn_latency(&mut table, "b", FAST, now);
    let server = ServerId::from("b");
    let late = now + FAST * 10;
    // Calls are overdue or overtaken by their hedges, but another call has returned rows since they
    // were sent.
    report(&mut table, "b", CallOutcome::Done(1), FAST, now + FAST);
    for _ in 0..4 {
        table.on_overdue(&server, now, late);
        table.on_cancelled(&server, FAST * 10, late);
    }
    assert_eq!(table.state(&server), Some(ReplicaState::Active));
    // Calls sent after the last rows count as faults.
    for _ in 0..3 {
        table.on_overdue(&server, now + FAST * 2, late);
    }
    assert!(matches!(
        table.state(&server),
        Some(ReplicaState::Ejected(_))
    ));
}

#[parameterized(
    waited = { 40, true },
    slow = { 4, false },
)]
fn test_replica_probe_is_judged_without_its_wait(queued: u32, returns: bool) {
    let now = Instant::now();
    let (mut table, _) = table(now);
    learn_latency(&mut table, "a", FAST, now);
    let server = ServerId::from("b");
    for _ in 0..3 {
        report(
            &mut table,
            "b",
            CallOutcome::Unknown(UnknownCause::Timeout),
            FAST,
            now,
        );
    }
    table.on_send(&server);
    let probe = CallReport {
        outcome: CallOutcome::Done(1),
        latency: SLOW * 2,
        queue_len: Some(queued),
        queue_wait: SLOW * 2,
    };
    table.on_report(&server, &probe, now);
    let back = matches!(table.state(&server), Some(ReplicaState::Ramp(_)));
    assert_eq!(back, returns);
}

#[test]
fn test_replica_wait_is_what_the_owner_reported() {
    let now = Instant::now();
    let (mut table, _) = table(now);
    // The learned latency includes two hops of 10 ms that the calls in the queue do not take.
    learn_latency(&mut table, "a", FAST * 5, now);
    let server = ServerId::from("a");
    table.on_send(&server);
    let report = CallReport {
        outcome: CallOutcome::Done(1),
        latency: FAST * 5,
        queue_len: Some(20),
        queue_wait: Duration::from_millis(50),
    };
    table.on_report(&server, &report, now);
    assert_eq!(table.queue_wait(&server, now), Duration::from_millis(50));
    let later = now + Duration::from_millis(30);
    assert_eq!(table.queue_wait(&server, later), Duration::from_millis(20));
    assert_eq!(table.queue_wait(&server, now + FAST * 20), Duration::ZERO);
    // An owner that was frozen may report a wait of minutes, and no reply would correct it.
    table.on_send(&server);
    let frozen = CallReport {
        queue_wait: Duration::from_mins(5),
        ..report
    };
    table.on_report(&server, &frozen, now);
    let later = now + Duration::from_secs(2);
    assert_eq!(table.queue_wait(&server, later), Duration::ZERO);
}

#[test]
fn test_replica_new_server_ramps_up() {
    let now = Instant::now();
    let (mut table, _) = table(now);
    let names = ["a", "b", "c"];
    let servers = names
        .map(|name| server(name, ServerState::Serving))
        .to_vec();
    table.sync(&document(servers), now);
    assert_eq!(table.state(&"a".into()), Some(ReplicaState::Active));
    assert_eq!(table.state(&"c".into()), Some(ReplicaState::Ramp(now)));
    table.sync(&document(vec![server("c", ServerState::Serving)]), now);
    assert_eq!(table.state(&"a".into()), None);
}

/// Guards against refusing requests forever after a freeze of the entry, which makes every call in
/// flight appear to take as long as the freeze.
#[test]
fn test_replica_old_latency_does_not_refuse_for_ever() {
    const FREEZE: Duration = Duration::from_secs(2);
    const DEADLINE: Duration = Duration::from_secs(1);
    let now = Instant::now();
    let (mut table, replicas) = table(now);
    report(&mut table, "a", CallOutcome::Done(1), FREEZE, now);
    report(&mut table, "b", CallOutcome::Done(1), FREEZE, now);
    let learned = table.estimate(&replicas, now);
    assert!(learned.service > DEADLINE, "{learned:?}");
    let later = table.estimate(&replicas, now + Duration::from_secs(5));
    assert!(later.service < DEADLINE, "{later:?}");
}

/// A backend server that refuses every call replies the fastest, but is the worst choice.
#[parameterized(
    busy = { NotRunCause::Busy },
    queue_full = { NotRunCause::QueueFull },
    version_gone = { NotRunCause::VersionGone(0) },
    unknown_shard = { NotRunCause::UnknownShard },
)]
fn test_replica_that_refuses_is_avoided(cause: NotRunCause) {
    let now = Instant::now();
    let (mut table, replicas) = table(now);
    learn_latency(&mut table, "a", FAST, now);
    for _ in 0..3 {
        let refused = CallOutcome::NotRun(cause);
        report(&mut table, "b", refused, Duration::from_micros(200), now);
    }
    assert_eq!(count_picks(&mut table, &replicas, "b", now), 0);
    // The backend server is tried again after a while, and regains its share after returning rows.
    let later = now + Duration::from_secs(20);
    report(&mut table, "b", CallOutcome::Done(1), FAST, later);
    learn_latency(&mut table, "a", FAST, later);
    let later_picks = count_picks(&mut table, &replicas, "b", later);
    assert!((20..=80).contains(&later_picks), "{later_picks}");
}
