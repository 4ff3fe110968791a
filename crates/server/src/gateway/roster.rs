//! The backend servers that requests may go to, kept in step with the configuration.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::{DataCentre, Revision, RouteId, ServerId, ServiceId, ShardId, VmId},
    index::ServerState,
    policy::{
        EntryTables,
        delegate::{group_remote_shards, limit_replicas},
        gather::ShardTarget,
        replica::Listing,
    },
    pool::{Roster, ServerDocument, VmCounts, connection_share},
    routes::{RouteTarget, Splitter},
    view::{ConfigView, FleetView, MemberView, Reach},
};
use rand::seq::IndexedRandom;

use super::inbound::Inbound;
use crate::timer::Timer;

/// How long a VM is passed over that failed to ask shards: longer than a call, shorter than
/// membership takes to tell whether it is gone.
const SHUN_TIME: Duration = Duration::from_secs(1);

/// The connections of a backend server whose service does not say.
const CONNECTIONS: u32 = 16;

/// The documents of backend servers at one revision.
type Published = Arc<BTreeMap<ServerId, Arc<ServerDocument>>>;

/// The backend servers that requests may go to.
#[derive(Debug, Default)]
pub(super) struct Servers {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    roster: Roster,
    splitter: Splitter,
    /// The data centre of this VM; none before the first view.
    own: Option<DataCentre>,
    /// The revision and the documents that the roster stands for; none before the first.
    synced: Option<(Revision, Published)>,
    /// The members that the counts stand for.
    members: Option<Arc<HashMap<VmId, Arc<MemberView>>>>,
    vms: BTreeMap<DataCentre, u32>,
    /// VMs that failed to ask shards lately, and until when they are passed over.
    shunned: HashMap<VmId, Instant>,
    /// The most VMs that answered at once; those that are cut off may still serve.
    most_vms: u32,
}

/// How a backend server is reached.
#[derive(Clone, Debug)]
pub(super) struct ServerAddress {
    pub(super) address: SocketAddr,
    /// The connections that this VM may hold to it.
    pub(super) connections: u32,
}

impl Servers {
    /// Returns whether the VMs of a view and the backend servers of its configuration, or newer
    /// ones, were taken over.
    pub(super) fn is_synced(&self, view: &FleetView, config: &ConfigView) -> bool {
        let inner = self.lock();
        inner.has_counted(view) && inner.has_listed(config)
    }

    /// Takes over the backend servers of a view, unless that was done; returns whether it was new.
    pub(super) fn sync(
        &self,
        view: &FleetView,
        config: &ConfigView,
        far_bias: Duration,
        tables: &mut EntryTables,
        now: Instant,
    ) -> bool {
        let mut inner = self.lock();
        inner.count(view);
        if inner.has_listed(config) {
            return false;
        }
        inner.synced = Some((config.revision, Arc::clone(&config.servers)));
        inner.roster.sync(&config.servers, now);
        let own = &view.own.centre;
        let roster = &inner.roster;
        for (service, ids) in roster.services() {
            let listings = ids
                .iter()
                .filter_map(|id| listing(roster, id, own, far_bias));
            tables
                .replicas
                .set_servers(service, listings.collect(), now);
        }
        let known = |service: &ServiceId| roster.has(service);
        tables.replicas.retain_services(known);
        tables.extra_calls.retain_services(known);
        true
    }

    /// Returns the shards that a request on a route goes to; one where a single backend server
    /// answers it.
    pub(super) fn targets(
        &self,
        name: &RouteId,
        target: &RouteTarget,
        now: Instant,
    ) -> Vec<ShardTarget> {
        let mut inner = self.lock();
        match target {
            RouteTarget::Service(service) => vec![inner.target(0, service, now)],
            RouteTarget::Split(shares) => {
                let service = inner.splitter.pick(name, shares);
                let found = service.map(|service| inner.target(0, &service, now));
                found.into_iter().collect()
            }
            RouteTarget::Shards(set) => (0..)
                .zip(&set.services)
                .map(|(shard, service)| inner.target(shard, service, now))
                .collect(),
        }
    }

