//! Client of the platform's key-value service.

use crate::exchange;
use crate::metrics;
use http_types::Method;
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Time allowed to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for which the service keeps a watch waiting.
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

/// Answer to a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct WatchResponse {
    /// Revision from which the next watch goes on.
    pub revision: u64,
    pub entries: Vec<StoredEntry>,
}

/// Answer to a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapResult {
    Written { revision: u64 },
    Conflict,
}

#[derive(Deserialize)]
struct RevisionResponse {
    revision: u64,
}

/// A call to the platform's service that brought no usable answer.
#[derive(Debug, Error)]
pub enum StoreClientError {
    #[error("platform's service: {0}")]
    Call(#[from] exchange::CallError),
    #[error("platform's service answered status {0}; check that the address is the service's")]
    Status(u16),
    #[error("platform's service answered other than JSON: {0}; check its version")]
    Syntax(#[from] serde_json::Error),
}

/// Connection data of the platform's service.
#[derive(Clone, Debug)]
pub struct StoreClient {
    address: SocketAddr,
    metrics: Arc<metrics::MetricSet>,
}

impl StoreClient {
    /// Creates a client.
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
        self.metrics.control.platform_calls.add(1, &[]);
        let answer = exchange::call(self.address, method, path, body, timeout).await?;
        Ok(answer)
    }

    /// Reads a value; `None` if there is none.
    pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreClientError> {
        let path = format!("/v1/kv/{key}");
        let answer = self.call(Method::Get, &path, "", CALL_TIMEOUT).await?;
        match answer.status {
            200 => Ok(Some(serde_json::from_str(&answer.body)?)),
            404 => Ok(None),
            status => Err(StoreClientError::Status(status)),
        }
    }

    /// Writes a value if its revision is still `revision`; 0 creates it.
    pub async fn swap(
        &self,
        key: &str,
        value: &str,
        revision: u64,
    ) -> Result<SwapResult, StoreClientError> {
        let path = format!("/v1/kv/{key}?revision={revision}");
        let answer = self.call(Method::Put, &path, value, CALL_TIMEOUT).await?;
        match answer.status {
            200 => {
                let answer: RevisionResponse = serde_json::from_str(&answer.body)?;
                Ok(SwapResult::Written {
                    revision: answer.revision,
                })
            }
            409 => Ok(SwapResult::Conflict),
            status => Err(StoreClientError::Status(status)),
        }
    }

    /// Waits for values below `prefix` that are newer than `after`.
    pub async fn watch(&self, prefix: &str, after: u64) -> Result<WatchResponse, StoreClientError> {
        let wait = WATCH_WAIT.as_millis();
        let path = format!("/v1/watch/{prefix}?after={after}&wait_ms={wait}");
        let timeout = WATCH_WAIT + CALL_TIMEOUT;
        let answer = self.call(Method::Get, &path, "", timeout).await?;
        match answer.status {
            200 => Ok(serde_json::from_str(&answer.body)?),
            status => Err(StoreClientError::Status(status)),
        }
    }
}
