//! Announcements of ownership records.

use super::ControlThread;
use crate::fleet::{followers, peer};
use crate::ownership::{interface, patch, record};
use crate::store;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::bytes::Bytes;

/// Time for which a follower's reports may lag behind the record that was sent to it.
///
/// Covers the delivery of the record and of the follower's next reports.
const RESEND_DELAY: Duration = Duration::from_millis(800);

impl super::Follower {
    /// Notes the version that the follower knows; returns whether it needs the whole record.
    fn needs_record(
        &mut self,
        now: Duration,
        known: store::AnnouncedVersion,
        newest: store::AnnouncedVersion,
    ) -> bool {
        if known >= newest {
            self.behind_since = None;
            return false;
        }
        if known != std::mem::replace(&mut self.known_version, known) {
            self.behind_since = None;
        }
        let since = *self.behind_since.get_or_insert(now);
        let never_sent = self.sent_version == store::AnnouncedVersion::default();
        never_sent || now >= since + RESEND_DELAY
    }
}

impl ControlThread {
    /// Sends a record's changes to the followers, so that they need not wait for the store.
    pub(super) fn announce(self: &Rc<Self>, service: &str, announcement: interface::Announcement) {
        let version = announcement.version;
        let record = Arc::new(announcement.record);
        self.keep_version(service, version, record.clone());
        let (previous, addresses, frame) = {
            let mut services = self.services.borrow_mut();
            let Some(control) = services.get_mut(service) else {
                return;
            };
            let previous = control.announced.replace(version);
            let followers = control.followers.values_mut();
            let informed = followers.filter(|follower| previous == Some(follower.sent_version));
            let mut addresses: Vec<SocketAddr> = informed
                .map(|follower| {
                    follower.sent_version = version;
                    follower.address
                })
                .collect();
            addresses.sort_unstable();
            let known = previous.unwrap_or_default();
            let frame = control
                .history
                .frame(known, |update| self.encode_update(service, update));
            (previous, addresses, frame)
        };
        if let (Some(_), Some(frame)) = (previous, frame) {
            self.send_to_groups(&addresses, &frame);
        }
        self.apply_record(service, version, record);
    }

    /// Keeps a version of a record that this instance stored or announces, so that those
    /// who know it need only what changed since.
    pub(super) fn keep_version(
        &self,
        service: &str,
        version: store::AnnouncedVersion,
        record: Arc<record::OwnershipRecord>,
    ) {
        let mut services = self.services.borrow_mut();
        if let Some(control) = services.get_mut(service) {
            let added = followers::RecordVersion { version, record };
            control.history.add(added);
        }
    }

    fn encode_update(&self, service: &str, update: followers::RecordUpdate) -> Bytes {
        let content = match update {
            followers::RecordUpdate::Patch {
                base,
                version,
                patch,
            } => peer::MessageContent::Patch {
                base,
                version,
                patch,
            },
            followers::RecordUpdate::Whole(newest) => peer::MessageContent::Record {
                version: newest.version,
                record: newest.record,
            },
        };
        Bytes::from(self.message(service, content).encode())
    }

    /// Sends a follower that missed a change what it lacks.
    pub(super) fn resend_record(&self, service: &str, name: &str, known: store::AnnouncedVersion) {
        let now = self.now();
        let (address, frame) = {
            let mut services = self.services.borrow_mut();
            let Some(control) = services.get_mut(service) else {
                return;
            };
            let Some(announced) = control.announced else {
                return;
            };
            let Some(follower) = control.followers.get_mut(name) else {
                return;
            };
            if !follower.needs_record(now, known, announced) {
                return;
            }
            follower.sent_version = announced;
            follower.behind_since = Some(now);
            let encode = |update| self.encode_update(service, update);
            (follower.address, control.history.frame(known, encode))
        };
        if let Some(frame) = frame {
            self.send_frame(address, frame);
        }
    }

    pub(super) fn apply_record(
        self: &Rc<Self>,
        service: &str,
        version: store::AnnouncedVersion,
        record: Arc<record::OwnershipRecord>,
    ) {
        let effect = self
            .mirror
            .borrow_mut()
            .put_record(service, version, record);
        self.apply_effect(effect);
    }

    pub(super) fn apply_patch(
        self: &Rc<Self>,
        service: &str,
        base: store::AnnouncedVersion,
        version: store::AnnouncedVersion,
        patch: &patch::RecordPatch,
    ) {
        let mut mirror = self.mirror.borrow_mut();
        let effect = mirror.patch_record(service, base, version, patch);
        drop(mirror);
        self.apply_effect(effect);
    }

    pub(super) fn send_frame(&self, address: SocketAddr, frame: Bytes) {
        self.count_bytes(frame.len());
        self.peer_connections.send(address, frame);
    }
}
