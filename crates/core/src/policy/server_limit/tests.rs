//! Tests of limits on the calls to a backend server.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use super::{
    Allotment, CallRate, PermitAllocator, PermitClaim, PermitGrant, Permits, choose_allocator,
};
use crate::{ids::VmId, time::Millis};

const TICK: Duration = Duration::from_millis(20);
/// The time after which an allocator hands out the whole limit.
const SETTLED: Duration = Duration::from_secs(4);
/// The span in which the calls to a server are counted.
const SPAN: Duration = Duration::from_secs(4);

fn rate(calls: f64) -> CallRate {
    CallRate::per_second(calls).unwrap()
}

fn claim(limit: Option<f64>, age: u64, calls: u32) -> PermitClaim {
    PermitClaim {
        server: "ledger-0".into(),
        limit: limit.map(rate),
        age: Millis::new(age),
        calls,
    }
}

#[parameterized(
    whole = { 3.0, Some(3.0) },
    fraction = { 1.7, Some(1.7) },
    none_becomes_few = { 0.0, Some(0.1) },
    huge = { 1e300, Some(1e6) },
    infinite = { f64::INFINITY, Some(1e6) },
    negative = { -1.0, None },
    not_a_number = { f64::NAN, None },
)]
fn test_call_rate_range(stated: f64, expected: Option<f64>) {
    let rate = CallRate::per_second(stated);
    let calls = rate.map(|rate| rate.calls_in(Duration::from_secs(1)));
    assert_eq!(calls, expected);
}

/// Claims permits for one VM every [`TICK`] and returns the number granted.
fn claim_for(
    allocator: &mut PermitAllocator,
    limit: f64,
    calls: u32,
    begin: Instant,
    time: Duration,
) -> u32 {
    let mut granted = 0;
    let mut now = begin;
    while now < begin + time {
        now += TICK;
        match allocator.grant(&claim(Some(limit), 0, calls), Allotment::Stated, now) {
            PermitGrant::Calls(calls) => granted += calls,
            PermitGrant::Unlimited => panic!("the limit was stated"),
        }
    }
    granted
}

#[parameterized(few = { 1.0 }, usual = { 10.0 }, many = { 200.0 })]
fn test_allocator_grants_the_limit_and_no_more(limit: f64) {
    let begin = Instant::now();
    let mut allocator = PermitAllocator::default();
    claim_for(&mut allocator, limit, 1_000, begin, SETTLED);
    let granted = claim_for(
        &mut allocator,
        limit,
        1_000,
        begin + SETTLED,
        Duration::from_secs(10),
    );
    let granted = f64::from(granted);
    assert!((granted - limit * 10.0).abs() <= 1.0, "{granted}");
}

/// A VM that takes the allocation over may meet permits of its predecessor.
#[test]
fn test_allocator_starts_with_a_part_of_the_limit() {
    let mut allocator = PermitAllocator::default();
    let granted = claim_for(
        &mut allocator,
        10.0,
        1_000,
        Instant::now(),
        Duration::from_secs(2),
    );
    assert!((7..=8).contains(&granted), "{granted}");
}

/// After a time without claims there is no stock of permits.
#[test]
fn test_allocator_keeps_no_stock() {
    let begin = Instant::now();
    let mut allocator = PermitAllocator::default();
    claim_for(&mut allocator, 8.0, 1, begin, SETTLED);
    let later = begin + SETTLED + Duration::from_secs(5);
    let grant = allocator.grant(&claim(Some(8.0), 0, 100), Allotment::Stated, later);
    assert_eq!(grant, PermitGrant::Calls(2));
}

/// The order of what the server stated counts, not the order in which it is told.
#[parameterized(
    limit_before_its_end = { Some(5.0), 500, None, 100, true },
    limit_told_late = { None, 100, Some(5.0), 500, true },
    new_limit = { None, 500, Some(5.0), 100, false },
)]
fn test_allocator_follows_the_newest_statement(
    first: Option<f64>,
    first_age: u64,
    second: Option<f64>,
    second_age: u64,
    unlimited: bool,
) {
    let now = Instant::now() + Duration::from_secs(10);
    let mut allocator = PermitAllocator::default();
    allocator.grant(&claim(first, first_age, 0), Allotment::Stated, now);
    let grant = allocator.grant(&claim(second, second_age, 0), Allotment::Stated, now);
    assert_eq!(grant == PermitGrant::Unlimited, unlimited);
}

#[test]
fn test_allocator_is_the_same_whatever_the_order_of_vms() {
    let vms: Vec<VmId> = (0..9).map(|vm| format!("vm-{vm}").into()).collect();
    let mut moved = 0;
    for server in 0..300 {
        let server = format!("ledger-{server}").into();
        let chosen = choose_allocator(&server, vms.iter()).unwrap();
        assert_eq!(choose_allocator(&server, vms.iter().rev()), Some(chosen));
        let without_last = choose_allocator(&server, vms[..8].iter()).unwrap();
        moved += u32::from(without_last != chosen);
    }
    assert!((15..=55).contains(&moved), "{moved} of 300 moved");
    assert_eq!(choose_allocator(&"ledger-0".into(), [].iter()), None);
}

/// The load on a simulated VM: the requests a second, and from when to when it gets them.
type Load = (f64, Duration, Duration);

