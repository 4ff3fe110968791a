//! Tests of the learned latencies.

use std::time::Duration;

use yare::parameterized;

use super::{LatencyHistogram, MovingAverage};

#[parameterized(
    median = { 0.5, 500 },
    high = { 0.95, 950 },
    highest = { 1.0, 1_000 },
)]
fn test_histogram_quantile(quantile: f64, expected_ms: u64) {
    let mut histogram = LatencyHistogram::default();
    for millis in 1..=1_000 {
        histogram.add(Duration::from_millis(millis));
    }
    let found = histogram.quantile(quantile, 1).unwrap();
    let expected = Duration::from_millis(expected_ms);
    assert!(
        found >= expected && found <= expected.mul_f64(1.13),
        "{found:?}"
    );
}

#[test]
fn test_histogram_forgets_old_samples() {
    let mut histogram = LatencyHistogram::default();
    for _ in 0..4_000 {
        histogram.add(Duration::from_secs(1));
    }
    for _ in 0..20_000 {
        histogram.add(Duration::from_millis(1));
    }
    assert!(histogram.quantile(0.9, 1).unwrap() < Duration::from_millis(2));
}

#[test]
fn test_histogram_needs_samples() {
    let mut histogram = LatencyHistogram::default();
    assert_eq!(histogram.quantile(0.5, 0), None);
    histogram.add(Duration::ZERO);
    assert_eq!(histogram.quantile(0.5, 2), None);
    assert!(histogram.quantile(0.5, 1).is_some());
}

#[test]
fn test_average_follows_samples() {
    let mut average = MovingAverage::default();
    assert_eq!(average.get(), None);
    for _ in 0..50 {
        average.add(Duration::from_millis(10));
    }
    let settled = average.get().unwrap();
    assert!(settled.abs_diff(Duration::from_millis(10)) < Duration::from_micros(10));
    for _ in 0..50 {
        average.add(Duration::from_millis(100));
    }
    assert!(average.get().unwrap() > Duration::from_millis(95));
}
