//! Selection of the shards of a search that are delegated to other VMs.
//!
//! A direct call to a remote backend server crosses between data centres once per shard. A VM in
//! that data centre calls all of the shards and merges their rows, so that one message crosses in
//! each direction.
//!
//! A search of very many shards takes more processor time than one small VM has within the latency
//! objective. The shards are then shared out to the data centres by their processor time, and within
//! a data centre to several VMs.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, RngCore};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::{DataCentre, ServerId, VmId};

/// The minimum number of shards that are delegated together. A smaller group is not worth a message
/// to another VM.
pub const MIN_GROUP_SIZE: usize = 3;

/// The processor time of one shard call.
const CALL_TIME: Duration = Duration::from_micros(150);
/// The processor time of one delegation on the VM that delegates.
const DELEGATION_TIME: Duration = Duration::from_micros(100);
/// The share of the time until the answer in which a VM should have sent its shard calls and read
/// their replies; the rest is for the backend servers and for other requests.
const BUSY_SHARE: f64 = 0.25;
/// What a delegation within a data centre adds to the time of a search, apart from processor time:
/// the messages, and the margin by which the other VM replies early.
const HOP_TIME: Duration = Duration::from_millis(20);
/// The number of VMs that take turns with a part of the shards, at least.
const MIN_TURNS: usize = 2;

/// A VM that shards can be delegated to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delegate {
    /// The VM.
    pub vm: VmId,
    /// The processor time of the VM, in thousandths of a core; zero if unknown.
    pub capacity: u32,
}

/// The shards that are delegated to a VM of one data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardGroup {
    /// The data centre.
    pub centre: DataCentre,
    /// The shards, as indexes into the list of the search.
    pub shards: Vec<usize>,
}

/// Groups the shards that have no replica in the data centre `own`.
///
/// `replicas` holds the data centres of the replicas of each shard. `can_delegate` returns whether
/// shards can be delegated to a VM of a data centre, and `limit` the most shards that it should get.
/// The data centre with replicas of the most ungrouped shards gets those shards, up to its limit, as
/// a group. This is repeated until no data centre has replicas of at least [`MIN_GROUP_SIZE`]
/// ungrouped shards. The shards that then remain are called directly. Among data centres with equally
/// many shards the first one after `own` in name order is taken, so that the load spreads over all of
/// them.
///
/// Of the shards with a replica in the data centre `own`, those beyond its limit are grouped too.
#[must_use]
pub fn group_remote_shards(
    own: &DataCentre,
    replicas: &[Vec<DataCentre>],
    can_delegate: impl Fn(&DataCentre) -> bool,
    limit: impl Fn(&DataCentre) -> usize,
) -> Vec<ShardGroup> {
    let is_remote = |centres: &&Vec<DataCentre>| !centres.is_empty() && !centres.contains(own);
    let is_other = |centre: &DataCentre| centre != own && can_delegate(centre);
    let is_near = |index: &usize| replicas[*index].contains(own);
    let has_other = |index: &usize| replicas[*index].iter().any(is_other);
    let excess = (0..replicas.len()).filter(is_near).skip(limit(own));
    let remote = (0..replicas.len()).filter(|index| is_remote(&&replicas[*index]));
    let mut ungrouped: Vec<usize> = remote.chain(excess.filter(has_other)).collect();
    ungrouped.sort_unstable();
    let mut groups: Vec<ShardGroup> = Vec::new();
    loop {
        let mut candidates: BTreeMap<&DataCentre, Vec<usize>> = BTreeMap::new();
        for index in &ungrouped {
            let mut centres: Vec<_> = replicas[*index].iter().collect();
            centres.sort();
            centres.dedup();
            for centre in centres.into_iter().filter(|centre| is_other(centre)) {
                candidates.entry(centre).or_default().push(*index);
            }
        }
        for (centre, shards) in &mut candidates {
            let group = groups.iter().find(|group| group.centre == **centre);
            let taken = group.map_or(0, |group| group.shards.len());
            shards.truncate(limit(centre).saturating_sub(taken));
        }
        let rank = |centre: &DataCentre, shards: &Vec<usize>| {
            (
                shards.len(),
                centre > own,
                std::cmp::Reverse(DataCentre::clone(centre)),
            )
        };
        let best = candidates
            .into_iter()
            .max_by_key(|(centre, shards)| rank(centre, shards));
        let Some((centre, shards)) = best.filter(|(_, shards)| shards.len() >= MIN_GROUP_SIZE)
        else {
            return groups;
        };
        ungrouped.retain(|index| !shards.contains(index));
        let centre = DataCentre::clone(centre);
        match groups.iter_mut().find(|group| group.centre == centre) {
            Some(group) => group.shards.extend(shards),
            None => groups.push(ShardGroup { centre, shards }),
        }
    }
}

/// Returns the most shards of a search that a VM should call itself if the answer is due after
/// `time`. A VM of unknown capacity has no limit.
#[must_use]
pub fn direct_limit(capacity: u32, time: Duration) -> usize {
    if capacity == 0 {
        return usize::MAX;
    }
    let busy = time.mul_f64(BUSY_SHARE * f64::from(capacity) / 1_000.0);
    let calls = busy.as_nanos() / CALL_TIME.as_nanos();
    usize::try_from(calls).unwrap_or(usize::MAX)
}

