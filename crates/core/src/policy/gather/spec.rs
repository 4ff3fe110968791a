//! The inputs and outputs of a gather.

use std::time::{Duration, Instant};

use rand::RngCore;

use crate::{
    ids::{AttemptId, IndexVersion, ServerId, ServiceId, ShardId},
    policy::{EntryTables, extra_calls::ExtraCallPolicy, retry::RetryReason},
    presets::{HedgePolicy, KindPolicy, RetryPolicy},
    request::{Coverage, RequestKind},
};

/// The request that a gather runs, fixed at admission.
#[derive(Clone, Debug)]
pub struct GatherSpec {
    /// The requested service.
    pub service: ServiceId,
    /// The kind of request.
    pub kind: RequestKind,
    /// The index version from which all rows must come.
    pub version: IndexVersion,
    /// The requested shards and their replicas, in ascending order of shards.
    pub shards: Vec<ShardTarget>,
    /// The time at which the request was admitted.
    pub started_at: Instant,
    /// The deadline of the request.
    pub deadline: Instant,
    /// The policy for this kind of request.
    pub policy: KindPolicy,
    /// The policy for hedges.
    pub hedge: HedgePolicy,
    /// The delay after which shard calls are hedged while too few latencies are known; `None` if
    /// they are not hedged until then.
    pub initial_hedge: Option<Duration>,
    /// The policy for retries.
    pub retry: RetryPolicy,
    /// The limits on the extra calls to each service; `None` if only the budgets of the entry for
    /// all services apply.
    pub extra_calls: Option<ExtraCallPolicy>,
}

/// A shard and the backend servers that hold it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardTarget {
    /// The shard.
    pub shard: ShardId,
    /// The service whose budget of extra calls is used, if the shard is a service of its own.
    pub service: Option<ServiceId>,
    /// The backend servers.
    pub replicas: Vec<ServerId>,
}

impl ShardTarget {
    /// Returns the service whose budget of extra calls is used: that of the shard, or else
    /// `default`.
    pub(super) fn service<'a>(&'a self, default: &'a ServiceId) -> &'a ServiceId {
        self.service.as_ref().unwrap_or(default)
    }
}

/// The external state that each step of a gather needs.
pub struct Context<'a> {
    /// The state that the entry has learned.
    pub tables: &'a mut EntryTables,
    /// The current time.
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

/// The reason why a call is sent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptCause {
    /// The call is the first for its shard.
    First,
    /// The previous call has had no reply for longer than most calls take.
    Hedge,
    /// A previous call failed or is overdue.
    Retry(RetryReason),
    /// The call tests whether an ejected backend server has recovered.
    Probe,
}

/// The expected times of a call when it is sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ExpectedTimes {
    /// The expected wait at the owner of the backend server.
    pub queue_wait: Duration,
    /// The time after which the call is overdue, including the wait.
    pub overdue_after: Duration,
}

/// An action for the code that drives a gather.
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
        /// The reason why the call is sent.
        cause: AttemptCause,
        /// The expected times of the call.
        expected: ExpectedTimes,
    },
    /// Cancel a shard call. Its reply is ignored from now on.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The backend server.
        server: ServerId,
    },
    /// Drop all rows, and call [`Gather::restart`](super::Gather::restart) as soon as a newer index
    /// version is published.
    Stall {
        /// The index version that is no longer available.
        version: IndexVersion,
    },
    /// The request has ended. No action follows.
    Finish(GatherEnd),
}

/// The end of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatherEnd {
    /// Whether the request is answered.
    pub outcome: GatherOutcome,
    /// The included and missing shards.
    pub coverage: Coverage,
    /// The index version from which all rows come.
    pub version: IndexVersion,
}

/// Whether a request that ended is answered.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum GatherOutcome {
    /// The request is answered with the included shards.
    Answer,
    /// Too few shards replied, and none of the calls ran.
    NotRun,
    /// Too few shards replied, and a call may have run.
    Unknown,
}
