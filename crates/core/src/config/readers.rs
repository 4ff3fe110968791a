//! Election of the processes that read the configuration service.
//!
//! A few processes, elected by rendezvous hashing from all data centres, watch the service. All
//! others receive changes from peers. A process whose configuration has not been confirmed for
//! [`STALE_AGE`] reads the service although it is not elected, at an interval that limits the whole
//! fleet to [`FALLBACK_RATE`]. If its reads succeed, it continues until it learns of a confirmation
//! by a reader that ranks before it.
//!
//! In a large fleet, two processes seldom exchange heartbeats. A reader that loses the service, or
//! regains it, therefore tells the processes that are next in the election at once.
//!
//! A reader that ends tells nobody. So each process asks the elected readers in turn whether they read,
//! and reads by itself once none has said so for [`ReadSettings::reader_timeout`]. A change then comes
//! in time whatever happened to the readers, and whether or not membership has noticed.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::{START_WAIT, ServiceReachability};
use crate::{
    ids::{DataCentre, VmId},
    time::Millis,
};

/// The number of elected readers in each data centre.
pub const READERS_PER_CENTRE: usize = 2;
/// The number of elected readers in the whole fleet.
pub const MAX_READERS: usize = 5;
/// The least [`ReadSettings::delay`] when the whole fleet starts for the first time: no caller waits
/// yet, and the processes take longer to meet.
pub const FLEET_START_DELAY: Duration = Duration::from_secs(2);
/// The time by which a starting process reads later than the one that ranks before it, while no
/// confirmation is known: about the time in which the documents reach the next peers.
const START_STEP: Duration = Duration::from_millis(100);
/// The time for which a read by an elected reader waits for a change.
pub const WATCH_WAIT: Duration = Duration::from_millis(500);
/// The minimum time between two reads by an elected reader.
pub const WATCH_PERIOD: Duration = Duration::from_millis(50);
/// The age of the confirmation above which a process reads the service although it is not elected.
pub const STALE_AGE: Duration = Duration::from_secs(3);
/// The time in which a change is to be in force everywhere after the service acknowledged it.
pub const APPLY_TIME: Duration = Duration::from_secs(3);
/// The time for which the service may be silent beyond the wait of a read before the read fails.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The time that is kept for the read after a failed one and for the spread to all processes.
pub const SPREAD_TIME: Duration = Duration::from_millis(500);
/// What must be left of [`ReadSettings::apply`] when a read ends its wait without an answer.
pub const RECOVERY_TIME: Duration = ANSWER_TIMEOUT.saturating_add(SPREAD_TIME);
/// The maximum number of reads per second by all processes together that are not elected.
pub const FALLBACK_RATE: u32 = 800;
/// The minimum mean time between two reads by a process that is not elected.
pub const FALLBACK_PERIOD: Duration = Duration::from_millis(500);

/// The maximum number of reads per second by all processes together that know of no elected reader and whose
/// reads fail. One whose read succeeds reads again after [`ReadSettings::reader_timeout`].
const READER_LOST_RATE: u32 = 20;
/// The minimum mean time between two reads by a process that knows of no elected reader and whose reads fail.
const READER_LOST_PERIOD: Duration = Duration::from_secs(1);
/// The mean number of processes that ask whether the elected readers read, in a larger fleet: enough
/// that some are left whatever happens, and few enough for the readers to answer.
const MAX_ASKING: u32 = 512;

/// Settings of reads of the configuration service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReadSettings {
    /// The number of elected readers in each data centre.
    pub readers: usize,
    /// The number of elected readers in the whole fleet.
    pub most: usize,
    /// The longest time for which a read by an elected reader waits for a change.
    pub wait: Millis,
    /// The time in which a change is to be in force everywhere after the service acknowledged it.
    pub apply: Millis,
    /// The minimum time between two reads by an elected reader.
    pub period: Millis,
    /// The age of the confirmation above which a process reads the service although it is not
    /// elected.
    pub stale: Millis,
    /// The time after its start for which a process waits for the replies of its peers.
    pub start: Millis,
    /// How long after its start a process leaves the reading to others: the time in which it meets
    /// its peers and pulls their documents. After it, processes without a confirmation begin one
    /// after the other, in the order of the election, since those that start together know only a
    /// few of their peers yet and take too many of themselves for elected. Zero for neither.
    pub delay: Millis,
}

impl Default for ReadSettings {
    fn default() -> Self {
        Self {
            readers: READERS_PER_CENTRE,
            most: MAX_READERS,
            wait: Millis(WATCH_WAIT),
            apply: Millis(APPLY_TIME),
            period: Millis(WATCH_PERIOD),
            stale: Millis(STALE_AGE),
            start: Millis(START_WAIT),
            delay: Millis::default(),
        }
    }
}

impl ReadSettings {
    /// Returns the time for which a read by an elected reader waits for a change.
    ///
    /// The service may fall silent just after the read was sent and return at once, and a change may
    /// come then. The read must fail early enough for the next one to bring the change in time.
    #[must_use]
    pub fn watch_wait(&self) -> Duration {
        self.wait.0.min(self.reader_timeout())
    }

