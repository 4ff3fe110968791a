//! The policy benchmark: the server's own decision code against fake backend servers, in
//! passed-in time and with fixed seeds.
//!
//! There is no model of the network or of the fleet beyond a fixed latency between an entry and
//! an owner.

mod arrangement;
mod arrival;
mod backend;
mod claims;
mod comparison;
mod deployment;
mod entry_side;
mod event;
mod fault;
mod figure;
mod outcome;
mod owner;
mod owner_side;
mod publication;
mod record;
mod replacement;
mod report;
mod scenario;
mod search;
mod server_side;
mod world;

pub use arrangement::Arrangement;
pub use backend::mean_service;
pub use deployment::{Deployment, ENTRIES, ServiceShape, Stream};
pub use fault::{ClaimMode, Fault, PresetChoice, Schedule};
pub use figure::{Bound, Figure};
pub use outcome::{Outcome, Series};
pub use record::{End, Ended, Record, Window, ratio};
pub use report::{ReportError, write_report};
pub use scenario::{BenchSettings, SCENARIOS, Scenario};
pub use world::{RunSettings, Strategy, run};
