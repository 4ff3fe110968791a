//! Faults of backend server stand-ins.

use cassialift_core::time::Millis;
use cassialift_wire::backend::HealthState;
use serde::{Deserialize, Serialize};

/// The faults of one backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How many times slower runs are.
    pub slowdown: f64,
    /// Whether runs that are started never end while this holds.
    pub hang: bool,
    /// Whether it refuses all work as busy, as if its slots were taken.
    pub full: bool,
    /// Whether it is leaving: it refuses new work.
    pub leaving: bool,
    /// The state it claims, whatever the facts.
    pub health: Option<HealthState>,
    /// How long a new connection takes; none for what the settings say.
    pub connect: Option<Millis>,
    /// What happens to a share of the requests.
    pub fault: Option<Fault>,
    /// The share of requests that the fault strikes, 0 to 1.
    pub share: f64,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The connection is cut before the request runs.
    DropBefore,
    /// The connection is cut after the request ran.
    DropAfter,
    /// The reply is that of another request.
    Crossed,
    /// The reply is drawn from, and claims, another index version.
    WrongVersion,
    /// The reply is no message of the protocol.
    Garbage,
    /// The reply is far larger than any message of the protocol.
    Oversized,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            hang: false,
            full: false,
            leaving: false,
            health: None,
            connect: None,
            fault: None,
            share: 1.0,
        }
    }
}
