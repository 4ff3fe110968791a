//! Tickets for requests that may run at most once, and the table of their outcomes.
//!
//! A ticket names its holder, the only run of a process that may ever run its job. The holder keeps
//! the outcome of every submitted ticket until the ticket's `forget_at` time, and refuses the
//! ticket from then on. Times are durations since the start of the holder, so no two clocks are
//! compared.

mod codec;
mod error;
mod table;

pub use codec::{Ticket, TicketKey};
pub use error::{TicketError, TicketRefusal};
pub use table::{JobOutcome, JobTable, PinnedConfig, Submission, TableLimits, TicketState};

/// The length of a ticket key in bytes.
pub const KEY_BYTES: usize = 32;
