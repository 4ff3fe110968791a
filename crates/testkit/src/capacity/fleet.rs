//! Measures the cost of membership and ownership for one process.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use cassialift_core::{
    fleet::{
        Heartbeat, HeartbeatReply, Node, NodeSettings, ViewBuilder,
        members::{Attachment, Contact, ListedVm, MemberSettings, MemberStatus},
        ownership::{OwnershipReply, OwnershipRequest, OwnershipSettings, Role, ServerKey},
    },
    ids::{DataCentre, VmId},
    index::ServerEntry,
    view::FleetView,
};

use super::{
    bytes::heartbeat_bytes,
    config,
    memory::resident_bytes,
    roles::{MeasuredVm, assign_roles, pick_measured, standby_servers},
};

/// Number of data centres that VMs and backend servers are spread over.
pub(super) const CENTRES: u32 = 10;
/// Simulated time between two ticks.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Simulated time before the measurement.
const WARM_UP_TIME: Duration = Duration::from_mins(2);
/// Simulated duration of the measurement.
const MEASURED_TIME: Duration = Duration::from_secs(30);

/// The size of a fleet and the VM to measure.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// The number of VMs.
    pub vms: u32,
    /// The number of backend servers.
    pub servers: u32,
    /// The VM to measure.
    pub measured: MeasuredVm,
}

/// The cost of membership and ownership for one process, for each second unless stated otherwise.
#[derive(Clone, Copy, Debug)]
pub struct FleetCost {
    /// The size of the fleet.
    pub size: FleetSize,
    /// The number of backend servers that the process owns (not a rate).
    pub owned_servers: usize,
    /// The time spent on ticks, messages and building the published view.
    pub processor_time: Duration,
    /// The time spent on building the published view.
    pub view_time: Duration,
    /// The number of heartbeats sent.
    pub sent_rate: f64,
    /// The number of heartbeats received.
    pub received_rate: f64,
    /// The bytes of heartbeats and replies as frames, in both directions, without TCP and IP
    /// headers.
    pub byte_rate: f64,
    /// The time spent once, after the death of a VM, until all backend servers are ranked anew.
    pub loss_time: Duration,
    /// The resident memory of the tables in bytes (not a rate).
    pub memory_bytes: u64,
}

/// Measures one process of a fleet in which every peer answers.
///
/// # Errors
/// Returns an error if the resident memory cannot be read.
pub fn fleet_cost(size: FleetSize) -> io::Result<FleetCost> {
    let before = resident_bytes()?;
    let mut run = FleetRun::new(size);
    run.advance(WARM_UP_TIME);
    run.reset_counters();
    run.advance(MEASURED_TIME);
    let memory_bytes = resident_bytes()?.saturating_sub(before);
    let seconds = MEASURED_TIME.as_secs_f64();
    let span = u32::try_from(MEASURED_TIME.as_secs()).unwrap_or(u32::MAX);
    let (processor_time, view_time) = (run.processor_time / span, run.view_time / span);
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    let [sent_rate, received_rate, byte_rate] = [
        run.sent_heartbeats,
        run.received_heartbeats,
        run.frame_bytes,
    ]
    .map(|count| count as f64 / seconds);
    Ok(FleetCost {
        size,
        owned_servers: run.count_owned(),
        processor_time,
        view_time,
        sent_rate,
        received_rate,
        byte_rate,
        loss_time: run.remove_one_vm(),
        memory_bytes,
    })
}

/// The measured process and the simulated peers that answer it.
struct FleetRun {
    node: Node,
    views: ViewBuilder,
    /// The last view, kept alive while the next one is built, as by traffic in the server.
    last_view: Option<FleetView>,
    contacts: BTreeMap<VmId, Contact>,
    vm_list: Vec<ListedVm>,
    servers: Vec<ServerEntry>,
    /// The servers for which this process is the standby, by their owner.
    standby_servers: BTreeMap<VmId, Vec<ServerKey>>,
    sequences: BTreeMap<VmId, u64>,
    now: Instant,
    elapsed: Duration,
    next_peer: usize,
    processor_time: Duration,
    view_time: Duration,
    sent_heartbeats: u64,
    received_heartbeats: u64,
    frame_bytes: u64,
}

impl FleetRun {
    fn new(size: FleetSize) -> Self {
        let now = Instant::now();
        let mut contacts: Vec<Contact> = (0..size.vms).map(contact).collect();
        let servers: Vec<ServerEntry> = (0..size.servers)
            .map(|number| config::server(0, number))
            .collect();
        let assignments = assign_roles(&contacts, &servers);
        let measured = pick_measured(&contacts, &assignments, size.measured);
        contacts.swap(0, measured);
        let vm_list: Vec<ListedVm> = contacts.iter().map(listed_vm).collect();
        let mut node = Node::new(contacts[0].clone(), NodeSettings::default(), 1, now);
        node.set_servers(servers.iter());
        node.set_vm_list(&vm_list, now);
        let standby_servers = standby_servers(&contacts[0].vm, &assignments);
        Self {
            node,
            views: ViewBuilder::default(),
            last_view: None,
            contacts: contacts
                .into_iter()
                .skip(1)
                .map(|contact| (VmId::clone(&contact.vm), contact))
                .collect(),
            vm_list,
            servers,
            standby_servers,
            sequences: BTreeMap::new(),
            now,
            elapsed: Duration::ZERO,
            next_peer: 0,
            processor_time: Duration::ZERO,
            view_time: Duration::ZERO,
            sent_heartbeats: 0,
            received_heartbeats: 0,
            frame_bytes: 0,
        }
    }

    fn reset_counters(&mut self) {
        self.processor_time = Duration::ZERO;
        self.view_time = Duration::ZERO;
        self.sent_heartbeats = 0;
        self.received_heartbeats = 0;
        self.frame_bytes = 0;
    }

