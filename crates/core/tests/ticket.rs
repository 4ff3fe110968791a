//! Tests of tickets and of the table of their outcomes.

use std::{collections::HashMap, time::Duration};

use cassialift_core::{
    request::{ExecutionStatus, RefusalReason},
    ticket::{
        JobOutcome, JobTable, PinnedConfig, Submission, TableLimits, Ticket, TicketError,
        TicketKey, TicketRefusal, TicketState,
    },
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use yare::parameterized;

const EXPIRY: Duration = Duration::from_mins(1);
const FORGET_AT: Duration = Duration::from_mins(2);

fn ticket(sequence: u64, caller: &str) -> Ticket {
    Ticket {
        vm: "vm-1".into(),
        incarnation: 0x1234_5678_9abc,
        sequence,
        caller: caller.into(),
        service: "press".into(),
        expiry: EXPIRY,
        forget_at: FORGET_AT,
    }
}

fn key(byte: u8) -> TicketKey {
    TicketKey::new([byte; 32])
}

fn pinned() -> PinnedConfig {
    PinnedConfig {
        preset: "ordinary".into(),
        revision: 4,
    }
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn table(records: usize, caller: usize) -> JobTable<u32> {
    JobTable::new(TableLimits {
        records,
        per_caller: caller,
        bytes: 1_000,
    })
}

#[test]
fn test_ticket_round_trip() {
    let signed = key(1).sign(&ticket(7, "promoter-1")).unwrap();
    assert!(signed.len() < 128, "{signed}");
    assert_eq!(key(1).verify(&signed), Ok(ticket(7, "promoter-1")));
    assert_eq!(
        Ticket::decode_unverified(&signed),
        Ok(ticket(7, "promoter-1"))
    );
}

#[test]
fn test_ticket_of_other_key_is_forged() {
    let signed = key(1).sign(&ticket(7, "promoter-1")).unwrap();
    assert_eq!(key(2).verify(&signed), Err(TicketError::Forged));
}

#[test]
fn test_ticket_long_name_refused() {
    let long = ticket(7, &"x".repeat(256));
    assert_eq!(key(1).sign(&long), Err(TicketError::TooLong));
}

#[parameterized(
    empty = { "" },
    short = { "AQID" },
    not_base64 = { "****" },
    padded = { "AQ==" },
)]
fn test_ticket_malformed(text: &str) {
    assert_eq!(key(1).verify(text), Err(TicketError::Malformed));
    assert_eq!(Ticket::decode_unverified(text), Err(TicketError::Malformed));
}

#[test]
fn test_ticket_huge_text_malformed() {
    let text = "A".repeat(1 << 20);
    assert_eq!(key(1).verify(&text), Err(TicketError::Malformed));
}

#[test]
fn test_table_same_body_starts_once() {
    let mut table = table(10, 10);
    let ticket = ticket(1, "p");
    let first = table.submit(secs(0), &ticket, "p", b"print", pinned());
    assert_eq!(first, Ok(Submission::Start));
    let second = table.submit(secs(1), &ticket, "p", b"print", pinned());
    assert_eq!(second, Ok(Submission::Wait(pinned())));
    assert_eq!(
        table.state(secs(1), &ticket, "p"),
        Ok(TicketState::Running(pinned()))
    );
    table.finish(1, JobOutcome::Done(5), 10);
    table.finish(1, JobOutcome::NotRun(RefusalReason::Internal), 10);
    let third = table.submit(secs(2), &ticket, "p", b"print", pinned());
    assert_eq!(
        third,
        Ok(Submission::Recorded(pinned(), JobOutcome::Done(5)))
    );
}

