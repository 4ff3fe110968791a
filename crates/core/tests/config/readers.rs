//! Tests of the election of the processes that read the configuration service.

use std::time::Duration;

use cassialift_core::{
    config::{
        Candidate, FALLBACK_RATE, READERS_PER_CENTRE, ReadInput, ReadPlan, ReadSettings, STALE_AGE,
        ServiceReachability, WATCH_PERIOD, WATCH_WAIT, outranks, plan_reads,
    },
    ids::{DataCentre, VmId},
};
use yare::parameterized;

/// The reads per second that the platform allows.
const PLATFORM_RATE: f64 = 2_000.0;

fn fleet(processes: usize, centres: usize) -> Vec<Candidate> {
    let candidate = |i: usize| Candidate {
        vm: VmId::from(format!("vm-{i}")),
        centre: DataCentre::from(format!("centre-{}", i % centres)),
        usable: true,
        service: ServiceReachability::Untried,
    };
    (0..processes).map(candidate).collect()
}

/// Returns the plan of each process if all have the same information about each other.
fn plans(
    fleet: &[Candidate],
    age: Option<Duration>,
    current: ReadPlan,
    outranked: Option<Duration>,
) -> Vec<ReadPlan> {
    let plan = |(i, own): (usize, &Candidate)| {
        let mut peers = fleet.to_vec();
        peers.remove(i);
        plan_reads(&ReadInput {
            vm: &own.vm,
            centre: &own.centre,
            service: own.service,
            peers: &peers,
            confirmation_age: age,
            outranked_age: outranked,
            plan: current,
            settings: ReadSettings::default(),
        })
    };
    fleet.iter().enumerate().map(plan).collect()
}

/// Returns the maximum number of reads per second under these plans, with constant changes or
/// with none.
fn rate(plans: &[ReadPlan], changing: bool) -> f64 {
    let watch = if changing { WATCH_PERIOD } else { WATCH_WAIT };
    let rate_of = |plan: &ReadPlan| match plan {
        ReadPlan::Idle => 0.0,
        ReadPlan::Watch => 1.0 / watch.as_secs_f64(),
        ReadPlan::Fallback { period } => 1.0 / period.as_secs_f64(),
    };
    plans.iter().map(rate_of).sum()
}

#[parameterized(
    adebayo = { 8, 4, 8 },
    riddim = { 7, 3, 6 },
    one = { 1, 1, 1 },
    later = { 1_100, 10, 20 },
)]
fn test_readers_elected(processes: usize, centres: usize, readers: usize) {
    let plans = plans(
        &fleet(processes, centres),
        Some(Duration::ZERO),
        ReadPlan::Idle,
        None,
    );
    let watching = plans.iter().filter(|plan| **plan == ReadPlan::Watch);
    assert_eq!(watching.count(), readers);
    let idle = plans.iter().filter(|plan| **plan == ReadPlan::Idle);
    assert_eq!(idle.count(), processes - readers);
}

#[parameterized(
    confirmed = { Some(Duration::ZERO), ServiceReachability::Reached },
    cut_off = { Some(STALE_AGE * 2), ServiceReachability::Unreachable },
    never = { None, ServiceReachability::Untried },
)]
fn test_readers_rate_at_1100(age: Option<Duration>, service: ServiceReachability) {
    let mut fleet = fleet(1_100, 10);
    for candidate in &mut fleet {
        candidate.service = service;
    }
    let plans = plans(&fleet, age, ReadPlan::Idle, None);
    let bound = f64::from(FALLBACK_RATE) + 20.0 / WATCH_PERIOD.as_secs_f64();
    assert!(rate(&plans, true) <= bound, "{}", rate(&plans, true));
    assert!(bound < 0.7 * PLATFORM_RATE);
}

#[test]
fn test_readers_rate_grows_with_data_centres_only() {
    let rate_at = |processes, centres| {
        let fleet = fleet(processes, centres);
        rate(
            &plans(&fleet, Some(Duration::ZERO), ReadPlan::Idle, None),
            false,
        )
    };
    assert!((rate_at(64, 4) - rate_at(1_100, 4)).abs() < f64::EPSILON);
    assert!((rate_at(64, 4) * 2.0 - rate_at(64, 8)).abs() < f64::EPSILON);
}

#[test]
fn test_readers_election_passes_on() {
    let mut fleet = fleet(12, 1);
    let watching = |fleet: &[Candidate]| -> Vec<usize> {
        let plans = plans(fleet, Some(Duration::ZERO), ReadPlan::Idle, None);
        (0..plans.len())
            .filter(|i| plans[*i] == ReadPlan::Watch)
            .collect()
    };
    let first = watching(&fleet);
    fleet[first[0]].service = ServiceReachability::Unreachable;
    fleet[first[1]].usable = false;
    let second: Vec<usize> = watching(&fleet)
        .into_iter()
        .filter(|i| *i != first[1])
        .collect();
    assert_eq!(second.len(), READERS_PER_CENTRE);
    assert!(!second.contains(&first[0]));
    // The process that cannot read keeps trying, so that it watches again once it can.
    let plans = plans(&fleet, Some(Duration::ZERO), ReadPlan::Idle, None);
    assert!(matches!(plans[first[0]], ReadPlan::Fallback { .. }));
}

#[test]
fn test_readers_that_learn_of_each_other_one_stops() {
    let mut fleet = fleet(40, 1);
    for candidate in &mut fleet {
        candidate.service = ServiceReachability::Reached;
    }
    let names: Vec<VmId> = fleet.iter().map(|own| VmId::clone(&own.vm)).collect();
    for one in &names {
        for other in names.iter().filter(|other| *other != one) {
            assert!(outranks(one, other) != outranks(other, one));
        }
    }
    // An extra reader stops for a reader that ranks before it, but only while that reader's last
    // confirmation is recent. It continues if it knows of no such reader.
    let extra_readers = |outranked| {
        let current = ReadPlan::Fallback {
            period: Duration::from_secs(1),
        };
        let plans = plans(&fleet, Some(Duration::ZERO), current, outranked);
        plans
            .iter()
            .filter(|plan| matches!(plan, ReadPlan::Fallback { .. }))
            .count()
    };
    assert_eq!(extra_readers(Some(STALE_AGE)), 0);
    assert_eq!(extra_readers(Some(STALE_AGE * 2)), 40 - READERS_PER_CENTRE);
    assert_eq!(extra_readers(None), 40 - READERS_PER_CENTRE);
}
