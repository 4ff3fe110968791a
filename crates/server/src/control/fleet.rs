//! Membership and ownership in the control thread.

use std::{sync::Arc, time::Instant};

use cassialift_core::{
    fleet::{
        Heartbeat, HeartbeatReply, Node, NodeSettings, ViewBuilder,
        members::{Contact, ListedVm, MemberEvent, PingFailure, TickActions},
        ownership::OwnershipEvent,
    },
    ids::VmId,
    view::{ConfigView, FleetView, Reachability},
};
use cassialift_wire::{
    peer::PingReply,
    platform::{VmEntry, VmList, VmState},
};

use crate::{
    journal::{Journal, Part},
    metrics::Metrics,
};

/// An event for the fleet tables.
#[derive(Debug)]
pub enum FleetEvent {
    /// The VM list was read.
    VmsListed(VmList),
    /// A heartbeat to a peer ended.
    PingEnded {
        /// The peer.
        vm: VmId,
        /// The heartbeat.
        heartbeat: Box<Heartbeat>,
        /// The time at which the heartbeat was sent.
        sent_at: Instant,
        /// The reply, or how the heartbeat failed.
        result: Result<Box<PingReply>, PingFailure>,
    },
    /// A seed replied to a heartbeat.
    SeedReplied {
        /// The time at which the heartbeat was sent.
        sent_at: Instant,
        /// The reply.
        reply: Box<PingReply>,
    },
    /// An indirect probe ended.
    ProbeEnded {
        /// The VM that was probed.
        vm: VmId,
        /// Whether the VM answered.
        answered: bool,
    },
}

/// The fleet tables of the control thread: membership and ownership.
#[derive(Debug)]
pub(super) struct FleetControl {
    node: Node,
    views: ViewBuilder,
    config: Option<Arc<ConfigView>>,
    journal: Arc<Journal>,
    metrics: Arc<Metrics>,
    changed: bool,
}

impl FleetControl {
    pub(super) fn new(
        own: Contact,
        journal: Arc<Journal>,
        metrics: Arc<Metrics>,
        now: Instant,
    ) -> Self {
        let seed = rand::random();
        Self {
            node: Node::new(own, NodeSettings::default(), seed, now),
            views: ViewBuilder::default(),
            config: None,
            journal,
            metrics,
            changed: false,
        }
    }

    /// Applies the configuration in force.
    pub(super) fn set_config(&mut self, config: Option<&Arc<ConfigView>>) {
        let Some(config) = config.filter(|config| !self.has_config(config)) else {
            return;
        };
        let servers = config.indexes.values().flat_map(|index| &index.servers);
        self.node.set_servers(servers);
        self.config = Some(Arc::clone(config));
    }

    /// Returns whether this configuration was the last one applied.
    pub(super) fn has_config(&self, config: &Arc<ConfigView>) -> bool {
        let current = self.config.as_ref();
        current.is_some_and(|current| Arc::ptr_eq(current, config))
    }

    /// Sets the number of requests in flight on this process.
    pub(super) fn set_load(&mut self, load: u32) {
        self.node.set_load(load);
    }

    /// Sets whether this process reaches no backend server.
    pub(super) fn set_detached(&mut self, detached: bool) {
        self.node.set_detached(detached);
    }

    /// Advances all timers and returns the heartbeats and probes to send.
    pub(super) fn tick(&mut self, now: Instant) -> TickActions {
        let actions = self.node.tick(now);
        self.report();
        actions
    }

    /// Returns the next heartbeat to a peer.
    pub(super) fn heartbeat(&mut self, to: &VmId, now: Instant) -> Heartbeat {
        self.node.heartbeat(to, now)
    }

    /// Returns whether a process run has been replaced by a newer one, so that its messages are
    /// ignored.
    pub(super) fn is_former_run(&self, contact: &Contact) -> bool {
        self.node.members().is_former_run(contact)
    }

