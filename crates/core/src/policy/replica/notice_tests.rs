//! Tests of backend servers that announce that they leave or ask for a pause.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use super::{CallReport, Listing, ReplicaEvent, ReplicaState, ReplicaTable, ServerNotice};
use crate::{
    ids::ServerId,
    policy::{
        EntryTables,
        outcome::{CallOutcome, NotRunCause},
        server_limit::StatedLimit,
    },
};

const LEAVE_TIME: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_secs(2);
const MOMENT: Duration = Duration::from_millis(1);

const LEAVING: ServerNotice = ServerNotice {
    leaves_in: Some(LEAVE_TIME),
    pause: None,
    limit: StatedLimit::Unknown,
    cold: None,
};
const PAUSED: ServerNotice = ServerNotice {
    leaves_in: None,
    pause: Some(PAUSE),
    limit: StatedLimit::Unknown,
    cold: None,
};

fn replicas() -> Vec<ServerId> {
    vec!["a".into(), "b".into()]
}

fn list(table: &mut ReplicaTable, born: u64, now: Instant) {
    let listings = replicas().into_iter().map(|server| Listing {
        server,
        slots: 2,
        leaving: false,
        evacuated: false,
        born,
        warmup: None,
        cold: Duration::ZERO,
        penalty: Duration::ZERO,
        may_pause: true,
    });
    table.set_servers(&"counter".into(), listings.collect(), now);
}

fn table(now: Instant) -> ReplicaTable {
    let mut table = ReplicaTable::default();
    list(&mut table, 1, now);
    table
}

fn notice(table: &mut ReplicaTable, server: &str, notice: ServerNotice, now: Instant) {
    table.on_notice(&server.into(), notice, now, now);
}

fn report(outcome: CallOutcome, latency: Duration) -> CallReport {
    CallReport {
        outcome,
        latency,
        queue_len: Some(0),
        queue_wait: Duration::ZERO,
    }
}

/// Returns the backend server that is chosen among those not in `excluded`.
fn choose(table: &mut ReplicaTable, excluded: &[&str], now: Instant) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let excluded: Vec<ServerId> = excluded.iter().map(|server| (*server).into()).collect();
    let pick = table.choose(&replicas(), &excluded, now, &mut rng)?;
    Some(pick.server.to_string())
}

#[test]
fn test_notice_leaving_server_is_used_only_without_another_and_only_for_a_time() {
    let now = Instant::now();
    let mut table = table(now);
    notice(&mut table, "a", LEAVING, now);
    for _ in 0..20 {
        assert_eq!(choose(&mut table, &[], now).as_deref(), Some("b"));
    }
    assert_eq!(choose(&mut table, &["b"], now).as_deref(), Some("a"));
    let last = now + LEAVE_TIME.saturating_sub(MOMENT);
    assert_eq!(choose(&mut table, &["b"], last).as_deref(), Some("a"));
    assert_eq!(choose(&mut table, &["b"], now + LEAVE_TIME), None);
}

/// The server that leaves is by far the fastest. The others must not be ejected for that, or else
/// only the one that leaves would be left.
#[test]
fn test_notice_leaving_server_does_not_eject_slower_ones() {
    let now = Instant::now();
    let mut table = table(now);
    for (server, latency) in [("a", MOMENT), ("b", MOMENT * 50)] {
        for _ in 0..10 {
            table.on_send(&server.into());
            let report = report(CallOutcome::Done(1), latency);
            table.on_report(&server.into(), &report, now);
        }
    }
    notice(&mut table, "a", LEAVING, now);
    for _ in 0..20 {
        assert_eq!(choose(&mut table, &[], now).as_deref(), Some("b"));
    }
    assert_eq!(table.state(&"b".into()), Some(ReplicaState::Active));
}

/// A later answer says again that the server leaves. The time counts from the first one.
#[test]
fn test_notice_repeated_leave_does_not_extend_the_time() {
    let now = Instant::now();
    let mut table = table(now);
    notice(&mut table, "a", LEAVING, now);
    notice(&mut table, "a", LEAVING, now + LEAVE_TIME / 2);
    assert_eq!(choose(&mut table, &["b"], now + LEAVE_TIME), None);
}

/// Ages, lists that still say that the server is serving, and changes of its load do not end the
/// mark; a new run of the server does.
#[test]
fn test_notice_leave_ends_with_the_run() {
    let now = Instant::now();
    let mut table = table(now);
    notice(&mut table, "a", LEAVING, now);
    let later = now + Duration::from_hours(1);
    list(&mut table, 1, later);
    assert_eq!(choose(&mut table, &["b"], later), None);
    list(&mut table, 2, later);
    assert_eq!(choose(&mut table, &["b"], later).as_deref(), Some("a"));
    // The reply to a call that was sent before the new run was published is the former run's.
    table.on_notice(&"a".into(), LEAVING, now, later + MOMENT);
    let much_later = later + LEAVE_TIME * 2;
    assert_eq!(choose(&mut table, &["b"], much_later).as_deref(), Some("a"));
}

#[test]
fn test_notice_paused_server_gets_nothing_until_the_end() {
    let now = Instant::now();
    let mut table = table(now);
    notice(&mut table, "a", PAUSED, now);
    let last = now + PAUSE.saturating_sub(MOMENT);
    assert_eq!(choose(&mut table, &["b"], last), None);
    assert_eq!(choose(&mut table, &[], last).as_deref(), Some("b"));
    assert_eq!(
        choose(&mut table, &["b"], now + PAUSE).as_deref(),
        Some("a")
    );
}

