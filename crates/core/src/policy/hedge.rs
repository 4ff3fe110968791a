//! Hedging: when a second replica is called before the first has replied.

use std::{collections::HashMap, time::Duration};

use super::{budget::TokenBudget, latency::LatencyHistogram};
use crate::{ids::ServiceId, presets::HedgePolicy, request::RequestKind};

/// The maximum number of hedge tokens that an entry holds.
const HEDGE_BURST: f64 = 20.0;
/// The number of samples below which a latency distribution is not used.
const MIN_SAMPLES: u32 = 50;
/// The quantile from which the overdue time is derived.
const OVERDUE_QUANTILE: f64 = 0.99;
/// The multiple of the overdue quantile after which a call is overdue.
const OVERDUE_FACTOR: f64 = 3.0;
/// The minimum time after which a call is overdue.
const OVERDUE_FLOOR: Duration = Duration::from_millis(20);

/// Learned latencies of shard calls and the budget of hedges of one entry.
#[derive(Clone, Debug)]
pub struct Hedger {
    latencies: HashMap<ServiceId, HashMap<RequestKind, LatencyHistogram>>,
    budget: TokenBudget,
}

impl Default for Hedger {
    fn default() -> Self {
        Self {
            latencies: HashMap::new(),
            budget: TokenBudget::new(HEDGE_BURST),
        }
    }
}

impl Hedger {
    /// Records first calls, which earn hedges.
    pub fn on_first_calls(&mut self, calls: u32, policy: &HedgePolicy) {
        self.budget.earn(calls, policy.budget);
    }

    /// Records the latency of a shard call that returned rows.
    pub fn record_latency(&mut self, service: &ServiceId, kind: RequestKind, latency: Duration) {
        if !self.latencies.contains_key(service) {
            self.latencies
                .insert(ServiceId::clone(service), HashMap::new());
        }
        if let Some(kinds) = self.latencies.get_mut(service) {
            kinds.entry(kind).or_default().add(latency);
        }
    }

    /// Returns the delay after which a shard call is hedged; `None` if the call must not be hedged
    /// or too few latencies are known.
    #[must_use]
    pub fn delay(
        &self,
        service: &ServiceId,
        kind: RequestKind,
        policy: &HedgePolicy,
    ) -> Option<Duration> {
        if !kind.is_idempotent() || policy.budget <= 0.0 {
            return None;
        }
        self.quantile(service, kind, policy.quantile)
    }

    /// Returns the time after which a shard call is overdue; `None` if too few latencies are known.
    #[must_use]
    pub fn overdue_after(&self, service: &ServiceId, kind: RequestKind) -> Option<Duration> {
        let latency = self.quantile(service, kind, OVERDUE_QUANTILE)?;
        Some(latency.mul_f64(OVERDUE_FACTOR).max(OVERDUE_FLOOR))
    }

    /// Returns a quantile of the learned latencies; `None` if too few latencies are known.
    #[must_use]
    pub fn quantile(
        &self,
        service: &ServiceId,
        kind: RequestKind,
        quantile: f64,
    ) -> Option<Duration> {
        let histogram = self.latencies.get(service)?.get(&kind)?;
        histogram.quantile(quantile, MIN_SAMPLES)
    }

    /// Takes one hedge out of the budget. Returns `false` if the budget is used up.
    pub fn try_spend(&mut self) -> bool {
        self.budget.try_spend()
    }

    /// Gives back a hedge that was not sent.
    pub fn refund(&mut self) {
        self.budget.refund();
    }
}
