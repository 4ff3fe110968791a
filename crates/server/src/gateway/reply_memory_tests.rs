//! Tests of the memory for replies of backend servers.

use std::sync::Arc;

use bytes::Bytes;
use yare::parameterized;

use super::reply_memory::{ReplyBuffer, ReplyMemory, ReplyShare, ReplyTooLarge};
use crate::http::ConnectionCloser;

/// The memory of a machine of which large replies may take 16 MiB, in bytes.
const MACHINE: usize = 80 << 20;

const MIB: usize = 1 << 20;

#[test]
fn test_reply_memory_bounds_all_large_replies_together() {
    let memory = ReplyMemory::new(MACHINE);
    let mut shares: Vec<ReplyShare> = (0..3).map(|_| ReplyShare::default()).collect();
    for size in [100_000, MIB, 5 * MIB] {
        for share in &mut shares {
            assert_eq!(memory.extend(share, size), Ok(()));
        }
    }
    let refused = memory.extend(&mut shares[0], 7 * MIB);
    assert_eq!(refused, Err(ReplyTooLarge::Together));
    // A small reply needs no share.
    assert_eq!(memory.extend(&mut ReplyShare::default(), 60_000), Ok(()));
    shares.pop();
    assert_eq!(memory.extend(&mut shares[0], 7 * MIB), Ok(()));
}

#[test]
fn test_reply_memory_refuses_a_reply_that_is_too_large_alone() {
    let memory = ReplyMemory::new(MACHINE);
    let mut share = ReplyShare::default();
    assert_eq!(memory.extend(&mut share, 8 * MIB), Ok(()));
    let refused = memory.extend(&mut share, 8 * MIB + 1);
    assert_eq!(refused, Err(ReplyTooLarge::Reply));
}

/// Answers take their memory until nobody holds any of their bytes, and are the reason why others find none.
#[test]
fn test_reply_memory_is_taken_by_unread_answers() {
    let memory = Arc::new(ReplyMemory::new(MACHINE));
    let unread = |size| {
        let body = memory.hold(Bytes::from(vec![7; size]));
        body.map(|body| memory.deliver(body, ConnectionCloser::default()))
    };
    let mut answers: Vec<Bytes> = (0..3).map(|_| unread(5 * MIB).unwrap()).collect();
    assert!(unread(2 * MIB).is_none());
    let refused = memory.extend(&mut ReplyShare::default(), 2 * MIB);
    assert_eq!(refused, Err(ReplyTooLarge::Unread));
    let last = answers.pop().unwrap().split_off(5 * MIB - 1);
    assert!(unread(2 * MIB).is_none(), "a byte is left");
    drop(last);
    assert_eq!(unread(2 * MIB).unwrap().len(), 2 * MIB);
}

/// A body is joined as it was received, whatever the sizes of its parts.
#[parameterized(
    empty = { 0, 1 },
    small = { 10, 3 },
    one_block = { 64 << 10, 4_096 },
    one_byte_more = { (64 << 10) + 1, 1_000 },
    several_blocks = { 300_000, 999 },
    part_of_several_blocks = { 300_000, 300_000 },
)]
fn test_reply_buffer_joins_the_body(size: usize, part: usize) {
    let body: Vec<u8> = (0..=250).cycle().take(size).collect();
    let mut buffer = ReplyBuffer::default();
    for (index, data) in body.chunks(part).enumerate() {
        assert_eq!(buffer.len(), index * part);
        buffer.extend(data);
    }
    assert_eq!(buffer.len(), size);
    assert_eq!(buffer.join(), body);
}
