//! Claims and grants of permits for calls to backend servers that state a limit.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::VmId,
    policy::{
        server_limit::{Allotment, PermitAllocator, PermitClaim, PermitGrant, choose_allocator},
        warmup::FleetSight,
    },
    view::FleetView,
};
use tarpc::client::RpcError;
use tokio::time::timeout;

use super::Gateway;
use crate::{
    peers::{self, PeerError},
    timer::Timer,
};

/// The time between two rounds of claims, which one more request may wait for.
const CLAIM_PERIOD: Duration = Duration::from_millis(20);
/// The time limit for the answer to claims.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// The share of a limit that all VMs together use while the VM that hands out its permits does not
/// answer.
const UNANSWERED_SHARE: f64 = 0.5;

/// A claim, and how its permits are handed out; `None` if this VM must not hand out any.
type AllottedClaim = (PermitClaim, Option<Allotment>);

/// The permits that this VM hands out.
#[derive(Debug, Default)]
pub(super) struct PermitPools {
    /// The permits for all VMs.
    shared: Mutex<PermitAllocator>,
    /// The permits that this VM gives itself while another VM does not answer.
    fallback: Mutex<PermitAllocator>,
}

impl PermitPools {
    fn grant(&self, claims: &[AllottedClaim], now: Instant) -> Vec<PermitGrant> {
        grant(&self.shared, claims, now)
    }

    /// Grants this VM its part of a share of the limits.
    fn grant_fallback(&self, claims: &[AllottedClaim], vms: u32, now: Instant) -> Vec<PermitGrant> {
        let share = UNANSWERED_SHARE / f64::from(vms.max(1));
        let claims: Vec<_> = claims
            .iter()
            .map(|(claim, allotment)| {
                let claim = PermitClaim {
                    limit: claim.limit.map(|limit| limit.share(share)),
                    ..claim.clone()
                };
                (claim, *allotment)
            })
            .collect();
        grant(&self.fallback, &claims, now)
    }
}

fn grant(
    allocator: &Mutex<PermitAllocator>,
    claims: &[AllottedClaim],
    now: Instant,
) -> Vec<PermitGrant> {
    // Each step leaves the allocator consistent, so a poisoned lock is safe to use.
    let mut allocator = allocator.lock().unwrap_or_else(PoisonError::into_inner);
    allocator.drop_idle(now);
    claims
        .iter()
        .map(|(claim, allotment)| match allotment {
            Some(allotment) => allocator.grant(claim, *allotment, now),
            None => PermitGrant::Calls(0),
        })
        .collect()
}

impl Gateway {
    /// Claims the permits that requests need, while backend servers state limits.
    pub(super) async fn claim_periodically(self: Arc<Self>) {
        loop {
            self.wait_for_limits().await;
            self.claim_permits();
            Timer.after(CLAIM_PERIOD).await;
        }
    }

    /// Hands out permits to another VM.
    pub(crate) fn grant_permits(&self, claims: &[PermitClaim]) -> Vec<PermitGrant> {
        self.node.metrics.count("gateway.permit_claims");
        let view = self.node.control.snapshot();
        let now = Timer.now();
        let allotted = self.allot(&view, claims, now);
        self.permits.grant(&allotted, now)
    }

    /// Returns how the permits of each claim are handed out.
    ///
    /// Those for cold servers are handed out by the VM that this one takes for their allocator, since the
    /// limit must hold while VMs know different fleets.
    fn allot(&self, view: &FleetView, claims: &[PermitClaim], now: Instant) -> Vec<AllottedClaim> {
        let may_grant = |claim: &PermitClaim| self.allocator(view, claim) == view.own.vm;
        self.allot_if(claims, may_grant, now)
    }

    /// Returns the same for this VM's own claims while the allocator does not answer.
    fn allot_alone(&self, claims: &[PermitClaim], now: Instant) -> Vec<AllottedClaim> {
        self.allot_if(claims, |_| true, now)
    }

