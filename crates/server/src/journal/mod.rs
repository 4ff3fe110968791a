//! The journal: recent decisions of all parts, for the log and for `cassialiftctl explain`.

use std::{collections::VecDeque, fmt::Display, sync::Mutex, time::Instant};

use cassialift_wire::operator::Event;

use crate::timer::Timer;

/// The decisions that are kept.
const CAPACITY: usize = 512;

/// The part that took a decision; its name is the prefix of its log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// Configuration and presets.
    Config,
    /// Membership, ownership and draining.
    Fleet,
    /// Calls to backend servers.
    Owner,
    /// Callers' requests.
    Entry,
    /// Jobs and their tickets.
    Job,
    /// Readers of the platform.
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

/// Recent decisions; the oldest make room for new ones.
#[derive(Debug, Default)]
pub struct Journal {
    entries: Mutex<VecDeque<Entry>>,
}

#[derive(Debug)]
struct Entry {
    at: Instant,
    part: Part,
    text: String,
    count: u32,
}

impl Journal {
    /// Logs and keeps a decision.
    pub fn info(&self, part: Part, text: &dyn Display) {
        log::info!("{}: {text}", part.name());
        self.keep(part, text.to_string());
    }

    /// Logs and keeps a decision that an operator may have to look at.
    pub fn warn(&self, part: Part, text: &dyn Display) {
        log::warn!("{}: {text}", part.name());
        self.keep(part, text.to_string());
    }

    /// Keeps a decision that is too frequent to be logged.
    ///
    /// # Panics
    /// Panics when another thread panicked while it held the journal.
    pub fn keep(&self, part: Part, text: String) {
        let mut entries = self
            .entries
            .lock()
            .expect("no thread panics holding the lock");
        let at = Timer.now();
        let repeated = entries
            .iter_mut()
            .rev()
            .take(8)
            .find(|entry| entry.part == part && entry.text == text);
        if let Some(entry) = repeated {
            entry.at = at;
            entry.count = entry.count.saturating_add(1);
            return;
        }
        if entries.len() == CAPACITY {
            entries.pop_front();
        }
        entries.push_back(Entry {
            at,
            part,
            text,
            count: 1,
        });
    }

    /// Returns the decisions kept, oldest first.
    ///
    /// # Panics
    /// Panics when another thread panicked while it held the journal.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        let now = Timer.now();
        let entries = self
            .entries
            .lock()
            .expect("no thread panics holding the lock");
        let mut events: Vec<Event> = entries
            .iter()
            .map(|entry| Event {
                age: now.saturating_duration_since(entry.at).into(),
                part: entry.part.name().to_owned(),
                text: entry.text.clone(),
                count: entry.count,
            })
            .collect();
        events.sort_by_key(|event| std::cmp::Reverse(event.age));
        events
    }
}

#[cfg(test)]
mod tests;
