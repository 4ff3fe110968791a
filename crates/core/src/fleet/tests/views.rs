//! Tests that views which share unchanged tables equal views that are built from scratch.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use rand::Rng;

use super::{
    settled_fleet,
    simulation::{Process, Simulation, listed},
};
use crate::{
    fleet::ViewBuilder,
    ids::{Incarnation, ServerId, VmId},
    view::{FleetView, OwnerView},
};

/// The view builders of all runs of processes.
type Builders = BTreeMap<(VmId, Incarnation), ViewBuilder>;

fn random_step(simulation: &mut Simulation, servers: usize) {
    let index = simulation.rng.random_range(0..5);
    let vm = listed(index).vm;
    let now = simulation.now;
    match simulation.rng.random_range(0..8) {
        0 => {
            let mask = simulation.rng.random_range(1..31);
            simulation.split(mask);
        }
        1 => simulation.processes.get_mut(&vm).unwrap().frozen = true,
        2 => simulation.processes.get_mut(&vm).unwrap().killed = true,
        3 => {
            let kept = simulation.rng.random_range(1..5);
            simulation.publish((0..kept).map(listed).collect());
        }
        4 => {
            let kept = simulation.rng.random_range(1..=servers);
            let process = simulation.processes.get_mut(&vm).unwrap();
            process.node.set_servers(simulation.servers[..kept].iter());
        }
        5 => {
            let load = simulation.rng.random_range(0..9);
            simulation
                .processes
                .get_mut(&vm)
                .unwrap()
                .node
                .set_load(load);
        }
        6 => simulation.processes.get_mut(&vm).unwrap().node.leave(now),
        _ => {
            simulation.cuts.clear();
            simulation.publish((0..5).map(listed).collect());
            for process in simulation.processes.values_mut() {
                process.frozen = false;
                process.node.set_servers(simulation.servers.iter());
            }
            if simulation.processes[&vm].killed {
                simulation.start(index);
            }
        }
    }
}

/// Compares every process's next view with one that is built without the previous views.
fn compare(simulation: &Simulation, builders: &mut Builders) {
    for (vm, process) in &simulation.processes {
        let own = process.node.members().own();
        let key = (VmId::clone(vm), own.incarnation);
        let builder = builders.entry(key).or_default();
        let view = builder.build(&process.node, None, simulation.now);
        let expected = ViewBuilder::default().build(&process.node, None, simulation.now);
        assert_eq!(view.members, expected.members);
        assert_owners(&view, process, simulation);
        assert!(process.node.ownership().visits_all());
    }
}

fn assert_owners(view: &FleetView, process: &Process, simulation: &Simulation) {
    let expected: HashMap<ServerId, OwnerView> =
        process.node.ownership().views(simulation.now).collect();
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
        let mut simulation = settled_fleet(seed, 5, 12);
        let mut builders = Builders::new();
        for _ in 0..40 {
            random_step(&mut simulation, 12);
            for _ in 0..simulation.rng.random_range(1..30) {
                simulation.step();
                compare(&simulation, &mut builders);
            }
        }
    }
}

#[test]
fn test_view_of_a_frozen_process_gives_no_rights() {
    for seed in 0..5 {
        let mut simulation = settled_fleet(seed, 5, 12);
        let frozen = listed(1).vm;
        let mut builder = ViewBuilder::default();
        let node = &simulation.processes[&frozen].node;
        let last = builder.build(node, None, simulation.now);
        simulation.processes.get_mut(&frozen).unwrap().frozen = true;
        simulation.run(Duration::from_millis(1_100));
        assert!(last.owners.valid_until.unwrap() <= simulation.now);
        let lapsed = |owner: &OwnerView| owner.valid_until.unwrap() <= simulation.now;
        assert!(last.owners.overrides.values().all(lapsed));
        let resumed = builder.build(&simulation.processes[&frozen].node, None, simulation.now);
        assert!(
            resumed
                .owners
                .overrides
                .values()
                .all(|owner| owner.slots == 0)
        );
    }
}

#[test]
fn test_views_share_what_has_not_changed() {
    let mut simulation = settled_fleet(1, 5, 12);
    let vm = listed(1).vm;
    let mut builder = ViewBuilder::default();
    let before = builder.build(&simulation.processes[&vm].node, None, simulation.now);
    assert!(builder.take_members_changed());
    simulation.run(Duration::from_secs(2));
    let after = builder.build(&simulation.processes[&vm].node, None, simulation.now);
    assert!(Arc::ptr_eq(&before.members, &after.members));
    let targets = (&before.owners.targets, &after.owners.targets);
    assert!(Arc::ptr_eq(targets.0, targets.1));
    assert!(!builder.take_members_changed());
}

#[test]
fn test_views_forget_processes_that_are_gone() {
    let mut simulation = settled_fleet(1, 5, 12);
    let gone = listed(4).vm;
    let mut builders = Builders::new();
    compare(&simulation, &mut builders);
    simulation.processes.get_mut(&gone).unwrap().killed = true;
    simulation.publish((0..4).map(listed).collect());
    simulation.run(Duration::from_secs(80));
    let remaining = &simulation.processes[&listed(0).vm];
    assert!(remaining.node.members().get(&gone).is_none());
    compare(&simulation, &mut builders);
}
