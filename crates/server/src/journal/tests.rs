//! Tests of the journal.

use super::{CAPACITY, Journal, Part};

#[test]
fn test_journal_drops_oldest() {
    let journal = Journal::default();
    for i in 0..=CAPACITY {
        journal.record(Part::Config, &i.to_string());
    }
    let events = journal.events();
    assert_eq!(events.len(), CAPACITY);
    assert_eq!(events[0].text, "1");
}

#[test]
fn test_journal_keeps_parts_apart() {
    let journal = Journal::default();
    journal.record(Part::Config, "rare");
    for i in 0..2 * CAPACITY {
        journal.record(Part::Entry, &i.to_string());
    }
    let events = journal.events();
    assert_eq!(events.len(), CAPACITY + 1);
    assert!(events.iter().any(|event| event.text == "rare"));
}

#[test]
fn test_journal_keeps_texts_printable_and_short() {
    let journal = Journal::default();
    journal.record(Part::Entry, &format!("a\u{1b}[2Jb\n{}", "x".repeat(9_999)));
    let text = &journal.events()[0].text;
    assert!(text.starts_with("a[2Jbx"), "{text}");
    assert_eq!(text.len(), super::MAX_TEXT);
}

#[test]
fn test_journal_counts_repeats() {
    let journal = Journal::default();
    journal.record(Part::Config, "a");
    journal.record(Part::Owner, "a");
    journal.record(Part::Config, "a");
    let counts: Vec<u32> = journal.events().iter().map(|event| event.count).collect();
    assert_eq!(counts, [1, 2]);
}
