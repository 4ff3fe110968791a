//! Property tests of membership and ownership together, over a lossy exchange of messages.

mod bench;
mod views;

use std::time::{Duration, Instant};

use rand::Rng;

use self::bench::{Bench, listed};
use super::{Heartbeat, Node, members::MemberEvent, ownership::server_key};
use crate::{ids::VmId, view::Reachability};

fn whole_fleet(seed: u64, size: usize, servers: usize) -> Bench {
    let mut bench = Bench::new(seed, servers);
    bench.list = (0..size).map(listed).collect();
    for index in 0..size {
        bench.start(index);
    }
    bench.run_until_whole(Duration::from_secs(20));
    // Long enough for every process to count as settled.
    bench.run(Duration::from_secs(5));
    bench.run_until_whole(Duration::from_secs(20));
    bench
}

#[test]
fn test_fleet_starts_and_owns_every_server() {
    for seed in 0..10 {
        let bench = whole_fleet(seed, 5, 12);
        for process in bench.processes.values() {
            let reached = process.node.members().iter();
            assert!(reached.fold(true, |all, (_, one)| all
                && one.reachability == Reachability::Alive));
        }
    }
}

#[test]
fn test_killed_owner_is_replaced_within_two_seconds() {
    for seed in 0..10 {
        let mut bench = whole_fleet(seed, 5, 12);
        let victim = listed(usize::try_from(seed).unwrap() % 5).vm;
        bench.processes.get_mut(&victim).unwrap().killed = true;
        bench.run_until_whole(Duration::from_secs(2));
    }
}

#[test]
fn test_silent_owner_is_stood_in_for_within_two_seconds() {
    for seed in 0..10 {
        let mut bench = whole_fleet(seed, 5, 12);
        let victim = listed(usize::try_from(seed).unwrap() % 5).vm;
        bench.processes.get_mut(&victim).unwrap().frozen = true;
        bench.run(Duration::from_secs(2));
        for server in &bench.servers {
            assert!(!bench.users(&server.id).is_empty());
        }
        bench.processes.get_mut(&victim).unwrap().frozen = false;
        bench.run_until_whole(Duration::from_secs(20));
    }
}

#[test]
fn test_leaving_process_hands_over_everything() {
    for seed in 0..10 {
        let mut bench = whole_fleet(seed, 5, 12);
        let leaver = listed(0).vm;
        let now = bench.now;
        bench.processes.get_mut(&leaver).unwrap().node.leave(now);
        bench.run(Duration::from_secs(2));
        for server in &bench.servers {
            assert!(!bench.users(&server.id).contains(&leaver), "{}", server.id);
            assert!(!bench.users(&server.id).is_empty(), "{}", server.id);
        }
        bench.run_until_whole(Duration::from_secs(5));
    }
}

#[test]
fn test_joining_process_is_handed_its_servers_without_a_gap() {
    for seed in 0..10 {
        let mut bench = whole_fleet(seed, 4, 24);
        bench.publish((0..5).map(listed).collect());
        let joiner = bench.start(4);
        let end = bench.now + Duration::from_secs(15);
        let mut handed = 0;
        while bench.now < end {
            bench.step();
            bench.check();
            for server in &bench.servers {
                assert!(!bench.users(&server.id).is_empty(), "{}", server.id);
            }
            let owned = bench.servers.iter().filter(|server| {
                let users = bench.users(&server.id);
                users.contains(&joiner)
            });
            handed = owned.count();
        }
        assert!(handed > 0);
        assert_eq!(bench.broken(), None);
    }
}

