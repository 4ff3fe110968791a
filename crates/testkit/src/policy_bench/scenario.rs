//! The scenarios of the benchmark with the bounds of their figures.

use std::time::Duration;

use super::{
    deployment::Deployment,
    fault::{Fault, HealthReporting, PresetChoice, Schedule},
    figure::Bound,
    record::{Record, Window, ratio},
    routing::RoutingMode,
    scenario_result::{ScenarioResult, StrategyRuns},
    simulation::{RunSettings, Strategy, run},
};

/// Load in normal operation, as a share of the capacity. One replica of each shard can sustain it.
pub(super) const NORMAL_LOAD: f64 = 0.3;
/// Factor by which the service time of a straggler is multiplied.
pub(super) const STRAGGLER_FACTOR: f64 = 20.0;
/// Seconds before the first fault.
pub(super) const WARMUP_SECS: u64 = 5;
/// Indexes of the backend server that faults are injected into and of the other replica of its
/// shard.
pub(super) const FAULTY_SERVERS: [usize; 2] = [6, 7];
/// Seconds after the loss of a replica in which the tail latency has a bound of its own; it must have
/// recovered after them.
const LOST_SECS: u64 = 2;
/// Duration of an overload in seconds.
const OVERLOAD_SECS: u64 = 30;
/// Seconds after an overload within which the tail latency must recover.
const RECOVERY_SECS: u64 = 5;
/// Seconds over which the tail latency after the recovery is measured.
const AFTER_OVERLOAD_SECS: u64 = 10;

/// The parameters of the benchmark.
#[derive(Clone, Debug)]
pub struct BenchSettings {
    /// The seed of all runs.
    pub seed: u64,
    /// The number of seconds that are measured in each run, after the warm-up.
    pub seconds: u64,
    /// The deployments to simulate.
    pub deployments: Vec<Deployment>,
}

/// A scenario of the benchmark.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The name on the command line.
    pub name: &'static str,
    /// Whether the scenario simulates all services of a deployment, or only the first.
    pub all_services: bool,
    /// The function that runs the scenario.
    pub run: fn(&BenchSettings, &Deployment) -> ScenarioResult,
}

/// All scenarios.
pub const SCENARIOS: [Scenario; 11] = [
    all_services("fault-free", fault_free),
    first_service("straggler", straggler),
    first_service("replica-lost", replica_lost),
    first_service("shard-lost", shard_lost),
    first_service("overload", overload),
    first_service("lying-health", lying_health),
    first_service("version-change", version_change),
    first_service("repartitioning", repartitioning),
    first_service("preset-switch", preset_switch),
    all_services("user-mix", user_mix),
    first_service("arrangement", super::comparison::compare_routing),
];

type RunScenario = fn(&BenchSettings, &Deployment) -> ScenarioResult;

const fn all_services(name: &'static str, run: RunScenario) -> Scenario {
    let all_services = true;
    Scenario {
        name,
        all_services,
        run,
    }
}

const fn first_service(name: &'static str, run: RunScenario) -> Scenario {
    let all_services = false;
    Scenario {
        name,
        all_services,
        run,
    }
}

impl Scenario {
    /// Runs the scenario on a deployment.
    #[must_use]
    pub fn run_on(&self, settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
        if self.all_services {
            return (self.run)(settings, deployment);
        }
        (self.run)(settings, &deployment.clone().keep_first_service())
    }
}

/// Runs without faults, where the policy must not be slower than the naive strategy and may make
/// only a few extra calls.
fn fault_free(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let runs = StrategyRuns::run(settings, deployment, NORMAL_LOAD, &Vec::new());
    let window = runs.window;
    let mut result = runs.result("fault-free");
    let extra = runs.policy.extra_share(window);
    result.add_figure("extra calls", extra, Bound::AtMost(0.05));
    result.add_figure(
        "p99 over naive",
        runs.ratio_to_naive(0.99),
        Bound::AtMost(1.0),
    );
    result.add_violations(&runs.policy);
    result
}

