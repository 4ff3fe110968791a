//! Views that share what has not changed against views computed anew.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use rand::Rng;

use super::{
    bench::{Bench, Process, listed},
    whole_fleet,
};
use crate::{
    fleet::ViewBuilder,
    ids::{Incarnation, ServerId, VmId},
    view::{FleetView, OwnerView},
};

/// The builders of all runs of processes.
type Builders = BTreeMap<(VmId, Incarnation), ViewBuilder>;

fn random_step(bench: &mut Bench, servers: usize) {
    let index = bench.rng.random_range(0..5);
    let vm = listed(index).vm;
    let now = bench.now;
    match bench.rng.random_range(0..8) {
        0 => {
            let mask = bench.rng.random_range(1..31);
            bench.split(mask);
        }
        1 => bench.processes.get_mut(&vm).unwrap().frozen = true,
        2 => bench.processes.get_mut(&vm).unwrap().killed = true,
        3 => {
            let kept = bench.rng.random_range(1..5);
            bench.publish((0..kept).map(listed).collect());
        }
        4 => {
            let kept = bench.rng.random_range(1..=servers);
            let process = bench.processes.get_mut(&vm).unwrap();
            process.node.set_servers(bench.servers[..kept].iter());
        }
        5 => {
            let load = bench.rng.random_range(0..9);
            bench.processes.get_mut(&vm).unwrap().node.set_load(load);
        }
        6 => bench.processes.get_mut(&vm).unwrap().node.leave(now),
        _ => {
            bench.cuts.clear();
            bench.publish((0..5).map(listed).collect());
            for process in bench.processes.values_mut() {
                process.frozen = false;
                process.node.set_servers(bench.servers.iter());
            }
            if bench.processes[&vm].killed {
                bench.start(index);
            }
        }
    }
}

/// Compares every process's next view with one made without the views before it.
fn compare(bench: &Bench, builders: &mut Builders) {
    for (vm, process) in &bench.processes {
        let own = process.node.members().own();
        let key = (VmId::clone(vm), own.incarnation);
        let builder = builders.entry(key).or_default();
        let view = builder.build(&process.node, None, bench.now);
        let anew = ViewBuilder::default().build(&process.node, None, bench.now);
        assert_eq!(view.members, anew.members);
        assert_owners(&view, process, bench);
        assert!(process.node.ownership().visits_all());
    }
}

fn assert_owners(view: &FleetView, process: &Process, bench: &Bench) {
    let expected: HashMap<ServerId, OwnerView> =
        process.node.ownership().views(bench.now).collect();
    let named = view.owners.targets.keys();
    let found: HashMap<ServerId, OwnerView> = named
        .map(|id| {
            let mut owner = view.owners.get(id).unwrap().clone();
            owner.valid_until = owner.valid_until.or(view.owners.valid_until);
            (ServerId::clone(id), owner)
        })
        .collect();
    assert_eq!(found, expected);
    assert!(
        view.owners
            .overrides
            .keys()
            .all(|id| expected.contains_key(id))
    );
}

#[test]
fn test_views_equal_views_made_anew() {
    for seed in 0..30 {
        let mut bench = whole_fleet(seed, 5, 12);
        let mut builders = Builders::new();
        for _ in 0..40 {
            random_step(&mut bench, 12);
            for _ in 0..bench.rng.random_range(1..30) {
                bench.step();
                compare(&bench, &mut builders);
            }
        }
    }
}

#[test]
fn test_view_of_a_frozen_process_gives_no_rights() {
    for seed in 0..5 {
        let mut bench = whole_fleet(seed, 5, 12);
        let frozen = listed(1).vm;
        let mut builder = ViewBuilder::default();
        let node = &bench.processes[&frozen].node;
        let last = builder.build(node, None, bench.now);
        bench.processes.get_mut(&frozen).unwrap().frozen = true;
        bench.run(Duration::from_millis(1_100));
        assert!(last.owners.valid_until.unwrap() <= bench.now);
        let lapsed = |owner: &OwnerView| owner.valid_until.unwrap() <= bench.now;
        assert!(last.owners.overrides.values().all(lapsed));
        let woken = builder.build(&bench.processes[&frozen].node, None, bench.now);
        assert!(
            woken
                .owners
                .overrides
                .values()
                .all(|owner| owner.slots == 0)
        );
    }
}

#[test]
fn test_views_share_what_has_not_changed() {
    let mut bench = whole_fleet(1, 5, 12);
    let vm = listed(1).vm;
    let mut builder = ViewBuilder::default();
    let before = builder.build(&bench.processes[&vm].node, None, bench.now);
    assert!(builder.take_members_changed());
    bench.run(Duration::from_secs(2));
    let after = builder.build(&bench.processes[&vm].node, None, bench.now);
    assert!(Arc::ptr_eq(&before.members, &after.members));
    let targets = (&before.owners.targets, &after.owners.targets);
    assert!(Arc::ptr_eq(targets.0, targets.1));
    assert!(!builder.take_members_changed());
}

#[test]
fn test_views_forget_processes_that_are_gone() {
    let mut bench = whole_fleet(1, 5, 12);
    let gone = listed(4).vm;
    let mut builders = Builders::new();
    compare(&bench, &mut builders);
    bench.processes.get_mut(&gone).unwrap().killed = true;
    bench.publish((0..4).map(listed).collect());
    bench.run(Duration::from_secs(80));
    let left = &bench.processes[&listed(0).vm];
    assert!(left.node.members().get(&gone).is_none());
    compare(&bench, &mut builders);
}
