//! Directory of upstreams, built from the entries they register in the metadata store.
//!
//! Entries can expire during an outage of the store although their upstreams
//! still run. An upstream whose entry is deleted shortly after the store responds
//! again is therefore kept until [`REREGISTRATION_GRACE`] is over; at any other
//! time it is removed at once.
//!
//! A store that returns from an older copy has older entries. The number of its
//! heartbeats tells an older entry of a run from a newer one, so that an upstream
//! that drains or has left does not count as ready again.
//!
//! An entry speaks for the runs of its own ID only. Anybody may write one with the address
//! of another upstream, so it ends no other: the upstream that answers at an address tells
//! which one has it.

use crate::ids;
use crate::notices::departures;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time after an outage of the store that running upstreams need to register again.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2200);

/// Time for which the last entry of an upstream that left is remembered; longer than a
/// copy of the store is old.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    Ready,
    /// Finishes its requests and exits soon.
    Draining,
}

/// One run of an upstream, as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamEntry {
    pub id: Arc<str>,
    /// Start of this run, in milliseconds since the Unix epoch; a restart under the same
    /// ID has another one.
    pub started_ms: u64,
    pub service: Arc<str>,
    pub address: SocketAddr,
    pub zone: Arc<str>,
    /// Most requests that it runs concurrently.
    pub slots: u32,
    pub state: UpstreamState,
    /// Number of its heartbeats when it wrote the entry.
    pub sequence: u64,
    /// Time for which it is still slow after its start, counted from the entry's writing.
    pub warmup: Duration,
}

impl UpstreamEntry {
    /// Returns the key of this run.
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
    /// When its entry was found missing after an outage of the store.
    missing_since: Option<Duration>,
    /// Until when it counts as warming up.
    pub warmup_until: Duration,
}

/// What happened to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    Added,
    Draining,
    /// Its entry is gone after an outage of the store; it may register again.
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
    /// By ID, since only one run at a time is registered under an ID.
    upstreams: BTreeMap<Arc<str>, KnownUpstream>,
    /// Sequence of the last entry of each run that left, and when it did.
    departed: BTreeMap<ids::UpstreamKey, (u64, Duration)>,
    /// When runs said that they leave; they leave whatever their entries say.
    leaving: BTreeMap<ids::UpstreamKey, Duration>,
    /// Since when what is applied now may have been true; the present without a bound.
    changed_since: Option<Duration>,
    /// When the store last responded again after an outage.
    store_regained: Option<Duration>,
}

impl UpstreamDirectory {
    /// Returns all known upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &KnownUpstream> {
        self.upstreams.values()
    }

    /// Sets since when the changes that are applied next may have been true.
    ///
    /// An upstream that drains counts from then on, since nobody waits for an instance
    /// that hears of it late.
    pub fn set_changed_since(&mut self, since: Option<Duration>) {
        self.changed_since = since;
    }

    /// Notes that the store responds again after an outage.
    pub fn note_store_regained(&mut self, now: Duration) {
        self.store_regained = Some(now);
    }

    /// Adds or updates the upstream of an entry.
    pub fn put(&mut self, now: Duration, entry: UpstreamEntry) -> Vec<DirectoryChange> {
        let key = entry.key();
        let since = self.changed_since.map_or(now, |since| since.min(now));
        let leaving = self.leaving.contains_key(&key);
        let draining = leaving || entry.state == UpstreamState::Draining;
        let mut changes = Vec::new();
        let known = self.upstreams.get(&entry.id);
        let known = known.filter(|known| known.key == key).cloned();
        let newest = known.as_ref().map(|known| known.entry.sequence);
        let departed = self.departed.get(&key).map(|(sequence, _)| *sequence);
        if newest
            .or(departed)
            .is_some_and(|newest| entry.sequence < newest)
        {
            return Vec::new();
        }
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
            draining_since: draining.then(|| draining_before.unwrap_or(since)),
            missing_since: None,
            warmup_until: now + entry.warmup,
            entry: Arc::new(entry),
        };
        let id = upstream.entry.id.clone();
        self.upstreams.insert(id, upstream);
        changes
    }

    /// Notes that a run said that it leaves; returns the change if it is registered and
    /// was not draining.
    pub fn note_leaving(
        &mut self,
        now: Duration,
        key: ids::UpstreamKey,
    ) -> Option<DirectoryChange> {
        self.leaving.entry(key).or_insert(now);
        let mut upstreams = self.upstreams.values_mut();
        let known = upstreams.find(|known| known.key == key)?;
        if known.draining_since.is_some() {
            return None;
        }
        known.draining_since = Some(now);
        Some(DirectoryChange::new(&known.entry, ChangeKind::Draining))
    }

    /// Returns the upstream of a run, if it is registered.
    pub fn get(&self, key: ids::UpstreamKey) -> Option<&KnownUpstream> {
        self.iter().find(|known| known.key == key)
    }

    /// Removes the upstream `id`, whose entry is gone, or marks it as missing.
    pub fn remove(&mut self, now: Duration, id: &str) -> Option<DirectoryChange> {
        let in_grace = self
            .store_regained
            .is_some_and(|regained| now < regained + REREGISTRATION_GRACE);
        let known = self.upstreams.get_mut(id)?;
        if in_grace && known.draining_since.is_none() {
            known.missing_since.get_or_insert(now);
            return Some(DirectoryChange::new(&known.entry, ChangeKind::Missing));
        }
        let known = self.upstreams.remove(id)?;
        self.departed.insert(known.key, (known.entry.sequence, now));
        Some(DirectoryChange::new(&known.entry, ChangeKind::Removed))
    }

    /// Calls [`UpstreamDirectory::remove`] for the upstreams that a complete listing lacks.
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

    /// Forgets runs that are not registered and left long ago.
    fn trim_leaving(&mut self, now: Duration) {
        let is_recent = |since: &Duration| now < *since + departures::DEPARTURE_RETENTION;
        if self.leaving.values().all(is_recent) {
            return;
        }
        let registered: BTreeSet<_> = self.iter().map(|known| known.key).collect();
        self.leaving
            .retain(|key, since| registered.contains(key) || is_recent(since));
    }

    /// Removes missing upstreams that did not register again in time.
    pub fn expire(&mut self, now: Duration) -> Vec<DirectoryChange> {
        self.departed
            .retain(|_, (_, left_at)| now < *left_at + DEPARTED_RETENTION);
        self.trim_leaving(now);
        let Some(regained) = self.store_regained else {
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