/// Simulates VMs that share a limit and returns the times of their calls.
fn simulate(limit: f64, loads: &[Load], begin: Instant, time: Duration) -> Vec<Instant> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut allocator = PermitAllocator::default();
    let mut vms: Vec<_> = loads
        .iter()
        .map(|load| (*load, Permits::new(rate(limit), begin), false))
        .collect();
    let mut calls = Vec::new();
    let mut now = begin;
    while now < begin + time {
        now += TICK;
        for ((requests, from, until), permits, waiting) in &mut vms {
            if std::mem::take(waiting) && permits.has_one(now) {
                permits.spend(now);
                calls.push(now);
            }
            let is_active = now >= begin + *from && now < begin + *until;
            if is_active && rng.random::<f64>() < *requests * TICK.as_secs_f64() {
                if permits.has_one(now) {
                    permits.spend(now);
                    calls.push(now);
                } else {
                    permits.want();
                    *waiting = !permits.is_short(now);
                }
            }
            if let Some(wanted) = permits.take_claim() {
                match allocator.grant(&claim(Some(limit), 0, wanted), Allotment::Stated, now) {
                    PermitGrant::Calls(granted) => permits.grant(wanted, granted, now),
                    PermitGrant::Unlimited => panic!("the limit was stated"),
                }
            }
        }
    }
    calls
}

const ALWAYS: (Duration, Duration) = (Duration::ZERO, Duration::MAX);
const MINUTE: Duration = Duration::from_mins(1);

/// Many VMs with many requests, one with all of them, and a load that moves from some to others.
#[parameterized(
    few_calls_for_many_vms = { 1.0, 8, 1.0 },
    many_vms = { 10.0, 40, 2.0 },
    one_vm = { 10.0, 1, 40.0 },
    hundreds_of_vms = { 20.0, 300, 0.5 },
)]
fn test_permits_of_all_vms_keep_the_limit_and_use_it(limit: f64, vms: usize, requests: f64) {
    let begin = Instant::now();
    let loads = vec![(requests, ALWAYS.0, MINUTE); vms];
    let calls = simulate(limit, &loads, begin, MINUTE);
    check_span(&calls, limit, begin);
    let settled = calls.iter().filter(|at| **at >= begin + SETTLED).count();
    let settled = f64::from(u32::try_from(settled).unwrap());
    let allowed = limit * MINUTE.saturating_sub(SETTLED).as_secs_f64();
    assert!(settled >= allowed * 0.8, "{settled} of {allowed}");
}

#[test]
fn test_permits_follow_the_load_to_other_vms() {
    let begin = Instant::now();
    let half = MINUTE / 2;
    let mut loads = vec![(10.0, Duration::ZERO, half); 6];
    loads.push((30.0, half, MINUTE));
    let calls = simulate(10.0, &loads, begin, MINUTE);
    check_span(&calls, 10.0, begin);
    let moved = begin + half + Duration::from_secs(2);
    let moved = calls.iter().filter(|at| **at >= moved).count();
    assert!(moved >= 224, "{moved} of 280");
}

/// Fewer requests than the limit allows: nearly all are sent at once.
#[test]
fn test_permits_cost_little_below_the_limit() {
    let begin = Instant::now();
    let loads = vec![(1.0, Duration::ZERO, MINUTE); 5];
    let calls = simulate(10.0, &loads, begin, MINUTE);
    let sent = calls.len();
    assert!(sent >= 240, "{sent} of about 300");
}

fn check_span(calls: &[Instant], limit: f64, begin: Instant) {
    let most = calls
        .iter()
        .filter(|at| **at >= begin + SETTLED)
        .map(|start| {
            let span = *start..*start + SPAN;
            calls.iter().filter(|at| span.contains(at)).count()
        })
        .max()
        .unwrap_or_default();
    let most = f64::from(u32::try_from(most).unwrap());
    let allowed = limit * SPAN.as_secs_f64() * 1.5 + 5.0;
    assert!(
        most <= allowed,
        "{most} calls in {SPAN:?}, {allowed} allowed"
    );
}

#[test]
fn test_permits_expire_unused() {
    let now = Instant::now();
    let mut permits = Permits::new(rate(10.0), now);
    permits.grant(3, 3, now);
    assert!(permits.has_one(now + Duration::from_millis(700)));
    assert!(!permits.has_one(now + Duration::from_secs(1)));
}

/// A claim is pending until its answer, and tells a request whether waiting helps.
#[test]
fn test_permits_tell_when_they_have_run_out() {
    let now = Instant::now();
    let mut permits = Permits::new(rate(10.0), now);
    assert_eq!(permits.ready_in(now), Duration::ZERO);
    permits.spend(now);
    assert!(!permits.is_short(now));
    assert!(permits.ready_in(now) < Duration::from_millis(100));
    assert_eq!(permits.take_claim(), None);
    permits.want();
    assert_eq!(permits.take_claim(), Some(1));
    permits.want();
    assert_eq!(permits.take_claim(), None);
    permits.grant(1, 0, now);
    assert!(permits.is_short(now));
    assert!(!permits.is_short(now + Duration::from_secs(1)));
    assert_eq!(permits.take_claim(), Some(1));
    permits.grant(1, 1, now);
    assert!(!permits.is_short(now));
    assert_eq!(permits.ready_in(now), Duration::ZERO);
}
