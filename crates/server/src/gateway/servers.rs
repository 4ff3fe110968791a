//! The backend servers that requests may go to, synced with the configuration.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use cassialift_core::{
    evacuation::EvacuatedCentres,
    ids::{DataCentre, RouteId, ServerId, ServiceId, ShardId, VmId},
    index::ServerState,
    policy::{
        EntryTables,
        delegate::{
            Delegate, centre_limits, direct_limit, group_remote_shards, limit_replicas,
            may_share_out, share_out,
        },
        gather::ShardTarget,
        replica::Listing,
        warmup::{FleetSight, WarmupPolicy},
    },
    pool::{ServerDocument, ServerRegistry, VmCounts, connection_share},
    routes::{RouteTable, RouteTarget, SplitShare, Splitter},
    view::{ConfigView, FleetView, MemberView, Reachability},
};
use rand::seq::{IndexedRandom, IteratorRandom};

use super::inbound::Inbound;
use crate::timer::Timer;

/// How long a VM that failed a delegation gets no further ones: longer than a call, shorter than
/// membership takes to detect that the VM is gone.
const EXCLUSION_TIME: Duration = Duration::from_secs(1);

/// The connection limit of a backend server whose service sets none.
const DEFAULT_CONNECTIONS: u32 = 16;

/// The documents of backend servers in one view.
type ServerDocuments = Arc<BTreeMap<ServerId, Arc<ServerDocument>>>;

/// What services state about their cold backend servers.
type WarmupPolicies = BTreeMap<ServiceId, WarmupPolicy>;

/// The backend servers that requests may go to.
#[derive(Debug)]
pub(super) struct ServerTable {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    registry: ServerRegistry,
    splitter: Splitter,
    /// The data centre of this VM; `None` before the first view.
    own_centre: Option<DataCentre>,
    /// What the registry was synced with; `None` before the first sync.
    synced: Option<Synced>,
    /// The members that the VM counts were computed from.
    members: Option<Arc<HashMap<VmId, Arc<MemberView>>>>,
    vm_counts: BTreeMap<DataCentre, u32>,
    /// The VMs that recently failed a delegation, each with the end of its exclusion.
    excluded: HashMap<VmId, Instant>,
    /// The most VMs that answered at the same time; VMs that are cut off may still serve.
    peak_vms: u32,
    /// The number of VMs that answer, and the time of its last change.
    answering: Option<(u32, Instant)>,
    /// The seeds, other than this VM, that have not answered since its start.
    unmet_seeds: BTreeSet<SocketAddr>,
}

/// What the registry was synced with.
#[derive(Debug)]
struct Synced {
    /// The generation of the configuration.
    generation: u64,
    servers: ServerDocuments,
    evacuated: EvacuatedCentres,
    routes: Option<Arc<RouteTable>>,
    /// The policies of the routes' services.
    warmups: WarmupPolicies,
}

/// A search whose shards may be delegated.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spread<'a> {
    pub(super) view: &'a FleetView,
    pub(super) inbound: &'a Inbound,
    /// The VMs that can't read the search.
    pub(super) outdated: &'a HashSet<VmId>,
    /// The processor time of this VM, in thousandths of a core; zero if unknown.
    pub(super) capacity: u32,
    /// The time after the request's start by which the other VMs reply, if need be without all
    /// shards.
    pub(super) reply_after: Duration,
}

/// The shards that another VM searches for a request.
#[derive(Clone, Debug)]
pub(super) struct Delegation {
    pub(super) vm: VmId,
    pub(super) targets: Vec<ShardTarget>,
    /// The time after the request's start by which the VM replies, if need be without all shards.
    pub(super) reply_after: Duration,
    /// Whether the VM may delegate some of the shards in its turn.
    pub(super) spread: bool,
}

/// The address of a backend server, and how many connections it may get.
#[derive(Clone, Debug)]
pub(super) struct ServerAddress {
    pub(super) address: SocketAddr,
    /// The most connections that this VM may hold to the backend server.
    pub(super) connections: u32,
}

impl Synced {
    fn new(config: &ConfigView) -> Self {
        let services = config.routes.iter().flat_map(|routes| &routes.services);
        let warmups = services
            .filter_map(|(service, policy)| Some((ServiceId::clone(service), policy.warmup?)));
        Self {
            generation: config.generation,
            servers: Arc::clone(&config.servers),
            evacuated: Arc::clone(&config.evacuated),
            routes: config.routes.clone(),
            warmups: warmups.collect(),
        }
    }
}

