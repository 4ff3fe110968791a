//! Reads the processor time of processes from `/proc`.

use std::{fs, io, time::Duration};

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: u64 = 100;

/// Index of the user time among the fields after the program name. System time follows.
const USER_TIME_FIELD: usize = 11;

/// Returns the user and system time that a process has used.
pub(super) fn processor_time(pid: u32) -> io::Result<Duration> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let Some((_, fields)) = text.rsplit_once(") ") else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let ticks: u64 = fields
        .split(' ')
        .skip(USER_TIME_FIELD)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Ok(Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND))
}
