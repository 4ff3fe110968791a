//! Tests of the memory for callers' bodies.

use std::{sync::Arc, time::Duration};

use super::body_memory::{BodyMemory, BodyShare, OutOfMemory};
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
