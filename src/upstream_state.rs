//! What a controller knows about one upstream.
//!
//! The phase says what the upstream may still own. It changes only on evidence:
//! reports that the renewers sent under the controller's own term.

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

/// Time that other renewers have to contradict a report of silence.
const CONTRADICTION_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval at which unanswered orders are sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which an instance that an upstream reported missing is not chosen as
/// its renewer.
const EXCLUSION_TIME: Duration = Duration::from_secs(60);

/// Age from which a report no longer shows that the upstream is alive.
const REPORT_TTL: Duration = Duration::from_secs(25);

/// Runs of instances that have ended, each with a time by which it had ended.
pub type EndedRuns = HashMap<ids::InstanceKey, Duration>;

/// One upstream of a service, as configured.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamSpec {
    pub key: ids::UpstreamKey,
    pub zone: String,
    /// Address for subscriptions, grants and renewals.
    pub grant_address: SocketAddr,
    pub check: holder::FenceCheck,
    /// Whether operators are taking the upstream out of service.
    pub leaving: bool,
}

/// What an upstream may own, as far as its controller has evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamPhase {
    /// Anything: the controller has not found out yet in this term.
    Unknown,
    /// The ordered set, which its renewers renew, and earlier ones until
    /// [`UpstreamState::holds_only_ordered`] returns true.
    Live,
    /// The ordered set or an earlier one. All are being revoked, until their expiry
    /// is proven.
    Expiring { since: Duration },
    /// Nothing. It is live again once it accepts the empty set ordered for it.
    Expired,
}

/// What a new controller found out about an upstream.
#[derive(Clone, Debug)]
pub enum Discovery {
    /// The upstream holds this set.
    Holds(grant::GrantSet),
    /// No report shows what the upstream holds. These are the renewers of the newest
    /// set that was reported.
    Unconfirmed(grant::RenewerList),
}

/// Last report of one renewer about the upstream.
#[derive(Clone, Debug)]
struct RenewerView {
    renewer: ids::InstanceKey,
    report: renewer::RenewerReport,
    received: Duration,
    /// When the renewer first reported the generation of its set.
    set_since: Duration,
}

impl RenewerView {
    /// Returns the time of the last heartbeat to the renewer, on the local clock.
    fn last_heartbeat(&self) -> Option<Duration> {
        self.report.heartbeat?;
        Some(self.received.saturating_sub(self.report.silence))
    }

    fn receives_heartbeats(&self) -> bool {
        self.report.heartbeat.is_some() && !self.silent()
    }

    /// Returns whether `report` shows nothing new; times count only where they
    /// change whether the renewer receives heartbeats.
    fn has_same_content(&self, report: &renewer::RenewerReport) -> bool {
        let old = &self.report;
        old.term == report.term
            && old.set.generation == report.set.generation
            && old.revoked_up_to == report.revoked_up_to
            && old.heartbeat == report.heartbeat
            && self.receives_heartbeats()
                == (report.heartbeat.is_some() && report.silence < grant::SILENCE_TIMEOUT)
    }

    /// Returns whether the renewer itself renews the set that it reports.
    ///
    /// The ranges of a revoked set may have been granted to others already, and
    /// an instance that is not among the set's renewers may report such a set.
    fn renews(&self) -> bool {
        let report = &self.report;
        report.set.generation > report.revoked_up_to && report.set.renewers.contains(&self.renewer)
    }

    fn silent(&self) -> bool {
        self.report.silence >= grant::SILENCE_TIMEOUT
    }

    /// Returns the time by which any grant that the renewer renewed has expired.
    fn expiry(&self) -> Duration {
        match self.report.renewed_ago {
            Some(ago) => self.received.saturating_sub(ago) + grant::expiry_bound(),
            None => Duration::ZERO,
        }
    }
}

/// What a controller knows about one upstream.
#[derive(Debug)]
pub struct UpstreamState {
    pub spec: UpstreamSpec,
    pub phase: UpstreamPhase,
    /// Newest set ordered in this term.
    pub ordered: grant::GrantSet,
    /// Instances that may still renew the upstream.
    pub possible_renewers: Vec<record::PeerInfo>,
    views: SmallVec<[RenewerView; 3]>,
    /// Renewers that the upstream reported missing, and when.
    excluded: SmallVec<[(ids::InstanceKey, Duration); 2]>,
    /// When a renewer first reported silence, unless the upstream was heard since.
    silent_since: Option<Duration>,
    orders_sent: Duration,
}

