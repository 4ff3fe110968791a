//! Answers to callers that ask which addresses to use.

use std::{net::SocketAddr, sync::Arc};

use cassialift_core::{
    fleet::addresses::{AddressEntry, AddressSettings, select_addresses},
    ids::{DataCentre, VmId},
    request::{ExecutionStatus, RefusalReason},
    time::Millis,
    view::{FleetView, MemberView, Reachability},
};
use cassialift_wire::caller::{AddressAnswer, AddressQuery};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::refuse::RefusalError;
use crate::{process::Node, timer::Timer};

pub(super) fn answer(node: &Node, query: AddressQuery) -> Result<AddressAnswer, RefusalError> {
    let view = node.control.view();
    let Some(config) = &view.config else {
        return Err(RefusalError::no_config());
    };
    let near = query.near.unwrap_or_else(|| Arc::clone(&view.own.centre));
    let ttl = config.policy.address_ttl;
    if view.own.leaving {
        return answer_leaving(node, &view, &near, ttl);
    }
    let addresses = choose_addresses(&view, &near, |_, _| true);
    if addresses.is_empty() {
        // A VM that has just started does not count itself before it has heard from its peers; the
        // caller should ask another one.
        return Err(RefusalError::no_addresses());
    }
    Ok(AddressAnswer { addresses, ttl })
}

/// Returns the addresses of VMs that are not leaving, or else this VM's own address for as long as
/// it is certain to accept requests.
fn answer_leaving(
    node: &Node,
    view: &FleetView,
    near: &DataCentre,
    ttl: Millis,
) -> Result<AddressAnswer, RefusalError> {
    let addresses = choose_addresses(view, near, |_, member| {
        member.reachability != Reachability::Leaving
    });
    if !addresses.is_empty() {
        return Ok(AddressAnswer { addresses, ttl });
    }
    let Some(ttl) = node.drain.remaining_ttl(ttl, Timer.now()) else {
        return Err(refuse_leaving(node, ExecutionStatus::NotRun));
    };
    let addresses = vec![node.settings.callers];
    Ok(AddressAnswer { addresses, ttl })
}

/// Builds the refusal of a request that arrived after this VM left, with addresses of other VMs.
pub(super) fn refuse_leaving(node: &Node, ran: ExecutionStatus) -> RefusalError {
    let view = node.control.view();
    let own = &view.own.vm;
    let detail = "this VM has left; ask again at another address".to_owned();
    let mut refused = RefusalError::new(RefusalReason::Leaving, ran, detail);
    refused.refusal.addresses = choose_addresses(&view, &view.own.centre, |vm, _| vm != own);
    refused
}

fn choose_addresses(
    view: &FleetView,
    near: &DataCentre,
    wanted: impl Fn(&VmId, &MemberView) -> bool,
) -> Vec<SocketAddr> {
    let entries = address_entries(view, wanted);
    let mut rng = ChaCha8Rng::seed_from_u64(rand::random());
    let settings = AddressSettings::default();
    select_addresses(&entries, near, &settings, &mut rng, Timer.now())
}

/// Returns the wanted members of a view as candidates for address answers.
pub(crate) fn address_entries(
    view: &FleetView,
    wanted: impl Fn(&VmId, &MemberView) -> bool,
) -> Vec<AddressEntry> {
    let members = view.members.iter();
    let members = members.filter(|(vm, member)| wanted(vm, member));
    members.map(|(_, member)| candidate(member)).collect()
}

fn candidate(member: &MemberView) -> AddressEntry {
    AddressEntry {
        centre: Arc::clone(&member.centre),
        address: member.callers,
        capacity: member.capacity,
        reachability: member.reachability,
        load: member.load,
        alive_since: member.alive_since,
    }
}
