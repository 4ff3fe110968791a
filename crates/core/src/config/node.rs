//! One process's part in the configuration: what it holds, how it reads, whom it tells.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use super::{
    Batch, Candidate, ConfigAction, ConfigEvent, ConfigSummary, Confirmation, FANOUT, Freshness,
    ReadInput, ReadPlan, ReadSettings, ServiceReachability, Source, StartGate, Store, outranks,
    plan_reads, spread::Spread,
};
use crate::{
    ids::{DataCentre, Revision, VmId},
    view::ConfigView,
};

/// How long a process goes without a peer's note before it asks for one.
const NOTE_PERIOD: Duration = Duration::from_millis(500);

/// One process's part in the configuration.
#[derive(Debug)]
pub struct ConfigNode {
    own: VmId,
    centre: DataCentre,
    store: Store,
    freshness: Freshness,
    gate: StartGate,
    spread: Spread,
    peers: Vec<Candidate>,
    said: HashMap<VmId, ServiceReachability>,
    service: ServiceReachability,
    plan: ReadPlan,
    settings: ReadSettings,
    aged: bool,
    exchanged: Instant,
    outranked: Option<Instant>,
    random: ChaCha8Rng,
    actions: Vec<ConfigAction>,
    events: Vec<ConfigEvent>,
}

/// A process of the fleet, as membership knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigPeer {
    /// Its VM.
    pub vm: VmId,
    /// Its data centre.
    pub centre: DataCentre,
    /// Whether it answers and stays.
    pub usable: bool,
}

