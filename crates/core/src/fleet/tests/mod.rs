//! Property tests of membership and ownership together, over links that delay and lose messages.

mod simulation;
mod views;

use std::time::{Duration, Instant};

use rand::Rng;

use self::simulation::{Simulation, listed};
use super::{Heartbeat, Node, members::MemberEvent, ownership::server_key};
use crate::{ids::VmId, view::Reachability};

fn settled_fleet(seed: u64, size: usize, servers: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, servers);
    simulation.list = (0..size).map(listed).collect();
    for index in 0..size {
        simulation.start(index);
    }
    simulation.run_until_owned(Duration::from_secs(20));
    // After this time every process counts as settled.
    simulation.run(Duration::from_secs(5));
    simulation.run_until_owned(Duration::from_secs(20));
    simulation
}

#[test]
fn test_fleet_starts_and_owns_every_server() {
    for seed in 0..10 {
        let simulation = settled_fleet(seed, 5, 12);
        for process in simulation.processes.values() {
            let reached = process.node.members().iter();
            assert!(reached.fold(true, |all, (_, one)| all
                && one.reachability == Reachability::Alive));
        }
    }
}

#[test]
fn test_killed_owner_is_replaced_within_two_seconds() {
    for seed in 0..10 {
        let mut simulation = settled_fleet(seed, 5, 12);
        let failed = listed(usize::try_from(seed).unwrap() % 5).vm;
        simulation.processes.get_mut(&failed).unwrap().killed = true;
        simulation.run_until_owned(Duration::from_secs(2));
    }
}

#[test]
fn test_standby_serves_for_silent_owner_within_two_seconds() {
    for seed in 0..10 {
        let mut simulation = settled_fleet(seed, 5, 12);
        let failed = listed(usize::try_from(seed).unwrap() % 5).vm;
        simulation.processes.get_mut(&failed).unwrap().frozen = true;
        simulation.run(Duration::from_secs(2));
        for server in &simulation.servers {
            assert!(!simulation.users(&server.id).is_empty());
        }
        simulation.processes.get_mut(&failed).unwrap().frozen = false;
        simulation.run_until_owned(Duration::from_secs(20));
    }
}

#[test]
fn test_leaving_process_hands_over_everything() {
    for seed in 0..10 {
        let mut simulation = settled_fleet(seed, 5, 12);
        let leaving = listed(0).vm;
        let now = simulation.now;
        simulation
            .processes
            .get_mut(&leaving)
            .unwrap()
            .node
            .leave(now);
        simulation.run(Duration::from_secs(2));
        for server in &simulation.servers {
            assert!(
                !simulation.users(&server.id).contains(&leaving),
                "{}",
                server.id
            );
            assert!(!simulation.users(&server.id).is_empty(), "{}", server.id);
        }
        simulation.run_until_owned(Duration::from_secs(5));
    }
}

#[test]
fn test_joining_process_is_handed_its_servers_without_a_gap() {
    for seed in 0..10 {
        let mut simulation = settled_fleet(seed, 4, 24);
        simulation.publish((0..5).map(listed).collect());
        let joiner = simulation.start(4);
        let end = simulation.now + Duration::from_secs(15);
        let mut handed = 0;
        while simulation.now < end {
            simulation.step();
            simulation.check();
            for server in &simulation.servers {
                assert!(!simulation.users(&server.id).is_empty(), "{}", server.id);
            }
            let owned = simulation.servers.iter().filter(|server| {
                let users = simulation.users(&server.id);
                users.contains(&joiner)
            });
            handed = owned.count();
        }
        assert!(handed > 0);
        assert_eq!(simulation.without_sole_user(), None);
    }
}

