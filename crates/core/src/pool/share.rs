//! How the connections that a backend server accepts are dealt out to VMs.

/// The VMs that answer, as seen from one backend server's data centre.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VmCounts {
    /// Those in its data centre.
    pub near: u32,
    /// Those in other data centres.
    pub far: u32,
}

/// Returns how many of the `most` connections of a backend server one VM may hold open.
///
/// Half of them go to the VMs of its data centre, which send it most of its calls, half to the
/// others. A VM always gets one: callers are sent to few VMs of a large fleet, so that most of
/// the others hold none.
#[must_use]
pub fn connection_share(most: u32, is_near: bool, vms: VmCounts) -> u32 {
    if vms.near == 0 || vms.far == 0 {
        return (most / (vms.near + vms.far).max(1)).max(1);
    }
    let sharers = if is_near { vms.near } else { vms.far };
    (most / 2 / sharers).max(1)
}
