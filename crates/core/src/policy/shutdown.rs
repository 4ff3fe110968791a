//! Refusal of requests that a leaving process would cut off.
//!
//! A process that is stopped goes on taking requests, since callers keep its address for a while, and is
//! killed at a fixed time. Under slow backend servers, requests that come late in that period would
//! still be running at its end. Another process can serve them from the start.

use std::time::Duration;

use super::replica::WaitEstimate;
use crate::request::RequestKind;

/// How many times its estimate a request that may run once is given: its caller cannot repeat it and would
/// not learn how it ended.
const JOB_FACTOR: u32 = 2;

/// Returns whether a request is expected to end before its process does, which is in `remaining`.
#[must_use]
pub fn ends_in_time(kind: RequestKind, estimate: WaitEstimate, remaining: Duration) -> bool {
    let expected = estimate.total();
    let needed = match kind {
        RequestKind::Job => expected.saturating_mul(JOB_FACTOR),
        RequestKind::Fetch | RequestKind::WideSearch | RequestKind::NarrowSearch => expected,
    };
    needed <= remaining
}