/// Draws faults of every kind, one at a time, over a fleet that agrees on the VM list.
#[test]
fn test_shares_stay_within_the_server_under_faults() {
    for seed in 0..120 {
        let mut bench = whole_fleet(seed, 5, 6);
        for _ in 0..6 {
            let pick = listed(bench.rng.random_range(0..5));
            let index: usize = pick.vm.rsplit('-').next().unwrap().parse().unwrap();
            let other = listed((index + bench.rng.random_range(1..5)) % 5).vm;
            match bench.rng.random_range(0..5) {
                0 => {
                    let mask = bench.rng.random_range(1..31);
                    bench.split(mask);
                }
                1 => bench.cut(&pick.vm, &other),
                2 => {
                    bench.cut(&pick.vm, &other);
                    bench.cut(&other, &pick.vm);
                }
                3 => bench.processes.get_mut(&pick.vm).unwrap().frozen = true,
                _ => bench.processes.get_mut(&pick.vm).unwrap().killed = true,
            }
            let time = Duration::from_millis(bench.rng.random_range(100..8_000));
            bench.run(time);
            bench.cuts.clear();
            bench.processes.get_mut(&pick.vm).unwrap().frozen = false;
            if bench.processes[&pick.vm].killed {
                bench.start(index);
            }
            let time = Duration::from_millis(bench.rng.random_range(100..6_000));
            bench.run(time);
        }
        bench.run_until_whole(Duration::from_secs(30));
    }
}

/// Replaces VMs while the list lags and the links fail.
#[test]
fn test_shares_stay_within_the_server_while_the_list_lags() {
    for seed in 100..180 {
        let mut bench = whole_fleet(seed, 4, 6);
        let mut names: Vec<usize> = (0..4).collect();
        for joiner in 4..8 {
            let leaver = names.remove(bench.rng.random_range(0..names.len()));
            names.push(joiner);
            bench.start(joiner);
            bench.run(Duration::from_millis(100));
            // Some learn the new list at once, the others after the fault.
            let list: Vec<_> = names
                .iter()
                .chain([&leaver])
                .map(|one| listed(*one))
                .collect();
            let now = bench.now;
            for (vm, process) in &mut bench.processes {
                if *vm == listed(joiner).vm || bench.rng.random_bool(0.5) {
                    process.node.set_vm_list(&list, now);
                }
            }
            let time = Duration::from_millis(bench.rng.random_range(0..6_000));
            bench.run(time);
            let mask = bench.rng.random_range(1..31);
            bench.split(mask);
            let time = Duration::from_millis(bench.rng.random_range(100..6_000));
            bench.run(time);
            bench.cuts.clear();
            bench.publish(list);
            let vm = listed(leaver).vm;
            bench.processes.get_mut(&vm).unwrap().node.leave(now);
            let time = Duration::from_millis(bench.rng.random_range(100..6_000));
            bench.run(time);
            bench.processes.get_mut(&vm).unwrap().killed = true;
            bench.publish(names.iter().map(|one| listed(*one)).collect());
            bench.run(Duration::from_secs(2));
        }
        bench.run_until_whole(Duration::from_secs(30));
    }
}

/// An owner that was taken off the VM list while it was frozen is cut off when it wakes.
#[test]
fn test_woken_owner_uses_nothing_before_it_is_heard() {
    for seed in 0..10 {
        let mut bench = whole_fleet(seed, 4, 12);
        let owner = listed(1).vm;
        bench.processes.get_mut(&owner).unwrap().frozen = true;
        bench.publish([0, 2, 3].map(listed).to_vec());
        bench.run(Duration::from_secs(6));
        bench.split(0b0010);
        bench.processes.get_mut(&owner).unwrap().frozen = false;
        bench.run(Duration::from_secs(20));
        assert!(
            bench
                .servers
                .iter()
                .all(|server| !bench.users(&server.id).contains(&owner))
        );
        assert_eq!(bench.broken(), None);
    }
}

/// Makes a beat of `from` that would change much: it leaves, and claims every server.
fn greedy_beat(bench: &mut Bench, from: &VmId, to: &VmId) -> Heartbeat {
    let now = bench.now;
    let node = &mut bench.processes.get_mut(from).unwrap().node;
    let mut beat = node.heartbeat(to, now);
    let servers = bench.servers.iter();
    let keys: Vec<_> = servers.map(|server| server_key(&server.id)).collect();
    beat.status.leaving = true;
    beat.status.load = 77;
    beat.ownership.sequence += 1_000;
    beat.ownership.holds.clone_from(&keys);
    beat.ownership.offers = keys;
    beat
}

