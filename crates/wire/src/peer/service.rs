//! The tarpc service that every process provides to its peers.

use cassialift_core::{
    ids::{Incarnation, VmId},
    policy::{
        poison::PoisonReport,
        server_limit::{PermitClaim, PermitGrant},
    },
};

use super::{
    ConfigPull, ConfigPullReply, GatherWithBody, Greeting, JobForward, JobReply, PartialGather,
    PartialReply, Ping, PingReply, ProbeReply, RelayReply, RelayRequest, RestRequest, ShardCall,
    ShardReply,
};

/// The calls that a process accepts from its peers, in the order of the
/// [versions](super::version) that added them.
#[tarpc::service]
pub trait Peer {
    /// Runs one shard's part of a request on a backend server that this process owns.
    async fn call_shard(call: ShardCall) -> ShardReply;
    /// Runs a job, or returns its outcome, if `holder` is this run of the process.
    async fn forward_job(holder: Incarnation, job: JobForward) -> JobReply;
    /// Queries some shards of a search without a body and merges their records.
    async fn gather(partial: PartialGather) -> PartialReply;
    /// Returns shards of a search that were not in its interim reply to [`Self::gather`], nor in an
    /// interim reply to this.
    async fn rest(request: RestRequest) -> PartialReply;
    /// Exchanges heartbeats.
    async fn ping(ping: Ping) -> PingReply;
    /// Pings `target` on behalf of the calling VM.
    async fn probe(target: VmId) -> ProbeReply;
    /// Returns the configuration documents changed after a position.
    async fn pull_config(pull: ConfigPull) -> ConfigPullReply;
    /// Hands out permits for calls to backend servers that state a limit, one grant for each claim.
    async fn claim_permits(claims: Vec<PermitClaim>) -> Vec<PermitGrant>;
    /// Exchanges what is known about requests under which backend servers ended.
    async fn exchange_poison(reports: Vec<PoisonReport>) -> Vec<PoisonReport>;
    /// Serves a caller's request for a VM that reaches no backend server.
    async fn relay(request: RelayRequest) -> RelayReply;
    /// Tells both processes which version of the messages the other one reads.
    async fn greet(greeting: Greeting) -> Greeting;
    /// Queries some shards of a search that may have a body and merges their records.
    async fn gather_with_body(search: GatherWithBody) -> PartialReply;
}
