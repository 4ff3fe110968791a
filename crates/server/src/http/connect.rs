//! The settings of HTTP connections to backend servers.

use hyper::client::conn::http1;

/// The size of the buffer in which a connection receives, in bytes, and so of the largest head of a reply.
/// All connections together must fit the memory of a small VM while each receives bytes without end.
const MAX_BUFFER: usize = 64 << 10;

/// Returns the settings of connections to backend servers.
pub(crate) fn server_connections() -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_BUFFER);
    builder
}
