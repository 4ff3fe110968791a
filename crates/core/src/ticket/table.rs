//! The table of submitted tickets and their outcomes.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use sha2::{Digest, Sha256};

use super::{Ticket, TicketRefusal};
use crate::{
    ids::{CallerId, PresetId, Revision},
    request::RefusalReason,
};

/// Limits on the size of a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TableLimits {
    /// The maximum number of tickets.
    pub records: usize,
    /// The maximum number of tickets of one caller.
    pub per_caller: usize,
    /// The total size of outcomes, in bytes, from which no new ticket is accepted.
    pub bytes: usize,
}

impl Default for TableLimits {
    fn default() -> Self {
        Self {
            records: 20_000,
            per_caller: 4_000,
            bytes: 32 << 20,
        }
    }
}

/// The configuration under which a job was admitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PinnedConfig {
    /// The active preset.
    pub preset: PresetId,
    /// The revision of the configuration.
    pub revision: Revision,
}

/// The outcome of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobOutcome<T> {
    /// The job ran.
    Done(T),
    /// The job has certainly not run, and will not run under its ticket.
    NotRun(RefusalReason),
    /// The job may have run.
    Unknown(RefusalReason),
}

/// The next step for a submitted job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Submission<T> {
    /// Run the job and record its outcome; returned at most once for each ticket.
    Start,
    /// Wait for the run that an earlier submission started.
    Wait(PinnedConfig),
    /// Reply with the recorded outcome.
    Recorded(PinnedConfig, JobOutcome<T>),
}

/// The state of a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketState<T> {
    /// No job has been submitted under the ticket.
    Unused,
    /// The ticket's job is running.
    Running(PinnedConfig),
    /// The outcome of the ticket's job is recorded.
    Ended(PinnedConfig, JobOutcome<T>),
}

#[derive(Debug)]
struct Record<T> {
    caller: CallerId,
    pinned: PinnedConfig,
    digest: [u8; 32],
    forget_at: Duration,
    bytes: usize,
    outcome: Option<JobOutcome<T>>,
}

/// The submitted tickets of one run of a process, with their outcomes.
///
/// A record stays until its ticket's `forget_at` time and until its job has ended, whichever is
/// later. No record is evicted before; new tickets are refused instead. A ticket without a record
/// is therefore unused until its `forget_at` time.
#[derive(Debug)]
pub struct JobTable<T> {
    limits: TableLimits,
    records: HashMap<u64, Record<T>>,
    callers: HashMap<CallerId, usize>,
    ended_jobs: BTreeSet<(Duration, u64)>,
    bytes: usize,
}

impl<T: Clone> JobTable<T> {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: TableLimits) -> Self {
        Self {
            limits,
            records: HashMap::new(),
            callers: HashMap::new(),
            ended_jobs: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Returns what to do with a job that is submitted under an authentic ticket.
    ///
    /// # Errors
    /// Returns the reason if the ticket is refused; the request is not run then.
    pub fn submit(
        &mut self,
        now: Duration,
        ticket: &Ticket,
        caller: &str,
        body: &[u8],
        pinned: PinnedConfig,
    ) -> Result<Submission<T>, TicketRefusal> {
        self.remove_expired(now);
        check_ticket(now, ticket, caller)?;
        let digest: [u8; 32] = Sha256::digest(body).into();
        if let Some(record) = self.records.get(&ticket.sequence) {
            if record.digest != digest {
                return Err(TicketRefusal::Reused);
            }
            let pinned = record.pinned.clone();
            return Ok(match &record.outcome {
                None => Submission::Wait(pinned),
                Some(outcome) => Submission::Recorded(pinned, outcome.clone()),
            });
        }
        if now >= ticket.expiry {
            return Err(TicketRefusal::ExpiredUnused);
        }
        self.check_room(&ticket.caller)?;
        self.insert(ticket, digest, pinned);
        Ok(Submission::Start)
    }

    /// Records the outcome of a started job, with its size in bytes. Only the first outcome is
    /// kept.
    pub fn finish(&mut self, sequence: u64, outcome: JobOutcome<T>, bytes: usize) {
        let Some(record) = self.records.get_mut(&sequence) else {
            return;
        };
        if record.outcome.is_some() {
            return;
        }
        record.outcome = Some(outcome);
        record.bytes = bytes;
        self.bytes += bytes;
        self.ended_jobs.insert((record.forget_at, sequence));
    }

    /// Returns the state of an authentic ticket.
    ///
    /// # Errors
    /// Returns the reason if the ticket is refused.
    pub fn state(
        &mut self,
        now: Duration,
        ticket: &Ticket,
        caller: &str,
    ) -> Result<TicketState<T>, TicketRefusal> {
        self.remove_expired(now);
        check_ticket(now, ticket, caller)?;
        let Some(record) = self.records.get(&ticket.sequence) else {
            if now >= ticket.expiry {
                return Err(TicketRefusal::ExpiredUnused);
            }
            return Ok(TicketState::Unused);
        };
        let pinned = record.pinned.clone();
        Ok(match &record.outcome {
            None => TicketState::Running(pinned),
            Some(outcome) => TicketState::Ended(pinned, outcome.clone()),
        })
    }

    /// Removes the ended jobs whose `forget_at` time has come.
    pub fn remove_expired(&mut self, now: Duration) {
        while let Some((forget_at, sequence)) = self.ended_jobs.first().copied() {
            if now < forget_at {
                return;
            }
            self.ended_jobs.pop_first();
            self.remove(sequence);
        }
    }

    /// Returns the number of remembered tickets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no ticket is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn check_room(&self, caller: &str) -> Result<(), TicketRefusal> {
        if self.records.len() >= self.limits.records || self.bytes >= self.limits.bytes {
            return Err(TicketRefusal::Full);
        }
        let of_caller = self.callers.get(caller).copied().unwrap_or_default();
        if of_caller >= self.limits.per_caller {
            return Err(TicketRefusal::CallerFull);
        }
        Ok(())
    }

    fn insert(&mut self, ticket: &Ticket, digest: [u8; 32], pinned: PinnedConfig) {
        let caller = CallerId::clone(&ticket.caller);
        *self.callers.entry(CallerId::clone(&caller)).or_default() += 1;
        let record = Record {
            caller,
            pinned,
            digest,
            forget_at: ticket.forget_at,
            bytes: 0,
            outcome: None,
        };
        self.records.insert(ticket.sequence, record);
    }

    fn remove(&mut self, sequence: u64) {
        let Some(record) = self.records.remove(&sequence) else {
            return;
        };
        self.bytes -= record.bytes;
        if let Some(count) = self.callers.get_mut(&record.caller) {
            *count -= 1;
            if *count == 0 {
                self.callers.remove(&record.caller);
            }
        }
    }
}

/// Refuses a ticket of another caller, and a ticket whose `forget_at` time has come.
fn check_ticket(now: Duration, ticket: &Ticket, caller: &str) -> Result<(), TicketRefusal> {
    if &*ticket.caller != caller {
        return Err(TicketRefusal::Foreign);
    }
    if now >= ticket.forget_at {
        return Err(TicketRefusal::Forgotten);
    }
    Ok(())
}
