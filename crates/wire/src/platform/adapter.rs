//! The interfaces that adapt a process to a platform with its own protocols.

use std::{error::Error, fmt::Debug, pin::Pin, time::Duration};

use cassialift_core::ids::Position;
use displaydoc::Display;
use http::{HeaderName, Uri};

use super::Changes;
use crate::caller::{AddressAnswer, AddressQuery};

/// The pending result of a read of the configuration.
pub type ChangesFuture<'a> =
    Pin<Box<dyn Future<Output = Result<Changes, ConfigSourceError>> + Send + 'a>>;

/// A service from which the configuration is read.
pub trait ConfigSource: Debug + Send + Sync {
    /// Returns the documents changed after a position, waiting at most `wait` for one.
    ///
    /// Returns all documents if the service is in another epoch than the position.
    fn changes(&self, after: Position, wait: Duration) -> ChangesFuture<'_>;
}

/// cannot read the configuration: {0}
#[derive(Debug, Display)]
pub struct ConfigSourceError(pub Box<dyn Error + Send + Sync>);

impl Error for ConfigSourceError {}

/// The HTTP headers, paths and bodies that a platform's callers and backend servers use with the
/// gateway.
pub trait Dialect: Debug + Send + Sync {
    /// Returns the names of the headers.
    fn headers(&self) -> &HeaderNames;

    /// Returns the query for the addresses that a caller should use, or `None` if the target is
    /// not such a query.
    fn address_query(&self, target: &Uri) -> Option<AddressQuery>;

    /// Returns the JSON body of the answer to an address query.
    fn address_answer(&self, answer: &AddressAnswer) -> Vec<u8>;

    /// Returns whether the target is that of the platform's check whether this VM accepts callers.
    fn is_readiness_check(&self, target: &Uri) -> bool;
}

/// The names of the headers that the gateway reads and sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// A caller's id for an attempt, which backend servers copy to their reply.
    pub attempt: HeaderName,
    /// How long the sender will wait, in milliseconds.
    pub deadline: HeaderName,
    /// The id of the only backend server that may run the request.
    pub target_server: HeaderName,
    /// A backend server's signature on its reply.
    pub signature: HeaderName,
    /// The header by which a backend server's reply states that the request was not run.
    pub not_run: HeaderName,
    /// The header by which a backend server states that it is leaving.
    pub leaving: HeaderName,
    /// The header by which a backend server states how many calls a second it takes from all VMs
    /// together.
    pub limit: HeaderName,
    /// The header by which a backend server states how long it stays cold, in milliseconds.
    pub cold: HeaderName,
    /// The signatures of the shard replies that an answer was merged from.
    pub part_signatures: HeaderName,
    /// The number of shards that an answer lacks.
    pub missing_count: HeaderName,
}
