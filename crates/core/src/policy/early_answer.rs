//! The time at which a request may be answered without its missing shards.

use std::time::{Duration, Instant};

use crate::presets::AnswerPolicy;

/// The progress of a request.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The number of shards that are included.
    pub included: u32,
    /// The number of shards that were requested.
    pub total: u32,
    /// The time at which the request was admitted.
    pub started_at: Instant,
    /// The deadline of the request.
    pub deadline: Instant,
    /// The time at which the last of the pending calls for missing shards becomes overdue; `None`
    /// if none becomes overdue before the deadline.
    ///
    /// Until then a reply is likely enough to wait for.
    pub overdue_at: Option<Instant>,
}

impl Progress {
    /// Returns whether at least this share of the shards is included.
    fn covers(&self, share: f64) -> bool {
        f64::from(self.included) >= f64::from(self.total) * share
    }
}

/// Returns when a request may be answered without the missing shards.
///
/// With [`AnswerPolicy::Wait`], and as long as the share of the policy is not reached, this is the
/// deadline. With [`AnswerPolicy::Early`] it is the time at which the preset allows an answer,
/// postponed while the reply of a missing shard is still likely, but at most by half of the time
/// that then remains. With [`AnswerPolicy::Within`] it is the end of the given time, which may have
/// passed when the share is reached.
#[must_use]
pub fn answer_time(policy: AnswerPolicy, progress: &Progress) -> Instant {
    let (share, after) = match policy {
        AnswerPolicy::Early { share, after } => (share, after),
        AnswerPolicy::Within { share, time } if progress.covers(share) => {
            return (progress.started_at + time.0).min(progress.deadline);
        }
        AnswerPolicy::Wait | AnswerPolicy::Within { .. } => return progress.deadline,
    };
    if !progress.covers(share) {
        return progress.deadline;
    }
    let total_time = progress
        .deadline
        .saturating_duration_since(progress.started_at);
    let allowed = progress.started_at + total_time.mul_f64(after.clamp(0.0, 1.0));
    let Some(overdue_at) = progress.overdue_at else {
        return allowed;
    };
    overdue_at
        .max(allowed)
        .min(latest_answer(progress, total_time, allowed))
}

/// Returns the time up to which an early answer may be postponed: half of the time between
/// `allowed` and the deadline.
fn latest_answer(progress: &Progress, total_time: Duration, allowed: Instant) -> Instant {
    let remaining = progress.deadline.saturating_duration_since(allowed);
    (allowed + remaining / 2).min(progress.started_at + total_time)
}
