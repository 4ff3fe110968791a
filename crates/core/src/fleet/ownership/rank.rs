//! Rendezvous ranks.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{DataCentre, VmId};

/// The hash of a backend server's name, by which processes speak of it.
pub type ServerKey = u64;

/// Returns the key of a backend server.
#[must_use]
pub fn server_key(server: &str) -> ServerKey {
    xxh3_64(server.as_bytes())
}

/// Returns the rank of a VM for a backend server; the greatest should own it.
///
/// VMs of the server's own data centre come before all others. The rank of a VM does not depend
/// on which other VMs there are, so that a VM that comes or goes moves only its own servers.
#[must_use]
pub fn rank(
    server: ServerKey,
    at: &DataCentre,
    vm: &VmId,
    centre: &DataCentre,
) -> (bool, u64, VmId) {
    let score = xxh3_64_with_seed(vm.as_bytes(), server);
    (at == centre, score, VmId::clone(vm))
}
