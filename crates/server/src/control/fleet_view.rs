//! The fleet's part of the view that the control thread publishes.

use std::{sync::Arc, time::Instant};

use cassialift_core::{
    fleet::{
        Node,
        members::{Member, Status},
    },
    ids::{DataCentre, VmId},
    view::{ConfigView, FleetView, MemberView, OwnView, Reach},
};

/// Builds the view to publish.
pub(super) fn build(node: &Node, config: Option<&Arc<ConfigView>>, now: Instant) -> FleetView {
    let members = node.members();
    let own = members.own();
    FleetView {
        own: OwnView {
            vm: VmId::clone(&own.vm),
            incarnation: own.incarnation,
            centre: DataCentre::clone(&own.centre),
            leaving: members.is_leaving(),
        },
        config: config.map(Arc::clone),
        members: members
            .iter()
            .map(|(vm, one)| (VmId::clone(vm), member(one)))
            .chain([(VmId::clone(&own.vm), itself(node))])
            .collect(),
        owners: node.ownership().views(now).collect(),
    }
}

fn member(member: &Member) -> MemberView {
    let reach = match member.reach {
        Reach::Alive if member.leaving => Reach::Leaving,
        Reach::Alive if !member.serving => Reach::Unknown,
        reach => reach,
    };
    MemberView {
        incarnation: member.incarnation,
        centre: DataCentre::clone(&member.centre),
        peers: member.peers,
        callers: member.callers,
        reach,
        load: member.load,
        since: member.since,
    }
}

fn itself(node: &Node) -> MemberView {
    let own = node.members().own();
    let status = node.status();
    MemberView {
        incarnation: Some(own.incarnation),
        centre: DataCentre::clone(&own.centre),
        peers: own.peers,
        callers: own.callers,
        reach: match status {
            Status { leaving: true, .. } => Reach::Leaving,
            Status { serving: false, .. } => Reach::Unknown,
            Status { .. } => Reach::Alive,
        },
        load: status.load,
        since: node.since(),
    }
}
