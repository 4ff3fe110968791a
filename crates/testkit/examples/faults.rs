//! Runs a randomised schedule of faults and prints a report: `faults --seed N --seconds M`.

use std::{process::ExitCode, time::Duration};

use cassialift_testkit::{
    demo,
    faults::{self, FaultSettings},
    load::LoadSettings,
};
use getopts::Options;

fn settings(args: &[String]) -> Result<FaultSettings, Box<dyn std::error::Error>> {
    let mut options = Options::new();
    options.optopt("", "seed", "the seed of the schedule", "N");
    options.optopt("", "seconds", "how long faults are brought about", "M");
    options.optopt("", "vms", "how many VMs run", "N");
    let matches = options.parse(args)?;
    let default = FaultSettings::default();
    let seconds = matches.opt_get_default("seconds", default.duration.as_secs())?;
    Ok(FaultSettings {
        seed: matches.opt_get_default("seed", default.seed)?,
        duration: Duration::from_secs(seconds),
        vms: matches.opt_get_default("vms", default.vms)?,
        ..default
    })
}

/// Runs the schedule; returns whether all invariants held.
async fn run(args: &[String]) -> Result<bool, Box<dyn std::error::Error>> {
    let settings = settings(args)?;
    demo::build_programs()?;
    let report = faults::run(&settings, &LoadSettings::default()).await?;
    println!("{report}");
    Ok(report.report.violations.is_empty())
}

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run(&args).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("faults: {error}");
            ExitCode::FAILURE
        }
    }
}