impl ServerTable {
    /// Returns the table of a VM that has these seeds, other than itself.
    pub(super) fn new(seeds: BTreeSet<SocketAddr>) -> Self {
        Self {
            inner: Mutex::new(Inner {
                unmet_seeds: seeds,
                ..Inner::default()
            }),
        }
    }

    /// Returns whether the VMs of a view and the backend servers of its configuration, or of a
    /// newer one, were applied.
    pub(super) fn is_synced(&self, view: &FleetView, config: &ConfigView) -> bool {
        let inner = self.lock();
        inner.has_members_of(view) && inner.has_servers_of(config)
    }

    /// Applies a view and the backend servers of its configuration; returns whether the backend
    /// servers were new.
    pub(super) fn sync(
        &self,
        view: &FleetView,
        config: &ConfigView,
        far_bias: Duration,
        tables: &mut EntryTables,
        now: Instant,
    ) -> bool {
        let mut inner = self.lock();
        inner.count_vms(view);
        if inner.has_servers_of(config) {
            return false;
        }
        let synced = Synced::new(config);
        let previous = inner.synced.replace(synced);
        if inner.has_same_servers(previous.as_ref()) {
            return false;
        }
        inner.registry.sync(&config.servers, now);
        inner.registry.set_evacuated(&config.evacuated);
        let own = &view.own.centre;
        let registry = &inner.registry;
        let no_warmups = WarmupPolicies::new();
        let synced = inner.synced.as_ref();
        let warmups = synced.map_or(&no_warmups, |synced| &synced.warmups);
        for (service, ids) in registry.services() {
            let listings = ids
                .iter()
                .filter_map(|id| listing(registry, id, own, far_bias, warmups));
            tables
                .replicas
                .set_servers(service, listings.collect(), now);
        }
        let is_known = |service: &ServiceId| registry.has_service(service);
        tables.replicas.retain_services(is_known);
        tables.extra_calls.retain_services(is_known);
        true
    }

