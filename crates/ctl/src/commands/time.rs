//! Human-readable durations.

use std::time::Duration;

use cassialift_core::time::Millis;

/// A minute in seconds.
const MINUTE: u64 = 60;
/// An hour in seconds.
const HOUR: u64 = 60 * MINUTE;
/// A day in seconds.
const DAY: u64 = 24 * HOUR;

/// Returns a duration as text: in milliseconds below a second, in seconds below a minute, and in
/// its two largest units from a minute on.
pub(super) fn format_duration(duration: Millis) -> String {
    let duration = Duration::from(duration);
    let seconds = duration.as_secs();
    match seconds {
        0 => format!("{} ms", duration.as_millis()),
        1..MINUTE => format!("{:.1} s", duration.as_secs_f64()),
        MINUTE..HOUR => format!("{} min {} s", seconds / MINUTE, seconds % MINUTE),
        HOUR..DAY => format!("{} h {} min", seconds / HOUR, seconds % HOUR / MINUTE),
        _ => format!("{} d {} h", seconds / DAY, seconds % DAY / HOUR),
    }
}
