//! The scenarios of the benchmark and the bounds of their figures.

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

/// The load of an ordinary day, a share of the capacity; one replica of each shard can bear it.
pub(super) const NORMAL_LOAD: f64 = 0.3;
/// How much slower a straggler is.
pub(super) const STRAGGLER_FACTOR: f64 = 20.0;
/// The seconds before anything goes wrong.
pub(super) const WARMUP_SECS: u64 = 5;
/// The backend server that faults hit, and the other replica of its shard.
pub(super) const FAULTY_SERVERS: [usize; 2] = [6, 7];
/// How long a replica is lost until the tail must be back.
const LOST_SECS: u64 = 2;
/// How long an overload lasts.
const OVERLOAD_SECS: u64 = 30;
/// How long after an overload the tail must be back.
const RECOVERY_SECS: u64 = 5;
/// The seconds over which the tail after an overload is taken.
const AFTER_OVERLOAD_SECS: u64 = 10;

/// How the benchmark is run.
#[derive(Clone, Debug)]
pub struct BenchSettings {
    /// The seed of all runs.
    pub seed: u64,
    /// The seconds measured in each run.
    pub seconds: u64,
    /// The deployments.
    pub deployments: Vec<Deployment>,
}

/// A scenario.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// Whether it needs all services of a deployment, or the first alone.
    pub all_services: bool,
    /// Runs it.
    pub run: fn(&BenchSettings, &Deployment) -> ScenarioResult,
}

/// All scenarios.
pub const SCENARIOS: [Scenario; 11] = [
    whole("fault-free", fault_free),
    first("straggler", straggler),
    first("replica-lost", replica_lost),
    first("shard-lost", shard_lost),
    first("overload", overload),
    first("lying-health", lying_health),
    first("version-change", version_change),
    first("repartitioning", repartitioning),
    first("preset-switch", preset_switch),
    whole("user-mix", user_mix),
    first("arrangement", super::comparison::compare_routing),
];

type RunScenario = fn(&BenchSettings, &Deployment) -> ScenarioResult;

const fn whole(name: &'static str, run: RunScenario) -> Scenario {
    let all_services = true;
    Scenario {
        name,
        all_services,
        run,
    }
}

const fn first(name: &'static str, run: RunScenario) -> Scenario {
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

/// No faults: the policy must not cost anything.
fn fault_free(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let trio = StrategyRuns::run(settings, deployment, NORMAL_LOAD, &Vec::new());
    let window = trio.window;
    let mut result = trio.result("fault-free");
    let extra = trio.policy.extra_share(window);
    result.add_figure("extra calls", extra, Bound::AtMost(0.05));
    result.add_figure(
        "p99 over naive",
        trio.ratio_to_naive(0.99),
        Bound::AtMost(1.0),
    );
    result.add_violations(&trio.policy);
    result
}

/// One replica of one shard is twenty times slower.
fn straggler(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let base = fault_free_p99(settings, deployment);
    let faults = vec![fault_at(
        WARMUP_SECS,
        Fault::Slow(FAULTY_SERVERS[0], STRAGGLER_FACTOR),
    )];
    let trio = StrategyRuns::run(settings, deployment, NORMAL_LOAD, &faults);
    let window = trio.window;
    let mut result = trio.result("straggler");
    let tail = |record: &Record| record.wide_latency_ms(0.99, window) / base;
    trio.add_with_naive(&mut result, "p99 over fault-free", Bound::AtMost(1.5), tail);
    let extra = trio.policy.extra_share(window);
    result.add_figure("extra calls", extra, Bound::AtMost(0.05));
    result.add_violations(&trio.policy);
    result
}

/// One replica of one shard is lost, silently or with refused connections.
fn replica_lost(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let base = fault_free_p99(settings, deployment);
    let mut result = ScenarioResult::default();
    for (how, fault) in [
        ("silent", Fault::Unresponsive(FAULTY_SERVERS[0])),
        ("refusing", Fault::Refusing(FAULTY_SERVERS[0])),
    ] {
        let trio = StrategyRuns::run(
            settings,
            deployment,
            NORMAL_LOAD,
            &vec![fault_at(WARMUP_SECS, fault)],
        );
        let window = trio.window;
        let mut part = trio.result(&format!("replica lost, {how}"));
        let coverage = |record: &Record| record.coverage(window);
        trio.add_with_naive(&mut part, "coverage", Bound::AtLeast(1.0), coverage);
        let first = Window::secs(WARMUP_SECS, WARMUP_SECS + LOST_SECS);
        let tail = |record: &Record| record.wide_latency_ms(0.99, first) / base;
        let name = "p99 of the first 2 s over fault-free";
        trio.add_with_naive(&mut part, name, Bound::AtMost(2.0), tail);
        let later = Window::secs(WARMUP_SECS + LOST_SECS, WARMUP_SECS + settings.seconds);
        let tail = trio.policy.wide_latency_ms(0.99, later) / base;
        part.add_figure("p99 afterwards over fault-free", tail, Bound::AtMost(2.0));
        part.add_violations(&trio.policy);
        result.merge(part);
    }
    result
}

/// Both replicas of one shard are lost.
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
        let trio = StrategyRuns::run(settings, deployment, NORMAL_LOAD, &faults.to_vec());
        let settled = Window::secs(WARMUP_SECS + 1, WARMUP_SECS + settings.seconds);
        let mut part = trio.result(&format!("shard lost, {how}"));
        let shards = f64::from(deployment.services[0].shards);
        let least = (shards - 1.0) / shards;
        let coverage = |record: &Record| record.coverage(settled);
        let bound = Bound::AtLeast(least - 1e-9);
        trio.add_with_naive(&mut part, "coverage", bound, coverage);
        let load = |record: &Record| 1.0 + record.extra_share(trio.window);
        trio.add_with_naive(&mut part, "load over first calls", Bound::AtMost(1.1), load);
        part.add_violations(&trio.policy);
        result.merge(part);
    }
    result
}

