//! Validation of preset documents; deterministic, so that all processes accept or all reject.

use displaydoc::Display;

use super::{AnswerPolicy, KindPolicy, Preset, PresetDocument};
use crate::{ids::PresetId, request::RequestKind};

/// Why a preset document is rejected.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum PresetError {
    /// the active preset {0} is not among the presets
    UnknownActive(PresetId),
    /// preset {preset}: {field} is {value}, which is not between 0 and 1
    NotAShare {
        /// The preset at fault.
        preset: PresetId,
        /// The field at fault.
        field: &'static str,
        /// The value it has.
        value: f64,
    },
    /// preset {preset}: {field} must not be zero
    Zero {
        /// The preset at fault.
        preset: PresetId,
        /// The field at fault.
        field: &'static str,
    },
    /// preset {preset}: {kind:?} would answer early with less than its least coverage
    EarlyBelowCoverage {
        /// The preset at fault.
        preset: PresetId,
        /// The kind at fault.
        kind: RequestKind,
    },
}

impl std::error::Error for PresetError {}

impl PresetDocument {
    /// Checks that the document is consistent.
    ///
    /// # Errors
    /// Returns the first fault, presets in name order.
    pub fn validate(&self) -> Result<(), PresetError> {
        if self.in_force().is_none() {
            return Err(PresetError::UnknownActive(PresetId::clone(&self.active)));
        }
        for (name, preset) in &self.presets {
            validate_preset(name, preset)?;
        }
        Ok(())
    }
}

fn validate_preset(name: &PresetId, preset: &Preset) -> Result<(), PresetError> {
    share(name, "hedge.quantile", preset.hedge.quantile)?;
    share(name, "hedge.budget", preset.hedge.budget)?;
    share(name, "retry.budget", preset.retry.budget)?;
    share(name, "queue.caller_share", preset.queue.caller_share)?;
    nonzero(name, "retry.attempts", preset.retry.attempts.into())?;
    nonzero(name, "queue.length", preset.queue.length.into())?;
    nonzero(name, "address_ttl", preset.address_ttl.into())?;
    nonzero(name, "ticket_ttl", preset.ticket_ttl.into())?;
    for (kind, policy) in &preset.kinds {
        validate_kind(name, *kind, policy)?;
    }
    Ok(())
}

fn validate_kind(
    name: &PresetId,
    kind: RequestKind,
    policy: &KindPolicy,
) -> Result<(), PresetError> {
    share(name, "coverage", policy.coverage)?;
    nonzero(name, "deadline", policy.deadline.into())?;
    let AnswerPolicy::Early {
        share: early,
        after,
    } = policy.answer
    else {
        return Ok(());
    };
    share(name, "answer.early.share", early)?;
    share(name, "answer.early.after", after)?;
    if early < policy.coverage {
        let preset = PresetId::clone(name);
        return Err(PresetError::EarlyBelowCoverage { preset, kind });
    }
    Ok(())
}

fn share(name: &PresetId, field: &'static str, value: f64) -> Result<(), PresetError> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    let preset = PresetId::clone(name);
    Err(PresetError::NotAShare {
        preset,
        field,
        value,
    })
}

fn nonzero(name: &PresetId, field: &'static str, value: u64) -> Result<(), PresetError> {
    if value > 0 {
        return Ok(());
    }
    let preset = PresetId::clone(name);
    Err(PresetError::Zero { preset, field })
}
