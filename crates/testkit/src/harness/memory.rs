//! The memory of processes, from `/proc`.

use std::{fs, io};

/// Returns the resident memory of a process in bytes.
///
/// # Errors
/// Returns an error if no such process runs.
pub fn resident_bytes(pid: u32) -> io::Result<u64> {
    status_bytes(pid, "VmRSS:")
}

/// Returns the peak of the resident memory of a process in bytes.
///
/// # Errors
/// Returns an error if no such process runs.
pub fn peak_resident_bytes(pid: u32) -> io::Result<u64> {
    status_bytes(pid, "VmHWM:")
}

/// Returns a field of `/proc/PID/status` whose value is in units of 1,024 bytes.
fn status_bytes(pid: u32, field: &str) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kibibytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let Some(kibibytes) = kibibytes.and_then(|number| number.parse::<u64>().ok()) else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    Ok(kibibytes * 1_024)
}
