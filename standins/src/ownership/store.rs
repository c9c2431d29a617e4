//! Fake metadata store: leader's key, record and leases of one service.

use godwitloom::ids;
use godwitloom::ownership::{interface, record};
use std::collections::BTreeMap;
use std::time::Duration;

/// State of the store's service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    #[default]
    Up,
    /// No call is answered or done; leases go on to run out.
    Down,
    /// Calls are done, and none is answered.
    LosesResponses,
    /// Writes are done seconds later if their condition still holds, unanswered.
    DelaysWrites,
}

#[derive(Debug)]
struct StoredLeader {
    view: interface::LeaderView,
    lease: u64,
}

/// Values with their revisions.
#[derive(Debug, Default)]
pub struct FakeStore {
    pub mode: StoreMode,
    revision: u64,
    leader: Option<StoredLeader>,
    record: Option<(record::OwnershipRecord, u64)>,
    leases: BTreeMap<u64, (Duration, Duration)>,
    next_lease: u64,
}

impl FakeStore {
    /// Ends leases that were not renewed.
    pub fn expire(&mut self, now: Duration) {
        self.leases.retain(|_, (_, until)| now < *until);
        let ended = |leader: &StoredLeader| !self.leases.contains_key(&leader.lease);
        if self.leader.as_ref().is_some_and(ended) {
            self.leader = None;
            self.revision += 1;
        }
    }

    /// Returns what a watch shows.
    pub fn view(&self) -> interface::StoreView {
        interface::StoreView {
            leader: self.leader.as_ref().map(|leader| leader.view.clone()),
            record: self.record.clone(),
            as_of: self.revision + 1,
        }
    }

    /// Opens a lease.
    pub fn open_lease(&mut self, now: Duration, ttl: Duration) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, (ttl, now + ttl));
        self.next_lease
    }

    /// Renews a lease; `false` if it has ended.
    pub fn keep_lease(&mut self, now: Duration, lease: u64) -> bool {
        self.expire(now);
        match self.leases.get_mut(&lease) {
            Some((ttl, until)) => {
                *until = now + *ttl;
                true
            }
            None => false,
        }
    }

    /// Writes under the order's condition.
    pub fn commit(
        &mut self,
        now: Duration,
        run: ids::InstanceKey,
        order: &interface::CommitCommand,
    ) -> interface::CommitResult {
        self.expire(now);
        let leader = self
            .leader
            .as_ref()
            .map_or(0, |leader| leader.view.revision);
        let record = self.record.as_ref().map_or(0, |(_, revision)| *revision);
        if (leader, record) != (order.leader_revision, order.record_revision) {
            let stored = self.record.clone();
            return interface::CommitResult::Conflict(
                stored.map(|(record, revision)| (Box::new(record), revision)),
            );
        }
        if order
            .claim
            .is_some_and(|lease| !self.leases.contains_key(&lease))
        {
            return interface::CommitResult::LeaseEnded;
        }
        self.revision += 2;
        let revision = self.revision;
        self.record = Some((order.record.clone(), revision));
        if let Some(lease) = order.claim {
            let name = order.record.leader.name.clone();
            let view = interface::LeaderView {
                run,
                name,
                revision,
            };
            self.leader = Some(StoredLeader { view, lease });
        }
        if order.resign {
            self.leader = None;
        }
        interface::CommitResult::Committed { revision }
    }
}
