//! Kinds of requests and their urgency.

use serde::{Deserialize, Serialize};

/// The kind of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// A search over nearly every shard whose caller is waiting.
    WideSearch,
    /// A search over a few shards whose caller is waiting.
    NarrowSearch,
    /// A read of one record.
    Fetch,
    /// A request that may run at most once.
    Job,
}

/// The priority of a request over others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// A person waits for the answer.
    Urgent,
    /// No person waits for the answer.
    Ordinary,
}

impl RequestKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::WideSearch, Self::NarrowSearch, Self::Fetch, Self::Job];

    /// Returns the name that documents and messages use.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::WideSearch => "wide_search",
            Self::NarrowSearch => "narrow_search",
            Self::Fetch => "fetch",
            Self::Job => "job",
        }
    }

    /// Returns the urgency of requests of this kind.
    #[must_use]
    pub const fn urgency(self) -> Urgency {
        match self {
            Self::WideSearch | Self::NarrowSearch => Urgency::Urgent,
            Self::Fetch | Self::Job => Urgency::Ordinary,
        }
    }

    /// Returns whether a request that may have run can be repeated.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        match self {
            Self::WideSearch | Self::NarrowSearch | Self::Fetch => true,
            Self::Job => false,
        }
    }
}
