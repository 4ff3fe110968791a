//! The operators' command-line program of the cassialift query tier.

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    env_logger::init();
    let args: Vec<String> = std::env::args().skip(1).collect();
    match cassialiftctl::run(&args) {
        Ok(report) => {
            println!("{}", report.text);
            ExitCode::from(report.exit_code)
        }
        Err(error) => {
            eprintln!("error: {error}");
            eprintln!("hint: {}", error.hint());
            ExitCode::from(error.exit_code())
        }
    }
}
