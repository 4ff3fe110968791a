//! Builds the programs that examples run as processes.

use std::{env, io, process::Command};

use displaydoc::Display;

/// An error that prevents the programs from being built.
#[derive(Debug, Display)]
pub enum BuildError {
    /// cargo cannot be run: {0}
    Io(io::Error),
    /// cargo could not build the programs
    Failed,
}

impl std::error::Error for BuildError {}

/// Builds the server and the stand-ins in the build profile of the running example.
///
/// # Errors
/// Returns an error if cargo cannot be run or the build fails.
pub fn build_programs() -> Result<(), BuildError> {
    let mut cargo = Command::new(env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    cargo.current_dir(env!("CARGO_MANIFEST_DIR"));
    cargo.args(["build", "--workspace", "--bins", "--examples", "--locked"]);
    if !cfg!(debug_assertions) {
        cargo.arg("--release");
    }
    let status = cargo.status().map_err(BuildError::Io)?;
    if status.success() {
        Ok(())
    } else {
        Err(BuildError::Failed)
    }
}
