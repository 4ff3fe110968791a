//! Building of the views that a process publishes, each from the previous one.

use std::{collections::HashMap, sync::Arc, time::Instant};

use super::{
    Node,
    members::{Member, MemberStatus},
};
use crate::{
    ids::{DataCentre, ServerId, VmId},
    view::{ConfigView, FleetView, MemberView, OwnView, OwnerView, OwnersView, Reachability},
};

/// Builds views that share their unchanged tables with the previous view.
#[derive(Debug, Default)]
pub struct ViewBuilder {
    members: Arc<HashMap<VmId, Arc<MemberView>>>,
    targets: Arc<HashMap<ServerId, OwnerView>>,
    /// The version of the ranking that `targets` was made from; `None` before the first view.
    targets_version: Option<u64>,
    members_changed: bool,
}

impl ViewBuilder {
    /// Builds the view of `node` at `now`.
    pub fn build(
        &mut self,
        node: &Node,
        config: Option<&Arc<ConfigView>>,
        now: Instant,
    ) -> FleetView {
        self.update_members(node);
        self.update_targets(node);
        let own = node.members().own();
        FleetView {
            own: OwnView {
                vm: VmId::clone(&own.vm),
                incarnation: own.incarnation,
                centre: DataCentre::clone(&own.centre),
                leaving: node.members().is_leaving(),
            },
            config: config.map(Arc::clone),
            members: Arc::clone(&self.members),
            owners: OwnersView {
                targets: Arc::clone(&self.targets),
                overrides: node.ownership().overrides(now).collect(),
                valid_until: Some(node.ownership().valid_until()),
            },
        }
    }

    /// Returns whether a process was added, was removed, or changed its reachability or data centre
    /// since the last call, and resets this state.
    pub fn take_members_changed(&mut self) -> bool {
        std::mem::take(&mut self.members_changed)
    }

    fn update_members(&mut self, node: &Node) {
        let members = node.members();
        let own = &members.own().vm;
        let others = members.iter().map(|(vm, one)| (vm, member_view(one)));
        let all = others.chain([(own, own_view(node))]);
        let changed: Vec<_> = all
            .filter(|(vm, view)| self.members.get(*vm).is_none_or(|known| **known != *view))
            .collect();
        let gone = |vm: &VmId| vm != own && members.get(vm).is_none();
        if changed.is_empty() && self.members.len() == members.iter().count() + 1 {
            return;
        }
        self.members_changed |= changed
            .iter()
            .any(|(vm, view)| self.is_notable_change(vm, view));
        let table = Arc::make_mut(&mut self.members);
        for (vm, view) in changed {
            table.insert(VmId::clone(vm), Arc::new(view));
        }
        let count = table.len();
        table.retain(|vm, _| !gone(vm));
        self.members_changed |= table.len() != count;
    }

    /// Returns whether `view` is of a new process or differs from the last one in its reachability
    /// or data centre.
    fn is_notable_change(&self, vm: &VmId, view: &MemberView) -> bool {
        self.members.get(vm).is_none_or(|known| {
            known.reachability != view.reachability || known.centre != view.centre
        })
    }

    fn update_targets(&mut self, node: &Node) {
        let targets_version = Some(node.ownership().targets_version());
        if self.targets_version == targets_version {
            return;
        }
        self.targets_version = targets_version;
        self.targets = Arc::new(node.ownership().targets().collect());
    }
}

fn member_view(member: &Member) -> MemberView {
    let reachability = match member.reachability {
        Reachability::Alive if member.leaving => Reachability::Leaving,
        // Membership updates do not say whether a member serves, so one that was never heard from
        // directly stays alive.
        Reachability::Alive if !member.serving && member.last_heard.is_some() => {
            Reachability::Unknown
        }
        reachability => reachability,
    };
    MemberView {
        incarnation: member.incarnation,
        centre: DataCentre::clone(&member.centre),
        peers: member.peers,
        callers: member.callers,
        capacity: member.capacity,
        reachability,
        detached: member.attachment.detached,
        load: member.load,
        alive_since: member.alive_since,
    }
}

fn own_view(node: &Node) -> MemberView {
    let own = node.members().own();
    let status = node.status();
    MemberView {
        incarnation: Some(own.incarnation),
        centre: DataCentre::clone(&own.centre),
        peers: own.peers,
        callers: own.callers,
        capacity: own.capacity,
        reachability: match status {
            MemberStatus { leaving: true, .. } => Reachability::Leaving,
            MemberStatus { serving: false, .. } => Reachability::Unknown,
            MemberStatus { .. } => Reachability::Alive,
        },
        detached: status.attachment.detached,
        load: status.load,
        alive_since: node.ready_since(),
    }
}
