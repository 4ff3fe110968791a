//! Validation of preset documents.
//!
//! The result depends on the document alone, so either all processes accept it or all reject it.

use displaydoc::Display;

use super::{AnswerPolicy, KindPolicy, Preset, PresetDocument};
use crate::{ids::PresetId, jsonc::Path, request::RequestKind, time::Millis};

/// The maximum number of presets in one document.
pub const MAX_PRESETS: usize = 64;
/// The maximum time for which a caller may cache the answer to an address query. A leaving VM
/// waits for this time at most.
pub const MAX_ADDRESS_TTL: Millis = Millis::new(30_000);
/// The maximum time for which the outcome of a ticket is kept.
pub const MAX_TICKET_TTL: Millis = Millis::new(3_600_000);
/// The maximum deadline of a request.
pub const MAX_DEADLINE: Millis = Millis::new(600_000);
/// The maximum number of attempts of one shard call.
pub const MAX_ATTEMPTS: u32 = 16;
/// The maximum number of calls that wait for one backend server.
pub const MAX_QUEUE_LENGTH: u32 = 65_536;

/// The reason why a preset document is rejected, and the path of the invalid value.
#[derive(Clone, Debug, Display, PartialEq)]
#[displaydoc("{path}: {cause}")]
pub struct PresetError {
    /// The path of the invalid value.
    pub path: Path,
    /// The cause of the rejection.
    pub cause: PresetCause,
}

/// The cause of the rejection of a preset document. The comment of each variant is its message.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum PresetCause {
    /// there is no preset named {0}
    UnknownActive(PresetId),
    /// there are {0} presets, more than 64
    TooMany(usize),
    /// {0} is not between 0 and 1
    NotAShare(f64),
    /// must not be zero
    Zero,
    /// {value} is more than {limit}
    TooLarge {
        /// The value.
        value: u64,
        /// The maximum allowed value.
        limit: u64,
    },
    /// an early answer would cover less than the least coverage of {0}
    EarlyBelowCoverage(f64),
    /// a request of this kind has one part and cannot be answered early
    EarlyWithOnePart,
    /// every shard call would be hedged at once
    HedgesAtOnce,
    /// {0} attempts are allowed, but the budget allows no retry
    RetryWithoutBudget(u32),
    /// no caller could queue a single call
    CallerShareTooSmall,
    /// a ticket would expire before the deadline of its job, {0} ms
    TicketBeforeDeadline(u64),
}

impl std::error::Error for PresetError {}

impl PresetCause {
    /// Returns a hint on how to correct the document, if there is one.
    #[must_use]
    pub const fn hint(&self) -> Option<&'static str> {
        Some(match self {
            Self::UnknownActive(_) => "name one of the presets of this document",
            Self::TooMany(_) => "remove presets that are no longer used",
            Self::NotAShare(_) => "write a share such as 0.95",
            Self::Zero | Self::TooLarge { .. } => return None,
            Self::EarlyBelowCoverage(_) => "raise share, or lower coverage",
            Self::EarlyWithOnePart => "write \"answer\": \"wait\"",
            Self::HedgesAtOnce => "set hedge.budget to 0 to switch hedging off",
            Self::RetryWithoutBudget(_) => "set attempts to 1 to switch retries off",
            Self::CallerShareTooSmall => "raise queue.length or queue.caller_share",
            Self::TicketBeforeDeadline(_) => "raise ticket_ttl, or lower the deadline of jobs",
        })
    }
}

impl PresetDocument {
    /// Checks that the document is consistent.
    ///
    /// # Errors
    /// Returns the first error; presets are checked in the order of their names.
    pub fn validate(&self) -> Result<(), PresetError> {
        if self.active_preset().is_none() {
            let cause = PresetCause::UnknownActive(PresetId::clone(&self.active));
            return fail(Path::new("active"), cause);
        }
        if self.presets.len() > MAX_PRESETS {
            let cause = PresetCause::TooMany(self.presets.len());
            return fail(Path::new("presets"), cause);
        }
        for (name, preset) in &self.presets {
            validate_preset(&Path::new("presets").key(name), preset)?;
        }
        Ok(())
    }
}

