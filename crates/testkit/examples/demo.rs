//! Runs the demonstration of the README and prints a report; fails if an invariant was violated.

use std::process::ExitCode;

use cassialift_testkit::demo;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    if let Err(error) = demo::build_programs() {
        eprintln!("demo: {error}");
        return ExitCode::FAILURE;
    }
    match demo::run(|step| println!("{step}")).await {
        Ok(report) => {
            println!("\n{report}");
            if report.violations.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}
