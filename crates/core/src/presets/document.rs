//! The preset document.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ids::PresetId, request::RequestKind, time::Millis};

/// All presets and the name of the one in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PresetDocument {
    /// The preset in force.
    pub active: PresetId,
    /// The presets by name.
    pub presets: BTreeMap<PresetId, Preset>,
}

/// One preset.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Preset {
    /// The policy of each kind of request; a kind that is missing takes the default.
    pub kinds: BTreeMap<RequestKind, KindPolicy>,
    /// When a second replica is asked before the first has answered.
    pub hedge: HedgePolicy,
    /// When a failed attempt is tried again.
    pub retry: RetryPolicy,
    /// How requests wait for a slot.
    pub queue: QueuePolicy,
    /// How long a caller may keep an address answer.
    pub address_ttl: Millis,
    /// How long a ticket is good for, and how long its outcome is remembered.
    pub ticket_ttl: Millis,
}

/// The policy of one kind of request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KindPolicy {
    /// Whether requests of this kind are admitted at all.
    pub admit: bool,
    /// The deadline of a request that names none, and the longest that a request may name.
    pub deadline: Millis,
    /// The least share of shards, 0 to 1, that an answer must cover; less is a refusal.
    pub coverage: f64,
    /// Whether an answer waits for the last shards.
    pub answer: AnswerPolicy,
}

/// Whether an answer waits for the last shards.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum AnswerPolicy {
    /// Waits for every shard until the deadline.
    #[default]
    Wait,
    /// Answers with less than all once the missing shards are late.
    Early {
        /// The least share of shards, 0 to 1, to answer early with.
        share: f64,
        /// The share of the deadline, 0 to 1, after which an early answer is allowed.
        after: f64,
    },
    /// Waits for every shard until a time, then answers as soon as the share is reached.
    Within {
        /// The least share of shards, 0 to 1, to answer with.
        share: f64,
        /// How long after its admission the request waits for every shard.
        time: Millis,
    },
}

/// When a second replica is asked before the first has answered.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HedgePolicy {
    /// The learned latency quantile, 0 to 1, after which a shard call is hedged.
    pub quantile: f64,
    /// The most hedges as a share of first attempts, 0 to 1; zero switches hedging off.
    pub budget: f64,
}

/// When a failed attempt is tried again.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryPolicy {
    /// The most attempts of one shard call, the first included.
    pub attempts: u32,
    /// The most retries as a share of first attempts, 0 to 1.
    pub budget: f64,
}

/// How requests wait for a slot of a backend server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueuePolicy {
    /// The most calls that wait for one backend server.
    pub length: u32,
    /// The longest that an ordinary call is passed over by urgent ones.
    pub starvation: Millis,
    /// The largest share, 0 to 1, of one queue that a single caller may fill.
    pub caller_share: f64,
}

impl Default for Preset {
    fn default() -> Self {
        Self {
            kinds: BTreeMap::new(),
            hedge: HedgePolicy::default(),
            retry: RetryPolicy::default(),
            queue: QueuePolicy::default(),
            address_ttl: Millis::new(2_000),
            ticket_ttl: Millis::new(60_000),
        }
    }
}

impl Default for KindPolicy {
    fn default() -> Self {
        Self {
            admit: true,
            deadline: Millis::new(1_000),
            coverage: 0.0,
            answer: AnswerPolicy::Wait,
        }
    }
}

impl Default for HedgePolicy {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            budget: 0.05,
        }
    }
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            attempts: 3,
            budget: 0.1,
        }
    }
}

impl Default for QueuePolicy {
    fn default() -> Self {
        Self {
            length: 64,
            starvation: Millis::new(500),
            caller_share: 0.5,
        }
    }
}

impl PresetDocument {
    /// Returns the preset in force.
    #[must_use]
    pub fn active_preset(&self) -> Option<&Preset> {
        self.presets.get(&self.active)
    }
}

impl Preset {
    /// Returns the policy of a kind of request.
    #[must_use]
    pub fn kind(&self, kind: RequestKind) -> KindPolicy {
        self.kinds.get(&kind).cloned().unwrap_or_default()
    }
}
