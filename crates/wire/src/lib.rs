//! Messages between cassialift's processes, callers, backend servers and the platform.
//!
//! `caller`, `operator`, `backend` and `platform` use JSON over HTTP/1.1; `peer` uses tarpc over
//! TCP.

pub mod backend;
pub mod caller;
pub mod operator;
pub mod peer;
pub mod platform;