    /// Takes the shards out of `targets` that VMs of other data centres are to ask, with the VMs.
    ///
    /// Either VM may ask a shard's backend servers, so that both choose among the same `most`.
    pub(super) fn delegate(
        &self,
        view: &FleetView,
        inbound: &Inbound,
        targets: &mut Vec<ShardTarget>,
    ) -> Vec<(VmId, Vec<ShardTarget>)> {
        let now = inbound.started;
        let mut inner = self.lock();
        inner.shunned.retain(|_, until| *until > now);
        let centres: Vec<Vec<DataCentre>> = targets
            .iter()
            .map(|target| inner.centres(&target.replicas))
            .collect();
        let helpers = inner.helpers(view);
        let can_ask = |centre: &DataCentre| helpers.contains_key(centre);
        let groups = group_remote_shards(&view.own.centre, &centres, can_ask);
        let mut taken = Vec::new();
        let delegations = groups.into_iter().filter_map(|group| {
            let vm = helpers[&group.centre].choose(&mut rand::rng())?;
            let shards = group.shards.iter().map(|index| {
                let mut target = targets[*index].clone();
                let near = |server: &ServerId| inner.is_near(server, &group.centre);
                let most = inbound.route.servers;
                limit_replicas(&mut target.replicas, near, &inbound.attempt, most);
                target
            });
            let delegation = (VmId::clone(vm), shards.collect());
            taken.extend(group.shards);
            Some(delegation)
        });
        let delegations = delegations.collect();
        let all = std::mem::take(targets).into_iter().enumerate();
        let left = all.filter(|(index, _)| !taken.contains(index));
        *targets = left.map(|(_, target)| target).collect();
        delegations
    }

    /// Returns whether a backend server stands in a data centre.
    pub(super) fn is_near(&self, server: &str, centre: &DataCentre) -> bool {
        self.lock().is_near(server, centre)
    }

    /// Passes a VM over for a while that failed to ask shards.
    pub(super) fn shun(&self, vm: &VmId, now: Instant) {
        let mut inner = self.lock();
        inner.shunned.insert(VmId::clone(vm), now + SHUN_TIME);
    }

    /// Returns how a backend server is reached; none when it is gone.
    pub(super) fn address(&self, server: &str, config: &ConfigView) -> Option<ServerAddress> {
        let inner = self.lock();
        let document = inner.roster.get(server)?;
        let routes = config.routes.as_ref()?;
        let policy = routes.services.get(&document.service);
        let most = policy.map_or(CONNECTIONS, |policy| policy.connections);
        Some(ServerAddress {
            address: document.address,
            connections: inner.share(most, &document.centre),
        })
    }

    /// Returns whether a backend server is known.
    pub(super) fn knows(&self, server: &str) -> bool {
        self.lock().roster.get(server).is_some()
    }

    /// Returns the most VMs that answered at once, at least one.
    pub(super) fn vms(&self) -> u32 {
        self.lock().most_vms.max(1)
    }

