//! Fake upstream that accepts grants, with a fencing token and an expiry per key.

use godwitloom::directory;
use godwitloom::ids;
use godwitloom::ownership::record;
use godwitloom::range;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of keys in the key space.
pub const KEY_COUNT: u64 = 64;

/// Time until the store drops an entry that is no longer renewed; it covers several
/// heartbeat intervals.
const ENTRY_TTL: Duration = Duration::from_millis(2600);

#[derive(Clone, Copy, Debug)]
struct KeyGrant {
    fence: u64,
    expiry: Duration,
}

/// One upstream; a restart begins a new run with no grants and no known tokens.
#[derive(Clone, Debug)]
pub struct FakeUpstream {
    pub info: record::OwnerInfo,
    pub alive: bool,
    pub draining: bool,
    /// Whether it reaches the store to renew its entry.
    pub reaches_store: bool,
    /// When the store drops its entry; `None` while it renews the entry.
    pub entry_expiry: Option<Duration>,
    /// By how much its clock is slow: a grant lasts this much longer, in percent.
    drift_percent: u32,
    /// Indexed by key.
    grants: Vec<Option<KeyGrant>>,
    /// Highest fencing token accepted so far, indexed by key.
    highest_fences: Vec<u64>,
}

impl FakeUpstream {
    /// Creates an upstream in its first run.
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
            entry_expiry: None,
            drift_percent: if index.is_multiple_of(2) { 2 } else { 0 },
            grants: vec![None; KEY_COUNT as usize],
            highest_fences: vec![0; KEY_COUNT as usize],
        };
        upstream.begin_run(1);
        upstream
    }

    fn begin_run(&mut self, started_ms: u64) {
        self.info.started_ms = started_ms;
        self.info.key = ids::UpstreamKey::derive_run("service", &self.info.id, started_ms);
        self.grants.fill(None);
        self.highest_fences.fill(0);
        self.alive = true;
        self.draining = false;
        self.entry_expiry = None;
    }

    /// Ends the upstream's run at once.
    pub fn kill(&mut self, now: Duration) {
        if self.alive {
            self.alive = false;
            self.entry_expiry.get_or_insert(now + ENTRY_TTL);
        }
    }

    /// Begins another run under the same ID, if the upstream was killed.
    pub fn restart(&mut self) {
        if !self.alive {
            self.begin_run(self.info.started_ms + 1);
        }
    }

    /// Sets whether the upstream reaches the store to renew its entry.
    pub fn set_reaches_store(&mut self, now: Duration, reaches: bool) {
        self.reaches_store = reaches;
        if !reaches {
            self.entry_expiry.get_or_insert(now + ENTRY_TTL);
        } else if self.alive {
            self.entry_expiry = None;
        }
    }

    /// Returns whether the store has its entry.
    pub fn is_registered(&self, now: Duration) -> bool {
        self.entry_expiry.is_none_or(|expiry| now < expiry)
    }

    /// Returns the entry as instances read it from the store.
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
            sequence: 1,
            warmup: Duration::ZERO,
        }
    }

    fn keys(range: &range::KeyRange) -> std::ops::RangeInclusive<usize> {
        range.first as usize..=range.last as usize
    }

    /// Accepts a grant that arrived at `received`.
    ///
    /// Returns `false` if a key of the range was granted under a higher fencing token.
    pub fn grant(
        &mut self,
        range: &range::KeyRange,
        fence: u64,
        received: Duration,
        ttl: Duration,
    ) -> bool {
        if FakeUpstream::keys(range).any(|key| self.highest_fences[key] > fence) {
            return false;
        }
        let expiry = received + ttl + ttl * self.drift_percent / 100;
        for key in FakeUpstream::keys(range) {
            self.highest_fences[key] = fence;
            self.grants[key] = Some(KeyGrant { fence, expiry });
        }
        true
    }

    /// Drops the grants of a range; a release is never refused.
    pub fn release(&mut self, range: &range::KeyRange) {
        for key in FakeUpstream::keys(range) {
            self.grants[key] = None;
        }
    }

    /// Returns the fencing token under which the upstream owns a key, if it does.
    pub fn held_fence(&self, key: u64, now: Duration) -> Option<u64> {
        let grant = self.grants[key as usize].filter(|grant| now < grant.expiry);
        grant.filter(|_| self.alive).map(|grant| grant.fence)
    }
}
