//! Replication of the configuration in one process: its documents, reads of the configuration
//! service and exchanges with peers.

mod evacuations;
mod reader_contact;
mod reads;

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use self::reader_contact::ReaderContact;
use super::{
    Batch, BatchError, Candidate, ConfigAction, ConfigEvent, ConfigSummary, Confirmation, FANOUT,
    Freshness, ReadPlan, ReadSettings, ServiceReachability, Source, StartGate, Store, outranks,
    pulls::{FAR_FANOUT, PullTracker},
};
use crate::{
    evacuation::EvacuatedCentres,
    ids::{DataCentre, Position, VmId},
    view::ConfigView,
};

/// The time without a peer's summary after which a process requests one.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// The number of epochs by which a peer may be ahead. It bounds what one wrong summary can do.
const MAX_EPOCH_STEP: u64 = 16;

/// The state machine that replicates the configuration in one process.
///
/// The caller feeds it replies and the time, and carries out the [`ConfigAction`]s that it returns.
#[derive(Debug)]
pub struct ConfigNode {
    own_vm: VmId,
    centre: DataCentre,
    store: Store,
    /// The evacuated data centres that were last reported.
    evacuated: EvacuatedCentres,
    freshness: Freshness,
    gate: StartGate,
    pulls: PullTracker,
    peers: Vec<Candidate>,
    /// The reachability of the service that each peer last reported.
    reachability: HashMap<VmId, ServiceReachability>,
    /// The reachability of the service from this process.
    service: ServiceReachability,
    /// The time at which this process lost the service; `None` while it can read it.
    lost_at: Option<Instant>,
    /// The time of the last notice that this process lost or regained the service.
    noticed_at: Option<Instant>,
    plan: ReadPlan,
    contact: ReaderContact,
    settings: ReadSettings,
    started_at: Instant,
    /// Whether the last event about the age of the confirmation said that it is overdue.
    is_overdue: bool,
    /// The time of the last summary in a reply, or of the last request for one.
    last_exchange: Instant,
    /// The newest known confirmation by a reader that ranks before this process.
    outranked_at: Option<Instant>,
    random: ChaCha8Rng,
    actions: Vec<ConfigAction>,
    events: Vec<ConfigEvent>,
}

/// Another process of the fleet, as known from membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigPeer {
    /// The VM of the process.
    pub vm: VmId,
    /// The data centre of the process.
    pub centre: DataCentre,
    /// Whether the process is responsive and not leaving.
    pub usable: bool,
}