#[parameterized(
    other_body = { 1, "p", b"bill", TicketRefusal::Reused, ExecutionStatus::NotRun },
    other_caller = { 1, "q", b"print", TicketRefusal::Foreign, ExecutionStatus::NotRun },
    forgotten = { 120, "p", b"print", TicketRefusal::Forgotten, ExecutionStatus::Unknown },
)]
fn test_table_refuses_used_ticket(
    now: u64,
    caller: &str,
    body: &[u8],
    expected: TicketRefusal,
    ran: ExecutionStatus,
) {
    let mut table = table(10, 10);
    let ticket = ticket(1, "p");
    table
        .submit(secs(0), &ticket, "p", b"print", pinned())
        .unwrap();
    assert_eq!(
        table.submit(secs(now), &ticket, caller, body, pinned()),
        Err(expected)
    );
    assert_eq!(expected.execution_status(), ran);
}

#[test]
fn test_table_unused_ticket_expires() {
    let mut table = table(10, 10);
    let ticket = ticket(1, "p");
    let state = table.state(secs(59), &ticket, "p");
    assert_eq!(state, Ok(TicketState::Unused));
    let late = table.submit(EXPIRY, &ticket, "p", b"print", pinned());
    assert_eq!(late, Err(TicketRefusal::ExpiredUnused));
    assert_eq!(
        TicketRefusal::ExpiredUnused.execution_status(),
        ExecutionStatus::NotRun
    );
    assert!(table.is_empty());
}

#[test]
fn test_table_remembers_after_expiry() {
    let mut table = table(10, 10);
    let ticket = ticket(1, "p");
    table
        .submit(secs(59), &ticket, "p", b"print", pinned())
        .unwrap();
    table.finish(1, JobOutcome::Done(5), 10);
    let ended = TicketState::Ended(pinned(), JobOutcome::Done(5));
    assert_eq!(table.state(secs(119), &ticket, "p"), Ok(ended));
    table.remove_expired(FORGET_AT);
    assert!(table.is_empty());
}

#[test]
fn test_table_keeps_running_job_beyond_forget() {
    let mut table = table(1, 1);
    table
        .submit(secs(0), &ticket(1, "p"), "p", b"x", pinned())
        .unwrap();
    table.remove_expired(secs(500));
    assert_eq!(table.len(), 1);
    table.finish(1, JobOutcome::Done(1), 1);
    table.remove_expired(secs(500));
    assert!(table.is_empty());
}

#[test]
fn test_table_full_refuses_and_evicts_nothing() {
    let mut table = table(3, 2);
    for sequence in 1..=2 {
        let ticket = ticket(sequence, "p");
        table.submit(secs(0), &ticket, "p", b"x", pinned()).unwrap();
        table.finish(sequence, JobOutcome::Done(1), 1);
    }
    let third = table.submit(secs(0), &ticket(3, "p"), "p", b"x", pinned());
    assert_eq!(third, Err(TicketRefusal::CallerFull));
    table
        .submit(secs(0), &ticket(4, "q"), "q", b"x", pinned())
        .unwrap();
    let fifth = table.submit(secs(0), &ticket(5, "r"), "r", b"x", pinned());
    assert_eq!(fifth, Err(TicketRefusal::Full));
    let first = table.submit(secs(1), &ticket(1, "p"), "p", b"x", pinned());
    assert_eq!(
        first,
        Ok(Submission::Recorded(pinned(), JobOutcome::Done(1)))
    );
}

#[test]
fn test_table_full_of_bytes_refuses() {
    let mut table = table(10, 10);
    table
        .submit(secs(0), &ticket(1, "p"), "p", b"x", pinned())
        .unwrap();
    table.finish(1, JobOutcome::Done(1), 1_000);
    let second = table.submit(secs(0), &ticket(2, "p"), "p", b"x", pinned());
    assert_eq!(second, Err(TicketRefusal::Full));
    table.remove_expired(FORGET_AT);
    let mut later = ticket(3, "p");
    (later.expiry, later.forget_at) = (secs(200), secs(300));
    let third = table.submit(FORGET_AT, &later, "p", b"x", pinned());
    assert_eq!(third, Ok(Submission::Start));
}

