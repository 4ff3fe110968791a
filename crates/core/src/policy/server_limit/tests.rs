//! Tests of limits on the calls to a backend server.

use std::time::Duration;

use yare::parameterized;

use super::CallRate;

#[parameterized(
    whole = { 3.0, Some(3.0) },
    fraction = { 1.7, Some(1.7) },
    none_becomes_few = { 0.0, Some(0.1) },
    huge = { 1e300, Some(1e6) },
    infinite = { f64::INFINITY, Some(1e6) },
    negative = { -1.0, None },
    not_a_number = { f64::NAN, None },
)]
fn test_call_rate_range(stated: f64, expected: Option<f64>) {
    let rate = CallRate::per_second(stated);
    let calls = rate.map(|rate| rate.calls_in(Duration::from_secs(1)));
    assert_eq!(calls, expected);
}
