//! Tests of membership.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{
    Attachment, Contact, ListedVm, MemberEvent, MemberSettings, MemberState, MemberStatus,
    MemberUpdate, Members, PingFailure,
};
use crate::{ids::VmId, view::Reachability};

const STEP: Duration = Duration::from_millis(50);
const SERVING: MemberStatus = MemberStatus {
    leaving: false,
    serving: true,
    load: 0,
    attachment: Attachment {
        version: 0,
        detached: false,
    },
};

fn contact(index: u16, incarnation: u64) -> Contact {
    Contact {
        vm: format!("vm-{index}").into(),
        incarnation,
        centre: "dc-0".into(),
        peers: SocketAddr::from(([127, 0, 0, 1], 8_000 + index)),
        callers: SocketAddr::from(([127, 0, 0, 1], 9_000 + index)),
        capacity: 0,
    }
}

fn listed(index: u16) -> ListedVm {
    let contact = contact(index, 0);
    ListedVm {
        vm: contact.vm,
        centre: contact.centre,
        peers: contact.peers,
        callers: contact.callers,
        leaving: false,
    }
}

/// Returns a table of this process and `size` members that have all just sent a heartbeat.
fn reachable_members(size: u16, now: Instant) -> Members {
    let mut members = Members::new(contact(0, 100), MemberSettings::default(), 7, now);
    let list: Vec<_> = (0..=size).map(listed).collect();
    members.set_vm_list(&list, now);
    for index in 1..=size {
        members.record_heartbeat(&contact(index, u64::from(index)), SERVING, now);
    }
    members.take_events();
    members
}

fn update(contact: Contact, state: MemberState, version: u64) -> MemberUpdate {
    MemberUpdate {
        contact,
        state,
        version,
        attachment: Attachment::default(),
    }
}

#[yare::parameterized(four = { 4 }, hundred = { 100 }, thousand = { 1_100 })]
fn test_pings_a_second_do_not_depend_on_the_fleet(size: u16) {
    let mut now = Instant::now();
    let mut members = reachable_members(size, now);
    let mut pings = 0;
    for _ in 0..200 {
        now += STEP;
        pings += members.tick(now).pings.len();
    }
    assert_eq!(pings, 20);
}

#[test]
fn test_every_member_is_pinged_once_before_any_twice() {
    let mut now = Instant::now();
    let mut members = reachable_members(10, now);
    let mut pinged = Vec::new();
    while pinged.len() < 10 {
        now += STEP;
        pinged.extend(members.tick(now).pings);
    }
    pinged.sort();
    pinged.dedup();
    assert_eq!(pinged.len(), 10);
}

#[test]
fn test_updates_in_one_message_are_bounded() {
    let now = Instant::now();
    let mut members = reachable_members(1, now);
    for index in 2..=1_100 {
        members.record_heartbeat(&contact(index, u64::from(index)), SERVING, now);
    }
    assert_eq!(
        members.next_updates().len(),
        MemberSettings::default().max_updates
    );
    assert_eq!(drain_updates(&mut members).len(), 1_100);
}

#[test]
fn test_silent_member_is_probed_then_suspected_then_dead() {
    let mut now = Instant::now();
    let mut members = reachable_members(4, now);
    let failed = contact(2, 2).vm;
    now += Duration::from_millis(800);
    members.record_failure(&failed, PingFailure::Timeout, now);
    let actions = members.tick(now);
    assert_eq!(actions.probes.len(), 2);
    assert!(
        actions
            .probes
            .iter()
            .all(|probe| probe.target == failed && probe.via != failed)
    );
    assert_eq!(
        members.get(&failed).unwrap().reachability,
        Reachability::Alive
    );
    let mut states = Vec::new();
    for _ in 0..60 {
        now += STEP;
        members.tick(now);
        states.extend(members.take_events());
    }
    let reached = |reachability| MemberEvent::ReachabilityChanged {
        vm: VmId::clone(&failed),
        reachability,
    };
    assert_eq!(
        states,
        [reached(Reachability::Suspect), reached(Reachability::Dead)]
    );
}

#[test]
fn test_member_that_others_reach_is_not_declared_dead() {
    let mut now = Instant::now();
    let mut members = reachable_members(4, now);
    let failed = contact(2, 2).vm;
    now += Duration::from_millis(800);
    members.record_failure(&failed, PingFailure::Timeout, now);
    members.tick(now);
    members.record_probe(&failed, true, now);
    for _ in 0..100 {
        now += STEP;
        members.tick(now);
    }
    let member = members.get(&failed).unwrap();
    assert_eq!(
        (member.reachability, member.is_usable()),
        (Reachability::Suspect, false)
    );
    assert!(
        !members
            .next_updates()
            .iter()
            .any(|one| one.state == MemberState::Suspect)
    );
}

