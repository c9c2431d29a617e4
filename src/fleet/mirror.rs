//! Local copy of the part of the metadata store that an instance uses.
//!
//! Changes may arrive twice, and a listing may be older than what is known. An
//! item is therefore replaced only by one with a higher revision, and a
//! configuration only by a newer version.
//!
//! In a new era of the store all revisions are unknown again. What is known is kept
//! until a listing of that era replaces it, except for what a copy cannot be newer
//! in: configurations, ownership records and upstreams that leave.

use crate::directory;
use crate::event_log;
use crate::fleet::{adapters, events};
use crate::ids;
use crate::ownership::{interface, patch, record};
use crate::routing;
use crate::store;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Prefix of the keys that instances write.
const INSTANCE_PREFIX: &str = "godwitloom/";

/// Prefix of the keys that name the services' leaders.
const LEADER_PREFIX: &str = "godwitloom/leader/";

/// Prefix of the keys of ownership records.
const RECORD_PREFIX: &str = "godwitloom/owners/";

/// Returns the key that names a service's leader.
pub fn leader_key(service: &str) -> String {
    format!("{LEADER_PREFIX}{service}")
}

pub fn record_key(service: &str) -> String {
    format!("{RECORD_PREFIX}{service}")
}

pub fn is_record_key(key: &str) -> bool {
    key.starts_with(RECORD_PREFIX)
}

/// Value of the key that names a service's leader.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LeaderValue {
    pub run: ids::InstanceKey,
    /// Name of the instance, the same for all its runs.
    pub name: String,
    /// Era of the store in which it was written; absent if an older build wrote it.
    #[serde(default)]
    pub era: Option<store::Era>,
}

/// Which parts of the instance a change of the mirror concerns.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MirrorEffect {
    /// The traffic threads: configuration, upstreams or owners changed.
    pub view: bool,
    /// The ownership cores: configuration, upstreams, leaders or stored records changed.
    pub ownership: bool,
}

impl MirrorEffect {
    fn merge(&mut self, other: MirrorEffect) {
        self.view |= other.view;
        self.ownership |= other.ownership;
    }
}

/// Time for which a deletion is remembered; longer than a call or a message may take.
const DELETION_RETENTION: Duration = Duration::from_secs(60);

/// What this instance knows of the metadata store.
pub struct StoreMirror {
    schema: Box<dyn adapters::StoreSchema>,
    log: event_log::EventLog,
    /// Revisions of all known items, by key.
    revisions: HashMap<String, u64>,
    /// Revisions at which items were deleted, and when that was learned, by key.
    ///
    /// A listing or a relayed change that is older than the deletion may arrive after it.
    deletions: HashMap<String, (u64, Duration)>,
    /// Position up to which the store is known.
    as_of: store::StorePosition,
    pub config: Option<Arc<routing::RoutingConfig>>,
    pub directory: directory::UpstreamDirectory,
    /// Leaders by their keys in the store.
    leaders: HashMap<String, interface::LeaderView>,
    /// Ownership records by their keys in the store.
    records: HashMap<String, KnownRecord>,
}

/// Newest ownership record of a service, stored or announced.
struct KnownRecord {
    version: store::AnnouncedVersion,
    record: Arc<record::OwnershipRecord>,
}

impl StoreMirror {
    /// Creates an empty mirror.
    pub fn new(schema: Box<dyn adapters::StoreSchema>, log: event_log::EventLog) -> StoreMirror {
        StoreMirror {
            schema,
            log,
            revisions: HashMap::new(),
            deletions: HashMap::new(),
            as_of: store::StorePosition::default(),
            config: None,
            directory: directory::UpstreamDirectory::default(),
            leaders: HashMap::new(),
            records: HashMap::new(),
        }
    }

    /// Returns the position up to which the store is known.
    pub fn as_of(&self) -> store::StorePosition {
        self.as_of
    }

    /// Returns a position that a message states; one without an era is of a build that
    /// knows none, and counts as of the present one.
    pub fn resolve(&self, position: store::StorePosition) -> store::StorePosition {
        match position.era {
            0 => store::StorePosition {
                era: self.as_of.era,
                ..position
            },
            _ => position,
        }
    }

    pub fn record(&self, service: &str) -> Option<&Arc<record::OwnershipRecord>> {
        let known = self.records.get(&record_key(service))?;
        Some(&known.record)
    }

    /// Returns the known version of a service's ownership record, or the least one.
    pub fn record_version(&self, service: &str) -> store::AnnouncedVersion {
        let known = self.records.get(&record_key(service));
        known.map(|known| known.version).unwrap_or_default()
    }

    /// Returns whether any service has or had owners.
    pub fn has_records(&self) -> bool {
        !self.records.is_empty()
    }

    pub fn has_leader(&self, service: &str) -> bool {
        self.leaders.contains_key(&leader_key(service))
    }