    /// Returns the time since an elected reader was last known to read after which a process reads by
    /// itself: what it reads must still be in force everywhere in time.
    #[must_use]
    pub const fn reader_timeout(&self) -> Duration {
        self.apply.0.saturating_sub(RECOVERY_TIME)
    }

    /// Returns the age of the newest confirmation up to which a reader counts as reading: its last two
    /// reads, the second of which still waits.
    pub(super) const fn reading_age(&self) -> Duration {
        self.wait.0.saturating_mul(2).saturating_add(ANSWER_TIMEOUT)
    }
}

/// Another process, which may be elected as a reader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The VM of the process.
    pub vm: VmId,
    /// The data centre of the process.
    pub centre: DataCentre,
    /// Whether the process is responsive and not leaving.
    pub usable: bool,
    /// Whether the process can read the service, as it last reported.
    pub service: ServiceReachability,
}

impl Candidate {
    /// Returns whether the process may be able to read the service.
    fn may_read(&self) -> bool {
        self.service != ServiceReachability::Unreachable
    }
}

/// The way in which a process currently reads the configuration service: an elected one watches, so
/// that each read waits for a change and the next one follows.
///
/// The comment of each variant is its text in log lines.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum ReadPlan {
    /// not at all
    #[default]
    Idle,
    /// since it is elected
    Watch,
    /// although it is not elected, every {period:?}
    Fallback {
        /// The mean time from one read to the next.
        period: Duration,
    },
    /// since no elected VM is known to read it, every {period:?}
    ReaderLost {
        /// The mean time from one read to the next.
        period: Duration,
    },
}

/// The input of [`plan_reads`].
#[derive(Clone, Copy, Debug)]
pub struct ReadInput<'a> {
    /// The VM of the process.
    pub vm: &'a VmId,
    /// The data centre of the process.
    pub centre: &'a DataCentre,
    /// Whether the process can read the service.
    pub service: ServiceReachability,
    /// The other processes of the fleet.
    pub peers: &'a [Candidate],
    /// The time since the start of the process.
    pub uptime: Duration,
    /// The age of the newest confirmation; `None` if there is none.
    pub confirmation_age: Option<Duration>,
    /// The time since an elected reader was last known to read, or this process has read; `None` if
    /// neither is known.
    pub reader_age: Option<Duration>,
    /// The age of the newest confirmation by a reader that ranks before this process; `None` if
    /// there is none.
    pub outranked_age: Option<Duration>,
    /// The current plan.
    pub plan: ReadPlan,
    /// The settings of reads.
    pub settings: ReadSettings,
}

/// Returns how a process is to read from now on.
#[must_use]
pub fn plan_reads(input: &ReadInput<'_>) -> ReadPlan {
    let fallback = ReadPlan::Fallback {
        period: fallback_period(input.peers.len() + 1),
    };
    let unreachable = input.service == ServiceReachability::Unreachable;
    if input.uptime < input.settings.delay.0 + start_turn(input) {
        return ReadPlan::Idle;
    }
    if !unreachable && is_elected(input, Candidate::may_read) {
        return ReadPlan::Watch;
    }
    // A process that would be elected if it could read keeps trying, so that the elected readers
    // watch again once the service is reachable.
    if is_missed(input) {
        return fallback;
    }
    let is_stale = input
        .confirmation_age
        .is_none_or(|age| age > input.settings.stale.0);
    if is_stale || (is_reader(input) && !defers_to_reader(input)) {
        return fallback;
    }
    let timeout = input.settings.reader_timeout();
    let processes = input.peers.len() + 1;
    let is_reader_lost = input.reader_age.is_none_or(|age| age > timeout);
    if is_reader_lost && asks_readers(input.vm, processes) {
        let period = reader_lost_period(processes);
        return ReadPlan::ReaderLost { period };
    }
    ReadPlan::Idle
}