fn dropped(node: &mut Node) -> usize {
    let (events, _) = node.take_events();
    let is_drop = |event: &&MemberEvent| matches!(event, MemberEvent::MessageDropped { .. });
    events.iter().filter(is_drop).count()
}

/// Returns all that a process believes of others and owns.
fn beliefs(node: &Node) -> String {
    format!(
        "{:?} {:?}",
        node.members().iter().collect::<Vec<_>>(),
        node.ownership()
    )
}

/// Asserts that what a process is told changes nothing of that and is counted as dropped so often.
fn assert_drops(bench: &mut Bench, vm: &VmId, count: usize, tell: impl FnOnce(&mut Node, Instant)) {
    let node = &mut bench.processes.get_mut(vm).unwrap().node;
    node.take_events();
    let before = beliefs(node);
    tell(node, bench.now);
    assert_eq!(beliefs(node), before);
    assert_eq!(dropped(node), count);
}

#[test]
fn test_beat_of_a_former_run_changes_nothing_and_is_counted() {
    let mut bench = whole_fleet(3, 3, 6);
    let [hearer, victim] = [0, 1].map(|index| listed(index).vm);
    let beat = greedy_beat(&mut bench, &victim, &hearer);
    bench.start(1);
    bench.run_until_whole(Duration::from_secs(20));
    assert_drops(&mut bench, &hearer, 3, |node, now| {
        for _ in 0..3 {
            assert_eq!(node.receive(&beat, now).ownership, None);
        }
    });
}

#[test]
fn test_replayed_beat_is_not_answered_again() {
    let mut bench = whole_fleet(6, 3, 6);
    let [hearer, other] = [0, 1].map(|index| listed(index).vm);
    let now = bench.now;
    let teller = &mut bench.processes.get_mut(&other).unwrap().node;
    let [first, second] = [0; 2].map(|_| teller.heartbeat(&hearer, now));
    let node = &mut bench.processes.get_mut(&hearer).unwrap().node;
    assert!(node.receive(&first, now).ownership.is_some());
    assert!(node.receive(&second, now).ownership.is_some());
    let before = format!("{:?}", node.ownership());
    for beat in [&second, &first] {
        assert_eq!(node.receive(beat, now).ownership, None);
    }
    assert_eq!(format!("{:?}", node.ownership()), before);
}

#[test]
fn test_beat_under_ones_own_name_changes_nothing_and_is_counted() {
    let mut bench = whole_fleet(4, 3, 6);
    let [hearer, other] = [0, 1].map(|index| listed(index).vm);
    let mut beat = greedy_beat(&mut bench, &other, &hearer);
    beat.from.vm = VmId::clone(&hearer);
    assert_drops(&mut bench, &hearer, 1, |node, now| {
        assert_eq!(node.receive(&beat, now).ownership, None);
    });
}

#[test]
fn test_reply_of_a_former_run_changes_nothing_and_is_counted() {
    let mut bench = whole_fleet(5, 3, 6);
    let [asker, victim] = [0, 1].map(|index| listed(index).vm);
    let beat = greedy_beat(&mut bench, &asker, &victim);
    let now = bench.now;
    let replier = &mut bench.processes.get_mut(&victim).unwrap().node;
    let mut reply = replier.receive(&beat, now);
    if let Some(answer) = &mut reply.ownership {
        answer.stands.clone_from(&beat.ownership.holds);
    }
    bench.start(1);
    bench.run_until_whole(Duration::from_secs(20));
    assert_drops(&mut bench, &asker, 1, |node, now| {
        node.receive_reply(&victim, &beat, &reply, now, now);
    });
}