/// Twice the load that can be borne, for 30 s.
fn overload(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let base = fault_free_p99(settings, deployment);
    let end = WARMUP_SECS + OVERLOAD_SECS;
    let faults = vec![
        fault_at(WARMUP_SECS, Fault::Load(2.0)),
        fault_at(end, Fault::Load(NORMAL_LOAD)),
    ];
    let seconds = OVERLOAD_SECS + RECOVERY_SECS + AFTER_OVERLOAD_SECS;
    let longer = BenchSettings {
        seconds,
        ..settings.clone()
    };
    let trio = StrategyRuns::run(&longer, deployment, NORMAL_LOAD, &faults);
    let mut result = trio.result("overload");
    let during = Window::secs(WARMUP_SECS, end);
    let shape = &deployment.services[0];
    let capacity = f64::from(shape.total_slots()) / super::mean_service_time().as_secs_f64();
    let goodput = |record: &Record| record.urgent_goodput(during) / capacity;
    let name = "urgent goodput over capacity";
    trio.add_with_naive(&mut result, name, Bound::AtLeast(0.9), goodput);
    let from = end + RECOVERY_SECS;
    let after = Window::secs(from, from + AFTER_OVERLOAD_SECS);
    let tail = |record: &Record| record.wide_latency_ms(0.99, after) / base;
    let name = "p99 from 5 s after its end over fault-free";
    trio.add_with_naive(&mut result, name, Bound::AtMost(1.1), tail);
    let extra = trio.policy.extra_share(during);
    result.add_figure("extra calls", extra, Bound::AtMost(0.05));
    result.add_figure(
        "untrue refusals",
        ratio(trio.policy.false_refusals, 1),
        Bound::AtMost(0.0),
    );
    result.add_violations(&trio.policy);
    result
}

/// Health endpoints that lie while there is a straggler.
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

/// A new index version, the old one dropped while queries run.
fn version_change(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let shards = deployment.services[0].shards;
    publication(settings, deployment, shards, "index version change")
}

/// A new shard map with a fifth more shards, the old one dropped while queries run.
fn repartitioning(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let shards = deployment.services[0].shards;
    publication(settings, deployment, shards + shards / 5, "repartitioning")
}

/// Presets are switched under load.
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

/// The users' day: a straggler, a lost replica, a burst and a version change.
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
    let trio = StrategyRuns::run(settings, deployment, NORMAL_LOAD, &faults);
    let window = trio.window;
    let mut result = trio.result("user mix");
    for (name, other) in [("naive", &trio.naive), ("thin", &trio.round_robin)] {
        let p99 = |record: &Record| record.wide_latency_ms(0.99, window);
        let ratio = p99(&trio.policy) / p99(other);
        result.add_figure(&format!("p99 over {name}"), ratio, Bound::Below(1.0));
        let gain = trio.policy.coverage(window) - other.coverage(window);
        result.add_figure(&format!("coverage above {name}"), gain, Bound::Above(0.0));
        let load = |record: &Record| record.slot_time_per_row(window).as_secs_f64();
        let ratio = load(&trio.policy) / load(other);
        result.add_figure(
            &format!("slot time a row over {name}"),
            ratio,
            Bound::Below(1.0),
        );
    }
    result.add_violations(&trio.policy);
    result
}

fn publication(
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
        // The platform drops the old version while the slowest entries don't know the new one yet.
        let since = Duration::from_millis(210 + 2 * server as u64);
        let time = Duration::from_secs(publish) + since;
        faults.push((time, Fault::DropOldVersions(server)));
    }
    let trio = StrategyRuns::run(settings, deployment, NORMAL_LOAD, &faults);
    let mut result = trio.result(title);
    let during = Window::secs(publish, publish + 2);
    let tail = |record: &Record| record.wide_latency_ms(0.99, during) / base;
    let name = "p99 during it over fault-free";
    trio.add_with_naive(&mut result, name, Bound::AtMost(2.0), tail);
    let coverage = |record: &Record| record.coverage(trio.window);
    trio.add_with_naive(&mut result, "coverage", Bound::AtLeast(1.0), coverage);
    result.add_figure(
        "restarted searches",
        ratio(trio.policy.restarts, 1),
        Bound::None,
    );
    result.add_figure(
        "mixed answers",
        ratio(trio.policy.mixed_answers, 1),
        Bound::AtMost(0.0),
    );
    result.add_violations(&trio.policy);
    result
}

pub(super) const fn fault_at(second: u64, fault: Fault) -> (Duration, Fault) {
    (Duration::from_secs(second), fault)
}

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

/// Returns the 99th percentile of a run of the policy without faults, in milliseconds.
fn fault_free_p99(settings: &BenchSettings, deployment: &Deployment) -> f64 {
    let clean = run_policy(settings, deployment, &Vec::new());
    clean.wide_latency_ms(0.99, window(settings))
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
