//! Measures the overhead of the request path: `overhead --rounds N --calls N --requests N`.

use std::process::ExitCode;

use cassialift_testkit::overhead::{measure_latency, measure_memory, measure_processor};
use getopts::{Matches, Options};

/// The number of shards of the latency measurement.
const SHARDS: u32 = 20;

/// The numbers of shards per search in the processor measurement.
const WIDTHS: [u32; 5] = [20, 50, 100, 150, 210];

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "rounds", "rounds of the latency measurement", "N");
    options.optopt("", "calls", "shard calls of each width", "N");
    options.optopt("", "requests", "requests in flight", "N");
    options.optflag("h", "help", "print this help");
    options
}

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let options = options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) if !matches.opt_present("help") => matches,
        Ok(_) => {
            println!("{}", options.usage("Usage: overhead [options]"));
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(2);
        }
    };
    match run(&matches).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(matches: &Matches) -> Result<(), Box<dyn std::error::Error>> {
    let rounds = matches.opt_get_default("rounds", 2_000)?;
    let calls = matches.opt_get_default("calls", 100_000)?;
    let requests = matches.opt_get_default("requests", 1_000)?;
    for vms in [1, 3] {
        let report = measure_latency(vms, SHARDS, rounds).await?;
        for (name, histogram) in [
            ("one direct call", &report.single_call),
            ("direct calls", &report.direct_calls),
            ("search", &report.search),
        ] {
            let at = |quantile| histogram.value_at_quantile(quantile);
            println!("{vms} VMs, {name}: p50 {} us, p99 {} us", at(0.5), at(0.99));
        }
        let (p50, p99) = (report.added_micros(0.5), report.added_micros(0.99));
        println!("{vms} VMs, search over direct calls: p50 {p50} us, p99 {p99} us");
    }
    for report in measure_processor(&WIDTHS, calls).await? {
        println!(
            "{} shards: {} searches, {:?} a search, {:?} a shard call",
            report.shards,
            report.searches,
            report.per_search(),
            report.per_call()
        );
    }
    let memory = measure_memory(requests).await?;
    println!(
        "memory: {} KiB idle, {} KiB with {} requests in flight",
        memory.idle_bytes / 1_024,
        memory.loaded_bytes / 1_024,
        memory.requests
    );
    Ok(())
}
