//! Who reads the configuration service.
//!
//! A few processes of each data centre, elected by rendezvous hashing, watch the service. Everyone
//! else learns from peers. A process whose view has not been confirmed for [`STALE_AGE`] reads by
//! itself, so seldom that the whole fleet together stays at [`FALLBACK_RATE`]. One that succeeds
//! goes on reading until it hears of a reader that ranks before it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::{START_WAIT, ServiceReachability};
use crate::{
    ids::{DataCentre, VmId},
    time::Millis,
};

/// The elected readers of each data centre.
pub const READERS: usize = 2;
/// How long an elected reader's call waits for a change.
pub const WATCH_WAIT: Duration = Duration::from_millis(500);
/// The shortest time between two calls of an elected reader.
pub const WATCH_PERIOD: Duration = Duration::from_millis(50);
/// The age from which a process reads by itself.
pub const STALE_AGE: Duration = Duration::from_secs(3);
/// The reads a second of all processes together that read without being elected.
pub const FALLBACK_RATE: u32 = 800;
/// The shortest mean time between two reads of a process that is not elected.
pub const FALLBACK_PERIOD: Duration = Duration::from_millis(500);

/// Who reads the configuration service, and how often.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReadSettings {
    /// The elected readers of each data centre.
    pub readers: usize,
    /// How long an elected reader's call waits for a change.
    pub wait: Millis,
    /// The shortest time between two calls of an elected reader.
    pub period: Millis,
    /// The age from which a process reads by itself.
    pub stale: Millis,
    /// How long a starting process that has read the service waits for its peers' word.
    pub start: Millis,
}

impl Default for ReadSettings {
    fn default() -> Self {
        Self {
            readers: READERS,
            wait: Millis(WATCH_WAIT),
            period: Millis(WATCH_PERIOD),
            stale: Millis(STALE_AGE),
            start: Millis(START_WAIT),
        }
    }
}

/// A process that may be elected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Its VM.
    pub vm: VmId,
    /// Its data centre.
    pub centre: DataCentre,
    /// Whether it answers and stays.
    pub usable: bool,
    /// Whether it said that it can read the service.
    pub service: ServiceReachability,
}

/// How a process reads the configuration service at present.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReadPlan {
    /// Not at all.
    #[default]
    Idle,
    /// It watches: each call waits for a change and is made again at once.
    Watch,
    /// It reads by itself, once in a period on average.
    Fallback {
        /// The mean time from one read to the next.
        period: Duration,
    },
}

/// What a process decides its reading by.
#[derive(Clone, Copy, Debug)]
pub struct ReadInput<'a> {
    /// Its VM.
    pub own: &'a VmId,
    /// Its data centre.
    pub centre: &'a DataCentre,
    /// Whether it can read the service.
    pub service: ServiceReachability,
    /// The other processes of the fleet.
    pub others: &'a [Candidate],
    /// How old the newest confirmation is.
    pub age: Option<Duration>,
    /// How old the newest confirmation by a reader that ranks before this process is.
    pub outranked: Option<Duration>,
    /// The plan so far.
    pub plan: ReadPlan,
    /// Who is to read, and how often.
    pub settings: ReadSettings,
}

/// Decides how a process reads from now on.
#[must_use]
pub fn plan_reads(input: &ReadInput<'_>) -> ReadPlan {
    let fallback = ReadPlan::Fallback {
        period: fallback_period(input.others.len() + 1),
    };
    let unreachable = input.service == ServiceReachability::Unreachable;
    if !unreachable
        && is_elected(input, |other| {
            other.service != ServiceReachability::Unreachable
        })
    {
        return ReadPlan::Watch;
    }
    // Those who would be elected keep trying, so that an election ever finds its way back.
    if unreachable && is_elected(input, |_| true) {
        return fallback;
    }
    let stale = input.age.is_none_or(|age| age > input.settings.stale.0);
    if stale || (is_reading(input) && !stands_down(input)) {
        return fallback;
    }
    ReadPlan::Idle
}

/// Returns the mean time between two reads of each process that is not elected.
#[must_use]
pub fn fallback_period(processes: usize) -> Duration {
    let processes = u32::try_from(processes).unwrap_or(u32::MAX);
    let period = Duration::from_secs(1) * processes / FALLBACK_RATE;
    period.max(FALLBACK_PERIOD)
}

fn is_elected(input: &ReadInput<'_>, can_read: impl Fn(&Candidate) -> bool) -> bool {
    let own = score(input.own);
    let before = input
        .others
        .iter()
        .filter(|other| other.usable && other.centre == *input.centre && can_read(other))
        .filter(|other| score(&other.vm) > own);
    before.count() < input.settings.readers
}

fn is_reading(input: &ReadInput<'_>) -> bool {
    input.plan != ReadPlan::Idle && input.service == ServiceReachability::Reached
}

fn stands_down(input: &ReadInput<'_>) -> bool {
    input
        .outranked
        .is_some_and(|age| age <= input.settings.stale.0)
}

/// Returns whether a reader ranks before another; a total order, so that of two readers that hear
/// of each other only one stops.
#[must_use]
pub fn outranks(reader: &VmId, other: &VmId) -> bool {
    score(reader) > score(other)
}

fn score(vm: &str) -> (u64, &str) {
    let mut hasher = Xxh3::new();
    hasher.update(b"config-reader/");
    hasher.update(vm.as_bytes());
    (hasher.digest(), vm)
}