impl ConfigNode {
    /// Creates the state of a process that has just started and has no documents.
    #[must_use]
    pub fn new(
        own_vm: VmId,
        centre: DataCentre,
        settings: ReadSettings,
        seed: u64,
        now: Instant,
    ) -> Self {
        Self {
            own_vm,
            centre,
            store: Store::default(),
            evacuated: EvacuatedCentres::default(),
            freshness: Freshness::default(),
            gate: StartGate::new(now, settings.start.0),
            pulls: PullTracker::default(),
            peers: Vec::new(),
            reachability: HashMap::new(),
            service: ServiceReachability::Untried,
            lost_at: None,
            noticed_at: None,
            plan: ReadPlan::Idle,
            contact: ReaderContact::default(),
            settings,
            started_at: now,
            is_overdue: false,
            last_exchange: now,
            outranked_at: None,
            random: ChaCha8Rng::seed_from_u64(seed),
            actions: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Returns the documents that this process has.
    #[must_use]
    pub const fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the configuration that requests run under.
    ///
    /// Returns `None` while no configuration has been accepted or the startup gate is closed.
    #[must_use]
    pub fn view(&self) -> Option<&Arc<ConfigView>> {
        self.store.view().filter(|_| self.gate.is_open())
    }

    /// Returns how this process currently reads the configuration service.
    #[must_use]
    pub const fn plan(&self) -> ReadPlan {
        self.plan
    }

    /// Returns the newest known confirmation of the configuration by the platform.
    #[must_use]
    pub const fn confirmation(&self) -> Option<&Confirmation> {
        self.freshness.newest()
    }

    /// Returns the summary that this process sends to peers.
    #[must_use]
    pub fn summary(&self, now: Instant) -> ConfigSummary {
        let reader = self.freshness.newest().map(|newest| &newest.reader);
        ConfigSummary {
            position: self.store.position(),
            digest: self.store.digest(),
            age: self.freshness.age(now).map(Into::into),
            reader: reader.cloned(),
            service: self.service,
        }
    }

    /// Returns the changes after a position, as the reply to a peer's pull.
    #[must_use]
    pub fn changes_since(&self, after: Position, now: Instant) -> Batch {
        self.store.changes_since(after, now)
    }

    /// Replaces the set of other processes.
    pub fn set_peers(&mut self, peers: Vec<ConfigPeer>) {
        let reachability = &self.reachability;
        self.peers = peers
            .into_iter()
            .filter(|peer| peer.vm != self.own_vm)
            .map(|peer| Candidate {
                service: reachability.get(&peer.vm).copied().unwrap_or_default(),
                vm: peer.vm,
                centre: peer.centre,
                usable: peer.usable,
            })
            .collect();
        let is_known = |vm: &VmId| self.peers.iter().any(|peer| peer.vm == *vm);
        if self.reachability.len() > self.peers.len() {
            self.reachability.retain(|vm, _| is_known(vm));
            self.pulls.retain_peers(is_known);
        }
    }

    /// Handles the summary that a peer sent with a heartbeat or with the reply to one.
    ///
    /// `sent_at` is the time at which this process sent the heartbeat that the peer replied to, and
    /// `None` if the peer sent the heartbeat. In that case the summary may have been delayed for
    /// an unknown time, so its age is ignored.
    pub fn handle_summary(
        &mut self,
        vm: &VmId,
        summary: &ConfigSummary,
        sent_at: Option<Instant>,
        now: Instant,
    ) {
        if sent_at.is_some() {
            self.last_exchange = now;
        }
        self.record_reachability(vm, summary.service);
        let mut is_near = false;
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.vm == *vm) {
            peer.service = summary.service;
            is_near = peer.centre == self.centre;
        }
        let own = self.store.position();
        if self.is_implausible(summary.position) {
            let (announced, current) = (summary.position, own);
            self.events.push(ConfigEvent::Refused {
                source: Source::Vm(VmId::clone(vm)),
                error: BatchError::ImplausibleEpoch { announced, current },
            });
            return;
        }
        if let Some(sent_at) = sent_at {
            self.record_reader(vm, summary, sent_at);
        }
        self.pulls
            .record_position(vm, summary.position, is_near, own);
        if summary.position != own {
            self.pull_next(now);
            return;
        }
        if summary.digest != self.store.digest() && self.pulls.start_reconcile(vm, now) {
            self.start_pull(VmId::clone(vm), now);
        }
        if let Some(sent_at) = sent_at {
            self.adopt_confirmation(summary, sent_at);
        }
    }

    /// Records whether a peer can read the service, and reports a change.
    fn record_reachability(&mut self, vm: &VmId, service: ServiceReachability) {
        let before = self.reachability.insert(VmId::clone(vm), service);
        let vm = VmId::clone(vm);
        match (before.unwrap_or_default(), service) {
            (ServiceReachability::Unreachable, ServiceReachability::Unreachable) => {}
            (_, ServiceReachability::Unreachable) => {
                self.events.push(ConfigEvent::PeerServiceLost { vm });
            }
            (ServiceReachability::Unreachable, ServiceReachability::Reached) => {
                self.events.push(ConfigEvent::PeerServiceReached { vm });
            }
            _ => {}
        }
    }

    /// Returns whether a peer's position is too many epochs ahead to be believed. A process that has
    /// no documents yet believes any.
    fn is_implausible(&self, position: Position) -> bool {
        let own = self.store.position();
        let has_documents = own != Position::default();
        has_documents && position.epoch > own.epoch.saturating_add(MAX_EPOCH_STEP)
    }

    /// Sends a heartbeat to a random peer if no reply to a heartbeat has brought a summary for
    /// [`EXCHANGE_INTERVAL`].
    fn request_summary(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_exchange) < EXCHANGE_INTERVAL {
            return;
        }
        self.last_exchange = now;
        let usable: Vec<&Candidate> = self.peers.iter().filter(|peer| peer.usable).collect();
        let chosen = usable.choose(&mut self.random);
        let action = chosen.map(|peer| ConfigAction::Announce(VmId::clone(&peer.vm)));
        self.actions.extend(action);
    }

