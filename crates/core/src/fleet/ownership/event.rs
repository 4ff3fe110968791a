//! Changes of ownership.

use std::time::Duration;

use crate::ids::{ServerId, VmId};

/// A change of ownership on this process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnershipEvent {
    /// Took a backend server that nobody held.
    Claimed {
        /// The backend server.
        server: ServerId,
    },
    /// Became owner because the former owner handed over.
    HandoverAccepted {
        /// The backend server.
        server: ServerId,
        /// The former owner.
        from: VmId,
    },
    /// Handed over to a successor.
    HandedOver {
        /// The backend server.
        server: ServerId,
        /// The successor.
        to: VmId,
    },
    /// Became owner because the former owner is gone.
    TakenOver {
        /// The backend server.
        server: ServerId,
        /// The former owner.
        from: VmId,
    },
    /// Uses the standby's half because the owner is silent.
    StandbyActivated {
        /// The backend server.
        server: ServerId,
        /// The silent owner.
        owner: VmId,
    },
    /// Uses the owner's half only because the standby is silent.
    LeaseExpired {
        /// The backend server.
        server: ServerId,
        /// The silent standby.
        standby: VmId,
    },
    /// This process did not run for a while and gave up what it owned.
    FreezeDetected {
        /// The time without a tick.
        gap: Duration,
    },
}
