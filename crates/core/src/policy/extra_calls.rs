//! Per-service budgets of extra calls, shared by all requests of one entry.

use std::collections::HashMap;

use super::budget::TokenBudget;
use crate::ids::ServiceId;

/// The share of the burst that hedges leave to retries of failed calls.
const HEDGE_RESERVE: f64 = 0.25;

/// The minimum burst of one entry, in calls: one hedge plus the reserve. In a fleet so large that
/// the share of one entry is smaller than this, the bursts of all entries add up to more than the
/// burst of the fleet.
const MIN_BURST: f64 = 1.5;

/// Limits on the extra calls, both hedges and retries, that one entry sends to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExtraCallPolicy {
    /// The maximum number of extra calls, as a share of first calls.
    pub ratio: f64,
    /// The maximum number of extra calls beyond that share over any period. Values below one hedge
    /// plus the reserve are raised to that.
    pub burst: f64,
    /// The number of extra calls that the entry may send to a service at once after its start.
    pub initial: f64,
    /// The maximum number of backend servers that one shard call is sent to.
    pub max_servers: u32,
}

impl ExtraCallPolicy {
    const fn effective_burst(&self) -> f64 {
        self.burst.max(MIN_BURST)
    }
}

/// The extra calls that one entry may still send, by service.
///
/// The budgets of all entries add up: over any period a service gets at most `ratio` of its first
/// calls plus the bursts of all entries. An entry that restarts must not get the burst again,
/// because it may have used its burst just before the restart.
#[derive(Clone, Debug, Default)]
pub struct ExtraCallBudgets {
    budgets: HashMap<ServiceId, TokenBudget>,
}

impl ExtraCallBudgets {
    /// Records a first call, which earns extra calls to its service.
    pub fn on_first_call(&mut self, service: &ServiceId, policy: &ExtraCallPolicy) {
        if !self.budgets.contains_key(service) {
            let budget = TokenBudget::with_tokens(policy.initial, policy.effective_burst());
            self.budgets.insert(ServiceId::clone(service), budget);
        }
        if let Some(budget) = self.budgets.get_mut(service) {
            // The share of one entry changes as the other entries are discovered.
            budget.set_burst(policy.effective_burst());
            budget.earn(1, policy.ratio);
        }
    }

    /// Takes one extra call out of the budget of a service. Returns `false` if the budget is used
    /// up.
    pub fn try_spend(&mut self, service: &ServiceId) -> bool {
        self.budgets
            .get_mut(service)
            .is_some_and(TokenBudget::try_spend)
    }

    /// Takes one hedge out of the budget of a service. Returns `false` if the rest is reserved for
    /// retries of failed calls.
    pub fn try_spend_hedge(&mut self, service: &ServiceId, policy: &ExtraCallPolicy) -> bool {
        let reserve = policy.effective_burst() * HEDGE_RESERVE;
        let budget = self.budgets.get_mut(service);
        budget.is_some_and(|budget| budget.has(reserve + 1.0) && budget.try_spend())
    }

    /// Drops the budgets of all services for which `kept` returns `false`.
    pub fn retain_services(&mut self, kept: impl Fn(&ServiceId) -> bool) {
        self.budgets.retain(|service, _| kept(service));
    }
}
