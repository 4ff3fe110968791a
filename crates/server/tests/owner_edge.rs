//! The owner against small backend servers: outcomes, slots, connections and cancellation.

mod owner_support;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassialift::owner::{Owner, OwnerSettings};
use cassialift_core::{
    index::ServerState,
    request::{RequestKind, Urgency},
    time::Millis,
};
use cassialift_wire::{
    backend::{HealthState, RunRefusal},
    peer::{CallFailure, CallRefusal, CallResult, ShardCall, ShardReply},
};
use owner_support::{Backend, Behaviour, SERVER, call, owner, view, wait_until};
use tokio::task::JoinHandle;
use yare::parameterized;

fn settings() -> OwnerSettings {
    OwnerSettings {
        reply: 16 * 1024,
        ..OwnerSettings::default()
    }
}

fn spawn(owner: &Arc<Owner>, call: ShardCall) -> JoinHandle<ShardReply> {
    let owner = Arc::clone(owner);
    tokio::spawn(async move { owner.call(call).await })
}

#[parameterized(
    busy = { RunRefusal::Busy, CallRefusal::Busy },
    leaving = { RunRefusal::Leaving, CallRefusal::Leaving },
    expired = { RunRefusal::Expired, CallRefusal::Expired },
    cancelled = { RunRefusal::Cancelled, CallRefusal::Cancelled },
    version = { RunRefusal::VersionGone { held: 8 }, CallRefusal::VersionGone { held: 8 } },
    shard = { RunRefusal::UnknownShard, CallRefusal::UnknownShard },
)]
#[test_macro(tokio::test)]
async fn test_call_refused(refusal: RunRefusal, expected: CallRefusal) {
    let backend = Backend::start(Behaviour::Refuse(refusal)).await;
    let (owner, _metrics) = owner(settings());
    owner.apply(&view(backend.address, 1, 1));
    let reply = owner.call(call(1, RequestKind::Job)).await;
    assert_eq!(reply.result, CallResult::NotRun(expected));
}

