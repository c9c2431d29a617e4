//! Fake upstream that takes grants: keys, fence numbers and expiries.

use godwitloom::directory;
use godwitloom::ids;
use godwitloom::ownership::record;
use godwitloom::range;
use std::net::SocketAddr;
use std::time::Duration;

/// Keys of the fake key space.
pub const KEY_COUNT: u64 = 64;

/// Heartbeat intervals of silence after which a dead upstream's entry vanishes.
const ENTRY_LIFE: Duration = Duration::from_millis(2600);

#[derive(Clone, Copy, Debug)]
struct Hold {
    fence: u64,
    until: Duration,
}

/// One upstream; a restart is a new life that remembers nothing.
#[derive(Clone, Debug)]
pub struct FakeUpstream {
    pub info: record::OwnerInfo,
    pub alive: bool,
    pub draining: bool,
    /// Whether it reaches the store to renew its entry.
    pub reaches_store: bool,
    /// When its entry vanishes; `None` while it renews it.
    pub entry_until: Option<Duration>,
    /// Factor by which its clock runs slow, in percent.
    drift_percent: u32,
    holds: Vec<Option<Hold>>,
    seen: Vec<u64>,
}

impl FakeUpstream {
    /// Creates the first life of an upstream.
    pub fn new(index: usize) -> FakeUpstream {
        let port = 9000 + index as u16;
        let id = format!("server-{index}");
        let mut upstream = FakeUpstream {
            info: record::OwnerInfo {
                key: ids::UpstreamKey::default(),
                id: id.into(),
                started_ms: 0,
                address: SocketAddr::from(([127, 0, 0, 1], port)),
            },
            alive: true,
            draining: false,
            reaches_store: true,
            entry_until: None,
            drift_percent: if index.is_multiple_of(2) { 2 } else { 0 },
            holds: vec![None; KEY_COUNT as usize],
            seen: vec![0; KEY_COUNT as usize],
        };
        upstream.begin_life(1);
        upstream
    }

    fn begin_life(&mut self, born_ms: u64) {
        self.info.started_ms = born_ms;
        self.info.key = ids::UpstreamKey::derive_run("service", &self.info.id, born_ms);
        self.holds.fill(None);
        self.seen.fill(0);
        self.alive = true;
        self.draining = false;
        self.entry_until = None;
    }

    /// Ends the life at once.
    pub fn kill(&mut self, now: Duration) {
        if self.alive {
            self.alive = false;
            self.entry_until.get_or_insert(now + ENTRY_LIFE);
        }
    }

    /// Begins another life under the same id.
    pub fn restart(&mut self) {
        if !self.alive {
            self.begin_life(self.info.started_ms + 1);
        }
    }

    /// Cuts the upstream off the store, or ends the cut.
    pub fn set_reaches_store(&mut self, now: Duration, reaches: bool) {
        self.reaches_store = reaches;
        if !reaches {
            self.entry_until.get_or_insert(now + ENTRY_LIFE);
        } else if self.alive {
            self.entry_until = None;
        }
    }

    /// Returns whether the store shows its entry.
    pub fn is_registered(&self, now: Duration) -> bool {
        self.entry_until.is_none_or(|until| now < until)
    }

    /// Returns the entry as instances see it.
    pub fn entry(&self) -> directory::UpstreamEntry {
        directory::UpstreamEntry {
            id: self.info.id.clone(),
            started_ms: self.info.started_ms,
            service: "service".into(),
            address: self.info.address,
            zone: "zone".into(),
            slots: 6,
            state: match self.draining {
                true => directory::UpstreamState::Draining,
                false => directory::UpstreamState::Ready,
            },
            warmup: Duration::ZERO,
        }
    }

    fn keys(range: &range::KeyRange) -> std::ops::RangeInclusive<usize> {
        range.first as usize..=range.last as usize
    }

    /// Takes a grant that arrived at `arrived`; `false` if a higher fence was seen.
    pub fn grant(
        &mut self,
        range: &range::KeyRange,
        fence: u64,
        arrived: Duration,
        hold: Duration,
    ) -> bool {
        if FakeUpstream::keys(range).any(|key| self.seen[key] > fence) {
            return false;
        }
        let until = arrived + hold + hold * self.drift_percent / 100;
        for key in FakeUpstream::keys(range) {
            self.seen[key] = fence;
            self.holds[key] = Some(Hold { fence, until });
        }
        true
    }

    /// Gives keys up; never refused.
    pub fn release(&mut self, range: &range::KeyRange) {
        for key in FakeUpstream::keys(range) {
            self.holds[key] = None;
        }
    }

    /// Returns the fence number under which a key is held.
    pub fn held(&self, key: u64, now: Duration) -> Option<u64> {
        let hold = self.holds[key as usize].filter(|hold| now < hold.until);
        hold.filter(|_| self.alive).map(|hold| hold.fence)
    }
}