    /// Returns how many backend servers of sharded routes stand in each data centre.
    pub(super) fn homes(&self, config: &ConfigView) -> BTreeMap<DataCentre, u32> {
        let inner = self.lock();
        let mut homes = BTreeMap::new();
        let Some(routes) = &config.routes else {
            return homes;
        };
        let sets = routes.iter().filter_map(|route| match &route.target {
            RouteTarget::Shards(set) => Some(&set.services),
            RouteTarget::Service(_) | RouteTarget::Split(_) => None,
        });
        let mut services: Vec<_> = sets.flatten().collect();
        services.sort();
        services.dedup();
        let now = Timer.now();
        for service in services {
            for server in inner.roster.usable(service, now) {
                if let Some(document) = inner.roster.get(&server) {
                    let centre = DataCentre::clone(&document.centre);
                    *homes.entry(centre).or_default() += 1;
                }
            }
        }
        homes
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // The tables are whole between any two steps.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Returns whether the backend servers of a configuration, or of a newer one, are listed.
    fn has_listed(&self, config: &ConfigView) -> bool {
        let synced = self.synced.as_ref();
        synced.is_some_and(|(revision, known)| {
            config.revision < *revision || Arc::ptr_eq(known, &config.servers)
        })
    }

    /// Returns whether the counts stand for the members of a view.
    fn has_counted(&self, view: &FleetView) -> bool {
        let known = self.members.as_ref();
        known.is_some_and(|known| Arc::ptr_eq(known, &view.members))
    }

    /// Counts the VMs of each data centre, when they may have changed.
    fn count(&mut self, view: &FleetView) {
        if self.has_counted(view) {
            return;
        }
        self.members = Some(Arc::clone(&view.members));
        self.own = Some(DataCentre::clone(&view.own.centre));
        self.vms.clear();
        for member in view.members.values() {
            if matches!(member.reach, Reach::Alive | Reach::Leaving) {
                let centre = DataCentre::clone(&member.centre);
                *self.vms.entry(centre).or_default() += 1;
            }
        }
        self.most_vms = self.most_vms.max(self.vms.values().sum());
    }

    fn share(&self, most: u32, centre: &DataCentre) -> u32 {
        let near = self.vms.get(centre).copied().unwrap_or_default();
        let all: u32 = self.vms.values().sum();
        let is_near = self.own.as_ref() == Some(centre);
        let far = all.saturating_sub(near);
        connection_share(most, is_near, VmCounts { near, far })
    }

    fn is_near(&self, server: &str, centre: &DataCentre) -> bool {
        let document = self.roster.get(server);
        document.is_some_and(|document| document.centre == *centre)
    }

    /// Returns the data centre of each backend server.
    fn centres(&self, servers: &[ServerId]) -> Vec<DataCentre> {
        let known = servers.iter().filter_map(|server| self.roster.get(server));
        known
            .map(|document| DataCentre::clone(&document.centre))
            .collect()
    }

    /// Returns the VMs of each data centre that may ask shards for others: those that answer, the
    /// largest of them.
    fn helpers<'a>(&self, view: &'a FleetView) -> BTreeMap<DataCentre, Vec<&'a VmId>> {
        let usable = |vm: &VmId, member: &MemberView| {
            member.reach == Reach::Alive && !self.shunned.contains_key(vm)
        };
        let mut largest: BTreeMap<&DataCentre, u32> = BTreeMap::new();
        let members = || {
            view.members
                .iter()
                .filter(|(vm, member)| usable(vm, member))
        };
        for (_, member) in members() {
            let known = largest.entry(&member.centre).or_default();
            *known = (*known).max(member.capacity);
        }
        let mut helpers: BTreeMap<DataCentre, Vec<&VmId>> = BTreeMap::new();
        for (vm, member) in members() {
            if member.capacity >= largest[&member.centre] {
                let centre = DataCentre::clone(&member.centre);
                helpers.entry(centre).or_default().push(vm);
            }
        }
        helpers
    }

    fn target(&self, shard: ShardId, service: &ServiceId, now: Instant) -> ShardTarget {
        ShardTarget {
            shard,
            service: Some(ServiceId::clone(service)),
            replicas: self.roster.usable(service, now),
        }
    }
}

fn listing(
    roster: &Roster,
    id: &ServerId,
    own: &DataCentre,
    far_bias: Duration,
) -> Option<Listing> {
    let document = roster.get(id)?;
    let far = document.centre != *own;
    Some(Listing {
        server: ServerId::clone(id),
        slots: document.slots,
        leaving: document.state == ServerState::Leaving,
        penalty: if far { far_bias } else { Duration::ZERO },
        may_pause: true,
    })
}
