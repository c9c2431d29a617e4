//! Fake metadata store with the key that names the leader, the ownership record and
//! the leases of one service.

use godwitloom::ids;
use godwitloom::ownership::{interface, record};
use godwitloom::store;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Behaviour of the fake store, which the simulation applies to its calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    #[default]
    Up,
    /// No call is carried out or answered; leases still expire.
    Down,
    /// Calls are carried out, but their responses are lost.
    LosesResponses,
    /// Writes are carried out seconds later if their condition still holds; the
    /// responses to all calls are lost.
    DelaysWrites,
}

#[derive(Clone, Debug)]
struct StoredLeader {
    view: interface::LeaderView,
    lease: u64,
}

/// Copies of the store that are kept for restorations, one a second.
const MAX_COPIES: usize = 10;

/// Time between two copies.
const COPY_INTERVAL: Duration = Duration::from_secs(1);

/// Stored values with their revisions, and leases.
#[derive(Clone, Debug)]
struct StoreCopy {
    revision: u64,
    leader: Option<StoredLeader>,
    record: Option<(record::OwnershipRecord, u64)>,
    leases: BTreeMap<u64, (Duration, Duration)>,
    next_lease: u64,
}

/// Stored values with their revisions, and leases.
#[derive(Debug)]
pub struct FakeStore {
    pub mode: StoreMode,
    /// Number of restorations, and one.
    era: store::Era,
    copies: VecDeque<StoreCopy>,
    copied_at: Duration,
    revision: u64,
    leader: Option<StoredLeader>,
    record: Option<(record::OwnershipRecord, u64)>,
    /// TTL and expiry of each lease, the latter on the simulated clock.
    leases: BTreeMap<u64, (Duration, Duration)>,
    next_lease: u64,
}

impl Default for FakeStore {
    fn default() -> FakeStore {
        FakeStore {
            mode: StoreMode::Up,
            era: 1,
            copies: VecDeque::new(),
            copied_at: Duration::ZERO,
            revision: 0,
            leader: None,
            record: None,
            leases: BTreeMap::new(),
            next_lease: 0,
        }
    }
}

impl FakeStore {
    /// Copies the store if the last copy is old enough.
    fn copy(&mut self, now: Duration) {
        if now < self.copied_at + COPY_INTERVAL {
            return;
        }
        self.copied_at = now;
        if self.copies.len() == MAX_COPIES {
            self.copies.pop_front();
        }
        self.copies.push_back(StoreCopy {
            revision: self.revision,
            leader: self.leader.clone(),
            record: self.record.clone(),
            leases: self.leases.clone(),
            next_lease: self.next_lease,
        });
    }

    /// Restores the store from the copy taken `age` copies before the last one.
    pub fn restore(&mut self, age: usize) {
        let Some(index) = self.copies.len().checked_sub(age + 1) else {
            return;
        };
        let copy = self.copies[index].clone();
        self.copies.truncate(index + 1);
        self.era += 1;
        self.revision = copy.revision;
        self.leader = copy.leader;
        self.record = copy.record;
        self.leases = copy.leases;
        self.next_lease = copy.next_lease;
    }

    pub fn era(&self) -> store::Era {
        self.era
    }

    /// Removes expired leases, and the key that names the leader if its lease has expired.
    pub fn expire(&mut self, now: Duration) {
        self.copy(now);
        self.leases.retain(|_, (_, expiry)| now < *expiry);
        let is_expired = |leader: &StoredLeader| !self.leases.contains_key(&leader.lease);
        if self.leader.as_ref().is_some_and(is_expired) {
            self.leader = None;
            self.revision += 1;
        }
    }

    /// Returns what a watch of the store reports.
    pub fn view(&self) -> interface::StoreView {
        interface::StoreView {
            leader: self.leader.as_ref().map(|leader| leader.view.clone()),
            record: self.record.clone(),
            // Above the last write, which thus counts as known.
            as_of: store::StorePosition {
                era: self.era,
                revision: self.revision + 1,
            },
        }
    }

    /// Opens a lease and returns its ID.
    pub fn open_lease(&mut self, now: Duration, ttl: Duration) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, (ttl, now + ttl));
        self.next_lease
    }

    /// Renews a lease; returns `false` if it has expired.
    pub fn renew_lease(&mut self, now: Duration, lease: u64) -> bool {
        self.expire(now);
        match self.leases.get_mut(&lease) {
            Some((ttl, expiry)) => {
                *expiry = now + *ttl;
                true
            }
            None => false,
        }
    }

    /// Writes the record if the revisions and the lease that it depends on still hold.
    pub fn commit(
        &mut self,
        now: Duration,
        run: ids::InstanceKey,
        command: &interface::CommitCommand,
    ) -> interface::CommitResult {
        self.expire(now);
        let leader_revision = self
            .leader
            .as_ref()
            .map_or(0, |leader| leader.view.revision);
        let record_revision = self.record.as_ref().map_or(0, |(_, revision)| *revision);
        if (leader_revision, record_revision) != (command.leader_revision, command.record_revision)
        {
            let stored = self.record.clone();
            return interface::CommitResult::Conflict(
                stored.map(|(record, revision)| (Box::new(record), revision)),
            );
        }
        if command
            .claim_lease
            .is_some_and(|lease| !self.leases.contains_key(&lease))
        {
            return interface::CommitResult::LeaseEnded;
        }
        self.revision += 2;
        let revision = self.revision;
        self.record = Some((command.record.clone(), revision));
        if let Some(lease) = command.claim_lease {
            let name = command.record.leader.name.clone();
            let view = interface::LeaderView {
                run,
                name,
                era: command.record.era,
                revision,
            };
            self.leader = Some(StoredLeader { view, lease });
        }
        if command.resign {
            self.leader = None;
        }
        interface::CommitResult::Committed { revision }
    }
}
