//! Routes: the owner of each range of a service, as far as an instance knows.
//!
//! The controller decides routes and sends them to the other instances that take
//! part in the service, its followers. Every entry has a version, drawn from the
//! same sequence as grant generations, and is replaced by a newer one only, so
//! tables from several sources can be merged in any order.

use crate::grant;
use crate::ids;
use crate::range;
use crate::record;
use std::hash::Hasher;
use xxhash_rust::xxh3;

/// Owner of one range.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteEntry {
    pub range: range::KeyRange,
    /// `None` while the range has no owner.
    pub owner: Option<ids::UpstreamKey>,
    /// Later decisions about a range compare greater.
    pub version: grant::GrantGeneration,
}

/// Routes of one service, ordered by range.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RouteTable {
    entries: Vec<RouteEntry>,
}

impl RouteTable {
    /// Merges newer entries in; returns whether anything changed.
    pub fn merge(&mut self, entries: &[RouteEntry]) -> bool {
        let mut changed = false;
        for entry in entries {
            changed |= self.merge_entry(entry);
        }
        changed
    }

    fn merge_entry(&mut self, entry: &RouteEntry) -> bool {
        let from = self
            .entries
            .partition_point(|e| e.range.last < entry.range.first);
        let overlapping = self.entries[from..].iter();
        let count = overlapping
            .take_while(|e| e.range.overlaps(&entry.range))
            .count();
        let span = from..from + count;
        if self.entries[span.clone()]
            .iter()
            .any(|e| e.version >= entry.version)
        {
            return false;
        }
        self.entries.splice(span, [*entry]);
        true
    }

    /// Returns the entry that covers `hash`.
    pub fn lookup(&self, hash: range::KeyHash) -> Option<&RouteEntry> {
        let index = self.entries.partition_point(|e| e.range.last < hash.0);
        self.entries
            .get(index)
            .filter(|entry| entry.range.contains(hash))
    }

    /// Returns all entries, ordered by range.
    pub fn entries(&self) -> &[RouteEntry] {
        &self.entries
    }

    /// Returns a hash of the table, to find out whether two tables differ.
    pub fn digest(&self) -> u64 {
        let mut hasher = xxh3::Xxh3::new();
        for entry in &self.entries {
            hasher.write_u64(entry.range.first);
            hasher.write_u64(entry.owner.map_or(0, |owner| owner.0));
            hasher.write_u32(entry.version.term);
            hasher.write_u32(entry.version.counter);
        }
        hasher.finish()
    }
}

/// Follower's request for newer routes, which also shows that it is alive.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteQuery {
    pub service: ids::ServiceKey,
    pub from: record::PeerInfo,
    /// Term that the follower knows of; 0 if none.
    pub term: u32,
    /// [`RouteTable::digest`] of the follower's table.
    pub digest: u64,
}

/// Controller of a service, and the instance that takes over first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControllerPair {
    pub controller: record::PeerInfo,
    pub standby: Option<record::PeerInfo>,
}

/// What an instance knows about a service's controller and routes.
///
/// Answers a [`RouteQuery`]; the controller also sends it when routes change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteUpdate {
    pub service: ids::ServiceKey,
    pub term: u32,
    /// `None` if the receiver knows it already.
    pub pair: Option<ControllerPair>,
    /// Whether the sender is the controller itself.
    pub leading: bool,
    /// Number of instances that follow the service.
    pub followers: u32,
    /// New routes; empty if the receiver's are up to date.
    pub entries: Vec<RouteEntry>,
}
