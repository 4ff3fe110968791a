//! When a second replica is asked before the first has replied.

use std::{collections::HashMap, time::Duration};

use super::{budget::TokenBudget, latency::LatencyHistogram};
use crate::{ids::ServiceId, presets::HedgePolicy, request::RequestKind};

/// The most hedge tokens that an entry saves up.
const HEDGE_BURST: f64 = 20.0;
/// The samples below which a latency distribution is not trusted.
const LEAST_SAMPLES: u32 = 50;
/// The quantile whose multiple makes a call overdue.
const OVERDUE_QUANTILE: f64 = 0.99;
/// The multiple of the overdue quantile after which a call is overdue.
const OVERDUE_FACTOR: f64 = 3.0;
/// The least time after which a call is overdue.
const OVERDUE_FLOOR: Duration = Duration::from_millis(20);

/// Learned latencies of shard calls and the extra calls that one entry may still send.
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
    /// Notes first attempts, which earn hedges.
    pub fn on_first_calls(&mut self, calls: u32, policy: &HedgePolicy) {
        self.budget.earn(calls, policy.budget);
    }

    /// Learns the latency of a shard call that gave rows.
    pub fn record_latency(&mut self, service: &ServiceId, kind: RequestKind, latency: Duration) {
        if !self.latencies.contains_key(service) {
            self.latencies
                .insert(ServiceId::clone(service), HashMap::new());
        }
        if let Some(kinds) = self.latencies.get_mut(service) {
            kinds.entry(kind).or_default().add(latency);
        }
    }

    /// Returns how long to wait before a shard call is hedged; none when it is not hedged.
    #[must_use]
    pub fn delay(
        &self,
        service: &ServiceId,
        kind: RequestKind,
        policy: &HedgePolicy,
    ) -> Option<Duration> {
        if !kind.is_repeatable() || policy.budget <= 0.0 {
            return None;
        }
        self.quantile(service, kind, policy.quantile)
    }

    /// Returns after how long a shard call is overdue; none before enough calls were seen.
    #[must_use]
    pub fn overdue(&self, service: &ServiceId, kind: RequestKind) -> Option<Duration> {
        let usual = self.quantile(service, kind, OVERDUE_QUANTILE)?;
        Some(usual.mul_f64(OVERDUE_FACTOR).max(OVERDUE_FLOOR))
    }

    /// Returns a learned quantile of the latencies; none before enough calls were seen.
    #[must_use]
    pub fn quantile(
        &self,
        service: &ServiceId,
        kind: RequestKind,
        quantile: f64,
    ) -> Option<Duration> {
        let histogram = self.latencies.get(service)?.get(&kind)?;
        histogram.quantile(quantile, LEAST_SAMPLES)
    }

    /// Takes an extra call out of the budget.
    pub fn try_spend(&mut self) -> bool {
        self.budget.try_spend()
    }

    /// Gives back an extra call that was not sent.
    pub fn refund(&mut self) {
        self.budget.refund();
    }
}
