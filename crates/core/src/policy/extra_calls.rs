//! How many extra calls each service gets, over all the requests of one entry.

use std::collections::HashMap;

use super::budget::TokenBudget;
use crate::ids::ServiceId;

/// The share of a budget that is kept for calls that failed.
const HEDGE_RESERVE: f64 = 0.25;

/// The least burst of one entry, calls: a hedge and the reserve. In a fleet so large that the
/// share of one entry is below, the entries' bursts add up to more than the fleet's.
const LEAST_BURST: f64 = 1.5;

/// The extra calls, hedges and retries alike, that one entry may send to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExtraCallPolicy {
    /// The most extra calls as a share of first attempts.
    pub ratio: f64,
    /// The most extra calls beyond that share, over any period; a hedge and a reserve at least.
    pub burst: f64,
    /// The extra calls that the entry may send to a service at once after its start.
    pub initial: f64,
    /// The most backend servers that one shard call is sent to.
    pub max_servers: u32,
}

impl ExtraCallPolicy {
    const fn cap(&self) -> f64 {
        self.burst.max(LEAST_BURST)
    }
}

/// The extra calls that one entry may still send, by service.
///
/// The budgets of all entries add up: over any period a service gets at most `ratio` of its first
/// attempts plus the bursts of all entries. An entry that starts again must not be given the burst
/// once more: those before it may just have used theirs.
#[derive(Clone, Debug, Default)]
pub struct ExtraCallBudgets {
    budgets: HashMap<ServiceId, TokenBudget>,
}

impl ExtraCallBudgets {
    /// Notes a first attempt, which earns extra calls to its service.
    pub fn on_first_call(&mut self, service: &ServiceId, policy: &ExtraCallPolicy) {
        if !self.budgets.contains_key(service) {
            let budget = TokenBudget::with_tokens(policy.initial, policy.cap());
            self.budgets.insert(ServiceId::clone(service), budget);
        }
        if let Some(budget) = self.budgets.get_mut(service) {
            // The share of one entry changes as the others are found.
            budget.set_burst(policy.cap());
            budget.earn(1, policy.ratio);
        }
    }

    /// Takes an extra call out of a service's budget; returns false when it is used up.
    pub fn try_spend(&mut self, service: &ServiceId) -> bool {
        self.budgets
            .get_mut(service)
            .is_some_and(TokenBudget::try_spend)
    }

    /// Takes an extra call out of a service's budget that only saves time; returns false when what
    /// is left is kept for calls that failed.
    pub fn try_spend_hedge(&mut self, service: &ServiceId, policy: &ExtraCallPolicy) -> bool {
        let reserve = policy.cap() * HEDGE_RESERVE;
        let budget = self.budgets.get_mut(service);
        budget.is_some_and(|budget| budget.has(reserve + 1.0) && budget.try_spend())
    }

    /// Forgets the services that are not in `kept`.
    pub fn retain_services(&mut self, kept: impl Fn(&ServiceId) -> bool) {
        self.budgets.retain(|service, _| kept(service));
    }
}
