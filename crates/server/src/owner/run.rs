//! Execution of one granted call: taking a connection, sending the request once and reading the
//! reply.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cassialift_core::time::Millis;
use cassialift_wire::{
    backend::{RUN_PATH, RunOutcome, RunRefusal, RunReply, RunRequest},
    peer::{CallFailure, CallRefusal, CallResult, ShardCall},
};
use hyper::Method;

use super::{
    connection::Connection,
    counters::OwnerCounter,
    decision::SendDecision,
    exchange::{Exchange, ExchangeError, exchange},
    grant::Grant,
    server::Server,
};

/// The largest number of times that a request which was provably not sent is moved to another
/// connection.
const MAX_MOVES: u32 = 2;

/// A call that was granted a slot.
#[derive(Debug)]
pub(super) struct Run {
    /// The slot and the connection, or the permit to open one.
    pub(super) grant: Grant,
    /// The call to run.
    pub(super) call: Arc<ShardCall>,
    /// The deadline of the call.
    pub(super) deadline: Instant,
    /// The decision whether the request is sent.
    pub(super) decision: Arc<SendDecision>,
}

impl Run {
    /// Runs the call. The slot is held until the returned future ends or is dropped.
    pub(super) async fn execute(mut self) -> CallResult {
        let started = Instant::now();
        let result = self.send().await;
        let server = self.grant.server();
        server.record_outcome(result.outcome(), started.elapsed());
        result
    }

    async fn send(&mut self) -> CallResult {
        let mut moves = 0;
        loop {
            let Some(mut connection) = self.connection().await else {
                return CallResult::NotRun(CallRefusal::Connect);
            };
            let Some(request) = self.build_exchange() else {
                self.grant.server().put_idle(connection);
                self.count(OwnerCounter::Withheld);
                return CallResult::NotRun(CallRefusal::Expired);
            };
            match exchange(&mut connection, request).await {
                Ok(body) => return self.handle_reply(connection, &body),
                Err(ExchangeError::Unsent) if moves < MAX_MOVES => {
                    self.count(OwnerCounter::Moved);
                    moves += 1;
                }
                Err(error) => return self.handle_error(error),
            }
        }
    }

    /// Returns the idle connection of the grant, or opens a new one if there is none or it has been
    /// idle for too long for this call. An idle connection is used despite its age if no new one
    /// can be opened.
    async fn connection(&mut self) -> Option<Connection> {
        let warm = self
            .grant
            .take_connection()
            .filter(|connection| !connection.is_closed());
        if let Some(connection) = warm {
            if self.is_fresh(&connection) {
                return Some(connection);
            }
            let Some(opened) = self.open().await else {
                return Some(connection);
            };
            self.grant.server().put_idle(connection);
            return Some(opened);
        }
        self.open().await
    }

    async fn open(&mut self) -> Option<Connection> {
        let permit = self.grant.take_permit()?;
        let server = Arc::clone(self.grant.server());
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let limit = remaining.min(server.settings.connect.0);
        Connection::open(server.address(), permit, limit, &server.handle)
            .await
            .ok()
    }

    fn is_fresh(&self, connection: &Connection) -> bool {
        let fresh = self.grant.server().settings.fresh.0;
        self.call.kind.is_idempotent() || connection.last_used.elapsed() < fresh
    }

    /// Builds the request with the time that remains now, or returns `None` if less than 1 ms
    /// remains.
    fn build_exchange(&self) -> Option<Exchange> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining < Duration::from_millis(1) {
            return None;
        }
        let call = &*self.call;
        let request = RunRequest {
            request: call.request,
            attempt: call.attempt,
            service: Arc::clone(&call.service),
            shard: call.shard,
            version: call.version,
            kind: call.kind,
            urgency: call.urgency,
            remaining: Millis(remaining),
            body: call.body.clone(),
        };
        let body =
            serde_json::to_vec(&request).expect("strings and numbers can be serialized as JSON");
        Some(Exchange {
            method: Method::POST,
            path: RUN_PATH,
            body: Bytes::from(body),
            deadline: self
                .grant
                .server()
                .valid_until()
                .map_or(self.deadline, |until| until.min(self.deadline)),
            decision: Arc::clone(&self.decision),
            metrics: Arc::clone(&self.grant.server().metrics),
            counter: OwnerCounter::Sent,
            limit: self.grant.server().settings.reply,
        })
    }

    fn handle_reply(&self, mut connection: Connection, body: &[u8]) -> CallResult {
        let server = Arc::clone(self.grant.server());
        let Some(reply) = self.parse(body) else {
            self.count(OwnerCounter::BadReply);
            return CallResult::Unknown(CallFailure::BadReply);
        };
        server.set_load(reply.load);
        let result = call_result(&server, reply.outcome);
        connection.last_used = Instant::now();
        server.put_idle(connection);
        result
    }

    /// Parses a reply, or returns `None` if it is unreadable or belongs to another call.
    fn parse(&self, body: &[u8]) -> Option<RunReply> {
        let reply: RunReply = serde_json::from_slice(body).ok()?;
        let call = &*self.call;
        let matches = reply.request == call.request
            && reply.attempt == call.attempt
            && reply.shard == call.shard
            && reply.server == call.server;
        matches.then_some(reply)
    }

    fn handle_error(&self, error: ExchangeError) -> CallResult {
        match error {
            ExchangeError::Unsent => CallResult::NotRun(CallRefusal::Connect),
            ExchangeError::Withheld => {
                self.count(OwnerCounter::Withheld);
                // If time remains until the deadline, the share of this process has expired
                // instead.
                CallResult::NotRun(if Instant::now() < self.deadline {
                    CallRefusal::NotOwner { owner: None }
                } else {
                    CallRefusal::Expired
                })
            }
            ExchangeError::Cancelled => CallResult::NotRun(CallRefusal::Cancelled),
            ExchangeError::Broken => {
                self.count(OwnerCounter::Broken);
                CallResult::Unknown(CallFailure::Broken)
            }
            ExchangeError::TooLarge => {
                self.count(OwnerCounter::BadReply);
                CallResult::Unknown(CallFailure::BadReply)
            }
        }
    }

    fn count(&self, counter: OwnerCounter) {
        counter.add(&self.grant.server().metrics);
    }
}

fn call_result(server: &Server, outcome: RunOutcome) -> CallResult {
    let refusal = match outcome {
        RunOutcome::Done { version, rows } => return CallResult::Done { version, rows },
        RunOutcome::Refused(refusal) => refusal,
        RunOutcome::Stopped => return CallResult::Unknown(CallFailure::Timeout),
    };
    CallResult::NotRun(match refusal {
        RunRefusal::Busy => CallRefusal::Busy,
        RunRefusal::Leaving => {
            server.pause();
            CallRefusal::Leaving
        }
        RunRefusal::Expired => CallRefusal::Expired,
        RunRefusal::Cancelled => CallRefusal::Cancelled,
        RunRefusal::VersionGone { held } => CallRefusal::VersionGone { held },
        RunRefusal::UnknownShard => CallRefusal::UnknownShard,
    })
}