/// Makes one replica of one shard twenty times slower.
fn straggler(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let base = fault_free_p99(settings, deployment);
    let faults = vec![fault_at(
        WARMUP_SECS,
        Fault::Slow(FAULTY_SERVERS[0], STRAGGLER_FACTOR),
    )];
    let runs = StrategyRuns::run(settings, deployment, NORMAL_LOAD, &faults);
    let window = runs.window;
    let mut result = runs.result("straggler");
    let tail = |record: &Record| record.wide_latency_ms(0.99, window) / base;
    runs.add_with_naive(&mut result, "p99 over fault-free", Bound::AtMost(1.5), tail);
    let extra = runs.policy.extra_share(window);
    result.add_figure("extra calls", extra, Bound::AtMost(0.05));
    result.add_violations(&runs.policy);
    result
}

/// Makes one replica of one shard unresponsive, or lets it refuse connections.
fn replica_lost(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let base = fault_free_p99(settings, deployment);
    let mut result = ScenarioResult::default();
    for (how, fault) in [
        ("silent", Fault::Unresponsive(FAULTY_SERVERS[0])),
        ("refusing", Fault::Refusing(FAULTY_SERVERS[0])),
    ] {
        let runs = StrategyRuns::run(
            settings,
            deployment,
            NORMAL_LOAD,
            &vec![fault_at(WARMUP_SECS, fault)],
        );
        let window = runs.window;
        let mut part = runs.result(&format!("replica lost, {how}"));
        let coverage = |record: &Record| record.coverage(window);
        runs.add_with_naive(&mut part, "coverage", Bound::AtLeast(1.0), coverage);
        let first = Window::secs(WARMUP_SECS, WARMUP_SECS + LOST_SECS);
        let tail = |record: &Record| record.wide_latency_ms(0.99, first) / base;
        let name = "p99 of the first 2 s over fault-free";
        runs.add_with_naive(&mut part, name, Bound::AtMost(2.0), tail);
        let later = Window::secs(WARMUP_SECS + LOST_SECS, WARMUP_SECS + settings.seconds);
        let tail = runs.policy.wide_latency_ms(0.99, later) / base;
        part.add_figure("p99 afterwards over fault-free", tail, Bound::AtMost(2.0));
        part.add_violations(&runs.policy);
        result.merge(part);
    }
    result
}

/// Makes both replicas of one shard unresponsive, or lets them refuse connections.
fn shard_lost(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let mut result = ScenarioResult::default();
    for (how, faults) in [
        (
            "silent",
            FAULTY_SERVERS.map(|server| fault_at(WARMUP_SECS, Fault::Unresponsive(server))),
        ),
        (
            "refusing",
            FAULTY_SERVERS.map(|server| fault_at(WARMUP_SECS, Fault::Refusing(server))),
        ),
    ] {
        let runs = StrategyRuns::run(settings, deployment, NORMAL_LOAD, &faults.to_vec());
        let settled = Window::secs(WARMUP_SECS + 1, WARMUP_SECS + settings.seconds);
        let mut part = runs.result(&format!("shard lost, {how}"));
        let shards = f64::from(deployment.services[0].shards);
        let min_coverage = (shards - 1.0) / shards;
        let coverage = |record: &Record| record.coverage(settled);
        let bound = Bound::AtLeast(min_coverage - 1e-9);
        runs.add_with_naive(&mut part, "coverage", bound, coverage);
        let load = |record: &Record| 1.0 + record.extra_share(runs.window);
        runs.add_with_naive(&mut part, "load over first calls", Bound::AtMost(1.1), load);
        part.add_violations(&runs.policy);
        result.merge(part);
    }
    result
}