    /// Returns what is known of a service's ownership.
    ///
    /// The record may be an announced one: it also says what its leader learned
    /// after storing it, so a new leader may start from it.
    pub fn store_view(&self, service: &str) -> interface::StoreView {
        let key = record_key(service);
        let known = self.records.get(&key);
        let revision = |known: &KnownRecord| match known.version.position.era {
            era if era == self.as_of.era => known.version.position.revision,
            // The key has another revision since the store was restored, or is gone.
            _ => self.revisions.get(&key).copied().unwrap_or(0),
        };
        interface::StoreView {
            leader: self.leaders.get(&leader_key(service)).cloned(),
            record: known.map(|known| ((*known.record).clone(), revision(known))),
            as_of: self.as_of,
        }
    }

    /// Forgets all revisions, since the store was restored and counts anew.
    fn begin_era(&mut self, now: Duration, era: store::Era) {
        if self.as_of.era != 0 {
            self.log.emit(&events::StoreRestored {
                era,
                lost_as_of: self.as_of.revision,
            });
            self.directory.note_store_regained(now);
        }
        self.as_of = store::StorePosition { era, revision: 0 };
        for revision in self.revisions.values_mut() {
            *revision = 0;
        }
        self.deletions.clear();
        self.leaders.clear();
    }

    /// Applies a complete listing, unless it is of an earlier era.
    pub fn apply_listing(&mut self, now: Duration, listing: store::StoreListing) -> MirrorEffect {
        if listing.as_of.era < self.as_of.era {
            return MirrorEffect::default();
        }
        let new_era = listing.as_of.era > self.as_of.era;
        if new_era {
            self.begin_era(now, listing.as_of.era);
        }
        let is_older = |item: &&store::StoredItem| {
            self.revisions
                .get(&item.key)
                .is_some_and(|known| item.revision < *known)
        };
        self.log.emit(&events::StoreListed {
            items: listing.items.len(),
            ignored: listing.items.iter().filter(is_older).count(),
            as_of: listing.as_of.revision,
            era: listing.as_of.era,
        });
        let mut effect = MirrorEffect {
            view: new_era,
            ownership: new_era,
        };
        let listed: std::collections::HashSet<&str> =
            listing.items.iter().map(|item| item.key.as_str()).collect();
        // What the listing lacks was deleted, unless it is newer than the listing.
        let missing = self.revisions.iter();
        let missing = missing.filter(|(key, revision)| {
            !listed.contains(key.as_str()) && **revision <= listing.as_of.revision
        });
        let missing: Vec<String> = missing.map(|(key, _)| key.clone()).collect();
        for key in missing {
            effect.merge(self.delete(now, &key, listing.as_of.revision));
        }
        for item in listing.items {
            effect.merge(self.put(now, item));
        }
        self.as_of = self.as_of.max(listing.as_of);
        effect
    }

    /// Applies changes of a watch or a relay, unless they are of another era.
    pub fn apply_batch(&mut self, now: Duration, batch: store::ChangeBatch) -> MirrorEffect {
        if batch.as_of.era != self.as_of.era {
            return MirrorEffect::default();
        }
        let mut effect = MirrorEffect::default();
        for change in batch.changes {
            effect.merge(match change {
                store::StoreChange::Put(item) => self.put(now, item),
                store::StoreChange::Deleted { key, revision } => self.delete(now, &key, revision),
            });
        }
        self.as_of = self.as_of.max(batch.as_of);
        effect
    }

    /// Applies an ownership record that the service's leader announced.
    pub fn put_record(
        &mut self,
        service: &str,
        version: store::AnnouncedVersion,
        record: Arc<record::OwnershipRecord>,
    ) -> MirrorEffect {
        let key = record_key(service);
        let stored = store::StorePosition {
            era: self.as_of.era,
            revision: self.revisions.get(&key).copied().unwrap_or(0),
        };
        if version.position < stored || version <= self.record_version(service) {
            return MirrorEffect::default();
        }
        let known = KnownRecord { version, record };
        self.records.insert(key, known);
        MirrorEffect {
            view: true,
            ownership: false,
        }
    }

    /// Applies an announced patch to a service's ownership record.
    ///
    /// A patch of any other version than the known one is dropped; the leader sends
    /// the whole record once a report tells it which version is known here.
    pub fn patch_record(
        &mut self,
        service: &str,
        base: store::AnnouncedVersion,
        version: store::AnnouncedVersion,
        patch: &patch::RecordPatch,
    ) -> MirrorEffect {
        let Some(record) = self.record(service) else {
            return MirrorEffect::default();
        };
        if self.record_version(service) != base {
            return MirrorEffect::default();
        }
        match patch.apply(record) {
            Ok(record) => self.put_record(service, version, Arc::new(record)),
            Err(error) => {
                log::warn!("patch of {service}'s ownership record dropped: {error}");
                MirrorEffect::default()
            }
        }
    }

    /// Notes that an upstream said that it leaves.
    pub fn note_leaving(&mut self, now: Duration, upstream: ids::UpstreamKey) -> MirrorEffect {
        let change = self.directory.note_leaving(now, upstream);
        let revision = self.as_of.revision;
        self.log_upstream_changes(change.into_iter().collect(), revision)
    }

