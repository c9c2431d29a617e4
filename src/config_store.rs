//! Teams' configuration subtrees as they are stored.
//!
//! `config/TEAM` holds the version in force; `history/TEAM/VERSION` keeps the
//! earlier ones. A version is stored in the history before it is replaced, so
//! the history is complete whenever a newer version exists. Versions of a team
//! are numbered without gaps, and a rollback is a new version.

use crate::config;
use crate::document;
use crate::store_client;
use async_io::Timer;
use serde::{Deserialize, Serialize};
use similar::TextDiff;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Prefix of replaced versions in the platform's service.
const HISTORY_PREFIX: &str = "history/";

/// Pause before another attempt to learn the result of a write.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(200);

/// One version of a team's subtree.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigVersion {
    pub version: u64,
    /// Identity of the write, to recognise it after a lost reply.
    #[serde(rename = "attempt")]
    pub write_id: u64,
    /// Seconds since the Unix epoch at the writer.
    pub written_at: u64,
    pub author: String,
    pub text: String,
}

/// Why a subtree was not read or written.
#[derive(Debug, Error)]
pub enum ConfigStoreError {
    #[error(transparent)]
    Store(#[from] store_client::StoreClientError),
    #[error(transparent)]
    Document(#[from] document::DocumentError),
    #[error("{key}: stored value is damaged: {source}; restore it from the history")]
    Damaged {
        key: String,
        source: serde_json::Error,
    },
    #[error("team \"{0}\" has no configuration; write one with `godwitloom config put`")]
    NoTeam(String),
    #[error("team \"{team}\" has no version {version}; see `godwitloom config history {team}`")]
    NoVersion { team: String, version: u64 },
    #[error(
        "not accepted: version {edited} was edited, version {found} by {author} is in force; \
         apply your change to it and put again\n{diff}"
    )]
    Race {
        edited: u64,
        found: u64,
        author: String,
        diff: String,
    },
    #[error(
        "result unknown after {} s: {source}; \
         run `godwitloom config get` and look for attempt {write_id}", .waited.as_secs()
    )]
    Unresolved {
        write_id: u64,
        waited: Duration,
        source: store_client::StoreClientError,
    },
}

impl ConfigVersion {
    /// Decodes a stored version.
    pub fn decode(key: &str, text: &str) -> Result<ConfigVersion, ConfigStoreError> {
        serde_json::from_str(text).map_err(|source| ConfigStoreError::Damaged {
            key: key.to_owned(),
            source,
        })
    }

    fn encode(&self) -> String {
        serde_json::to_string(self).expect("versions always encode")
    }
}

/// Returns a unified diff from `old` to `new`.
pub fn diff(old: &ConfigVersion, new: &ConfigVersion) -> String {
    let names = [old, new].map(|v| format!("version {} by {}", v.version, v.author));
    let diff = TextDiff::from_lines(&old.text, &new.text);
    let mut unified = diff.unified_diff();
    unified.header(&names[0], &names[1]).to_string()
}

/// Reader and writer of subtrees.
#[derive(Debug)]
pub struct ConfigStore {
    client: store_client::StoreClient,
    /// Time spent to learn the result of a write.
    patience: Duration,
}

struct StoredVersion {
    version: ConfigVersion,
    revision: u64,
}

impl ConfigStore {
    /// Creates a store that spends up to `patience` on an uncertain write.
    pub fn new(client: store_client::StoreClient, patience: Duration) -> ConfigStore {
        ConfigStore { client, patience }
    }

    async fn read(&self, key: &str) -> Result<Option<StoredVersion>, ConfigStoreError> {
        let Some(stored) = self.client.get(key).await? else {
            return Ok(None);
        };
        Ok(Some(StoredVersion {
            version: ConfigVersion::decode(key, &stored.value)?,
            revision: stored.revision,
        }))
    }

    /// Returns the version in force.
    pub async fn current(&self, team: &str) -> Result<Option<ConfigVersion>, ConfigStoreError> {
        let stored = self.read(&current_key(team)).await?;
        Ok(stored.map(|stored| stored.version))
    }

    /// Returns the version in force, or one from the history.
    pub async fn version(
        &self,
        team: &str,
        version: u64,
    ) -> Result<ConfigVersion, ConfigStoreError> {
        let current = self.current(team).await?;
        if let Some(current) = current.filter(|current| current.version == version) {
            return Ok(current);
        }
        let stored = self.read(&history_key(team, version)).await?;
        let missing = || ConfigStoreError::NoVersion {
            team: team.to_owned(),
            version,
        };
        stored.map(|stored| stored.version).ok_or_else(missing)
    }

