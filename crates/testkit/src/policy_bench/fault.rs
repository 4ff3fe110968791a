//! What goes wrong in a run, and when.

use std::time::Duration;

use cassialift_core::{
    presets::{AnswerPolicy, HedgePolicy, Preset},
    request::RequestKind,
};

/// What happens at one time of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A backend server takes this many times as long.
    Slow(usize, f64),
    /// A backend server takes calls and never replies.
    Unresponsive(usize),
    /// A backend server refuses connections.
    Refusing(usize),
    /// A backend server is well again.
    Recover(usize),
    /// The load becomes this share of the capacity.
    Load(f64),
    /// The first service gets a new index version with this many shards.
    Publish(u32),
    /// A backend server drops all but the newest index version.
    DropOldVersions(usize),
    /// Health endpoints begin to claim this.
    HealthReporting(HealthReporting),
    /// An entry VM leaves: it takes no requests, ends those that it has and hands its roles over.
    Leave(usize),
    /// An entry VM goes without notice.
    Kill(usize),
    /// Another VM takes the place of one that went.
    Join(usize),
    /// Hedging and early answers follow another preset.
    Preset(PresetChoice),
}

/// What health endpoints claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthReporting {
    /// Nothing.
    None,
    /// The truth.
    Accurate,
    /// All are ready.
    AlwaysReady,
    /// All are ill.
    AlwaysUnhealthy,
    /// The ill claim to be ready, and the others to be ill.
    Inverted,
    /// What was true at the beginning.
    Stale,
}

/// A preset of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PresetChoice {
    /// The deployment's own.
    Ordinary,
    /// More hedges, early answers.
    Peak,
    /// No hedges, all shards.
    Maintenance,
}

impl PresetChoice {
    /// Returns the chosen preset.
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

/// What goes wrong in a run, in ascending order of time.
pub type Schedule = Vec<(Duration, Fault)>;
