//! A simulated fleet: a few processes, the links between them and a VM list that lags.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::super::{
    Heartbeat, Node, NodeSettings,
    members::{Contact, ListedVm, PingFailure},
};
use crate::{
    ids::VmId,
    index::{ServerEntry, ServerState},
};

const STEP: Duration = Duration::from_millis(50);
const REPLY_LIMIT: Duration = Duration::from_millis(400);

pub(super) struct Process {
    pub(super) node: Node,
    pub(super) frozen: bool,
    pub(super) killed: bool,
}

/// A heartbeat in flight, or lost and waiting for its sender's timeout.
struct PendingHeartbeat {
    to: VmId,
    from: VmId,
    heartbeat: Heartbeat,
    sent_at: Instant,
    due_at: Instant,
    lost: bool,
}

/// A simulated fleet: a few processes, the links between them and a VM list that lags.
pub(super) struct Simulation {
    pub(super) now: Instant,
    pub(super) rng: ChaCha8Rng,
    pub(super) processes: BTreeMap<VmId, Process>,
    pub(super) list: Vec<ListedVm>,
    /// The ordered pairs of VMs whose messages are lost.
    pub(super) cuts: Vec<(VmId, VmId)>,
    pending: Vec<PendingHeartbeat>,
    pub(super) servers: Vec<ServerEntry>,
    incarnations: u64,
}

impl Simulation {
    pub(super) fn new(seed: u64, servers: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let servers = (0..servers).map(|index| server(index, &mut rng)).collect();
        Self {
            now: Instant::now(),
            rng,
            processes: BTreeMap::new(),
            list: Vec::new(),
            cuts: Vec::new(),
            pending: Vec::new(),
            servers,
            incarnations: 0,
        }
    }

    pub(super) fn start(&mut self, index: usize) -> VmId {
        self.incarnations += 1;
        let entry = listed(index);
        let own = Contact {
            vm: VmId::clone(&entry.vm),
            incarnation: self.incarnations,
            centre: entry.centre,
            peers: entry.peers,
            callers: entry.callers,
            capacity: 0,
        };
        let seed = self.rng.random();
        let mut node = Node::new(own, NodeSettings::default(), seed, self.now);
        node.set_vm_list(&self.list, self.now);
        node.set_servers(self.servers.iter());
        let process = Process {
            node,
            frozen: false,
            killed: false,
        };
        self.processes.insert(VmId::clone(&entry.vm), process);
        entry.vm
    }

    pub(super) fn publish(&mut self, list: Vec<ListedVm>) {
        self.list = list;
        for process in self.processes.values_mut().filter(|one| !one.frozen) {
            process.node.set_vm_list(&self.list, self.now);
        }
    }

    fn is_cut(&self, from: &VmId, to: &VmId) -> bool {
        self.cuts.iter().any(|(a, b)| a == from && b == to)
    }

    fn is_running(&self, vm: &VmId) -> bool {
        let process = self.processes.get(vm);
        process.is_some_and(|one| !one.frozen && !one.killed)
    }

