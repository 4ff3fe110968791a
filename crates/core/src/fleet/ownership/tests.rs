//! Targets that follow single changes against targets computed anew.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Candidate, Candidates, Holder, OwnState, Ownership, OwnershipSettings};
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

/// Draws a set of candidates that differs from the last one in up to `changes` VMs.
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

#[test]
fn test_targets_follow_changes() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let own = Holder {
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
            for (key, row) in &ownership.rows {
                let anew = ownership.target(*key, row);
                assert_eq!(row.target, anew, "seed {seed}, step {step}");
            }
        }
    }
}
