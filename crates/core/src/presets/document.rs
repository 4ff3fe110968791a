//! The preset document.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ids::PresetId, request::RequestKind, time::Millis};

/// All presets and the name of the active one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PresetDocument {
    /// The name of the active preset.
    pub active: PresetId,
    /// The presets by name.
    pub presets: BTreeMap<PresetId, Preset>,
}

/// A set of policies for all kinds of requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Preset {
    /// The policy of each kind of request; the default policy applies to missing kinds.
    pub kinds: BTreeMap<RequestKind, KindPolicy>,
    /// The policy of hedges: calls to a second replica before the first has replied.
    pub hedge: HedgePolicy,
    /// The policy of retries after failed attempts.
    pub retry: RetryPolicy,
    /// The policy of queues of calls that wait for a slot of a backend server.
    pub queue: QueuePolicy,
    /// The time for which a caller may cache the answer to an address query.
    pub address_ttl: Millis,
    /// The time for which a ticket is valid and its outcome is kept.
    pub ticket_ttl: Millis,
}

/// The policy of one kind of request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KindPolicy {
    /// Whether requests of this kind are admitted.
    pub admit: bool,
    /// The deadline of a request that specifies none, and the maximum that a request may specify.
    pub deadline: Millis,
    /// The minimum share of shards, 0 to 1, that an answer must cover; otherwise the request is
    /// refused.
    pub coverage: f64,
    /// Whether an answer waits for the slowest shards.
    pub answer: AnswerPolicy,
}

impl KindPolicy {
    /// Returns whether `included` of `total` shards are enough for an answer.
    #[must_use]
    pub fn is_covered(&self, included: usize, total: usize) -> bool {
        let count = |shards: usize| f64::from(u32::try_from(shards).unwrap_or(u32::MAX));
        count(included) >= count(total) * self.coverage
    }
}

/// The policy on whether an answer waits for the slowest shards.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum AnswerPolicy {
    /// Waits for every shard until the deadline.
    #[default]
    Wait,
    /// Answers without the missing shards once they are late.
    Early {
        /// The minimum share of shards, 0 to 1, of an early answer.
        share: f64,
        /// The share of the deadline, 0 to 1, after which an early answer is allowed.
        after: f64,
    },
    /// Waits for every shard for a time, then answers as soon as the share is reached.
    Within {
        /// The minimum share of shards, 0 to 1, of an answer.
        share: f64,
        /// The time after admission for which the request waits for every shard.
        time: Millis,
    },
}

/// The policy of hedges: calls to a second replica before the first has replied.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HedgePolicy {
    /// The quantile, 0 to 1, of observed latencies after which a shard call is hedged.
    pub quantile: f64,
    /// The maximum number of hedges as a share of first attempts, 0 to 1; zero disables hedging.
    pub budget: f64,
}

/// The policy of retries after failed attempts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryPolicy {
    /// The maximum number of attempts of one shard call, including the first.
    pub attempts: u32,
    /// The maximum number of retries as a share of first attempts, 0 to 1.
    pub budget: f64,
}

/// The policy of queues of calls that wait for a slot of a backend server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueuePolicy {
    /// The maximum number of calls that wait for one backend server.
    pub length: u32,
    /// The maximum time for which urgent calls are preferred to an ordinary one.
    pub starvation: Millis,
    /// The maximum share, 0 to 1, of one queue that a single caller may fill.
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
    /// Returns the active preset, or `None` if there is no preset of that name.
    #[must_use]
    pub fn active_preset(&self) -> Option<&Preset> {
        self.presets.get(&self.active)
    }
}

impl Preset {
    /// Returns the policy of a kind of request, which is the default if the preset has none.
    #[must_use]
    pub fn kind(&self, kind: RequestKind) -> KindPolicy {
        self.kinds.get(&kind).cloned().unwrap_or_default()
    }
}
