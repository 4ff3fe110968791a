//! Tests of the requests under which backend servers ended.

use std::time::{Duration, Instant};

use yare::parameterized;

use super::{Fingerprint, PoisonTable, Strike, Verdict};

const TEN_MINUTES: Duration = Duration::from_mins(10);

fn request(target: &str) -> Fingerprint {
    Fingerprint::new(&[b"GET", b"shop.example", target.as_bytes(), b""])
}

fn strike(server: &str) -> Strike {
    Strike::of_server(&server.into())
}

/// Returns a table in which servers ended under a request.
fn struck(servers: &[&str], now: Instant) -> PoisonTable {
    let mut table = PoisonTable::default();
    for server in servers {
        table.strike(request("/x"), strike(server), now);
    }
    table
}

#[parameterized(
    none = { &[], Verdict::Harmless },
    one = { &["a"], Verdict::Suspect },
    two = { &["a", "b"], Verdict::Suspect },
    the_same_again = { &["a", "b", "a"], Verdict::Suspect },
    three = { &["a", "b", "c"], Verdict::Poison(TEN_MINUTES) },
    more = { &["a", "b", "c", "d"], Verdict::Poison(TEN_MINUTES) },
)]
fn test_poison_after_three_servers(servers: &[&str], expected: Verdict) {
    let now = Instant::now();
    let table = struck(servers, now);
    assert_eq!(table.verdict(request("/x"), now), expected);
    assert_eq!(table.verdict(request("/y"), now), Verdict::Harmless);
}

/// What a request asks for is told apart, also where its parts could be joined differently.
#[test]
fn test_fingerprint_of_different_requests() {
    let parts: [[&[u8]; 4]; 6] = [
        [b"GET", b"shop", b"/x", b""],
        [b"PUT", b"shop", b"/x", b""],
        [b"GET", b"shop/", b"x", b""],
        [b"GET", b"shop", b"/x", b"y"],
        [b"GET", b"shop", b"/xy", b""],
        [b"GET", b"store", b"/x", b""],
    ];
    for (index, one) in parts.iter().enumerate() {
        for (other_index, other) in parts.iter().enumerate() {
            let is_same = Fingerprint::new(one) == Fingerprint::new(other);
            assert_eq!(is_same, index == other_index);
        }
    }
}

/// All servers that end during one attempt of a search count once.
#[test]
fn test_poison_search_strikes_once_an_attempt() {
    let now = Instant::now();
    let mut table = PoisonTable::default();
    for attempt in [b"a1", b"a1", b"a1", b"a2"] {
        table.strike(request("/x"), Strike::of_search(attempt), now);
    }
    assert_eq!(table.verdict(request("/x"), now), Verdict::Suspect);
    table.strike(request("/x"), Strike::of_search(b"a3"), now);
    assert_eq!(
        table.verdict(request("/x"), now),
        Verdict::Poison(TEN_MINUTES)
    );
}

/// A server that runs the request to its end shows that it is harmless, on all VMs.
#[test]
fn test_poison_is_absolved_by_a_success() {
    let now = Instant::now();
    let mut table = struck(&["a", "b"], now);
    assert!(table.absolve(request("/x")));
    assert!(!table.absolve(request("/x")));
    assert!(!table.absolve(request("/y")));
    let mut other = struck(&["c", "d", "e"], now);
    assert_eq!(other.merge(&table.reports(now), now), [request("/x")]);
    assert_eq!(other.verdict(request("/x"), now), Verdict::Harmless);
}

/// Two VMs exchange what they know, in any order and several times.
#[test]
fn test_poison_strikes_of_vms_add_up() {
    let now = Instant::now();
    let mut one = struck(&["a", "b"], now);
    let mut two = struck(&["b", "c"], now);
    assert_eq!(one.merge(&two.reports(now), now).len(), 1);
    assert_eq!(one.merge(&two.reports(now), now).len(), 0);
    assert_eq!(two.merge(&one.reports(now), now).len(), 1);
    for table in [one, two] {
        let verdict = table.verdict(request("/x"), now);
        assert_eq!(verdict, Verdict::Poison(TEN_MINUTES));
    }
}

#[test]
fn test_poison_ends() {
    let now = Instant::now();
    let mut table = struck(&["a", "b", "c"], now);
    let later = now + TEN_MINUTES / 2;
    assert_eq!(
        table.verdict(request("/x"), later),
        Verdict::Poison(TEN_MINUTES / 2)
    );
    // A VM that learns of it later forgets it at the same time.
    let mut other = PoisonTable::default();
    other.merge(&table.reports(later), later);
    let end = now + TEN_MINUTES;
    assert_eq!(table.verdict(request("/x"), end), Verdict::Harmless);
    assert_eq!(other.verdict(request("/x"), end), Verdict::Harmless);
    table.expire(end);
    assert!(table.is_empty());
}

/// A flood of crashing requests takes a bounded memory; those that are refused stay known.
#[test]
fn test_poison_memory_is_bounded() {
    let now = Instant::now();
    let mut table = struck(&["a", "b", "c"], now);
    for index in 0..5_000 {
        let at = now + Duration::from_millis(index);
        table.strike(request(&format!("/{index}")), strike("a"), at);
    }
    assert!(table.len() <= 1_024);
    assert!(table.reports(now).len() <= 64);
    let verdict = table.verdict(request("/x"), now);
    assert_eq!(verdict, Verdict::Poison(TEN_MINUTES));
}
