//! Who holds the slots and connections of the backend servers in a run.

use std::time::Duration;

use cassialift_core::index::{IndexDocument, ServerEntry, ShardEntry};

use super::deployment::ENTRY_COUNT;

/// How long opening a connection to a backend server takes.
pub(super) const CONNECT_TIME: Duration = Duration::from_millis(6);

/// Who holds the slots and connections of the backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoutingMode {
    /// One owner a backend server, with all its slots, and a standby with warm connections.
    Owner,
    /// Every entry, with a fixed share of the slots.
    DirectStatic,
    /// Every entry, with an adaptive limit of its own.
    DirectAdaptive,
}

impl RoutingMode {
    /// All arrangements.
    pub const ALL: [Self; 3] = [Self::Owner, Self::DirectStatic, Self::DirectAdaptive];

    /// Returns its name.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::DirectStatic => "direct static",
            Self::DirectAdaptive => "direct adaptive",
        }
    }

    /// Returns how many VMs send calls to one backend server.
    pub(super) const fn senders(self) -> usize {
        match self {
            Self::Owner => 1,
            Self::DirectStatic | Self::DirectAdaptive => ENTRY_COUNT,
        }
    }

    /// Returns the slots of a backend server that one of its holders may use.
    ///
    /// Static shares are whole slots, dealt to the entries in turn, so that their sum is the
    /// number of slots.
    pub(super) fn share(self, server: usize, slots: u32, sender: usize) -> u32 {
        match self {
            Self::Owner | Self::DirectAdaptive => slots,
            Self::DirectStatic => {
                let first = server * slots as usize;
                let dealt =
                    (0..slots as usize).filter(|slot| (first + slot) % ENTRY_COUNT == sender);
                u32::try_from(dealt.count()).unwrap_or(u32::MAX)
            }
        }
    }

    /// Returns the connections that a holder opens in advance: one for each slot that it is sure
    /// of.
    pub(super) const fn warm(self, share: u32) -> u32 {
        match self {
            Self::Owner | Self::DirectStatic => share,
            Self::DirectAdaptive => 1,
        }
    }

    /// Returns whether a holder lets a call that the backend server refused wait again.
    ///
    /// An owner passes the refusal on to the entry, as the server does.
    pub(super) const fn requeues(self) -> bool {
        matches!(self, Self::DirectAdaptive)
    }

    /// Returns the one-way latency between an entry and the VM that holds its calls.
    pub(super) const fn entry_latency(self, hop_latency: Duration) -> Duration {
        match self {
            Self::Owner => hop_latency,
            Self::DirectStatic | Self::DirectAdaptive => Duration::ZERO,
        }
    }

    /// Returns the one-way latency between that VM and the backend server.
    pub(super) const fn server_latency(self, hop_latency: Duration) -> Duration {
        match self {
            Self::Owner => Duration::ZERO,
            Self::DirectStatic | Self::DirectAdaptive => hop_latency,
        }
    }

    /// Returns the part of an index document that an entry can use.
    pub(super) fn part(self, document: &IndexDocument, entry: usize) -> IndexDocument {
        if self != Self::DirectStatic {
            return document.clone();
        }
        let servers = document.servers.iter().enumerate();
        let servers: Vec<_> = servers
            .map(|(server, one)| ServerEntry {
                slots: self.share(server, one.slots, entry),
                ..one.clone()
            })
            .filter(|one| one.slots > 0)
            .collect();
        let usable = |id: &_| servers.iter().any(|one| one.id == *id);
        let shards = document.shards.iter().map(|one| ShardEntry {
            shard: one.shard,
            replicas: one
                .replicas
                .iter()
                .filter(|id| usable(id))
                .cloned()
                .collect(),
        });
        IndexDocument {
            shards: shards.collect(),
            servers: servers.clone(),
            ..document.clone()
        }
    }
}
