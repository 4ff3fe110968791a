//! Ranking of VMs for backend servers by rendezvous hashing.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{DataCentre, VmId};

/// The hash of a backend server's name, which identifies the server in messages between processes.
pub type ServerKey = u64;

/// Returns the key of a backend server.
#[must_use]
pub fn server_key(server: &str) -> ServerKey {
    xxh3_64(server.as_bytes())
}

/// Returns the rank of a VM for a backend server in the data centre `at`. The VM of the greatest
/// rank should own the server.
///
/// VMs of the server's own data centre rank above all others. The rank of a VM does not depend on
/// the other VMs, so adding or removing a VM moves only that VM's own servers.
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
