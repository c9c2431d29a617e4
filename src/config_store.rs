//! Storage of the teams' configurations in the metadata store.
//!
//! `config/TEAM` holds the version in force and `history/TEAM/VERSION` the
//! earlier ones. A version is copied to the history before it is replaced, so
//! the history has every version before the one in force. Versions of a team
//! are numbered without gaps, and a rollback creates a new version.

use crate::config;
use crate::document;
use crate::store_client;
use async_io::Timer;
use serde::{Deserialize, Serialize};
use similar::TextDiff;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Prefix of the keys of replaced versions.
const HISTORY_PREFIX: &str = "history/";

/// Backoff between attempts to learn the result of a write.
const RESOLVE_BACKOFF: Duration = Duration::from_millis(200);

/// One version of a team's configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigVersion {
    pub version: u64,
    /// Random number that identifies the write after a lost response.
    #[serde(rename = "attempt")]
    pub write_id: u64,
    /// Seconds since the Unix epoch, on the writer's clock.
    pub written_at: u64,
    pub author: String,
    pub text: String,
}

/// Why a configuration was not read or written.
#[derive(Debug, Error)]
pub enum ConfigStoreError {
    #[error(transparent)]
    Store(#[from] store_client::StoreClientError),
    #[error(transparent)]
    Document(#[from] document::DocumentError),
    #[error("{key}: stored value cannot be decoded: {source}; restore it from the history")]
    Undecodable {
        key: String,
        source: serde_json::Error,
    },
    #[error("team \"{0}\" has no configuration; write one with `godwitloom config put`")]
    NoTeam(String),
    #[error("team \"{team}\" has no version {version}; see `godwitloom config history {team}`")]
    NoVersion { team: String, version: u64 },
    #[error(
        "not accepted: version {edited} was edited, version {in_force} by {author} is in force; \
         apply your change to it and put again\n{diff}"
    )]
    Conflict {
        edited: u64,
        in_force: u64,
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
        serde_json::from_str(text).map_err(|source| ConfigStoreError::Undecodable {
            key: key.to_owned(),
            source,
        })
    }

    fn encode(&self) -> String {
        serde_json::to_string(self).expect("a version always serializes")
    }
}

/// Returns a unified diff from `old` to `new`, headed by versions and authors.
pub fn diff(old: &ConfigVersion, new: &ConfigVersion) -> String {
    let headers =
        [old, new].map(|config| format!("version {} by {}", config.version, config.author));
    let diff = TextDiff::from_lines(&old.text, &new.text);
    let mut unified = diff.unified_diff();
    unified.header(&headers[0], &headers[1]).to_string()
}

/// Reader and writer of the teams' configurations.
#[derive(Debug)]
pub struct ConfigStore {
    client: store_client::StoreClient,
    /// Time spent on learning the result of a write whose response is lost.
    resolve_timeout: Duration,
}

/// A version with the revision of its key in the metadata store.
struct StoredVersion {
    version: ConfigVersion,
    revision: u64,
}

impl ConfigStore {
    /// Creates a store that tries for `resolve_timeout` to learn the result of a write.
    pub fn new(client: store_client::StoreClient, resolve_timeout: Duration) -> ConfigStore {
        ConfigStore {
            client,
            resolve_timeout,
        }
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

    /// Returns a version, be it in force or from the history.
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
        let no_version = || ConfigStoreError::NoVersion {
            team: team.to_owned(),
            version,
        };
        stored.map(|stored| stored.version).ok_or_else(no_version)
    }

    /// Writes a new version if version `edited` is in force; 0 means that there is none yet.
    ///
    /// Returns the accepted version. Any error except
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
        let in_force = stored.as_ref().map_or(0, |stored| stored.version.version);
        let version = ConfigVersion {
            version: edited + 1,
            write_id: fastrand::u64(..),
            written_at: unix_time(),
            author: author.to_owned(),
            text: text.to_owned(),
        };
        if in_force != edited {
            let current = stored.map(|stored| stored.version);
            return Err(self.conflict(team, edited, current).await);
        }
        if let Some(stored) = &stored {
            self.archive(team, &stored.version).await?;
        }
        let revision = stored.map_or(0, |stored| stored.revision);
        let key = current_key(team);
        match self.client.swap(&key, &version.encode(), revision).await {
            Ok(store_client::SwapResult::Written { .. }) => Ok(version),
            Ok(store_client::SwapResult::Conflict) => self.check_stored(team, version).await,
            Err(error) => self.resolve(team, version, error).await,
        }
    }

    /// Copies a version to the history; an existing entry is the same version.
    async fn archive(&self, team: &str, version: &ConfigVersion) -> Result<(), ConfigStoreError> {
        let key = history_key(team, version.version);
        self.client.swap(&key, &version.encode(), 0).await?;
        Ok(())
    }

    /// Determines from the stored versions whether a write took effect.
    async fn check_stored(
        &self,
        team: &str,
        version: ConfigVersion,
    ) -> Result<ConfigVersion, ConfigStoreError> {
        let stored = self.version(team, version.version).await;
        match stored {
            Ok(stored) if stored.write_id == version.write_id => Ok(version),
            Ok(_) | Err(ConfigStoreError::NoVersion { .. }) => {
                let current = self.current(team).await?;
                Err(self.conflict(team, version.version - 1, current).await)
            }
            Err(error) => Err(error),
        }
    }

    /// Learns the result of a write whose response is lost.
    ///
    /// The write is retried; the compare-and-swap lets it take effect only once.
    async fn resolve(
        &self,
        team: &str,
        version: ConfigVersion,
        mut source: store_client::StoreClientError,
    ) -> Result<ConfigVersion, ConfigStoreError> {
        let started = Instant::now();
        while started.elapsed() < self.resolve_timeout {
            Timer::after(RESOLVE_BACKOFF).await;
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

    /// Tries once to learn the result; the outer error is a failed call.
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
        let in_force = stored.as_ref().map_or(0, |stored| stored.version.version);
        if in_force >= version.version {
            return match self.check_stored(team, version.clone()).await {
                Err(ConfigStoreError::Store(error)) => Err(error),
                checked => Ok(checked),
            };
        }
        let revision = stored.map_or(0, |stored| stored.revision);
        let key = current_key(team);
        match self.client.swap(&key, &version.encode(), revision).await? {
            store_client::SwapResult::Written { .. } => Ok(Ok(version.clone())),
            store_client::SwapResult::Conflict => {
                match self.check_stored(team, version.clone()).await {
                    Err(ConfigStoreError::Store(error)) => Err(error),
                    checked => Ok(checked),
                }
            }
        }
    }

    /// Returns the error of a write that another version preceded, or `NoTeam`.
    async fn conflict(
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
        ConfigStoreError::Conflict {
            edited,
            in_force: current.version,
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
    let elapsed = now.duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_secs())
}
