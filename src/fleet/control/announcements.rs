//! Announcements of ownership records, and the relay of the store's changes.

use super::ControlThread;
use crate::fleet::{peer, relay};
use crate::ownership::{interface, patch, record};
use crate::store;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::bytes::Bytes;

/// Time for which a follower's reports may lag behind what was sent to it.
///
/// Covers the way of a record to it and of its next reports back.
const RESEND_PAUSE: Duration = Duration::from_millis(800);

/// Last announcement of a service's record.
#[derive(Clone, Debug)]
pub(super) struct AnnouncedRecord {
    order: record::RecordVersion,
    record: Arc<record::OwnershipRecord>,
}

impl super::Follower {
    /// Notes which state the follower knows; returns whether it missed a change.
    fn misses(
        &mut self,
        now: Duration,
        known: record::RecordVersion,
        newest: record::RecordVersion,
    ) -> bool {
        if known >= newest {
            self.behind_since = None;
            return false;
        }
        if known != std::mem::replace(&mut self.known, known) {
            self.behind_since = None;
        }
        let since = *self.behind_since.get_or_insert(now);
        let never_sent = self.sent == record::RecordVersion::default();
        never_sent || now >= since + RESEND_PAUSE
    }
}

impl ControlThread {
    /// Tells the other instances what changed without the store's delay.
    pub(super) fn announce(self: &Rc<Self>, service: &str, announcement: interface::Announcement) {
        let order = announcement.version;
        let record = Arc::new(announcement.record);
        let announced = AnnouncedRecord {
            order,
            record: record.clone(),
        };
        let former = {
            let mut services = self.services.borrow_mut();
            let Some(control) = services.get_mut(service) else {
                return;
            };
            control.announced.replace(announced)
        };
        if let Some(former) = former {
            self.announce_patch(service, &former, order, &record);
        }
        self.take_record(service, order, record);
    }

    /// Sends the difference to the followers that have the former announcement.
    fn announce_patch(
        &self,
        service: &str,
        former: &AnnouncedRecord,
        order: record::RecordVersion,
        record: &record::OwnershipRecord,
    ) {
        let content = peer::MessageContent::Patch {
            base: former.order,
            order,
            patch: Box::new(patch::RecordPatch::between(&former.record, record)),
        };
        let frame = Bytes::from(self.message(service, content).encode());
        let mut services = self.services.borrow_mut();
        let followers = services.get_mut(service);
        let followers = followers.into_iter().flat_map(|c| c.followers.values_mut());
        for follower in followers.filter(|follower| follower.sent == former.order) {
            follower.sent = order;
            self.send_frame(follower.address, frame.clone());
        }
    }

    /// Sends the whole record to a follower that missed something.
    pub(super) fn resend_record(&self, service: &str, name: &str, known: record::RecordVersion) {
        let now = self.now();
        let (address, announced) = {
            let mut services = self.services.borrow_mut();
            let Some(control) = services.get_mut(service) else {
                return;
            };
            let Some(announced) = control.announced.clone() else {
                return;
            };
            let Some(follower) = control.followers.get_mut(name) else {
                return;
            };
            if !follower.misses(now, known, announced.order) {
                return;
            }
            follower.sent = announced.order;
            follower.behind_since = Some(now);
            (follower.address, announced)
        };
        let content = peer::MessageContent::Record {
            order: announced.order,
            record: announced.record,
        };
        let frame = Bytes::from(self.message(service, content).encode());
        self.send_frame(address, frame);
    }

    pub(super) fn take_record(
        self: &Rc<Self>,
        service: &str,
        order: record::RecordVersion,
        record: Arc<record::OwnershipRecord>,
    ) {
        let effect = self.mirror.borrow_mut().put_record(service, order, record);
        self.react(effect);
    }

    pub(super) fn take_patch(
        self: &Rc<Self>,
        service: &str,
        base: record::RecordVersion,
        order: record::RecordVersion,
        patch: &patch::RecordPatch,
    ) {
        let mut mirror = self.mirror.borrow_mut();
        let effect = mirror.patch_record(service, base, order, patch);
        drop(mirror);
        self.react(effect);
    }

    /// Returns the revision up to which this instance relays the store.
    pub(super) fn relayed(&self) -> Option<u64> {
        let fresh = self.contact.borrow().is_fresh(self.now());
        fresh.then(|| self.mirror.borrow().as_of())
    }

    /// Passes changes that follow the revision `after` on to all followers.
    pub(super) fn relay_changes(&self, after: u64, batch: &store::ChangeBatch) {
        if batch.as_of <= after && batch.changes.is_empty() {
            return;
        }
        self.send_relayed(relay::relayed_changes(after, batch));
    }

    /// Tells all followers that the store changed in ways not known in detail.
    pub(super) fn relay_gap(&self) {
        let batch = store::ChangeBatch {
            changes: Vec::new(),
            as_of: self.mirror.borrow().as_of(),
        };
        self.send_relayed(peer::RelayedChanges { after: None, batch });
    }

    fn send_relayed(&self, relayed: peer::RelayedChanges) {
        let addresses = self.follower_addresses();
        if addresses.is_empty() {
            return;
        }
        let content = peer::MessageContent::Changes(relayed);
        let frame = Bytes::from(self.message("", content).encode());
        for address in addresses {
            self.send_frame(address, frame.clone());
        }
    }

    /// Returns the addresses of the followers of all services, each once.
    fn follower_addresses(&self) -> Vec<SocketAddr> {
        let services = self.services.borrow();
        let leading = services
            .values()
            .filter(|control| control.core.is_leading());
        let followers = leading.flat_map(|control| control.followers.values());
        let mut addresses: Vec<_> = followers.map(|follower| follower.address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Takes what a relay passed on.
    pub(super) fn take_changes(self: &Rc<Self>, relayed: peer::RelayedChanges) {
        // A leader hears the store itself, its own record included.
        if self.leads_any() {
            return;
        }
        let now = self.now();
        let known = self.mirror.borrow().as_of();
        let follows = relayed.after.is_some_and(|after| after <= known);
        if !follows {
            let as_of = relayed.batch.as_of;
            self.relay.borrow_mut().note_gap(now, as_of);
            return;
        }
        let effect = {
            let mut mirror = self.mirror.borrow_mut();
            let effect = mirror.apply_batch(now, relayed.batch);
            self.relay.borrow_mut().note_known(mirror.as_of());
            effect
        };
        self.react(effect);
    }

    fn send_frame(&self, address: SocketAddr, frame: Bytes) {
        self.count_bytes(frame.len());
        self.links.send(address, frame);
    }
}
