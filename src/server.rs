//! A controller's knowledge of one server.
//!
//! The phase tells what the server may still own. It only ever moves on
//! evidence: reports of the keepers under the controller's own term.

use crate::grant;
use crate::holder;
use crate::ids;
use crate::keeper;
use crate::placement;
use crate::record;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which other keepers may contradict a suspicion.
const CONTRADICTION_WINDOW: Duration = Duration::from_millis(150);

/// Interval of repeated orders that were not answered.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a keeper that a server reported missing is not chosen for it.
const ABSENCE: Duration = Duration::from_secs(60);

/// Age beyond which a report says nothing about the server's liveness.
const REPORT_LIFE: Duration = Duration::from_secs(25);

/// When the runs of instances that are known to have ended did so, at the latest.
pub type GoneTimes = HashMap<ids::InstanceKey, Duration>;

/// One server of a service, as the configuration declares it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerPlan {
    pub key: ids::UpstreamKey,
    pub zone: String,
    /// Address of the server's grant port.
    pub grants: SocketAddr,
    pub check: holder::FenceCheck,
    /// Whether operators take the server out of service.
    pub leaving: bool,
}

/// What a server may own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerPhase {
    /// Anything: this term has not found out yet.
    Unknown,
    /// At most the ordered set, renewed by its keepers.
    Live,
    /// The ordered set, until its expiry is proven.
    Sealing { since: Duration },
    /// Nothing, until it accepts the ordered empty set.
    Expired,
}

/// What a new term found out about a server.
#[derive(Clone, Debug)]
pub enum Discovery {
    /// The server holds this set.
    Holds(grant::GrantSet),
    /// Nothing is certain but that only these keepers may renew the server.
    Nothing(grant::KeeperList),
}

#[derive(Clone, Debug)]
struct KeeperView {
    keeper: ids::InstanceKey,
    report: keeper::KeeperReport,
    received: Duration,
    /// When the keeper first reported its present set.
    set_since: Duration,
}

impl KeeperView {
    /// Returns when the keeper last heard the server, on the local clock.
    fn heard(&self) -> Option<Duration> {
        self.report.server?;
        Some(self.received.saturating_sub(self.report.silence))
    }

    fn hears(&self) -> bool {
        self.report.server.is_some() && !self.silent()
    }

    fn tells_same(&self, report: &keeper::KeeperReport) -> bool {
        let old = &self.report;
        old.term == report.term
            && old.set.generation == report.set.generation
            && old.sealed_to == report.sealed_to
            && old.server == report.server
            && self.hears() == (report.server.is_some() && report.silence < grant::SUSPECT_AFTER)
    }

    /// Returns whether the keeper itself renews the set that it reports.
    ///
    /// A sealed set may have been given away already, and an instance that is
    /// no keeper may know one that has.
    fn renews(&self) -> bool {
        let report = &self.report;
        report.set.generation > report.sealed_to && report.set.keepers.contains(&self.keeper)
    }

    fn silent(&self) -> bool {
        self.report.silence >= grant::SUSPECT_AFTER
    }

    /// Returns when a grant that this keeper renewed has ended.
    fn expiry(&self) -> Duration {
        match self.report.renewed_ago {
            Some(ago) => self.received.saturating_sub(ago) + grant::expiry_bound(),
            None => Duration::ZERO,
        }
    }
}

/// One server, as its controller knows it.
#[derive(Debug)]
pub struct ServerState {
    pub plan: ServerPlan,
    pub phase: ServerPhase,
    /// Newest set ordered in this term.
    pub ordered: grant::GrantSet,
    /// Keepers that may still renew the server.
    pub renewers: Vec<record::PeerInfo>,
    views: SmallVec<[KeeperView; 3]>,
    /// Keepers that the server reported missing, and when.
    absent: SmallVec<[(ids::InstanceKey, Duration); 2]>,
    suspected: Option<Duration>,
    sent: Duration,
}

impl ServerState {
    /// Creates the state of a server nothing is known about.
    pub fn new(plan: ServerPlan, renewers: Vec<record::PeerInfo>) -> ServerState {
        ServerState {
            plan,
            phase: ServerPhase::Unknown,
            ordered: grant::GrantSet::default(),
            renewers,
            views: SmallVec::new(),
            absent: SmallVec::new(),
            suspected: None,
            sent: Duration::ZERO,
        }
    }

    /// Takes a keeper's report in; returns whether it says anything new.
    pub fn on_report(
        &mut self,
        now: Duration,
        keeper: ids::InstanceKey,
        report: keeper::KeeperReport,
    ) -> bool {
        let old = self.views.iter().position(|view| view.keeper == keeper);
        let old = old.map(|index| self.views.swap_remove(index));
        let generation = report.set.generation;
        if let Some(missing) = report.server.and_then(|server| server.missing) {
            self.note_absent(now, missing);
        }
        let news = old.as_ref().is_none_or(|old| !old.tells_same(&report));
        let same = old.filter(|old| old.report.set.generation == generation);
        let view = KeeperView {
            keeper,
            report,
            received: now,
            set_since: same.map_or(now, |old| old.set_since),
        };
        let (hears, silent) = (view.hears(), view.silent());
        self.views.push(view);
        if hears {
            self.suspected = None;
        } else if silent && self.suspected.is_none() {
            self.suspected = Some(now);
        }
        news
    }

