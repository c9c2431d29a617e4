//! Relay of the metadata store's changes from leaders to followers.
//!
//! An instance that leads any service watches the store and relays the changes to
//! its followers, so that a change costs the store one watch response and not one
//! per instance. A follower relies on a relay for as long as the relay's heartbeats
//! show that the store responds to it. It calls the store itself once the relay
//! times out or a change was missed. A relay needs no authority: changes carry the
//! store's revisions, and older ones are ignored.

use crate::fleet::{mirror, peer};
use crate::store;
use std::time::Duration;

/// Time without a heartbeat after which a relay is no longer relied upon.
///
/// Two heartbeats may be lost. With [`MAX_RESPONSE_AGE`] and the call that follows,
/// a change is known within 2 s even if the relay is lost.
const RELAY_TIMEOUT: Duration = Duration::from_millis(900);

/// Age of the store's last response at which a leader stops acting as a relay.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(800);

/// Time for which changes up to a heartbeat's revision may still be in transit.
const DELIVERY_GRACE: Duration = Duration::from_millis(300);

/// Most bytes of changes that are relayed.
///
/// More would saturate a small instance's network; each follower reads them from
/// the store.
const MAX_RELAYED_BYTES: usize = 4 * 1024;

/// How an instance learns of the store's changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SyncMode {
    /// Wait for messages of the relay.
    Listen,
    /// The relay's messages lack a change: read it from the store.
    CatchUp,
    /// There is no relay: wait for changes at the store.
    Watch,
}

/// What a follower knows of its relay.
#[derive(Debug, Default)]
pub struct RelayState {
    last_heartbeat: Option<Duration>,
    /// Position up to which the relay knows the store.
    as_of: store::StorePosition,
    /// Since when the relay knows of changes that are missing here.
    ahead_since: Option<Duration>,
}

impl RelayState {
    /// Notes a heartbeat of a relay that knows the store up to `as_of`.
    ///
    /// `known` is the position up to which it is known here.
    pub fn note_heartbeat(
        &mut self,
        now: Duration,
        as_of: store::StorePosition,
        known: store::StorePosition,
    ) {
        self.last_heartbeat = Some(now);
        self.as_of = self.as_of.max(as_of);
        self.note_known(known);
        if self.as_of > known {
            self.ahead_since = self.ahead_since.or(Some(now));
        }
    }

    /// Notes that the relay left changes out, or that earlier ones are missing here.
    ///
    /// They are not in transit, so `DELIVERY_GRACE` counts as over.
    pub fn note_gap(&mut self, now: Duration, as_of: store::StorePosition) {
        self.as_of = self.as_of.max(as_of);
        self.ahead_since = Some(now.saturating_sub(DELIVERY_GRACE));
    }

    /// Notes the position up to which the store is known here.
    pub fn note_known(&mut self, known: store::StorePosition) {
        if known >= self.as_of {
            self.ahead_since = None;
        }
    }

    /// Stops relying on the relay, which has lost the store.
    pub fn clear(&mut self) {
        self.last_heartbeat = None;
    }

    fn is_alive(&self, now: Duration) -> bool {
        self.last_heartbeat
            .is_some_and(|at| now < at + RELAY_TIMEOUT)
    }

    /// Returns the time since the relay's last heartbeat; `Duration::MAX` without one.
    pub fn age(&self, now: Duration) -> Duration {
        self.last_heartbeat
            .map_or(Duration::MAX, |at| now.saturating_sub(at))
    }

    /// Returns the mode of an instance that knows the store up to `known`.
    pub fn sync_mode(&self, now: Duration, known: store::StorePosition) -> SyncMode {
        if !self.is_alive(now) {
            return SyncMode::Watch;
        }
        let overdue = |since: Duration| now >= since + DELIVERY_GRACE;
        match self.as_of > known && self.ahead_since.is_some_and(overdue) {
            true => SyncMode::CatchUp,
            false => SyncMode::Listen,
        }
    }
}

/// Whether the store responds to this instance's own calls.
#[derive(Debug)]
pub struct StoreContact {
    /// When the store last responded to a call that reads.
    last_response: Duration,
    lost: bool,
}

impl StoreContact {
    /// Creates the state at the start: the store counts as lost until it responds.
    pub fn new(now: Duration) -> StoreContact {
        StoreContact {
            last_response: now,
            lost: true,
        }
    }

    pub fn note_response(&mut self, now: Duration) {
        self.last_response = now;
        self.lost = false;
    }

    pub fn note_lost(&mut self) {
        self.lost = true;
    }

    /// Returns the time since the store's last response; since the start without one.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_response)
    }

    /// Returns whether this instance may relay what it knows of the store.
    ///
    /// The age of the last response decides as well, since a store may stop
    /// responding without an error.
    pub fn is_fresh(&self, now: Duration) -> bool {
        !self.lost && self.age(now) < MAX_RESPONSE_AGE
    }
}

/// Returns what is relayed of the changes after the position `after`.
///
/// Ownership records are left out, since their leaders announce them.
pub fn relayed_changes(
    after: store::StorePosition,
    batch: &store::ChangeBatch,
) -> peer::RelayedChanges {
    let changes = batch.changes.iter();
    let changes = changes.filter(|change| !mirror::is_record_key(change.key()));
    let changes: Vec<_> = changes.cloned().collect();
    let bytes: usize = changes.iter().map(change_bytes).sum();
    let fits = bytes <= MAX_RELAYED_BYTES;
    peer::RelayedChanges {
        after: fits.then_some(after),
        batch: store::ChangeBatch {
            changes: if fits { changes } else { Vec::new() },
            as_of: batch.as_of,
        },
    }
}

fn change_bytes(change: &store::StoreChange) -> usize {
    let value = match change {
        store::StoreChange::Put(item) => item.value.len(),
        store::StoreChange::Deleted { .. } => 0,
    };
    change.key().len() + value
}
