//! Presets: sets of policies for ordinary days, for peaks and for maintenance.
//!
//! The platform publishes all presets in one document under the key `presets`, together with the
//! name of the active one, so that an edit and a switch are each atomic.

mod document;
mod validate;

pub use document::{
    AnswerPolicy, HedgePolicy, KindPolicy, Preset, PresetDocument, QueuePolicy, RetryPolicy,
};
pub use validate::{
    MAX_ADDRESS_TTL, MAX_ATTEMPTS, MAX_DEADLINE, MAX_PRESETS, MAX_QUEUE_LENGTH, MAX_TICKET_TTL,
    PresetCause, PresetError,
};
