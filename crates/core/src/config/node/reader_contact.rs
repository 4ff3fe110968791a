//! What a process knows of the elected readers: whether they read the configuration service.

use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;

use super::ConfigNode;
use crate::{
    config::{
        Candidate, ConfigAction, ConfigSummary, ReadPlan, ServiceReachability,
        readers::{asks_readers, elected_peers},
    },
    ids::VmId,
};

/// The time between two questions while no elected reader answers: the time limit of a heartbeat.
const ASK_PERIOD: Duration = Duration::from_millis(500);

/// The number of other processes that are asked as well once no elected reader has answered in time.
const OTHERS_ASKED: usize = 2;

/// The newest proof that an elected reader reads the service, and the last question for one.
#[derive(Clone, Debug, Default)]
pub(super) struct ReaderContact {
    /// When the heartbeat was sent whose reply proves it.
    proven_at: Option<Instant>,
    asked_at: Option<Instant>,
}

impl ReaderContact {
    /// Forgets the proof, for use after a freeze of unknown length.
    pub(super) fn clear(&mut self) {
        self.proven_at = None;
    }
}

impl ConfigNode {
    /// Records the reply to a heartbeat that was sent at `sent_at`, if it proves that the peer is an
    /// elected reader that reads the service.
    pub(super) fn record_reader(&mut self, vm: &VmId, summary: &ConfigSummary, sent_at: Instant) {
        let reads = summary.service == ServiceReachability::Reached
            && summary
                .age
                .is_some_and(|age| Duration::from(age) <= self.settings.reading_age());
        if !reads {
            return;
        }
        let elected = elected_peers(&self.peers, &self.settings);
        if elected.iter().any(|peer| peer.vm == *vm) {
            self.contact.proven_at = self.contact.proven_at.max(Some(sent_at));
        }
    }

    /// Returns the time since an elected reader was last known to read, or this process has read.
    pub(super) fn reader_age(&self, now: Instant) -> Option<Duration> {
        let confirmed_at = self.freshness.newest().map(|newest| newest.at);
        let known_at = self.contact.proven_at.max(confirmed_at)?;
        Some(now.saturating_duration_since(known_at))
    }

    /// Asks an elected reader whether it reads, if none has said so for half of the time after which
    /// this process reads by itself; from then on others too.
    pub(super) fn ask_reader(&mut self, now: Instant) {
        let (age, timeout) = (self.reader_age(now), self.settings.reader_timeout());
        let is_known = age.is_some_and(|age| age < timeout / 2);
        let was_asked = self
            .contact
            .asked_at
            .is_some_and(|at| now.saturating_duration_since(at) < ASK_PERIOD);
        let reads = matches!(self.plan, ReadPlan::Watch | ReadPlan::Fallback { .. });
        if reads || is_known || was_asked || !asks_readers(&self.own_vm, self.peers.len() + 1) {
            return;
        }
        self.contact.asked_at = Some(now);
        let elected = elected_peers(&self.peers, &self.settings);
        let is_near = |peer: &&Candidate| peer.centre == self.centre;
        let near: Vec<&Candidate> = elected.iter().copied().filter(is_near).collect();
        // The near ones may be gone, so that a second question goes to any.
        let is_first = age.is_some_and(|age| age < timeout / 2 + ASK_PERIOD);
        let asked = if is_first && !near.is_empty() {
            near
        } else {
            elected
        };
        let mut chosen: Vec<&Candidate> = asked
            .choose(&mut self.random)
            .into_iter()
            .copied()
            .collect();
        if age.is_none_or(|age| age >= timeout) {
            // This process may not be able to read, and what others have read reaches it late if many are gone.
            let usable: Vec<&Candidate> = self.peers.iter().filter(|peer| peer.usable).collect();
            chosen.extend(usable.choose_multiple(&mut self.random, OTHERS_ASKED));
        }
        let vms = chosen.into_iter().map(|peer| VmId::clone(&peer.vm));
        self.actions.extend(vms.map(ConfigAction::Announce));
    }
}
