//! Answers of the health endpoints of fake backend servers.

use cassialift_core::policy::replica::ReportedHealth;

use super::fault::HealthReporting;

/// Returns the health that a backend server reports in this mode, given its real health, or
/// `None` if it reports nothing.
pub(super) const fn reported_health(
    mode: HealthReporting,
    healthy: bool,
) -> Option<ReportedHealth> {
    match mode {
        HealthReporting::None => None,
        HealthReporting::Accurate => Some(health_of(healthy)),
        HealthReporting::Inverted => Some(health_of(!healthy)),
        // Every backend server is healthy at the start of a run.
        HealthReporting::AlwaysReady | HealthReporting::Stale => Some(ReportedHealth::Ready),
        HealthReporting::AlwaysUnhealthy => Some(ReportedHealth::Unhealthy),
    }
}

const fn health_of(healthy: bool) -> ReportedHealth {
    if healthy {
        ReportedHealth::Ready
    } else {
        ReportedHealth::Unhealthy
    }
}
