//! The history that backend server stand-ins write: a line a step, as JSON.

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

/// One step of one request at one backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunEvent {
    /// Microseconds since the Unix epoch, by the machine's clock.
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
    /// The index version asked for.
    pub version: IndexVersion,
    /// The query or the job.
    pub body: String,
    /// What happened.
    pub step: RunStep,
}

/// What happened to a request at a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStep {
    /// It came and was not run.
    Refused(RunRefusal),
    /// Its connection was cut before it ran.
    Dropped,
    /// It began to run; a job takes effect here.
    Started,
    /// It stopped running.
    Ended(RunEnd),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// It ran to its end.
    Done,
    /// It was cancelled.
    Cancelled,
    /// Its deadline passed.
    Expired,
}

/// A file of [`RunEvent`]s.
#[derive(Debug)]
pub struct HistoryFile {
    file: Mutex<File>,
}

impl HistoryFile {
    /// Opens a history to append to.
    ///
    /// # Errors
    /// Returns why the file cannot be opened.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            file: Mutex::new(file),
        })
    }

    /// Writes one step in one call of the system, so that a kill leaves whole lines.
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
            log::error!("standin: The history cannot be written: {error}.");
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
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}
