//! Which shards of a search are asked through a VM of another data centre.
//!
//! A call to a far backend server crosses between data centres once for each shard. A VM there
//! asks all of them and merges their parts, so that one message crosses each way.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

use crate::ids::{DataCentre, ServerId};

/// The fewest shards that are worth a message to another VM.
pub const MIN_GROUP_SIZE: usize = 3;

/// Shards that a VM of one data centre is to ask.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardGroup {
    /// The data centre.
    pub centre: DataCentre,
    /// The shards, as positions in the search's list.
    pub shards: Vec<usize>,
}

/// Groups the shards that have no replica in the data centre `own`.
///
/// `replicas` holds the data centres of each shard's replicas. The data centre that holds most of
/// the shards left gets them all, until none holds enough; what remains is asked directly. Of
/// equals the first after `own` in name order is taken, so that load spreads around.
#[must_use]
pub fn group_remote_shards(
    own: &DataCentre,
    replicas: &[Vec<DataCentre>],
    can_ask: impl Fn(&DataCentre) -> bool,
) -> Vec<ShardGroup> {
    let is_far = |centres: &&Vec<DataCentre>| !centres.is_empty() && !centres.contains(own);
    let mut open: Vec<usize> = (0..replicas.len())
        .filter(|index| is_far(&&replicas[*index]))
        .collect();
    let mut groups = Vec::new();
    loop {
        let mut held: BTreeMap<&DataCentre, Vec<usize>> = BTreeMap::new();
        for index in &open {
            let mut centres: Vec<_> = replicas[*index].iter().collect();
            centres.sort();
            centres.dedup();
            for centre in centres.into_iter().filter(|centre| can_ask(centre)) {
                held.entry(centre).or_default().push(*index);
            }
        }
        let rank = |centre: &DataCentre, shards: &Vec<usize>| {
            (
                shards.len(),
                centre > own,
                std::cmp::Reverse(DataCentre::clone(centre)),
            )
        };
        let best = held
            .into_iter()
            .max_by_key(|(centre, shards)| rank(centre, shards));
        let Some((centre, shards)) = best.filter(|(_, shards)| shards.len() >= MIN_GROUP_SIZE)
        else {
            return groups;
        };
        open.retain(|index| !shards.contains(index));
        let centre = DataCentre::clone(centre);
        groups.push(ShardGroup { centre, shards });
    }
}

/// Keeps the replicas of a shard that two VMs may choose among, at most `most`.
///
/// Near ones come first, then others in an order that differs from attempt to attempt; VMs that
/// know the same replicas keep the same ones.
pub fn limit_replicas(
    replicas: &mut Vec<ServerId>,
    is_near: impl Fn(&ServerId) -> bool,
    attempt: &[u8],
    most: u32,
) {
    let rank = |server: &ServerId| {
        let mut hasher = Xxh3::new();
        hasher.update(attempt);
        hasher.update(server.as_bytes());
        (!is_near(server), hasher.digest())
    };
    replicas.sort_by_cached_key(rank);
    replicas.truncate(most as usize);
}
