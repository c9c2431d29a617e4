//! What the instances of a [`super::simulation::OwnershipSimulation`] see of the store.
//!
//! Records reach an instance through the store, or earlier through their
//! leader's announcements. Either may be lost; the revision up to which the store
//! is known does not wait for a record that is still under way.

use godwitloom::ownership::{interface, record};

/// Records that an instance does not take from the store, in percent.
const LOST_RECORDS: u32 = 20;

/// Announcements that do not reach an instance, in percent.
const LOST_ANNOUNCEMENTS: u32 = 20;

/// Newest ownership record that one instance knows.
#[derive(Debug, Default)]
pub struct RecordView {
    order: record::RecordVersion,
    record: Option<record::OwnershipRecord>,
}

impl RecordView {
    /// Takes an announcement over, unless it is lost.
    pub fn announced(
        &mut self,
        random: &mut fastrand::Rng,
        announcement: &interface::Announcement,
    ) {
        let lost = random.u32(0..100) < LOST_ANNOUNCEMENTS;
        if !lost && announcement.version > self.order {
            self.order = announcement.version;
            self.record = Some(announcement.record.clone());
        }
    }

    /// Takes a record over that the store showed in an answer.
    pub fn learn(&mut self, record: &record::OwnershipRecord, revision: u64) {
        if revision > self.order.revision {
            self.order = record::RecordVersion {
                revision,
                sequence: 0,
            };
            self.record = Some(record.clone());
        }
    }

    /// Returns what a look at the store shows, with the newest known record.
    pub fn seen(
        &mut self,
        random: &mut fastrand::Rng,
        view: interface::StoreView,
    ) -> interface::StoreView {
        let lost = random.u32(0..100) < LOST_RECORDS;
        if let Some((record, revision)) = view.record.as_ref().filter(|_| !lost) {
            self.learn(record, *revision);
        }
        let revision = self.order.revision;
        let record = self.record.clone().map(|record| (record, revision));
        interface::StoreView { record, ..view }
    }
}
