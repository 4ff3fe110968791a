//! Division of a backend server's connection limit among VMs.

/// The numbers of responsive VMs, relative to a backend server's data centre.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VmCounts {
    /// The VMs in the data centre of the backend server.
    pub near: u32,
    /// The VMs in other data centres.
    pub far: u32,
}

/// Returns how many of the `limit` connections that a backend server accepts one VM may open.
///
/// `is_near` states whether the VM is in the data centre of the backend server. Half of the
/// connections go to the VMs of that data centre, because they send the server most of its calls,
/// and half to all others. If there are no VMs on one side, all VMs share all connections.
///
/// A VM always gets at least one connection, even where the sum then exceeds `limit`: in a large
/// fleet callers are directed to few VMs, so most of the others open none.
#[must_use]
pub fn connection_share(limit: u32, is_near: bool, vms: VmCounts) -> u32 {
    if vms.near == 0 || vms.far == 0 {
        return (limit / (vms.near + vms.far).max(1)).max(1);
    }
    let vm_count = if is_near { vms.near } else { vms.far };
    (limit / 2 / vm_count).max(1)
}
