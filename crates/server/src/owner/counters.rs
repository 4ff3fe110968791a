//! Counters of calls and connections to backend servers.

use crate::metrics::Metrics;

/// A counter of calls or connections to backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OwnerCounter {
    /// The connections opened.
    Opened,
    /// The failed attempts to open a connection.
    ConnectFailed,
    /// The requests handed to a connection.
    Sent,
    /// The requests that were provably not sent on a closed connection and moved to another one.
    Moved,
    /// The requests withheld because their deadline had passed right before they were sent.
    Withheld,
    /// The calls that ended after their caller had stopped waiting for them.
    Late,
    /// The replies that were unreadable, too large or for another call.
    BadReply,
    /// The connections that broke with a request outstanding.
    Broken,
    /// The sent requests whose deadline passed without a reply.
    Timeout,
    /// The cancellations sent.
    CancelSent,
    /// The cancellations not sent because no connection was available.
    CancelSkipped,
    /// The calls whose deadline passed before they were sent.
    Expired,
    /// The health checks sent to backend servers.
    HealthAsked,
    /// The health checks whose reply said that the backend server is leaving.
    HealthLeaving,
}

impl OwnerCounter {
    /// Returns the name under which the counter is published.
    const fn name(self) -> &'static str {
        match self {
            Self::Opened => "owner.connection.opened",
            Self::ConnectFailed => "owner.connection.failed",
            Self::Sent => "owner.request.sent",
            Self::Moved => "owner.request.moved",
            Self::Withheld => "owner.request.withheld",
            Self::Late => "owner.reply.late",
            Self::BadReply => "owner.reply.bad",
            Self::Broken => "owner.reply.broken",
            Self::Timeout => "owner.reply.timeout",
            Self::CancelSent => "owner.cancel.sent",
            Self::CancelSkipped => "owner.cancel.skipped",
            Self::Expired => "owner.refused.expired",
            Self::HealthAsked => "owner.health.asked",
            Self::HealthLeaving => "owner.health.leaving",
        }
    }

    /// Adds one to the counter.
    pub(super) fn add(self, metrics: &Metrics) {
        metrics.count(self.name());
    }
}
