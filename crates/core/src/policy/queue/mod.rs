//! The queue of calls that wait for a slot of one backend server, kept by its owner.

mod entry;
mod table;

pub use entry::{QueueEntry, QueueRefusal, ServiceRate};
pub use table::Queue;

#[cfg(test)]
mod tests;
