//! Routes: which service, or which set of shards, answers a request.
//!
//! A host and the longest prefix that begins the path choose the route. The platform publishes
//! all routes in one document under the key `routes`, so that a change of several is atomic.

mod document;
mod split;
mod table;
mod validate;

#[cfg(test)]
mod tests;

pub use document::{
    Route, RouteDocument, RouteTarget, ServicePolicy, ShardSet, SplitShare, TrafficLimits,
};
pub use split::Splitter;
pub use table::RouteTable;
pub use validate::{RouteCause, RouteError};
