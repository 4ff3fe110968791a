//! The HTTP client for the configuration service and the VM list.

use std::{net::SocketAddr, time::Duration};

use cassialift_core::{
    config::ANSWER_TIMEOUT,
    ids::{Position, Revision},
    time::Millis,
};
use cassialift_wire::platform::{
    CHANGES_PATH, Changes, ChangesFuture, ConfigSource, ConfigSourceError, VMS_PATH, VmList,
};
use http_body_util::{BodyExt, Limited};
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use volo_http::client::{Client, ClientBuilder};

use super::PlatformError;
use crate::settings::PlatformSettings;

/// The largest answer that is read, in bytes. It suffices for all documents in one answer, escaped.
const MAX_BODY: usize = 128 << 20;

/// A client that reads the configuration service and the VM list.
#[derive(Clone)]
pub struct PlatformClient {
    http: Client,
    settings: PlatformSettings,
}

impl std::fmt::Debug for PlatformClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformClient")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl ConfigSource for PlatformClient {
    fn changes(&self, after: Position, wait: Duration) -> ChangesFuture<'_> {
        Box::pin(async move {
            let changes = self.changes_in_epoch(after, wait).await;
            changes.map_err(|error| ConfigSourceError(Box::new(error)))
        })
    }
}

impl PlatformClient {
    /// Creates a client.
    ///
    /// # Errors
    /// Returns an error if the HTTP client could not be built.
    pub fn new(settings: PlatformSettings) -> Result<Self, PlatformError> {
        let http = ClientBuilder::new().build().map_err(PlatformError::Build)?;
        Ok(Self { http, settings })
    }

    /// Returns the documents that changed after a position, or all documents if the service is in
    /// another epoch.
    async fn changes_in_epoch(
        &self,
        after: Position,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let changes = self.changes(after.revision, wait).await?;
        if changes.epoch == after.epoch || after.revision == 0 {
            return Ok(changes);
        }
        let all = self.changes(0, Duration::ZERO).await?;
        Ok(Changes {
            complete: true,
            ..all
        })
    }

    /// Returns the documents that changed after a revision, waiting up to `wait` for a change.
    ///
    /// # Errors
    /// Returns an error if there is no valid answer in time.
    pub async fn changes(&self, after: Revision, wait: Duration) -> Result<Changes, PlatformError> {
        let wait_millis = u64::from(Millis(wait));
        let path = format!("{CHANGES_PATH}?after={after}&wait={wait_millis}");
        self.get(self.settings.config, &path, wait + ANSWER_TIMEOUT)
            .await
    }

    /// Returns the VM list.
    ///
    /// # Errors
    /// Returns an error if there is no valid answer in time.
    pub async fn vms(&self) -> Result<VmList, PlatformError> {
        self.get(self.settings.vms, VMS_PATH, ANSWER_TIMEOUT).await
    }

    async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<T, PlatformError> {
        let call = async {
            let uri = format!("http://{address}{path}");
            let sent = self.http.get(uri).send().await;
            let response = sent.map_err(|cause| PlatformError::Call(address, cause))?;
            let status = response.status();
            if !status.is_success() {
                return Err(PlatformError::Status(address, status.as_u16()));
            }
            let body = Limited::new(response.into_body(), MAX_BODY).collect().await;
            let body = body.map_err(|cause| PlatformError::Body(address, cause))?;
            let parsed = serde_json::from_slice(&body.to_bytes());
            parsed.map_err(|cause| PlatformError::Parse(address, cause))
        };
        let answer = timeout(limit, call).await;
        answer.unwrap_or(Err(PlatformError::Timeout(address)))
    }
}
