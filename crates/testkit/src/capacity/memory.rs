//! Reads the memory usage of this process.

use std::{fs, io};

/// Size in bytes of a page, the unit of `/proc/self/statm`.
const PAGE_BYTES: u64 = 4_096;

/// Returns the resident memory of this process in bytes.
///
/// # Errors
/// Returns an error if `/proc/self/statm` cannot be read or parsed.
pub(super) fn resident_bytes() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages
        .unwrap_or_default()
        .parse()
        .map_err(io::Error::other)?;
    Ok(pages * PAGE_BYTES)
}
