//! A caller that follows the callers' protocol honestly and records what it sees.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::{CallerId, ShardId},
    request::RequestKind,
};
use cassialift_wire::caller::{
    ADDRESSES_PATH, AddressAnswer, JOBS_PATH, JobRequest, OUTCOME_PATH, OutcomeRequest,
    SEARCH_PATH, SearchRequest, TICKETS_PATH, TicketAnswer, TicketRequest,
};
use serde::Serialize;

use super::{JOB_SERVICE, Recorder, SEARCH_SERVICE};
use crate::{
    client::{ClientError, JsonClient, Reply},
    history::{Call, CallEnd, CallRecord},
    standin::backend::unix_micros,
};

/// How long a caller waits for any reply.
const REPLY_LIMIT: Duration = Duration::from_mins(1);

/// Numbers requests, so that ids, queries and jobs are unique in a process.
static SEQUENCE: AtomicU64 = AtomicU64::new(0);

/// A caller.
#[derive(Debug)]
pub struct Caller {
    name: CallerId,
    client: JsonClient,
    recorder: Arc<Recorder>,
    /// Any addresses of the fleet, to ask which to use.
    known: VecDeque<SocketAddr>,
    held: Vec<SocketAddr>,
    expires: Instant,
}

impl Caller {
    /// Makes a caller that knows some addresses of the fleet.
    ///
    /// # Errors
    /// Returns what hinders its client.
    pub fn new(
        name: &str,
        known: impl IntoIterator<Item = SocketAddr>,
        recorder: Arc<Recorder>,
    ) -> Result<Self, ClientError> {
        Ok(Self {
            name: Arc::from(name),
            client: JsonClient::new(REPLY_LIMIT)?,
            recorder,
            known: known.into_iter().collect(),
            held: Vec::new(),
            expires: Instant::now(),
        })
    }

    /// Returns the address to use: the first of the last answer until its time to live is over.
    pub async fn address(&mut self) -> Option<SocketAddr> {
        if self.held.is_empty() || Instant::now() >= self.expires {
            self.ask_addresses().await;
        }
        self.held.first().copied()
    }

    async fn ask_addresses(&mut self) {
        self.held.clear();
        for _ in 0..self.known.len() {
            let Some(address) = self.known.front().copied() else {
                return;
            };
            self.known.rotate_left(1);
            let asked = Instant::now();
            let Ok(reply) = self.client.get(address, ADDRESSES_PATH).await else {
                continue;
            };
            if let Ok(answer) = reply.parse::<AddressAnswer>() {
                self.expires = asked + Duration::from(answer.ttl);
                self.held = answer.addresses;
                return;
            }
        }
    }

    /// Searches the shards named, or all of them, and returns how that ended.
    pub async fn search(&mut self, kind: RequestKind, shards: Option<Vec<ShardId>>) -> CallEnd {
        let id = self.next_id();
        let request = SearchRequest {
            query: format!("query of {id}"),
            id,
            caller: CallerId::clone(&self.name),
            service: SEARCH_SERVICE.into(),
            kind,
            shards,
            deadline: None,
        };
        self.send(SEARCH_PATH, &request.clone(), Call::Search(request))
            .await
    }

    /// Gets a ticket for a job; none when no VM gave one.
    pub async fn ticket(&mut self) -> Option<String> {
        let request = TicketRequest {
            caller: CallerId::clone(&self.name),
            service: JOB_SERVICE.into(),
        };
        let address = self.address().await?;
        let Ok(reply) = self.client.post(address, TICKETS_PATH, &request).await else {
            self.drop_address();
            return None;
        };
        Some(reply.parse::<TicketAnswer>().ok()?.ticket)
    }

    /// Returns a job's body that no other job has.
    #[must_use]
    pub fn next_body(&self) -> String {
        format!("job of {}", self.next_id())
    }

    /// Submits a job under a ticket.
    pub async fn submit(&mut self, ticket: &str, body: &str) -> CallEnd {
        let request = JobRequest {
            id: self.next_id(),
            caller: CallerId::clone(&self.name),
            ticket: ticket.to_owned(),
            deadline: None,
            body: body.to_owned(),
        };
        self.send(JOBS_PATH, &request.clone(), Call::Job(request))
            .await
    }

    /// Submits a job under a ticket at a VM of the test's choice.
    pub async fn submit_at(&mut self, address: SocketAddr, ticket: &str, body: &str) -> CallEnd {
        self.pin_address(address);
        self.submit(ticket, body).await
    }

    /// Asks for the outcome of a ticket's job.
    pub async fn outcome(&mut self, ticket: &str) -> CallEnd {
        let request = OutcomeRequest {
            id: self.next_id(),
            caller: CallerId::clone(&self.name),
            ticket: ticket.to_owned(),
        };
        self.send(OUTCOME_PATH, &request.clone(), Call::Outcome(request))
            .await
    }

    /// Uses one address for the next hour, whatever the fleet says.
    pub fn pin_address(&mut self, address: SocketAddr) {
        self.held = vec![address];
        self.expires = Instant::now() + Duration::from_hours(1);
    }

    async fn send<T: Serialize>(&mut self, path: &str, message: &T, call: Call) -> CallEnd {
        let Some(address) = self.address().await else {
            return CallEnd::NoConnection;
        };
        let sent_at = unix_micros();
        let end = match self.client.post(address, path, message).await {
            Ok(reply) => read(&call, reply),
            Err(error) => failed(&error),
        };
        if matches!(end, CallEnd::NoConnection | CallEnd::Broken(_)) {
            self.drop_address();
        }
        self.recorder.record_call(CallRecord {
            sent_at,
            ended_at: unix_micros(),
            address,
            call,
            end: end.clone(),
        });
        end
    }

    /// Turns to the next address of the last answer.
    fn drop_address(&mut self) {
        if !self.held.is_empty() {
            self.held.remove(0);
        }
    }

    fn next_id(&self) -> String {
        let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
        format!("{}-{sequence}", self.name)
    }
}

fn read(call: &Call, reply: Reply) -> CallEnd {
    let text = reply.text.clone();
    let end = if reply.status >= 400 {
        reply.parse().map(CallEnd::Refused)
    } else {
        match call {
            Call::Search(_) => reply.parse().map(CallEnd::Answer),
            Call::Job(_) | Call::Outcome(_) => reply.parse().map(CallEnd::Job),
        }
    };
    end.unwrap_or(CallEnd::Unreadable(text))
}

fn failed(error: &ClientError) -> CallEnd {
    if error.is_refused() {
        CallEnd::NoConnection
    } else {
        CallEnd::Broken(error.to_string())
    }
}
