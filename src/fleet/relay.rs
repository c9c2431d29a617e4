//! Relay of the metadata store's changes from leaders to followers.
//!
//! An instance that leads any service watches the store and relays the changes to
//! its followers, so that a change costs the store one watch response and not one
//! per instance. A follower relies on a relay for as long as the relay's heartbeats
//! show that the store responds to it. It calls the store itself once the relay
//! times out, or does not repeat a change that was missed. A relay needs no authority:
//! changes carry the store's revisions, and older ones are ignored.
//!
//! The pattern at hundreds of followers: one configuration for each fills the relay's
//! link, and each call that all of them make costs hundreds. The relay therefore divides
//! them into groups. One follower of each, its head, passes the relay's messages on to the
//! others and watches the configuration for them. A head that is lost costs its group one
//! ask to the relay for each change, until it is not counted any more.

use crate::fleet::{mirror, peer};
use crate::store;
use std::collections::VecDeque;
use std::net::SocketAddr;
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

/// Time for which a follower waits for the relay to repeat changes that it missed.
///
/// Together with the grace and the interval of heartbeats it leaves half of the shortest
/// time within which a configuration must be in force.
const ANSWER_WAIT: Duration = Duration::from_millis(400);

/// Most bytes of changes that are relayed.
///
/// More would saturate a small instance's network; each follower reads them from
/// the store.
const MAX_RELAYED_BYTES: usize = 32 * 1024;

/// Most bytes of past changes that an instance keeps to repeat them.
const MAX_HISTORY_BYTES: usize = 256 * 1024;

/// Most announced positions for which it is remembered when they were announced.
const MAX_ANNOUNCED: usize = 32;

/// Followers up to which a relay sends everything to each of them itself.
const MAX_DIRECT_FOLLOWERS: usize = 24;

/// Most followers to which one passes messages on; a group is smaller than that up to
/// thousands of instances.
pub const MAX_GROUP: usize = 64;

/// How an instance learns of the store's changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SyncMode {
    /// Wait for messages of the relay.
    Listen,
    /// The relay's messages lack a change: the relay is asked to repeat it.
    Ask,
    /// The relay does not have the change, or does not answer: read it from the store.
    CatchUp,
    /// There is no relay: wait for changes at the store.
    Watch,
}

/// What a follower does for others of its group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum GroupRole {
    /// Nothing: it has no group.
    #[default]
    Alone,
    /// Passes messages on to the others, and watches the configuration for them.
    Head(Vec<SocketAddr>),
    /// Gets the configuration from the head.
    Covered,
}

/// Followers of a relay that get its messages from the first of them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayGroup {
    pub head: SocketAddr,
    pub others: Vec<SocketAddr>,
}

/// Divides followers into groups, as many as each has members.
///
/// Neighbours in the sorted list, often of one availability zone, are in one group.
pub fn relay_groups(sorted: &[SocketAddr]) -> Vec<RelayGroup> {
    let size = match sorted.len() {
        count if count <= MAX_DIRECT_FOLLOWERS => 1,
        count => count.isqrt().min(MAX_GROUP),
    };
    let groups = sorted.chunks(size).filter_map(<[SocketAddr]>::split_first);
    groups
        .map(|(head, others)| RelayGroup {
            head: *head,
            others: others.to_vec(),
        })
        .collect()
}

/// Returns the role of a follower until the groups are divided anew.
pub fn first_role(followers: usize) -> GroupRole {
    match followers <= MAX_DIRECT_FOLLOWERS {
        true => GroupRole::Alone,
        false => GroupRole::Covered,
    }
}

