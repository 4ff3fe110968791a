//! What the operating system says of one process.

use std::{fs, io, time::Duration};

/// The processor time and the memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    pub(super) processor: Duration,
    pub(super) memory: u64,
}

/// Reads what a process has used so far.
pub(super) fn usage(pid: u32) -> io::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name, in parentheses, may hold spaces; user and system time follow at 12 and 13.
    let fields = stat.rsplit_once(") ").map(|(_, fields)| fields);
    let fields: Vec<&str> = fields.unwrap_or_default().split(' ').collect();
    let ticks = parse_field(fields.get(11))? + parse_field(fields.get(12))?;
    // SAFETY: `sysconf` reads no memory of the caller.
    let ticks_per_second = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
    let ticks_per_second = u64::try_from(ticks_per_second).map_err(io::Error::other)?;
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = resident.and_then(|text| text.split_whitespace().next());
    Ok(Usage {
        processor: Duration::from_millis(ticks * 1_000 / ticks_per_second),
        memory: parse_field(kibibytes.as_ref())? * 1_024,
    })
}

fn parse_field(field: Option<&&str>) -> io::Result<u64> {
    let field = field.ok_or(io::ErrorKind::InvalidData)?;
    field.parse().map_err(io::Error::other)
}
