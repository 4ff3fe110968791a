//! Tests of the memory for replies of backend servers.

use super::reply_memory::{ReplyMemory, ReplyShare, ReplyTooLarge};

/// The memory of a machine, in bytes.
const MACHINE: usize = 512 << 20;

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
