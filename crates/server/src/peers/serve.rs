//! The calls that this process serves to its peers.

use std::{sync::Arc, time::Duration};

use cassialift_core::{
    ids::{Incarnation, VmId},
    policy::{
        poison::PoisonReport,
        server_limit::{PermitClaim, PermitGrant},
    },
    request::{ExecutionStatus, RefusalReason},
};
use cassialift_wire::peer::{
    CallRefusal, CallResult, ConfigPull, ConfigPullReply, GatherWithBody, Greeting, JobForward,
    JobReply, PartialGather, PartialReply, Peer, Ping, PingReply, ProbeReply, RelayOutcome,
    RelayReply, RelayRequest, RestRequest, ShardCall, ShardReply,
};
use futures::StreamExt;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
    tokio_serde::{self, formats::Bincode},
};

use crate::{
    entry::jobs::handle_as_holder,
    process::{Node, ProcessError},
    sockets,
    timer::Timer,
};

/// The pause after a connection could not be accepted, for example because file descriptors ran
/// out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The server of one peer's calls.
#[derive(Clone, Debug)]
pub struct PeerServer {
    node: Arc<Node>,
}

impl Peer for PeerServer {
    async fn call_shard(self, _: Context, call: ShardCall) -> ShardReply {
        let _running = self.node.drain.enter();
        let server = Arc::clone(&call.server);
        let mut reply = self.node.owner.call(call).await;
        if let CallResult::NotRun(CallRefusal::NotOwner { owner }) = &mut reply.result
            && owner.is_none()
        {
            let view = self.node.control.view();
            *owner = view
                .owners
                .get(&server)
                .and_then(|known| known.owner.clone());
        }
        reply
    }

    async fn forward_job(self, _: Context, holder: Incarnation, job: JobForward) -> JobReply {
        let _running = self.node.drain.enter();
        if holder == self.node.control.view().own.incarnation {
            return handle_as_holder(&self.node, job).await;
        }
        JobReply::Refused {
            reason: RefusalReason::HolderGone,
            ran: ExecutionStatus::Unknown,
            retry: None,
        }
    }

    async fn gather(self, _: Context, partial: PartialGather) -> PartialReply {
        let _running = self.node.drain.enter();
        match self.node.gateway() {
            Some(gateway) => gateway.gather_partial(partial, None).await,
            None => PartialReply::empty(partial.attempt),
        }
    }

    async fn gather_with_body(self, _: Context, search: GatherWithBody) -> PartialReply {
        let _running = self.node.drain.enter();
        let GatherWithBody { gather, body } = search;
        match self.node.gateway() {
            Some(gateway) => gateway.gather_partial(gather, Some(body)).await,
            None => PartialReply::empty(gather.attempt),
        }
    }

    async fn rest(self, _: Context, request: RestRequest) -> PartialReply {
        let _running = self.node.drain.enter();
        match self.node.gateway() {
            Some(gateway) => gateway.gather_rest(request).await,
            None => PartialReply::empty(request.attempt),
        }
    }

    async fn ping(self, _: Context, ping: Ping) -> PingReply {
        match self.node.control.ping(ping).await {
            Some(reply) => reply,
            // The process is ending; the peer sees its connection close.
            None => std::future::pending().await,
        }
    }

    async fn probe(self, _: Context, target: VmId) -> ProbeReply {
        let answered = self.node.control.probe(target).await;
        ProbeReply { answered }
    }

    async fn pull_config(self, _: Context, pull: ConfigPull) -> ConfigPullReply {
        self.node.control.pull(pull).await
    }

    async fn exchange_poison(self, _: Context, reports: Vec<PoisonReport>) -> Vec<PoisonReport> {
        match self.node.gateway() {
            Some(gateway) => gateway.exchange_poison(&reports),
            None => Vec::new(),
        }
    }

    async fn relay(self, _: Context, request: RelayRequest) -> RelayReply {
        let _running = self.node.drain.enter();
        match self.node.gateway() {
            Some(gateway) => gateway.serve_relayed(request).await,
            None => RelayReply {
                attempt: request.attempt,
                outcome: RelayOutcome::Unavailable,
            },
        }
    }

    async fn greet(self, _: Context, _: Greeting) -> Greeting {
        Greeting::default()
    }

    async fn claim_permits(self, _: Context, claims: Vec<PermitClaim>) -> Vec<PermitGrant> {
        match self.node.gateway() {
            Some(gateway) => gateway.grant_permits(&claims),
            None => Vec::new(),
        }
    }
}

/// Accepts connections from peers until the process ends.
///
/// # Errors
/// Returns an error when the address cannot be listened on.
pub async fn serve(node: Arc<Node>) -> Result<(), ProcessError> {
    let address = node.settings.listen.unwrap_or(node.settings.peers);
    let listener = sockets::listen(address).await?;
    tokio::spawn(async move {
        loop {
            let stream = match sockets::accept(&listener).await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("peers: A connection could not be accepted: {error}.");
                    Timer.after(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let frames = node.peers.traffic().framed(stream, Arc::default());
            let transport = tokio_serde::Framed::new(frames, Bincode::default());
            let server = PeerServer {
                node: Arc::clone(&node),
            };
            let calls = BaseChannel::with_defaults(transport).execute(server.serve());
            tokio::spawn(calls.for_each_concurrent(None, |call| call));
        }
    });
    Ok(())
}
