//! Merging of the fixed-size records that shards return.

#[cfg(test)]
mod tests;

/// The size of one record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top` greatest records of all parts in descending order, compared byte by byte.
///
/// Equal records are all kept. Bytes of a part after its last complete record are ignored.
#[must_use]
pub fn merge<'a>(parts: impl Iterator<Item = &'a [u8]>, top: usize) -> Vec<u8> {
    let mut records: Vec<&[u8; RECORD_BYTES]> = parts
        .flat_map(|part| part.as_chunks::<RECORD_BYTES>().0)
        .collect();
    if top == 0 {
        return Vec::new();
    }
    if records.len() > top {
        records.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
        records.truncate(top);
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.into_iter().flatten().copied().collect()
}
