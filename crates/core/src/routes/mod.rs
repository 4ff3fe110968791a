//! Routes: the mapping of requests to the services or shards that answer them.
//!
//! A request takes the route of its host with the longest matching path prefix. The platform
//! publishes all routes in one document under the key `routes`, so that a change of several routes
//! is atomic.

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
