//! What a gather is given and what it asks for.

use std::time::{Duration, Instant};

use rand::RngCore;

use crate::{
    ids::{AttemptId, IndexVersion, ServerId, ServiceId, ShardId},
    policy::{EntryTables, extra_calls::ExtraCallPolicy, retry::RetryReason},
    presets::{HedgePolicy, KindPolicy, RetryPolicy},
    request::{Coverage, RequestKind},
};

/// The request that a gather runs; pinned at admission.
#[derive(Clone, Debug)]
pub struct GatherSpec {
    /// The service asked.
    pub service: ServiceId,
    /// The kind of request.
    pub kind: RequestKind,
    /// The pinned index version.
    pub version: IndexVersion,
    /// The shards asked for and their replicas, in ascending order of shards.
    pub shards: Vec<ShardTarget>,
    /// When the request was admitted.
    pub started: Instant,
    /// When it must be answered.
    pub deadline: Instant,
    /// The policy of its kind.
    pub policy: KindPolicy,
    /// When shard calls are hedged.
    pub hedge: HedgePolicy,
    /// After how long they are hedged before enough latencies were seen; none for not at all.
    pub initial_hedge: Option<Duration>,
    /// When shard calls are tried again.
    pub retry: RetryPolicy,
    /// What bounds the extra calls to each service; none where the entry's own budgets do alone.
    pub extra_calls: Option<ExtraCallPolicy>,
}

/// A shard and the backend servers that hold it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardTarget {
    /// The shard.
    pub shard: ShardId,
    /// The service whose budget of extra calls counts, where shards are services of their own.
    pub service: Option<ServiceId>,
    /// The backend servers.
    pub replicas: Vec<ServerId>,
}

impl ShardTarget {
    /// Returns the service whose budget of extra calls counts: the shard's, or else `asked`.
    pub(super) fn service<'a>(&'a self, asked: &'a ServiceId) -> &'a ServiceId {
        self.service.as_ref().unwrap_or(asked)
    }
}

/// What every step of a gather needs besides its own state.
pub struct Context<'a> {
    /// What the entry has learned.
    pub tables: &'a mut EntryTables,
    /// The time.
    pub now: Instant,
    /// The source of randomness.
    pub rng: &'a mut dyn RngCore,
}

impl std::fmt::Debug for Context<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context")
            .field("now", &self.now)
            .finish_non_exhaustive()
    }
}

/// Why a call is sent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptCause {
    /// It is the first for its shard.
    First,
    /// The call before it is slower than most.
    Hedge,
    /// A call before it failed or is overdue.
    Retry(RetryReason),
    /// It tells whether an ejected backend server has recovered.
    Probe,
}

/// What is expected of a call when it is sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SendBasis {
    /// How long it waits for the backend server.
    pub wait: Duration,
    /// After how long it counts as overdue, with the wait.
    pub overdue_after: Duration,
}

/// What the driver has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a shard call.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The shard.
        shard: ShardId,
        /// The backend server.
        server: ServerId,
        /// Why it is sent.
        cause: AttemptCause,
        /// What is expected of it.
        basis: SendBasis,
    },
    /// Cancel a shard call, whose reply is dropped from now on.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The backend server.
        server: ServerId,
    },
    /// Drop all rows and call [`Gather::restart`](super::Gather::restart) as soon as a newer index
    /// version is known.
    Stall {
        /// The version that is gone.
        version: IndexVersion,
    },
    /// The request has ended; nothing follows.
    Finish(GatherEnd),
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatherEnd {
    /// Whether it is answered.
    pub verdict: Verdict,
    /// Which shards are in.
    pub coverage: Coverage,
    /// The version that all rows were drawn from.
    pub version: IndexVersion,
}

/// Whether a request that ended is answered.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Verdict {
    /// It is answered with the included shards.
    Answer,
    /// Too few shards replied, and none of them ran anything.
    NotRun,
    /// Too few shards replied.
    Unknown,
}
