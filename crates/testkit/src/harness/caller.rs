//! A caller that follows the callers' protocol and records each call with its result.

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
const REPLY_TIMEOUT: Duration = Duration::from_mins(1);

/// The number of the next request, which makes ids, queries and jobs unique within the process.
static SEQUENCE: AtomicU64 = AtomicU64::new(0);

/// A caller of the fleet.
#[derive(Debug)]
pub struct Caller {
    name: CallerId,
    client: JsonClient,
    recorder: Arc<Recorder>,
    /// Addresses of the fleet that are asked in turn which addresses to use.
    seeds: VecDeque<SocketAddr>,
    /// The addresses to use, in order of preference.
    addresses: Vec<SocketAddr>,
    expires_at: Instant,
}

impl Caller {
    /// Creates a caller that knows some addresses of the fleet.
    ///
    /// # Errors
    /// Returns an error if the HTTP client cannot be created.
    pub fn new(
        name: &str,
        seeds: impl IntoIterator<Item = SocketAddr>,
        recorder: Arc<Recorder>,
    ) -> Result<Self, ClientError> {
        Ok(Self {
            name: Arc::from(name),
            client: JsonClient::new(REPLY_TIMEOUT)?,
            recorder,
            seeds: seeds.into_iter().collect(),
            addresses: Vec::new(),
            expires_at: Instant::now(),
        })
    }

    /// Returns the first address of the last address answer, or `None` if no seed answers.
    ///
    /// A new answer is requested once the time to live of the last one is over or all its addresses
    /// have been dropped.
    pub async fn address(&mut self) -> Option<SocketAddr> {
        if self.addresses.is_empty() || Instant::now() >= self.expires_at {
            self.refresh_addresses().await;
        }
        self.addresses.first().copied()
    }

    async fn refresh_addresses(&mut self) {
        self.addresses.clear();
        for _ in 0..self.seeds.len() {
            let Some(address) = self.seeds.front().copied() else {
                return;
            };
            self.seeds.rotate_left(1);
            let asked_at = Instant::now();
            let Ok(reply) = self.client.get(address, ADDRESSES_PATH).await else {
                continue;
            };
            if let Ok(answer) = reply.parse::<AddressAnswer>() {
                self.expires_at = asked_at + Duration::from(answer.ttl);
                self.addresses = answer.addresses;
                return;
            }
        }
    }

    /// Searches the given shards, or all of them, and returns the result.
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

    /// Requests a ticket for a job from one VM; returns `None` if no ticket was received.
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

    /// Returns a job body that no other job in the process has.
    #[must_use]
    pub fn next_body(&self) -> String {
        format!("job of {}", self.next_id())
    }

    /// Submits a job with a ticket.
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

    /// Submits a job with a ticket to the VM at the given address.
    pub async fn submit_at(&mut self, address: SocketAddr, ticket: &str, body: &str) -> CallEnd {
        self.pin_address(address);
        self.submit(ticket, body).await
    }

    /// Requests the outcome of a ticket's job.
    pub async fn outcome(&mut self, ticket: &str) -> CallEnd {
        let request = OutcomeRequest {
            id: self.next_id(),
            caller: CallerId::clone(&self.name),
            ticket: ticket.to_owned(),
        };
        self.send(OUTCOME_PATH, &request.clone(), Call::Outcome(request))
            .await
    }

    /// Uses only the given address, without asking the fleet, for an hour or until a call to it gets no
    /// complete reply.
    pub fn pin_address(&mut self, address: SocketAddr) {
        self.addresses = vec![address];
        self.expires_at = Instant::now() + Duration::from_hours(1);
    }

    async fn send<T: Serialize>(&mut self, path: &str, message: &T, call: Call) -> CallEnd {
        let Some(address) = self.address().await else {
            return CallEnd::NoConnection;
        };
        let sent_at = unix_micros();
        let end = match self.client.post(address, path, message).await {
            Ok(reply) => parse_end(&call, reply),
            Err(error) => failed_end(&error),
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

    /// Drops the first address, so that the next one of the last answer is used.
    fn drop_address(&mut self) {
        if !self.addresses.is_empty() {
            self.addresses.remove(0);
        }
    }

    fn next_id(&self) -> String {
        let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
        format!("{}-{sequence}", self.name)
    }
}

fn parse_end(call: &Call, reply: Reply) -> CallEnd {
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

fn failed_end(error: &ClientError) -> CallEnd {
    if error.is_connection_refused() {
        CallEnd::NoConnection
    } else {
        CallEnd::Broken(error.to_string())
    }
}
