//! Measures the cost of control in idle fleets: `cost --sizes 4,8,16,32 --seconds 20`, or how long
//! backend servers are unavailable after their owner is frozen or killed:
//! `cost --silence --sizes 4,8`.
//!
//! With `--centre 8`, every data centre has eight processes, so that a process has the same number
//! of peers to exchange messages with at each size.
//!
//! The programs must have been built in the same profile.

use std::{process::ExitCode, time::Duration};

use cassialift_testkit::cost::{self, ControlCost, CostSettings};
use getopts::Options;

/// The default number of data centres.
const CENTRES: usize = 4;
/// The number of processes to which the figures are projected.
const FULL_SIZE: f64 = 1_100.0;

/// Measures the cost of control for each fleet size and prints a linear fit.
async fn run(args: &[String]) -> Result<(), Box<dyn std::error::Error>> {
    let mut options = Options::new();
    options.optopt(
        "",
        "sizes",
        "the processes of each fleet, multiples of 4",
        "N,N",
    );
    options.optopt("", "seconds", "how long each fleet is measured", "N");
    options.optopt(
        "",
        "centre",
        "the processes of each data centre; else four data centres",
        "N",
    );
    options.optflag("", "silence", "measure frozen and killed owners instead");
    let matches = options.parse(args)?;
    let sizes = matches.opt_get_default("sizes", "4,8,16,32".to_owned())?;
    if matches.opt_present("silence") {
        return run_outages(&sizes).await;
    }
    let seconds = matches.opt_get_default("seconds", 20)?;
    let centre: Option<usize> = matches.opt_get("centre")?;
    println!("| processes | bytes/s | core % | memory MiB | takeover s | replaced MiB |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut costs = Vec::new();
    for size in sizes.split(',') {
        let size = size.parse()?;
        let settings = CostSettings {
            size,
            centres: centre.map_or(CENTRES, |per_centre| size / per_centre),
            window: Duration::from_secs(seconds),
            ..CostSettings::default()
        };
        let cost = cost::run(settings).await?;
        println!("{cost}");
        costs.push(cost);
    }
    for (name, value) in [
        (
            "bytes/s",
            (|cost| cost.byte_rate) as fn(&ControlCost) -> f64,
        ),
        ("core %", |cost| cost.core_share * 100.0),
        ("memory MiB", |cost| cost.memory_bytes / 1_048_576.0),
        ("replaced MiB", |cost| cost.restarted_memory / 1_048_576.0),
    ] {
        let (slope, base) = cost::linear_fit(&costs, value);
        let projected = base + slope * FULL_SIZE;
        println!(
            "{name}: {slope:.4} for each process, {base:.2} at none, {projected:.2} at {FULL_SIZE}"
        );
    }
    Ok(())
}

/// Measures the outages after a frozen and a killed owner for each fleet size.
async fn run_outages(sizes: &str) -> Result<(), Box<dyn std::error::Error>> {
    println!("| processes | frozen s | killed s |");
    println!("| --- | --- | --- |");
    for size in sizes.split(',') {
        let settings = CostSettings {
            size: size.parse()?,
            centres: CENTRES,
            ..CostSettings::default()
        };
        println!("{}", cost::measure_outage(settings).await?);
    }
    Ok(())
}

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run(&args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cost: {error}");
            ExitCode::FAILURE
        }
    }
}
