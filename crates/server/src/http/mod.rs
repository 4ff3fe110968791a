//! An HTTP/1.1 server with limits on its connections and graceful shutdown, and the settings of connections to
//! backend servers.

mod accept;
mod caller;
mod connect;

pub(crate) use accept::{AcceptSettings, Acceptor};
pub(crate) use caller::{Caller, ConnectionCloser};
pub(crate) use connect::server_connections;
