//! Events for data centres whose evacuation began or ended.

use std::sync::Arc;

use super::ConfigNode;
use crate::{
    config::{ConfigEvent, Source},
    ids::DataCentre,
};

impl ConfigNode {
    /// Reports the evacuations that began or ended since the last call.
    pub(super) fn report_evacuations(&mut self, source: &Source) {
        let Some(view) = self.store.view() else {
            return;
        };
        if Arc::ptr_eq(&self.evacuated, &view.evacuated) {
            return;
        }
        let revision = view.position.revision;
        let before = std::mem::replace(&mut self.evacuated, Arc::clone(&view.evacuated));
        let began = self.evacuated.difference(&before).map(DataCentre::clone);
        let began = began.map(|centre| ConfigEvent::EvacuationBegan {
            centre,
            revision,
            source: source.clone(),
        });
        let ended = before.difference(&self.evacuated).map(DataCentre::clone);
        let ended = ended.map(|centre| ConfigEvent::EvacuationEnded { centre, revision });
        self.events.extend(began.chain(ended));
    }
}