#[parameterized(
    read_and_close = { Behaviour::ReadAndClose, CallFailure::Broken },
    half_reply = { Behaviour::HalfReply, CallFailure::Broken },
    other_attempt = { Behaviour::OtherAttempt, CallFailure::BadReply },
    other_server = { Behaviour::OtherServer, CallFailure::BadReply },
    garbage = { Behaviour::Garbage, CallFailure::BadReply },
    flood = { Behaviour::Flood, CallFailure::BadReply },
    stopped = { Behaviour::Stop, CallFailure::Timeout },
)]
#[test_macro(tokio::test)]
async fn test_call_unknown_sent_once(behaviour: Behaviour, expected: CallFailure) {
    let backend = Backend::start(behaviour).await;
    let (owner, _metrics) = owner(settings());
    owner.apply(&view(backend.address, 1, 2));
    let reply = owner.call(call(1, RequestKind::Job)).await;
    assert_eq!(reply.result, CallResult::Unknown(expected));
    assert_eq!(backend.seen(1), 1);
    backend.set(Behaviour::Answer);
    let reply = owner.call(call(2, RequestKind::Job)).await;
    assert!(matches!(reply.result, CallResult::Done { version: 7, .. }));
    assert_eq!(backend.seen(1), 1, "the library sent it again");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_call_idle_connection_closed_sends_once() {
    let backend = Backend::start(Behaviour::AnswerAndClose).await;
    let (owner, _metrics) = owner(settings());
    owner.apply(&view(backend.address, 1, 2));
    for sequence in 0..300 {
        let reply = owner.call(call(sequence, RequestKind::Job)).await;
        let seen = backend.seen(sequence);
        match reply.result {
            CallResult::Done { .. } => assert_eq!(seen, 1),
            CallResult::NotRun(_) => assert_eq!(seen, 0),
            CallResult::Unknown(_) => assert!(seen <= 1),
        }
    }
    let runs = backend.runs.lock().unwrap().len();
    assert!(runs > 100, "only {runs} of 300 jobs reached the server");
}

#[tokio::test]
async fn test_call_connection_refused_not_run() {
    let backend = Backend::start(Behaviour::Answer).await;
    let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let (owner, metrics) = owner(settings());
    owner.apply(&view(address, 1, 2));
    let reply = owner.call(call(1, RequestKind::Job)).await;
    assert_eq!(reply.result, CallResult::NotRun(CallRefusal::Connect));
    assert!(metrics.snapshot()["owner.connection.failed"] > 0);
    owner.apply(&view(backend.address, 1, 2));
    let reply = owner.call(call(1, RequestKind::Job)).await;
    assert!(matches!(reply.result, CallResult::Done { .. }));
}

#[tokio::test(flavor = "multi_thread")]
async fn test_calls_stay_within_slots_and_connections() {
    let backend = Backend::start(Behaviour::Answer).await;
    let (owner, metrics) = owner(settings());
    owner.apply(&view(backend.address, 2, 2));
    for round in 0..20 {
        let calls = (0..16).map(|number| {
            let mut call = call(round * 16 + number, RequestKind::WideSearch);
            call.caller = format!("dealer-{number}").into();
            owner.call(call)
        });
        for reply in futures::future::join_all(calls).await {
            assert!(matches!(reply.result, CallResult::Done { .. }));
        }
    }
    assert!(backend.busiest.load(Ordering::SeqCst) <= 2);
    assert_eq!(backend.peak.load(Ordering::SeqCst), 2);
    assert_eq!(metrics.snapshot()["owner.connection.opened"], 2);
    assert_eq!(owner.usage(SERVER), Some((0, 2)));
}

#[tokio::test]
async fn test_call_dropped_in_queue_never_sent() {
    let backend = Backend::start(Behaviour::Hold).await;
    let (owner, _metrics) = owner(settings());
    owner.apply(&view(backend.address, 1, 2));
    let first = spawn(&owner, call(1, RequestKind::WideSearch));
    wait_until("the first run", || backend.seen(1) == 1).await;
    let queued = spawn(&owner, call(2, RequestKind::WideSearch));
    let last = spawn(&owner, call(3, RequestKind::WideSearch));
    tokio::task::yield_now().await;
    queued.abort();
    drop(queued.await);
    backend.set(Behaviour::Answer);
    backend.release.notify_one();
    assert!(matches!(
        first.await.unwrap().result,
        CallResult::Done { .. }
    ));
    assert!(matches!(
        last.await.unwrap().result,
        CallResult::Done { .. }
    ));
    assert_eq!(backend.seen(2), 0);
    assert!(backend.cancels.lock().unwrap().is_empty());
}

#[tokio::test]
async fn test_call_dropped_after_send_cancels_and_keeps_slot() {
    let backend = Backend::start(Behaviour::Hold).await;
    let (owner, metrics) = owner(settings());
    owner.apply(&view(backend.address, 1, 2));
    let dropped = spawn(&owner, call(1, RequestKind::WideSearch));
    wait_until("the run", || backend.seen(1) == 1).await;
    dropped.abort();
    drop(dropped.await);
    wait_until("the cancellation", || {
        backend.cancels.lock().unwrap().len() == 1
    })
    .await;
    let cancel = backend.cancels.lock().unwrap()[0];
    assert_eq!((cancel.request.sequence, cancel.attempt), (1, 0));
    assert_eq!(
        owner.usage(SERVER).unwrap().0,
        1,
        "the slot was given back early"
    );
    let next = spawn(&owner, call(2, RequestKind::WideSearch));
    backend.release.notify_one();
    wait_until("the next run", || backend.seen(2) == 1).await;
    wait_until("the late reply", || {
        metrics.snapshot().get("owner.reply.late") == Some(&1)
    })
    .await;
    backend.release.notify_one();
    assert!(matches!(
        next.await.unwrap().result,
        CallResult::Done { .. }
    ));
}

#[tokio::test]
async fn test_call_without_reply_times_out_unknown() {
    let backend = Backend::start(Behaviour::Hold).await;
    let (owner, _metrics) = owner(settings());
    owner.apply(&view(backend.address, 1, 2));
    let mut short = call(1, RequestKind::Job);
    short.remaining = Millis::new(3_000);
    let queued = {
        let mut queued = call(2, RequestKind::Job);
        queued.remaining = Millis::new(1_000);
        queued
    };
    let first = spawn(&owner, short);
    wait_until("the run", || backend.seen(1) == 1).await;
    let second = spawn(&owner, queued);
    assert_eq!(
        second.await.unwrap().result,
        CallResult::NotRun(CallRefusal::Expired)
    );
    assert_eq!(
        first.await.unwrap().result,
        CallResult::Unknown(CallFailure::Timeout)
    );
    assert_eq!(backend.seen(2), 0);
    wait_until("the free slot", || owner.usage(SERVER).unwrap().0 == 0).await;
    let sent = backend.runs.lock().unwrap()[0].remaining.0;
    assert!(sent <= Duration::from_secs(3));
}

#[tokio::test]
async fn test_calls_urgent_first() {
    let backend = Backend::start(Behaviour::Hold).await;
    let (owner, _metrics) = owner(settings());
    owner.apply(&view(backend.address, 1, 2));
    let first = spawn(&owner, call(1, RequestKind::WideSearch));
    wait_until("the first run", || backend.seen(1) == 1).await;
    let mut ordinary = call(2, RequestKind::Fetch);
    ordinary.urgency = Urgency::Ordinary;
    ordinary.remaining = Millis::new(20_000);
    let ordinary = spawn(&owner, ordinary);
    tokio::task::yield_now().await;
    let late = spawn(&owner, call(3, RequestKind::WideSearch));
    tokio::task::yield_now().await;
    let mut soon = call(4, RequestKind::WideSearch);
    soon.remaining = Millis::new(25_000);
    let soon = spawn(&owner, soon);
    tokio::task::yield_now().await;
    backend.set(Behaviour::Answer);
    backend.release.notify_one();
    for reply in [first, ordinary, late, soon] {
        assert!(matches!(
            reply.await.unwrap().result,
            CallResult::Done { .. }
        ));
    }
    let runs = backend.runs.lock().unwrap();
    let order: Vec<u64> = runs.iter().map(|run| run.request.sequence).collect();
    assert_eq!(order, [1, 4, 3, 2]);
}

#[tokio::test]
async fn test_apply_lost_server_refuses_queue() {
    let backend = Backend::start(Behaviour::Hold).await;
    let (owner, _metrics) = owner(settings());
    let mut changed = view(backend.address, 1, 2);
    owner.apply(&changed);
    let first = spawn(&owner, call(1, RequestKind::WideSearch));
    wait_until("the first run", || backend.seen(1) == 1).await;
    let queued = spawn(&owner, call(2, RequestKind::Job));
    tokio::task::yield_now().await;
    let share = changed.owners.overrides.get_mut(SERVER).unwrap();
    (share.slots, share.connections, share.owner) = (0, 0, Some("vm-2".into()));
    owner.apply(&changed);
    let refusal = CallRefusal::NotOwner {
        owner: Some("vm-2".into()),
    };
    assert_eq!(queued.await.unwrap().result, CallResult::NotRun(refusal));
    backend.release.notify_one();
    assert!(matches!(
        first.await.unwrap().result,
        CallResult::Done { .. }
    ));
    wait_until("closed connections", || {
        owner.usage(SERVER).is_none_or(|usage| usage == (0, 0))
    })
    .await;
}

#[tokio::test]
async fn test_leaving_health_reply_stops_new_work() {
    let backend = Backend::start(Behaviour::Answer).await;
    *backend.health.lock().unwrap() = HealthState::Leaving;
    let (owner, metrics) = owner(settings());
    let shares = view(backend.address, 1, 2);
    let told = || metrics.snapshot().contains_key("owner.health.leaving");
    wait_until("the reply", || {
        owner.apply(&shares);
        told()
    })
    .await;
    owner.apply(&shares);
    let reply = owner.call(call(1, RequestKind::WideSearch)).await;
    assert_eq!(reply.result, CallResult::NotRun(CallRefusal::Leaving));
    assert_eq!(backend.seen(1), 0);
}

#[tokio::test]
async fn test_standby_keeps_warm_connections_and_runs_nothing() {
    let backend = Backend::start(Behaviour::Answer).await;
    let (owner, _metrics) = owner(settings());
    let mut shares = view(backend.address, 2, 4);
    shares.owners.overrides.get_mut(SERVER).unwrap().slots = 0;
    owner.apply(&shares);
    wait_until("a warm connection", || owner.usage(SERVER) == Some((0, 1))).await;
    let reply = owner.call(call(1, RequestKind::WideSearch)).await;
    assert!(matches!(
        reply.result,
        CallResult::NotRun(CallRefusal::NotOwner { .. })
    ));
    assert_eq!(backend.seen(1), 0);
}

#[tokio::test]
async fn test_apply_leaving_server_gets_nothing() {
    let backend = Backend::start(Behaviour::Answer).await;
    let (owner, _metrics) = owner(settings());
    let mut changed = view(backend.address, 1, 2);
    let config = Arc::make_mut(changed.config.as_mut().unwrap());
    let index = Arc::make_mut(config.indexes.get_mut("watches").unwrap());
    index.servers[0].state = ServerState::Leaving;
    owner.apply(&changed);
    let reply = owner.call(call(1, RequestKind::Fetch)).await;
    assert_eq!(reply.result, CallResult::NotRun(CallRefusal::Leaving));
    assert_eq!(backend.seen(1), 0);
}

#[tokio::test]
async fn test_apply_smaller_share_closes_connections() {
    let backend = Backend::start(Behaviour::Answer).await;
    let (owner, _metrics) = owner(settings());
    owner.apply(&view(backend.address, 6, 6));
    wait_until("six connections", || {
        backend.connections.load(Ordering::SeqCst) == 6
    })
    .await;
    wait_until("the smaller share", || {
        owner.apply(&view(backend.address, 2, 3));
        backend.connections.load(Ordering::SeqCst) == 3
    })
    .await;
    let reply = owner.call(call(1, RequestKind::Fetch)).await;
    assert!(matches!(reply.result, CallResult::Done { .. }));
}

#[tokio::test]
async fn test_queue_refuses_beyond_caller_share() {
    let backend = Backend::start(Behaviour::Hold).await;
    let (owner, _metrics) = owner(settings());
    owner.apply(&view(backend.address, 1, 2));
    let calls: Vec<_> = (0..40)
        .map(|number| spawn(&owner, call(number, RequestKind::WideSearch)))
        .collect();
    wait_until("refusals", || {
        calls.iter().filter(|call| call.is_finished()).count() == 7
    })
    .await;
    let mut other = call(99, RequestKind::WideSearch);
    other.caller = "dealer-2".into();
    let other = spawn(&owner, other);
    backend.set(Behaviour::Answer);
    backend.release.notify_one();
    assert!(matches!(
        other.await.unwrap().result,
        CallResult::Done { .. }
    ));
    let mut refused = 0;
    for call in calls {
        let result = call.await.unwrap().result;
        refused += usize::from(result == CallResult::NotRun(CallRefusal::QueueFull));
    }
    assert_eq!(refused, 7);
}