/// One step of a random history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Submit { sequence: u64, body: u8 },
    Finish { sequence: u64, value: u32 },
    Query { sequence: u64 },
    Advance { secs: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..12_u64, 0..2_u8).prop_map(|(sequence, body)| Step::Submit { sequence, body }),
        2 => (0..12_u64, 0..9_u32).prop_map(|(sequence, value)| Step::Finish { sequence, value }),
        2 => (0..12_u64).prop_map(|sequence| Step::Query { sequence }),
        1 => (0..40_u64).prop_map(|secs| Step::Advance { secs }),
    ]
}

/// The state of a ticket in a reference model that keeps every ticket.
#[derive(Clone, Copy, Debug)]
struct ModelTicket {
    body: u8,
    value: Option<u32>,
}

fn config(seed: u64) -> Config {
    Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(11))]

    #[test]
    fn test_table_agrees_with_naive_version(steps in prop::collection::vec(step(), 1..120)) {
        let mut table = table(6, 6);
        let mut known: HashMap<u64, ModelTicket> = HashMap::new();
        let mut now = secs(0);
        for step in steps {
            match step {
                Step::Advance { secs: more } => now += secs(more),
                Step::Finish { sequence, value } => {
                    table.finish(sequence, JobOutcome::Done(value), 1);
                    if let Some(known) = known.get_mut(&sequence) {
                        known.value.get_or_insert(value);
                    }
                }
                Step::Submit { sequence, body } => {
                    let result = table.submit(now, &ticket(sequence, "p"), "p", &[body], pinned());
                    match (result, known.get(&sequence)) {
                        (Ok(Submission::Start), None) => {
                            prop_assert!(now < EXPIRY);
                            known.insert(sequence, ModelTicket { body, value: None });
                        }
                        (Ok(Submission::Wait(_)), Some(known)) => {
                            prop_assert_eq!((known.body, known.value), (body, None));
                        }
                        (Ok(Submission::Recorded(_, JobOutcome::Done(value))), Some(known)) => {
                            prop_assert_eq!((known.body, known.value), (body, Some(value)));
                        }
                        (Err(TicketRefusal::Reused), Some(known)) => {
                            prop_assert_ne!(known.body, body);
                        }
                        (Err(TicketRefusal::Forgotten), _) => prop_assert!(now >= FORGET_AT),
                        (Err(TicketRefusal::ExpiredUnused), None) => prop_assert!(now >= EXPIRY),
                        (Err(TicketRefusal::Full | TicketRefusal::CallerFull), None) => {
                            prop_assert_eq!(table.len(), 6);
                        }
                        (result, known) => prop_assert!(false, "{:?} for {:?}", result, known),
                    }
                }
                Step::Query { sequence } => {
                    let state = table.state(now, &ticket(sequence, "p"), "p");
                    match (state, known.get(&sequence)) {
                        (Ok(TicketState::Unused), None) => prop_assert!(now < EXPIRY),
                        (Ok(TicketState::Running(_)), Some(known)) => {
                            prop_assert_eq!(known.value, None);
                        }
                        (Ok(TicketState::Ended(_, JobOutcome::Done(value))), Some(known)) => {
                            prop_assert_eq!(known.value, Some(value));
                        }
                        (Err(TicketRefusal::Forgotten), _) => prop_assert!(now >= FORGET_AT),
                        (Err(TicketRefusal::ExpiredUnused), None) => prop_assert!(now >= EXPIRY),
                        (state, known) => prop_assert!(false, "{:?} for {:?}", state, known),
                    }
                }
            }
            prop_assert!(table.len() <= 6);
        }
    }

    #[test]
    fn test_ticket_changed_anywhere_is_refused(position in 0..200_usize, letter in 0..64_usize) {
        let signed = key(3).sign(&ticket(9, "promoter-1")).unwrap();
        let letters = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
        let mut changed = signed.clone().into_bytes();
        let position = position % changed.len();
        changed[position] = letters[letter];
        let changed = String::from_utf8(changed).unwrap();
        if changed != signed {
            prop_assert!(key(3).verify(&changed).is_err());
        }
    }

    #[test]
    fn test_ticket_random_text_never_panics(text in ".{0,300}") {
        prop_assert!(key(3).verify(&text).is_err());
        drop(Ticket::decode_unverified(&text));
    }
}
