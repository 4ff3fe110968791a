//! The state of the configuration that the control thread publishes for heartbeats and operators.

use std::time::Instant;

use cassialift_core::{
    config::{ConfigNode, ConfigSummary, Confirmation, Origin, ReadPlan, RejectedDocument},
    ids::{Position, PresetId},
};
use cassialift_wire::operator::{ConfigStatus, Rejection};

/// The published state of the configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    summary: ConfigSummary,
    confirmation: Option<Confirmation>,
    preset: Option<PresetId>,
    origin: Option<Origin>,
    rejections: Vec<RejectedDocument>,
    /// The number of documents of earlier epochs that stay in use.
    retained: usize,
    plan: ReadPlan,
}

impl ConfigState {
    pub(super) fn new(node: &ConfigNode, now: Instant) -> Self {
        let store = node.store();
        Self {
            summary: node.summary(now),
            confirmation: node.confirmation().cloned(),
            preset: store.view().map(|view| PresetId::clone(&view.preset)),
            origin: store.preset_origin().cloned(),
            rejections: store.rejections().to_vec(),
            retained: store.retained_count(),
            plan: node.plan(),
        }
    }

    /// Returns the summary of the configuration that peers get.
    #[must_use]
    pub fn summary(&self, now: Instant) -> ConfigSummary {
        let confirmation = self.confirmation.as_ref();
        ConfigSummary {
            age: confirmation.map(|newest| now.saturating_duration_since(newest.at).into()),
            ..self.summary.clone()
        }
    }

    /// Returns the position of this process.
    #[must_use]
    pub const fn position(&self) -> Position {
        self.summary.position
    }

    /// Returns how this process reads the configuration service.
    #[must_use]
    pub const fn plan(&self) -> ReadPlan {
        self.plan
    }

    /// Returns the status of the configuration that operators get.
    #[must_use]
    pub fn status(&self, admits: bool, now: Instant) -> ConfigStatus {
        let summary = self.summary(now);
        let origin = self.origin.as_ref();
        let active_for =
            origin.map(|origin| now.saturating_duration_since(origin.learned_at).into());
        ConfigStatus {
            epoch: summary.position.epoch,
            retained: self.retained,
            revision: summary.position.revision,
            preset: self.preset.clone(),
            source: origin.map(|origin| origin.source.to_string()),
            active_for,
            admits,
            age: summary.age,
            reader: summary.reader,
            service: summary.service,
            rejections: self.rejections.iter().map(rejection).collect(),
        }
    }
}

fn rejection(rejected: &RejectedDocument) -> Rejection {
    Rejection {
        key: rejected.key.clone(),
        revision: rejected.revision,
        fallback: rejected.fallback,
        line: rejected.error.position.line,
        column: rejected.error.position.column,
        cause: rejected.error.cause.to_string(),
        hint: rejected.error.hint.clone(),
    }
}
