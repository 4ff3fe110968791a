//! Tests of replicas in bad standing.

use std::time::Duration;

use super::{DEADLINE, Rig, document, end, targets};
use crate::{
    policy::{
        gather::{Gather, GatherSpec, Verdict},
        outcome::CallOutcome,
        replica::CallReport,
    },
    presets::KindPolicy,
    request::{MissingReason, RequestKind},
};

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
    assert!(rig.tables.replicas.none_available(&replicas, rig.now));
    rig.start();
    let (time, end) = rig.run_out();
    assert_eq!(end.coverage.missing[0].reason, MissingReason::Unreachable);
    // The second replica was called once the first call was overdue, after 30 ms.
    let least = DEADLINE / 5 + Duration::from_millis(30);
    assert!(time >= least && time < DEADLINE, "{time:?}");
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
        queue_len: None,
        queue_wait: Duration::ZERO,
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
    assert!(rig.tables.replicas.none_available(&replicas, rig.now));
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
