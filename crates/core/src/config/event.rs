//! Events of the configuration, for logs, counters and operators.

use std::time::Duration;

use displaydoc::Display;

use super::{BatchError, ReadPlan, RejectedDocument, ServiceReachability, Source};
use crate::ids::{DataCentre, Position, PresetId, Revision, VmId};

/// An event of the configuration. The comment of each variant is the text of its log line.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum ConfigEvent {
    /// Revision {revision} is held, {changes} changes learned from {source}.
    Advanced {
        /// The new revision.
        revision: Revision,
        /// The number of documents in the batch.
        changes: usize,
        /// The sender of the revision.
        source: Source,
    },
    /// The service was restored from a backup: {to} follows {from}, learned from {source}; {retained} newer documents stay in use.
    Restored {
        /// The position before.
        from: Position,
        /// The first position of the new epoch.
        to: Position,
        /// The sender of the new epoch.
        source: Source,
        /// The number of documents of earlier epochs that stay in use.
        retained: usize,
    },
    /// {count} documents of earlier epochs are used again, learned from {source}.
    Retained {
        /// The number of the documents.
        count: usize,
        /// The sender of the documents.
        source: Source,
    },
    /// {count} documents of earlier epochs are no longer used, among them {key}; {remaining} remain.
    Released {
        /// The number of the documents.
        count: usize,
        /// The key of the first one.
        key: String,
        /// The number of documents of earlier epochs that stay in use.
        remaining: usize,
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
    /// Data centre {centre} is evacuated at revision {revision}, learned from {source}: its backend servers get no work.
    EvacuationBegan {
        /// The data centre.
        centre: DataCentre,
        /// The revision of this process.
        revision: Revision,
        /// The sender of the revision.
        source: Source,
    },
    /// Data centre {centre} is no longer evacuated at revision {revision}.
    EvacuationEnded {
        /// The data centre.
        centre: DataCentre,
        /// The revision of this process.
        revision: Revision,
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
        /// The position that the peer had announced.
        announced: Position,
        /// The position of this process.
        current: Position,
    },
    /// The service answered with revision {reply}, older than {current}; nothing was changed.
    StaleAnswer {
        /// The position of the service's reply.
        reply: Position,
        /// The position of this process.
        current: Position,
    },
    /// The service cannot be read from here.
    ServiceUnreachable,
    /// The service can be read from here.
    ServiceReached,
    /// {vm} cannot read the service.
    PeerServiceLost {
        /// The VM of the peer.
        vm: VmId,
    },
    /// {vm} can read the service.
    PeerServiceReached {
        /// The VM of the peer.
        vm: VmId,
    },
    /// {count} VMs that are next to read the service are told that it is {service} here.
    StandbysNotified {
        /// The number of VMs.
        count: usize,
        /// The reachability of the service from this VM.
        service: ServiceReachability,
    },
    /// This VM reads the service, {plan}; the age of the last confirmation is {age:?}.
    ReadingBegan {
        /// The plan of its reads.
        plan: ReadPlan,
        /// The age of the newest confirmation; `None` if there is none.
        age: Option<Duration>,
    },
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
            Self::Restored { .. } => "config.restored",
            Self::Retained { .. } => "config.retained",
            Self::Released { .. } => "config.released",
            Self::InForce { .. } => "config.in_force",
            Self::EvacuationBegan { .. } => "config.evacuation_began",
            Self::EvacuationEnded { .. } => "config.evacuation_ended",
            Self::Rejected(_) => "config.rejected",
            Self::Refused { .. } => "config.batch_refused",
            Self::RevisionNotServed { .. } => "config.unserved",
            Self::StaleAnswer { .. } => "config.stale_answer",
            Self::ServiceUnreachable => "config.service_lost",
            Self::ServiceReached => "config.service_reached",
            Self::PeerServiceLost { .. } => "config.peer_service_lost",
            Self::PeerServiceReached { .. } => "config.peer_service_reached",
            Self::StandbysNotified { .. } => "config.standbys_notified",
            Self::ReadingBegan { .. } => "config.reading_began",
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
            | Self::Restored { .. }
            | Self::RevisionNotServed { .. }
            | Self::StaleAnswer { .. }
            | Self::ServiceUnreachable
            | Self::ConfirmationOverdue(_)
            | Self::FreezeDetected => true,
            Self::Advanced { .. }
            | Self::Retained { .. }
            | Self::Released { .. }
            | Self::InForce { .. }
            | Self::ServiceReached
            | Self::PeerServiceLost { .. }
            | Self::PeerServiceReached { .. }
            | Self::StandbysNotified { .. }
            | Self::ReadingBegan { .. }
            | Self::ReadingEnded
            | Self::Confirmed(_)
            | Self::EvacuationBegan { .. }
            | Self::EvacuationEnded { .. }
            | Self::Started(_) => false,
        }
    }
}
