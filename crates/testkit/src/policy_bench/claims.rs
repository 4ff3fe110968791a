//! What lying health endpoints claim.

use cassialift_core::policy::replica::ReportedHealth;

use super::fault::ClaimMode;

/// Returns what a backend server claims that is well or not; none when it claims nothing.
pub(super) const fn claim(mode: ClaimMode, well: bool) -> Option<ReportedHealth> {
    match mode {
        ClaimMode::None => None,
        ClaimMode::True => Some(claim_of(well)),
        ClaimMode::Swapped => Some(claim_of(!well)),
        // All were well at the beginning of a run.
        ClaimMode::Ready | ClaimMode::Frozen => Some(ReportedHealth::Ready),
        ClaimMode::Ill => Some(ReportedHealth::Unhealthy),
    }
}

const fn claim_of(well: bool) -> ReportedHealth {
    if well {
        ReportedHealth::Ready
    } else {
        ReportedHealth::Unhealthy
    }
}
