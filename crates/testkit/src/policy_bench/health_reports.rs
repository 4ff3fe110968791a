//! What lying health endpoints claim.

use cassialift_core::policy::replica::ReportedHealth;

use super::fault::HealthReporting;

/// Returns what a backend server claims that is healthy or not; none when it claims nothing.
pub(super) const fn reported_health(
    mode: HealthReporting,
    healthy: bool,
) -> Option<ReportedHealth> {
    match mode {
        HealthReporting::None => None,
        HealthReporting::Accurate => Some(health(healthy)),
        HealthReporting::Inverted => Some(health(!healthy)),
        // All were healthy at the beginning of a run.
        HealthReporting::AlwaysReady | HealthReporting::Stale => Some(ReportedHealth::Ready),
        HealthReporting::AlwaysUnhealthy => Some(ReportedHealth::Unhealthy),
    }
}

const fn health(healthy: bool) -> ReportedHealth {
    if healthy {
        ReportedHealth::Ready
    } else {
        ReportedHealth::Unhealthy
    }
}