/// Returns how long after [`ReadSettings::delay`] a process without a confirmation begins to read.
fn start_turn(input: &ReadInput<'_>) -> Duration {
    if input.settings.delay.0.is_zero() || input.confirmation_age.is_some() {
        return Duration::ZERO;
    }
    // The share of all processes that rank before this one: it does not depend on how many of them
    // are known.
    let (hash, _) = rank(input.vm);
    let share = f64::from(u32::try_from(!hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX);
    let processes = f64::from(u32::try_from(input.peers.len() + 1).unwrap_or(u32::MAX));
    let turn = START_STEP.mul_f64(share * processes);
    turn.min(input.settings.stale.0)
}

/// Returns the mean time between two reads by each process that is not elected, in a fleet of
/// the given number of processes.
#[must_use]
pub fn fallback_period(processes: usize) -> Duration {
    shared_period(processes, FALLBACK_RATE).max(FALLBACK_PERIOD)
}

/// Returns the mean time between two reads by each process that knows of no elected reader and whose reads
/// fail, in a fleet of the given number of processes.
fn reader_lost_period(processes: usize) -> Duration {
    shared_period(processes, READER_LOST_RATE).max(READER_LOST_PERIOD)
}

/// Returns the period of each process with which all of them together keep to a rate a second.
fn shared_period(processes: usize, rate: u32) -> Duration {
    let processes = u32::try_from(processes).unwrap_or(u32::MAX);
    Duration::from_secs(1) * processes / rate
}

/// Returns whether a process of a fleet of this size asks whether the elected readers read.
pub(super) fn asks_readers(vm: &str, processes: usize) -> bool {
    let processes = u64::try_from(processes).unwrap_or(u64::MAX);
    hash(b"config-asking/", vm) % processes.max(1) < u64::from(MAX_ASKING)
}

/// Returns whether the process is elected: fewer usable peers of its data centre rank before it
/// than readers are configured for a data centre, and fewer readers of all data centres than are
/// configured for the fleet. The first reader of each data centre ranks before all others. Only
/// peers for which `can_read` is true count.
fn is_elected(input: &ReadInput<'_>, can_read: impl Fn(&Candidate) -> bool) -> bool {
    let own_rank = rank(input.vm);
    // The number of peers that rank before this process, by data centre.
    let mut before: HashMap<&DataCentre, usize> = HashMap::new();
    for peer in input
        .peers
        .iter()
        .filter(|peer| peer.usable && can_read(peer))
    {
        *before.entry(&peer.centre).or_default() += usize::from(rank(&peer.vm) > own_rank);
    }
    let ReadSettings { readers, most, .. } = input.settings;
    let in_centre = before.get(input.centre).copied().unwrap_or_default();
    let in_fleet: usize = if in_centre == 0 {
        before.values().filter(|count| **count > 0).count()
    } else {
        let others = before.values().map(|count| (*count).min(readers));
        before.len() + others.map(|count| count.saturating_sub(1)).sum::<usize>()
    };
    in_centre < readers && in_fleet < most
}

/// Returns whether the process would be elected if it could read the service.
pub(super) fn is_missed(input: &ReadInput<'_>) -> bool {
    input.service == ServiceReachability::Unreachable && is_elected(input, |_| true)
}

/// Returns the first readers of each data centre among the peers that may be able to read the
/// service: those that are elected, and those that take their place.
pub(super) fn standbys(peers: &[Candidate], settings: &ReadSettings) -> Vec<VmId> {
    let centres = ranked_centres(peers).into_iter();
    let standbys = centres.flat_map(|peers| peers.into_iter().take(settings.readers));
    standbys.map(|peer| VmId::clone(&peer.vm)).collect()
}

/// Returns the peers that are elected as readers, if this process is not.
pub(super) fn elected_peers<'a>(
    peers: &'a [Candidate],
    settings: &ReadSettings,
) -> Vec<&'a Candidate> {
    let mut elected: Vec<(usize, &Candidate)> = Vec::new();
    for peers in ranked_centres(peers) {
        elected.extend(peers.into_iter().take(settings.readers).enumerate());
    }
    elected.sort_by_cached_key(|(place, peer)| (*place > 0, Reverse(rank(&peer.vm))));
    elected.truncate(settings.most);
    elected.into_iter().map(|(_, peer)| peer).collect()
}

/// Returns the usable peers of each data centre that may be able to read the service, those that rank
/// first before the others.
fn ranked_centres(peers: &[Candidate]) -> Vec<Vec<&Candidate>> {
    let mut centres: HashMap<&DataCentre, Vec<&Candidate>> = HashMap::new();
    for peer in peers.iter().filter(|peer| peer.usable && peer.may_read()) {
        centres.entry(&peer.centre).or_default().push(peer);
    }
    let mut centres: Vec<Vec<&Candidate>> = centres.into_values().collect();
    for peers in &mut centres {
        peers.sort_by_cached_key(|peer| Reverse(rank(&peer.vm)));
    }
    centres
}

/// Returns whether the process reads, and its last read succeeded.
fn is_reader(input: &ReadInput<'_>) -> bool {
    input.plan != ReadPlan::Idle && input.service == ServiceReachability::Reached
}

/// Returns whether a reader that ranks before the process has confirmed the configuration recently.
fn defers_to_reader(input: &ReadInput<'_>) -> bool {
    input
        .outranked_age
        .is_some_and(|age| age <= input.settings.stale.0)
}

/// Returns whether a reader ranks before another.
///
/// The order is total, so exactly one of two readers that learn of each other stops.
#[must_use]
pub fn outranks(reader: &VmId, other: &VmId) -> bool {
    rank(reader) > rank(other)
}

/// Returns the rank of a VM in the election; the VM's name breaks ties.
fn rank(vm: &str) -> (u64, &str) {
    (hash(b"config-reader/", vm), vm)
}

fn hash(prefix: &[u8], vm: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(prefix);
    hasher.update(vm.as_bytes());
    hasher.digest()
}