    /// Removes upstreams that did not register again in time after an outage of the store.
    pub fn expire(&mut self, now: Duration) -> MirrorEffect {
        self.deletions
            .retain(|_, (_, deleted_at)| now < *deleted_at + DELETION_RETENTION);
        let changes = self.directory.expire(now);
        let revision = self.as_of.revision;
        self.log_upstream_changes(changes, revision)
    }

    /// Applies one item if it is newer than what is known of its key.
    pub fn put(&mut self, now: Duration, item: store::StoredItem) -> MirrorEffect {
        let known = self.revisions.get(&item.key).copied().unwrap_or(0);
        let deleted = self.deletions.get(&item.key);
        let deleted = deleted.map_or(0, |(revision, _)| *revision);
        if item.revision <= known.max(deleted) {
            return MirrorEffect::default();
        }
        self.deletions.remove(&item.key);
        self.revisions.insert(item.key.clone(), item.revision);
        if item.key.starts_with(INSTANCE_PREFIX) {
            return self.put_instance_item(item);
        }
        match self.schema.decode(&item) {
            adapters::DecodedItem::Config(config) => self.put_config(*config, item.revision),
            adapters::DecodedItem::Upstream(entry) => {
                let changes = self.directory.put(now, *entry);
                self.log_upstream_changes(changes, item.revision)
            }
            adapters::DecodedItem::Unusable(reason) => {
                self.log.emit(&events::ItemIgnored {
                    key: item.key.clone(),
                    revision: item.revision,
                    reason,
                });
                MirrorEffect::default()
            }
            adapters::DecodedItem::Other => MirrorEffect::default(),
        }
    }

    fn put_config(&mut self, config: routing::RoutingConfig, revision: u64) -> MirrorEffect {
        let known = self.config.as_ref().map_or(0, |config| config.version);
        if config.version <= known {
            return MirrorEffect::default();
        }
        self.log.emit(&events::ConfigInForce {
            version: config.version,
            revision,
            routes: config.route_count(),
        });
        self.config = Some(Arc::new(config));
        MirrorEffect {
            view: true,
            ownership: true,
        }
    }

    fn put_instance_item(&mut self, item: store::StoredItem) -> MirrorEffect {
        let effect = MirrorEffect {
            view: true,
            ownership: true,
        };
        if item.key.starts_with(LEADER_PREFIX) {
            match serde_json::from_slice::<LeaderValue>(&item.value) {
                Ok(value) => {
                    let leader = interface::LeaderView {
                        run: value.run,
                        name: value.name,
                        era: value.era.unwrap_or(self.as_of.era),
                        revision: item.revision,
                    };
                    self.leaders.insert(item.key, leader);
                }
                Err(error) => self.log_ignored(&item, error.to_string()),
            }
            return effect;
        }
        match record::OwnershipRecord::decode(&item.value) {
            Ok(record) => {
                // A restored store has a record that was written in an earlier era.
                let position = self.resolve(store::StorePosition {
                    era: record.era,
                    revision: item.revision,
                });
                let known = self.records.get(&item.key);
                if known.is_none_or(|known| known.version.position < position) {
                    let version = store::AnnouncedVersion {
                        position,
                        sequence: 0,
                    };
                    let record = Arc::new(record);
                    let known = KnownRecord { version, record };
                    self.records.insert(item.key, known);
                }
            }
            Err(error) => self.log_ignored(&item, error.to_string()),
        }
        effect
    }

    fn log_ignored(&self, item: &store::StoredItem, reason: String) {
        self.log.emit(&events::ItemIgnored {
            key: item.key.clone(),
            revision: item.revision,
            reason,
        });
    }

    fn delete(&mut self, now: Duration, key: &str, revision: u64) -> MirrorEffect {
        let known = self.revisions.get(key).copied().unwrap_or(0);
        if revision < known {
            return MirrorEffect::default();
        }
        self.revisions.remove(key);
        self.deletions.insert(key.to_owned(), (revision, now));
        if key.starts_with(INSTANCE_PREFIX) {
            self.leaders.remove(key);
            // What a restored store lacks is still the newest record.
            let era = self.as_of.era;
            let known = self.records.get(key);
            if known.is_some_and(|known| known.version.position.era == era) {
                self.records.remove(key);
            }
            return MirrorEffect {
                view: true,
                ownership: true,
            };
        }
        match self.schema.classify_deleted(key) {
            adapters::DeletedKey::Upstream(id) => {
                let change = self.directory.remove(now, id);
                self.log_upstream_changes(change.into_iter().collect(), revision)
            }
            adapters::DeletedKey::Other => MirrorEffect::default(),
        }
    }

    /// Logs changes of the directory and returns their effect.
    fn log_upstream_changes(
        &self,
        changes: Vec<directory::DirectoryChange>,
        revision: u64,
    ) -> MirrorEffect {
        let changed = !changes.is_empty();
        for change in changes {
            self.log.emit(&events::UpstreamChanged {
                id: change.id.to_string(),
                key: change.key,
                service: change.service.to_string(),
                change: change.kind,
                revision,
            });
        }
        MirrorEffect {
            view: changed,
            ownership: changed,
        }
    }
}
