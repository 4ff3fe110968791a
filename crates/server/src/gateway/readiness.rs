//! Whether the backend servers of a request take calls, and the wait until they do.

use std::time::{Duration, Instant};

use cassialift_core::{
    policy::{EntryTables, gather::ShardTarget},
    request::RefusalReason,
    routes::RouteTarget,
};

use super::{
    Gateway,
    answer::Refusal,
    decision::{self, Decision},
    forward::{RETRY_UNREACHABLE, replica_sets},
    inbound::Inbound,
    trace::Trace,
};
use crate::timer::Timer;

/// The part of the latency objective for which a request may wait until backend servers that asked
/// for a pause, or whose limits are used up, take calls again. The rest is for the calls.
const MAX_SERVER_WAIT: f64 = 0.5;

/// Whether enough backend servers of a request take calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Readiness {
    Now,
    /// They are expected to after this time.
    After(Duration),
    /// Their limits are used up by other requests; a request may come back after this time.
    UsedUp(Duration),
    Never,
}

impl Readiness {
    /// Returns whether enough backend servers of a request take calls.
    ///
    /// The limits of a search's servers don't count: other VMs may hold permits for them.
    pub(super) fn new(
        tables: &EntryTables,
        target: &RouteTarget,
        targets: &[ShardTarget],
        now: Instant,
    ) -> Self {
        let ready_in = match (target, targets) {
            (RouteTarget::Shards(set), _) => {
                tables.ready_in(replica_sets(targets), set.coverage, now)
            }
            (RouteTarget::Service(_) | RouteTarget::Split(_), [target, ..]) => {
                let replicas = &target.replicas;
                let wait = tables.replicas.permitted_in(replicas, now);
                if let Some(wait) = wait
                    && tables.replicas.is_short(replicas, now)
                {
                    return Self::UsedUp(wait);
                }
                wait
            }
            (RouteTarget::Service(_) | RouteTarget::Split(_), []) => None,
        };
        match ready_in {
            Some(Duration::ZERO) => Self::Now,
            Some(wait) => Self::After(wait),
            None => Self::Never,
        }
    }

    fn decision(self) -> Decision {
        Decision::Unavailable {
            ready_ms: self.wait().map(decision::millis),
            used_up: matches!(self, Self::UsedUp(_)),
        }
    }

    /// Returns the time after which a request may come back; `None` if that is of no use.
    const fn wait(self) -> Option<Duration> {
        match self {
            Self::Now => Some(Duration::ZERO),
            Self::After(wait) | Self::UsedUp(wait) => Some(wait),
            Self::Never => None,
        }
    }
}

impl Gateway {
    /// Waits until enough backend servers of a request take calls, or refuses the request at once if
    /// they are not expected to within [`MAX_SERVER_WAIT`].
    pub(super) async fn await_servers(
        &self,
        mut readiness: Readiness,
        inbound: &Inbound,
        targets: &[ShardTarget],
        trace: &mut Trace,
    ) -> Result<(), Refusal> {
        if readiness == Readiness::Now {
            return Ok(());
        }
        trace.decisions.record(inbound.age(), readiness.decision());
        self.with_tables(|tables| {
            for replicas in replica_sets(targets) {
                tables.replicas.want_permits(replicas, Timer.now());
            }
        });
        let longest = inbound.route.objective.0.mul_f64(MAX_SERVER_WAIT);
        if let Readiness::After(wait) = readiness
            && inbound.age() + wait <= longest
        {
            Timer.after(wait).await;
            readiness = self.with_tables(|tables| {
                Readiness::new(tables, &inbound.route.target, targets, Timer.now())
            });
            if readiness == Readiness::Now {
                return Ok(());
            }
            // Other requests were served first, and would be again.
            trace.decisions.record(inbound.age(), readiness.decision());
        }
        Err(match readiness.wait() {
            Some(wait) => Refusal::not_run(RefusalReason::Overloaded, Some(wait)),
            None => Refusal::not_run(RefusalReason::Unreachable, Some(RETRY_UNREACHABLE)),
        })
    }
}
