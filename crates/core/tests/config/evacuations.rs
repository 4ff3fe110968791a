//! Tests of documents that order evacuations.

use std::time::{Duration, Instant};

use cassialift_core::config::{
    Batch, Document, EVACUATION_PREFIX, PRESETS_KEY, STALE_GRACE, Source, Store,
};
use yare::parameterized;

use crate::history::presets;

fn evacuation(revision: u64, centre: &str, ordered: bool) -> Document {
    Document {
        key: format!("{EVACUATION_PREFIX}{centre}"),
        revision,
        text: ordered.then(|| "{}".to_owned()),
    }
}

/// Returns a complete list with the presets.
fn list(epoch: u64, revision: u64, mut documents: Vec<Document>) -> Batch {
    documents.push(Document {
        key: PRESETS_KEY.to_owned(),
        revision: 1,
        text: Some(presets(10)),
    });
    Batch {
        epoch,
        revision,
        complete: true,
        documents,
        ..Batch::default()
    }
}

fn apply(store: &mut Store, batch: Batch, now: Instant) {
    store.apply(batch, &Source::Platform, now).unwrap();
}

fn centres(store: &Store) -> Vec<String> {
    let view = store.view().unwrap();
    view.evacuated.iter().map(ToString::to_string).collect()
}

#[test]
fn test_evacuation_is_in_force_until_its_document_is_deleted() {
    let now = Instant::now();
    let mut store = Store::default();
    let both = vec![
        evacuation(2, "lagos", true),
        evacuation(3, "kingston", true),
    ];
    apply(&mut store, list(0, 3, both), now);
    assert_eq!(centres(&store), ["kingston", "lagos"]);
    let deleted = Batch {
        after: 3,
        revision: 4,
        documents: vec![evacuation(4, "lagos", false)],
        ..Batch::default()
    };
    apply(&mut store, deleted, now);
    assert_eq!(centres(&store), ["kingston"]);
    apply(&mut store, list(0, 5, Vec::new()), now);
    assert_eq!(centres(&store), Vec::<String>::new());
}

#[test]
fn test_evacuation_reaches_a_process_that_joins() {
    let now = Instant::now();
    let mut store = Store::default();
    apply(
        &mut store,
        list(0, 2, vec![evacuation(2, "lagos", true)]),
        now,
    );
    let mut joining = Store::default();
    let batch = store.changes_since(joining.position(), now);
    apply(&mut joining, batch, now);
    assert_eq!(centres(&joining), ["lagos"]);
}

/// A backup of before the order lacks it, and one of before its end still has it. What was known
/// holds until the operators have written it again.
#[parameterized(
    order_lost = { true, true },
    end_lost = { false, false },
)]
fn test_evacuation_survives_a_restore(ordered: bool, in_force: bool) {
    let now = Instant::now();
    let mut store = Store::default();
    apply(
        &mut store,
        list(0, 2, vec![evacuation(2, "lagos", true)]),
        now,
    );
    let restored = if ordered {
        Vec::new()
    } else {
        let end = Batch {
            after: 2,
            revision: 3,
            documents: vec![evacuation(3, "lagos", false)],
            ..Batch::default()
        };
        apply(&mut store, end, now);
        vec![evacuation(2, "lagos", true)]
    };
    apply(&mut store, list(1, 2, restored), now);
    assert_eq!(!centres(&store).is_empty(), in_force);
    store.release_retained(now + STALE_GRACE.saturating_sub(Duration::from_millis(1)));
    assert_eq!(!centres(&store).is_empty(), in_force);
    store.release_retained(now + STALE_GRACE);
    assert_eq!(centres(&store).is_empty(), in_force);
}
