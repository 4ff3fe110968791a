//! The HTTP server for callers and operators.
//!
//! `volo-http` routes requests and holds their bodies. The connections are driven by `hyper`
//! directly, because the accept loop of `volo-http` limits neither the number of connections nor
//! the time in which a head must arrive, and ends 30 s after a signal even if connections are
//! still open.

mod connection;
mod listen;
mod receive;
mod respond;
mod routes;

pub use listen::serve;
