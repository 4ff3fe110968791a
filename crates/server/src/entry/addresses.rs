//! Which addresses a caller may use.

use std::{net::SocketAddr, sync::Arc};

use cassialift_core::{
    fleet::addresses::{AddressSettings, Entry, choose},
    ids::{DataCentre, VmId},
    request::{Ran, RefusalReason},
    view::{FleetView, MemberView},
};
use cassialift_wire::caller::{AddressAnswer, AddressQuery};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::refuse::Refused;
use crate::{process::Node, timer::Timer};

pub(super) fn answer(node: &Node, query: AddressQuery) -> Result<AddressAnswer, Refused> {
    let view = node.control.view();
    let Some(config) = &view.config else {
        return Err(Refused::new(
            RefusalReason::NoConfig,
            Ran::NotRun,
            "no configuration has been accepted yet".to_owned(),
        ));
    };
    let near = query.near.unwrap_or_else(|| Arc::clone(&view.own.centre));
    Ok(AddressAnswer {
        addresses: choose_from(&view, &near, |_| true),
        ttl: config.policy.address_ttl,
    })
}

/// Refuses a request that came to a VM which has left, and names better addresses.
pub(super) fn refuse_leaving(node: &Node, ran: Ran) -> Refused {
    let view = node.control.view();
    let own = &view.own.vm;
    let detail = "this VM has left; ask again at another address".to_owned();
    let mut refused = Refused::new(RefusalReason::Leaving, ran, detail);
    refused.refusal.addresses = choose_from(&view, &view.own.centre, |vm| vm != own);
    refused
}

fn choose_from(
    view: &FleetView,
    near: &DataCentre,
    wanted: impl Fn(&VmId) -> bool,
) -> Vec<SocketAddr> {
    let members = view.members.iter().filter(|(vm, _)| wanted(vm));
    let entries: Vec<_> = members.map(|(_, member)| entry(member)).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(rand::random());
    let settings = AddressSettings::default();
    choose(&entries, near, &settings, &mut rng, Timer.now())
}

fn entry(member: &MemberView) -> Entry {
    Entry {
        centre: Arc::clone(&member.centre),
        address: member.callers,
        reach: member.reach,
        load: member.load,
        since: member.since,
    }
}
