//! Sends requests at a fixed rate, whether or not earlier ones have ended.

use std::time::Duration;

use cassialift_core::{ids::ShardId, request::RequestKind};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{task::JoinSet, time::Instant};
use tokio_util::sync::CancellationToken;

use super::LoadSettings;
use crate::{client::ClientError, harness::Caller, history::CallEnd};

/// The number of significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// The highest recorded latency in microseconds; higher ones are recorded as this one.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// How often a ticket is requested before its job is given up.
const TICKET_ATTEMPTS: u32 = 3;

/// Sends load through callers created by `make_caller` for the duration of the settings or until
/// `stop` is cancelled; returns the latencies of answers in microseconds.
///
/// The latency of a request that was due while its caller still waited for an earlier reply counts
/// from the time when the request was due, so that a slow fleet does not reduce the offered load.
///
/// # Errors
/// Returns an error if a caller cannot be created.
pub async fn generate(
    settings: &LoadSettings,
    stop: &CancellationToken,
    mut make_caller: impl FnMut(usize) -> Result<Caller, ClientError>,
) -> Result<Histogram<u64>, ClientError> {
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for number in 0..settings.callers {
        let caller = make_caller(number)?;
        tasks.spawn(run_caller(
            settings.clone(),
            caller,
            number,
            start,
            stop.clone(),
        ));
    }
    let mut latencies = histogram();
    while let Some(result) = tasks.join_next().await {
        if let Ok(caller_latencies) = result {
            latencies += caller_latencies;
        }
    }
    Ok(latencies)
}

/// Sends the requests of one caller at their due times and returns the latencies of answers.
#[expect(
    clippy::cast_precision_loss,
    reason = "numbers of callers are far below 2^52"
)]
async fn run_caller(
    settings: LoadSettings,
    mut caller: Caller,
    number: usize,
    start: Instant,
    stop: CancellationToken,
) -> Histogram<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed ^ (number as u64) << 32);
    let period = Duration::from_secs_f64(settings.callers as f64 / settings.rate);
    let mut due = start + period.mul_f64(number as f64 / settings.callers as f64);
    let mut latencies = histogram();
    while due < start + settings.duration {
        let stopped = stop
            .run_until_cancelled(tokio::time::sleep_until(due))
            .await;
        if stopped.is_none() {
            break;
        }
        if rng.random::<f64>() < settings.job_share {
            run_job(&mut caller).await;
        } else {
            let (kind, shards) = random_request(&settings, &mut rng);
            let end = caller.search(kind, shards).await;
            if matches!(end, CallEnd::Answer(_)) {
                let micros = due.elapsed().as_micros();
                latencies.saturating_record(u64::try_from(micros).unwrap_or(u64::MAX));
            }
        }
        due += period;
    }
    latencies
}

/// Submits a job twice with the same ticket, as callers do that are unsure whether it ran.
async fn run_job(caller: &mut Caller) {
    for _ in 0..TICKET_ATTEMPTS {
        let Some(ticket) = caller.ticket().await else {
            continue;
        };
        let body = caller.next_body();
        caller.submit(&ticket, &body).await;
        caller.submit(&ticket, &body).await;
        return;
    }
}

/// Returns a random kind of search or fetch and its shards, `None` for all.
fn random_request(
    settings: &LoadSettings,
    rng: &mut ChaCha8Rng,
) -> (RequestKind, Option<Vec<ShardId>>) {
    let kind = rng.random::<f64>();
    let first = rng.random_range(0..settings.shards.max(1));
    if kind < settings.wide_share {
        (RequestKind::WideSearch, None)
    } else if kind < f64::midpoint(settings.wide_share, 1.0) {
        let second = (first + 1) % settings.shards.max(1);
        (RequestKind::NarrowSearch, Some(vec![first, second]))
    } else {
        (RequestKind::Fetch, Some(vec![first]))
    }
}

fn histogram() -> Histogram<u64> {
    let histogram = Histogram::new_with_max(MAX_LATENCY_MICROS, LATENCY_DIGITS);
    histogram.unwrap_or_else(|_| unreachable!("both constants are valid"))
}
