//! The callers' and operators' HTTP server.
//!
//! `volo-http` routes requests and holds their bodies; the connections are driven by `hyper`
//! below it, because `volo-http`'s own loop bounds neither connections nor the time that a head
//! may take, and ends with connections still open 30 s after a signal.

mod connection;
mod listen;
mod receive;
mod respond;
mod routes;

pub use listen::serve;
