//! A controller's knowledge of one upstream.
//!
//! The phase tells what the upstream may still own. It only ever moves on
//! evidence: reports of the renewers under the controller's own term.

use crate::grant;
use crate::holder;
use crate::ids;
use crate::placement;
use crate::record;
use crate::renewer;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which other renewers may contradict a suspicion.
const CONTRADICTION_WINDOW: Duration = Duration::from_millis(150);

/// Interval of repeated orders that were not answered.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a renewer that an upstream reported missing is not chosen for it.
const ABSENCE: Duration = Duration::from_secs(60);

/// Age beyond which a report says nothing about the upstream's liveness.
const REPORT_LIFE: Duration = Duration::from_secs(25);

/// When the runs of instances that are known to have ended did so, at the latest.
pub type EndedRuns = HashMap<ids::InstanceKey, Duration>;

/// One upstream of a service, as the configuration declares it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamSpec {
    pub key: ids::UpstreamKey,
    pub zone: String,
    /// Address of the upstream's grant port.
    pub grant_address: SocketAddr,
    pub check: holder::FenceCheck,
    /// Whether operators take the upstream out of service.
    pub leaving: bool,
}

/// What an upstream may own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamPhase {
    /// Anything: this term has not found out yet.
    Unknown,
    /// At most the ordered set, renewed by its renewers.
    Live,
    /// The ordered set, until its expiry is proven.
    Expiring { since: Duration },
    /// Nothing, until it accepts the ordered empty set.
    Expired,
}

/// What a new term found out about an upstream.
#[derive(Clone, Debug)]
pub enum Discovery {
    /// The upstream holds this set.
    Holds(grant::GrantSet),
    /// Nothing is certain but that only these renewers may renew the upstream.
    Unconfirmed(grant::RenewerList),
}

#[derive(Clone, Debug)]
struct RenewerView {
    renewer: ids::InstanceKey,
    report: renewer::RenewerReport,
    received: Duration,
    /// When the renewer first reported its present set.
    set_since: Duration,
}

impl RenewerView {
    /// Returns when the renewer last heard the upstream, on the local clock.
    fn heard(&self) -> Option<Duration> {
        self.report.heartbeat?;
        Some(self.received.saturating_sub(self.report.silence))
    }

    fn hears(&self) -> bool {
        self.report.heartbeat.is_some() && !self.silent()
    }

    fn tells_same(&self, report: &renewer::RenewerReport) -> bool {
        let old = &self.report;
        old.term == report.term
            && old.set.generation == report.set.generation
            && old.revoked_up_to == report.revoked_up_to
            && old.heartbeat == report.heartbeat
            && self.hears() == (report.heartbeat.is_some() && report.silence < grant::SUSPECT_AFTER)
    }

    /// Returns whether the renewer itself renews the set that it reports.
    ///
    /// A sealed set may have been given away already, and an instance that is
    /// no renewer may know one that has.
    fn renews(&self) -> bool {
        let report = &self.report;
        report.set.generation > report.revoked_up_to && report.set.renewers.contains(&self.renewer)
    }

    fn silent(&self) -> bool {
        self.report.silence >= grant::SUSPECT_AFTER
    }

    /// Returns when a grant that this renewer renewed has ended.
    fn expiry(&self) -> Duration {
        match self.report.renewed_ago {
            Some(ago) => self.received.saturating_sub(ago) + grant::expiry_bound(),
            None => Duration::ZERO,
        }
    }
}

/// One upstream, as its controller knows it.
#[derive(Debug)]
pub struct UpstreamState {
    pub spec: UpstreamSpec,
    pub phase: UpstreamPhase,
    /// Newest set ordered in this term.
    pub ordered: grant::GrantSet,
    /// Renewers that may still renew the upstream.
    pub possible_renewers: Vec<record::PeerInfo>,
    views: SmallVec<[RenewerView; 3]>,
    /// Renewers that the upstream reported missing, and when.
    absent: SmallVec<[(ids::InstanceKey, Duration); 2]>,
    suspected: Option<Duration>,
    sent: Duration,
}

impl UpstreamState {
    /// Creates the state of an upstream nothing is known about.
    pub fn new(spec: UpstreamSpec, possible_renewers: Vec<record::PeerInfo>) -> UpstreamState {
        UpstreamState {
            spec,
            phase: UpstreamPhase::Unknown,
            ordered: grant::GrantSet::default(),
            possible_renewers,
            views: SmallVec::new(),
            absent: SmallVec::new(),
            suspected: None,
            sent: Duration::ZERO,
        }
    }

