//! Finds the programs to run.

use std::{
    env, io,
    path::{Path, PathBuf},
};

use super::HarnessError;

/// The programs of one build profile.
#[derive(Clone, Debug)]
pub(super) struct Binaries {
    pub(super) cassialift: PathBuf,
    pub(super) standin: PathBuf,
}

impl Binaries {
    /// Finds the programs beside the running test or example.
    pub(super) fn find() -> Result<Self, HarnessError> {
        let own = env::current_exe()?;
        let folder = own.parent();
        let is_sub = |name: &str| name == "deps" || name == "examples";
        let name = folder
            .and_then(Path::file_name)
            .and_then(|name| name.to_str());
        let profile = match name {
            Some(name) if is_sub(name) => folder.and_then(Path::parent),
            _ => folder,
        };
        let Some(profile) = profile else {
            return Err(io::Error::from(io::ErrorKind::NotFound).into());
        };
        Ok(Self {
            cassialift: existing(profile.join("cassialift"))?,
            standin: existing(profile.join("examples").join("standin"))?,
        })
    }
}

fn existing(path: PathBuf) -> Result<PathBuf, HarnessError> {
    if path.exists() {
        Ok(path)
    } else {
        Err(HarnessError::NoBinary(path))
    }
}

/// Returns the path of the cassialift program beside the running test.
///
/// # Errors
/// Returns that it is not built.
pub fn cassialift_path() -> Result<PathBuf, HarnessError> {
    Ok(Binaries::find()?.cassialift)
}
