//! The history file of backend server stand-ins: one line of JSON for each step of a request.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    path::Path,
    sync::{Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use cassialift_core::{
    ids::{AttemptId, IndexVersion, RequestKey, ServerId, ShardId},
    request::RequestKind,
};
use cassialift_wire::backend::{RunRefusal, RunRequest};
use serde::{Deserialize, Serialize};

/// One step of a request at a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunEvent {
    /// The time of the step in microseconds since the Unix epoch, by the machine's clock.
    pub at: u64,
    /// The backend server.
    pub server: ServerId,
    /// The request.
    pub request: RequestKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// The kind of request.
    pub kind: RequestKind,
    /// The shard.
    pub shard: ShardId,
    /// The requested index version.
    pub version: IndexVersion,
    /// The query or the body of the job.
    pub body: String,
    /// The step.
    pub step: RunStep,
}

/// A step in the processing of a request at a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStep {
    /// The request arrived and was refused without being run.
    Refused(RunRefusal),
    /// The request's connection was closed before the request ran.
    Dropped,
    /// The request started to run; a job takes effect at this point.
    Started,
    /// The run ended.
    Ended(RunEnd),
}

/// The way in which a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The run completed.
    Done,
    /// The run was cancelled.
    Cancelled,
    /// The deadline of the request passed.
    Expired,
}

/// An append-only file of [`RunEvent`]s.
#[derive(Debug)]
pub struct HistoryFile {
    file: Mutex<File>,
}

impl HistoryFile {
    /// Opens a history file for appending and creates it if it does not exist.
    ///
    /// # Errors
    /// Returns an error if the file cannot be opened.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            file: Mutex::new(file),
        })
    }

    /// Writes one step in a single system call, so that a kill of the process leaves only whole
    /// lines.
    pub fn write(&self, server: &ServerId, request: &RunRequest, step: RunStep) {
        let event = RunEvent {
            at: unix_micros(),
            server: ServerId::clone(server),
            request: request.request,
            attempt: request.attempt,
            kind: request.kind,
            shard: request.shard,
            version: request.version,
            body: request.body.clone(),
            step,
        };
        if let Err(error) = self.append(&event) {
            log::error!("standin: Cannot write the history: {error}.");
        }
    }

    fn append(&self, event: &RunEvent) -> io::Result<()> {
        let mut line = serde_json::to_vec(event)?;
        line.push(b'\n');
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(&line)
    }
}

/// Returns the machine's clock in microseconds since the Unix epoch.
#[must_use]
pub fn unix_micros() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    })
}
