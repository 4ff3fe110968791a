//! Routing modes: which VMs send calls to a backend server, and with how many slots.

use std::time::Duration;

use cassialift_core::index::{IndexDocument, ServerEntry, ShardEntry};

use super::deployment::ENTRY_COUNT;

/// Time to open a connection to a backend server.
pub(super) const CONNECT_TIME: Duration = Duration::from_millis(6);

/// The VMs that send calls to a backend server and share its slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoutingMode {
    /// One owner for each backend server, with all its slots, and a standby with warm connections.
    Owner,
    /// Every entry sends directly, with a fixed share of the slots.
    DirectStatic,
    /// Every entry sends directly, with its own adaptive concurrency limit.
    DirectAdaptive,
}

impl RoutingMode {
    /// All routing modes.
    pub const ALL: [Self; 3] = [Self::Owner, Self::DirectStatic, Self::DirectAdaptive];

    /// Returns the name used in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::DirectStatic => "direct static",
            Self::DirectAdaptive => "direct adaptive",
        }
    }

    /// Returns the number of VMs that send calls to one backend server.
    pub(super) const fn senders(self) -> usize {
        match self {
            Self::Owner => 1,
            Self::DirectStatic | Self::DirectAdaptive => ENTRY_COUNT,
        }
    }

    /// Returns the number of slots of a backend server that one sender may use.
    ///
    /// Static shares are whole slots, assigned to the entries round-robin, so that they add up to
    /// the slots of the server.
    pub(super) fn slot_share(self, server: usize, slots: u32, sender: usize) -> u32 {
        match self {
            Self::Owner | Self::DirectAdaptive => slots,
            Self::DirectStatic => {
                let first = server * slots as usize;
                let assigned =
                    (0..slots as usize).filter(|slot| (first + slot) % ENTRY_COUNT == sender);
                u32::try_from(assigned.count()).unwrap_or(u32::MAX)
            }
        }
    }

    /// Returns the number of connections that a sender opens in advance.
    ///
    /// Owners and static shares open one for each slot; an adaptive sender has no guaranteed slots
    /// and opens one connection.
    pub(super) const fn warm_connections(self, slots: u32) -> u32 {
        match self {
            Self::Owner | Self::DirectStatic => slots,
            Self::DirectAdaptive => 1,
        }
    }

    /// Returns whether a sender queues a call again that the backend server refused as busy.
    ///
    /// An owner passes the refusal on to the entry, as the real server does.
    pub(super) const fn requeues(self) -> bool {
        matches!(self, Self::DirectAdaptive)
    }

    /// Returns the one-way latency between an entry and the VM that queues its calls.
    pub(super) const fn entry_latency(self, hop_latency: Duration) -> Duration {
        match self {
            Self::Owner => hop_latency,
            Self::DirectStatic | Self::DirectAdaptive => Duration::ZERO,
        }
    }

    /// Returns the one-way latency between the VM that queues a call and the backend server.
    pub(super) const fn server_latency(self, hop_latency: Duration) -> Duration {
        match self {
            Self::Owner => Duration::ZERO,
            Self::DirectStatic | Self::DirectAdaptive => hop_latency,
        }
    }

    /// Returns an index document reduced to the slots that an entry may use.
    ///
    /// With static shares, backend servers without a slot for the entry are removed, also from the
    /// replicas of their shards.
    pub(super) fn usable_part(self, document: &IndexDocument, entry: usize) -> IndexDocument {
        if self != Self::DirectStatic {
            return document.clone();
        }
        let servers = document.servers.iter().enumerate();
        let servers: Vec<_> = servers
            .map(|(index, server)| ServerEntry {
                slots: self.slot_share(index, server.slots, entry),
                ..server.clone()
            })
            .filter(|server| server.slots > 0)
            .collect();
        let usable = |id: &_| servers.iter().any(|server| server.id == *id);
        let shards = document.shards.iter().map(|entry| ShardEntry {
            shard: entry.shard,
            replicas: entry
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