#[test]
fn test_refused_connection_means_gone_until_heard() {
    let now = Instant::now();
    let mut members = reachable_members(2, now);
    let failed = contact(1, 1).vm;
    members.record_failure(&failed, PingFailure::Refused, now);
    assert!(members.get(&failed).unwrap().is_gone());
    members.record_heartbeat(&contact(1, 55), SERVING, now);
    let member = members.get(&failed).unwrap();
    assert_eq!((member.is_gone(), member.incarnation), (false, Some(55)));
    assert!(members.take_events().contains(&MemberEvent::Restarted {
        vm: failed,
        incarnation: 55
    }));
}

#[test]
fn test_former_run_is_never_believed_again() {
    let now = Instant::now();
    let mut members = reachable_members(2, now);
    members.record_heartbeat(&contact(1, 55), SERVING, now);
    let status = MemberStatus { load: 9, ..SERVING };
    members.record_heartbeat(&contact(1, 1), status, now);
    members.apply_updates(&[update(contact(1, 1), MemberState::Alive, 9)], now);
    let member = members.get(&contact(1, 1).vm).unwrap();
    assert_eq!((member.incarnation, member.load), (Some(55), 0));
}

#[test]
fn test_process_refutes_what_is_said_of_it() {
    let now = Instant::now();
    let mut members = reachable_members(2, now);
    members.apply_updates(&[update(contact(0, 100), MemberState::Dead, 4)], now);
    let events = members.take_events();
    assert_eq!(
        events,
        [MemberEvent::Refuted {
            state: MemberState::Dead
        }]
    );
    let own = members
        .next_updates()
        .into_iter()
        .find(|one| one.contact.incarnation == 100)
        .unwrap();
    assert_eq!((own.state, own.version), (MemberState::Alive, 5));
}

#[test]
fn test_update_does_not_outweigh_recent_direct_contact() {
    let now = Instant::now();
    let mut members = reachable_members(2, now);
    members.apply_updates(&[update(contact(1, 1), MemberState::Dead, 0)], now);
    assert_eq!(
        members.get(&contact(1, 1).vm).unwrap().reachability,
        Reachability::Alive
    );
    let later = now + Duration::from_secs(2);
    members.apply_updates(&[update(contact(1, 1), MemberState::Dead, 1)], later);
    assert_eq!(
        members.get(&contact(1, 1).vm).unwrap().reachability,
        Reachability::Dead
    );
}

#[test]
fn test_lagging_list_neither_hides_new_members_nor_revives_dead_ones() {
    let now = Instant::now();
    let mut members = reachable_members(2, now);
    members.apply_updates(&[update(contact(9, 9), MemberState::Alive, 1)], now);
    members.record_heartbeat(&contact(9, 9), SERVING, now);
    members.record_failure(&contact(1, 1).vm, PingFailure::Refused, now);
    members.set_vm_list(&[listed(0), listed(1), listed(2)], now);
    assert!(members.get(&contact(9, 9).vm).unwrap().is_usable());
    assert!(members.get(&contact(1, 1).vm).unwrap().is_gone());
    members.record_failure(
        &contact(9, 9).vm,
        PingFailure::Timeout,
        now + Duration::from_secs(2),
    );
    assert!(!members.get(&contact(9, 9).vm).unwrap().is_gone());
}

#[test]
fn test_leaving_is_a_state_of_its_own() {
    let now = Instant::now();
    let mut members = reachable_members(2, now);
    let status = MemberStatus {
        leaving: true,
        ..SERVING
    };
    members.record_heartbeat(&contact(1, 1), status, now);
    let member = members.get(&contact(1, 1).vm).unwrap();
    assert_eq!(
        (member.reachability, member.is_usable(), member.is_gone()),
        (Reachability::Leaving, false, false)
    );
    members.leave();
    let own = members
        .next_updates()
        .into_iter()
        .find(|one| one.contact.incarnation == 100)
        .unwrap();
    assert_eq!(own.state, MemberState::Leaving);
}

#[test]
fn test_process_resets_reachability_after_a_freeze() {
    let mut now = Instant::now();
    let mut members = reachable_members(3, now);
    members.tick(now);
    now += Duration::from_secs(5);
    members.tick(now);
    assert!(
        members
            .iter()
            .all(|(_, member)| member.reachability == Reachability::Unknown)
    );
    let gap = Duration::from_secs(5);
    assert!(
        members
            .take_events()
            .contains(&MemberEvent::FreezeDetected { gap })
    );
}

/// Takes all pending updates and returns the members that they name.
fn drain_updates(members: &mut Members) -> Vec<VmId> {
    let mut named = Vec::new();
    loop {
        let updates = members.next_updates();
        if updates.is_empty() {
            named.sort();
            named.dedup();
            return named;
        }
        named.extend(updates.into_iter().map(|update| update.contact.vm));
    }
}

#[test]
fn test_first_contact_with_a_running_fleet_sends_no_updates() {
    let mut members = reachable_members(100, Instant::now());
    assert_eq!(drain_updates(&mut members), [contact(0, 100).vm]);
}

