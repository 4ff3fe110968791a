//! The HTTP client that queries a VM.

use std::{net::SocketAddr, time::Duration};

use serde::de::DeserializeOwned;
use tokio::{runtime, time::timeout};
use volo_http::{body::BodyConversion, client::ClientBuilder};

use crate::CtlError;

/// The maximum time that a VM may take to answer; the text of [`CtlError::Timeout`] names it too.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the content of a VM's page.
pub(crate) fn get<T: DeserializeOwned>(vm: SocketAddr, path: &str) -> Result<T, CtlError> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CtlError::Runtime)?;
    runtime.block_on(async {
        let answer = timeout(TIMEOUT, fetch(vm, path)).await;
        answer.unwrap_or(Err(CtlError::Timeout(vm)))
    })
}

async fn fetch<T: DeserializeOwned>(vm: SocketAddr, path: &str) -> Result<T, CtlError> {
    let client = ClientBuilder::new()
        .build()
        .map_err(CtlError::BuildClient)?;
    let result = client.get(format!("http://{vm}{path}")).send().await;
    let response = result.map_err(|cause| CtlError::Unreachable { vm, cause })?;
    let status = response.status();
    if !status.is_success() {
        let status = status.as_u16();
        return Err(CtlError::Status { vm, status });
    }
    let body = response.into_json().await;
    body.map_err(|cause| CtlError::InvalidBody { vm, cause })
}
