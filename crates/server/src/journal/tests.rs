//! Tests of the journal.

use super::{CAPACITY, Journal, Part};

#[test]
fn test_journal_drops_oldest() {
    let journal = Journal::default();
    for i in 0..=CAPACITY {
        journal.keep(Part::Config, i.to_string());
    }
    let events = journal.events();
    assert_eq!(events.len(), CAPACITY);
    assert_eq!(events[0].text, "1");
}

#[test]
fn test_journal_counts_repeats() {
    let journal = Journal::default();
    journal.keep(Part::Config, "a".to_owned());
    journal.keep(Part::Owner, "a".to_owned());
    journal.keep(Part::Config, "a".to_owned());
    let counts: Vec<u32> = journal.events().iter().map(|event| event.count).collect();
    assert_eq!(counts, [1, 2]);
}
