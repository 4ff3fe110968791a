//! Ownership events.

use std::time::Duration;

use crate::ids::{ServerId, VmId};

/// An ownership event of this process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnershipEvent {
    /// This process became owner of a backend server that no process held.
    Claimed {
        /// The backend server.
        server: ServerId,
    },
    /// This process became owner because the former owner handed over.
    HandoverAccepted {
        /// The backend server.
        server: ServerId,
        /// The former owner.
        from: VmId,
    },
    /// This process handed over to a successor.
    HandedOver {
        /// The backend server.
        server: ServerId,
        /// The successor.
        to: VmId,
    },
    /// This process became owner because the former owner is gone.
    TakenOver {
        /// The backend server.
        server: ServerId,
        /// The former owner.
        from: VmId,
    },
    /// This process uses the standby's half because the owner is silent.
    StandbyActivated {
        /// The backend server.
        server: ServerId,
        /// The silent owner.
        owner: VmId,
    },
    /// This process uses only the owner's half because the standby is silent.
    LeaseExpired {
        /// The backend server.
        server: ServerId,
        /// The silent standby.
        standby: VmId,
    },
    /// This process did not run for a while and gave up its roles.
    FreezeDetected {
        /// The time without a tick.
        gap: Duration,
    },
}
