//! Endpoints that run no request: the addresses for callers and the readiness of this VM.

use std::net::SocketAddr;

use bytes::Bytes;
use cassialift_core::{
    fleet::addresses::{AddressEntry, place_callers},
    time::Millis,
    view::Reachability,
};
use cassialift_wire::caller::AddressAnswer;
use hyper::{
    Response, StatusCode, Uri,
    header::{CONTENT_TYPE, HeaderValue},
};

use super::{Gateway, answer::Answer};
use crate::entry::address_entries;

/// The value of `Retry-After` while no address is known, in seconds.
const RETRY_SOON: HeaderValue = HeaderValue::from_static("0.5");

impl Gateway {
    /// Answers a request to one of the endpoints.
    pub(super) fn page(&self, target: &Uri) -> Answer {
        if self.dialect.is_readiness_check(target) {
            return empty(if self.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            });
        }
        let Some(query) = self.dialect.address_query(target) else {
            return empty(StatusCode::NOT_FOUND);
        };
        self.node.metrics.count("gateway.address_answers");
        let Some(answer) = self.addresses(query.near.as_deref()) else {
            let mut answer = empty(StatusCode::SERVICE_UNAVAILABLE);
            let retry = hyper::header::RETRY_AFTER;
            answer.headers_mut().insert(retry, RETRY_SOON);
            return answer;
        };
        let body = Bytes::from(self.dialect.address_answer(&answer));
        let mut response = Response::new(body);
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }

    /// Returns whether this VM accepts callers.
    fn is_ready(&self) -> bool {
        let view = self.node.control.view();
        let routes = view
            .config
            .as_ref()
            .and_then(|config| config.routes.as_ref());
        routes.is_some() && !view.own.leaving
    }

    /// Returns the addresses of VMs for callers to use; `None` while no VM is known that can serve.
    fn addresses(&self, near: Option<&str>) -> Option<AddressAnswer> {
        let view = self.node.control.snapshot();
        let config = view.config.as_ref()?;
        config.routes.as_ref()?;
        self.sync(&view, config);
        let mut entries = address_entries(&view, |_, member| !member.detached);
        let can_serve = |entry: &AddressEntry| entry.reachability == Reachability::Alive;
        if !entries.iter().any(can_serve) {
            entries = address_entries(&view, |_, _| true);
        }
        let server_counts = self.servers.server_counts(config);
        let addresses: Vec<SocketAddr> = place_callers(&entries, &server_counts, near);
        let ttl: Millis = config.policy.address_ttl;
        (!addresses.is_empty()).then_some(AddressAnswer { addresses, ttl })
    }
}

fn empty(status: StatusCode) -> Answer {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}