    fn count_owned(&self) -> usize {
        let ownership = self.node.ownership();
        let owned = self.servers.iter().filter(|server| {
            let role = ownership.role(&server.id);
            matches!(role, Some(Role::Owner { .. }))
        });
        owned.count()
    }

    fn advance(&mut self, span: Duration) {
        // Peers from which no heartbeat has been received yet send their first one.
        let contacts: Vec<Contact> = self.contacts.values().cloned().collect();
        for contact in contacts {
            if self
                .node
                .members()
                .get(&contact.vm)
                .is_none_or(|member| member.last_heard.is_none())
            {
                self.receive_heartbeat(&contact, Vec::new());
            }
        }
        let end = self.now + span;
        while self.now < end {
            self.now += TICK_PERIOD;
            self.tick();
            self.build_view();
            self.receive_heartbeats();
        }
    }

    fn tick(&mut self) {
        let started = Instant::now();
        let actions = self.node.tick(self.now);
        self.processor_time += started.elapsed();
        for vm in actions.pings {
            self.send_heartbeat(&vm);
        }
        drop(self.node.take_events());
    }

    /// Sends a heartbeat to a peer and handles a reply that grants all ownership requests.
    fn send_heartbeat(&mut self, vm: &VmId) {
        let Some(contact) = self.contacts.get(vm).cloned() else {
            return;
        };
        let started = Instant::now();
        let heartbeat = self.node.heartbeat(vm, self.now);
        let mut stands = heartbeat.ownership.holds.clone();
        stands.extend(&heartbeat.ownership.wants);
        let reply = HeartbeatReply {
            from: contact,
            status: status(),
            updates: Vec::new(),
            ownership: Some(OwnershipReply {
                stands,
                denies: Vec::new(),
            }),
        };
        self.node
            .receive_reply(vm, &heartbeat, &reply, self.now, self.now);
        self.processor_time += started.elapsed();
        self.sent_heartbeats += 1;
        self.frame_bytes += heartbeat_bytes(&heartbeat, &reply);
    }

    /// Handles the heartbeats that are due: from ownership partners, and from one member in turn.
    fn receive_heartbeats(&mut self) {
        let members = MemberSettings::default().ping_period;
        let partners = OwnershipSettings::default().request_period;
        let before = self.elapsed;
        self.elapsed += TICK_PERIOD;
        if periods(before, members) != periods(self.elapsed, members) {
            let peers = self.contacts.len();
            let peer = self.contacts.values().nth(self.next_peer % peers).cloned();
            self.next_peer += 1;
            if let Some(contact) = peer {
                let holds = self.standby_servers.get(&contact.vm).cloned();
                self.receive_heartbeat(&contact, holds.unwrap_or_default());
            }
        }
        if periods(before, partners) != periods(self.elapsed, partners) {
            for (vm, holds) in self.standby_servers.clone() {
                if let Some(contact) = self.contacts.get(&vm).cloned() {
                    self.receive_heartbeat(&contact, holds);
                }
            }
        }
    }

    fn receive_heartbeat(&mut self, from: &Contact, holds: Vec<ServerKey>) {
        let sequence = self.sequences.entry(VmId::clone(&from.vm)).or_default();
        *sequence += 1;
        let heartbeat = Heartbeat {
            from: from.clone(),
            status: status(),
            updates: Vec::new(),
            ownership: OwnershipRequest {
                sequence: *sequence,
                holds,
                ..OwnershipRequest::default()
            },
        };
        let started = Instant::now();
        let reply = self.node.receive(&heartbeat, self.now);
        self.processor_time += started.elapsed();
        self.received_heartbeats += 1;
        self.frame_bytes += heartbeat_bytes(&heartbeat, &reply);
    }

    /// Builds the view that the control thread publishes on each tick.
    fn build_view(&mut self) {
        let started = Instant::now();
        let view = self.views.build(&self.node, None, self.now);
        self.last_view = Some(view);
        let spent = started.elapsed();
        self.processor_time += spent;
        self.view_time += spent;
    }

    /// Removes one VM from the VM list and returns the time that the process spends on the change.
    fn remove_one_vm(&mut self) -> Duration {
        let Some(lost) = self.contacts.keys().next().cloned() else {
            return Duration::ZERO;
        };
        self.vm_list.retain(|listed| listed.vm != lost);
        let started = Instant::now();
        let failure = cassialift_core::fleet::members::PingFailure::Refused;
        self.node.record_failure(&lost, failure, self.now);
        self.node.set_vm_list(&self.vm_list, self.now);
        drop(self.node.tick(self.now));
        started.elapsed()
    }
}

const fn status() -> MemberStatus {
    MemberStatus {
        leaving: false,
        serving: true,
        load: 10,
        attachment: Attachment {
            version: 0,
            detached: false,
        },
    }
}

fn contact(number: u32) -> Contact {
    let [_, _, high, low] = number.to_be_bytes();
    let ip = Ipv4Addr::new(10, 255, high, low);
    Contact {
        vm: format!("vm-{number}").into(),
        incarnation: u64::from(number) + 1,
        centre: config::centre(number),
        peers: SocketAddr::from((ip, 8_001)),
        callers: SocketAddr::from((ip, 8_000)),
        capacity: 0,
    }
}

fn listed_vm(contact: &Contact) -> ListedVm {
    ListedVm {
        vm: VmId::clone(&contact.vm),
        centre: DataCentre::clone(&contact.centre),
        peers: contact.peers,
        callers: contact.callers,
        leaving: false,
    }
}

/// Returns the number of whole periods in a time.
fn periods(time: Duration, period: Duration) -> u128 {
    time.as_nanos() / period.as_nanos()
}
