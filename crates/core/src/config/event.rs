//! Events of the configuration, for logs, counters and operators.

use std::time::Duration;

use displaydoc::Display;

use super::{BatchError, RejectedDocument, Source};
use crate::ids::{PresetId, Revision, VmId};

/// An event of the configuration. The comment of each variant is the text of its log line.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum ConfigEvent {
    /// Revision {revision} is held, learned from {source}.
    Advanced {
        /// The new revision.
        revision: Revision,
        /// The sender of the revision.
        source: Source,
    },
    /// Preset {preset} is in force since revision {revision}, learned from {source}.
    InForce {
        /// The name of the preset.
        preset: PresetId,
        /// The revision of this process when the preset became active or changed.
        revision: Revision,
        /// The sender of the revision.
        source: Source,
    },
    /// Rejected {0}.
    Rejected(RejectedDocument),
    /// Refused a batch from {source}: {error}.
    Refused {
        /// The sender of the batch.
        source: Source,
        /// The reason for the refusal.
        error: BatchError,
    },
    /// {vm} named revision {announced}, but {current} is held after a pull from it.
    RevisionNotServed {
        /// The VM of the peer.
        vm: VmId,
        /// The revision that the peer had announced.
        announced: Revision,
        /// The revision that this process has.
        current: Revision,
    },
    /// The service answered with revision {reply}, older than {current}; nothing was changed.
    StaleAnswer {
        /// The revision of the service's reply.
        reply: Revision,
        /// The revision that this process has.
        current: Revision,
    },
    /// The service cannot be read from here.
    ServiceUnreachable,
    /// The service can be read from here.
    ServiceReached,
    /// This VM reads the service.
    ReadingBegan,
    /// This VM no longer reads the service.
    ReadingEnded,
    /// No confirmation of the configuration for {0:?}; the last accepted one stays in force.
    ConfirmationOverdue(Duration),
    /// The configuration is confirmed again, read by {0}.
    Confirmed(VmId),
    /// Requests are admitted; revision {0} is in force.
    Started(Revision),
    /// The process was paused; the configuration counts as unconfirmed until it is read again.
    FreezeDetected,
}

impl ConfigEvent {
    /// Returns the name of the counter for this kind of event.
    #[must_use]
    pub const fn counter(&self) -> &'static str {
        match self {
            Self::Advanced { .. } => "config.advanced",
            Self::InForce { .. } => "config.in_force",
            Self::Rejected(_) => "config.rejected",
            Self::Refused { .. } => "config.batch_refused",
            Self::RevisionNotServed { .. } => "config.unserved",
            Self::StaleAnswer { .. } => "config.stale_answer",
            Self::ServiceUnreachable => "config.service_lost",
            Self::ServiceReached => "config.service_reached",
            Self::ReadingBegan => "config.reading_began",
            Self::ReadingEnded => "config.reading_ended",
            Self::ConfirmationOverdue(_) => "config.aged",
            Self::Confirmed(_) => "config.confirmed",
            Self::Started(_) => "config.started",
            Self::FreezeDetected => "config.distrusted",
        }
    }

    /// Returns whether the event may need action by an operator.
    #[must_use]
    pub const fn is_warning(&self) -> bool {
        match self {
            Self::Rejected(_)
            | Self::Refused { .. }
            | Self::RevisionNotServed { .. }
            | Self::StaleAnswer { .. }
            | Self::ServiceUnreachable
            | Self::ConfirmationOverdue(_)
            | Self::FreezeDetected => true,
            Self::Advanced { .. }
            | Self::InForce { .. }
            | Self::ServiceReached
            | Self::ReadingBegan
            | Self::ReadingEnded
            | Self::Confirmed(_)
            | Self::Started(_) => false,
        }
    }
}
