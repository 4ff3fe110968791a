//! Tests of the owner against scripted backend servers: call results, slots, connections and
//! cancellation.

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
use owner_support::{Backend, Behaviour, SERVER_ID, call, owner, view, wait_until};
use tokio::task::JoinHandle;
use yare::parameterized;

fn settings() -> OwnerSettings {
    OwnerSettings {
        reply: 16 * 1024,
        ..OwnerSettings::default()
    }
}

fn spawn_call(owner: &Arc<Owner>, call: ShardCall) -> JoinHandle<ShardReply> {
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
    half_reply = { Behaviour::TruncatedReply, CallFailure::Broken },
    other_attempt = { Behaviour::OtherAttempt, CallFailure::BadReply },
    other_server = { Behaviour::OtherServer, CallFailure::BadReply },
    garbage = { Behaviour::InvalidJson, CallFailure::BadReply },
    flood = { Behaviour::OversizedReply, CallFailure::BadReply },
    stopped = { Behaviour::ReplyStopped, CallFailure::Timeout },
)]
#[test_macro(tokio::test)]
async fn test_call_unknown_sent_once(behaviour: Behaviour, expected: CallFailure) {
    let backend = Backend::start(behaviour).await;
    let (owner, _metrics) = owner(settings());
    owner.apply(&view(backend.address, 1, 2));
    let reply = owner.call(call(1, RequestKind::Job)).await;
    assert_eq!(reply.result, CallResult::Unknown(expected));
    assert_eq!(backend.receive_count(1), 1);
    backend.set_behaviour(Behaviour::Reply);
    let reply = owner.call(call(2, RequestKind::Job)).await;
    assert!(matches!(reply.result, CallResult::Done { version: 7, .. }));
    assert_eq!(
        backend.receive_count(1),
        1,
        "the HTTP library resent the request"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn test_call_idle_connection_closed_sends_once() {
    let backend = Backend::start(Behaviour::ReplyAndClose).await;
    let (owner, _metrics) = owner(settings());
    owner.apply(&view(backend.address, 1, 2));
    for sequence in 0..300 {
        let reply = owner.call(call(sequence, RequestKind::Job)).await;
        let received = backend.receive_count(sequence);
        match reply.result {
            CallResult::Done { .. } => assert_eq!(received, 1),
            CallResult::NotRun(_) => assert_eq!(received, 0),
            CallResult::Unknown(_) => assert!(received <= 1),
        }
    }
    let runs = backend.runs.lock().unwrap().len();
    assert!(runs > 100, "only {runs} of 300 jobs reached the server");
}

#[tokio::test]
async fn test_call_connection_refused_not_run() {
    let backend = Backend::start(Behaviour::Reply).await;
    let unused_listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = unused_listener.local_addr().unwrap();
    drop(unused_listener);
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
    let backend = Backend::start(Behaviour::Reply).await;
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
    assert!(backend.peak_running.load(Ordering::SeqCst) <= 2);
    assert_eq!(backend.peak_connections.load(Ordering::SeqCst), 2);
    assert_eq!(metrics.snapshot()["owner.connection.opened"], 2);
    assert_eq!(owner.usage(SERVER_ID), Some((0, 2)));
}

#[tokio::test]
async fn test_call_dropped_in_queue_never_sent() {
    let backend = Backend::start(Behaviour::ReplyOnRelease).await;
    let (owner, _metrics) = owner(settings());
    owner.apply(&view(backend.address, 1, 2));
    let first = spawn_call(&owner, call(1, RequestKind::WideSearch));
    wait_until("the first run", || backend.receive_count(1) == 1).await;
    let queued = spawn_call(&owner, call(2, RequestKind::WideSearch));
    let last = spawn_call(&owner, call(3, RequestKind::WideSearch));
    tokio::task::yield_now().await;
    queued.abort();
    drop(queued.await);
    backend.set_behaviour(Behaviour::Reply);
    backend.release.notify_one();
    assert!(matches!(
        first.await.unwrap().result,
        CallResult::Done { .. }
    ));
    assert!(matches!(
        last.await.unwrap().result,
        CallResult::Done { .. }
    ));
    assert_eq!(backend.receive_count(2), 0);
    assert!(backend.cancels.lock().unwrap().is_empty());
}

#[tokio::test]
async fn test_call_dropped_after_send_cancels_and_keeps_slot() {
    let backend = Backend::start(Behaviour::ReplyOnRelease).await;
    let (owner, metrics) = owner(settings());
    owner.apply(&view(backend.address, 1, 2));
    let dropped = spawn_call(&owner, call(1, RequestKind::WideSearch));
    wait_until("the run", || backend.receive_count(1) == 1).await;
    dropped.abort();
    drop(dropped.await);
    wait_until("the cancellation", || {
        backend.cancels.lock().unwrap().len() == 1
    })
    .await;
    let cancel = backend.cancels.lock().unwrap()[0];
    assert_eq!((cancel.request.sequence, cancel.attempt), (1, 0));
    assert_eq!(
        owner.usage(SERVER_ID).unwrap().0,
        1,
        "the slot was released before the run ended"
    );
    let next = spawn_call(&owner, call(2, RequestKind::WideSearch));
    backend.release.notify_one();
    wait_until("the next run", || backend.receive_count(2) == 1).await;
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
    let backend = Backend::start(Behaviour::ReplyOnRelease).await;
    let (owner, _metrics) = owner(settings());
    owner.apply(&view(backend.address, 1, 2));
    let mut short = call(1, RequestKind::Job);
    short.remaining = Millis::new(3_000);
    let queued = {
        let mut queued = call(2, RequestKind::Job);
        queued.remaining = Millis::new(1_000);
        queued
    };
    let first = spawn_call(&owner, short);
    wait_until("the run", || backend.receive_count(1) == 1).await;
    let second = spawn_call(&owner, queued);
    assert_eq!(
        second.await.unwrap().result,
        CallResult::NotRun(CallRefusal::Expired)
    );
    assert_eq!(
        first.await.unwrap().result,
        CallResult::Unknown(CallFailure::Timeout)
    );
    assert_eq!(backend.receive_count(2), 0);
    wait_until("the slot to be released", || {
        owner.usage(SERVER_ID).unwrap().0 == 0
    })
    .await;
    let sent = backend.runs.lock().unwrap()[0].remaining.0;
    assert!(sent <= Duration::from_secs(3));
}

#[tokio::test]
async fn test_calls_urgent_first() {
    let backend = Backend::start(Behaviour::ReplyOnRelease).await;
    let (owner, _metrics) = owner(settings());
    owner.apply(&view(backend.address, 1, 2));
    let first = spawn_call(&owner, call(1, RequestKind::WideSearch));
    wait_until("the first run", || backend.receive_count(1) == 1).await;
    let mut ordinary = call(2, RequestKind::Fetch);
    ordinary.urgency = Urgency::Ordinary;
    ordinary.remaining = Millis::new(20_000);
    let ordinary = spawn_call(&owner, ordinary);
    tokio::task::yield_now().await;
    let late = spawn_call(&owner, call(3, RequestKind::WideSearch));
    tokio::task::yield_now().await;
    let mut soon = call(4, RequestKind::WideSearch);
    soon.remaining = Millis::new(25_000);
    let soon = spawn_call(&owner, soon);
    tokio::task::yield_now().await;
    backend.set_behaviour(Behaviour::Reply);
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
    let backend = Backend::start(Behaviour::ReplyOnRelease).await;
    let (owner, _metrics) = owner(settings());
    let mut fleet_view = view(backend.address, 1, 2);
    owner.apply(&fleet_view);
    let first = spawn_call(&owner, call(1, RequestKind::WideSearch));
    wait_until("the first run", || backend.receive_count(1) == 1).await;
    let queued = spawn_call(&owner, call(2, RequestKind::Job));
    tokio::task::yield_now().await;
    let ownership = fleet_view.owners.overrides.get_mut(SERVER_ID).unwrap();
    (ownership.slots, ownership.connections, ownership.owner) = (0, 0, Some("vm-2".into()));
    owner.apply(&fleet_view);
    let refusal = CallRefusal::NotOwner {
        owner: Some("vm-2".into()),
    };
    assert_eq!(queued.await.unwrap().result, CallResult::NotRun(refusal));
    backend.release.notify_one();
    assert!(matches!(
        first.await.unwrap().result,
        CallResult::Done { .. }
    ));
    wait_until("the connections to close", || {
        owner.usage(SERVER_ID).is_none_or(|usage| usage == (0, 0))
    })
    .await;
}

#[tokio::test]
async fn test_leaving_health_reply_stops_new_work() {
    let backend = Backend::start(Behaviour::Reply).await;
    *backend.health.lock().unwrap() = HealthState::Leaving;
    let (owner, metrics) = owner(settings());
    let fleet_view = view(backend.address, 1, 2);
    let is_leaving = || metrics.snapshot().contains_key("owner.health.leaving");
    wait_until("the health reply", || {
        owner.apply(&fleet_view);
        is_leaving()
    })
    .await;
    owner.apply(&fleet_view);
    let reply = owner.call(call(1, RequestKind::WideSearch)).await;
    assert_eq!(reply.result, CallResult::NotRun(CallRefusal::Leaving));
    assert_eq!(backend.receive_count(1), 0);
}

#[tokio::test]
async fn test_standby_keeps_warm_connections_and_runs_nothing() {
    let backend = Backend::start(Behaviour::Reply).await;
    let (owner, _metrics) = owner(settings());
    let mut fleet_view = view(backend.address, 2, 4);
    fleet_view
        .owners
        .overrides
        .get_mut(SERVER_ID)
        .unwrap()
        .slots = 0;
    owner.apply(&fleet_view);
    wait_until("a warm connection", || {
        owner.usage(SERVER_ID) == Some((0, 1))
    })
    .await;
    let reply = owner.call(call(1, RequestKind::WideSearch)).await;
    assert!(matches!(
        reply.result,
        CallResult::NotRun(CallRefusal::NotOwner { .. })
    ));
    assert_eq!(backend.receive_count(1), 0);
}

#[tokio::test]
async fn test_apply_leaving_server_gets_nothing() {
    let backend = Backend::start(Behaviour::Reply).await;
    let (owner, _metrics) = owner(settings());
    let mut fleet_view = view(backend.address, 1, 2);
    let config = Arc::make_mut(fleet_view.config.as_mut().unwrap());
    let index = Arc::make_mut(config.indexes.get_mut("watches").unwrap());
    index.servers[0].state = ServerState::Leaving;
    owner.apply(&fleet_view);
    let reply = owner.call(call(1, RequestKind::Fetch)).await;
    assert_eq!(reply.result, CallResult::NotRun(CallRefusal::Leaving));
    assert_eq!(backend.receive_count(1), 0);
}

#[tokio::test]
async fn test_apply_smaller_share_closes_connections() {
    let backend = Backend::start(Behaviour::Reply).await;
    let (owner, _metrics) = owner(settings());
    owner.apply(&view(backend.address, 6, 6));
    wait_until("six connections", || {
        backend.open_connections.load(Ordering::SeqCst) == 6
    })
    .await;
    wait_until("three connections", || {
        owner.apply(&view(backend.address, 2, 3));
        backend.open_connections.load(Ordering::SeqCst) == 3
    })
    .await;
    let reply = owner.call(call(1, RequestKind::Fetch)).await;
    assert!(matches!(reply.result, CallResult::Done { .. }));
}

#[tokio::test]
async fn test_queue_refuses_beyond_caller_share() {
    let backend = Backend::start(Behaviour::ReplyOnRelease).await;
    let (owner, _metrics) = owner(settings());
    owner.apply(&view(backend.address, 1, 2));
    let calls: Vec<_> = (0..40)
        .map(|number| spawn_call(&owner, call(number, RequestKind::WideSearch)))
        .collect();
    wait_until("seven refusals", || {
        calls.iter().filter(|call| call.is_finished()).count() == 7
    })
    .await;
    let mut other = call(99, RequestKind::WideSearch);
    other.caller = "dealer-2".into();
    let other = spawn_call(&owner, other);
    backend.set_behaviour(Behaviour::Reply);
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
