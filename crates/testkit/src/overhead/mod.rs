//! Measures what the request path costs: latency over direct calls, processor time and memory.
//!
//! Everything runs against a fleet of processes with stand-ins that reply at once. Latencies are
//! differences within one run, direct calls and searches in turn.

mod latency;
mod memory;
mod processor;
mod setup;
mod usage;

pub use latency::{LatencyReport, measure_latency};
pub use memory::{MemoryReport, measure_memory};
pub use processor::{ProcessorReport, measure_processor};
pub use setup::OverheadError;