fn validate_preset(base: &Path, preset: &Preset) -> Result<(), PresetError> {
    let at = |keys| base.clone().keys(keys);
    check_share(at("hedge.quantile"), preset.hedge.quantile)?;
    check_share(at("hedge.budget"), preset.hedge.budget)?;
    check_share(at("retry.budget"), preset.retry.budget)?;
    check_share(at("queue.caller_share"), preset.queue.caller_share)?;
    check_range(at("retry.attempts"), preset.retry.attempts, MAX_ATTEMPTS)?;
    check_range(at("queue.length"), preset.queue.length, MAX_QUEUE_LENGTH)?;
    check_range(at("address_ttl"), preset.address_ttl, MAX_ADDRESS_TTL)?;
    check_range(at("ticket_ttl"), preset.ticket_ttl, MAX_TICKET_TTL)?;
    check_limit(
        at("queue.starvation"),
        preset.queue.starvation,
        MAX_DEADLINE,
    )?;
    for (kind, policy) in &preset.kinds {
        let path = base.clone().key("kinds").key(kind.name());
        validate_kind(&path, *kind, policy)?;
    }
    validate_combinations(base, preset)
}

/// Checks the values that must fit each other.
fn validate_combinations(base: &Path, preset: &Preset) -> Result<(), PresetError> {
    let at = |keys| base.clone().keys(keys);
    let (hedge, retry, queue) = (preset.hedge, preset.retry, preset.queue);
    if hedge.budget > 0.0 && hedge.quantile <= 0.0 {
        return fail(at("hedge.quantile"), PresetCause::HedgesAtOnce);
    }
    if retry.attempts > 1 && retry.budget <= 0.0 {
        let cause = PresetCause::RetryWithoutBudget(retry.attempts);
        return fail(at("retry.budget"), cause);
    }
    if f64::from(queue.length) * queue.caller_share < 1.0 {
        return fail(at("queue.caller_share"), PresetCause::CallerShareTooSmall);
    }
    let deadline = preset.kind(RequestKind::Job).deadline;
    if preset.ticket_ttl < deadline {
        let cause = PresetCause::TicketBeforeDeadline(deadline.into());
        return fail(at("ticket_ttl"), cause);
    }
    Ok(())
}

fn validate_kind(path: &Path, kind: RequestKind, policy: &KindPolicy) -> Result<(), PresetError> {
    let at = |keys| path.clone().keys(keys);
    check_share(at("coverage"), policy.coverage)?;
    check_range(at("deadline"), policy.deadline, MAX_DEADLINE)?;
    let AnswerPolicy::Early {
        share: early_share,
        after,
    } = policy.answer
    else {
        return Ok(());
    };
    if matches!(kind, RequestKind::Fetch | RequestKind::Job) {
        return fail(at("answer.early"), PresetCause::EarlyWithOnePart);
    }
    check_share(at("answer.early.share"), early_share)?;
    check_share(at("answer.early.after"), after)?;
    if early_share <= 0.0 {
        return fail(at("answer.early.share"), PresetCause::Zero);
    }
    if early_share < policy.coverage {
        let cause = PresetCause::EarlyBelowCoverage(policy.coverage);
        return fail(at("answer.early.share"), cause);
    }
    Ok(())
}

fn fail(path: Path, cause: PresetCause) -> Result<(), PresetError> {
    Err(PresetError { path, cause })
}

/// Checks that a value is a share, 0 to 1.
fn check_share(path: Path, value: f64) -> Result<(), PresetError> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    fail(path, PresetCause::NotAShare(value))
}

/// Checks that a value is neither zero nor above its limit.
fn check_range<T: Into<u64>>(path: Path, value: T, limit: T) -> Result<(), PresetError> {
    let value = value.into();
    if value == 0 {
        return fail(path, PresetCause::Zero);
    }
    check_limit(path, value, limit.into())
}

/// Checks that a value is not above its limit.
fn check_limit<T: Into<u64>>(path: Path, value: T, limit: T) -> Result<(), PresetError> {
    let (value, limit) = (value.into(), limit.into());
    if value <= limit {
        return Ok(());
    }
    fail(path, PresetCause::TooLarge { value, limit })
}
