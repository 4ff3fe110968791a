//! Tests of the budgets of extra calls.

use yare::parameterized;

use crate::policy::{
    budget::TokenBudget,
    extra_calls::{ExtraCallBudgets, ExtraCallPolicy},
};

/// Returns the policy of an entry that starts without extra calls.
const fn policy(ratio: f64, burst: f64) -> ExtraCallPolicy {
    ExtraCallPolicy {
        ratio,
        burst,
        initial: 0.0,
        max_servers: 2,
    }
}

#[test]
fn test_budget_limits_extra_calls() {
    let mut budget = TokenBudget::new(10.0);
    let mut extra = 0;
    for _ in 0..10_000 {
        budget.earn(1, 0.05);
        while budget.try_spend() {
            extra += 1;
        }
    }
    assert!((495..=501).contains(&extra), "{extra}");
}

#[test]
fn test_budget_burst_is_limited() {
    let mut budget = TokenBudget::new(10.0);
    budget.earn(100_000, 0.1);
    let burst = std::iter::from_fn(|| budget.try_spend().then_some(())).count();
    assert_eq!(burst, 10);
}

/// Hedges leave the reserve of a budget to retries of failed calls.
#[test]
fn test_extra_calls_keep_a_reserve_for_failures() {
    let policy = policy(8.0, 8.0);
    let service = "s".into();
    let mut budgets = ExtraCallBudgets::default();
    assert!(
        !budgets.try_spend(&service),
        "a service without a first attempt"
    );
    budgets.on_first_call(&service, &policy);
    let hedges = std::iter::from_fn(|| budgets.try_spend_hedge(&service, &policy).then_some(()));
    assert_eq!(hedges.count(), 6);
    let retries = std::iter::from_fn(|| budgets.try_spend(&service).then_some(()));
    assert_eq!(retries.count(), 2);
}

/// Extra calls of a fleet whose VMs restart repeatedly, and know no other VM at first, stay within
/// the share of first calls plus one burst.
#[parameterized(
    steady = { 0, 7 },
    one_restart = { 1, 7 },
    several_restarts = { 4, 7 },
    larger_fleet = { 2, 24 },
)]
fn test_extra_calls_hold_over_restarts(restarts: u32, vms: u32) {
    let (ratio, burst) = (0.2, 54.0);
    let policy = |known: u32| policy(ratio, burst / f64::from(known));
    let service = "s".into();
    let rounds = 200;
    let mut extra = 0;
    let mut entries: Vec<ExtraCallBudgets> = Vec::new();
    for round in 0..rounds {
        if round % (rounds / (restarts + 1)) == 0 {
            entries = (0..vms).map(|_| ExtraCallBudgets::default()).collect();
            // The first request of each VM arrives before the other VMs are discovered.
            for entry in &mut entries {
                entry.on_first_call(&service, &policy(1));
            }
        }
        for entry in &mut entries {
            entry.on_first_call(&service, &policy(vms));
            while entry.try_spend_hedge(&service, &policy(vms)) || entry.try_spend(&service) {
                extra += 1;
            }
        }
    }
    let first = f64::from(rounds + restarts + 1) * f64::from(vms);
    let allowed = first.mul_add(ratio, burst);
    assert!(f64::from(extra) <= allowed, "{extra} of {allowed}");
    assert!(f64::from(extra) >= first * ratio * 0.9, "{extra}");
}

/// A fleet that starts for the first time gets its burst at once, and only once.
#[test]
fn test_extra_calls_first_start_has_the_burst() {
    let policy = ExtraCallPolicy {
        initial: 8.0,
        ..policy(0.0, 8.0)
    };
    let service = "s".into();
    let mut budgets = ExtraCallBudgets::default();
    let mut sent = 0;
    for _ in 0..10 {
        budgets.on_first_call(&service, &policy);
        while budgets.try_spend(&service) {
            sent += 1;
        }
    }
    assert_eq!(sent, 8);
}

/// A budget that was created before the other VMs were discovered is reduced to the share of one
/// VM.
#[test]
fn test_extra_calls_budget_follows_the_fleet() {
    let policy = |burst: f64| policy(1.0, burst);
    let service = "s".into();
    let mut budgets = ExtraCallBudgets::default();
    for _ in 0..40 {
        budgets.on_first_call(&service, &policy(54.0));
    }
    budgets.on_first_call(&service, &policy(5.0));
    let remaining = std::iter::from_fn(|| budgets.try_spend(&service).then_some(()));
    assert_eq!(remaining.count(), 5);
}

/// In a large fleet, where the burst of one VM is below one call, a VM can still send the hedges
/// that it has earned.
#[test]
fn test_extra_calls_of_a_large_fleet_earn_hedges() {
    let policy = policy(0.2, 54.0 / 80.0);
    let service = "s".into();
    let mut budgets = ExtraCallBudgets::default();
    let mut hedges = 0;
    for _ in 0..1_000 {
        budgets.on_first_call(&service, &policy);
        hedges += u32::from(budgets.try_spend_hedge(&service, &policy));
    }
    assert!((195..=200).contains(&hedges), "{hedges}");
}
