//! The edges of a process towards a platform that speaks a protocol of its own.

use std::{error::Error, fmt::Debug, pin::Pin, time::Duration};

use cassialift_core::ids::Revision;
use displaydoc::Display;
use http::{HeaderName, Uri};

use super::Changes;
use crate::caller::{AddressAnswer, AddressQuery};

/// A read of the configuration under way.
pub type ChangesFuture<'a> =
    Pin<Box<dyn Future<Output = Result<Changes, ConfigSourceError>> + Send + 'a>>;

/// Where the configuration is read from.
pub trait ConfigSource: Debug + Send + Sync {
    /// Returns the documents changed after a revision, waiting at most `wait` for one.
    fn changes(&self, after: Revision, wait: Duration) -> ChangesFuture<'_>;
}

/// cannot read the configuration: {0}
#[derive(Debug, Display)]
pub struct ConfigSourceError(pub Box<dyn Error + Send + Sync>);

impl Error for ConfigSourceError {}

/// How callers and backend servers of a platform spell what the gateway tells and reads.
pub trait Dialect: Debug + Send + Sync {
    /// Returns the names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Reads the question which addresses to use; none if the target is another.
    fn address_query(&self, target: &Uri) -> Option<AddressQuery>;

    /// Writes the answer to it, as a JSON body.
    fn address_answer(&self, answer: &AddressAnswer) -> Vec<u8>;

    /// Returns whether the target asks if this VM takes callers.
    fn is_readiness_check(&self, target: &Uri) -> bool;
}

/// The names of the headers that the gateway reads and sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; backend servers echo it.
    pub attempt: HeaderName,
    /// How many milliseconds the sender will wait.
    pub deadline: HeaderName,
    /// The backend server that alone may run the request.
    pub target_server: HeaderName,
    /// A backend server's signature on its reply.
    pub signature: HeaderName,
    /// Stands on replies of backend servers that did not run the request.
    pub not_run: HeaderName,
    /// The signatures of the parts that an answer was merged from.
    pub part_signatures: HeaderName,
    /// How many shards an answer leaves out.
    pub missing_count: HeaderName,
}
