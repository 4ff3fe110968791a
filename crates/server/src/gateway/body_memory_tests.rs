//! Tests of the memory for callers' bodies.

use std::{sync::Arc, time::Duration};

use tokio::runtime::Builder;
use yare::parameterized;

use super::{
    body_buffer::{BLOCK_BYTES, BodyBuffer},
    body_memory::{BodyMemory, BodyShare, OutOfMemory},
};
use crate::timer::Timer;

const KIB: usize = 1 << 10;
/// The memory of a machine whose bodies may take a megabyte, a quarter of it small ones only.
const MACHINE: usize = 5 << 20;
const LARGE: usize = 256 * KIB;

async fn hold(memory: &Arc<BodyMemory>, bytes: usize) -> Result<BodyShare, OutOfMemory> {
    let share = memory.begin();
    share.extend(bytes).await?;
    Ok(share)
}

#[tokio::test]
async fn test_bodies_large_ones_leave_a_reserve() {
    let memory = Arc::new(BodyMemory::new(MACHINE));
    let mut held = Vec::new();
    for _ in 0..3 {
        held.push(hold(&memory, LARGE).await.unwrap());
    }
    hold(&memory, LARGE).await.unwrap_err();
    for _ in 0..16 {
        held.push(hold(&memory, 16 * KIB).await.unwrap());
    }
    hold(&memory, 16 * KIB).await.unwrap_err();
    held.clear();
    hold(&memory, LARGE).await.unwrap();
}

#[tokio::test]
async fn test_bodies_that_have_stopped_give_way() {
    let memory = Arc::new(BodyMemory::new(MACHINE));
    let complete = hold(&memory, LARGE).await.unwrap();
    complete.complete();
    let stopped = hold(&memory, LARGE).await.unwrap();
    let moving = hold(&memory, LARGE).await.unwrap();
    Timer.after(Duration::from_millis(300)).await;
    moving.extend(LARGE).await.unwrap();
    let giving_way = async {
        stopped.evicted().await;
        drop(stopped);
    };
    let (next, ()) = tokio::join!(hold(&memory, LARGE), giving_way);
    next.unwrap();
    drop((complete, moving));
}

#[tokio::test]
async fn test_bodies_that_give_way_get_no_more() {
    let memory = Arc::new(BodyMemory::new(MACHINE));
    let stopped = hold(&memory, KIB).await.unwrap();
    Timer.after(Duration::from_millis(300)).await;
    assert!(memory.evict_stalled());
    assert!(!memory.evict_stalled());
    stopped.try_extend(2 * KIB).unwrap_err();
    stopped.evicted().await;
}

/// The blocks of a joined body are free again, so that the body takes its size only.
#[parameterized(
    empty = { 0, None },
    small = { 300, Some(300) },
    small_chunked = { 300, None },
    one_block = { BLOCK_BYTES, Some(BLOCK_BYTES) },
    more = { 3 * BLOCK_BYTES + 5, Some(3 * BLOCK_BYTES + 5) },
    more_chunked = { 3 * BLOCK_BYTES + 5, None },
)]
fn test_body_buffer_joins_the_body(bytes: usize, stated: Option<usize>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let memory = Arc::new(BodyMemory::new(MACHINE));
        let body: Vec<u8> = (0..bytes).map(|i| i.to_le_bytes()[0]).collect();
        let share = memory.begin();
        let mut buffer = BodyBuffer::new(&share, stated);
        for piece in body.chunks(1_400) {
            buffer.extend(piece).await.unwrap();
        }
        assert_eq!(buffer.len(), bytes);
        assert_eq!(buffer.join().await.unwrap(), body);
        let rest = MACHINE / 5 * 3 / 4 - bytes.next_multiple_of(BLOCK_BYTES);
        hold(&memory, rest).await.unwrap();
    });
}