/// Returns the most shards of a search of `shards` shards that each data centre should get, so that
/// all take equally long, given the processor time of its VMs.
///
/// A data centre that can do more within the time until the answer is not limited to its share:
/// shards that stay near cross no link.
#[must_use]
pub fn centre_limits(
    shards: usize,
    capacities: &BTreeMap<DataCentre, u32>,
    time: Duration,
) -> BTreeMap<DataCentre, usize> {
    let total: u64 = capacities
        .values()
        .map(|capacity| u64::from(*capacity))
        .sum();
    let limit = |capacity: u32| {
        let shards = u64::try_from(shards).unwrap_or(u64::MAX);
        let share = (shards * u64::from(capacity)).div_ceil(total.max(1));
        let share = usize::try_from(share).unwrap_or(usize::MAX);
        direct_limit(capacity, time).max(share).max(MIN_GROUP_SIZE)
    };
    capacities
        .iter()
        .map(|(centre, capacity)| (DataCentre::clone(centre), limit(*capacity)))
        .collect()
}

/// Returns whether [`share_out`] may make more than one part for a VM of this capacity; to be asked
/// before the delegates are listed.
#[must_use]
pub fn may_share_out(shards: usize, capacity: u32) -> bool {
    processor_time(shards, CALL_TIME, capacity) > HOP_TIME
}

/// Shares out `shards` shards of one data centre to its VMs: returns the number of shards of each
/// part, and the VM of each part, `None` for this VM.
///
/// The number of parts balances the processor time of the delegations with that of the calls. Each
/// part goes to one of a few VMs, which differ between parts and are the same on all VMs that know
/// the same fleet, so that their connections stay in use. This VM, whose processor time is
/// `capacity` thousandths of a core, takes a part only if there are too few others, and takes all
/// shards if that is no slower.
#[must_use]
pub fn share_out(
    shards: usize,
    capacity: u32,
    delegates: &[Delegate],
    rng: &mut dyn RngCore,
) -> Vec<(usize, Option<VmId>)> {
    let parts = part_count(shards).min(delegates.len() + 1);
    let direct = processor_time(shards, CALL_TIME, capacity);
    let shared = processor_time(parts, DELEGATION_TIME, capacity)
        + processor_time(
            shards.div_ceil(parts.max(1)),
            CALL_TIME,
            mean_capacity(delegates),
        )
        + HOP_TIME;
    if parts < 2 || direct <= shared {
        return vec![(shards, None)];
    }
    let mut used: Vec<&VmId> = Vec::new();
    let part = |index: usize| {
        let vm = pick_delegate(index, parts, delegates, &used, rng);
        used.extend(vm);
        let size = shards / parts + usize::from(index < shards % parts);
        (size, vm.cloned())
    };
    (0..parts).map(part).collect()
}

/// Returns how long a VM takes for a number of steps of the processor time `step` each; zero if its
/// capacity is unknown.
fn processor_time(steps: usize, step: Duration, capacity: u32) -> Duration {
    if capacity == 0 {
        return Duration::ZERO;
    }
    let steps = u32::try_from(steps).unwrap_or(u32::MAX);
    step.saturating_mul(steps)
        .mul_f64(1_000.0 / f64::from(capacity))
}

/// Returns the mean capacity of VMs, in thousandths of a core.
fn mean_capacity(delegates: &[Delegate]) -> u32 {
    let count = u64::try_from(delegates.len()).unwrap_or(u64::MAX);
    let sum: u64 = delegates
        .iter()
        .map(|delegate| u64::from(delegate.capacity))
        .sum();
    u32::try_from(sum / count.max(1)).unwrap_or(u32::MAX)
}

/// Returns the number of parts for which the delegations take as much processor time as the calls
/// of one part.
fn part_count(shards: usize) -> usize {
    let ratio = CALL_TIME.as_secs_f64() / DELEGATION_TIME.as_secs_f64();
    let shards = f64::from(u32::try_from(shards).unwrap_or(u32::MAX));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small number, not negative"
    )]
    let parts = (shards * ratio).sqrt().round() as usize;
    parts
}

/// Returns the VM for a part of the shards: one of the first in the part's order of VMs that is not
/// in `used`, more often one with more processor time.
fn pick_delegate<'a>(
    part: usize,
    parts: usize,
    delegates: &'a [Delegate],
    used: &[&VmId],
    rng: &mut dyn RngCore,
) -> Option<&'a VmId> {
    let mut ranked: Vec<&Delegate> = delegates
        .iter()
        .filter(|delegate| !used.contains(&&delegate.vm))
        .collect();
    ranked.sort_by_cached_key(|delegate| {
        let mut hasher = Xxh3::new();
        hasher.update(&part.to_le_bytes());
        hasher.update(delegate.vm.as_bytes());
        hasher.digest()
    });
    ranked.truncate(delegates.len().div_ceil(parts).max(MIN_TURNS));
    let weight = |delegate: &Delegate| f64::from(delegate.capacity.max(1));
    let total: f64 = ranked.iter().map(|delegate| weight(delegate)).sum();
    let mut draw = rng.random::<f64>() * total;
    let picked = ranked.iter().find(|delegate| {
        draw -= weight(delegate);
        draw < 0.0
    });
    picked.or(ranked.last()).map(|delegate| &delegate.vm)
}

/// Reduces the replicas of a shard to at most `max_replicas`, in the same way on every VM.
///
/// Near replicas come before the others. The order among the near ones, and among the others,
/// differs between attempts, but not between VMs that know the same replicas.
pub fn limit_replicas(
    replicas: &mut Vec<ServerId>,
    is_near: impl Fn(&ServerId) -> bool,
    attempt: &[u8],
    max_replicas: u32,
) {
    let rank = |server: &ServerId| {
        let mut hasher = Xxh3::new();
        hasher.update(attempt);
        hasher.update(server.as_bytes());
        (!is_near(server), hasher.digest())
    };
    replicas.sort_by_cached_key(rank);
    replicas.truncate(max_replicas as usize);
}
