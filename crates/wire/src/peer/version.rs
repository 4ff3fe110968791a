//! The version of the messages that VMs exchange.
//!
//! The encoding has no room for fields that its reader does not know, and a VM ends a connection on which
//! it is sent a call that it does not know. So the calls and messages of a version never change; a
//! later version adds calls, at the end of [`Peer`](super::Peer). A VM sends such a call only to VMs that
//! have stated that version, or a later one, in a [`Greeting`].

use serde::{Deserialize, Serialize};

/// A version of the messages, which a VM that states it reads together with all earlier ones.
pub type MessageVersion = u32;

/// The version of VMs that know no [`Greeting`]: the calls up to [`Peer::relay`](super::Peer::relay).
pub const WITHOUT_GREETING: MessageVersion = 1;

/// The first version with [`Peer::gather_with_body`](super::Peer::gather_with_body).
pub const WITH_BODIES: MessageVersion = 2;

/// The version of this program.
pub const CURRENT: MessageVersion = WITH_BODIES;

/// States the version of the messages that its sender reads.
///
/// It has no further fields in later versions, so that VMs of all versions can read it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Greeting {
    /// The version.
    pub version: MessageVersion,
}

impl Default for Greeting {
    fn default() -> Self {
        Self { version: CURRENT }
    }
}
