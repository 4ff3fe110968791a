//! The configuration tables of the control thread.

use std::{sync::Arc, time::Instant};

use cassialift_core::{
    config::{
        Batch, ConfigAction, ConfigNode, ConfigPeer, ConfigSummary, Document, ReadSettings,
        RetainedDocuments,
    },
    ids::{Position, VmId},
    view::{FleetView, OwnView, Reachability},
};
use cassialift_wire::{
    peer::{ConfigPull, ConfigPullReply},
    platform::Changes,
};

use super::ConfigState;
use crate::{
    journal::{Journal, Part},
    metrics::Metrics,
};

/// The size of texts after which a page of a pull reply ends, in bytes; with one more text the page
/// still fits into a frame.
const PAGE_BYTES: usize = 2 << 20;

/// An event for the configuration tables.
#[derive(Debug)]
pub enum ConfigEvent {
    /// A read of the configuration service ended.
    ReadEnded {
        /// The changes after `after`; `None` if the read failed.
        answer: Option<Changes>,
        /// The position after which changes were requested.
        after: Position,
        /// The time at which the read was sent.
        sent_at: Instant,
    },
    /// A peer reported its configuration.
    SummaryReceived {
        /// The peer.
        vm: VmId,
        /// The configuration that the peer reported.
        summary: ConfigSummary,
        /// The time at which the heartbeat that the peer replied to was sent; `None` if the peer
        /// sent the heartbeat.
        sent_at: Option<Instant>,
    },
    /// A pull from a peer ended.
    PullEnded {
        /// The peer.
        vm: VmId,
        /// The peer's reply with all its pages; `None` if the pull failed.
        reply: Option<ConfigPullReply>,
        /// The time at which the pull started.
        sent_at: Instant,
    },
}

/// The configuration tables of the control thread.
#[derive(Debug)]
pub(super) struct ConfigControl {
    node: ConfigNode,
    journal: Arc<Journal>,
    metrics: Arc<Metrics>,
}

impl ConfigControl {
    pub(super) fn new(
        own: &OwnView,
        journal: Arc<Journal>,
        metrics: Arc<Metrics>,
        reads: ReadSettings,
        now: Instant,
    ) -> Self {
        let (vm, centre) = (VmId::clone(&own.vm), Arc::clone(&own.centre));
        Self {
            node: ConfigNode::new(vm, centre, reads, own.incarnation, now),
            journal,
            metrics,
        }
    }

    pub(super) fn node(&self) -> &ConfigNode {
        &self.node
    }

    pub(super) fn state(&self, now: Instant) -> ConfigState {
        ConfigState::new(&self.node, now)
    }

    /// Sets the peers to the members of a view.
    pub(super) fn set_members(&mut self, view: &FleetView) {
        let peers = view.members.iter().map(|(vm, member)| ConfigPeer {
            vm: VmId::clone(vm),
            centre: Arc::clone(&member.centre),
            usable: matches!(
                member.reachability,
                Reachability::Alive | Reachability::Unknown
            ),
        });
        self.node.set_peers(peers.collect());
    }

    pub(super) fn pull(&self, pull: ConfigPull, now: Instant) -> ConfigPullReply {
        let batch = self.node.changes_since(pull.after, now);
        let remaining = batch.documents.into_iter().skip(pull.skip);
        let (documents, more) = page(remaining.collect());
        ConfigPullReply {
            summary: self.node.summary(now),
            after: batch.after,
            documents,
            retained: if more {
                RetainedDocuments::default()
            } else {
                batch.retained
            },
            more,
        }
    }

    pub(super) fn apply(&mut self, event: ConfigEvent, now: Instant) {
        match event {
            ConfigEvent::ReadEnded {
                answer,
                after,
                sent_at,
            } => {
                let batch = answer.map(|changes| Batch {
                    epoch: changes.epoch,
                    // A complete list depends on nothing that was known before.
                    after: if changes.complete { 0 } else { after.revision },
                    revision: changes.revision,
                    complete: changes.complete,
                    more: changes.more,
                    documents: changes.documents,
                    ..Batch::default()
                });
                self.node.handle_read_reply(batch, sent_at, now);
            }
            ConfigEvent::SummaryReceived {
                vm,
                summary,
                sent_at,
            } => {
                self.node.handle_summary(&vm, &summary, sent_at, now);
            }
            ConfigEvent::PullEnded { vm, reply, sent_at } => {
                let reply = reply.map(|reply| {
                    let position = reply.summary.position;
                    let batch = Batch {
                        epoch: position.epoch,
                        after: reply.after,
                        revision: position.revision,
                        complete: reply.after == 0,
                        more: false,
                        documents: reply.documents,
                        retained: reply.retained,
                    };
                    (reply.summary, batch)
                });
                self.node.handle_pull_reply(&vm, reply, sent_at, now);
            }
        }
        self.report();
    }

    /// Discards the confirmation of the configuration, which may be outdated after the process was
    /// paused.
    pub(super) fn on_process_pause(&mut self) {
        self.node.discard_confirmation();
        self.report();
    }

    /// Advances all timers.
    pub(super) fn tick(&mut self, now: Instant) {
        self.node.tick(now);
        self.report();
    }

    /// Removes and returns the pending actions.
    pub(super) fn take_actions(&mut self) -> Vec<ConfigAction> {
        self.node.take_actions()
    }

    fn report(&mut self) {
        for event in self.node.take_events() {
            self.metrics.count(event.counter());
            if event.is_warning() {
                self.journal.warn(Part::Config, &event);
            } else {
                self.journal.info(Part::Config, &event);
            }
        }
    }
}

/// Returns the documents that fit into one frame, at least one if there are any, and whether more
/// follow.
pub(super) fn page(mut documents: Vec<Document>) -> (Vec<Document>, bool) {
    let mut bytes = 0;
    let cut_at = documents.iter().position(|document| {
        let is_full = bytes >= PAGE_BYTES;
        bytes += document.text.as_ref().map_or(0, String::len);
        is_full
    });
    documents.truncate(cut_at.unwrap_or(documents.len()));
    (documents, cut_at.is_some())
}
