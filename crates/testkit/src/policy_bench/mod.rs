//! Policy benchmark: a deterministic simulation that runs the server's own decision code against
//! fake backend servers, with simulated time and fixed seeds.
//!
//! The network and the fleet are not modelled beyond a fixed one-way latency between an entry and
//! the owner or backend server that it sends to.

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
