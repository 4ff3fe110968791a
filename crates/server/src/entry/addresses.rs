//! Which addresses a caller may use.

use std::net::SocketAddr;

use cassialift_core::{
    request::{Ran, RefusalReason},
    view::Reach,
};
use cassialift_wire::caller::AddressAnswer;

use super::refuse::Refused;
use crate::process::Node;

pub(super) fn answer(node: &Node) -> Result<AddressAnswer, Refused> {
    let view = node.control.view();
    let Some(config) = &view.config else {
        return Err(Refused::new(
            RefusalReason::NoConfig,
            Ran::NotRun,
            "no configuration has been accepted yet".to_owned(),
        ));
    };
    let alive = view.members.values();
    let addresses: Vec<SocketAddr> = alive
        .filter(|member| member.reach == Reach::Alive)
        .map(|member| member.callers)
        .collect();
    Ok(AddressAnswer {
        addresses,
        ttl: config.policy.address_ttl,
    })
}
