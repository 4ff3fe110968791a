//! The policy benchmark: the server's own decision code against fake backend servers, in
//! passed-in time and with fixed seeds.
//!
//! There is no model of the network or of the fleet beyond a fixed latency between an entry and
//! an owner.

mod arrival;
mod backend;
mod comparison;
mod deployment;
mod entry_side;
mod event;
mod fault;
mod figure;
mod health_reports;
mod publication;
mod record;
mod replacement;
mod report;
mod routing;
mod scenario;
mod scenario_result;
mod search;
mod sender_side;
mod server_queue;
mod server_side;
mod simulation;

pub use backend::mean_service_time;
pub use deployment::{Deployment, ENTRY_COUNT, RequestStream, ServiceShape};
pub use fault::{Fault, HealthReporting, PresetChoice, Schedule};
pub use figure::{Bound, Figure};
pub use record::{CompletedRequest, Record, RequestEnd, Window, ratio};
pub use report::{ReportError, write_report};
pub use routing::RoutingMode;
pub use scenario::{BenchSettings, SCENARIOS, Scenario};
pub use scenario_result::{ScenarioResult, Series};
pub use simulation::{RunSettings, Strategy, run};
