//! What must always hold, proved on fleets of processes under faults.
//!
//! Each module is a class of faults; the verdict comes from the checker of histories.

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
