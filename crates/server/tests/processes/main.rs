//! Tests of the fleet's invariants on fleets of real processes under faults.
//!
//! Each test module covers one class of faults. The history checker of the testkit verifies the
//! recorded calls and runs against the invariants.

mod combined;
mod cuts;
mod freezes;
mod hostile;
mod job_support;
mod kills;
mod operators;
mod platform;
mod rolling;
mod shutdown;
mod stragglers;
mod support;
