//! Admission of requests whose route shares backend servers with routes of higher priorities.

use cassialift_core::{
    ids::ServiceId,
    policy::{
        gather::ShardTarget,
        priority::{Admittance, RequestClass},
    },
    request::RefusalReason,
    routes::RouteTarget,
};

use super::{
    Gateway, answer::Refusal, decision::Decision, forward::coverage, inbound::Inbound, trace::Trace,
};
use crate::timer::Timer;

impl Gateway {
    /// Refuses a request at once if requests of higher priorities need the room at its backend servers.
    pub(super) fn check_priority(
        &self,
        inbound: &Inbound,
        targets: &[ShardTarget],
        trace: &mut Trace,
    ) -> Result<(), Refusal> {
        let route = &inbound.route;
        let chosen: Vec<ServiceId>;
        let services = match &route.target {
            RouteTarget::Shards(set) => &set.services,
            RouteTarget::Service(_) | RouteTarget::Split(_) => {
                let targets = targets.iter();
                chosen = targets
                    .filter_map(|target| target.service.clone())
                    .collect();
                &chosen
            }
        };
        let request = RequestClass {
            route: &route.name,
            services,
            share: coverage(&route.target),
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
