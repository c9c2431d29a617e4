//! View that an instance of a [`super::simulation::OwnershipSimulation`] has of the
//! ownership record.
//!
//! A record reaches an instance through the store, or earlier through the leader's
//! announcement. Either may be lost. A poll always advances the revision up to which
//! the instance knows the store (`as_of`), even if the record is lost or in transit.

use godwitloom::ownership::{interface, record};
use godwitloom::store;

/// Percentage of polls of the store that do not yield the record.
const LOST_RECORD_PERCENT: u32 = 20;

/// Percentage of announcements that do not reach an instance.
const LOST_ANNOUNCEMENT_PERCENT: u32 = 20;

/// Newest ownership record that one instance knows.
#[derive(Debug, Default)]
pub struct RecordView {
    version: store::AnnouncedVersion,
    record: Option<record::OwnershipRecord>,
    /// Position of the store's record, as it was polled last.
    stored: store::StorePosition,
}

impl RecordView {
    /// Applies an announcement, unless it is lost or older than the known record.
    pub fn on_announcement(
        &mut self,
        random: &mut fastrand::Rng,
        announcement: &interface::Announcement,
    ) {
        let lost = random.u32(0..100) < LOST_ANNOUNCEMENT_PERCENT;
        if !lost && announcement.version > self.version {
            self.version = announcement.version;
            self.record = Some(announcement.record.clone());
        }
    }

    /// Applies a record from a response of the store, unless a newer one is known.
    ///
    /// A restored store has a record of an earlier era.
    pub fn on_stored(&mut self, record: &record::OwnershipRecord, revision: u64) {
        let position = store::StorePosition {
            era: record.era,
            revision,
        };
        if position > self.version.position {
            self.version = store::AnnouncedVersion {
                position,
                sequence: 0,
            };
            self.record = Some(record.clone());
        }
    }

    /// Applies the polled record, unless it is lost, and returns the polled state with
    /// the newest known record.
    pub fn on_poll(
        &mut self,
        random: &mut fastrand::Rng,
        view: interface::StoreView,
    ) -> interface::StoreView {
        let lost = random.u32(0..100) < LOST_RECORD_PERCENT;
        if let Some((record, revision)) = view.record.as_ref().filter(|_| !lost) {
            self.on_stored(record, *revision);
            self.stored = store::StorePosition {
                era: view.as_of.era,
                revision: *revision,
            };
        }
        let position = self.version.position;
        let revision = match position.era == view.as_of.era {
            true => position.revision,
            false if self.stored.era == view.as_of.era => self.stored.revision,
            false => 0,
        };
        let record = self.record.clone().map(|record| (record, revision));
        interface::StoreView { record, ..view }
    }
}