impl UpstreamState {
    /// Creates the state of an upstream about which no renewer has reported yet.
    pub fn new(spec: UpstreamSpec, possible_renewers: Vec<record::PeerInfo>) -> UpstreamState {
        UpstreamState {
            spec,
            phase: UpstreamPhase::Unknown,
            ordered: grant::GrantSet::default(),
            possible_renewers,
            views: SmallVec::new(),
            excluded: SmallVec::new(),
            silent_since: None,
            orders_sent: Duration::ZERO,
        }
    }

    /// Stores a renewer's report; returns whether it differs from the last one.
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
            self.exclude(now, missing);
        }
        let changed = old
            .as_ref()
            .is_none_or(|old| !old.has_same_content(&report));
        let same = old.filter(|old| old.report.set.generation == generation);
        let view = RenewerView {
            renewer,
            report,
            received: now,
            set_since: same.map_or(now, |old| old.set_since),
        };
        let (heard, silent) = (view.receives_heartbeats(), view.silent());
        self.views.push(view);
        if heard {
            self.silent_since = None;
        } else if silent && self.silent_since.is_none() {
            self.silent_since = Some(now);
        }
        changed
    }

    fn exclude(&mut self, now: Duration, renewer: ids::InstanceKey) {
        self.excluded
            .retain(|(key, since)| *key != renewer && now - *since < EXCLUSION_TIME);
        self.excluded.push((renewer, now));
    }

    /// Returns whether an instance may be a renewer of this upstream.
    pub fn is_eligible(&self, now: Duration, renewer: ids::InstanceKey) -> bool {
        let excluded =
            |(key, since): &(_, Duration)| *key == renewer && now - *since < EXCLUSION_TIME;
        !self.excluded.iter().any(excluded)
    }

    /// Returns whether a change is under way, so that the controller must check
    /// the upstream at every event and tick.
    pub fn in_transition(&self, term: u32) -> bool {
        let expired = self.phase == UpstreamPhase::Expired;
        let accepted = expired || self.phase == UpstreamPhase::Live && self.acked(term);
        let former_dropped = expired || self.possible_renewers.len() == self.ordered.renewers.len();
        let silent = !expired && self.silent_since.is_some();
        !accepted || !former_dropped || silent || self.restarted()
    }

    /// Returns whether the upstream accepted the set ordered in `term` and has no
    /// more work on other keys.
    pub fn acked(&self, term: u32) -> bool {
        let acked = |view: &RenewerView| {
            let heartbeat = view.report.heartbeat;
            heartbeat.is_some_and(|h| h.accepted == self.ordered.generation && !h.releasing)
        };
        self.ordered.generation.term == term && self.views.iter().any(acked)
    }

    /// Returns whether the upstream may be given ranges.
    pub fn usable(&self, term: u32) -> bool {
        self.phase == UpstreamPhase::Live && self.acked(term) && !self.leaving()
    }

    /// Returns whether the upstream or its operators ask for its ranges to be moved
    /// to others.
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

    /// Returns whether no older set can take effect at the upstream any more.
    ///
    /// An upstream that checks fencing tokens rejects older sets itself. For any
    /// other it is certain once every heartbeat that can still be answered reported
    /// the ordered set, since no renewer answers those with an older one. Until
    /// then, every renewer must have received the ordered set or have ended, and
    /// what it sent before must have expired.
    fn fenced(&self, now: Duration, ended_runs: &EndedRuns) -> bool {
        if self.spec.check == holder::FenceCheck::Enforced {
            return true;
        }
        if self.settled() {
            return true;
        }
        self.possible_renewers.iter().all(|peer| {
            let view = self.views.iter().find(|view| view.renewer == peer.key);
            let updated = view.filter(|view| view.report.set.generation >= self.ordered.generation);
            let since = updated.map(|view| view.set_since);
            let since = since.or_else(|| ended_runs.get(&peer.key).copied());
            since.is_some_and(|since| now >= since + grant::expiry_bound())
        })
    }

    fn settled(&self) -> bool {
        let settled = |view: &RenewerView| {
            let heartbeat = view.report.heartbeat;
            heartbeat.is_some_and(|h| h.settled && h.accepted == self.ordered.generation)
        };
        self.views.iter().any(settled)
    }

    /// Returns what the upstream holds, once reports show it or all renewers
    /// reported or ended.
    pub fn discover(&self, term: u32, ended_runs: &EndedRuns) -> Option<Discovery> {
        let views = self.views.iter().filter(|view| view.report.term == term);
        let newest = views.clone().max_by_key(|view| view.report.set.generation);
        let set = newest.map(|view| view.report.set.clone());
        let set = set.unwrap_or_default();
        let holds = |view: &RenewerView| {
            let accepted = view.report.heartbeat.map(|heartbeat| heartbeat.accepted);
            view.receives_heartbeats() && view.renews() && accepted == Some(set.generation)
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

    /// Returns whether the upstream counts as silent: a renewer reported silence,
    /// and no other contradicted it in its next report or within the timeout.
    pub fn is_silent(&self, now: Duration) -> bool {
        let Some(since) = self.silent_since else {
            return false;
        };
        let later = |view: &&RenewerView| view.received >= since;
        let all = self.possible_renewers.iter().all(|peer| {
            let view = self.views.iter().find(|view| view.renewer == peer.key);
            view.is_some_and(|view| later(&view))
        });
        all || now >= since + CONTRADICTION_TIMEOUT
    }

    /// Returns whether the renewers of the ordered set are complete, and all are
    /// eligible and among the live instances `peers`, which are ordered by key.
    pub fn has_live_renewers(&self, now: Duration, peers: &[record::PeerInfo]) -> bool {
        let live = |key: &ids::InstanceKey| {
            let found = peers.binary_search_by_key(key, |peer| peer.key).is_ok();
            found && self.is_eligible(now, *key)
        };
        let renewers = &self.ordered.renewers;
        renewers.len() == placement::RENEWERS_PER_UPSTREAM && renewers.iter().all(live)
    }

    /// Returns whether a recent report says that a renewer receives heartbeats.
    pub fn heard(&self, now: Duration) -> bool {
        let heard =
            |view: &RenewerView| view.receives_heartbeats() && now - view.received < REPORT_TTL;
        self.views.iter().any(heard)
    }

    /// Returns whether a renewer got a heartbeat after `since` from the run that
    /// the ordered set is for.
    pub fn heard_after(&self, since: Duration) -> bool {
        let heard = |view: &RenewerView| view.last_heartbeat().is_some_and(|heard| heard > since);
        !self.restarted() && self.views.iter().any(heard)
    }

    /// Returns the run of the upstream that was heard last; 0 if none was heard.
    pub fn incarnation(&self) -> u64 {
        let latest = self.views.iter().max_by_key(|view| view.last_heartbeat());
        let heartbeat = latest.and_then(|view| view.report.heartbeat);
        heartbeat.map_or(0, |heartbeat| heartbeat.incarnation)
    }

    /// Returns whether the upstream has restarted since the set was ordered.
    pub fn restarted(&self) -> bool {
        let incarnation = self.incarnation();
        incarnation != 0 && incarnation != self.ordered.incarnation
    }

    /// Returns the time by which the ordered set has expired; `None` while a
    /// renewer may still renew it.
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

    /// Replaces the ordered set; the new one is due to be sent at once.
    pub fn order(&mut self, set: grant::GrantSet) {
        self.ordered = set;
        self.orders_sent = Duration::ZERO;
    }

    /// Removes former renewers once their renewals have no effect any more.
    pub fn drop_former_renewers(&mut self, now: Duration, term: u32, ended_runs: &EndedRuns) {
        if self.phase == UpstreamPhase::Live && self.acked(term) && self.fenced(now, ended_runs) {
            let renewers = &self.ordered.renewers;
            self.possible_renewers
                .retain(|peer| renewers.contains(&peer.key));
            self.views.retain(|view| renewers.contains(&view.renewer));
        }
    }

    /// Returns the orders that are due and their receivers, one for each renewer
    /// that has not reported what it should.
    pub fn due_orders(
        &mut self,
        now: Duration,
        term: u32,
        service: ids::ServiceKey,
    ) -> Vec<(SocketAddr, renewer::RenewerOrder)> {
        if now - self.orders_sent < ORDER_RETRY_INTERVAL {
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
            self.orders_sent = now;
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
                    || self.silent_since.is_some_and(|since| view.received < since)
            }
        }
    }
}
