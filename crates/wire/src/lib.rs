//! Messages between cassialift's processes, callers, backend servers and the platform.
//!
//! `caller`, `backend` and `platform` are JSON over HTTP/1.1; `peer` is tarpc over TCP.

pub mod backend;
pub mod caller;
pub mod operator;
pub mod peer;
pub mod platform;
