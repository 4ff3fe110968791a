//! Tests of merging records.

use proptest::{collection::vec, prelude::*};

use super::{RECORD_BYTES, merge};

/// A reference implementation of `merge` that sorts all records.
fn naive(parts: &[Vec<u8>], top: usize) -> Vec<u8> {
    let records = parts
        .iter()
        .flat_map(|part| part.chunks_exact(RECORD_BYTES));
    let mut records: Vec<_> = records.collect();
    records.sort();
    records.reverse();
    records.truncate(top);
    records.concat()
}

#[test]
fn test_merge_keeps_equal_records_and_drops_remainders() {
    let twice = [[7; RECORD_BYTES], [7; RECORD_BYTES]].concat();
    let incomplete = vec![9; RECORD_BYTES - 1];
    let parts = [twice.as_slice(), incomplete.as_slice()];
    assert_eq!(merge(parts.into_iter(), 5), vec![7; 2 * RECORD_BYTES]);
    assert_eq!(merge(parts.into_iter(), 0), Vec::<u8>::new());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn test_merge_against_naive(parts in vec(vec(0_u8..3, 0..100), 0..6), top in 0_usize..12) {
        let merged = merge(parts.iter().map(Vec::as_slice), top);
        prop_assert_eq!(merged, naive(&parts, top));
    }

    /// Merging the results of partial merges equals merging all parts at once.
    #[test]
    fn test_merge_in_steps(parts in vec(vec(any::<u8>(), 0..100), 2..6), top in 1_usize..12) {
        let slices: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
        let (left, right) = slices.split_at(parts.len() / 2);
        let steps = [merge(left.iter().copied(), top), merge(right.iter().copied(), top)];
        let all = merge(slices.iter().copied(), top);
        prop_assert_eq!(merge(steps.iter().map(Vec::as_slice), top), all);
    }
}
