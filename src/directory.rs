//! Directory of upstreams, from the entries that they keep in the metadata store.
//!
//! Entries can lapse while the store is unavailable although their upstreams
//! live. An entry that vanishes shortly after contact was regained is therefore
//! kept for [`REREGISTRATION_GRACE`]; otherwise it is gone at once.

use crate::ids;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time that live upstreams need to register again after an outage of the store.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2200);

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    Ready,
    /// Finishes its work and ends soon.
    Draining,
}

/// One life of an upstream, as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamEntry {
    pub id: Arc<str>,
    /// Start of this life, in milliseconds since 1970; a restart under the same id differs.
    pub started_ms: u64,
    pub service: Arc<str>,
    pub address: SocketAddr,
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    pub state: UpstreamState,
    /// Time for which it stays slow after its start, counted from the entry's writing.
    pub warmup: Duration,
}

impl UpstreamEntry {
    /// Returns the key of this life.
    pub fn key(&self) -> ids::UpstreamKey {
        ids::UpstreamKey::derive_run(&self.service, &self.id, self.started_ms)
    }
}

/// An upstream as this instance knows it.
#[derive(Clone, Debug)]
pub struct KnownUpstream {
    pub key: ids::UpstreamKey,
    pub entry: Arc<UpstreamEntry>,
    /// When it was first seen draining.
    pub draining_since: Option<Duration>,
    /// When its entry was found missing after an outage.
    missing_since: Option<Duration>,
    /// Until when it is slow after its start.
    pub warmup_until: Duration,
}

/// What happened to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    Added,
    Draining,
    /// Its entry is gone after an outage; it may return.
    Missing,
    Returned,
    Removed,
}

/// A change of the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DirectoryChange {
    pub key: ids::UpstreamKey,
    pub id: Arc<str>,
    pub service: Arc<str>,
    pub kind: ChangeKind,
}

impl DirectoryChange {
    fn new(entry: &UpstreamEntry, kind: ChangeKind) -> DirectoryChange {
        DirectoryChange {
            key: entry.key(),
            id: entry.id.clone(),
            service: entry.service.clone(),
            kind,
        }
    }
}

/// All known upstreams.
#[derive(Debug, Default)]
pub struct UpstreamDirectory {
    /// By id, since an id has one life at a time.
    upstreams: BTreeMap<Arc<str>, KnownUpstream>,
    /// When contact with the store was regained after an outage.
    regained: Option<Duration>,
}

impl UpstreamDirectory {
    /// Returns all known upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &KnownUpstream> {
        self.upstreams.values()
    }

    /// Notes that the store answers again after an outage.
    pub fn note_store_regained(&mut self, now: Duration) {
        self.regained = Some(now);
    }

    /// Takes an upstream's entry over.
    pub fn put(&mut self, now: Duration, entry: UpstreamEntry) -> Vec<DirectoryChange> {
        let key = entry.key();
        let draining = entry.state == UpstreamState::Draining;
        let mut changes = Vec::new();
        let known = self.upstreams.get(&entry.id);
        let known = known.filter(|known| known.key == key).cloned();
        match &known {
            None => {
                if let Some(former) = self.upstreams.get(&entry.id) {
                    changes.push(DirectoryChange::new(&former.entry, ChangeKind::Removed));
                }
                changes.push(DirectoryChange::new(&entry, ChangeKind::Added));
            }
            Some(known) if known.missing_since.is_some() => {
                changes.push(DirectoryChange::new(&entry, ChangeKind::Returned));
            }
            Some(_) => {}
        }
        let draining_before = known.as_ref().and_then(|known| known.draining_since);
        if draining && draining_before.is_none() {
            changes.push(DirectoryChange::new(&entry, ChangeKind::Draining));
        }
        let upstream = KnownUpstream {
            key,
            draining_since: draining.then(|| draining_before.unwrap_or(now)),
            missing_since: None,
            warmup_until: now + entry.warmup,
            entry: Arc::new(entry),
        };
        let id = upstream.entry.id.clone();
        let replaced = |other: &KnownUpstream| {
            other.entry.address == upstream.entry.address
                && other.entry.id != upstream.entry.id
                && other.entry.started_ms < upstream.entry.started_ms
        };
        let replaced: Vec<Arc<str>> = self
            .iter()
            .filter(|other| replaced(other))
            .map(|other| other.entry.id.clone())
            .collect();
        for id in replaced {
            let former = self.upstreams.remove(&id);
            changes.extend(
                former.map(|former| DirectoryChange::new(&former.entry, ChangeKind::Removed)),
            );
        }
        self.upstreams.insert(id, upstream);
        changes
    }

    /// Notes that the entry of the upstream `id` is gone.
    pub fn remove(&mut self, now: Duration, id: &str) -> Option<DirectoryChange> {
        let in_grace = self
            .regained
            .is_some_and(|regained| now < regained + REREGISTRATION_GRACE);
        let known = self.upstreams.get_mut(id)?;
        if in_grace && known.draining_since.is_none() {
            known.missing_since.get_or_insert(now);
            return Some(DirectoryChange::new(&known.entry, ChangeKind::Missing));
        }
        let known = self.upstreams.remove(id)?;
        Some(DirectoryChange::new(&known.entry, ChangeKind::Removed))
    }

    /// Removes the upstreams that are not in a complete listing.
    pub fn retain(&mut self, now: Duration, listed: &[Arc<str>]) -> Vec<DirectoryChange> {
        let missing: Vec<Arc<str>> = self
            .upstreams
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        missing
            .iter()
            .filter_map(|id| self.remove(now, id))
            .collect()
    }

    /// Removes missing upstreams whose time to return is over.
    pub fn expire(&mut self, now: Duration) -> Vec<DirectoryChange> {
        let Some(regained) = self.regained else {
            return Vec::new();
        };
        if now < regained + REREGISTRATION_GRACE {
            return Vec::new();
        }
        let expired = |known: &KnownUpstream| known.missing_since.is_some();
        let expired: Vec<Arc<str>> = self
            .iter()
            .filter(|known| expired(known))
            .map(|known| known.entry.id.clone())
            .collect();
        expired
            .iter()
            .filter_map(|id| self.upstreams.remove(id))
            .map(|known| DirectoryChange::new(&known.entry, ChangeKind::Removed))
            .collect()
    }
}
