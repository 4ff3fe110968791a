//! Measures the overhead of the request path: added latency, processor time and memory.
//!
//! All measurements run against a fleet of real processes. For latency and processor time, its
//! stand-in backend servers reply at once. Added latency is the difference between searches and
//! direct calls, which alternate within one run.

mod latency;
mod memory;
mod processor;
mod setup;
mod usage;

pub use latency::{LatencyReport, measure_latency};
pub use memory::{MemoryReport, measure_memory};
pub use processor::{ProcessorReport, measure_processor};
pub use setup::OverheadError;
