//! The cassialift server program.

use std::process::ExitCode;

use cassialift::cli;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let filter = env_logger::Env::default().default_filter_or("info,tarpc=warn");
    env_logger::Builder::from_env(filter).init();
    let args: Vec<String> = std::env::args().skip(1).collect();
    match cli::run(&args) {
        Ok(cli::Output::Text(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Ok(cli::Output::Stopped) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            eprintln!("hint: {}", error.hint());
            ExitCode::from(error.exit_code())
        }
    }
}