/// Applies twice the load that the capacity allows, for 30 s.
fn overload(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let base = fault_free_p99(settings, deployment);
    let end = WARMUP_SECS + OVERLOAD_SECS;
    let faults = vec![
        fault_at(WARMUP_SECS, Fault::Load(2.0)),
        fault_at(end, Fault::Load(NORMAL_LOAD)),
    ];
    let seconds = OVERLOAD_SECS + RECOVERY_SECS + AFTER_OVERLOAD_SECS;
    let overload_settings = BenchSettings {
        seconds,
        ..settings.clone()
    };
    let runs = StrategyRuns::run(&overload_settings, deployment, NORMAL_LOAD, &faults);
    let mut result = runs.result("overload");
    let during = Window::secs(WARMUP_SECS, end);
    let shape = &deployment.services[0];
    let capacity = f64::from(shape.total_slots()) / super::mean_service_time().as_secs_f64();
    let goodput = |record: &Record| record.urgent_goodput(during) / capacity;
    let name = "urgent goodput over capacity";
    runs.add_with_naive(&mut result, name, Bound::AtLeast(0.9), goodput);
    let from = end + RECOVERY_SECS;
    let after = Window::secs(from, from + AFTER_OVERLOAD_SECS);
    let tail = |record: &Record| record.wide_latency_ms(0.99, after) / base;
    let name = "p99 from 5 s after its end over fault-free";
    runs.add_with_naive(&mut result, name, Bound::AtMost(1.1), tail);
    let extra = runs.policy.extra_share(during);
    result.add_figure("extra calls", extra, Bound::AtMost(0.05));
    result.add_figure(
        "untrue refusals",
        ratio(runs.policy.false_refusals, 1),
        Bound::AtMost(0.0),
    );
    result.add_violations(&runs.policy);
    result
}

/// Lets health endpoints report in each mode, most of them wrong, while one replica is a straggler.
fn lying_health(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let straggler = fault_at(
        WARMUP_SECS,
        Fault::Slow(FAULTY_SERVERS[0], STRAGGLER_FACTOR),
    );
    let without = run_policy(settings, deployment, &vec![straggler]);
    let base = without.wide_latency_ms(0.99, window(settings));
    let mut result = ScenarioResult::new("lying health endpoints");
    for (how, mode) in [
        ("true", HealthReporting::Accurate),
        ("always healthy", HealthReporting::AlwaysReady),
        ("always ill", HealthReporting::AlwaysUnhealthy),
        ("swapped", HealthReporting::Inverted),
        ("frozen", HealthReporting::Stale),
    ] {
        let faults = vec![fault_at(0, Fault::HealthReporting(mode)), straggler];
        let record = run_policy(settings, deployment, &faults);
        let tail = record.wide_latency_ms(0.99, window(settings)) / base;
        result.add_figure(&format!("{how}: p99 over none"), tail, Bound::AtMost(1.2));
        result.add_violations(&record);
    }
    result
}

/// Publishes a new index version and drops the old one while requests run.
fn version_change(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let shards = deployment.services[0].shards;
    run_publication(settings, deployment, shards, "index version change")
}

/// Publishes an index version with a fifth more shards and drops the old one while requests run.
fn repartitioning(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let shards = deployment.services[0].shards;
    run_publication(settings, deployment, shards + shards / 5, "repartitioning")
}

/// Switches presets under load.
fn preset_switch(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let base = fault_free_p99(settings, deployment);
    let choices = [
        PresetChoice::Peak,
        PresetChoice::Maintenance,
        PresetChoice::Ordinary,
    ];
    let step = (settings.seconds / 4).max(1);
    let faults = choices.into_iter().zip(1..);
    let faults =
        faults.map(|(choice, turn)| fault_at(WARMUP_SECS + turn * step, Fault::Preset(choice)));
    let record = run_policy(settings, deployment, &faults.collect());
    let mut result = ScenarioResult::new("preset switch");
    let tail = record.wide_latency_ms(0.99, window(settings));
    result.add_figure("p99 over fault-free", tail / base, Bound::AtMost(1.5));
    result.add_figure(
        "coverage",
        record.coverage(window(settings)),
        Bound::AtLeast(0.999),
    );
    result.add_violations(&record);
    result
}

