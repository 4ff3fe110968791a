//! Evacuation of data centres: operators' orders that no backend server of a data centre is sent work.
//!
//! The platform publishes a document for each data centre that is evacuated, and deletes it to end the
//! evacuation. The document takes effect as a whole, so that its presence alone is the order.

mod document;

pub use document::{EvacuatedCentres, EvacuationDocument};
