//! Access to the project's own source files, for tests that check them.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

/// Returns the root folder of the project.
#[must_use]
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the text of each Rust source file in a folder of the project, with its path relative to
/// the root.
///
/// # Errors
///
/// Returns an error if a folder or a file cannot be read.
pub fn sources(folder: &str) -> io::Result<Vec<(PathBuf, String)>> {
    let root = root();
    let mut folders = vec![root.join(folder)];
    let mut sources = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|kind| kind == "rs") {
                let text = fs::read_to_string(&path)?;
                let relative = path.strip_prefix(&root).unwrap_or(&path);
                sources.push((relative.to_path_buf(), text));
            }
        }
    }
    Ok(sources)
}
