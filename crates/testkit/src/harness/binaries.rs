//! Locates the built programs that the harness runs.

use std::{
    env, io,
    path::{Path, PathBuf},
};

use super::HarnessError;

/// The paths of the programs of one build profile.
#[derive(Clone, Debug)]
pub(super) struct Binaries {
    pub(super) cassialift: PathBuf,
    pub(super) standin: PathBuf,
}

impl Binaries {
    /// Locates the programs in the build profile of the running test or example.
    pub(super) fn find() -> Result<Self, HarnessError> {
        let current = env::current_exe()?;
        let folder = current.parent();
        let is_subfolder = |name: &str| name == "deps" || name == "examples";
        let folder_name = folder
            .and_then(Path::file_name)
            .and_then(|name| name.to_str());
        let profile = match folder_name {
            Some(name) if is_subfolder(name) => folder.and_then(Path::parent),
            _ => folder,
        };
        let Some(profile) = profile else {
            return Err(io::Error::from(io::ErrorKind::NotFound).into());
        };
        Ok(Self {
            cassialift: require_file(profile.join("cassialift"))?,
            standin: require_file(profile.join("examples").join("standin"))?,
        })
    }
}

/// Returns the path if a file exists there.
fn require_file(path: PathBuf) -> Result<PathBuf, HarnessError> {
    if path.exists() {
        Ok(path)
    } else {
        Err(HarnessError::NoBinary(path))
    }
}

/// Returns the path of the `cassialift` program in the build profile of the running test.
///
/// # Errors
/// Returns an error if the program has not been built.
pub fn cassialift_path() -> Result<PathBuf, HarnessError> {
    Ok(Binaries::find()?.cassialift)
}
