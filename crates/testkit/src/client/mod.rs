//! A small JSON client that opens one connection a call.
//!
//! No connection is kept, so that no library layer can send a request a second time.

use std::{io, net::SocketAddr, time::Duration};

use displaydoc::Display;
use serde::{Serialize, de::DeserializeOwned};
use volo_http::{
    body::BodyConversion,
    client::{Client, ClientBuilder},
    response::Response,
};

/// How a call ended without a readable reply.
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
        /// The status of the reply.
        status: u16,
        /// The reply's body.
        text: String,
        /// The cause.
        error: serde_json::Error,
    },
    /// the call took longer than its time limit
    TimedOut,
}

impl std::error::Error for ClientError {}

impl ClientError {
    /// Returns whether no connection could be opened, so that nothing was sent.
    #[must_use]
    pub fn is_refused(&self) -> bool {
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

/// A reply of any status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The body.
    pub text: String,
}

/// A JSON client.
#[derive(Clone)]
pub struct JsonClient {
    client: Client,
    limit: Duration,
}

impl std::fmt::Debug for JsonClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("JsonClient")
            .field("limit", &self.limit)
            .finish_non_exhaustive()
    }
}

impl JsonClient {
    /// Makes a client that opens a connection for each call and gives up after `limit`.
    ///
    /// # Errors
    /// Returns what hinders the library's client.
    pub fn new(limit: Duration) -> Result<Self, ClientError> {
        Self::with_max_idle(limit, 0)
    }

    /// Makes a client that keeps up to `idle` connections an address.
    ///
    /// # Errors
    /// Returns what hinders the library's client.
    pub fn with_max_idle(limit: Duration, idle: usize) -> Result<Self, ClientError> {
        let mut builder = ClientBuilder::new();
        builder.set_max_idle_per_host(idle);
        let client = builder.build().map_err(ClientError::Build)?;
        Ok(Self { client, limit })
    }

    /// Gets a page.
    ///
    /// # Errors
    /// Returns how the call failed.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Reply, ClientError> {
        let request = self.client.get(format!("http://{address}{path}"));
        self.finish(request.send()).await
    }

    /// Posts a message.
    ///
    /// # Errors
    /// Returns how the call failed.
    pub async fn post<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &T,
    ) -> Result<Reply, ClientError> {
        let request = self.client.post(format!("http://{address}{path}"));
        self.finish(request.json(message).send()).await
    }

    async fn finish(
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
        tokio::time::timeout(self.limit, read)
            .await
            .unwrap_or(Err(ClientError::TimedOut))
    }
}

impl Reply {
    /// Parses the body.
    ///
    /// # Errors
    /// Returns the body when it is not the message asked for.
    pub fn parse<T: DeserializeOwned>(self) -> Result<T, ClientError> {
        serde_json::from_str(&self.text).map_err(|error| ClientError::Parse {
            status: self.status,
            text: self.text,
            error,
        })
    }
}
