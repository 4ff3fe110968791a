//! Runs one stand-in: `standin config|vms ADDRESS` or `standin backend FILE`.

use std::process::ExitCode;

use cassialift_testkit::standin::run_command;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run_command(&args).await {
        // Without the exit, the HTTP library would wait for its connections to close.
        Ok(()) => std::process::exit(0),
        Err(error) => {
            log::error!("standin: {error}.");
            ExitCode::FAILURE
        }
    }
}
