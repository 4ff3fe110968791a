//! Sends load to a fleet of its own and prints a report: `load --rate N --seconds M`.

use std::{process::ExitCode, sync::Arc, time::Duration};

use cassialift_testkit::{
    demo,
    harness::{Caller, Fleet, FleetSettings},
    load::{LoadSettings, Report, generate},
};
use getopts::{Matches, Options};
use tokio_util::sync::CancellationToken;

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "rate", "requests a second", "N");
    options.optopt("", "seconds", "how long requests are sent", "M");
    options.optopt("", "callers", "callers that share the load", "N");
    options.optopt("", "jobs", "the share of jobs, 0 to 1", "SHARE");
    options.optopt("", "wide", "the share of wide searches, 0 to 1", "SHARE");
    options.optopt("", "vms", "VMs in each of two data centres", "N");
    options.optopt("", "servers", "backend servers", "N");
    options.optopt("", "shards", "shards", "N");
    options.optopt("", "seed", "the seed", "N");
    options.optflag("h", "help", "print this help");
    options
}

fn load_settings(matches: &Matches) -> Result<LoadSettings, Box<dyn std::error::Error>> {
    let default = LoadSettings::default();
    let seconds = matches.opt_get_default("seconds", default.duration.as_secs())?;
    Ok(LoadSettings {
        callers: matches.opt_get_default("callers", default.callers)?,
        rate: matches.opt_get_default("rate", default.rate)?,
        duration: Duration::from_secs(seconds),
        job_share: matches.opt_get_default("jobs", default.job_share)?,
        wide_share: matches.opt_get_default("wide", default.wide_share)?,
        shards: matches.opt_get_default("shards", default.shards)?,
        seed: matches.opt_get_default("seed", default.seed)?,
    })
}

/// Sends the load; returns whether all invariants held.
async fn run(matches: &Matches) -> Result<bool, Box<dyn std::error::Error>> {
    let load = load_settings(matches)?;
    let vms = matches.opt_get_default("vms", 2)?;
    demo::build_programs()?;
    let fleet = Fleet::start(FleetSettings {
        vms: vec![vms, vms],
        servers: matches.opt_get_default("servers", 8)?,
        shards: load.shards,
        seed: load.seed,
        ..FleetSettings::default()
    })
    .await?;
    let make_caller = |number| {
        let recorder = Arc::clone(&fleet.recorder);
        Caller::new(&format!("caller-{number}"), fleet.vm_addresses(), recorder)
    };
    let latencies = generate(&load, &CancellationToken::new(), make_caller).await?;
    let report = Report::new(&fleet.history()?, &latencies);
    println!("{report}");
    Ok(report.violations.is_empty())
}

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let args: Vec<String> = std::env::args().skip(1).collect();
    let matches = match options().parse(&args) {
        Ok(matches) if !matches.opt_present("help") => matches,
        _ => {
            println!(
                "{}",
                options().usage("load: sends load to a fleet of its own")
            );
            return ExitCode::FAILURE;
        }
    };
    match run(&matches).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}
