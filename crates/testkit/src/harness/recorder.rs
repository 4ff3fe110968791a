//! Records the calls of callers and the disturbances caused by the harness.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::{
    history::{CallRecord, Disturbance, DisturbanceTarget, Expectations},
    standin::backend::unix_micros,
};

/// The records of one test, shared by its callers and the harness.
#[derive(Debug, Default)]
pub struct Recorder {
    records: Mutex<Records>,
}

/// The records of one test.
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

    /// Records that a disturbance of a target begins now.
    pub fn begin_disturbance(&self, target: DisturbanceTarget) {
        self.lock().disturbances.push(Disturbance {
            target,
            from: unix_micros(),
            until: None,
        });
    }

    /// Records that the latest ongoing disturbance of a target, if any, ends now.
    pub fn end_disturbance(&self, target: &DisturbanceTarget) {
        let mut records = self.lock();
        let mut latest_first = records.disturbances.iter_mut().rev();
        if let Some(disturbance) = latest_first
            .find(|disturbance| disturbance.target == *target && disturbance.until.is_none())
        {
            disturbance.until = Some(unix_micros());
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
