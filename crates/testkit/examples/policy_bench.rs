//! Runs the policy benchmark: prints one line per figure and writes a report to
//! `target/policy_bench`.
//!
//! Exits with 1 if a figure is outside its bound, and with 2 if the arguments are invalid or the
//! report cannot be written.

use std::{path::Path, process::ExitCode, thread};

use cassialift_testkit::policy_bench::{
    BenchSettings, Deployment, SCENARIOS, Scenario, ScenarioResult, write_report,
};
use getopts::Options;

/// The folder of the report.
const REPORT_FOLDER: &str = "target/policy_bench";

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seed", "the seed of all runs, 1 when missing", "NUMBER");
    options.optopt(
        "",
        "seconds",
        "the seconds measured in each run, 20 when missing",
        "NUMBER",
    );
    options.optopt("", "deployment", "run only this deployment", "NAME");
    options.optopt("", "only", "run only the scenario of this name", "NAME");
    let Ok(matches) = options.parse(std::env::args().skip(1)) else {
        eprint!("{}", options.usage("Usage: policy_bench [options]"));
        return ExitCode::from(2);
    };
    let number = |name| matches.opt_get_default(name, 0).unwrap_or_default();
    let settings = BenchSettings {
        seed: number("seed").max(1),
        seconds: if number("seconds") == 0 {
            20
        } else {
            number("seconds")
        },
        deployments: Deployment::all().to_vec(),
    };
    let only = matches.opt_str("only").unwrap_or_default();
    let mut results = Vec::new();
    let mut scenarios = SCENARIOS.to_vec();
    scenarios.retain(|scenario| only.is_empty() || scenario.name == only);
    let deployment_name = matches.opt_str("deployment").unwrap_or_default();
    for deployment in &settings.deployments {
        if !deployment_name.is_empty() && deployment.name != deployment_name {
            continue;
        }
        for result in run_all(&settings, deployment, &scenarios) {
            print(deployment.name, &result);
            results.push((deployment.name.to_owned(), result));
        }
    }
    let heading = format!(
        "Seed {}, {} s measured a run.",
        settings.seed, settings.seconds
    );
    if let Err(error) = write_report(Path::new(REPORT_FOLDER), &heading, &results) {
        eprintln!("policy_bench: {error}");
        return ExitCode::from(2);
    }
    let figures = results.iter().flat_map(|(_, result)| &result.figures);
    let failed = figures.filter(|figure| !figure.is_within_bound()).count();
    println!("{failed} figures broke their bounds; report in {REPORT_FOLDER}/report.md");
    ExitCode::from(u8::from(failed > 0))
}

/// Runs the scenarios on a deployment, two at a time.
fn run_all(
    settings: &BenchSettings,
    deployment: &Deployment,
    scenarios: &[Scenario],
) -> Vec<ScenarioResult> {
    let mut results = Vec::new();
    for pair in scenarios.chunks(2) {
        let run = |scenario: &Scenario| scenario.run_on(settings, deployment);
        thread::scope(|scope| {
            let running: Vec<_> = pair
                .iter()
                .map(|one| scope.spawn(move || run(one)))
                .collect();
            for thread in running {
                results.push(thread.join().expect("a scenario panicked"));
            }
        });
    }
    results
}

/// Prints the figures of one scenario.
fn print(deployment: &str, result: &ScenarioResult) {
    for figure in &result.figures {
        println!("{deployment:<8} {figure}");
    }
}
