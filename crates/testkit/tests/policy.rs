//! Short runs of the policy benchmark, and comparisons of the policy with the naive strategy.
//!
//! Time is simulated and seeds are fixed, so that the results are the same in every run.

use std::time::Duration;

use cassialift_testkit::policy_bench::{
    BenchSettings, Deployment, Fault, RequestEnd, RoutingMode, RunSettings, SCENARIOS, Strategy,
    run,
};
use yare::parameterized;

fn settings(seconds: u64) -> BenchSettings {
    BenchSettings {
        seed: 1,
        seconds,
        deployments: Vec::new(),
    }
}

#[parameterized(
    straggler = { "straggler", 4 },
    replica_lost = { "replica-lost", 4 },
    shard_lost = { "shard-lost", 4 },
    overload = { "overload", 4 },
    lying_health = { "lying-health", 10 },
    version_change = { "version-change", 4 },
    repartitioning = { "repartitioning", 4 },
    preset_switch = { "preset-switch", 4 },
)]
fn test_bench_keeps_bounds(name: &str, seconds: u64) {
    let scenario = SCENARIOS.iter().find(|scenario| scenario.name == name);
    let scenario = scenario.expect("the scenario exists");
    for deployment in Deployment::all() {
        let result = scenario.run_on(&settings(seconds), &deployment);
        let failed: Vec<_> = result
            .figures
            .iter()
            .filter(|figure| !figure.is_within_bound())
            .collect();
        assert!(!result.figures.is_empty());
        assert!(failed.is_empty(), "{}: {failed:#?}", deployment.name);
    }
}

fn run_as(strategy: Strategy, deployment: Deployment, faults: Vec<(Duration, Fault)>) -> u64 {
    let record = run(RunSettings {
        deployment,
        strategy,
        routing: RoutingMode::Owner,
        seed: 3,
        load: 0.2,
        duration: Duration::from_secs(3),
        faults,
    });
    assert_eq!(record.violations(), 0, "{strategy:?}");
    let is_complete = |request: &&_| {
        let request: &cassialift_testkit::policy_bench::CompletedRequest = request;
        request.end == RequestEnd::Answered && request.included == request.total
    };
    let complete = record.completed.iter().filter(is_complete).count() as u64;
    assert_eq!(complete, record.offered_requests, "{strategy:?}");
    record.offered_requests
}

#[parameterized(
    adebayo = { Deployment::adebayo() },
    riddim = { Deployment::riddim() },
)]
fn test_policy_agrees_with_naive_without_faults(deployment: Deployment) {
    let naive = run_as(Strategy::Naive, deployment.clone(), Vec::new());
    let round_robin = run_as(Strategy::RoundRobin, deployment.clone(), Vec::new());
    let policy = run_as(Strategy::Policy, deployment, Vec::new());
    assert!(naive > 1_000);
    assert_eq!((round_robin, policy), (naive, naive));
}

#[test]
fn test_policy_agrees_with_naive_on_a_refusing_replica() {
    let deployment = Deployment::adebayo().keep_first_service();
    let faults = vec![(Duration::from_secs(1), Fault::Refusing(4))];
    let naive = run_as(Strategy::Naive, deployment.clone(), faults.clone());
    let policy = run_as(Strategy::Policy, deployment, faults);
    assert_eq!(policy, naive);
}
