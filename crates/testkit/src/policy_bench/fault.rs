//! Faults and other changes that are injected into a run at given times.

use std::time::Duration;

use cassialift_core::{
    presets::{AnswerPolicy, HedgePolicy, Preset},
    request::RequestKind,
};

/// A fault or other change that is injected into a run.
///
/// Backend servers and entry VMs are identified by their index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The service time of a backend server is multiplied by this factor.
    Slow(usize, f64),
    /// A backend server accepts calls and never replies.
    Unresponsive(usize),
    /// A backend server refuses connections.
    Refusing(usize),
    /// A backend server becomes healthy again.
    Recover(usize),
    /// The load changes to this share of the capacity.
    Load(f64),
    /// A new index version of the first service with this many shards is published.
    Publish(u32),
    /// A backend server drops all index versions but the newest.
    DropOldVersions(usize),
    /// The health endpoints switch to this mode.
    HealthReporting(HealthReporting),
    /// An entry VM leaves: it accepts no new requests, finishes the pending ones and hands over its
    /// roles.
    Leave(usize),
    /// An entry VM is killed without notice.
    Kill(usize),
    /// A new VM replaces one that left or was killed.
    Join(usize),
    /// Hedging and early answers switch to another preset.
    Preset(PresetChoice),
}

/// How the health endpoints of backend servers report their health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthReporting {
    /// No server reports anything.
    None,
    /// Every server reports its real health.
    Accurate,
    /// Every server reports that it is ready.
    AlwaysReady,
    /// Every server reports that it is unhealthy.
    AlwaysUnhealthy,
    /// Unhealthy servers report that they are ready, and healthy ones that they are unhealthy.
    Inverted,
    /// Every server reports its health at the start of the run.
    Stale,
}

/// The presets that a run can switch between.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PresetChoice {
    /// The deployment's own preset.
    Ordinary,
    /// More hedges and early answers, for peak load.
    Peak,
    /// No hedges and no early answers, for maintenance.
    Maintenance,
}

impl PresetChoice {
    /// Returns the chosen preset, derived from the ordinary one.
    pub(super) fn preset(self, ordinary: &Preset) -> Preset {
        let mut preset = ordinary.clone();
        let (hedge, answer) = match self {
            Self::Ordinary => return preset,
            Self::Peak => (
                HedgePolicy {
                    quantile: 0.95,
                    budget: 0.05,
                },
                AnswerPolicy::Early {
                    share: 0.9,
                    after: 0.2,
                },
            ),
            Self::Maintenance => (
                HedgePolicy {
                    quantile: 1.0,
                    budget: 0.0,
                },
                AnswerPolicy::Wait,
            ),
        };
        preset.hedge = hedge;
        if let Some(kind) = preset.kinds.get_mut(&RequestKind::WideSearch) {
            kind.answer = answer;
        }
        preset
    }
}

/// Faults with their times since the start of a run, in ascending order of time.
pub type Schedule = Vec<(Duration, Fault)>;