    pub(super) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
            self.check();
        }
    }

    pub(super) fn step(&mut self) {
        self.now += STEP;
        let names: Vec<_> = self.processes.keys().cloned().collect();
        for vm in names
            .iter()
            .filter(|vm| self.is_running(vm))
            .cloned()
            .collect::<Vec<_>>()
        {
            self.send(&vm);
        }
        let (due, rest) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|delivery| delivery.due_at <= self.now);
        self.pending = rest;
        for delivery in due {
            self.deliver(delivery);
        }
    }

    fn send(&mut self, vm: &VmId) {
        let Some(process) = self.processes.get_mut(vm) else {
            return;
        };
        let actions = process.node.tick(self.now);
        for to in actions.pings {
            let heartbeat = process.node.heartbeat(&to, self.now);
            let delay = STEP * self.rng.random_range(0..3);
            self.pending.push(PendingHeartbeat {
                to,
                from: VmId::clone(vm),
                heartbeat,
                sent_at: self.now,
                due_at: self.now + delay,
                lost: false,
            });
        }
        for probe in actions.probes {
            let answered = self.is_running(&probe.via)
                && self.is_running(&probe.target)
                && !self.is_cut(vm, &probe.via)
                && !self.is_cut(&probe.via, vm)
                && !self.is_cut(&probe.via, &probe.target)
                && !self.is_cut(&probe.target, &probe.via);
            if let Some(process) = self.processes.get_mut(vm) {
                process.node.record_probe(&probe.target, answered, self.now);
            }
        }
    }

    fn deliver(&mut self, mut delivery: PendingHeartbeat) {
        let (from, to) = (VmId::clone(&delivery.from), VmId::clone(&delivery.to));
        if delivery.lost {
            self.fail(&from, &to, PingFailure::Timeout);
            return;
        }
        let cut = self.is_cut(&from, &to);
        if !cut && self.processes.get(&to).is_none_or(|one| one.killed) {
            self.fail(&from, &to, PingFailure::Refused);
            return;
        }
        if !cut && self.processes[&to].frozen {
            // A frozen process reads the heartbeat once it resumes.
            delivery.due_at = self.now + STEP;
            self.pending.push(delivery);
            return;
        }
        let now = self.now;
        let reply = match self.processes.get_mut(&to) {
            Some(process) if !cut => Some(process.node.receive(&delivery.heartbeat, now)),
            Some(_) | None => None,
        };
        let Some(reply) = reply.filter(|_| !self.is_cut(&to, &from)) else {
            delivery.due_at = delivery.sent_at + REPLY_LIMIT;
            delivery.lost = true;
            self.pending.push(delivery);
            return;
        };
        if !self.is_running(&from) || now.duration_since(delivery.sent_at) > REPLY_LIMIT {
            self.fail(&from, &to, PingFailure::Timeout);
            return;
        }
        if let Some(process) = self.processes.get_mut(&from)
            && process.node.members().own().incarnation == delivery.heartbeat.from.incarnation
        {
            process
                .node
                .receive_reply(&to, &delivery.heartbeat, &reply, delivery.sent_at, now);
        }
    }

    fn fail(&mut self, from: &VmId, to: &VmId, failure: PingFailure) {
        if self.is_running(from)
            && let Some(process) = self.processes.get_mut(from)
        {
            process.node.record_failure(to, failure, self.now);
        }
    }

    /// Asserts that the shares of each backend server do not add up to more than its slots and
    /// connections, and that ticks skip no row that needs them.
    pub(super) fn check(&self) {
        for process in self.processes.values() {
            assert!(process.node.ownership().visits_all());
        }
        for server in &self.servers {
            let (mut slots, mut connections) = (0, 0);
            for process in self.processes.values().filter(|one| !one.killed) {
                let share = process.node.ownership().share(&server.id, self.now);
                slots += share.slots;
                connections += share.connections;
            }
            assert!(
                slots <= server.slots && connections <= server.connections,
                "{}: {slots} of {} slots, {connections} of {} connections: {:#?}",
                server.id,
                server.slots,
                server.connections,
                self.roles(&server.id),
            );
        }
    }

    fn roles(&self, server: &str) -> Vec<String> {
        let role = |(vm, process): (&VmId, &Process)| {
            let ownership = process.node.ownership();
            let (share, role) = (ownership.share(server, self.now), ownership.role(server));
            format!("{vm}: {share:?} {role:?}")
        };
        self.processes.iter().map(role).collect()
    }

    /// Returns the running processes that may use slots of a backend server.
    pub(super) fn users(&self, server: &str) -> Vec<VmId> {
        let has_slots =
            |process: &Process| process.node.ownership().share(server, self.now).slots > 0;
        let running = self
            .processes
            .iter()
            .filter(|(_, one)| !one.killed && !one.frozen);
        let users = running.filter(|(_, one)| has_slots(one));
        users.map(|(vm, _)| VmId::clone(vm)).collect()
    }

    /// Returns a backend server whose slots are not all used by exactly one process, if there is
    /// one.
    pub(super) fn without_sole_user(&self) -> Option<&ServerEntry> {
        self.servers.iter().find(|server| {
            let full = |process: &Process| {
                let share = process.node.ownership().share(&server.id, self.now);
                !process.killed && share.slots == server.slots
            };
            self.processes.values().filter(|one| full(one)).count() != 1
        })
    }

    pub(super) fn run_until_owned(&mut self, limit: Duration) {
        let end = self.now + limit;
        while let Some(server) = self.without_sole_user() {
            assert!(self.now < end, "{server:?}: {:#?}", self.roles(&server.id));
            self.step();
            self.check();
        }
    }

    pub(super) fn cut(&mut self, from: &VmId, to: &VmId) {
        self.cuts.push((VmId::clone(from), VmId::clone(to)));
    }

    pub(super) fn split(&mut self, mask: u32) {
        let names: Vec<_> = self.processes.keys().cloned().collect();
        for (i, a) in names.iter().enumerate() {
            for (j, b) in names.iter().enumerate() {
                if (mask >> i) & 1 != (mask >> j) & 1 {
                    self.cut(a, b);
                }
            }
        }
    }
}

pub(super) fn listed(index: usize) -> ListedVm {
    let port = 10_000 + u16::try_from(index).unwrap();
    ListedVm {
        vm: format!("vm-{index}").into(),
        centre: format!("dc-{}", index % 2).into(),
        peers: SocketAddr::from(([127, 0, 0, 1], port)),
        callers: SocketAddr::from(([127, 0, 0, 2], port)),
        leaving: false,
    }
}

fn server(index: usize, rng: &mut ChaCha8Rng) -> ServerEntry {
    let slots = rng.random_range(2..7);
    ServerEntry {
        id: format!("server-{index}").into(),
        address: SocketAddr::from(([127, 0, 0, 3], 20_000)),
        centre: format!("dc-{}", index % 2).into(),
        slots,
        connections: slots + rng.random_range(0..20),
        state: ServerState::Serving,
    }
}
