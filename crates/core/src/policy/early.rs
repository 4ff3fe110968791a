//! Whether an answer waits for its last shards.

use std::time::{Duration, Instant};

use crate::presets::AnswerPolicy;

/// What is known of a request when it is asked whether to answer now.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The shards that are included.
    pub included: u32,
    /// The shards asked for.
    pub total: u32,
    /// When the request was admitted.
    pub started: Instant,
    /// When it must be answered.
    pub deadline: Instant,
    /// When the youngest attempt of a missing shard is later than most calls are.
    ///
    /// Until then its reply is likely enough to be worth the wait.
    pub likely: Option<Instant>,
}

impl Progress {
    /// Returns whether at least this share of the shards is included.
    fn covers(&self, share: f64) -> bool {
        f64::from(self.included) >= f64::from(self.total) * share
    }
}

/// Returns when a request may be answered without the missing shards.
///
/// With [`AnswerPolicy::Wait`] that is the deadline. With [`AnswerPolicy::Early`] it is the time
/// from which the preset allows it, put off while every missing shard is still likely to reply.
/// With [`AnswerPolicy::Within`] it is the time given, or later once the share is reached.
#[must_use]
pub fn answer_time(policy: AnswerPolicy, progress: &Progress) -> Instant {
    let (share, after) = match policy {
        AnswerPolicy::Early { share, after } => (share, after),
        AnswerPolicy::Within { share, time } if progress.covers(share) => {
            return (progress.started + time.0).min(progress.deadline);
        }
        AnswerPolicy::Wait | AnswerPolicy::Within { .. } => return progress.deadline,
    };
    if !progress.covers(share) {
        return progress.deadline;
    }
    let whole = progress
        .deadline
        .saturating_duration_since(progress.started);
    let allowed = progress.started + whole.mul_f64(after.clamp(0.0, 1.0));
    let Some(likely) = progress.likely else {
        return allowed;
    };
    likely.max(allowed).min(latest(progress, whole, allowed))
}

/// The latest time to which an early answer is put off: half of the time left when it was allowed.
fn latest(progress: &Progress, whole: Duration, allowed: Instant) -> Instant {
    let left = progress.deadline.saturating_duration_since(allowed);
    (allowed + left / 2).min(progress.started + whole)
}
