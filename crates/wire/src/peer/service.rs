//! The tarpc service that every process offers its peers.

use cassialift_core::ids::{Incarnation, VmId};

use super::{
    ConfigPull, ConfigPullReply, JobForward, JobReply, PartialGather, PartialReply, Ping,
    PingReply, ProbeReply, ShardCall, ShardReply,
};

/// What a process offers its peers.
#[tarpc::service]
pub trait Peer {
    /// Runs one shard's part of a request on a backend server that this process owns.
    async fn call_shard(call: ShardCall) -> ShardReply;
    /// Runs a job, or tells its outcome, if `holder` is this run of the process.
    async fn forward_job(holder: Incarnation, job: JobForward) -> JobReply;
    /// Asks some shards of a search and merges their parts.
    async fn gather(partial: PartialGather) -> PartialReply;
    /// Waits for what comes after an open reply to [`Self::gather`] for the same attempt.
    async fn rest(attempt: Vec<u8>) -> PartialReply;
    /// Exchanges heartbeats.
    async fn ping(ping: Ping) -> PingReply;
    /// Pings `target` on the asker's behalf.
    async fn probe(target: VmId) -> ProbeReply;
    /// Returns the configuration documents changed after a revision.
    async fn pull_config(pull: ConfigPull) -> ConfigPullReply;
}