#[test]
fn test_first_contact_with_a_member_listed_later_sends_an_update() {
    let now = Instant::now();
    let mut members = reachable_members(4, now);
    drain_updates(&mut members);
    let list: Vec<_> = (0..=5).map(listed).collect();
    members.set_vm_list(&list, now);
    members.record_heartbeat(&contact(5, 5), SERVING, now);
    assert_eq!(drain_updates(&mut members), [contact(5, 5).vm]);
}

#[test]
fn test_contact_after_a_freeze_sends_no_updates() {
    let mut now = Instant::now();
    let mut members = reachable_members(4, now);
    drain_updates(&mut members);
    now += Duration::from_secs(5);
    members.tick(now);
    for index in 1..=4 {
        members.record_heartbeat(&contact(index, u64::from(index)), SERVING, now);
    }
    assert_eq!(drain_updates(&mut members), Vec::<VmId>::new());
}

#[yare::parameterized(
    restarted = { 55, None },
    suspected = { 1, Some(PingFailure::Timeout) },
    refused = { 1, Some(PingFailure::Refused) },
)]
fn test_unexpected_contact_sends_an_update(incarnation: u64, failure: Option<PingFailure>) {
    let mut now = Instant::now();
    let mut members = Members::new(contact(0, 100), MemberSettings::default(), 7, now);
    members.set_vm_list(&[listed(0), listed(1)], now);
    if failure.is_none() {
        members.record_heartbeat(&contact(1, 1), SERVING, now);
    }
    drain_updates(&mut members);
    now += Duration::from_secs(2);
    if let Some(failure) = failure {
        members.record_failure(&contact(1, 1).vm, failure, now);
    }
    members.record_heartbeat(&contact(1, incarnation), SERVING, now);
    assert_eq!(drain_updates(&mut members), [contact(1, 1).vm]);
}

#[test]
fn test_refutation_of_a_death_is_passed_on() {
    let now = Instant::now();
    let mut members = reachable_members(2, now);
    let failed = contact(1, 1);
    members.record_failure(&failed.vm, PingFailure::Refused, now);
    drain_updates(&mut members);
    members.apply_updates(&[update(failed.clone(), MemberState::Alive, 2)], now);
    members.record_heartbeat(&failed, SERVING, now);
    assert_eq!(drain_updates(&mut members), [failed.vm]);
}

fn attachment(version: u64, detached: bool) -> Attachment {
    Attachment { version, detached }
}

/// Returns what a table has heard about the links of a member to the backend servers.
fn is_detached(members: &Members, index: u16) -> bool {
    let member = members.get(&contact(index, 0).vm).unwrap();
    member.attachment.detached
}

#[test]
fn test_detached_members_are_passed_on() {
    let now = Instant::now();
    let mut first = reachable_members(2, now);
    let status = MemberStatus {
        attachment: attachment(1, true),
        ..SERVING
    };
    first.record_heartbeat(&contact(1, 1), status, now);
    assert!(is_detached(&first, 1));
    let detached = MemberEvent::AttachmentChanged {
        vm: contact(1, 1).vm,
        detached: true,
    };
    assert_eq!(first.take_events(), [detached]);
    let mut second = reachable_members(2, now);
    second.apply_updates(&first.next_updates(), now);
    assert!(is_detached(&second, 1));
    assert!(!is_detached(&second, 2));
}

#[test]
fn test_detached_members_are_not_restored_by_older_updates() {
    let now = Instant::now();
    let mut members = reachable_members(1, now);
    for (version, expected) in [(3, true), (2, true), (3, true), (4, false), (3, false)] {
        let update = MemberUpdate {
            attachment: attachment(version, version == 3),
            ..update(contact(1, 1), MemberState::Alive, 1)
        };
        members.apply_updates(&[update], now);
        assert_eq!(is_detached(&members, 1), expected, "version {version}");
    }
}

#[test]
fn test_detached_member_is_forgotten_with_its_run() {
    let now = Instant::now();
    let mut members = reachable_members(1, now);
    let status = MemberStatus {
        attachment: attachment(5, true),
        ..SERVING
    };
    members.record_heartbeat(&contact(1, 1), status, now);
    members.record_heartbeat(&contact(1, 2), SERVING, now);
    assert!(!is_detached(&members, 1));
}

#[test]
fn test_own_links_are_announced_with_each_change() {
    let mut members = reachable_members(1, Instant::now());
    members.set_detached(false);
    assert_eq!(members.attachment(), attachment(0, false));
    members.set_detached(true);
    members.set_detached(true);
    assert_eq!(members.attachment(), attachment(1, true));
    let updates = members.next_updates();
    let own = updates
        .iter()
        .find(|update| update.contact.vm == contact(0, 0).vm);
    assert_eq!(own.unwrap().attachment, attachment(1, true));
}