/// Random faults, injected one at a time into a fleet that agrees on the VM list, must not let the
/// shares of a server exceed its slots or connections.
#[test]
fn test_shares_stay_within_the_server_under_faults() {
    for seed in 0..120 {
        let mut simulation = settled_fleet(seed, 5, 6);
        for _ in 0..6 {
            let pick = listed(simulation.rng.random_range(0..5));
            let index: usize = pick.vm.rsplit('-').next().unwrap().parse().unwrap();
            let other = listed((index + simulation.rng.random_range(1..5)) % 5).vm;
            match simulation.rng.random_range(0..5) {
                0 => {
                    let mask = simulation.rng.random_range(1..31);
                    simulation.split(mask);
                }
                1 => simulation.cut(&pick.vm, &other),
                2 => {
                    simulation.cut(&pick.vm, &other);
                    simulation.cut(&other, &pick.vm);
                }
                3 => simulation.processes.get_mut(&pick.vm).unwrap().frozen = true,
                _ => simulation.processes.get_mut(&pick.vm).unwrap().killed = true,
            }
            let time = Duration::from_millis(simulation.rng.random_range(100..8_000));
            simulation.run(time);
            simulation.cuts.clear();
            simulation.processes.get_mut(&pick.vm).unwrap().frozen = false;
            if simulation.processes[&pick.vm].killed {
                simulation.start(index);
            }
            let time = Duration::from_millis(simulation.rng.random_range(100..6_000));
            simulation.run(time);
        }
        simulation.run_until_owned(Duration::from_secs(30));
    }
}

/// VMs are replaced while the VM list lags and links fail, so that processes disagree on who
/// exists; shares must not exceed a server's slots or connections.
#[test]
fn test_shares_stay_within_the_server_while_the_list_lags() {
    for seed in 100..180 {
        let mut simulation = settled_fleet(seed, 4, 6);
        let mut names: Vec<usize> = (0..4).collect();
        for joiner in 4..8 {
            let leaving = names.remove(simulation.rng.random_range(0..names.len()));
            names.push(joiner);
            simulation.start(joiner);
            simulation.run(Duration::from_millis(100));
            // Some processes get the new list at once, the others after the fault.
            let list: Vec<_> = names
                .iter()
                .chain([&leaving])
                .map(|one| listed(*one))
                .collect();
            let now = simulation.now;
            for (vm, process) in &mut simulation.processes {
                if *vm == listed(joiner).vm || simulation.rng.random_bool(0.5) {
                    process.node.set_vm_list(&list, now);
                }
            }
            let time = Duration::from_millis(simulation.rng.random_range(0..6_000));
            simulation.run(time);
            let mask = simulation.rng.random_range(1..31);
            simulation.split(mask);
            let time = Duration::from_millis(simulation.rng.random_range(100..6_000));
            simulation.run(time);
            simulation.cuts.clear();
            simulation.publish(list);
            let vm = listed(leaving).vm;
            simulation.processes.get_mut(&vm).unwrap().node.leave(now);
            let time = Duration::from_millis(simulation.rng.random_range(100..6_000));
            simulation.run(time);
            simulation.processes.get_mut(&vm).unwrap().killed = true;
            simulation.publish(names.iter().map(|one| listed(*one)).collect());
            simulation.run(Duration::from_secs(2));
        }
        simulation.run_until_owned(Duration::from_secs(30));
    }
}

/// An owner that was taken off the VM list while frozen, and that is cut off when it resumes, must
/// not use the servers that others own in the meantime.
#[test]
fn test_resumed_owner_uses_nothing_before_it_is_heard() {
    for seed in 0..10 {
        let mut simulation = settled_fleet(seed, 4, 12);
        let owner = listed(1).vm;
        simulation.processes.get_mut(&owner).unwrap().frozen = true;
        simulation.publish([0, 2, 3].map(listed).to_vec());
        simulation.run(Duration::from_secs(6));
        simulation.split(0b0010);
        simulation.processes.get_mut(&owner).unwrap().frozen = false;
        simulation.run(Duration::from_secs(20));
        assert!(
            simulation
                .servers
                .iter()
                .all(|server| !simulation.users(&server.id).contains(&owner))
        );
        assert_eq!(simulation.without_sole_user(), None);
    }
}

/// Returns a heartbeat of `from` that would change much if it were applied: it reports that `from`
/// is leaving, and names every server as held and offered.
fn disruptive_heartbeat(simulation: &mut Simulation, from: &VmId, to: &VmId) -> Heartbeat {
    let now = simulation.now;
    let node = &mut simulation.processes.get_mut(from).unwrap().node;
    let mut heartbeat = node.heartbeat(to, now);
    let servers = simulation.servers.iter();
    let keys: Vec<_> = servers.map(|server| server_key(&server.id)).collect();
    heartbeat.status.leaving = true;
    heartbeat.status.load = 77;
    heartbeat.ownership.sequence += 1_000;
    heartbeat.ownership.holds.clone_from(&keys);
    heartbeat.ownership.offers = keys;
    heartbeat
}

