//! HTTP client of the metadata store, the platform's key-value service.

use crate::exchange;
use crate::metrics;
use http_types::Method;
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Time within which the store must respond; added to the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for which the store holds a watch open if nothing changes.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// A stored value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct StoredValue {
    pub value: String,
    pub revision: u64,
}

/// A stored value with its key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct StoredEntry {
    pub key: String,
    pub value: String,
    pub revision: u64,
}

/// Response to a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct WatchResponse {
    /// Revision to pass to the next watch.
    pub revision: u64,
    pub entries: Vec<StoredEntry>,
}

/// Result of a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapResult {
    Written { revision: u64 },
    Conflict,
}

#[derive(Deserialize)]
struct RevisionResponse {
    revision: u64,
}

/// A call to the metadata store that got no usable response.
#[derive(Debug, Error)]
pub enum StoreClientError {
    #[error("metadata store: {0}")]
    Call(#[from] exchange::CallError),
    #[error("metadata store responded with status {0}; check that the address is the store's")]
    Status(u16),
    #[error("metadata store's response is not the expected JSON: {0}; check its version")]
    Syntax(#[from] serde_json::Error),
}

/// Client that opens a new connection for each call.
#[derive(Clone, Debug)]
pub struct StoreClient {
    address: SocketAddr,
    metrics: Arc<metrics::MetricSet>,
}

impl StoreClient {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr, metrics: Arc<metrics::MetricSet>) -> StoreClient {
        StoreClient { address, metrics }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Result<exchange::CallResponse, StoreClientError> {
        self.metrics.control.store_calls.add(1, &[]);
        let response = exchange::call(self.address, method, path, body, timeout).await?;
        Ok(response)
    }

    /// Reads a value; returns `None` if the key does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreClientError> {
        let path = format!("/v1/kv/{key}");
        let response = self.call(Method::Get, &path, "", CALL_TIMEOUT).await?;
        match response.status {
            200 => Ok(Some(serde_json::from_str(&response.body)?)),
            404 => Ok(None),
            status => Err(StoreClientError::Status(status)),
        }
    }

    /// Writes a value if its stored revision is `revision`; 0 means that the key must not exist.
    pub async fn swap(
        &self,
        key: &str,
        value: &str,
        revision: u64,
    ) -> Result<SwapResult, StoreClientError> {
        let path = format!("/v1/kv/{key}?revision={revision}");
        let response = self.call(Method::Put, &path, value, CALL_TIMEOUT).await?;
        match response.status {
            200 => {
                let written: RevisionResponse = serde_json::from_str(&response.body)?;
                Ok(SwapResult::Written {
                    revision: written.revision,
                })
            }
            409 => Ok(SwapResult::Conflict),
            status => Err(StoreClientError::Status(status)),
        }
    }

    /// Returns the values under `prefix` that are newer than revision `after`.
    ///
    /// If there are none yet, waits for one for up to `WATCH_WAIT`.
    pub async fn watch(&self, prefix: &str, after: u64) -> Result<WatchResponse, StoreClientError> {
        let wait = WATCH_WAIT.as_millis();
        let path = format!("/v1/watch/{prefix}?after={after}&wait_ms={wait}");
        let timeout = WATCH_WAIT + CALL_TIMEOUT;
        let response = self.call(Method::Get, &path, "", timeout).await?;
        match response.status {
            200 => Ok(serde_json::from_str(&response.body)?),
            status => Err(StoreClientError::Status(status)),
        }
    }
}
