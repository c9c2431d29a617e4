//! What a leader sends to the instances that follow it, and how often.
//!
//! The pattern: all instances of a large deployment report at the same time, such as
//! after a loss of all. One whole ownership record for each would fill the leader's link
//! and delay the renewals of its lease until it loses it. A follower that knows one of
//! the last versions therefore gets the difference, which is encoded once for all that
//! know the same.

use crate::ownership::{patch, record};
use crate::store;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::bytes::Bytes;

/// Versions of a record that the leader keeps to tell what changed since.
const MAX_VERSIONS: usize = 12;

/// Interval of a leader's heartbeats, and of reports in a small deployment.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Instances up to which each reports once per [`HEARTBEAT_INTERVAL`].
const INSTANCES_PER_ROUND: usize = 75;

/// Most heartbeat intervals between two reports; hot keys must be seen within a second.
const MAX_REPORT_ROUNDS: usize = 3;

/// Reports in a row that may be lost before an instance is no longer counted.
const LOST_REPORTS: u32 = 3;

/// Time for which a report may be late beside that.
const REPORT_DELAY: Duration = Duration::from_millis(600);

/// Time between two lists of instances for each instance that gets them.
const LIST_TIME_PER_INSTANCE: Duration = Duration::from_millis(10);

/// Returns how many heartbeat intervals lie between two reports of an instance.
pub fn report_rounds(instances: usize) -> usize {
    instances
        .div_ceil(INSTANCES_PER_ROUND)
        .clamp(1, MAX_REPORT_ROUNDS)
}

/// Returns the time without a report after which an instance is no longer counted.
pub fn instance_timeout(instances: usize) -> Duration {
    REPORT_DELAY + HEARTBEAT_INTERVAL * report_rounds(instances) as u32 * LOST_REPORTS
}

/// Returns the least time between two lists of instances that a leader sends to all.
pub fn list_interval(instances: usize) -> Duration {
    LIST_TIME_PER_INSTANCE * instances as u32
}

/// One version of a record.
#[derive(Clone, Debug)]
pub struct RecordVersion {
    pub version: store::AnnouncedVersion,
    pub record: Arc<record::OwnershipRecord>,
}

/// What brings a follower up to date.
#[derive(Clone, Debug)]
pub enum RecordUpdate {
    /// What changed since the version that the follower knows.
    Patch {
        base: store::AnnouncedVersion,
        version: store::AnnouncedVersion,
        patch: Box<patch::RecordPatch>,
    },
    Whole(RecordVersion),
}

/// Last versions of a service's record, stored and announced.
#[derive(Debug, Default)]
pub struct RecordHistory {
    /// The newest last.
    versions: VecDeque<RecordVersion>,
    /// Encoded updates to the newest version, by the version that they apply to.
    frames: BTreeMap<store::AnnouncedVersion, Bytes>,
}

impl RecordHistory {
    /// Adds a version; it may be older than others, but is then not announced.
    pub fn add(&mut self, added: RecordVersion) {
        let is_known = |known: &RecordVersion| known.version == added.version;
        if self.versions.iter().any(is_known) {
            return;
        }
        let is_older = |known: &RecordVersion| known.version < added.version;
        let index = self.versions.iter().filter(|known| is_older(known)).count();
        self.versions.insert(index, added);
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
        self.frames.clear();
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<&RecordVersion> {
        self.versions.back()
    }

    /// Returns what brings a follower that knows `known` to the newest version.
    pub fn update_from(&self, known: store::AnnouncedVersion) -> Option<RecordUpdate> {
        let newest = self.newest()?;
        let base = self.versions.iter().find(|base| base.version == known);
        Some(match base {
            Some(base) => RecordUpdate::Patch {
                base: base.version,
                version: newest.version,
                patch: Box::new(patch::RecordPatch::between(&base.record, &newest.record)),
            },
            None => RecordUpdate::Whole(newest.clone()),
        })
    }

    /// Returns the encoded update for a follower that knows `known`; `encode` is called
    /// for the first such follower only.
    pub fn frame(
        &mut self,
        known: store::AnnouncedVersion,
        encode: impl Fn(RecordUpdate) -> Bytes,
    ) -> Option<Bytes> {
        // All whose version is not kept get the same.
        let is_kept = |kept: &RecordVersion| kept.version == known;
        let base = match self.versions.iter().any(is_kept) {
            true => known,
            false => store::AnnouncedVersion::default(),
        };
        if let Some(frame) = self.frames.get(&base) {
            return Some(frame.clone());
        }
        let frame = encode(self.update_from(base)?);
        self.frames.insert(base, frame.clone());
        Some(frame)
    }
}
