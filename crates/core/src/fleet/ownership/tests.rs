//! Tests that targets which are updated by single changes equal targets that are computed from
//! scratch.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Candidate, Candidates, OwnState, Ownership, OwnershipReply, OwnershipSettings, ProcessRun,
    Role, server_key,
};
use crate::{
    ids::{DataCentre, VmId},
    index::{ServerEntry, ServerState},
};

const CENTRES: usize = 3;
const VMS: usize = 24;
const SERVERS: usize = 40;

fn vm(number: usize) -> VmId {
    format!("vm-{number}").into()
}

fn centre(number: usize) -> DataCentre {
    format!("centre-{}", number % CENTRES).into()
}

fn server(number: usize) -> ServerEntry {
    ServerEntry {
        id: format!("server-{number}").into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        centre: centre(number),
        slots: 2,
        connections: 25,
        state: ServerState::Serving,
    }
}

fn candidate(rng: &mut ChaCha8Rng, number: usize) -> Candidate {
    Candidate {
        centre: centre(number),
        incarnation: Some(1),
        usable: rng.random_bool(0.7),
        settled: rng.random_bool(0.7),
        gone: false,
    }
}

fn state(rng: &mut ChaCha8Rng) -> OwnState {
    OwnState {
        leaving: rng.random_bool(0.1),
        ready: true,
        settled: rng.random_bool(0.8),
    }
}

/// Changes up to `changes` random VMs in a set of candidates.
fn change_some(rng: &mut ChaCha8Rng, candidates: &mut Candidates, changes: usize) {
    for _ in 0..changes {
        let number = rng.random_range(1..VMS);
        if rng.random_bool(0.2) {
            candidates.remove(&vm(number));
        } else {
            candidates.insert(vm(number), candidate(rng, number));
        }
    }
}

impl Ownership {
    /// Returns whether every row that ticks do not visit is inactive.
    pub(crate) fn visits_all(&self) -> bool {
        let mut rows = self.rows.iter();
        rows.all(|(key, row)| self.active.contains(key) || row.is_inactive(&self.own.vm))
    }
}

#[test]
fn test_targets_follow_changes() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let own = ProcessRun {
            vm: vm(0),
            incarnation: 1,
        };
        let settings = OwnershipSettings::default();
        let mut ownership = Ownership::new(own, centre(0), settings, Instant::now());
        let servers: Vec<ServerEntry> = (0..SERVERS).map(server).collect();
        ownership.set_servers(servers.iter());
        let mut candidates = Candidates::new();
        for step in 0..60 {
            if rng.random_bool(0.5) {
                let number = rng.random_range(1..VMS);
                let changed = candidate(&mut rng, number);
                candidates.insert(vm(number), changed.clone());
                ownership.set_candidate(vm(number), changed);
            } else {
                let changes = rng.random_range(0..VMS);
                change_some(&mut rng, &mut candidates, changes);
                ownership.set_candidates(candidates.clone(), state(&mut rng));
            }
            ownership.tick(Instant::now() + Duration::from_millis(1));
            assert!(ownership.visits_all(), "seed {seed}, step {step}");
            for (key, row) in &ownership.rows {
                let expected = ownership.target(*key, row);
                assert_eq!(row.target, expected, "seed {seed}, step {step}");
            }
        }
    }
}

/// A process that should own nothing accepts the offer of a server whose holders it does not know.
/// Ticks must visit the row of the server from then on.
#[test]
fn test_offer_of_an_unknown_server_is_visited() {
    let now = Instant::now();
    let run = |number| ProcessRun {
        vm: vm(number),
        incarnation: 1,
    };
    let settings = OwnershipSettings::default();
    let mut ownership = Ownership::new(run(0), centre(0), settings, now);
    ownership.set_servers([server(1)].iter());
    let leaving = OwnState {
        leaving: true,
        ready: true,
        settled: true,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let candidates = Candidates::from([(vm(1), candidate(&mut rng, 1))]);
    ownership.set_candidates(candidates, leaving);
    ownership.tick(now);
    let request = ownership.request(&run(1), now);
    let reply = OwnershipReply {
        stands: vec![server_key("server-1")],
        denies: Vec::new(),
    };
    ownership.apply_reply(&run(1), &request, &reply, now, now);
    assert!(matches!(
        ownership.role("server-1"),
        Some(Role::Owner { .. })
    ));
    assert!(ownership.visits_all());
}
