//! Counters of the edge towards backend servers.

use crate::metrics::Metrics;

/// What the edge towards backend servers counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OwnerCounter {
    /// Connections opened.
    Opened,
    /// Attempts to open a connection that failed.
    ConnectFailed,
    /// Requests handed to a connection.
    Sent,
    /// Requests proved unsent on a closed connection and moved to another one.
    Moved,
    /// Requests withheld because their time had run out right before they were sent.
    Withheld,
    /// Replies that came after nobody waited for them.
    Late,
    /// Replies that were unreadable, too large or carried other ids.
    BadReply,
    /// Connections that broke with a request outstanding.
    Broken,
    /// Requests whose time ran out without a reply.
    Timeout,
    /// Cancellations sent.
    CancelSent,
    /// Cancellations not sent for want of a connection.
    CancelSkipped,
    /// Calls whose time ran out before they were sent.
    Expired,
    /// Questions for a backend server's health.
    HealthAsked,
    /// Replies to them that said the backend server is leaving.
    HealthLeaving,
}

impl OwnerCounter {
    /// Returns the counter's name.
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
