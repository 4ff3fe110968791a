//! Admission of requests whose route shares backend servers with routes of higher priorities.

use cassialift_core::{
    policy::{
        gather::ShardTarget,
        priority::{Admittance, Rank, RequestClass},
    },
    request::RefusalReason,
    routes::Route,
    view::ConfigView,
};

use super::{Gateway, answer::Refusal, decision::Decision, inbound::Inbound, trace::Trace};
use crate::timer::Timer;

/// Returns the rank of a route among those that share its services.
pub(super) fn priority_rank(config: &ConfigView, route: &Route) -> Rank {
    let routes = config.routes.as_ref();
    routes.map_or(0, |routes| routes.ranks.rank(&route.name))
}

impl Gateway {
    /// Refuses a request at once if requests of higher priorities need the room at its backend servers.
    pub(super) fn check_priority(
        &self,
        config: &ConfigView,
        inbound: &Inbound,
        targets: &[ShardTarget],
        trace: &mut Trace,
    ) -> Result<(), Refusal> {
        let route = &inbound.route;
        if priority_rank(config, route) == 0 {
            return Ok(());
        }
        // A search needs no single shard, so there is no service to ask for.
        let [
            ShardTarget {
                service: Some(service),
                ..
            },
        ] = targets
        else {
            return Ok(());
        };
        let request = RequestClass {
            route: &route.name,
            service,
            caller: inbound.caller,
            fingerprint: inbound.fingerprint,
        };
        let admittance = self.with_tables(|tables| {
            let priority = &mut tables.priority;
            priority.admit(&request, Timer.now(), &mut rand::rng())
        });
        let Admittance::Refused { retry_after, share } = admittance else {
            return Ok(());
        };
        self.node.metrics.count("gateway.outranked");
        let outranked = Decision::Outranked {
            priority: route.priority,
            share,
        };
        trace.decisions.record(inbound.age(), outranked);
        let reason = RefusalReason::Overloaded;
        Err(Refusal::not_run(reason, Some(retry_after)))
    }
}