    /// Returns the shards that a request on a route goes to: one where a single backend server
    /// answers the request.
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
                let target = service.map(|service| inner.target(0, &service, now));
                target.into_iter().collect()
            }
            RouteTarget::Shards(set) => (0..)
                .zip(&set.services)
                .map(|(shard, service)| inner.target(shard, service, now))
                .collect(),
        }
    }

    /// Removes the shards that VMs of other data centres are to search from `targets`, and returns
    /// them with these VMs.
    ///
    /// Both VMs may call the backend servers of a shard, so both choose among the same `limit`
    /// servers.
    pub(super) fn delegate(
        &self,
        request: &Spread<'_>,
        targets: &mut Vec<ShardTarget>,
    ) -> Vec<Delegation> {
        let Spread { view, inbound, .. } = request;
        let mut inner = self.lock();
        inner.end_exclusions(inbound.started_at);
        let centres: Vec<Vec<DataCentre>> = targets
            .iter()
            .map(|target| inner.centres(&target.replicas))
            .collect();
        let delegates = inner.delegates(request);
        let has_delegate = |centre: &DataCentre| delegates.contains_key(centre);
        let mut limits = BTreeMap::new();
        if targets.len() > direct_limit(request.capacity, request.reply_after) {
            let capacities = inner.capacities(request);
            limits = centre_limits(targets.len(), &capacities, request.reply_after);
        }
        let limit = |centre: &DataCentre| limits.get(centre).copied().unwrap_or(usize::MAX);
        let groups = group_remote_shards(&view.own.centre, &centres, has_delegate, limit);
        let mut assigned = Vec::new();
        let delegations = groups.into_iter().filter_map(|group| {
            let vm = delegates[&group.centre].choose(&mut rand::rng())?;
            let shards = group.shards.iter().map(|index| {
                let mut target = targets[*index].clone();
                inner.limit_replicas(&mut target, &group.centre, inbound);
                target
            });
            let delegation = Delegation {
                vm: VmId::clone(vm),
                targets: shards.collect(),
                reply_after: request.reply_after,
                spread: true,
            };
            assigned.extend(group.shards);
            Some(delegation)
        });
        let delegations = delegations.collect();
        let all = std::mem::take(targets).into_iter().enumerate();
        let remaining = all.filter(|(index, _)| !assigned.contains(index));
        *targets = remaining.map(|(_, target)| target).collect();
        delegations
    }

    /// Removes shards that other VMs of this data centre are to search from `targets`, and returns
    /// them with these VMs, if this VM has too little processor time for all of them.
    pub(super) fn spread(
        &self,
        request: &Spread<'_>,
        targets: &mut Vec<ShardTarget>,
    ) -> Vec<Delegation> {
        let Spread { view, inbound, .. } = request;
        if !may_share_out(targets.len(), request.capacity) {
            return Vec::new();
        }
        let mut inner = self.lock();
        inner.end_exclusions(inbound.started_at);
        let delegates = inner.near_delegates(request);
        let parts = share_out(
            targets.len(),
            request.capacity,
            &delegates,
            &mut rand::rng(),
        );
        let mut rest = std::mem::take(targets).into_iter();
        let mut delegations = Vec::new();
        for (size, vm) in parts {
            let mut part: Vec<ShardTarget> = rest.by_ref().take(size).collect();
            let Some(vm) = vm else {
                targets.extend(part);
                continue;
            };
            for target in &mut part {
                inner.limit_replicas(target, &view.own.centre, inbound);
            }
            delegations.push(Delegation {
                vm,
                targets: part,
                reply_after: request.reply_after,
                spread: false,
            });
        }
        delegations
    }

    /// Chooses a service of a split route.
    pub(super) fn pick_service(&self, route: &RouteId, shares: &[SplitShare]) -> Option<ServiceId> {
        self.lock().splitter.pick(route, shares)
    }

    /// Chooses a VM to pass a request on to, more often one with more processor time; `None` if no VM for
    /// which `is_candidate` returns true can take it.
    pub(super) fn pick_relay(
        &self,
        view: &FleetView,
        is_candidate: impl Fn(&VmId) -> bool,
        now: Instant,
    ) -> Option<VmId> {
        let mut inner = self.lock();
        inner.end_exclusions(now);
        let usable: Vec<_> = view
            .answering_peers()
            .filter(|(vm, member)| inner.is_usable(vm, member) && is_candidate(vm))
            .collect();
        let weight = |(_, member): &(&VmId, &MemberView)| member.capacity.max(1);
        let (vm, _) = usable.choose_weighted(&mut rand::rng(), weight).ok()?;
        Some(VmId::clone(vm))
    }

    /// Reduces the replicas of shards to those that the delegating VM chooses among, too; uses others
    /// for a shard of which `accepts` returns false for all of these.
    pub(super) fn limit_replicas(
        &self,
        view: &FleetView,
        inbound: &Inbound,
        targets: &mut [ShardTarget],
        accepts: impl Fn(&ServerId) -> bool,
    ) {
        let inner = self.lock();
        for target in targets {
            let all = target.replicas.clone();
            inner.limit_replicas(target, &view.own.centre, inbound);
            if target.replicas.iter().any(&accepts) {
                continue;
            }
            let limit = inbound.route.servers as usize;
            let others: Vec<_> = all.into_iter().filter(&accepts).take(limit).collect();
            if !others.is_empty() {
                target.replicas = others;
            }
        }
    }

    /// Excludes a VM that failed a delegation from further ones for [`EXCLUSION_TIME`].
    pub(super) fn exclude_vm(&self, vm: &VmId, now: Instant) {
        let mut inner = self.lock();
        inner.excluded.insert(VmId::clone(vm), now + EXCLUSION_TIME);
    }

    /// Returns the address of a backend server; `None` when the server is gone.
    pub(super) fn address(&self, server: &str, config: &ConfigView) -> Option<ServerAddress> {
        let inner = self.lock();
        let document = inner.registry.get(server)?;
        let routes = config.routes.as_ref()?;
        let policy = routes.services.get(&document.service);
        let limit = policy.map_or(DEFAULT_CONNECTIONS, |policy| policy.connections);
        Some(ServerAddress {
            address: document.address,
            connections: inner.connection_limit(limit, &document.centre),
        })
    }

    /// Returns the data centre of a backend server; `None` when the server is gone.
    pub(super) fn centre(&self, server: &str) -> Option<DataCentre> {
        let inner = self.lock();
        let document = inner.registry.get(server)?;
        Some(DataCentre::clone(&document.centre))
    }

    /// Returns the addresses of some backend servers, chosen at random.
    pub(super) fn sample(&self, count: usize) -> Vec<SocketAddr> {
        let inner = self.lock();
        let servers = inner.registry.services().flat_map(|(_, servers)| servers);
        let chosen = servers.choose_multiple(&mut rand::rng(), count);
        let documents = chosen
            .into_iter()
            .filter_map(|server| inner.registry.get(server));
        documents.map(|document| document.address).collect()
    }

    /// Returns whether a backend server is in an evacuated data centre.
    pub(super) fn is_evacuated(&self, server: &str) -> bool {
        self.lock().registry.is_evacuated(server)
    }

    /// Returns whether the table contains a backend server.
    pub(super) fn contains(&self, server: &str) -> bool {
        self.lock().registry.get(server).is_some()
    }

    /// Returns the most VMs that answered at the same time, at least one.
    pub(super) fn peak_vms(&self) -> u32 {
        self.lock().peak_vms.max(1)
    }

    /// Returns what this VM, which started `uptime` ago, knows about the fleet.
    pub(super) fn fleet_sight(&self, uptime: Duration, now: Instant) -> FleetSight {
        let inner = self.lock();
        let (answering, changed_at) = inner.answering.unwrap_or((1, now));
        FleetSight {
            answering,
            peak: inner.peak_vms,
            stable_for: now.saturating_duration_since(changed_at),
            uptime,
            has_unmet_seed: !inner.unmet_seeds.is_empty(),
        }
    }

    /// Returns the number of backend servers of sharded routes in each data centre.
    pub(super) fn server_counts(&self, config: &ConfigView) -> BTreeMap<DataCentre, u32> {
        let inner = self.lock();
        let mut server_counts = BTreeMap::new();
        let Some(routes) = &config.routes else {
            return server_counts;
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
            for server in inner.registry.usable_servers(service, now) {
                if let Some(document) = inner.registry.get(&server) {
                    let centre = DataCentre::clone(&document.centre);
                    *server_counts.entry(centre).or_default() += 1;
                }
            }
        }
        server_counts
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Each step under the lock leaves the tables consistent, so a poisoned lock is safe to use.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Returns whether the backend servers of a configuration, or of a newer one, were applied.
    fn has_servers_of(&self, config: &ConfigView) -> bool {
        let synced = self.synced.as_ref();
        synced.is_some_and(|synced| {
            let has_routes = match (&synced.routes, &config.routes) {
                (Some(known), Some(routes)) => Arc::ptr_eq(known, routes),
                (known, routes) => known.is_none() && routes.is_none(),
            };
            let is_same = has_routes
                && Arc::ptr_eq(&synced.servers, &config.servers)
                && Arc::ptr_eq(&synced.evacuated, &config.evacuated);
            is_same || config.generation < synced.generation
        })
    }

    /// Returns whether the servers, and all that their listings hold, are the same as before.
    fn has_same_servers(&self, previous: Option<&Synced>) -> bool {
        let (Some(synced), Some(previous)) = (&self.synced, previous) else {
            return false;
        };
        Arc::ptr_eq(&synced.servers, &previous.servers)
            && Arc::ptr_eq(&synced.evacuated, &previous.evacuated)
            && synced.warmups == previous.warmups
    }

    /// Returns whether the VM counts were computed from the members of a view.
    fn has_members_of(&self, view: &FleetView) -> bool {
        let counted = self.members.as_ref();
        counted.is_some_and(|counted| Arc::ptr_eq(counted, &view.members))
    }

    /// Counts the VMs of each data centre if the members may have changed.
    fn count_vms(&mut self, view: &FleetView) {
        if self.has_members_of(view) {
            return;
        }
        self.members = Some(Arc::clone(&view.members));
        self.own_centre = Some(DataCentre::clone(&view.own.centre));
        self.vm_counts.clear();
        for member in view.members.values() {
            if matches!(
                member.reachability,
                Reachability::Alive | Reachability::Leaving
            ) {
                let centre = DataCentre::clone(&member.centre);
                *self.vm_counts.entry(centre).or_default() += 1;
                self.unmet_seeds.remove(&member.peers);
            }
        }
        let answering = self.vm_counts.values().sum();
        self.peak_vms = self.peak_vms.max(answering);
        if self.answering.is_none_or(|(known, _)| known != answering) {
            self.answering = Some((answering, Timer.now()));
        }
    }

    fn connection_limit(&self, limit: u32, centre: &DataCentre) -> u32 {
        let near = self.vm_counts.get(centre).copied().unwrap_or_default();
        let all: u32 = self.vm_counts.values().sum();
        let is_near = self.own_centre.as_ref() == Some(centre);
        let far = all.saturating_sub(near);
        connection_share(limit, is_near, VmCounts { near, far })
    }

    fn is_near(&self, server: &str, centre: &DataCentre) -> bool {
        let document = self.registry.get(server);
        document.is_some_and(|document| document.centre == *centre)
    }

    /// Reduces the replicas of a shard to as many as a request may be sent to, those of a data centre
    /// first.
    fn limit_replicas(&self, target: &mut ShardTarget, centre: &DataCentre, inbound: &Inbound) {
        let is_near = |server: &ServerId| self.is_near(server, centre);
        let limit = inbound.route.servers;
        limit_replicas(&mut target.replicas, is_near, &inbound.attempt, limit);
    }

    /// Returns the data centre of each backend server that is known.
    fn centres(&self, servers: &[ServerId]) -> Vec<DataCentre> {
        let documents = servers
            .iter()
            .filter_map(|server| self.registry.get(server));
        documents
            .map(|document| DataCentre::clone(&document.centre))
            .collect()
    }

    /// Ends the exclusions of VMs whose time is over.
    fn end_exclusions(&mut self, now: Instant) {
        self.excluded.retain(|_, until| *until > now);
    }

    /// Returns whether a VM may be asked for shards or passed requests.
    fn is_usable(&self, vm: &VmId, member: &MemberView) -> bool {
        member.reachability == Reachability::Alive
            && !member.detached
            && !self.excluded.contains_key(vm)
    }

    /// Returns whether a VM may be asked for shards of a search.
    fn is_delegate(&self, request: &Spread<'_>, vm: &VmId, member: &MemberView) -> bool {
        self.is_usable(vm, member) && !request.outdated.contains(vm)
    }

    /// Returns the processor time of the usable VMs of each data centre, in thousandths of a core.
    fn capacities(&self, request: &Spread<'_>) -> BTreeMap<DataCentre, u32> {
        let own = &request.view.own;
        let mut capacities = BTreeMap::from([(DataCentre::clone(&own.centre), request.capacity)]);
        for (vm, member) in request.view.members.iter() {
            if *vm != own.vm && self.is_delegate(request, vm, member) {
                let sum = capacities
                    .entry(DataCentre::clone(&member.centre))
                    .or_default();
                *sum = sum.saturating_add(member.capacity);
            }
        }
        capacities
    }

    /// Returns the other VMs of this data centre that shards may be delegated to, sorted by name.
    fn near_delegates(&self, request: &Spread<'_>) -> Vec<Delegate> {
        let own = &request.view.own;
        let others = request.view.members.iter().filter(|(vm, member)| {
            **vm != own.vm && member.centre == own.centre && self.is_delegate(request, vm, member)
        });
        let mut delegates: Vec<Delegate> = others
            .map(|(vm, member)| Delegate {
                vm: VmId::clone(vm),
                capacity: member.capacity,
            })
            .collect();
        delegates.sort_by(|a, b| a.vm.cmp(&b.vm));
        delegates
    }

    /// Returns the VMs of each data centre that shards may be delegated to: those with the most
    /// capacity among the VMs that answer and are not excluded.
    fn delegates<'a>(&self, request: &Spread<'a>) -> BTreeMap<DataCentre, Vec<&'a VmId>> {
        let mut largest: BTreeMap<&DataCentre, u32> = BTreeMap::new();
        let members = || {
            let members = request.view.members.iter();
            members.filter(|(vm, member)| self.is_delegate(request, vm, member))
        };
        for (_, member) in members() {
            let largest = largest.entry(&member.centre).or_default();
            *largest = (*largest).max(member.capacity);
        }
        let mut delegates: BTreeMap<DataCentre, Vec<&VmId>> = BTreeMap::new();
        for (vm, member) in members() {
            if member.capacity >= largest[&member.centre] {
                let centre = DataCentre::clone(&member.centre);
                delegates.entry(centre).or_default().push(vm);
            }
        }
        delegates
    }

    fn target(&self, shard: ShardId, service: &ServiceId, now: Instant) -> ShardTarget {
        ShardTarget {
            shard,
            service: Some(ServiceId::clone(service)),
            replicas: self.registry.usable_servers(service, now),
        }
    }
}

fn listing(
    registry: &ServerRegistry,
    id: &ServerId,
    own: &DataCentre,
    far_bias: Duration,
    warmups: &WarmupPolicies,
) -> Option<Listing> {
    let document = registry.get(id)?;
    let is_far = document.centre != *own;
    Some(Listing {
        server: ServerId::clone(id),
        slots: document.slots,
        leaving: document.state == ServerState::Leaving,
        evacuated: registry.is_evacuated(id),
        born: document.born,
        warmup: warmups.get(&document.service).copied(),
        cold: document.warmup.0,
        penalty: if is_far { far_bias } else { Duration::ZERO },
        may_pause: true,
    })
}
