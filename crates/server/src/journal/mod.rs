//! The journal of recent decisions of all parts, for the log and for `cassialiftctl explain`.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt::Display,
    sync::Mutex,
    time::Instant,
};

use cassialift_wire::operator::Event;

use crate::timer::Timer;

/// The number of decisions that are kept for each part.
const CAPACITY: usize = 128;
/// The number of newest decisions of a part among which a repeated one is only counted.
const REPEAT_WINDOW: usize = 8;
/// The largest number of characters of a decision, which may quote text from a caller.
const MAX_TEXT: usize = 300;

/// A part of the process that makes decisions. Its name is the prefix of its log lines.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Part {
    /// Configuration and presets.
    Config,
    /// Fleet membership, ownership of backend servers and draining.
    Fleet,
    /// Calls to backend servers.
    Owner,
    /// Requests of callers.
    Entry,
    /// Jobs and job tickets.
    Job,
    /// Reads of the platform's services.
    Platform,
}

impl Part {
    /// Returns the prefix of the part's log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Fleet => "fleet",
            Self::Owner => "owner",
            Self::Entry => "entry",
            Self::Job => "job",
            Self::Platform => "platform",
        }
    }
}

/// The recent decisions of each part. When a part is full, its oldest decision is removed.
#[derive(Debug, Default)]
pub struct Journal {
    entries: Mutex<BTreeMap<Part, VecDeque<Entry>>>,
}

#[derive(Debug)]
struct Entry {
    last_seen: Instant,
    text: String,
    count: u32,
}

impl Journal {
    /// Logs and records a decision.
    pub fn info(&self, part: Part, text: &dyn Display) {
        log::info!("{}: {text}", part.name());
        self.record(part, &text.to_string());
    }

    /// Logs a decision as a warning, since it may need an operator's attention, and records it.
    pub fn warn(&self, part: Part, text: &dyn Display) {
        log::warn!("{}: {text}", part.name());
        self.record(part, &text.to_string());
    }

    /// Records a decision without logging it, since it may be frequent.
    ///
    /// # Panics
    /// Panics if another thread panicked while it held the lock.
    pub fn record(&self, part: Part, text: &str) {
        let text = printable(text);
        let mut entries = self
            .entries
            .lock()
            .expect("no thread panics holding the lock");
        let entries = entries.entry(part).or_default();
        let last_seen = Timer.now();
        let mut newest = entries.iter_mut().rev().take(REPEAT_WINDOW);
        if let Some(entry) = newest.find(|entry| entry.text == text) {
            entry.last_seen = last_seen;
            entry.count = entry.count.saturating_add(1);
            return;
        }
        if entries.len() == CAPACITY {
            entries.pop_front();
        }
        let count = 1;
        entries.push_back(Entry {
            last_seen,
            text,
            count,
        });
    }

    /// Returns the recorded decisions, oldest first.
    ///
    /// # Panics
    /// Panics if another thread panicked while it held the lock.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        let now = Timer.now();
        let entries = self
            .entries
            .lock()
            .expect("no thread panics holding the lock");
        let entries = entries
            .iter()
            .flat_map(|(part, entries)| entries.iter().map(move |entry| (part, entry)));
        let mut events: Vec<Event> = entries
            .map(|(part, entry)| Event {
                age: now.saturating_duration_since(entry.last_seen).into(),
                part: part.name().to_owned(),
                text: entry.text.clone(),
                count: entry.count,
            })
            .collect();
        events.sort_by_key(|event| std::cmp::Reverse(event.age));
        events
    }
}

/// Removes control characters, which could control an operator's terminal, and truncates the text.
fn printable(text: &str) -> String {
    text.chars()
        .filter(|c| !c.is_control())
        .take(MAX_TEXT)
        .collect()
}

#[cfg(test)]
mod tests;