/// Runs a typical mix of faults: a straggler, an unresponsive replica and a load peak.
fn user_mix(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let span = settings.seconds;
    let faults = vec![
        fault_at(
            WARMUP_SECS + span / 10,
            Fault::Slow(FAULTY_SERVERS[0], STRAGGLER_FACTOR),
        ),
        fault_at(
            WARMUP_SECS + span * 3 / 10,
            Fault::Recover(FAULTY_SERVERS[0]),
        ),
        fault_at(
            WARMUP_SECS + span * 4 / 10,
            Fault::Unresponsive(FAULTY_SERVERS[1]),
        ),
        fault_at(
            WARMUP_SECS + span * 6 / 10,
            Fault::Recover(FAULTY_SERVERS[1]),
        ),
        fault_at(WARMUP_SECS + span * 7 / 10, Fault::Load(1.2)),
        fault_at(WARMUP_SECS + span * 8 / 10, Fault::Load(NORMAL_LOAD)),
    ];
    let runs = StrategyRuns::run(settings, deployment, NORMAL_LOAD, &faults);
    let window = runs.window;
    let mut result = runs.result("user mix");
    for (name, other) in [("naive", &runs.naive), ("thin", &runs.round_robin)] {
        let p99 = |record: &Record| record.wide_latency_ms(0.99, window);
        let ratio = p99(&runs.policy) / p99(other);
        result.add_figure(&format!("p99 over {name}"), ratio, Bound::Below(1.0));
        let gain = runs.policy.coverage(window) - other.coverage(window);
        result.add_figure(&format!("coverage above {name}"), gain, Bound::Above(0.0));
        let load = |record: &Record| record.slot_time_per_row(window).as_secs_f64();
        let ratio = load(&runs.policy) / load(other);
        result.add_figure(
            &format!("slot time a row over {name}"),
            ratio,
            Bound::Below(1.0),
        );
    }
    result.add_violations(&runs.policy);
    result
}

fn run_publication(
    settings: &BenchSettings,
    deployment: &Deployment,
    shards: u32,
    title: &str,
) -> ScenarioResult {
    let base = fault_free_p99(settings, deployment);
    let publish = WARMUP_SECS + 1;
    let mut faults = vec![fault_at(publish, Fault::Publish(shards))];
    let servers = 2 * deployment.services[0].shards;
    for server in 0..servers as usize {
        // Servers drop the old version before the slowest entries have learned of the new one.
        let since = Duration::from_millis(210 + 2 * server as u64);
        let time = Duration::from_secs(publish) + since;
        faults.push((time, Fault::DropOldVersions(server)));
    }
    let runs = StrategyRuns::run(settings, deployment, NORMAL_LOAD, &faults);
    let mut result = runs.result(title);
    let during = Window::secs(publish, publish + 2);
    let tail = |record: &Record| record.wide_latency_ms(0.99, during) / base;
    let name = "p99 during it over fault-free";
    runs.add_with_naive(&mut result, name, Bound::AtMost(2.0), tail);
    let coverage = |record: &Record| record.coverage(runs.window);
    runs.add_with_naive(&mut result, "coverage", Bound::AtLeast(1.0), coverage);
    result.add_figure(
        "restarted searches",
        ratio(runs.policy.restarts, 1),
        Bound::None,
    );
    result.add_figure(
        "mixed answers",
        ratio(runs.policy.mixed_answers, 1),
        Bound::AtMost(0.0),
    );
    result.add_violations(&runs.policy);
    result
}

/// Returns a fault at a whole second of a run.
pub(super) const fn fault_at(second: u64, fault: Fault) -> (Duration, Fault) {
    (Duration::from_secs(second), fault)
}

/// Returns the measured part of a run, after the warm-up.
pub(super) const fn window(settings: &BenchSettings) -> Window {
    Window::secs(WARMUP_SECS, WARMUP_SECS + settings.seconds)
}

fn run_policy(settings: &BenchSettings, deployment: &Deployment, faults: &Schedule) -> Record {
    let strategy = Strategy::Policy;
    run(run_settings(
        settings,
        deployment,
        strategy,
        NORMAL_LOAD,
        faults,
    ))
}

/// Returns the 99th percentile latency of wide searches under the policy without faults, in
/// milliseconds.
fn fault_free_p99(settings: &BenchSettings, deployment: &Deployment) -> f64 {
    let record = run_policy(settings, deployment, &Vec::new());
    record.wide_latency_ms(0.99, window(settings))
}

pub(super) fn run_settings(
    settings: &BenchSettings,
    deployment: &Deployment,
    strategy: Strategy,
    load: f64,
    faults: &Schedule,
) -> RunSettings {
    RunSettings {
        deployment: deployment.clone(),
        strategy,
        routing: RoutingMode::Owner,
        seed: settings.seed,
        load,
        duration: Duration::from_secs(WARMUP_SECS + settings.seconds),
        faults: faults.clone(),
    }
}