    /// Writes a new version if `edited` is still in force; 0 stands for none.
    ///
    /// Returns the accepted version. An error other than
    /// [`ConfigStoreError::Unresolved`] means that it was not accepted.
    pub async fn put(
        &self,
        team: &str,
        edited: u64,
        author: &str,
        text: &str,
    ) -> Result<ConfigVersion, ConfigStoreError> {
        config::TeamConfig::parse(&current_key(team), team, text)?;
        let stored = self.read(&current_key(team)).await?;
        let found = stored.as_ref().map_or(0, |stored| stored.version.version);
        let version = ConfigVersion {
            version: edited + 1,
            write_id: fastrand::u64(..),
            written_at: unix_time(),
            author: author.to_owned(),
            text: text.to_owned(),
        };
        if found != edited {
            let current = stored.map(|stored| stored.version);
            return Err(self.race(team, edited, current).await);
        }
        if let Some(stored) = &stored {
            self.archive(team, &stored.version).await?;
        }
        let revision = stored.map_or(0, |stored| stored.revision);
        let key = current_key(team);
        match self.client.swap(&key, &version.encode(), revision).await {
            Ok(store_client::SwapResult::Written { .. }) => Ok(version),
            Ok(store_client::SwapResult::Conflict) => self.settle(team, version).await,
            Err(error) => self.resolve(team, version, error).await,
        }
    }

    /// Stores a version in the history; an existing entry is the same version.
    async fn archive(&self, team: &str, version: &ConfigVersion) -> Result<(), ConfigStoreError> {
        let key = history_key(team, version.version);
        self.client.swap(&key, &version.encode(), 0).await?;
        Ok(())
    }

    /// Decides an answered write by what is stored now.
    async fn settle(
        &self,
        team: &str,
        version: ConfigVersion,
    ) -> Result<ConfigVersion, ConfigStoreError> {
        let stored = self.version(team, version.version).await;
        match stored {
            Ok(stored) if stored.write_id == version.write_id => Ok(version),
            Ok(_) | Err(ConfigStoreError::NoVersion { .. }) => {
                let current = self.current(team).await?;
                Err(self.race(team, version.version - 1, current).await)
            }
            Err(error) => Err(error),
        }
    }

    /// Learns the result of a write whose reply is missing.
    ///
    /// The write itself is repeated: the compare-and-swap admits it once.
    async fn resolve(
        &self,
        team: &str,
        version: ConfigVersion,
        mut source: store_client::StoreClientError,
    ) -> Result<ConfigVersion, ConfigStoreError> {
        let started = Instant::now();
        while started.elapsed() < self.patience {
            Timer::after(RESOLVE_INTERVAL).await;
            match self.try_resolve(team, &version).await {
                Ok(result) => return result,
                Err(error) => source = error,
            }
        }
        Err(ConfigStoreError::Unresolved {
            write_id: version.write_id,
            waited: started.elapsed(),
            source,
        })
    }

    async fn try_resolve(
        &self,
        team: &str,
        version: &ConfigVersion,
    ) -> Result<Result<ConfigVersion, ConfigStoreError>, store_client::StoreClientError> {
        let stored = match self.read(&current_key(team)).await {
            Ok(stored) => stored,
            Err(ConfigStoreError::Store(error)) => return Err(error),
            Err(error) => return Ok(Err(error)),
        };
        let found = stored.as_ref().map_or(0, |stored| stored.version.version);
        if found >= version.version {
            return match self.settle(team, version.clone()).await {
                Err(ConfigStoreError::Store(error)) => Err(error),
                settled => Ok(settled),
            };
        }
        let revision = stored.map_or(0, |stored| stored.revision);
        let key = current_key(team);
        match self.client.swap(&key, &version.encode(), revision).await? {
            store_client::SwapResult::Written { .. } => Ok(Ok(version.clone())),
            store_client::SwapResult::Conflict => match self.settle(team, version.clone()).await {
                Err(ConfigStoreError::Store(error)) => Err(error),
                settled => Ok(settled),
            },
        }
    }

    async fn race(
        &self,
        team: &str,
        edited: u64,
        current: Option<ConfigVersion>,
    ) -> ConfigStoreError {
        let Some(current) = current else {
            return ConfigStoreError::NoTeam(team.to_owned());
        };
        let old = self.version(team, edited).await;
        let diff = old.map_or_else(|_| String::new(), |old| diff(&old, &current));
        ConfigStoreError::Race {
            edited,
            found: current.version,
            author: current.author,
            diff,
        }
    }
}

fn current_key(team: &str) -> String {
    format!("{}{team}", config::CONFIG_PREFIX)
}

fn history_key(team: &str, version: u64) -> String {
    format!("{HISTORY_PREFIX}{team}/{version}")
}

fn unix_time() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
