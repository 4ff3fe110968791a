//! Limits on the calls a second that a backend server takes from all VMs together.
//!
//! A server that states a limit gets calls against permits only. For each such server one VM, the
//! same on all VMs that know the same fleet, hands out permits at the stated rate. The other VMs
//! claim them as their requests need them, so that the sum holds wherever the requests arrive.

mod allocator;
mod permits;
mod rate;

pub use allocator::{Allotment, PermitAllocator, PermitClaim, PermitGrant, choose_allocator};
pub(crate) use permits::Permits;
pub use rate::{CallRate, StatedLimit};

#[cfg(test)]
mod tests;
