//! Limits of upstreams: asks for permits, their answers, and the list of instances
//! among which the allocators are chosen.

use super::ControlThread;
use crate::fleet::{events, followers, peer};
use crate::gateway::passing;
use crate::ids;
use crate::limits::{self, allocator, members, table};
use crate::store;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::bytes::Bytes;

/// Time beside a report's interval after which a new leader knows all live instances.
const MEMBERS_SETTLE_TIME: Duration = Duration::from_millis(700);

/// Time after the start within which a leader sends the list; a claim, the time until
/// it knows all instances, and the replacement of a lost leader before.
const MEMBERS_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which the list is sent again to a follower that reports an older one.
const MEMBERS_RESEND_DELAY: Duration = Duration::from_millis(600);

impl ControlThread {
    /// Sends the asks of this instance's requests to the allocators.
    pub(super) async fn send_asks(this: Rc<Self>) {
        while let Some(outgoing) = this.context.limits.next_ask().await {
            this.send_ask(&outgoing);
        }
    }

    fn send_ask(self: &Rc<Self>, outgoing: &table::OutgoingAsk) {
        let table::OutgoingAsk { service, ask } = outgoing;
        match self.members(service) {
            Some(list) => match list.allocator(ask.upstream) {
                Some(address) if address != self.identity.info.address => {
                    let content = peer::MessageContent::PermitAsk(*ask);
                    self.send_datagram(service, address, content);
                }
                _ => self.answer_ask(service, ask, None),
            },
            None if self.awaits_members() => self.apply_answer(
                service,
                &allocator::PermitAnswer::refusal(ask, MEMBERS_RESEND_DELAY),
            ),
            // Without a leader there is no list: every instance allocates an equal share.
            None => {
                let answer = self.allocate_share(ask);
                self.apply_answer(service, &answer);
            }
        }
    }

    /// Answers an own ask from an equal share of the limit.
    fn allocate_share(&self, ask: &allocator::PermitAsk) -> allocator::PermitAnswer {
        let rate = ask.statement.rate();
        let share = rate.map(|rate| rate.share(self.instances.get()));
        let shared = allocator::PermitAsk {
            statement: share.into(),
            ..*ask
        };
        let (answer, _) = self.allocator.borrow_mut().ask(self.now(), &shared);
        // What the upstream states is still its whole limit.
        allocator::PermitAnswer {
            statement: ask.statement,
            age: ask.age,
            ..answer
        }
    }

    /// Returns whether a leader will soon send the list of instances.
    ///
    /// An instance that has just started must not allocate beside the others.
    fn awaits_members(&self) -> bool {
        let has_leaders = !self.services.borrow().is_empty();
        has_leaders && self.now() < self.started + MEMBERS_TIMEOUT
    }

    /// Returns the instances among which a service's limits are divided.
    ///
    /// A service without keys has no leader; the first list known serves for it.
    pub(super) fn members(&self, service: &str) -> Option<Arc<members::MemberList>> {
        let services = self.services.borrow();
        let own = services
            .get(service)
            .and_then(|control| control.members.clone());
        let mut all = services.values();
        own.or_else(|| all.find_map(|control| control.members.clone()))
    }

    /// Answers an ask as the allocator; without a sender it is this instance's own.
    pub(super) fn answer_ask(
        self: &Rc<Self>,
        service: &str,
        ask: &allocator::PermitAsk,
        sender: Option<SocketAddr>,
    ) {
        let now = self.now();
        let (answer, notice) = self.allocator.borrow_mut().ask(now, ask);
        if let Some(notice) = notice {
            self.send_notice(service, &notice);
        }
        match sender {
            None => self.apply_answer(service, &answer),
            Some(_) if ask.count == 0 && answer.statement == ask.statement => {}
            Some(address) => {
                let content = peer::MessageContent::PermitAnswer(answer);
                self.send_datagram(service, address, content);
            }
        }
    }

    pub(super) fn apply_answer(&self, service: &str, answer: &allocator::PermitAnswer) {
        let metrics = &self.context.metrics.fleet;
        metrics.record_permits(service, answer.delays.len());
        let service = Arc::from(service);
        self.context
            .limits
            .apply_answer(self.now(), &service, answer);
    }

    /// Tells all other instances that a limit begins or ends.
    fn send_notice(&self, service: &str, notice: &allocator::LimitNotice) {
        let Some(list) = self.members(service) else {
            return;
        };
        let own = self.identity.info.address;
        for address in list.addresses.iter().filter(|address| **address != own) {
            let content = peer::MessageContent::LimitNotice(*notice);
            self.send_datagram(service, *address, content);
        }
        self.apply_notice(service, notice);
    }

