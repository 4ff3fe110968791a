//! Tests of the checks that a peer's reply matches its request.

use std::sync::Arc;

use bytes::Bytes;
use cassialift_core::{
    ids::{Incarnation, RequestKey, VmId},
    policy::{
        poison::PoisonReport,
        server_limit::{CallRate, PermitClaim, PermitGrant},
    },
    request::{RequestKind, Urgency},
    routes::{Route, RouteTarget},
    time::Millis,
};
use cassialift_wire::{
    backend::ServerLoad,
    caller::{JobAnswer, JobState},
    peer::{
        CallResult, ConfigPull, ConfigPullReply, GatherWithBody, Greeting, JobForward, JobReply,
        PartialGather, PartialReply, Peer, PeerClient, Ping, PingReply, ProbeReply, RelayOutcome,
        RelayReply, RelayRequest, RestRequest, ShardCall, ShardReply,
    },
};
use futures::StreamExt;
use tarpc::{
    client::Config,
    context::{self, Context},
    server::{BaseChannel, Channel},
    transport::channel,
};
use yare::parameterized;

use super::super::{
    PeerError, PeerTable, PeerTraffic, call_shard, claim_permits, forward_job, gather,
    gather_with_body, relay, rest,
};
use crate::metrics::Metrics;

/// A change to a correct reply.
type Change = fn(&mut ShardReply);

/// A peer whose replies do not match the requests.
#[derive(Clone)]
pub(super) struct MismatchedPeer {
    change: Change,
    id: &'static str,
}

impl MismatchedPeer {
    /// Returns a peer that replies to shard calls correctly and to all others with this id.
    pub(super) const fn new(id: &'static str) -> Self {
        Self { change: |_| {}, id }
    }

    fn partial(&self) -> PartialReply {
        PartialReply::empty(self.id.as_bytes().to_vec())
    }
}

impl Peer for MismatchedPeer {
    async fn call_shard(self, _: Context, call: ShardCall) -> ShardReply {
        let mut reply = ShardReply {
            request: call.request,
            attempt: call.attempt,
            shard: call.shard,
            server: call.server,
            result: CallResult::Done {
                version: call.version,
                rows: Vec::new(),
            },
            queue_len: 0,
            queue_wait: Millis::default(),
            load: ServerLoad::default(),
        };
        (self.change)(&mut reply);
        reply
    }

    async fn forward_job(self, _: Context, _: Incarnation, _: JobForward) -> JobReply {
        JobReply::Answer(JobAnswer {
            id: self.id.to_owned(),
            state: JobState::Done(Vec::new()),
            preset: None,
            revision: None,
        })
    }

    async fn rest(self, _: Context, _: RestRequest) -> PartialReply {
        self.partial()
    }

    async fn gather(self, _: Context, _: PartialGather) -> PartialReply {
        self.partial()
    }

    async fn gather_with_body(self, _: Context, _: GatherWithBody) -> PartialReply {
        self.partial()
    }

    async fn greet(self, _: Context, _: Greeting) -> Greeting {
        Greeting::default()
    }

    async fn ping(self, _: Context, _: Ping) -> PingReply {
        std::future::pending().await
    }

    async fn probe(self, _: Context, _: VmId) -> ProbeReply {
        std::future::pending().await
    }

    async fn pull_config(self, _: Context, _: ConfigPull) -> ConfigPullReply {
        std::future::pending().await
    }

    async fn exchange_poison(self, _: Context, _: Vec<PoisonReport>) -> Vec<PoisonReport> {
        std::future::pending().await
    }

    async fn relay(self, _: Context, _: RelayRequest) -> RelayReply {
        RelayReply {
            attempt: self.id.as_bytes().to_vec(),
            outcome: RelayOutcome::Unavailable,
        }
    }

    async fn claim_permits(self, _: Context, _: Vec<PermitClaim>) -> Vec<PermitGrant> {
        vec![PermitGrant::Calls(1); self.id.len()]
    }
}

fn connect(peer: MismatchedPeer) -> PeerClient {
    let (near, far) = channel::unbounded();
    let calls = BaseChannel::with_defaults(far).execute(peer.serve());
    tokio::spawn(calls.for_each_concurrent(None, |call| call));
    PeerClient::new(Config::default(), near).spawn()
}

fn call() -> ShardCall {
    ShardCall {
        request: RequestKey {
            incarnation: 7,
            sequence: 8,
        },
        attempt: 1,
        caller: "counter".into(),
        service: "listings".into(),
        shard: 3,
        server: "listings-0".into(),
        version: 1,
        kind: RequestKind::WideSearch,
        urgency: Urgency::Urgent,
        remaining: Millis::new(1_000),
        body: "q".to_owned(),
    }
}

