//! Tests of the stages of leaving, at given times.

use std::time::{Duration, Instant};

use yare::parameterized;

use super::drain::{Leave, Stage};

const LONGEST_TTL: Duration = Duration::from_secs(2);

#[parameterized(
    at_once = { 0, true, 1, Stage::Accepting },
    before_peers_are_informed = { 2_999, false, 0, Stage::Accepting },
    after_peers_are_informed = { 3_000, false, 0, Stage::Finished },
    handing_over = { 3_000, true, 0, Stage::Accepting },
    handover_that_does_not_end = { 12_000, true, 0, Stage::Finished },
    request_in_flight = { 3_000, false, 1, Stage::Finishing },
    handover_and_request_that_do_not_end = { 12_000, true, 1, Stage::Finishing },
    request_of_31_seconds = { 31_000, false, 1, Stage::Finishing },
    request_of_an_hour = { 3_600_000, false, 1, Stage::Finishing },
)]
fn test_leave_stage(millis: u64, owns: bool, running: u32, stage: Stage) {
    let started = Instant::now();
    let leave = Leave {
        started,
        longest_ttl: LONGEST_TTL,
        announced: true,
        grace: None,
    };
    let now = started + Duration::from_millis(millis);
    assert_eq!(leave.stage(now, owns, running), stage);
}

#[parameterized(
    before_peers_detect_it = { 5_999, Stage::Accepting },
    after_peers_detected_it = { 6_000, Stage::Finished },
)]
fn test_leave_stage_without_announcement(millis: u64, stage: Stage) {
    let started = Instant::now();
    let leave = Leave {
        started,
        longest_ttl: LONGEST_TTL,
        announced: false,
        grace: None,
    };
    let now = started + Duration::from_millis(millis);
    assert_eq!(leave.stage(now, false, 0), stage);
}

#[parameterized(
    before_peers_are_informed = { 2_999, 0, Stage::Accepting },
    unannounced_at_end_of_accepting = { 4_200, 0, Stage::Finished },
    request_in_flight = { 4_200, 1, Stage::Finishing },
)]
fn test_leave_stage_within_grace(millis: u64, running: u32, stage: Stage) {
    let started = Instant::now();
    let leave = Leave {
        started,
        longest_ttl: LONGEST_TTL,
        announced: false,
        grace: Some(Duration::from_secs(6)),
    };
    let now = started + Duration::from_millis(millis);
    assert_eq!(leave.stage(now, true, running), stage);
}
