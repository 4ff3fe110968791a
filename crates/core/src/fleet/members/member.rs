//! The row of one member.

use std::{net::SocketAddr, time::Instant};

use super::{Contact, MemberState};
use crate::{
    ids::{DataCentre, Incarnation, VmId},
    view::Reachability,
};

/// The most former incarnations of one VM that are remembered.
const FORMER_LIMIT: usize = 8;

/// A VM as the platform's list names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// Its data centre.
    pub centre: DataCentre,
    /// Where its process listens for peers.
    pub peers: SocketAddr,
    /// Where its process listens for callers.
    pub callers: SocketAddr,
    /// Whether the platform says that it is about to be taken away.
    pub leaving: bool,
}

/// What is known of one other process.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts that are learned one by one"
)]
pub struct Member {
    /// Its data centre.
    pub centre: DataCentre,
    /// Where it listens for peers.
    pub peers: SocketAddr,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// The processor time that its VM has, thousandths of a core; zero when that is not known.
    pub capacity: u32,
    /// The run of the process; none before it was first heard of.
    pub incarnation: Option<Incarnation>,
    /// Whether it can be used.
    pub reachability: Reachability,
    /// Whether the VM list names it.
    pub listed: bool,
    /// Whether the VM list has ever named it.
    pub ever_listed: bool,
    /// Whether the platform or the process itself says that it is leaving.
    pub leaving: bool,
    /// Whether it last said that it can serve.
    pub serving: bool,
    /// Whether its address refused a connection since it was last heard.
    pub connection_refused: bool,
    /// Whether others reach it although this process does not.
    pub reached_indirectly: bool,
    /// The version of the state, set by the process itself.
    pub version: u64,
    /// The requests that it last said were in flight.
    pub load: u32,
    /// When it was last heard directly.
    pub last_heard: Option<Instant>,
    /// Since when it has answered without a break.
    pub alive_since: Option<Instant>,
    /// When `reach` last changed.
    pub reachability_changed: Instant,
    /// Whether hearing it tells others nothing: it was there when this process started, or
    /// answered until this process was frozen.
    pub(super) reply_expected: bool,
    /// When indirect probes were last asked for; none while none are under way.
    pub(super) probe_started: Option<Instant>,
    /// Incarnations that are over, oldest first.
    pub(super) former_runs: Vec<Incarnation>,
}

impl Member {
    pub(super) fn from_list(entry: &ListedVm, now: Instant) -> Self {
        Self {
            centre: DataCentre::clone(&entry.centre),
            peers: entry.peers,
            callers: entry.callers,
            capacity: 0,
            incarnation: None,
            reachability: Reachability::Unknown,
            listed: true,
            ever_listed: true,
            leaving: entry.leaving,
            serving: false,
            connection_refused: false,
            reached_indirectly: false,
            version: 0,
            load: 0,
            last_heard: None,
            alive_since: None,
            reachability_changed: now,
            reply_expected: false,
            probe_started: None,
            former_runs: Vec::new(),
        }
    }

    pub(super) fn from_contact(contact: &Contact, now: Instant) -> Self {
        let entry = ListedVm {
            vm: VmId::clone(&contact.vm),
            centre: DataCentre::clone(&contact.centre),
            peers: contact.peers,
            callers: contact.callers,
            leaving: false,
        };
        let mut member = Self::from_list(&entry, now);
        member.listed = false;
        member.ever_listed = false;
        member.incarnation = Some(contact.incarnation);
        member.capacity = contact.capacity;
        member
    }

    /// Returns whether the incarnation that is known here is taken to be over for good: its
    /// address refuses connections, or it does not answer and the VM list no longer names it. A
    /// VM that the list has not named yet is not gone: the list lags.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        match self.reachability {
            Reachability::Alive | Reachability::Leaving => false,
            Reachability::Unknown => self.connection_refused,
            Reachability::Suspect | Reachability::Dead => {
                self.connection_refused || (self.ever_listed && !self.listed)
            }
        }
    }

    /// Returns whether new work may be given to the process.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.reachability == Reachability::Alive && self.serving && !self.leaving
    }

    pub(super) fn set_reachability(&mut self, reach: Reachability, now: Instant) -> bool {
        if self.reachability == reach {
            return false;
        }
        self.reachability = reach;
        self.reachability_changed = now;
        match reach {
            Reachability::Alive => self.alive_since = Some(now),
            Reachability::Leaving => {}
            Reachability::Unknown | Reachability::Suspect | Reachability::Dead => {
                self.alive_since = None;
            }
        }
        true
    }

    /// Makes `contact` the known run of the process; the former one is over.
    pub(super) fn replace_run(&mut self, contact: &Contact) {
        if let Some(former) = self.incarnation {
            self.former_runs.push(former);
            self.reply_expected = false;
        }
        if self.former_runs.len() > FORMER_LIMIT {
            self.former_runs.remove(0);
        }
        self.incarnation = Some(contact.incarnation);
        self.centre = DataCentre::clone(&contact.centre);
        self.peers = contact.peers;
        self.callers = contact.callers;
        self.capacity = contact.capacity;
        self.version = 0;
        self.leaving = false;
    }

    /// Returns the state to tell others; none while nothing is known at first hand or by news.
    pub(super) fn state(&self) -> Option<MemberState> {
        match self.reachability {
            Reachability::Unknown => None,
            Reachability::Alive => Some(MemberState::Alive),
            Reachability::Suspect if self.reached_indirectly => Some(MemberState::Alive),
            Reachability::Suspect => Some(MemberState::Suspect),
            Reachability::Dead => Some(MemberState::Dead),
            Reachability::Leaving => Some(MemberState::Leaving),
        }
    }

    pub(super) fn contact(&self, vm: &VmId) -> Option<Contact> {
        Some(Contact {
            vm: VmId::clone(vm),
            incarnation: self.incarnation?,
            centre: DataCentre::clone(&self.centre),
            peers: self.peers,
            callers: self.callers,
            capacity: self.capacity,
        })
    }
}
