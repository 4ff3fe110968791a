//! The fleet's part of the view that the control thread publishes.

use std::{collections::HashMap, sync::Arc, time::Instant};

use cassialift_core::{
    fleet::{
        Node,
        members::{Member, Status},
    },
    ids::{DataCentre, ServerId, VmId},
    index::ServerEntry,
    view::{ConfigView, FleetView, MemberView, OwnView, OwnerView, Reach},
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
        owners: owners(node, config, now),
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

fn owners(
    node: &Node,
    config: Option<&Arc<ConfigView>>,
    now: Instant,
) -> HashMap<ServerId, OwnerView> {
    let indexes = config.iter().flat_map(|config| config.indexes.values());
    let servers = indexes.flat_map(|index| &index.servers);
    servers
        .map(|server| (ServerId::clone(&server.id), owner(node, server, now)))
        .collect()
}

fn owner(node: &Node, server: &ServerEntry, now: Instant) -> OwnerView {
    let ownership = node.ownership();
    let (owner, standby) = ownership.route(&server.id, now);
    let share = ownership.share(&server.id, now);
    OwnerView {
        owner,
        standby,
        slots: share.slots,
        connections: share.connections,
        until: Some(ownership.share_until(&server.id, now)),
    }
}