#[parameterized(
    own = { |_| {}, true },
    of_another_request = { |reply| reply.request.sequence += 1, false },
    of_another_run = { |reply| reply.request.incarnation += 1, false },
    of_another_attempt = { |reply| reply.attempt += 1, false },
    of_another_shard = { |reply| reply.shard += 1, false },
    of_another_server = { |reply| reply.server = Arc::from("listings-1"), false },
)]
#[test_macro(tokio::test)]
async fn test_shard_reply(change: Change, accepted: bool) {
    let client = connect(MismatchedPeer { change, id: "" });
    let reply = call_shard(&client, context::current(), call()).await;
    assert_eq!(reply.is_ok(), accepted, "{reply:?}");
    assert_eq!(mismatch_count(reply.err()), u64::from(!accepted));
}

#[parameterized(
    own = { "1", true },
    of_another_request = { "2", false },
)]
#[test_macro(tokio::test)]
async fn test_job_reply(id: &'static str, accepted: bool) {
    let client = connect(MismatchedPeer::new(id));
    let job = JobForward {
        id: "1".to_owned(),
        caller: "press".into(),
        ticket: String::new(),
        remaining: None,
        body: None,
    };
    let reply = forward_job(&client, context::current(), 7, job).await;
    assert_eq!(reply.is_ok(), accepted, "{reply:?}");
    assert_eq!(mismatch_count(reply.err()), u64::from(!accepted));
}

#[parameterized(
    own = { "1", true },
    of_another_attempt = { "2", false },
)]
#[test_macro(tokio::test)]
async fn test_partial_reply(id: &'static str, accepted: bool) {
    let client = connect(MismatchedPeer::new(id));
    let partial = PartialGather {
        attempt: b"1".to_vec(),
        method: "GET".to_owned(),
        target: "/".to_owned(),
        headers: Vec::new(),
        route: "find".into(),
        shards: Vec::new(),
        top: 1,
        max_servers: 1,
        remaining: Millis::new(1_000),
        reply_after: Millis::new(100),
        spread: false,
        min_coverage: 0.0,
    };
    let rest_request = RestRequest {
        attempt: b"1".to_vec(),
        search: 1,
    };
    let search = GatherWithBody {
        gather: partial.clone(),
        body: Bytes::from_static(b"q"),
    };
    let replies = [
        gather(&client, context::current(), partial).await,
        gather_with_body(&client, context::current(), search).await,
        rest(&client, context::current(), &rest_request).await,
    ];
    for reply in replies {
        assert_eq!(reply.is_ok(), accepted, "{reply:?}");
        assert_eq!(mismatch_count(reply.err()), u64::from(!accepted));
    }
}

#[parameterized(
    own = { "1", true },
    of_another_attempt = { "2", false },
)]
#[test_macro(tokio::test)]
async fn test_relay_reply(id: &'static str, accepted: bool) {
    let client = connect(MismatchedPeer::new(id));
    let request = RelayRequest {
        attempt: b"1".to_vec(),
        method: "GET".to_owned(),
        target: "/".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        route: Route {
            name: "fetch".into(),
            host: "shop.example".to_owned(),
            prefix: "/".to_owned(),
            kind: RequestKind::Fetch,
            target: RouteTarget::Service("ledger".into()),
            timeout: Millis::new(1_000),
            objective: Millis::new(100),
            servers: 1,
            priority: 0,
        },
        remaining: Millis::new(1_000),
    };
    let reply = relay(&client, context::current(), request).await;
    assert_eq!(reply.is_ok(), accepted, "{reply:?}");
    assert_eq!(mismatch_count(reply.err()), u64::from(!accepted));
}

/// Returns the counter of mismatched replies after a call ended with this error, or without one.
fn mismatch_count(error: Option<PeerError>) -> u64 {
    let metrics = Metrics::new(None).unwrap();
    let table = PeerTable::new(Arc::new(PeerTraffic::default()));
    if let Some(error) = error {
        assert!(!error.is_unsent());
        table.on_call_failed(&VmId::from("vm-1"), &error, &metrics);
    }
    let counters = metrics.snapshot();
    counters.get("peers.foreign_reply").copied().unwrap_or(0)
}

#[parameterized(
    one_each = { "12", true },
    too_few = { "1", false },
    too_many = { "123", false },
)]
#[test_macro(tokio::test)]
async fn test_permit_reply(id: &'static str, accepted: bool) {
    let client = connect(MismatchedPeer::new(id));
    let claim = PermitClaim {
        server: "ledger-0".into(),
        limit: CallRate::per_second(3.0),
        age: Millis::default(),
        calls: 1,
    };
    let reply = claim_permits(&client, context::current(), vec![claim; 2]).await;
    assert_eq!(reply.is_ok(), accepted, "{reply:?}");
    assert_eq!(mismatch_count(reply.err()), u64::from(!accepted));
}