    fn note_absent(&mut self, now: Duration, keeper: ids::InstanceKey) {
        self.absent
            .retain(|(key, since)| *key != keeper && now - *since < ABSENCE);
        self.absent.push((keeper, now));
    }

    /// Returns whether an instance may be a keeper of this server.
    pub fn accepts(&self, now: Duration, keeper: ids::InstanceKey) -> bool {
        let absent = |(key, since): &(_, Duration)| *key == keeper && now - *since < ABSENCE;
        !self.absent.iter().any(absent)
    }

    /// Returns whether something is under way that time alone may move on.
    pub fn in_motion(&self, term: u32) -> bool {
        let expired = self.phase == ServerPhase::Expired;
        let settled = expired || self.phase == ServerPhase::Live && self.acked(term);
        let renewed = expired || self.renewers.len() == self.ordered.keepers.len();
        let suspected = !expired && self.suspected.is_some();
        !settled || !renewed || suspected || self.runs_anew()
    }

    /// Returns whether the server accepted the ordered set and released the rest.
    pub fn acked(&self, term: u32) -> bool {
        let acked = |view: &KeeperView| {
            let server = view.report.server;
            server.is_some_and(|s| s.accepted == self.ordered.generation && !s.releasing)
        };
        self.ordered.generation.term == term && self.views.iter().any(acked)
    }

    /// Returns whether the server can be given keys.
    pub fn usable(&self, term: u32) -> bool {
        self.phase == ServerPhase::Live && self.acked(term) && !self.leaving()
    }

    /// Returns whether the server or its operators ask for its keys to be moved.
    pub fn leaving(&self) -> bool {
        let asks = |view: &KeeperView| view.report.server.is_some_and(|server| server.leaving);
        self.plan.leaving || self.views.iter().any(asks)
    }

    /// Returns whether the server certainly holds nothing outside the ordered set.
    pub fn confined(&self, now: Duration, term: u32, gone: &GoneTimes) -> bool {
        match self.phase {
            ServerPhase::Unknown | ServerPhase::Sealing { .. } => false,
            ServerPhase::Expired => true,
            ServerPhase::Live => self.acked(term) && self.fenced(now, gone),
        }
    }

    /// Returns whether no older order can reach the server any more.
    ///
    /// A server that compares fence numbers sees to that itself. Any other shows
    /// it once each heartbeat that can still be answered named the ordered set,
    /// since no keeper answers those with an older one. Until then, every keeper
    /// must have taken the ordered set, and orders sent before must have expired.
    fn fenced(&self, now: Duration, gone: &GoneTimes) -> bool {
        if self.plan.check == holder::FenceCheck::Enforced {
            return true;
        }
        if self.settled() {
            return true;
        }
        self.renewers.iter().all(|peer| {
            let view = self.views.iter().find(|view| view.keeper == peer.key);
            let taken = view.filter(|view| view.report.set.generation >= self.ordered.generation);
            let since = taken.map(|view| view.set_since);
            let since = since.or_else(|| gone.get(&peer.key).copied());
            since.is_some_and(|since| now >= since + grant::expiry_bound())
        })
    }

    fn settled(&self) -> bool {
        let settled = |view: &KeeperView| {
            let server = view.report.server;
            server.is_some_and(|s| s.settled && s.accepted == self.ordered.generation)
        };
        self.views.iter().any(settled)
    }

    /// Returns what the server may hold, once the reports show it.
    pub fn discover(&self, term: u32, gone: &GoneTimes) -> Option<Discovery> {
        let views = self.views.iter().filter(|view| view.report.term == term);
        let newest = views.clone().max_by_key(|view| view.report.set.generation);
        let set = newest.map(|view| view.report.set.clone());
        let set = set.unwrap_or_default();
        let holds = |view: &KeeperView| {
            let accepted = view.report.server.map(|server| server.accepted);
            view.hears() && view.renews() && accepted == Some(set.generation)
        };
        if set.generation.term > 0 && views.clone().any(holds) {
            return Some(Discovery::Holds(set));
        }
        let answered = |peer: &record::PeerInfo| {
            gone.contains_key(&peer.key) || views.clone().any(|view| view.keeper == peer.key)
        };
        let all = self.renewers.iter().all(answered);
        all.then_some(Discovery::Nothing(set.keepers))
    }

