//! Validation of route documents.
//!
//! The result depends on the document alone, so either all processes accept it or all reject it.

use std::collections::HashSet;

use displaydoc::Display;

use super::{Route, RouteDocument, RouteTarget};
use crate::{
    ids::{RouteId, ServiceId},
    jsonc::Path,
};

/// The reason why a route document is rejected, and the path of the invalid value.
#[derive(Clone, Debug, Display, PartialEq)]
#[displaydoc("{path}: {cause}")]
pub struct RouteError {
    /// The path of the invalid value.
    pub path: Path,
    /// The cause of the rejection.
    pub cause: RouteCause,
}

/// The cause of the rejection of a route document. The comment of each variant is its message.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum RouteCause {
    /// two routes have host {host} and prefix {prefix}
    Duplicate {
        /// The host.
        host: String,
        /// The prefix.
        prefix: String,
    },
    /// prefix {0} does not begin and end with a slash
    BadPrefix(String),
    /// route {0} leads to nothing
    NoTarget(RouteId),
    /// {0} is no weight; weights are above 0
    BadWeight(f64),
    /// shard {0} stands twice
    DuplicateShard(ServiceId),
    /// {0} is not between 0 and 1
    NotAShare(f64),
    /// must not be zero
    Zero,
}

impl std::error::Error for RouteError {}

impl RouteCause {
    /// Returns a hint on how to correct the document, if there is one.
    #[must_use]
    pub const fn hint(&self) -> Option<&'static str> {
        match self {
            Self::Duplicate { .. } | Self::DuplicateShard(_) => Some("keep one of the two"),
            Self::BadPrefix(_) => Some("write it like /orders/"),
            Self::NoTarget(_) => Some("name a service, a split or shards"),
            Self::BadWeight(_) => Some("leave out services that get no requests"),
            Self::NotAShare(_) | Self::Zero => None,
        }
    }
}

impl RouteDocument {
    /// Checks that the document is consistent.
    ///
    /// # Errors
    /// Returns the first error, in document order.
    pub fn validate(&self) -> Result<(), RouteError> {
        let mut seen = HashSet::new();
        for (i, route) in self.routes.iter().enumerate() {
            let path = Path::new("routes").item(i);
            if !seen.insert((&route.host, &route.prefix)) {
                let (host, prefix) = (route.host.clone(), route.prefix.clone());
                return fail(path, RouteCause::Duplicate { host, prefix });
            }
            validate_route(route, &path)?;
        }
        Ok(())
    }
}

fn validate_route(route: &Route, path: &Path) -> Result<(), RouteError> {
    let prefix = &route.prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        let cause = RouteCause::BadPrefix(prefix.clone());
        return fail(path.clone().key("prefix"), cause);
    }
    if route.timeout.0.is_zero() {
        return fail(path.clone().key("timeout"), RouteCause::Zero);
    }
    if route.servers == 0 {
        return fail(path.clone().key("servers"), RouteCause::Zero);
    }
    let target = path.clone().key("target");
    match &route.target {
        RouteTarget::Service(_) => Ok(()),
        RouteTarget::Split(shares) => {
            if shares.is_empty() {
                return fail(target, RouteCause::NoTarget(RouteId::clone(&route.name)));
            }
            let invalid = shares.iter().find(|share| !is_valid_weight(share.weight));
            invalid.map_or(Ok(()), |share| {
                fail(target, RouteCause::BadWeight(share.weight))
            })
        }
        RouteTarget::Shards(set) => {
            if set.services.is_empty() {
                return fail(target, RouteCause::NoTarget(RouteId::clone(&route.name)));
            }
            if !(0.0..=1.0).contains(&set.coverage) {
                return fail(target, RouteCause::NotAShare(set.coverage));
            }
            let mut seen = HashSet::new();
            let duplicate = set.services.iter().find(|shard| !seen.insert(*shard));
            duplicate.map_or(Ok(()), |shard| {
                let shard = ServiceId::clone(shard);
                fail(target, RouteCause::DuplicateShard(shard))
            })
        }
    }
}

fn is_valid_weight(weight: f64) -> bool {
    weight.is_finite() && weight > 0.0
}

const fn fail(path: Path, cause: RouteCause) -> Result<(), RouteError> {
    Err(RouteError { path, cause })
}
