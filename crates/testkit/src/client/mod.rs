//! A small JSON over HTTP client that opens one connection per call.
//!
//! By default no connection is reused, so that no layer of the HTTP library can send a request a
//! second time.

use std::{io, net::SocketAddr, time::Duration};

use displaydoc::Display;
use serde::{Serialize, de::DeserializeOwned};
use volo_http::{
    body::BodyConversion,
    client::{Client, ClientBuilder},
    response::Response,
};

/// An error of the client or of a call.
#[derive(Debug, Display)]
pub enum ClientError {
    /// the client could not be built: {0}
    Build(volo_http::error::ClientError),
    /// the call got no reply: {0}
    Call(volo_http::error::ClientError),
    /// the body could not be read
    Body,
    /// the reply with status {status} cannot be parsed: {error}: {text}
    Parse {
        /// The HTTP status of the reply.
        status: u16,
        /// The body of the reply.
        text: String,
        /// The cause of the failure.
        error: serde_json::Error,
    },
    /// the call took longer than its time limit
    TimedOut,
}

impl std::error::Error for ClientError {}

impl ClientError {
    /// Returns whether the connection was refused, so that nothing was sent.
    #[must_use]
    pub fn is_connection_refused(&self) -> bool {
        let Self::Call(cause) = self else {
            return false;
        };
        let mut source = std::error::Error::source(cause);
        while let Some(error) = source {
            if let Some(error) = error.downcast_ref::<io::Error>() {
                return error.kind() == io::ErrorKind::ConnectionRefused;
            }
            source = error.source();
        }
        false
    }
}

/// A reply with any HTTP status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// The body.
    pub text: String,
}

/// A JSON client.
#[derive(Clone)]
pub struct JsonClient {
    client: Client,
    timeout: Duration,
}

impl std::fmt::Debug for JsonClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("JsonClient")
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

impl JsonClient {
    /// Creates a client that opens a connection for each call, which fails after `timeout`.
    ///
    /// # Errors
    /// Returns an error if the HTTP client cannot be built.
    pub fn new(timeout: Duration) -> Result<Self, ClientError> {
        Self::with_max_idle(timeout, 0)
    }

    /// Creates a client that keeps up to `max_idle` idle connections per address.
    ///
    /// # Errors
    /// Returns an error if the HTTP client cannot be built.
    pub fn with_max_idle(timeout: Duration, max_idle: usize) -> Result<Self, ClientError> {
        let mut builder = ClientBuilder::new();
        builder.set_max_idle_per_host(max_idle);
        let client = builder.build().map_err(ClientError::Build)?;
        Ok(Self { client, timeout })
    }

    /// Sends a GET request.
    ///
    /// # Errors
    /// Returns an error if no reply is received in time.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Reply, ClientError> {
        let request = self.client.get(format!("http://{address}{path}"));
        self.read_reply(request.send()).await
    }

    /// Sends a POST request with a JSON message.
    ///
    /// # Errors
    /// Returns an error if no reply is received in time.
    pub async fn post<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &T,
    ) -> Result<Reply, ClientError> {
        let request = self.client.post(format!("http://{address}{path}"));
        self.read_reply(request.json(message).send()).await
    }

    /// Awaits a call and reads its reply, within the time limit.
    async fn read_reply(
        &self,
        call: impl Future<Output = Result<Response, volo_http::error::ClientError>>,
    ) -> Result<Reply, ClientError> {
        let read = async {
            let response = call.await.map_err(ClientError::Call)?;
            let status = response.status().as_u16();
            let body = response.into_body().into_vec().await;
            let Ok(body) = body else {
                return Err(ClientError::Body);
            };
            let text = String::from_utf8_lossy(&body).into_owned();
            Ok(Reply { status, text })
        };
        tokio::time::timeout(self.timeout, read)
            .await
            .unwrap_or(Err(ClientError::TimedOut))
    }
}

impl Reply {
    /// Parses the body as a JSON message.
    ///
    /// # Errors
    /// Returns an error with the body if it cannot be parsed.
    pub fn parse<T: DeserializeOwned>(self) -> Result<T, ClientError> {
        serde_json::from_str(&self.text).map_err(|error| ClientError::Parse {
            status: self.status,
            text: self.text,
            error,
        })
    }
}