fn count_dropped(node: &mut Node) -> usize {
    let (events, _) = node.take_events();
    let is_drop = |event: &&MemberEvent| matches!(event, MemberEvent::MessageDropped { .. });
    events.iter().filter(is_drop).count()
}

/// Returns the membership and ownership state of a process as text.
fn state_text(node: &Node) -> String {
    format!(
        "{:?} {:?}",
        node.members().iter().collect::<Vec<_>>(),
        node.ownership()
    )
}

/// Asserts that the messages that `deliver` passes to a process do not change its state, and are
/// counted as dropped `count` times.
fn assert_drops(
    simulation: &mut Simulation,
    vm: &VmId,
    count: usize,
    deliver: impl FnOnce(&mut Node, Instant),
) {
    let node = &mut simulation.processes.get_mut(vm).unwrap().node;
    node.take_events();
    let before = state_text(node);
    deliver(node, simulation.now);
    assert_eq!(state_text(node), before);
    assert_eq!(count_dropped(node), count);
}

#[test]
fn test_beat_of_a_former_run_changes_nothing_and_is_counted() {
    let mut simulation = settled_fleet(3, 3, 6);
    let [receiver, restarted] = [0, 1].map(|index| listed(index).vm);
    let heartbeat = disruptive_heartbeat(&mut simulation, &restarted, &receiver);
    simulation.start(1);
    simulation.run_until_owned(Duration::from_secs(20));
    assert_drops(&mut simulation, &receiver, 3, |node, now| {
        for _ in 0..3 {
            assert_eq!(node.receive(&heartbeat, now).ownership, None);
        }
    });
}

#[test]
fn test_replayed_beat_is_not_answered_again() {
    let mut simulation = settled_fleet(6, 3, 6);
    let [receiver, other] = [0, 1].map(|index| listed(index).vm);
    let now = simulation.now;
    let sender = &mut simulation.processes.get_mut(&other).unwrap().node;
    let [first, second] = [0; 2].map(|_| sender.heartbeat(&receiver, now));
    let node = &mut simulation.processes.get_mut(&receiver).unwrap().node;
    assert!(node.receive(&first, now).ownership.is_some());
    assert!(node.receive(&second, now).ownership.is_some());
    let before = format!("{:?}", node.ownership());
    for heartbeat in [&second, &first] {
        assert_eq!(node.receive(heartbeat, now).ownership, None);
    }
    assert_eq!(format!("{:?}", node.ownership()), before);
}

#[test]
fn test_beat_under_ones_own_name_changes_nothing_and_is_counted() {
    let mut simulation = settled_fleet(4, 3, 6);
    let [receiver, other] = [0, 1].map(|index| listed(index).vm);
    let mut heartbeat = disruptive_heartbeat(&mut simulation, &other, &receiver);
    heartbeat.from.vm = VmId::clone(&receiver);
    assert_drops(&mut simulation, &receiver, 1, |node, now| {
        assert_eq!(node.receive(&heartbeat, now).ownership, None);
    });
}

#[test]
fn test_reply_of_a_former_run_changes_nothing_and_is_counted() {
    let mut simulation = settled_fleet(5, 3, 6);
    let [requester, restarted] = [0, 1].map(|index| listed(index).vm);
    let heartbeat = disruptive_heartbeat(&mut simulation, &requester, &restarted);
    let now = simulation.now;
    let replier = &mut simulation.processes.get_mut(&restarted).unwrap().node;
    let mut reply = replier.receive(&heartbeat, now);
    if let Some(ownership) = &mut reply.ownership {
        ownership.stands.clone_from(&heartbeat.ownership.holds);
    }
    simulation.start(1);
    simulation.run_until_owned(Duration::from_secs(20));
    assert_drops(&mut simulation, &requester, 1, |node, now| {
        node.receive_reply(&restarted, &heartbeat, &reply, now, now);
    });
}