/// What a follower knows of its relay.
#[derive(Debug, Default)]
pub struct RelayState {
    address: Option<SocketAddr>,
    role: GroupRole,
    last_heartbeat: Option<Duration>,
    /// Position up to which the relay knows the store.
    as_of: store::StorePosition,
    /// Positions that are not known here, and when the relay announced them; oldest first.
    announced: VecDeque<(store::StorePosition, Duration)>,
    asked_at: Option<Duration>,
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
        self.announce(now, as_of);
        self.note_known(known);
    }

    /// Notes from where the heartbeat came, and what this instance does for its group.
    pub fn note_relay(&mut self, address: SocketAddr, role: GroupRole) {
        self.address = Some(address);
        self.role = role;
    }

    fn announce(&mut self, announced_at: Duration, as_of: store::StorePosition) {
        if as_of <= self.as_of {
            return;
        }
        self.as_of = as_of;
        if self.announced.len() == MAX_ANNOUNCED {
            self.announced.pop_back();
        }
        self.announced.push_back((as_of, announced_at));
    }

    /// Notes that the relay left changes out, which must be read from the store.
    pub fn note_gap(&mut self, now: Duration, as_of: store::StorePosition) {
        self.note_missing(now.saturating_sub(DELIVERY_GRACE + ANSWER_WAIT), as_of);
    }

    /// Notes changes up to `as_of` that cannot be applied, since earlier ones were lost.
    pub fn note_lost(&mut self, now: Duration, as_of: store::StorePosition) {
        self.note_missing(now.saturating_sub(DELIVERY_GRACE), as_of);
    }

    /// Notes that changes are not in transit; they count as announced at `since`.
    fn note_missing(&mut self, since: Duration, as_of: store::StorePosition) {
        let oldest = self
            .announced
            .front()
            .map(|(_, announced_at)| *announced_at);
        self.as_of = self.as_of.max(as_of);
        self.announced.clear();
        let since = oldest.map_or(since, |oldest| oldest.min(since));
        self.announced.push_back((self.as_of, since));
    }

    /// Notes the position up to which the store is known here.
    pub fn note_known(&mut self, known: store::StorePosition) {
        while self
            .announced
            .front()
            .is_some_and(|(as_of, _)| *as_of <= known)
        {
            self.announced.pop_front();
        }
    }

    /// Stops relying on the relay, which has lost the store.
    pub fn clear(&mut self) {
        self.last_heartbeat = None;
    }

    /// Returns whether changes that the relay announced before have not arrived.
    pub fn is_overdue(&self) -> bool {
        !self.announced.is_empty()
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
        let mut announced = self.announced.iter();
        let missing = announced.find(|(as_of, _)| *as_of > known);
        let Some((_, announced_at)) = missing else {
            return SyncMode::Listen;
        };
        let asks_from = *announced_at + DELIVERY_GRACE;
        match self.address {
            _ if now < asks_from => SyncMode::Listen,
            Some(_) if now < asks_from + ANSWER_WAIT => SyncMode::Ask,
            _ => SyncMode::CatchUp,
        }
    }

    /// Returns the address of the relay to ask now, once for each wait for its answer.
    pub fn next_ask(&mut self, now: Duration) -> Option<SocketAddr> {
        if self.asked_at.is_some_and(|asked| now < asked + ANSWER_WAIT) {
            return None;
        }
        self.asked_at = Some(now);
        self.address
    }

    /// Returns whether another instance watches the configuration for this one.
    pub fn is_covered(&self, now: Duration) -> bool {
        self.is_alive(now) && self.role == GroupRole::Covered
    }

    /// Returns the instances to which this one passes a configuration on.
    pub fn group(&self) -> &[SocketAddr] {
        match &self.role {
            GroupRole::Head(others) => others,
            GroupRole::Alone | GroupRole::Covered => &[],
        }
    }
}

/// Last changes of the store, as they are relayed, to repeat them to those who missed some.
///
/// Every instance keeps them, since any may become the relay.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    entries: VecDeque<(store::StorePosition, store::ChangeBatch)>,
    bytes: usize,
}

impl ChangeHistory {
    /// Adds the changes after a position; earlier ones that do not reach it are dropped.
    pub fn add(&mut self, after: store::StorePosition, batch: &store::ChangeBatch) {
        let batch = without_records(batch);
        let newest = self.entries.back().map(|(_, last)| last.as_of);
        if newest.is_some_and(|newest| newest < after) {
            self.clear();
        }
        if newest.is_some_and(|newest| batch.as_of <= newest) {
            return;
        }
        self.bytes += batch_bytes(&batch);
        self.entries.push_back((after, batch));
        while self.bytes > MAX_HISTORY_BYTES {
            let Some((_, oldest)) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= batch_bytes(&oldest);
        }
    }

    /// Forgets all changes, since later ones do not follow them.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// Returns the changes after the position `known`, if all of them are kept and short
    /// enough to be sent.
    pub fn since(&self, known: store::StorePosition) -> Option<peer::RelayedChanges> {
        let newer = self.entries.iter().filter(|(_, batch)| batch.as_of > known);
        let newer: Vec<_> = newer.collect();
        let (after, _) = newer.first()?;
        let (_, newest) = newer.last()?;
        if *after > known || after.era != known.era {
            return None;
        }
        let changes = newer.iter().flat_map(|(_, batch)| &batch.changes);
        let changes = changes.filter(|change| change.revision() > known.revision);
        let batch = store::ChangeBatch {
            changes: changes.cloned().collect(),
            as_of: newest.as_of,
        };
        (batch_bytes(&batch) <= MAX_RELAYED_BYTES).then_some(peer::RelayedChanges {
            after: Some(known),
            age: Duration::ZERO,
            batch,
        })
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

/// Returns the changes of a batch that are relayed.
///
/// Ownership records are left out, since their leaders announce them.
fn without_records(batch: &store::ChangeBatch) -> store::ChangeBatch {
    let changes = batch.changes.iter();
    let changes = changes.filter(|change| !mirror::is_record_key(change.key()));
    store::ChangeBatch {
        changes: changes.cloned().collect(),
        as_of: batch.as_of,
    }
}

/// Returns what is relayed of the changes after the position `after`.
pub fn relayed_changes(
    after: store::StorePosition,
    batch: &store::ChangeBatch,
) -> peer::RelayedChanges {
    let batch = without_records(batch);
    match batch_bytes(&batch) <= MAX_RELAYED_BYTES {
        true => peer::RelayedChanges {
            after: Some(after),
            age: Duration::ZERO,
            batch,
        },
        false => peer::RelayedChanges {
            after: None,
            age: Duration::ZERO,
            batch: store::ChangeBatch {
                changes: Vec::new(),
                as_of: batch.as_of,
            },
        },
    }
}

fn batch_bytes(batch: &store::ChangeBatch) -> usize {
    let changes = batch.changes.iter();
    changes.map(change_bytes).sum()
}

fn change_bytes(change: &store::StoreChange) -> usize {
    let value = match change {
        store::StoreChange::Put(item) => item.value.len(),
        store::StoreChange::Deleted { .. } => 0,
    };
    change.key().len() + value
}
