//! Tests of whether a VM takes itself to reach the backend servers.

use std::time::{Duration, Instant};

use yare::parameterized;

use super::{Reach, ReachTable};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn test_reach_is_lost_with_a_failed_check_only() {
    let now = Instant::now();
    let mut table = ReachTable::default();
    assert!(table.is_suspect(now));
    assert_eq!(table.reach(), Reach::Attached);
    assert!(table.on_check_failed(now));
    assert!(!table.on_check_failed(now + SECOND), "nothing new");
    assert_eq!(table.reach(), Reach::Detached);
}

#[test]
fn test_reach_is_kept_by_a_connection_opened_during_a_check() {
    let now = Instant::now();
    let mut table = ReachTable::default();
    table.on_opened(now + SECOND);
    assert!(!table.on_check_failed(now));
    assert_eq!(table.reach(), Reach::Attached);
}

#[test]
fn test_reach_returns_with_the_first_connection() {
    let now = Instant::now();
    let mut table = ReachTable::default();
    table.on_check_failed(now);
    table.on_reply(now + SECOND);
    assert_eq!(
        table.reach(),
        Reach::Detached,
        "an open connection lives on"
    );
    assert!(table.on_opened(now + SECOND));
    assert_eq!(table.reach(), Reach::Attached);
}

#[parameterized(
    nothing_known = { None, None, true, true },
    opened_just_now = { Some(100), None, false, false },
    opened_long_ago = { Some(900), None, true, true },
    replies = { Some(900), Some(100), true, false },
    no_more_replies = { Some(900), Some(200), true, true },
)]
fn test_reach_suspicion(
    opened: Option<u64>,
    replied: Option<u64>,
    is_suspect: bool,
    is_silent: bool,
) {
    let start = Instant::now();
    let now = start + SECOND;
    let before = |millis: u64| start + SECOND.saturating_sub(Duration::from_millis(millis));
    let mut table = ReachTable::default();
    if let Some(millis) = opened {
        table.on_opened(before(millis));
    }
    if let Some(millis) = replied {
        table.on_reply(before(millis));
    }
    assert_eq!(table.is_suspect(now), is_suspect);
    assert_eq!(table.is_silent(now), is_silent);
}

#[parameterized(
    nothing = { None, None, None },
    opened = { Some(700), None, Some(true) },
    opened_before = { Some(400), None, None },
    failed = { Some(400), Some(700), Some(false) },
    failed_before = { None, Some(400), None },
    returned = { Some(900), Some(700), Some(true) },
)]
fn test_reach_since(opened: Option<u64>, failed: Option<u64>, expected: Option<bool>) {
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let mut table = ReachTable::default();
    if let Some(millis) = failed {
        table.on_check_failed(at(millis));
    }
    if let Some(millis) = opened {
        table.on_opened(at(millis));
    }
    assert_eq!(table.reached_since(at(500)), expected);
}
