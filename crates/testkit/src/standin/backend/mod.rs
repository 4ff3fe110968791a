//! Stand-ins for backend servers; one process may run many of them.

mod faults;
mod history;
mod process;
mod rows;
mod run;
mod settings;
mod state;

pub use faults::{Fault, Faults};
pub use history::{HistoryFile, RunEnd, RunEvent, RunStep, unix_micros};
pub use process::{BackendChange, BackendProcess, CHANGE_PATH, STATS_PATH};
pub use rows::{job_rows, search_rows};
pub use settings::{BackendSettings, ProcessSettings, ServiceTime};
pub use state::BackendStats;
