//! What happened to the configuration, for logs, counters and operators.

use std::time::Duration;

use displaydoc::Display;

use super::{BatchError, RejectedDocument, Source};
use crate::ids::{PresetId, Revision, VmId};

/// What happened to the configuration.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum ConfigEvent {
    /// Revision {revision} is held, learned from {source}.
    Advanced {
        /// The revision.
        revision: Revision,
        /// From whom.
        source: Source,
    },
    /// Preset {preset} is in force since revision {revision}, learned from {source}.
    InForce {
        /// The preset.
        preset: PresetId,
        /// The revision.
        revision: Revision,
        /// From whom.
        source: Source,
    },
    /// Rejected {0}.
    Rejected(RejectedDocument),
    /// Refused a batch from {source}: {error}.
    Refused {
        /// From whom.
        source: Source,
        /// Why.
        error: BatchError,
    },
    /// {vm} named revision {named}, but {held} is held after a pull from it.
    Unserved {
        /// The peer.
        vm: VmId,
        /// The revision that it had named.
        named: Revision,
        /// The revision held.
        held: Revision,
    },
    /// The service answered with revision {given}, older than {held}; nothing was changed.
    StaleAnswer {
        /// The revision of the answer.
        given: Revision,
        /// The revision held.
        held: Revision,
    },
    /// The service cannot be read from here.
    ServiceLost,
    /// The service can be read from here.
    ServiceReached,
    /// This VM reads the service.
    ReadingBegan,
    /// This VM no longer reads the service.
    ReadingEnded,
    /// No confirmation of the configuration for {0:?}; the last accepted one stays in force.
    Aged(Duration),
    /// The configuration is confirmed again, read by {0}.
    Confirmed(VmId),
    /// Requests are admitted; revision {0} is in force.
    Started(Revision),
    /// The process was paused; the configuration counts as unconfirmed until it is read again.
    Distrusted,
}

impl ConfigEvent {
    /// Returns the name of the counter of such events.
    #[must_use]
    pub const fn counter(&self) -> &'static str {
        match self {
            Self::Advanced { .. } => "config.advanced",
            Self::InForce { .. } => "config.in_force",
            Self::Rejected(_) => "config.rejected",
            Self::Refused { .. } => "config.batch_refused",
            Self::Unserved { .. } => "config.unserved",
            Self::StaleAnswer { .. } => "config.stale_answer",
            Self::ServiceLost => "config.service_lost",
            Self::ServiceReached => "config.service_reached",
            Self::ReadingBegan => "config.reading_began",
            Self::ReadingEnded => "config.reading_ended",
            Self::Aged(_) => "config.aged",
            Self::Confirmed(_) => "config.confirmed",
            Self::Started(_) => "config.started",
            Self::Distrusted => "config.distrusted",
        }
    }

    /// Returns whether an operator may have to act.
    #[must_use]
    pub const fn is_warning(&self) -> bool {
        match self {
            Self::Rejected(_)
            | Self::Refused { .. }
            | Self::Unserved { .. }
            | Self::StaleAnswer { .. }
            | Self::ServiceLost
            | Self::Aged(_)
            | Self::Distrusted => true,
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
