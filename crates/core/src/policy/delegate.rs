//! Selection of the shards of a search that are delegated to a VM of another data centre.
//!
//! A direct call to a remote backend server crosses between data centres once per shard. A VM in
//! that data centre calls all of the shards and merges their rows, so that one message crosses in
//! each direction.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

use crate::ids::{DataCentre, ServerId};

/// The minimum number of shards that are delegated together. A smaller group is not worth a message
/// to another VM.
pub const MIN_GROUP_SIZE: usize = 3;

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
/// shards can be delegated to a VM of a data centre. The data centre with replicas of the most
/// ungrouped shards gets all of those shards as a group. This is repeated until no data centre has
/// replicas of at least [`MIN_GROUP_SIZE`] ungrouped shards. The shards that then remain are called
/// directly. Among data centres with equally many shards the first one after `own` in name order is
/// taken, so that the load spreads over all of them.
#[must_use]
pub fn group_remote_shards(
    own: &DataCentre,
    replicas: &[Vec<DataCentre>],
    can_delegate: impl Fn(&DataCentre) -> bool,
) -> Vec<ShardGroup> {
    let is_remote = |centres: &&Vec<DataCentre>| !centres.is_empty() && !centres.contains(own);
    let mut ungrouped: Vec<usize> = (0..replicas.len())
        .filter(|index| is_remote(&&replicas[*index]))
        .collect();
    let mut groups = Vec::new();
    loop {
        let mut candidates: BTreeMap<&DataCentre, Vec<usize>> = BTreeMap::new();
        for index in &ungrouped {
            let mut centres: Vec<_> = replicas[*index].iter().collect();
            centres.sort();
            centres.dedup();
            for centre in centres.into_iter().filter(|centre| can_delegate(centre)) {
                candidates.entry(centre).or_default().push(*index);
            }
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
        groups.push(ShardGroup { centre, shards });
    }
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