    /// Handles a peer's reply to a pull that was sent at `sent_at`; `None` if there was no reply.
    pub fn handle_pull_reply(
        &mut self,
        vm: &VmId,
        reply: Option<(ConfigSummary, Batch)>,
        sent_at: Instant,
        now: Instant,
    ) {
        let has_revision = reply
            .as_ref()
            .is_some_and(|(summary, _)| summary.position.revision > 0);
        let reply = reply.filter(|(_, batch)| !self.is_implausible(batch.position()));
        if let Some((summary, batch)) = reply {
            let position = batch.position();
            self.apply(batch, &Source::Vm(VmId::clone(vm)), now);
            if summary.position == position && position == self.store.position() {
                self.adopt_confirmation(&summary, sent_at);
            }
            self.check_pulled_position(vm, now);
        } else {
            self.pulls.record_failure(vm);
        }
        self.gate.record_reply(vm, has_revision);
    }

    /// Reports a peer that did not serve the position that it had announced.
    fn check_pulled_position(&mut self, vm: &VmId, now: Instant) {
        let current = self.store.position();
        if let Some(announced) = self.pulls.record_reply(vm, current, now) {
            let vm = VmId::clone(vm);
            self.events.push(ConfigEvent::RevisionNotServed {
                vm,
                announced,
                current,
            });
        }
    }

    /// Discards what may have become outdated while the process was frozen: the newest
    /// confirmation, and the newest one by a reader that ranks before this process.
    pub fn discard_confirmation(&mut self) {
        self.freshness.clear();
        self.contact.clear();
        self.outranked_at = None;
        self.events.push(ConfigEvent::FreezeDetected);
    }

    /// Runs everything that depends on time; to be called regularly.
    pub fn tick(&mut self, now: Instant) {
        let released = self.store.release_retained(now);
        self.report_released(&released);
        self.report_evacuations(&Source::Platform);
        self.query_peers(now);
        self.request_summary(now);
        self.ask_reader(now);
        self.pull_next(now);
        self.update_gate(now);
        self.update_plan(now);
        self.repeat_notice(now);
        self.update_age(now);
    }

