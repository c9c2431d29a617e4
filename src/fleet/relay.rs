//! Relay of the metadata store's changes.
//!
//! A leader of any service hears the store itself and passes its changes on, so
//! that a change costs the store one answered watch and not one per instance.
//! Everyone else listens to it for as long as it shows that it hears the store,
//! and calls the store itself when it falls silent or something was missed. A
//! relay decides nothing: changes carry the store's revisions, older ones are
//! ignored.

use crate::fleet::{mirror, peer};
use crate::store;
use std::time::Duration;

/// Silence after which a relay is no longer relied upon.
///
/// Two beacons may be lost. With [`STORE_LIFE`] and the call that follows, a
/// change is known within 2 s even if the relay is lost.
const RELAY_LIFE: Duration = Duration::from_millis(900);

/// Age of the store's last answer at which a relay no longer speaks for it.
const STORE_LIFE: Duration = Duration::from_millis(800);

/// Time for which changes that a beacon tells of may still be under way.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

/// Longest changes that are passed on, in bytes.
///
/// Longer ones would fill a small instance's link; everyone fetches them.
const MAX_RELAYED_BYTES: usize = 4 * 1024;

/// What an instance must do to follow the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowStep {
    /// The relay tells of every change.
    Listen,
    /// Something was missed: ask the store what is new.
    CatchUp,
    /// No relay is heard: wait for changes at the store.
    Watch,
}

/// Relay as a listener knows it.
#[derive(Debug, Default)]
pub struct RelayListener {
    heard: Option<Duration>,
    /// Revision up to which the relay knows the store.
    as_of: u64,
    /// When the relay first told of what is not known here.
    ahead_since: Option<Duration>,
}

impl RelayListener {
    /// Notes a sign of a relay that knows the store up to `as_of`.
    pub fn note_beacon(&mut self, now: Duration, as_of: u64, known: u64) {
        self.heard = Some(now);
        self.as_of = self.as_of.max(as_of);
        self.note_known(known);
        if self.as_of > known {
            self.ahead_since = self.ahead_since.or(Some(now));
        }
    }

    /// Notes that changes were left out or do not follow what is known.
    pub fn note_gap(&mut self, now: Duration, as_of: u64) {
        self.as_of = self.as_of.max(as_of);
        self.ahead_since = Some(now.saturating_sub(ARRIVAL_TIME));
    }

    /// Notes up to which revision the store is known here.
    pub fn note_known(&mut self, known: u64) {
        if known >= self.as_of {
            self.ahead_since = None;
        }
    }

    /// Forgets the relay, which no longer hears the store.
    pub fn forget(&mut self) {
        self.heard = None;
    }

    /// Returns whether a relay is heard.
    fn is_heard(&self, now: Duration) -> bool {
        self.heard.is_some_and(|heard| now < heard + RELAY_LIFE)
    }

    /// Returns the time since the relay was last heard.
    pub fn age(&self, now: Duration) -> Duration {
        self.heard
            .map_or(Duration::MAX, |heard| now.saturating_sub(heard))
    }

    /// Returns what to do for an instance that knows the store up to `known`.
    pub fn next_step(&self, now: Duration, known: u64) -> FollowStep {
        if !self.is_heard(now) {
            return FollowStep::Watch;
        }
        let overdue = |since: Duration| now >= since + ARRIVAL_TIME;
        match self.as_of > known && self.ahead_since.is_some_and(overdue) {
            true => FollowStep::CatchUp,
            false => FollowStep::Listen,
        }
    }
}

/// This instance's own contact with the store.
#[derive(Debug)]
pub struct StoreContact {
    /// When the store last answered a reading call.
    heard: Duration,
    lost: bool,
}

impl StoreContact {
    /// Creates the contact of an instance that starts now and has heard nothing.
    pub fn new(now: Duration) -> StoreContact {
        StoreContact {
            heard: now,
            lost: true,
        }
    }

    /// Notes an answer of the store.
    pub fn note_heard(&mut self, now: Duration) {
        self.heard = now;
        self.lost = false;
    }

    /// Notes that the store is lost.
    pub fn note_lost(&mut self) {
        self.lost = true;
    }

    /// Returns the time since the store last answered; since the start if it never did.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard)
    }

    /// Returns whether what is known of the store may be relayed.
    ///
    /// A store may fall silent: the time of its last answer counts, not errors.
    pub fn is_fresh(&self, now: Duration) -> bool {
        !self.lost && self.age(now) < STORE_LIFE
    }
}

/// Returns what to pass on of the changes that follow the revision `after`.
///
/// Ownership records are left out: their leaders announce them.
pub fn relayed_changes(after: u64, batch: &store::ChangeBatch) -> peer::RelayedChanges {
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
