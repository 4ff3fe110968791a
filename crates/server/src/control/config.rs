//! The configuration's part in the control thread.

use std::{sync::Arc, time::Instant};

use cassialift_core::{
    config::{Batch, ConfigAction, ConfigNode, ConfigPeer, ConfigSummary, Document, ReadSettings},
    ids::VmId,
    view::{FleetView, OwnView, Reach},
};
use cassialift_wire::{
    peer::{ConfigPull, ConfigPush},
    platform::Changes,
};

use super::ConfigState;
use crate::{
    journal::{Journal, Part},
    metrics::Metrics,
};

/// The bytes of texts after which a push is cut; with one more text it still fits a frame.
const PAGE_BYTES: usize = 2 << 20;

/// What the configuration's part is told.
#[derive(Debug)]
pub enum ConfigEvent {
    /// A read of the configuration service ended; no answer if it failed.
    ReadEnded {
        /// The changes after `after`.
        answer: Option<Changes>,
        /// The revision that the read asked for changes after.
        after: u64,
        /// When the read was sent.
        sent: Instant,
    },
    /// A peer said what it holds.
    NoteReceived {
        /// The peer.
        vm: VmId,
        /// What it holds.
        note: ConfigSummary,
        /// When the heartbeat that it replied to was sent; none if it sent a heartbeat itself.
        sent: Option<Instant>,
    },
    /// A pull from a peer ended; nothing pushed if it failed.
    PullEnded {
        /// The peer.
        vm: VmId,
        /// What it pushed.
        push: Option<ConfigPush>,
        /// When the pull was sent.
        sent: Instant,
    },
}

/// The configuration's part in the control thread.
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

    /// Takes in which processes there are.
    pub(super) fn set_members(&mut self, view: &FleetView) {
        let peers = view.members.iter().map(|(vm, member)| ConfigPeer {
            vm: VmId::clone(vm),
            centre: Arc::clone(&member.centre),
            usable: matches!(member.reach, Reach::Alive | Reach::Unknown),
        });
        self.node.set_peers(peers.collect());
    }

    pub(super) fn pull(&self, pull: ConfigPull, now: Instant) -> ConfigPush {
        let batch = self.node.changes_since(pull.after);
        let rest = batch.documents.into_iter().skip(pull.skip);
        let (documents, more) = page(rest.collect());
        ConfigPush {
            note: self.node.summary(now),
            after: batch.after,
            documents,
            more,
        }
    }

    pub(super) fn apply(&mut self, event: ConfigEvent, now: Instant) {
        match event {
            ConfigEvent::ReadEnded {
                answer,
                after,
                sent,
            } => {
                let batch = answer.map(|changes| Batch {
                    after,
                    revision: changes.revision,
                    complete: changes.complete,
                    documents: changes.documents,
                });
                self.node.handle_read_reply(batch, sent, now);
            }
            ConfigEvent::NoteReceived { vm, note, sent } => {
                self.node.handle_summary(&vm, &note, sent, now);
            }
            ConfigEvent::PullEnded { vm, push, sent } => {
                let push = push.map(|push| {
                    let batch = Batch {
                        after: push.after,
                        revision: push.note.revision,
                        complete: false,
                        documents: push.documents,
                    };
                    (push.note, batch)
                });
                self.node.handle_pull_reply(&vm, push, sent, now);
            }
        }
        self.report();
    }

    /// Forgets what may have changed during a pause of the process.
    pub(super) fn on_process_pause(&mut self) {
        self.node.discard_confirmation();
        self.report();
    }

    /// Advances all timers.
    pub(super) fn tick(&mut self, now: Instant) {
        self.node.tick(now);
        self.report();
    }

    /// Returns what is to be sent, once.
    pub(super) fn take_orders(&mut self) -> Vec<ConfigAction> {
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

/// Cuts documents to what one frame holds, at least one, and tells whether any were cut off.
pub(super) fn page(mut documents: Vec<Document>) -> (Vec<Document>, bool) {
    let mut bytes = 0;
    let full = documents.iter().position(|document| {
        let full = bytes >= PAGE_BYTES;
        bytes += document.text.as_ref().map_or(0, String::len);
        full
    });
    documents.truncate(full.unwrap_or(documents.len()));
    (documents, full.is_some())
}
