//! TCP connections that send small messages at once.
//!
//! Held back for the other side's acknowledgement, a small message would wait 40 ms.

#[cfg(test)]
mod tests;

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpStream};

use crate::process::ProcessError;

/// Listens on an address.
///
/// # Errors
/// Returns why the address could not be listened on.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    let listening = TcpListener::bind(address).await;
    listening.map_err(|cause| ProcessError::Listen(address, cause))
}

/// Accepts the next connection that lasts long enough to be set up.
///
/// # Errors
/// Returns why no connection could be accepted.
pub async fn accept(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    loop {
        let (stream, peer) = listener.accept().await?;
        match stream.set_nodelay(true) {
            Ok(()) => return Ok((stream, peer)),
            Err(error) => log::debug!("sockets: a connection from {peer} broke at once: {error}."),
        }
    }
}

/// Opens a connection.
///
/// # Errors
/// Returns why it could not be opened.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
