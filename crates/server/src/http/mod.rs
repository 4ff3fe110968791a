//! An HTTP/1.1 server with limits on its connections and graceful shutdown.

mod accept;

pub(crate) use accept::{AcceptSettings, Acceptor};
