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

/// How much a table may remember.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TableLimits {
    /// The most tickets.
    pub records: usize,
    /// The most tickets of one caller.
    pub per_caller: usize,
    /// The outcomes, in bytes, beyond which nothing new is admitted.
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

/// The configuration that a job was admitted under.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PinnedConfig {
    /// The preset in force.
    pub preset: PresetId,
    /// The configuration's revision.
    pub revision: Revision,
}

/// What came of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobOutcome<T> {
    /// It ran.
    Done(T),
    /// It was proved not to have run, and will not run under its ticket.
    NotRun(RefusalReason),
    /// It may have run.
    Unknown(RefusalReason),
}

/// What a submission has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Submission<T> {
    /// Run the job and record its outcome; said once at most for each ticket.
    Start,
    /// Wait for the run that was started before.
    Wait(PinnedConfig),
    /// Reply with the outcome that was recorded.
    Recorded(PinnedConfig, JobOutcome<T>),
}

/// What is known of a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketState<T> {
    /// Nothing was submitted under it.
    Unused,
    /// Its job is being run.
    Running(PinnedConfig),
    /// Its job's outcome was recorded.
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

/// The submitted tickets of one run of a process.
///
/// A record stays until its ticket's `forget` time and until its job has ended, whichever comes
/// last; nothing is evicted before, new tickets are refused instead. A ticket without a record is
/// therefore unused until its `forget` time.
#[derive(Debug)]
pub struct JobTable<T> {
    limits: TableLimits,
    records: HashMap<u64, Record<T>>,
    callers: HashMap<CallerId, usize>,
    ended_jobs: BTreeSet<(Duration, u64)>,
    bytes: usize,
}

impl<T: Clone> JobTable<T> {
    /// Makes an empty table.
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

    /// Decides what to do with a job that is submitted under an authentic ticket.
    ///
    /// # Errors
    /// Returns why it is refused; the request is not run then.
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

    /// Records the outcome of a started job, which weighs `bytes`; the first one stays.
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

    /// Tells what is known of an authentic ticket.
    ///
    /// # Errors
    /// Returns why it is refused.
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

    /// Drops the ended jobs whose tickets are to be forgotten.
    pub fn remove_expired(&mut self, now: Duration) {
        while let Some((forget, sequence)) = self.ended_jobs.first().copied() {
            if now < forget {
                return;
            }
            self.ended_jobs.pop_first();
            self.remove(sequence);
        }
    }

    /// Returns how many tickets are remembered.
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

/// Refuses a ticket of another caller and one whose outcome may have been forgotten.
fn check_ticket(now: Duration, ticket: &Ticket, caller: &str) -> Result<(), TicketRefusal> {
    if &*ticket.caller != caller {
        return Err(TicketRefusal::Foreign);
    }
    if now >= ticket.forget_at {
        return Err(TicketRefusal::Forgotten);
    }
    Ok(())
}