    pub(super) fn apply_notice(&self, service: &str, notice: &allocator::LimitNotice) {
        if self.context.limits.apply_notice(self.now(), notice) {
            let rate = notice.statement.rate();
            self.context.log.emit(&events::UpstreamLimit {
                upstream: self.upstream_id(notice.upstream),
                service: service.to_owned(),
                rate: rate.map(limits::RequestRate::per_second),
                source: events::LimitSource::Allocator,
            });
        }
    }

    pub(super) fn upstream_id(&self, key: ids::UpstreamKey) -> String {
        let mirror = self.mirror.borrow();
        let known = mirror.directory.iter().find(|known| known.key == key);
        known.map_or_else(|| key.to_string(), |known| known.entry.id.to_string())
    }

    pub(super) fn members_version(&self, service: &str) -> store::AnnouncedVersion {
        let services = self.services.borrow();
        let members = services
            .get(service)
            .and_then(|control| control.members.as_ref());
        members.map(|list| list.version).unwrap_or_default()
    }

    pub(super) fn apply_members(&self, service: &str, list: Arc<members::MemberList>) {
        let mut services = self.services.borrow_mut();
        let Some(control) = services.get_mut(service) else {
            return;
        };
        let known = control.members.as_ref();
        if known.is_some_and(|known| known.version >= list.version) {
            return;
        }
        self.context.log.emit(&events::MembersChanged {
            service: service.to_owned(),
            era: list.version.position.era,
            revision: list.version.position.revision,
            sequence: list.version.sequence,
            instances: list.addresses.len(),
        });
        control.members = Some(list);
        drop(services);
        let others = self.other_members();
        let helpers = others.into_iter().map(passing::helper_address);
        self.context.helpers.store(Arc::new(helpers.collect()));
    }

    /// Notes what a follower's report says of the list of instances.
    pub(super) fn note_members_report(
        &self,
        service: &str,
        name: &str,
        known: Option<store::AnnouncedVersion>,
        stopping: bool,
    ) {
        let now = self.now();
        let (address, list) = {
            let mut services = self.services.borrow_mut();
            let Some(control) = services.get_mut(service) else {
                return;
            };
            let Some(follower) = control.followers.get_mut(name) else {
                return;
            };
            follower.no_allocator = stopping || known.is_none();
            let list = control.members.clone();
            let outdated = list.as_ref().zip(known);
            let outdated = outdated.is_some_and(|(list, known)| known < list.version);
            let sent = follower.members_sent;
            let due = sent.is_none_or(|sent| now >= sent + MEMBERS_RESEND_DELAY);
            let Some(list) = list.filter(|_| outdated && due) else {
                return;
            };
            follower.members_sent = Some(now);
            (follower.address, list)
        };
        let content = peer::MessageContent::Members(list);
        let frame = Bytes::from(self.message(service, content).encode());
        self.send_frame(address, frame);
    }

    /// Sends all followers a new list if the live instances have changed.
    pub(super) fn update_members(&self, service: &str) {
        let now = self.now();
        let (list, addresses) = {
            let mut services = self.services.borrow_mut();
            let Some(control) = services.get_mut(service) else {
                return;
            };
            let Some(position) = control.core.leader_position() else {
                return;
            };
            // An earlier leadership says nothing of which instances are alive now.
            let leading_since = control
                .leading_since
                .filter(|(claim, _)| *claim == position);
            let (_, since) = *control
                .leading_since
                .insert(leading_since.unwrap_or((position, now)));
            let instances = self.instances.get();
            let rounds = followers::report_rounds(instances) as u32;
            let settled = since + MEMBERS_SETTLE_TIME + followers::HEARTBEAT_INTERVAL * rounds;
            let next = control.members_announced;
            let next = next.map(|announced| announced + followers::list_interval(instances));
            if now < settled || next.is_some_and(|next| now < next) {
                return;
            }
            let followers = control.followers.values();
            let allocators = followers.filter(|follower| !follower.no_allocator);
            let mut addresses: Vec<SocketAddr> =
                allocators.map(|follower| follower.address).collect();
            if !self.context.is_stopping() || addresses.is_empty() {
                addresses.push(self.identity.info.address);
            }
            addresses.sort_unstable();
            let known = control.members.as_ref();
            if known.is_some_and(|known| known.addresses == addresses) {
                return;
            }
            let sequence = known.map_or(0, |known| known.version.sequence);
            let list = Arc::new(members::MemberList {
                version: store::AnnouncedVersion {
                    position,
                    sequence: sequence + 1,
                },
                addresses,
            });
            control.members_announced = Some(now);
            for follower in control.followers.values_mut() {
                follower.members_sent = Some(now);
            }
            let followers = control.followers.values();
            let addresses: Vec<SocketAddr> = followers.map(|follower| follower.address).collect();
            (list, addresses)
        };
        let content = peer::MessageContent::Members(list.clone());
        let frame = Bytes::from(self.message(service, content).encode());
        for address in addresses {
            self.send_frame(address, frame.clone());
        }
        self.apply_members(service, list);
    }
}
