//! The memory of this process.

use std::{fs, io};

/// The bytes of a page, as `/proc/self/statm` counts.
const PAGE_BYTES: u64 = 4_096;

/// Returns the bytes of memory that are resident.
///
/// # Errors
/// Returns why `/proc/self/statm` cannot be read.
pub(super) fn resident_bytes() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages
        .unwrap_or_default()
        .parse()
        .map_err(io::Error::other)?;
    Ok(pages * PAGE_BYTES)
}
