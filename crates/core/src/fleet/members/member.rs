//! The row of one member in the membership table.

use std::{net::SocketAddr, time::Instant};

use super::{Attachment, Contact, MemberState};
use crate::{
    ids::{DataCentre, Incarnation, VmId},
    view::Reachability,
};

/// The maximum number of former runs that are remembered for one VM.
const FORMER_LIMIT: usize = 8;

/// An entry of the platform's VM list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedVm {
    /// The VM's name.
    pub vm: VmId,
    /// The VM's data centre.
    pub centre: DataCentre,
    /// The address on which the VM's process listens for peers.
    pub peers: SocketAddr,
    /// The address on which the VM's process listens for callers.
    pub callers: SocketAddr,
    /// Whether the VM is about to be removed, according to the platform.
    pub leaving: bool,
}

/// The known state of one other process.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts that are learned one by one"
)]
pub struct Member {
    /// The VM's data centre.
    pub centre: DataCentre,
    /// The address on which the process listens for peers.
    pub peers: SocketAddr,
    /// The address on which the process listens for callers.
    pub callers: SocketAddr,
    /// The processor time of the VM, in thousandths of a core; zero if unknown.
    pub capacity: u32,
    /// The known run of the process; `None` before the first contact or update.
    pub incarnation: Option<Incarnation>,
    /// The reachability of the process, as seen from this one.
    pub reachability: Reachability,
    /// Whether the VM list names the VM.
    pub listed: bool,
    /// Whether the VM list has ever named the VM.
    pub ever_listed: bool,
    /// Whether the platform or the process itself says that the process is leaving.
    pub leaving: bool,
    /// Whether the process last reported that it can serve.
    pub serving: bool,
    /// Whether the process's address has refused a connection since the last direct contact.
    pub connection_refused: bool,
    /// Whether other members reach the process although this one does not.
    pub reached_indirectly: bool,
    /// The version of the state, which the process itself raises.
    pub version: u64,
    /// Whether the process reaches the backend servers, as far as is known.
    pub attachment: Attachment,
    /// The number of requests in flight that the process last reported.
    pub load: u32,
    /// The time of the last ping or reply that came directly from the process.
    pub last_heard: Option<Instant>,
    /// The time since which the process has answered without interruption; `None` while it does not
    /// answer.
    pub alive_since: Option<Instant>,
    /// The time at which `reachability` last changed.
    pub changed_at: Instant,
    /// Whether the next contact is expected, so that no update is sent to others: the process was
    /// on the first VM list that this one received, or answered until this one froze.
    pub(super) reply_expected: bool,
    /// The time at which the pending indirect probes were requested; `None` if there are none.
    pub(super) probed_at: Option<Instant>,
    /// The former runs of the process, oldest first.
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
            attachment: Attachment::default(),
            load: 0,
            last_heard: None,
            alive_since: None,
            changed_at: now,
            reply_expected: false,
            probed_at: None,
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

    /// Returns whether the known run is considered to have ended for good: its address refuses
    /// connections, or it does not answer and the VM list no longer names its VM. A VM that the
    /// list has never named is not considered gone, since the list lags.
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

    pub(super) fn set_reachability(&mut self, reachability: Reachability, now: Instant) -> bool {
        if self.reachability == reachability {
            return false;
        }
        self.reachability = reachability;
        self.changed_at = now;
        match reachability {
            Reachability::Alive => self.alive_since = Some(now),
            Reachability::Leaving => {}
            Reachability::Unknown | Reachability::Suspect | Reachability::Dead => {
                self.alive_since = None;
            }
        }
        true
    }

    /// Makes `contact` the known run of the process and remembers the old one as a former run.
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
        self.attachment = Attachment::default();
        self.leaving = false;
    }

    /// Returns the state to send to others; `None` while the reachability is unknown.
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
