//! Relay of the store's changes between instances.

use super::ControlThread;
use crate::fleet::{peer, relay};
use crate::store;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio_util::bytes::Bytes;

impl ControlThread {
    /// Returns the position up to which this instance can relay the store's changes.
    pub(super) fn relayed_position(&self) -> Option<store::StorePosition> {
        let fresh = self.store_contact.borrow().is_fresh(self.now());
        fresh.then(|| self.mirror.borrow().as_of())
    }

    /// Keeps changes that were read after the position `after`, and relays them to all
    /// followers.
    ///
    /// `age` is the time for which they may have been true.
    pub(super) fn relay_changes(
        &self,
        after: store::StorePosition,
        age: Duration,
        batch: &store::ChangeBatch,
    ) {
        if batch.as_of <= after && batch.changes.is_empty() {
            return;
        }
        self.relay_history.borrow_mut().add(after, batch);
        self.send_relayed(peer::RelayedChanges {
            age,
            ..relay::relayed_changes(after, batch)
        });
    }

    /// Tells all followers that the changes up to the mirror's position are not relayed.
    pub(super) fn relay_gap(&self) {
        self.relay_history.borrow_mut().clear();
        let batch = store::ChangeBatch {
            changes: Vec::new(),
            as_of: self.mirror.borrow().as_of(),
        };
        self.send_relayed(peer::RelayedChanges {
            after: None,
            age: Duration::ZERO,
            batch,
        });
    }

    fn send_relayed(&self, relayed: peer::RelayedChanges) {
        let addresses = self.follower_addresses();
        if addresses.is_empty() {
            return;
        }
        let content = peer::MessageContent::Changes(relayed);
        let frame = Bytes::from(self.message("", content).encode());
        self.send_to_groups(&addresses, &frame);
    }

    /// Sends a frame to all of the given followers, through the heads of groups if there
    /// are many.
    pub(super) fn send_to_groups(&self, sorted: &[SocketAddr], frame: &Bytes) {
        for relay::RelayGroup { head, others } in relay::relay_groups(sorted) {
            if others.is_empty() {
                self.send_frame(head, frame.clone());
                continue;
            }
            let content = peer::MessageContent::Forward {
                addresses: others,
                frame: frame.clone(),
            };
            self.send_frame(head, Bytes::from(self.message("", content).encode()));
        }
    }

    /// Returns the addresses of the followers of all services, each once.
    pub(super) fn follower_addresses(&self) -> Vec<SocketAddr> {
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

    /// Handles a relay's message and passes it on to the others of the group.
    pub(super) fn forward(
        self: &Rc<Self>,
        addresses: &[SocketAddr],
        frame: &Bytes,
        sender: SocketAddr,
    ) {
        let message = match peer::PeerMessage::decode(frame) {
            Ok(message) if message.content.may_be_forwarded() => message,
            Ok(_) => {
                log::debug!("message from {sender} not passed on: it is not for a group");
                return;
            }
            Err(error) => {
                log::debug!("message from {sender} not passed on: {error}");
                return;
            }
        };
        let own = self.identity.info.address;
        let others = addresses.iter().filter(|address| **address != own);
        for address in others.take(relay::MAX_GROUP) {
            self.send_frame(*address, frame.clone());
        }
        self.handle_message(message, sender);
    }

    /// Applies changes that a relay passed on, unless earlier ones are missing.
    pub(super) fn apply_relayed_changes(self: &Rc<Self>, relayed: peer::RelayedChanges) {
        // A leader watches the store itself, including its own record.
        if self.leads_any() {
            return;
        }
        let now = self.now();
        let mut relayed = relayed;
        let known = {
            let mirror = self.mirror.borrow();
            relayed.batch.as_of = mirror.resolve(relayed.batch.as_of);
            relayed.after = relayed.after.map(|after| mirror.resolve(after));
            mirror.as_of()
        };
        let as_of = relayed.batch.as_of;
        if as_of.era < known.era {
            return;
        }
        let Some(after) = relayed.after.filter(|after| after.era == known.era) else {
            self.relay.borrow_mut().note_gap(now, as_of);
            return;
        };
        if after > known {
            self.relay.borrow_mut().note_lost(now, as_of);
            return;
        }
        self.note_store_regained();
        self.relay_history.borrow_mut().add(after, &relayed.batch);
        let since = match self.relay.borrow().is_overdue() {
            true => self.known_until.get(),
            false => now.saturating_sub(relayed.age),
        };
        let effect = {
            let mut mirror = self.mirror.borrow_mut();
            mirror.directory.set_changed_since(Some(since));
            let effect = mirror.apply_batch(now, relayed.batch);
            self.relay.borrow_mut().note_known(mirror.as_of());
            effect
        };
        self.apply_effect(effect);
    }

    /// Asks the relay to repeat the changes that are missing here.
    pub(super) fn ask_relay(&self) {
        let Some(relay) = self.relay.borrow_mut().next_ask(self.now()) else {
            return;
        };
        let after = self.mirror.borrow().as_of();
        self.send_datagram("", relay, peer::MessageContent::ChangesAsk { after });
    }

    /// Repeats the changes after a position, if this instance is a relay and has them.
    pub(super) fn repeat_changes(&self, after: store::StorePosition, follower: SocketAddr) {
        if !self.leads_any() || self.relayed_position().is_none() {
            return;
        }
        let after = self.mirror.borrow().resolve(after);
        if let Some(changes) = self.relay_history.borrow().since(after) {
            let content = peer::MessageContent::Changes(changes);
            self.send_frame(follower, Bytes::from(self.message("", content).encode()));
        }
    }

    /// Passes items that this instance read on to the group for which it reads them.
    pub(super) fn pass_on_items(&self, era: store::Era, items: &[store::StoredItem]) {
        let group = self.relay.borrow().group().to_vec();
        if group.is_empty() || items.is_empty() {
            return;
        }
        let items = items.to_vec();
        let content = peer::MessageContent::Items { era, items };
        let frame = Bytes::from(self.message("", content).encode());
        for address in group {
            self.send_frame(address, frame.clone());
        }
    }

    /// Notes the heartbeat of a relay, or of a leader that cannot relay the store's changes.
    pub(super) fn note_relay(
        &self,
        relayed: Option<store::StorePosition>,
        age: Duration,
        sender: SocketAddr,
        role: relay::GroupRole,
    ) {
        let (known, relayed) = {
            let mirror = self.mirror.borrow();
            let relayed = relayed.map(|position| mirror.resolve(position));
            (mirror.as_of(), relayed)
        };
        let mut relay = self.relay.borrow_mut();
        match relayed.filter(|position| position.era >= known.era) {
            Some(as_of) => {
                let now = self.now();
                if as_of <= known {
                    let until = now.saturating_sub(age).max(self.known_until.get());
                    self.known_until.set(until);
                }
                relay.note_heartbeat(now, as_of, known);
                relay.note_relay(sender, role);
            }
            None => relay.clear(),
        }
    }
}