/// A shorter pause that arrives late does not end a longer one.
#[test]
fn test_notice_shorter_pause_does_not_end_a_longer_one() {
    let now = Instant::now();
    let mut table = table(now);
    notice(&mut table, "a", PAUSED, now);
    let short = ServerNotice {
        pause: Some(MOMENT),
        ..PAUSED
    };
    notice(&mut table, "a", short, now);
    assert_eq!(
        choose(&mut table, &["b"], now + PAUSE.saturating_sub(MOMENT)),
        None
    );
}

/// A pause is neither a fault nor a refusal that makes the server look slower.
#[test]
fn test_notice_pause_does_not_eject() {
    let now = Instant::now();
    let mut table = table(now);
    let report = report(CallOutcome::NotRun(NotRunCause::Paused), MOMENT);
    for _ in 0..20 {
        table.on_send(&"a".into());
        table.on_report(&"a".into(), &report, now);
        notice(&mut table, "a", PAUSED, now);
    }
    assert_eq!(table.state(&"a".into()), Some(ReplicaState::Active));
    let paused = ReplicaEvent::Paused {
        server: "a".into(),
        pause: PAUSE,
    };
    assert_eq!(table.take_events(), [paused]);
}

/// All callers that waited come at once. The server gets as many calls as it has slots until one of
/// them has returned.
#[test]
fn test_notice_end_of_pause_brings_no_herd() {
    let now = Instant::now();
    let mut table = table(now);
    notice(&mut table, "a", PAUSED, now);
    let end = now + PAUSE;
    for _ in 0..2 {
        assert_eq!(choose(&mut table, &["b"], end).as_deref(), Some("a"));
        table.on_send(&"a".into());
    }
    assert_eq!(choose(&mut table, &["b"], end), None);
    let report = report(CallOutcome::Done(1), MOMENT);
    table.on_report(&"a".into(), &report, end + MOMENT);
    for _ in 0..10 {
        assert_eq!(
            choose(&mut table, &["b"], end + MOMENT).as_deref(),
            Some("a")
        );
        table.on_send(&"a".into());
    }
}

/// An ejected server that paused or leaves gets no probes.
#[parameterized(
    leaving = { LEAVING },
    paused = { PAUSED },
)]
fn test_notice_stops_probes(stated: ServerNotice) {
    let now = Instant::now();
    let mut table = table(now);
    let report = CallReport {
        outcome: CallOutcome::NotRun(NotRunCause::Connect),
        latency: MOMENT,
        queue_len: None,
        queue_wait: Duration::ZERO,
    };
    for _ in 0..3 {
        table.on_send(&"a".into());
        table.on_report(&"a".into(), &report, now);
    }
    let due = now + PAUSE.saturating_sub(MOMENT);
    let mut other = table.clone();
    assert!(other.take_probe(&replicas(), due).is_some());
    notice(&mut table, "a", stated, now);
    assert_eq!(table.take_probe(&replicas(), due), None);
}

/// Shards of a search: `p` has one paused replica, `l` one that left, `s` one that serves.
#[parameterized(
    all_serve = { "ss", 1.0, Some(Duration::ZERO) },
    enough_serve = { "ssp", 0.6, Some(Duration::ZERO) },
    needs_the_paused = { "ssp", 1.0, Some(PAUSE) },
    only_one_left = { "ssl", 0.6, Some(Duration::ZERO) },
    never = { "sll", 0.6, None },
    nothing = { "", 0.6, None },
)]
fn test_notice_search_is_ready(shards: &str, share: f64, expected: Option<Duration>) {
    let now = Instant::now();
    let mut tables = EntryTables::default();
    let listings = ["p", "l", "s"].map(|name| Listing {
        server: name.into(),
        slots: 2,
        leaving: name == "l",
        evacuated: false,
        born: 0,
        warmup: None,
        cold: Duration::ZERO,
        penalty: Duration::ZERO,
        may_pause: true,
    });
    let replicas = &mut tables.replicas;
    replicas.set_servers(&"counter".into(), listings.to_vec(), now);
    notice(replicas, "p", PAUSED, now);
    let sets: Vec<[ServerId; 1]> = shards
        .chars()
        .map(|name| [ServerId::from(name.to_string())])
        .collect();
    let ready_in = tables.ready_in(sets.iter().map(<[ServerId; 1]>::as_slice), share, now);
    assert_eq!(ready_in, expected);
}

/// No calls, hedges or probes go to a backend server in an evacuated data centre. Afterwards its share of
/// calls grows.
#[test]
fn test_evacuated_server_gets_nothing() {
    let now = Instant::now();
    let mut table = table(now);
    let servers = replicas();
    let evacuate = |table: &mut ReplicaTable, evacuated: bool| {
        let listings = servers.iter().map(|server| Listing {
            server: ServerId::clone(server),
            slots: 2,
            leaving: false,
            evacuated: evacuated && &**server == "a",
            born: 1,
            warmup: None,
            cold: Duration::ZERO,
            penalty: Duration::ZERO,
            may_pause: true,
        });
        table.set_servers(&"counter".into(), listings.collect(), now);
    };
    evacuate(&mut table, true);
    assert_eq!(table.ready_in(&servers[..1], now), None);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..50 {
        let pick = table.choose(&servers, &[], now, &mut rng).unwrap();
        assert_eq!(&*pick.server, "b");
    }
    assert_eq!(table.choose(&servers, &servers[1..], now, &mut rng), None);
    evacuate(&mut table, false);
    assert_eq!(table.ready_in(&servers[..1], now), Some(Duration::ZERO));
    assert!(matches!(
        table.state(&servers[0]),
        Some(ReplicaState::Ramp(_))
    ));
}
