//! The entry role, which serves callers' searches and jobs.

mod addresses;
mod admit;
mod attempt;
mod gather;
mod http;
pub mod jobs;
mod policy;
mod refuse;
mod search;

pub(crate) use addresses::address_entries;
pub use http::serve;
pub use policy::PolicyTables;