impl ConfigNode {
    /// Makes the part of a process that has just started and holds nothing.
    #[must_use]
    pub fn new(
        own: VmId,
        centre: DataCentre,
        settings: ReadSettings,
        seed: u64,
        now: Instant,
    ) -> Self {
        Self {
            own,
            centre,
            store: Store::default(),
            freshness: Freshness::default(),
            gate: StartGate::new(now, settings.start.0),
            spread: Spread::default(),
            peers: Vec::new(),
            said: HashMap::new(),
            service: ServiceReachability::Untried,
            plan: ReadPlan::Idle,
            settings,
            aged: false,
            exchanged: now,
            outranked: None,
            random: ChaCha8Rng::seed_from_u64(seed),
            actions: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Returns the documents held.
    #[must_use]
    pub const fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the configuration that requests run under; none while nothing may be used yet.
    #[must_use]
    pub fn view(&self) -> Option<&Arc<ConfigView>> {
        self.store.view().filter(|_| self.gate.is_open())
    }

    /// Returns how the process reads the service at present.
    #[must_use]
    pub const fn plan(&self) -> ReadPlan {
        self.plan
    }

    /// Returns the newest confirmation that is known.
    #[must_use]
    pub const fn confirmed(&self) -> Option<&Confirmation> {
        self.freshness.newest()
    }

    /// Returns what to tell peers.
    #[must_use]
    pub fn summary(&self, now: Instant) -> ConfigSummary {
        let reader = self.freshness.newest().map(|newest| &newest.reader);
        ConfigSummary {
            revision: self.store.revision(),
            digest: self.store.digest(),
            age: self.freshness.age(now).map(Into::into),
            reader: reader.cloned(),
            service: self.service,
        }
    }

    /// Returns the changes after a revision, for a peer.
    #[must_use]
    pub fn changes_since(&self, after: Revision) -> Batch {
        self.store.changes_since(after)
    }

    /// Takes in which other processes there are.
    pub fn set_peers(&mut self, peers: Vec<ConfigPeer>) {
        let said = &self.said;
        self.peers = peers
            .into_iter()
            .filter(|peer| peer.vm != self.own)
            .map(|peer| Candidate {
                service: said.get(&peer.vm).copied().unwrap_or_default(),
                vm: peer.vm,
                centre: peer.centre,
                usable: peer.usable,
            })
            .collect();
        let known = |vm: &VmId| self.peers.iter().any(|peer| peer.vm == *vm);
        if self.said.len() > self.peers.len() {
            self.said.retain(|vm, _| known(vm));
            self.spread.retain(known);
        }
    }

    /// Takes in what a peer said with a heartbeat.
    ///
    /// `sent` is when this process sent the heartbeat that the peer replied to. Without it the
    /// note may have waited anywhere, so its age is not believed.
    pub fn handle_summary(
        &mut self,
        vm: &VmId,
        note: &ConfigSummary,
        sent: Option<Instant>,
        now: Instant,
    ) {
        if sent.is_some() {
            self.exchanged = now;
        }
        self.said.insert(VmId::clone(vm), note.service);
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.vm == *vm) {
            peer.service = note.service;
        }
        let held = self.store.revision();
        self.spread.heard(vm, note.revision, held);
        if note.revision != held {
            self.pull_next(now);
            return;
        }
        if note.digest != self.store.digest() && self.spread.reconciles(vm, now) {
            self.start_pull(VmId::clone(vm), now);
        }
        if let Some(sent) = sent {
            self.adopt(note, sent);
        }
    }

    /// Sends a heartbeat of its own when no reply to one has brought a note for a while.
    fn ask_for_note(&mut self, now: Instant) {
        if now.saturating_duration_since(self.exchanged) < NOTE_PERIOD {
            return;
        }
        self.exchanged = now;
        let usable: Vec<&Candidate> = self.peers.iter().filter(|peer| peer.usable).collect();
        let chosen = usable.choose(&mut self.random);
        let action = chosen.map(|peer| ConfigAction::Announce(VmId::clone(&peer.vm)));
        self.actions.extend(action);
    }

    /// Takes in a peer's answer to a pull that was sent at `sent`; none if it did not answer.
    pub fn handle_pull_reply(
        &mut self,
        vm: &VmId,
        push: Option<(ConfigSummary, Batch)>,
        sent: Instant,
        now: Instant,
    ) {
        let answered = push.as_ref().is_some_and(|(note, _)| note.revision > 0);
        if let Some((note, batch)) = push {
            let revision = batch.revision;
            self.apply(batch, &Source::Vm(VmId::clone(vm)), now);
            if note.revision == revision && revision == self.store.revision() {
                self.adopt(&note, sent);
            }
            self.check_served(vm, now);
        } else {
            self.spread.failed(vm);
        }
        self.gate.answered(vm, answered);
    }

    /// Doubts a peer that did not serve the revision that it had named.
    fn check_served(&mut self, vm: &VmId, now: Instant) {
        let held = self.store.revision();
        if let Some(named) = self.spread.answered(vm, held, now) {
            let vm = VmId::clone(vm);
            self.events.push(ConfigEvent::Unserved { vm, named, held });
        }
    }

    /// Takes in the service's answer to a read that was sent at `sent`; none if it failed.
    pub fn handle_read_reply(&mut self, answer: Option<Batch>, sent: Instant, now: Instant) {
        let held = self.store.revision();
        let Some(batch) = answer else {
            self.read_failed();
            return;
        };
        let (asked, given) = (batch.after, batch.revision);
        if given < held && given >= asked {
            // What is held came from peers while the service was asked about less.
            self.apply(batch, &Source::Platform, now);
            self.reached();
            return;
        }
        if given < held {
            self.events.push(ConfigEvent::StaleAnswer { given, held });
            self.apply(batch, &Source::Platform, now);
            self.read_failed();
            return;
        }
        if !self.apply(batch, &Source::Platform, now) {
            self.read_failed();
            return;
        }
        self.reached();
        self.freshness.confirm(sent, VmId::clone(&self.own));
    }

    fn reached(&mut self) {
        if self.service != ServiceReachability::Reached {
            self.service = ServiceReachability::Reached;
            self.events.push(ConfigEvent::ServiceReached);
        }
    }

    /// Forgets what may have changed during a pause of the process.
    pub fn discard_confirmation(&mut self) {
        self.freshness.forget();
        self.outranked = None;
        self.events.push(ConfigEvent::Distrusted);
    }

    /// Advances all timers.
    pub fn tick(&mut self, now: Instant) {
        self.ask_peers(now);
        self.ask_for_note(now);
        self.pull_next(now);
        self.update_gate(now);
        self.update_plan(now);
        self.update_age(now);
    }

    /// Returns what is to be sent, once.
    pub fn take_actions(&mut self) -> Vec<ConfigAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns what has happened, once.
    pub fn take_events(&mut self) -> Vec<ConfigEvent> {
        std::mem::take(&mut self.events)
    }

    /// Takes a batch in and returns whether it was not refused.
    fn apply(&mut self, batch: Batch, source: &Source, now: Instant) -> bool {
        let result = self.store.apply(batch, source, now);
        let source = source.clone();
        let change = match result {
            Ok(change) => change,
            Err(error) => {
                self.events.push(ConfigEvent::Refused { source, error });
                return false;
            }
        };
        let revision = self.store.revision();
        let rejected = change.rejected.into_iter().map(ConfigEvent::Rejected);
        self.events.extend(rejected);
        if change.preset
            && let Some(view) = self.store.view()
        {
            self.events.push(ConfigEvent::InForce {
                preset: Arc::clone(&view.preset),
                revision,
                source: source.clone(),
            });
        }
        if change.advanced {
            let event = ConfigEvent::Advanced { revision, source };
            self.events.push(event);
            self.announce();
        }
        true
    }

    fn announce(&mut self) {
        let usable: Vec<&Candidate> = self.peers.iter().filter(|peer| peer.usable).collect();
        let chosen = usable.choose_multiple(&mut self.random, FANOUT);
        let actions = chosen.map(|peer| ConfigAction::Announce(VmId::clone(&peer.vm)));
        self.actions.extend(actions);
    }

    /// Pulls from the peer that is furthest ahead, if there is one and no pull is under way.
    fn pull_next(&mut self, now: Instant) {
        if let Some(vm) = self.spread.next(self.store.revision(), now) {
            self.start_pull(vm, now);
        }
    }

    fn start_pull(&mut self, vm: VmId, now: Instant) {
        let after = self.store.revision();
        self.spread.pulled(VmId::clone(&vm), now);
        self.actions.push(ConfigAction::Pull { vm, after });
    }

    /// Asks a few peers what they hold before the first request is admitted.
    fn ask_peers(&mut self, now: Instant) {
        let wanted = self.gate.wants();
        if wanted == 0 {
            return;
        }
        let fresh = |peer: &&Candidate| peer.usable && !self.gate.has_asked(&peer.vm);
        let fresh: Vec<&Candidate> = self.peers.iter().filter(fresh).collect();
        let chosen: Vec<VmId> = fresh
            .choose_multiple(&mut self.random, wanted)
            .map(|peer| VmId::clone(&peer.vm))
            .collect();
        for vm in chosen {
            self.gate.ask(VmId::clone(&vm));
            self.start_pull(vm, now);
        }
    }

    /// Believes a peer's word on how fresh the revision is, counted from before it was given.
    fn adopt(&mut self, note: &ConfigSummary, sent: Instant) {
        let (Some(age), Some(reader)) = (note.age, &note.reader) else {
            return;
        };
        let Some(at) = sent.checked_sub(Duration::from(age)) else {
            return;
        };
        if outranks(reader, &self.own) {
            self.outranked = self.outranked.max(Some(at));
        }
        self.freshness.confirm(at, VmId::clone(reader));
    }

    fn read_failed(&mut self) {
        if self.service != ServiceReachability::Unreachable {
            self.service = ServiceReachability::Unreachable;
            self.events.push(ConfigEvent::ServiceLost);
        }
    }

    fn update_gate(&mut self, now: Instant) {
        let was_open = self.gate.is_open();
        let holds = self.store.view().is_some();
        let confirmed = self.freshness.newest().is_some();
        self.gate.update(holds, confirmed, now);
        if self.gate.is_open() && !was_open {
            let revision = self.store.revision();
            self.events.push(ConfigEvent::Started(revision));
        }
    }

    fn update_plan(&mut self, now: Instant) {
        let former = self.plan;
        self.plan = plan_reads(&ReadInput {
            own: &self.own,
            centre: &self.centre,
            service: self.service,
            others: &self.peers,
            age: self.freshness.age(now),
            outranked: self.outranked.map(|at| now.saturating_duration_since(at)),
            plan: former,
            settings: self.settings,
        });
        match (former, self.plan) {
            (ReadPlan::Idle, ReadPlan::Idle) => {}
            (ReadPlan::Idle, _) => self.events.push(ConfigEvent::ReadingBegan),
            (_, ReadPlan::Idle) => self.events.push(ConfigEvent::ReadingEnded),
            _ => {}
        }
    }

    fn update_age(&mut self, now: Instant) {
        let (age, stale) = (self.freshness.age(now), self.settings.stale.0);
        match (self.aged, self.freshness.newest()) {
            (false, Some(_)) if age.is_some_and(|age| age > 2 * stale) => {
                self.aged = true;
                self.events.extend(age.map(ConfigEvent::Aged));
            }
            (true, Some(newest)) if age.is_some_and(|age| age < stale) => {
                self.aged = false;
                let reader = VmId::clone(&newest.reader);
                self.events.push(ConfigEvent::Confirmed(reader));
            }
            _ => {}
        }
    }
}
