//! Faults of backend server stand-ins.

use cassialift_core::time::Millis;
use cassialift_wire::backend::HealthState;
use serde::{Deserialize, Serialize};

/// The faults that one backend server simulates.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The factor by which runs are slower.
    pub slowdown: f64,
    /// Whether runs that have started do not end for as long as this is set.
    pub hang: bool,
    /// Whether the server refuses all requests as busy, as if its slots were taken.
    pub full: bool,
    /// Whether the server is leaving and refuses new work.
    pub leaving: bool,
    /// The health state that the server reports; `None` for the actual one.
    pub health: Option<HealthState>,
    /// The delay of a new connection; `None` for the one of the settings.
    pub connect: Option<Millis>,
    /// The fault of single requests; `None` for no such fault.
    pub fault: Option<Fault>,
    /// The share of requests that `fault` affects, 0 to 1.
    pub share: f64,
}

/// A fault of a single request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The connection is closed before the request runs.
    DropBefore,
    /// The connection is closed after the request ran.
    DropAfter,
    /// The reply is the previous one, of another request.
    Crossed,
    /// The reply's rows and stated version are those of another index version.
    WrongVersion,
    /// The reply cannot be parsed as a message of the protocol.
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