    /// Takes a renewer's report in; returns whether it says anything new.
    pub fn on_report(
        &mut self,
        now: Duration,
        renewer: ids::InstanceKey,
        report: renewer::RenewerReport,
    ) -> bool {
        let old = self.views.iter().position(|view| view.renewer == renewer);
        let old = old.map(|index| self.views.swap_remove(index));
        let generation = report.set.generation;
        if let Some(missing) = report
            .heartbeat
            .and_then(|heartbeat| heartbeat.missing_renewer)
        {
            self.note_absent(now, missing);
        }
        let news = old.as_ref().is_none_or(|old| !old.tells_same(&report));
        let same = old.filter(|old| old.report.set.generation == generation);
        let view = RenewerView {
            renewer,
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

    fn note_absent(&mut self, now: Duration, renewer: ids::InstanceKey) {
        self.absent
            .retain(|(key, since)| *key != renewer && now - *since < ABSENCE);
        self.absent.push((renewer, now));
    }

    /// Returns whether an instance may be a renewer of this upstream.
    pub fn accepts(&self, now: Duration, renewer: ids::InstanceKey) -> bool {
        let absent = |(key, since): &(_, Duration)| *key == renewer && now - *since < ABSENCE;
        !self.absent.iter().any(absent)
    }

    /// Returns whether something is under way that time alone may move on.
    pub fn in_motion(&self, term: u32) -> bool {
        let expired = self.phase == UpstreamPhase::Expired;
        let settled = expired || self.phase == UpstreamPhase::Live && self.acked(term);
        let renewed = expired || self.possible_renewers.len() == self.ordered.renewers.len();
        let suspected = !expired && self.suspected.is_some();
        !settled || !renewed || suspected || self.runs_anew()
    }

    /// Returns whether the upstream accepted the ordered set and released the rest.
    pub fn acked(&self, term: u32) -> bool {
        let acked = |view: &RenewerView| {
            let heartbeat = view.report.heartbeat;
            heartbeat.is_some_and(|s| s.accepted == self.ordered.generation && !s.releasing)
        };
        self.ordered.generation.term == term && self.views.iter().any(acked)
    }

    /// Returns whether the upstream can be given keys.
    pub fn usable(&self, term: u32) -> bool {
        self.phase == UpstreamPhase::Live && self.acked(term) && !self.leaving()
    }

    /// Returns whether the upstream or its operators ask for its keys to be moved.
    pub fn leaving(&self) -> bool {
        let asks = |view: &RenewerView| {
            view.report
                .heartbeat
                .is_some_and(|heartbeat| heartbeat.leaving)
        };
        self.spec.leaving || self.views.iter().any(asks)
    }

    /// Returns whether the upstream certainly holds nothing outside the ordered set.
    pub fn holds_only_ordered(&self, now: Duration, term: u32, ended_runs: &EndedRuns) -> bool {
        match self.phase {
            UpstreamPhase::Unknown | UpstreamPhase::Expiring { .. } => false,
            UpstreamPhase::Expired => true,
            UpstreamPhase::Live => self.acked(term) && self.fenced(now, ended_runs),
        }
    }

    /// Returns whether no older order can reach the upstream any more.
    ///
    /// An upstream that compares fence numbers sees to that itself. Any other shows
    /// it once each heartbeat that can still be answered named the ordered set,
    /// since no renewer answers those with an older one. Until then, every renewer
    /// must have taken the ordered set, and orders sent before must have expired.
    fn fenced(&self, now: Duration, ended_runs: &EndedRuns) -> bool {
        if self.spec.check == holder::FenceCheck::Enforced {
            return true;
        }
        if self.settled() {
            return true;
        }
        self.possible_renewers.iter().all(|peer| {
            let view = self.views.iter().find(|view| view.renewer == peer.key);
            let taken = view.filter(|view| view.report.set.generation >= self.ordered.generation);
            let since = taken.map(|view| view.set_since);
            let since = since.or_else(|| ended_runs.get(&peer.key).copied());
            since.is_some_and(|since| now >= since + grant::expiry_bound())
        })
    }

    fn settled(&self) -> bool {
        let settled = |view: &RenewerView| {
            let heartbeat = view.report.heartbeat;
            heartbeat.is_some_and(|s| s.settled && s.accepted == self.ordered.generation)
        };
        self.views.iter().any(settled)
    }

    /// Returns what the upstream may hold, once the reports show it.
    pub fn discover(&self, term: u32, ended_runs: &EndedRuns) -> Option<Discovery> {
        let views = self.views.iter().filter(|view| view.report.term == term);
        let newest = views.clone().max_by_key(|view| view.report.set.generation);
        let set = newest.map(|view| view.report.set.clone());
        let set = set.unwrap_or_default();
        let holds = |view: &RenewerView| {
            let accepted = view.report.heartbeat.map(|heartbeat| heartbeat.accepted);
            view.hears() && view.renews() && accepted == Some(set.generation)
        };
        if set.generation.term > 0 && views.clone().any(holds) {
            return Some(Discovery::Holds(set));
        }
        let answered = |peer: &record::PeerInfo| {
            ended_runs.contains_key(&peer.key) || views.clone().any(|view| view.renewer == peer.key)
        };
        let all = self.possible_renewers.iter().all(answered);
        all.then_some(Discovery::Unconfirmed(set.renewers))
    }

    /// Returns whether all renewers that answer agree that the upstream is silent.
    pub fn suspect(&self, now: Duration) -> bool {
        let Some(since) = self.suspected else {
            return false;
        };
        let fresh = |view: &&RenewerView| view.received >= since;
        let all = self.possible_renewers.iter().all(|peer| {
            let view = self.views.iter().find(|view| view.renewer == peer.key);
            view.is_some_and(|view| fresh(&view))
        });
        all || now >= since + CONTRADICTION_WINDOW
    }

    /// Returns whether all ordered renewers are among `peers`, ordered by key.
    pub fn keeps_with(&self, now: Duration, peers: &[record::PeerInfo]) -> bool {
        let live = |key: &ids::InstanceKey| {
            let found = peers.binary_search_by_key(key, |peer| peer.key).is_ok();
            found && self.accepts(now, *key)
        };
        let renewers = &self.ordered.renewers;
        renewers.len() == placement::RENEWERS_PER_UPSTREAM && renewers.iter().all(live)
    }

    /// Returns whether a renewer hears the upstream at all.
    pub fn heard(&self, now: Duration) -> bool {
        let hears = |view: &RenewerView| view.hears() && now - view.received < REPORT_LIFE;
        self.views.iter().any(hears)
    }

    /// Returns whether a renewer heard the run that holds the ordered set after `since`.
    pub fn heard_after(&self, since: Duration) -> bool {
        let heard = |view: &RenewerView| view.heard().is_some_and(|heard| heard > since);
        !self.runs_anew() && self.views.iter().any(heard)
    }

    /// Returns the run of the upstream that was heard last; 0 if none was.
    pub fn incarnation(&self) -> u64 {
        let latest = self.views.iter().max_by_key(|view| view.heard());
        let heartbeat = latest.and_then(|view| view.report.heartbeat);
        heartbeat.map_or(0, |heartbeat| heartbeat.incarnation)
    }

    /// Returns whether the upstream runs anew since the ordered set was issued.
    pub fn runs_anew(&self) -> bool {
        let incarnation = self.incarnation();
        incarnation != 0 && incarnation != self.ordered.incarnation
    }

    /// Returns when the sealed grant has ended; `None` while a renewer may renew it.
    pub fn expiry(&self, term: u32, ended_runs: &EndedRuns) -> Option<Duration> {
        let mut expiry = Duration::ZERO;
        for peer in &self.possible_renewers {
            let view = self.views.iter().find(|view| view.renewer == peer.key);
            let revoked = view.filter(|view| {
                view.report.term == term && view.report.revoked_up_to >= self.ordered.generation
            });
            let end = match (revoked, ended_runs.get(&peer.key)) {
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

    /// Drops renewers whose renewals the upstream no longer accepts.
    pub fn narrow(&mut self, now: Duration, term: u32, ended_runs: &EndedRuns) {
        if self.phase == UpstreamPhase::Live && self.acked(term) && self.fenced(now, ended_runs) {
            let renewers = &self.ordered.renewers;
            self.possible_renewers
                .retain(|peer| renewers.contains(&peer.key));
            self.views.retain(|view| renewers.contains(&view.renewer));
        }
    }

    /// Returns the orders that are due, one per renewer that needs one.
    pub fn due_orders(
        &mut self,
        now: Duration,
        term: u32,
        service: ids::ServiceKey,
    ) -> Vec<(SocketAddr, renewer::RenewerOrder)> {
        if now - self.sent < RETRY_INTERVAL {
            return Vec::new();
        }
        let mut orders = Vec::new();
        for peer in &self.possible_renewers {
            if !self.needs_order(term, peer.key) {
                continue;
            }
            let (set, revoke) = self.order_content();
            let order = renewer::RenewerOrder {
                service,
                upstream: self.spec.key,
                address: self.spec.grant_address,
                term,
                set,
                revoke,
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
            UpstreamPhase::Unknown => (None, None),
            UpstreamPhase::Expiring { .. } => (None, Some(self.ordered.generation)),
            UpstreamPhase::Live | UpstreamPhase::Expired => (Some(self.ordered.clone()), None),
        }
    }

    fn needs_order(&self, term: u32, renewer: ids::InstanceKey) -> bool {
        let view = self.views.iter().find(|view| view.renewer == renewer);
        let Some(view) = view.filter(|view| view.report.term == term) else {
            return true;
        };
        match self.phase {
            UpstreamPhase::Unknown => true,
            UpstreamPhase::Expiring { .. } => view.report.revoked_up_to < self.ordered.generation,
            UpstreamPhase::Live | UpstreamPhase::Expired => {
                view.report.set.generation < self.ordered.generation
                    || self.suspected.is_some_and(|since| view.received < since)
            }
        }
    }
}
