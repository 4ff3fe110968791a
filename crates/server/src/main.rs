//! The cassialift server program.

use std::{process::ExitCode, sync::Arc};

use cassialift::{cli, logging, process::PlatformAdapter, settings::Settings};
use cassialift_platform::{LedgerworksDialect, StoreClient};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    logging::start();
    let args: Vec<String> = std::env::args().skip(1).collect();
    let result = cli::run(&args, adapter);
    logging::flush();
    match result {
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

/// Returns the adapter to a platform with a store, if the settings name a store.
fn adapter(settings: &Settings) -> Option<PlatformAdapter> {
    let store = settings.store?;
    Some(PlatformAdapter {
        source: Arc::new(StoreClient::new(store)),
        dialect: Arc::new(LedgerworksDialect::default()),
    })
}