    /// Removes and returns the actions to carry out.
    pub fn take_actions(&mut self) -> Vec<ConfigAction> {
        std::mem::take(&mut self.actions)
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<ConfigEvent> {
        std::mem::take(&mut self.events)
    }

    /// Applies a batch; returns `false` if the batch was refused.
    fn apply(&mut self, batch: Batch, source: &Source, now: Instant) -> bool {
        let changes = batch.documents.len();
        let result = self.store.apply(batch, source, now);
        let source = source.clone();
        let change = match result {
            Ok(change) => change,
            Err(error) => {
                self.events.push(ConfigEvent::Refused { source, error });
                return false;
            }
        };
        let position = self.store.position();
        let (revision, retained) = (position.revision, self.store.retained_count());
        if let Some(from) = change.restored_from {
            self.events.push(ConfigEvent::Restored {
                from,
                to: position,
                source: source.clone(),
                retained,
            });
        } else {
            self.report_released(&change.released);
        }
        if change.retained > 0 {
            self.events.push(ConfigEvent::Retained {
                count: change.retained,
                source: source.clone(),
            });
        }
        self.report_evacuations(&source);
        let rejected = change.rejected.into_iter().map(ConfigEvent::Rejected);
        self.events.extend(rejected);
        if change.preset_changed
            && let Some(view) = self.store.view()
        {
            self.events.push(ConfigEvent::InForce {
                preset: Arc::clone(&view.preset),
                revision,
                source: source.clone(),
            });
        }
        if change.advanced {
            let event = ConfigEvent::Advanced {
                revision,
                changes,
                source,
            };
            self.events.push(event);
            self.announce();
        }
        true
    }

    /// Reports the documents of earlier epochs that are no longer used.
    fn report_released(&mut self, released: &[String]) {
        let Some(key) = released.first() else {
            return;
        };
        self.events.push(ConfigEvent::Released {
            count: released.len(),
            key: key.clone(),
            remaining: self.store.retained_count(),
        });
    }

    /// Announces the new revision to [`FANOUT`] random peers, most of them of this data centre.
    fn announce(&mut self) {
        let usable = self.peers.iter().filter(|peer| peer.usable);
        let (near, far): (Vec<&Candidate>, Vec<&Candidate>) =
            usable.partition(|peer| peer.centre == self.centre);
        let far_count = FANOUT.saturating_sub(near.len()).max(FAR_FANOUT);
        let near_count = FANOUT.saturating_sub(far_count.min(far.len()));
        let near = near.choose_multiple(&mut self.random, near_count);
        let far = far.choose_multiple(&mut self.random, far_count);
        let actions = near
            .chain(far)
            .map(|peer| ConfigAction::Announce(VmId::clone(&peer.vm)));
        self.actions.extend(actions);
    }

    /// Pulls from the peer with the newest revision, if a peer is ahead and no recent pull is
    /// in flight.
    fn pull_next(&mut self, now: Instant) {
        if let Some(vm) = self.pulls.next_peer(self.store.position(), now) {
            self.start_pull(vm, now);
        }
    }

    fn start_pull(&mut self, vm: VmId, now: Instant) {
        let after = self.store.position();
        self.pulls.record_pull(VmId::clone(&vm), now);
        self.actions.push(ConfigAction::Pull { vm, after });
    }

    /// Pulls from a few peers before the first request is admitted.
    ///
    /// The first reply brings all documents, so that until then only one more peer is queried at a
    /// time, a near one if there is one.
    fn query_peers(&mut self, now: Instant) {
        let mut missing = self.gate.peers_to_query();
        if missing == 0 {
            return;
        }
        let is_new = |peer: &&Candidate| peer.usable && !self.gate.has_queried(&peer.vm);
        let mut new_peers: Vec<&Candidate> = self.peers.iter().filter(is_new).collect();
        if self.store.position() == Position::default() {
            missing = missing.min(1);
            let is_near = |peer: &&Candidate| peer.centre == self.centre;
            if new_peers.iter().any(is_near) {
                new_peers.retain(is_near);
            }
        }
        let chosen: Vec<VmId> = new_peers
            .choose_multiple(&mut self.random, missing)
            .map(|peer| VmId::clone(&peer.vm))
            .collect();
        for vm in chosen {
            self.gate.record_query(VmId::clone(&vm));
            self.start_pull(vm, now);
        }
    }

    /// Adopts the confirmation that a peer reports.
    ///
    /// Its age is subtracted from the time at which the peer's reply was requested, so the
    /// confirmation never counts as newer than it is.
    fn adopt_confirmation(&mut self, summary: &ConfigSummary, sent_at: Instant) {
        let (Some(age), Some(reader)) = (summary.age, &summary.reader) else {
            return;
        };
        let Some(at) = sent_at.checked_sub(Duration::from(age)) else {
            return;
        };
        if outranks(reader, &self.own_vm) {
            self.outranked_at = self.outranked_at.max(Some(at));
        }
        self.freshness.confirm(at, VmId::clone(reader));
    }

    fn update_gate(&mut self, now: Instant) {
        let was_open = self.gate.is_open();
        let has_config = self.store.view().is_some();
        let confirmed = self.freshness.newest().is_some();
        self.gate.update(has_config, confirmed, now);
        if self.gate.is_open() && !was_open {
            let revision = self.store.revision();
            self.events.push(ConfigEvent::Started(revision));
        }
    }

    fn update_age(&mut self, now: Instant) {
        let (age, stale) = (self.freshness.age(now), self.settings.stale.0);
        match (self.is_overdue, self.freshness.newest()) {
            (false, Some(_)) if age.is_some_and(|age| age > 2 * stale) => {
                self.is_overdue = true;
                self.events
                    .extend(age.map(ConfigEvent::ConfirmationOverdue));
            }
            (true, Some(newest)) if age.is_some_and(|age| age < stale) => {
                self.is_overdue = false;
                let reader = VmId::clone(&newest.reader);
                self.events.push(ConfigEvent::Confirmed(reader));
            }
            _ => {}
        }
    }
}
