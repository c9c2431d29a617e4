//! Port to the site's metadata store.
//!
//! The store holds configuration, the upstreams' entries, and what instances
//! agree on. Every change has a revision of one counter. A call without an
//! answer may take effect later while its condition still holds.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;
use thiserror::Error;
use tokio_util::bytes::Bytes;

/// Future of a port's call; ports are used from one thread.
pub type LocalBoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A stored value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredItem {
    pub key: String,
    pub value: Bytes,
    /// Revision of the item's last change.
    pub revision: u64,
}

/// A change that a watch reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreChange {
    Put(StoredItem),
    Deleted { key: String, revision: u64 },
}

impl StoreChange {
    /// Returns the changed key.
    pub fn key(&self) -> &str {
        match self {
            StoreChange::Put(item) => &item.key,
            StoreChange::Deleted { key, .. } => key,
        }
    }

    /// Returns the item that was put; `None` if one was deleted.
    pub fn into_item(self) -> Option<StoredItem> {
        match self {
            StoreChange::Put(item) => Some(item),
            StoreChange::Deleted { .. } => None,
        }
    }

    /// Returns the revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            StoreChange::Put(item) => item.revision,
            StoreChange::Deleted { revision, .. } => *revision,
        }
    }
}

/// All items, read page by page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreListing {
    pub items: Vec<StoredItem>,
    /// Revision from which a watch misses nothing.
    pub as_of: u64,
}

/// Changes since a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeBatch {
    pub changes: Vec<StoreChange>,
    pub as_of: u64,
}

/// A write that takes effect as a whole if every expected revision still holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreTransaction {
    /// Keys and their revisions; 0 if the key must not exist.
    pub expected: Vec<(String, u64)>,
    pub writes: Vec<StoreWrite>,
    pub deletes: Vec<String>,
}

/// One key of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreWrite {
    pub key: String,
    pub value: Bytes,
    /// Lease with whose end the key vanishes.
    pub lease: Option<u64>,
}

/// Result of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TransactionResult {
    Committed {
        revision: u64,
    },
    /// An expected revision no longer holds; the keys' items as they are now.
    Conflict(Vec<StoredItem>),
    /// The lease of a write has ended.
    LeaseEnded,
}

/// A store call without a usable answer.
#[derive(Debug, Error)]
pub enum StoreError {
    #[error("store refused the call with status {0}; it is retried")]
    Refused(u16),
    #[error("store no longer has the history since the revision; list again")]
    Compacted,
    #[error("lease has ended; open another one")]
    LeaseEnded,
    #[error("store gave no answer: {0}; the call may have taken effect")]
    Unanswered(String),
    #[error("store's answer cannot be read: {0}; check the store's version")]
    Unreadable(String),
}

/// Client of the metadata store.
pub trait MetadataStore {
    /// Reads all items.
    fn list(&self) -> LocalBoxFuture<'_, Result<StoreListing, StoreError>>;

    /// Waits at most `wait` for changes after a revision.
    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<ChangeBatch, StoreError>>;

    /// Waits at most `wait` for changes of the configuration after a revision.
    ///
    /// May wait while another watch waits. Its answer shows nothing of other items.
    fn watch_config(
        &self,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<ChangeBatch, StoreError>>;

    /// Writes under a condition.
    fn commit<'a>(
        &'a self,
        transaction: &'a StoreTransaction,
    ) -> LocalBoxFuture<'a, Result<TransactionResult, StoreError>>;

    /// Opens a lease.
    fn open_lease(&self, ttl: Duration) -> LocalBoxFuture<'_, Result<u64, StoreError>>;

    /// Renews a lease.
    fn renew_lease(&self, lease: u64) -> LocalBoxFuture<'_, Result<(), StoreError>>;
}
