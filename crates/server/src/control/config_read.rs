//! The task that reads the configuration service according to the plan.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cassialift_core::{
    config::{ReadPlan, ReadSettings},
    ids::Position,
};
use cassialift_wire::platform::ConfigSource;
use rand::Rng;

use super::{ConfigEvent, ControlHandle, Event};
use crate::{metrics::Metrics, timer::Timer};

/// The period at which a process that does not read checks whether it should.
const IDLE_PERIOD: Duration = Duration::from_millis(50);
/// The average time between the start of a failed read and an elected reader's next one.
const RETRY_PERIOD: Duration = Duration::from_millis(200);

/// Reads the configuration service until the process ends.
pub(super) async fn run(
    source: Arc<dyn ConfigSource>,
    reads: ReadSettings,
    control: ControlHandle,
    metrics: Arc<Metrics>,
) {
    let mut may_wait = true;
    // The position of the last answer, if it left out further changes.
    let mut read_up_to = Position::default();
    loop {
        let started = Timer.now();
        let plan = control.config().plan();
        let (wait, period) = match plan {
            ReadPlan::Idle => {
                // The process begins to read because others cannot, and may not reach the service
                // either.
                may_wait = false;
                read_up_to = Position::default();
                wait_until(started + IDLE_PERIOD).await;
                continue;
            }
            ReadPlan::Watch => (reads.watch_wait(), reads.period.0),
            ReadPlan::Fallback { period } | ReadPlan::ReaderLost { period } => {
                (period / 2, jittered(period))
            }
        };
        let wait = if may_wait { wait } else { Duration::ZERO };
        let after = control.config().position().max(read_up_to);
        let answered = read(&*source, &control, &metrics, after, wait).await;
        read_up_to = Position::default();
        // After a failed read, a read without a wait shows early whether the service answers again.
        may_wait = answered.is_some();
        let period = match answered {
            Some(Answered {
                position,
                more: true,
            }) if position > after => {
                may_wait = false;
                read_up_to = position;
                continue;
            }
            None if plan == ReadPlan::Watch => jittered(RETRY_PERIOD),
            Some(_) | None => period,
        };
        wait_while_reading(&control, started + period).await;
    }
}

/// Waits until a time, or until the process is not to read: when it is to again, it reads at once.
async fn wait_while_reading(control: &ControlHandle, until: Instant) {
    while Timer.now() < until && control.config().plan() != ReadPlan::Idle {
        wait_until(until.min(Timer.now() + IDLE_PERIOD)).await;
    }
}

/// The end of a read that the service answered.
#[derive(Clone, Copy, Debug)]
struct Answered {
    position: Position,
    /// Whether there may be further changes after the position.
    more: bool,
}

/// Reads once, passes the result to the control thread and returns what the answer was; `None` if there
/// was none.
async fn read(
    source: &dyn ConfigSource,
    control: &ControlHandle,
    metrics: &Metrics,
    after: Position,
    wait: Duration,
) -> Option<Answered> {
    let sent_at = Timer.now();
    metrics.count("platform.config_reads");
    let answer = match source.changes(after, wait).await {
        Ok(changes) => Some(changes),
        Err(error) => {
            metrics.count("platform.config_failed");
            let took = Timer.now().saturating_duration_since(sent_at);
            log::warn!(
                "platform: A read of the changes after {after}, with a wait of {} ms, failed after {} ms: {error}.",
                wait.as_millis(),
                took.as_millis()
            );
            None
        }
    };
    let answered = answer.as_ref().map(|changes| Answered {
        position: Position {
            epoch: changes.epoch,
            revision: changes.revision,
        },
        more: changes.more,
    });
    let event = ConfigEvent::ReadEnded {
        answer,
        after,
        sent_at,
    };
    control.send(Event::Config(event)).await;
    answered
}

/// Returns a random duration between 0.8 and 1.2 times `mean`.
fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(0.8..1.2))
}

async fn wait_until(instant: Instant) {
    Timer.at(instant).await;
}
