//! Tests of calls between processes of different versions.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cassialift_core::{
    ids::{Incarnation, VmId},
    policy::{
        poison::PoisonReport,
        server_limit::{PermitClaim, PermitGrant},
    },
};
use cassialift_wire::peer::{
    ConfigPull, ConfigPullReply, JobForward, JobReply, PartialGather, PartialReply, Ping,
    PingReply, ProbeReply, RelayReply, RelayRequest, RestRequest, ShardCall, ShardReply,
    version::{WITH_BODIES, WITHOUT_GREETING},
};
use futures::StreamExt;
use tarpc::{
    context::{self, Context},
    server::{BaseChannel, Channel},
    tokio_serde::{self, formats::Bincode},
};
use tokio::{net::TcpListener, sync::Notify, task::JoinHandle};

use super::{
    super::{PeerError, PeerTable, PeerTraffic},
    replies::MismatchedPeer,
    table::{LIMIT, view},
};

/// The calls of version 1.
#[tarpc::service]
trait FormerPeer {
    async fn call_shard(call: ShardCall) -> ShardReply;
    async fn forward_job(holder: Incarnation, job: JobForward) -> JobReply;
    async fn gather(partial: PartialGather) -> PartialReply;
    async fn rest(request: RestRequest) -> PartialReply;
    async fn ping(ping: Ping) -> PingReply;
    async fn probe(target: VmId) -> ProbeReply;
    async fn pull_config(pull: ConfigPull) -> ConfigPullReply;
    async fn claim_permits(claims: Vec<PermitClaim>) -> Vec<PermitGrant>;
    async fn exchange_poison(reports: Vec<PoisonReport>) -> Vec<PoisonReport>;
    async fn relay(request: RelayRequest) -> RelayReply;
}

/// A process of version 1 that replies to a probe once it is told to, and to nothing else.
#[derive(Clone)]
struct FormerProcess(Arc<Notify>);

impl FormerPeer for FormerProcess {
    async fn probe(self, _: Context, _: VmId) -> ProbeReply {
        self.0.notified().await;
        ProbeReply { answered: true }
    }

    async fn call_shard(self, _: Context, _: ShardCall) -> ShardReply {
        std::future::pending().await
    }

    async fn forward_job(self, _: Context, _: Incarnation, _: JobForward) -> JobReply {
        std::future::pending().await
    }

    async fn gather(self, _: Context, _: PartialGather) -> PartialReply {
        std::future::pending().await
    }

    async fn rest(self, _: Context, _: RestRequest) -> PartialReply {
        std::future::pending().await
    }

    async fn ping(self, _: Context, _: Ping) -> PingReply {
        std::future::pending().await
    }

    async fn pull_config(self, _: Context, _: ConfigPull) -> ConfigPullReply {
        std::future::pending().await
    }

    async fn claim_permits(self, _: Context, _: Vec<PermitClaim>) -> Vec<PermitGrant> {
        std::future::pending().await
    }

    async fn exchange_poison(self, _: Context, _: Vec<PoisonReport>) -> Vec<PoisonReport> {
        std::future::pending().await
    }

    async fn relay(self, _: Context, _: RelayRequest) -> RelayReply {
        std::future::pending().await
    }
}

/// Serves `process` on a listener until the task is aborted, which closes all its connections.
macro_rules! serve {
    ($listener:expr, $process:expr) => {{
        let listener: TcpListener = $listener;
        let process = $process;
        tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let frames = Arc::new(PeerTraffic::default()).framed(stream, Arc::default());
                let transport = tokio_serde::Framed::new(frames, Bincode::default());
                let calls = BaseChannel::with_defaults(transport).execute(process.clone().serve());
                connections.spawn(calls.for_each_concurrent(None, |call| call));
            }
        })
    }};
}

fn start_former(listener: TcpListener) -> (JoinHandle<()>, Arc<Notify>) {
    let reply = Arc::new(Notify::new());
    let task = serve!(listener, FormerProcess(Arc::clone(&reply)));
    (task, reply)
}

async fn listen(address: SocketAddr) -> TcpListener {
    TcpListener::bind(address).await.unwrap()
}

/// A greeting must not disturb the other calls to a process that knows none.
#[tokio::test]
async fn test_versions_former_process_keeps_its_calls() {
    let listener = listen(([127, 0, 0, 1], 0).into()).await;
    let vm = VmId::from("vm-1");
    let view = view(&vm, listener.local_addr().unwrap());
    let (_task, reply) = start_former(listener);
    let table = PeerTable::new(Arc::new(PeerTraffic::default()));
    let client = table.client(&view, &vm).await.unwrap();
    let mut context = context::current();
    context.deadline += LIMIT;
    let probe = tokio::spawn(async move { client.probe(context, "vm-2".into()).await });
    let result = table.client_reading(WITH_BODIES, &view, &vm).await;
    let error = result.unwrap_err();
    assert!(error.is_unsent());
    assert!(
        matches!(error, PeerError::Outdated(WITHOUT_GREETING)),
        "{error}"
    );
    assert_eq!(table.outdated(WITH_BODIES), [VmId::clone(&vm)].into());
    assert!(table.outdated(WITHOUT_GREETING).is_empty());
    let any = table.client_reading(WITHOUT_GREETING, &view, &vm).await;
    any.unwrap();
    reply.notify_one();
    assert!(probe.await.unwrap().unwrap().answered);
}

/// A process that does not reply to a greeting was sent nothing else.
#[tokio::test(start_paused = true)]
async fn test_versions_silent_process_gets_no_call() {
    let listener = listen(([127, 0, 0, 1], 0).into()).await;
    let vm = VmId::from("vm-1");
    let view = view(&vm, listener.local_addr().unwrap());
    let table = PeerTable::new(Arc::new(PeerTraffic::default()));
    let error = table
        .client_reading(WITH_BODIES, &view, &vm)
        .await
        .unwrap_err();
    assert!(error.is_unsent(), "{error}");
    assert!(table.outdated(WITH_BODIES).is_empty());
}

/// The known version must not outlive the process.
#[tokio::test]
async fn test_versions_process_is_replaced_by_a_newer_one() {
    let listener = listen(([127, 0, 0, 1], 0).into()).await;
    let address = listener.local_addr().unwrap();
    let vm = VmId::from("vm-1");
    let view = view(&vm, address);
    let (task, _) = start_former(listener);
    let table = PeerTable::new(Arc::new(PeerTraffic::default()));
    let result = table.client_reading(WITH_BODIES, &view, &vm).await;
    result.unwrap_err();
    task.abort();
    assert!(task.await.unwrap_err().is_cancelled());
    let newer = {
        use cassialift_wire::peer::Peer;
        serve!(listen(address).await, MismatchedPeer::new("1"))
    };
    let replaced = async {
        // The table notices that the connection closed a moment after the process ended.
        while table.client_reading(WITH_BODIES, &view, &vm).await.is_err() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let replaced = tokio::time::timeout(LIMIT, replaced).await;
    assert!(
        replaced.is_ok(),
        "the newer process is still taken for the former one"
    );
    assert!(table.outdated(WITH_BODIES).is_empty());
    newer.abort();
}