    /// Handles a peer's heartbeat and returns the reply.
    pub(super) fn on_ping(&mut self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatReply {
        let reply = self.node.receive(heartbeat, now);
        self.report();
        reply
    }

    pub(super) fn apply(&mut self, event: FleetEvent, now: Instant) {
        match event {
            FleetEvent::VmsListed(list) => {
                let list: Vec<_> = list.vms.into_iter().map(listed_vm).collect();
                self.node.set_vm_list(&list, now);
            }
            FleetEvent::PingEnded {
                vm,
                heartbeat,
                sent_at,
                result,
            } => match result {
                Ok(reply) => self
                    .node
                    .receive_reply(&vm, &heartbeat, &reply.reply, sent_at, now),
                Err(failure) => {
                    self.metrics.count(match failure {
                        PingFailure::Refused => "fleet.ping_refused",
                        PingFailure::Timeout => "fleet.ping_timeout",
                    });
                    self.node.record_failure(&vm, failure, now);
                }
            },
            FleetEvent::SeedReplied { reply, .. } => {
                self.node.receive_seed_reply(&reply.reply, now);
            }
            FleetEvent::ProbeEnded { vm, answered } => self.node.record_probe(&vm, answered, now),
        }
        self.report();
    }

    /// Marks this process as leaving and returns the VMs to inform at once: all that may name it to
    /// callers. VMs that are considered dead or refused a connection are left out; if such a VM
    /// still runs but gets no heartbeats from this one, it already suspects this one.
    pub(super) fn leave(&mut self, now: Instant) -> Vec<VmId> {
        self.node.leave(now);
        self.journal.info(
            Part::Fleet,
            &"This VM is leaving and hands over its backend servers.",
        );
        let members = self.node.members().iter();
        let answering = members.filter(|(_, member)| {
            member.reachability != Reachability::Dead && !member.connection_refused
        });
        answering.map(|(vm, _)| VmId::clone(vm)).collect()
    }

    /// Returns whether the members or the ownership changed since the last call, so that traffic
    /// threads need a new view at once.
    pub(super) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Computes the view to publish.
    pub(super) fn view(&mut self, now: Instant) -> FleetView {
        self.views.build(&self.node, self.config.as_ref(), now)
    }

    /// Returns whether the members or their reachability changed in the last view, compared with
    /// the previous call.
    pub(super) fn take_members_changed(&mut self) -> bool {
        self.views.take_members_changed()
    }

    fn report(&mut self) {
        let (members, ownership) = self.node.take_events();
        self.changed |= !members.is_empty() || !ownership.is_empty();
        for event in members {
            self.report_member(&event);
        }
        for event in ownership {
            self.report_ownership(&event);
        }
    }

    fn report_member(&self, event: &MemberEvent) {
        let (counter, is_warning, text) = match event {
            MemberEvent::ReachabilityChanged { vm, reachability } => {
                let (counter, text) = reachability_report(*reachability);
                let is_warning = matches!(reachability, Reachability::Suspect | Reachability::Dead);
                (counter, is_warning, format!("{vm} {text}."))
            }
            MemberEvent::AttachmentChanged { vm, detached: true } => {
                let text = format!("{vm} reaches no backend server.");
                ("fleet.member_detached", true, text)
            }
            MemberEvent::AttachmentChanged {
                vm,
                detached: false,
            } => {
                let text = format!("{vm} reaches backend servers again.");
                ("fleet.member_attached", false, text)
            }
            MemberEvent::Restarted { vm, .. } => {
                let text = format!("The process on {vm} was replaced by another run.");
                ("fleet.member_restarted", false, text)
            }
            MemberEvent::MessageDropped { vm, .. } => {
                let text = format!("Dropped a message from a former run of {vm}.");
                ("fleet.former_run", true, text)
            }
            MemberEvent::Refuted { state } => {
                let text = format!("This VM refuted that it is {state:?}.");
                ("fleet.refuted", true, text)
            }
            MemberEvent::FreezeDetected { gap } => {
                let millis = gap.as_millis();
                let text = format!(
                    "This process did not run for {millis} ms and distrusts all that it believed."
                );
                ("fleet.froze", true, text)
            }
        };
        self.record(counter, is_warning, &text);
    }

    fn report_ownership(&self, event: &OwnershipEvent) {
        let (counter, is_warning, text) = match event {
            OwnershipEvent::Claimed { server } => {
                let text = format!("Claimed {server}, which had no owner.");
                ("fleet.claimed", false, text)
            }
            OwnershipEvent::HandoverAccepted { server, from } => {
                let text = format!("Accepted {server}, which {from} handed over.");
                ("fleet.accepted", false, text)
            }
            OwnershipEvent::HandedOver { server, to } => {
                let text = format!("Handed {server} over to {to}.");
                ("fleet.handed_over", false, text)
            }
            OwnershipEvent::TakenOver { server, from } => {
                let text = format!("Took over {server}, whose owner {from} is gone.");
                ("fleet.taken_over", true, text)
            }
            OwnershipEvent::StandbyActivated { server, owner } => {
                let text = format!("Uses the standby's half of {server}: {owner} is silent.");
                ("fleet.stood_in", true, text)
            }
            OwnershipEvent::LeaseExpired { server, standby } => {
                let text = format!("Uses the owner's half of {server} only: {standby} is silent.");
                ("fleet.lease_lost", true, text)
            }
            OwnershipEvent::FreezeDetected { .. } => {
                let text = "Released every backend server after the pause.".to_owned();
                ("fleet.gave_up", true, text)
            }
        };
        self.record(counter, is_warning, &text);
    }

    fn record(&self, counter: &str, is_warning: bool, text: &str) {
        self.metrics.count(counter);
        if is_warning {
            self.journal.warn(Part::Fleet, &text);
        } else {
            self.journal.info(Part::Fleet, &text);
        }
    }
}

const fn reachability_report(reachability: Reachability) -> (&'static str, &'static str) {
    match reachability {
        Reachability::Unknown => ("fleet.member_unknown", "is not known to answer"),
        Reachability::Alive => ("fleet.member_alive", "answers"),
        Reachability::Suspect => ("fleet.member_suspect", "does not answer this VM"),
        Reachability::Dead => ("fleet.member_dead", "is taken to be gone"),
        Reachability::Leaving => ("fleet.member_leaving", "is leaving"),
    }
}

fn listed_vm(entry: VmEntry) -> ListedVm {
    ListedVm {
        vm: entry.id,
        centre: entry.centre,
        peers: entry.peers,
        callers: entry.callers,
        leaving: match entry.state {
            VmState::Live => false,
            VmState::Leaving => true,
        },
    }
}
