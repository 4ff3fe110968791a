//! Records of fixed size that shards return and answers merge.

#[cfg(test)]
mod tests;

/// The bytes of one record.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `top` records of all parts, greatest first, compared byte by byte.
///
/// Equal records all count. Bytes of a part after its last whole record are no record.
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
