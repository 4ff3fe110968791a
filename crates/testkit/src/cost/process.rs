//! Reads the resource usage of a process from the operating system.

use std::{fs, io, time::Duration};

use crate::harness::resident_bytes;

/// The processor time and the resident memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    pub(super) processor_time: Duration,
    /// The resident memory in bytes.
    pub(super) memory_bytes: u64,
}

/// Returns the resource usage of a process so far.
pub(super) fn usage(pid: u32) -> io::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The program name is in parentheses and may contain spaces. User and system time are the
    // fields 12 and 13 after it.
    let fields = stat.rsplit_once(") ").map(|(_, fields)| fields);
    let fields: Vec<&str> = fields.unwrap_or_default().split(' ').collect();
    let ticks = parse_field(fields.get(11))? + parse_field(fields.get(12))?;
    // SAFETY: `sysconf` accesses no memory of the caller.
    let ticks_per_second = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
    let ticks_per_second = u64::try_from(ticks_per_second).map_err(io::Error::other)?;
    Ok(Usage {
        processor_time: Duration::from_millis(ticks * 1_000 / ticks_per_second),
        memory_bytes: resident_bytes(pid)?,
    })
}

fn parse_field(field: Option<&&str>) -> io::Result<u64> {
    let field = field.ok_or(io::ErrorKind::InvalidData)?;
    field.parse().map_err(io::Error::other)
}