    /// Returns how the permits of each claim are handed out; those for cold servers only if `may_grant`.
    fn allot_if(
        &self,
        claims: &[PermitClaim],
        may_grant: impl Fn(&PermitClaim) -> bool,
        now: Instant,
    ) -> Vec<AllottedClaim> {
        let is_cold = self.with_tables(|tables| {
            let is_cold = |claim: &PermitClaim| tables.replicas.is_cold(&claim.server, now);
            claims.iter().map(is_cold).collect::<Vec<_>>()
        });
        let sight = self.sight(now);
        let allotted = claims.iter().zip(is_cold).map(|(claim, is_cold)| {
            let allotment = if is_cold {
                may_grant(claim).then_some(Allotment::Cold(sight))
            } else {
                Some(Allotment::Stated)
            };
            (claim.clone(), allotment)
        });
        allotted.collect()
    }

    /// Returns what this VM knows about the fleet.
    fn sight(&self, now: Instant) -> FleetSight {
        let uptime = now.saturating_duration_since(self.started_at);
        self.servers.fleet_sight(uptime, now)
    }

    /// Sends the claims that are due, each to the VM that hands out the permits of its server.
    fn claim_permits(self: &Arc<Self>) {
        let now = Timer.now();
        let claims = self.with_tables(|tables| {
            let claims = tables.replicas.take_claims(now);
            self.update_limits(tables);
            claims
        });
        if claims.is_empty() {
            return;
        }
        let view = self.node.control.snapshot();
        let mut by_vm: BTreeMap<VmId, Vec<PermitClaim>> = BTreeMap::new();
        for claim in claims {
            let vm = self.allocator(&view, &claim);
            by_vm.entry(vm).or_default().push(claim);
        }
        for (vm, claims) in by_vm {
            if vm == view.own.vm {
                let allotted = self.allot(&view, &claims, now);
                let grants = self.permits.grant(&allotted, now);
                self.on_grants(&claims, grants, now);
            } else {
                let gateway = Arc::clone(self);
                let view = Arc::clone(&view);
                tokio::spawn(async move { gateway.claim_from(&view, &vm, claims).await });
            }
        }
    }

    /// Returns the VM that hands out the permits of a claim's server: one of the server's data centre
    /// if any answers, since most calls to the server come from there.
    fn allocator(&self, view: &FleetView, claim: &PermitClaim) -> VmId {
        let own = &view.own;
        let peers = view.answering_peers().map(|(vm, peer)| (vm, &peer.centre));
        let itself = (!own.leaving).then_some((&own.vm, &own.centre));
        let answering: Vec<_> = peers.chain(itself).collect();
        let centre = self.servers.centre(&claim.server);
        let near = answering
            .iter()
            .filter(|(_, other)| Some(*other) == centre.as_ref());
        let vm = choose_allocator(&claim.server, near.map(|(vm, _)| *vm))
            .or_else(|| choose_allocator(&claim.server, answering.iter().map(|(vm, _)| *vm)));
        VmId::clone(vm.unwrap_or(&view.own.vm))
    }

    /// Claims permits from another VM; takes a part of the limits without it if it does not answer.
    async fn claim_from(&self, view: &FleetView, vm: &VmId, claims: Vec<PermitClaim>) {
        let sent_at = Timer.now();
        let request = async {
            let client = self.node.peers.client(view, vm).await?;
            let context = peers::context_until(sent_at + ANSWER_TIMEOUT);
            peers::claim_permits(&client, context, claims.clone()).await
        };
        let result = timeout(ANSWER_TIMEOUT, request)
            .await
            .unwrap_or(Err(PeerError::Call(RpcError::DeadlineExceeded)));
        let error = match result {
            Ok(grants) => return self.on_grants(&claims, grants, sent_at),
            Err(error) => error,
        };
        self.on_call_failed(vm, &error);
        self.node.metrics.count("gateway.permits_unanswered");
        log::warn!(
            "gateway: VM {vm} did not grant permits for the calls to {} backend servers: {error}. A \
             part of their limits is used.",
            claims.len()
        );
        let vms = self.servers.peak_vms();
        let now = Timer.now();
        let allotted = self.allot_alone(&claims, now);
        let grants = self.permits.grant_fallback(&allotted, vms, now);
        self.on_grants(&claims, grants, sent_at);
    }

    fn on_grants(&self, claims: &[PermitClaim], grants: Vec<PermitGrant>, sent_at: Instant) {
        let now = Timer.now();
        self.with_tables(|tables| {
            for (claim, grant) in claims.iter().zip(grants) {
                tables.replicas.on_grant(claim, grant, sent_at, now);
            }
        });
    }
}
