//! TCP connections that send small messages without delay.
//!
//! `TCP_NODELAY` is set on all of them. Without it, a small message would be held back until the
//! other side's delayed acknowledgement, for 40 ms.

mod metered;

#[cfg(test)]
mod tests;

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpStream};

pub use metered::{Meter, MeteredStream};

use crate::process::ProcessError;

/// Starts to listen on an address.
///
/// # Errors
/// Returns an error if the process cannot listen on the address.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    let listening = TcpListener::bind(address).await;
    listening.map_err(|cause| ProcessError::Listen(address, cause))
}

/// Accepts the next connection whose options can be set. Connections that break before that are
/// skipped.
///
/// # Errors
/// Returns an error if no connection could be accepted.
pub async fn accept(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    loop {
        let (stream, peer) = listener.accept().await?;
        match stream.set_nodelay(true) {
            Ok(()) => return Ok((stream, peer)),
            Err(error) => log::debug!("sockets: A connection from {peer} broke at once: {error}."),
        }
    }
}

/// Opens a connection to an address.
///
/// # Errors
/// Returns an error if the connection could not be opened or its options could not be set.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