    /// Returns whether all keepers that answer agree that the server is silent.
    pub fn suspect(&self, now: Duration) -> bool {
        let Some(since) = self.suspected else {
            return false;
        };
        let fresh = |view: &&KeeperView| view.received >= since;
        let all = self.renewers.iter().all(|peer| {
            let view = self.views.iter().find(|view| view.keeper == peer.key);
            view.is_some_and(|view| fresh(&view))
        });
        all || now >= since + CONTRADICTION_WINDOW
    }

    /// Returns whether all ordered keepers are among `peers`, ordered by key.
    pub fn keeps_with(&self, now: Duration, peers: &[record::PeerInfo]) -> bool {
        let live = |key: &ids::InstanceKey| {
            let found = peers.binary_search_by_key(key, |peer| peer.key).is_ok();
            found && self.accepts(now, *key)
        };
        let keepers = &self.ordered.keepers;
        keepers.len() == placement::KEEPERS_PER_SERVER && keepers.iter().all(live)
    }

    /// Returns whether a keeper hears the server at all.
    pub fn heard(&self, now: Duration) -> bool {
        let hears = |view: &KeeperView| view.hears() && now - view.received < REPORT_LIFE;
        self.views.iter().any(hears)
    }

    /// Returns whether a keeper heard the run that holds the ordered set after `since`.
    pub fn heard_after(&self, since: Duration) -> bool {
        let heard = |view: &KeeperView| view.heard().is_some_and(|heard| heard > since);
        !self.runs_anew() && self.views.iter().any(heard)
    }

    /// Returns the run of the server that was heard last; 0 if none was.
    pub fn incarnation(&self) -> u64 {
        let latest = self.views.iter().max_by_key(|view| view.heard());
        let server = latest.and_then(|view| view.report.server);
        server.map_or(0, |server| server.incarnation)
    }

    /// Returns whether the server runs anew since the ordered set was issued.
    pub fn runs_anew(&self) -> bool {
        let incarnation = self.incarnation();
        incarnation != 0 && incarnation != self.ordered.incarnation
    }

    /// Returns when the sealed grant has ended; `None` while a keeper may renew it.
    pub fn expiry(&self, term: u32, gone: &GoneTimes) -> Option<Duration> {
        let mut expiry = Duration::ZERO;
        for peer in &self.renewers {
            let view = self.views.iter().find(|view| view.keeper == peer.key);
            let sealed = view.filter(|view| {
                view.report.term == term && view.report.sealed_to >= self.ordered.generation
            });
            let end = match (sealed, gone.get(&peer.key)) {
                (Some(view), _) => view.expiry(),
                (None, Some(since)) => *since + grant::expiry_bound(),
                (None, None) => return None,
            };
            expiry = expiry.max(end);
        }
        Some(expiry)
    }

    /// Replaces the ordered set and sends it at once.
    pub fn order(&mut self, set: grant::GrantSet) {
        self.ordered = set;
        self.sent = Duration::ZERO;
    }

    /// Drops renewers whose renewals the server no longer accepts.
    pub fn narrow(&mut self, now: Duration, term: u32, gone: &GoneTimes) {
        if self.phase == ServerPhase::Live && self.acked(term) && self.fenced(now, gone) {
            let keepers = &self.ordered.keepers;
            self.renewers.retain(|peer| keepers.contains(&peer.key));
            self.views.retain(|view| keepers.contains(&view.keeper));
        }
    }

    /// Returns the orders that are due, one per keeper that needs one.
    pub fn due_orders(
        &mut self,
        now: Duration,
        term: u32,
        service: ids::ServiceKey,
    ) -> Vec<(SocketAddr, keeper::KeeperOrder)> {
        if now - self.sent < RETRY_INTERVAL {
            return Vec::new();
        }
        let mut orders = Vec::new();
        for peer in &self.renewers {
            if !self.needs_order(term, peer.key) {
                continue;
            }
            let (set, seal) = self.order_content();
            let order = keeper::KeeperOrder {
                service,
                upstream: self.plan.key,
                address: self.plan.grants,
                term,
                set,
                seal,
            };
            orders.push((peer.control, order));
        }
        if !orders.is_empty() {
            self.sent = now;
        }
        orders
    }

    fn order_content(&self) -> (Option<grant::GrantSet>, Option<grant::GrantGeneration>) {
        match self.phase {
            ServerPhase::Unknown => (None, None),
            ServerPhase::Sealing { .. } => (None, Some(self.ordered.generation)),
            ServerPhase::Live | ServerPhase::Expired => (Some(self.ordered.clone()), None),
        }
    }

    fn needs_order(&self, term: u32, keeper: ids::InstanceKey) -> bool {
        let view = self.views.iter().find(|view| view.keeper == keeper);
        let Some(view) = view.filter(|view| view.report.term == term) else {
            return true;
        };
        match self.phase {
            ServerPhase::Unknown => true,
            ServerPhase::Sealing { .. } => view.report.sealed_to < self.ordered.generation,
            ServerPhase::Live | ServerPhase::Expired => {
                view.report.set.generation < self.ordered.generation
                    || self.suspected.is_some_and(|since| view.received < since)
            }
        }
    }
}
