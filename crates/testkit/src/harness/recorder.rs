//! Records what callers see and what the harness disturbs.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::{
    history::{CallRecord, Disturbance, Expectations, Target},
    standin::backend::unix_micros,
};

/// Collects the records of one test.
#[derive(Debug, Default)]
pub struct Recorder {
    records: Mutex<Records>,
}

/// What was recorded.
#[derive(Debug, Default)]
pub(super) struct Records {
    pub(super) expected: Expectations,
    pub(super) calls: Vec<CallRecord>,
    pub(super) disturbances: Vec<Disturbance>,
}

impl Recorder {
    /// Records a call that has ended.
    pub fn record_call(&self, record: CallRecord) {
        self.lock().calls.push(record);
    }

    /// Records that a disturbance begins now.
    pub fn begin_disturbance(&self, target: Target) {
        self.lock().disturbances.push(Disturbance {
            target,
            from: unix_micros(),
            until: None,
        });
    }

    /// Records that the last disturbance of a target is over now.
    pub fn end_disturbance(&self, target: &Target) {
        let mut records = self.lock();
        let mut open = records.disturbances.iter_mut().rev();
        if let Some(found) = open.find(|found| found.target == *target && found.until.is_none()) {
            found.until = Some(unix_micros());
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
