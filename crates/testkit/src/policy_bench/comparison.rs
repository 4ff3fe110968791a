//! The comparison of owner routing with entries that send to backend servers directly.

use std::time::Duration;

use super::{
    deployment::Deployment,
    fault::{Fault, Schedule},
    figure::Bound,
    record::{Record, Window, ratio},
    routing::RoutingMode,
    scenario::{
        BenchSettings, FAULTY_SERVERS, NORMAL_LOAD, STRAGGLER_FACTOR, WARMUP_SECS, fault_at,
        run_settings, window,
    },
    scenario_result::{ScenarioResult, run_parallel},
    simulation::{RunSettings, Strategy, run},
};

/// Index of the entry VM that is replaced.
const REPLACED_VM: usize = 3;
/// Seconds until the replacement of the entry VM joins.
const ABSENCE_SECS: u64 = 2;

/// A load and the faults that are injected under it.
struct Case {
    title: &'static str,
    load: f64,
    faults: Schedule,
}

/// Runs every routing mode under the same loads and faults.
pub(super) fn compare_routing(settings: &BenchSettings, deployment: &Deployment) -> ScenarioResult {
    let mut result = ScenarioResult::new("arrangement");
    for cases in cases() {
        let run_modes_of = |case| run_modes(settings, deployment, case);
        for (case, runs) in cases
            .iter()
            .zip(run_parallel(cases.each_ref(), run_modes_of))
        {
            for (routing, record) in RoutingMode::ALL.into_iter().zip(&runs) {
                let prefix = format!("{}, {}", case.title, routing.name());
                add_measures(&mut result, &prefix, record, window(settings));
            }
            add_bounds(&mut result, case.title, &runs, window(settings));
        }
    }
    result
}

/// Returns the cases of plain load, then those with faults.
fn cases() -> [[Case; 3]; 2] {
    let straggler = vec![fault_at(
        WARMUP_SECS,
        Fault::Slow(FAULTY_SERVERS[0], STRAGGLER_FACTOR),
    )];
    let join = fault_at(WARMUP_SECS + ABSENCE_SECS, Fault::Join(REPLACED_VM));
    let replacement = vec![fault_at(WARMUP_SECS, Fault::Leave(REPLACED_VM)), join];
    let kill = vec![fault_at(WARMUP_SECS, Fault::Kill(REPLACED_VM)), join];
    let case = |title, load, faults| Case {
        title,
        load,
        faults,
    };
    let loads = [
        case("load 0.5", 0.5, Vec::new()),
        case("load 0.9", 0.9, Vec::new()),
        case("load 1.2", 1.2, Vec::new()),
    ];
    let faults = [
        case("straggler", NORMAL_LOAD, straggler),
        case("replacement", 0.5, replacement),
        case("kill", 0.5, kill),
    ];
    [loads, faults]
}

fn run_modes(settings: &BenchSettings, deployment: &Deployment, case: &Case) -> [Record; 3] {
    let run_one = |routing| run_case(routing, settings, deployment, case);
    run_parallel(RoutingMode::ALL, run_one)
}

fn run_case(
    routing: RoutingMode,
    settings: &BenchSettings,
    deployment: &Deployment,
    case: &Case,
) -> Record {
    let strategy = Strategy::Policy;
    run(RunSettings {
        routing,
        ..run_settings(settings, deployment, strategy, case.load, &case.faults)
    })
}

fn add_measures(result: &mut ScenarioResult, prefix: &str, record: &Record, window: Window) {
    let mut add = |name: &str, value| {
        result.add_figure(&format!("{prefix}: {name}"), value, Bound::None);
    };
    add("p50 ms", record.wide_latency_ms(0.5, window));
    add("p99 ms", record.wide_latency_ms(0.99, window));
    add("coverage", record.coverage(window));
    add("refused by servers", record.refused_share(window));
    add("calls a shard", record.calls_per_shard(window));
    let before = Window {
        from: Duration::ZERO,
        to: window.from,
    };
    add(
        "connections before",
        ratio(before.sum(&record.opened_connections), 1),
    );
    add(
        "connections during",
        ratio(window.sum(&record.opened_connections), 1),
    );
}

/// Adds the figures in which owner routing must not be worse than direct routing.
fn add_bounds(result: &mut ScenarioResult, title: &str, runs: &[Record; 3], window: Window) {
    let [owner, direct @ ..] = runs;
    let others = RoutingMode::ALL.into_iter().skip(1).zip(direct);
    for (routing, other) in others {
        let name = routing.name();
        let refused = owner.refused_share(window) - other.refused_share(window);
        let figure = format!("{title}: owner's refusals above {name}");
        result.add_figure(&figure, refused, Bound::AtMost(0.0));
        let tail = owner.wide_latency_ms(0.99, window) / other.wide_latency_ms(0.99, window);
        let figure = format!("{title}: owner's p99 over {name}");
        result.add_figure(&figure, tail, Bound::AtMost(1.0));
        let gain = owner.coverage(window) - other.coverage(window);
        let figure = format!("{title}: owner's coverage above {name}");
        result.add_figure(&figure, gain, Bound::AtLeast(0.0));
    }
    let violations: u64 = runs.iter().map(Record::violations).sum();
    let figure = format!("{title}: broken promises");
    result.add_figure(&figure, ratio(violations, 1), Bound::AtMost(0.0));
}
