//! Sending and receiving of peer messages.

use super::ControlThread;
use crate::fleet::{followers, peer, relay};
use crate::ownership::{interface, load};
use crate::peer_connections;
use crate::store;
use async_io::{Async, Timer};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

impl ControlThread {
    pub(super) async fn accept_peers(this: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((io, sender)) => {
                    let receiver = this.clone();
                    this.spawn(async move {
                        let receive = |frame: &[u8]| receiver.receive_message(frame, sender);
                        let budget = &receiver.context.memory;
                        let received =
                            peer_connections::receive_frames(io, sender, budget, receive).await;
                        if let Err(error) = received {
                            log::debug!(
                                "connection from {sender} ended: {error}; the peer reconnects"
                            );
                        }
                    });
                }
                Err(error) => {
                    log::debug!("peer connection not accepted: {error}; the next one is awaited");
                    Timer::after(super::MIN_STORE_BACKOFF).await;
                }
            }
        }
    }

    pub(super) async fn report_load(this: Rc<Self>) {
        let mut round = 0;
        loop {
            Timer::after(followers::HEARTBEAT_INTERVAL).await;
            for (service, tally) in this.context.take_tallies() {
                if let Some(control) = this.services.borrow_mut().get_mut(&*service) {
                    control.tally.merge(tally);
                }
            }
            round += 1;
            let due = round % followers::report_rounds(this.instances.get()) == 0;
            for name in this.service_names() {
                match this.leads(&name) {
                    true => {
                        this.send_heartbeats(&name);
                        this.report_service(&name);
                    }
                    false if due => this.report_service(&name),
                    false => {}
                }
            }
        }
    }

    pub(super) fn leads(&self, service: &str) -> bool {
        let services = self.services.borrow();
        let control = services.get(service);
        control.is_some_and(|control| control.core.is_leading())
    }

    /// Sends a heartbeat to all followers of a service, encoded once for all that have the
    /// same role in their group.
    fn send_heartbeats(&self, service: &str) {
        let encode = |role| {
            let content = self.heartbeat(service, false, role)?;
            Some(self.message(service, content).encode())
        };
        let groups = relay::relay_groups(&self.follower_addresses());
        let (alone, groups): (Vec<_>, Vec<_>) = groups
            .into_iter()
            .partition(|group| group.others.is_empty());
        if let Some(datagram) = encode(relay::GroupRole::Alone) {
            for group in alone {
                self.send_encoded(group.head, &datagram);
            }
        }
        let covered = encode(relay::GroupRole::Covered);
        for relay::RelayGroup { head, others } in groups {
            for address in &others {
                covered
                    .iter()
                    .for_each(|datagram| self.send_encoded(*address, datagram));
            }
            if let Some(datagram) = encode(relay::GroupRole::Head(others)) {
                self.send_encoded(head, &datagram);
            }
        }
    }

    pub(super) fn report_service(self: &Rc<Self>, service: &str) {
        let (load, leading) = {
            let mut services = self.services.borrow_mut();
            let Some(control) = services.get_mut(service) else {
                return;
            };
            let tally = std::mem::take(&mut control.tally);
            (load::LoadReport::from(tally), control.core.is_leading())
        };
        if leading {
            self.handle(service, interface::OwnershipEvent::LoadReported(load));
            self.handle(
                service,
                interface::OwnershipEvent::LimitsUpdated(self.context.limits.rates()),
            );
            self.count_instances(service);
            self.update_members(service);
            return;
        }
        let leader = {
            let mirror = self.mirror.borrow();
            let record = mirror
                .record(service)
                .filter(|_| mirror.has_leader(service));
            record.map(|record| record.leader.address)
        };
        if let Some(address) = leader {
            self.send_report(service, address, leading, &load);
        }
    }

    pub(super) fn send_report(
        &self,
        service: &str,
        address: SocketAddr,
        leading: bool,
        report: &load::LoadReport,
    ) {
        let known = self.mirror.borrow().record_version(service);
        let members = Some(self.members_version(service));
        let stopping = self.context.is_stopping();
        let mut leaving = self.departing_owners(service);
        for load in report.split(peer::MAX_REPORT_COUNTS) {
            let content = peer::MessageContent::Report {
                leading,
                known,
                members,
                stopping,
                leaving: std::mem::take(&mut leaving),
                load,
            };
            self.send_datagram(service, address, content);
        }
    }

    pub(super) fn send_heartbeat(&self, service: &str, address: SocketAddr, probe: bool) {
        let role = relay::first_role(self.follower_addresses().len());
        if let Some(content) = self.heartbeat(service, probe, role) {
            self.send_datagram(service, address, content);
        }
    }

    /// Returns the heartbeat of a service that this instance leads.
    fn heartbeat(
        &self,
        service: &str,
        probe: bool,
        role: relay::GroupRole,
    ) -> Option<peer::MessageContent> {
        let position = {
            let services = self.services.borrow();
            services.get(service)?.core.leader_position()?
        };
        Some(peer::MessageContent::Heartbeat {
            position,
            instances: self.instances.get() as u32,
            relayed: self.relayed_position(),
            age: self.now().saturating_sub(self.known_until.get()),
            role,
            probe,
        })
    }

    pub(super) fn send_datagram(
        &self,
        service: &str,
        address: SocketAddr,
        content: peer::MessageContent,
    ) {
        self.send_encoded(address, &self.message(service, content).encode());
    }

    fn send_encoded(&self, address: SocketAddr, datagram: &[u8]) {
        self.count_bytes(datagram.len());
        if let Err(error) = self.peer_socket.get_ref().send_to(datagram, address) {
            log::debug!(
                "datagram to {address} not sent: {error}; the next report or heartbeat follows"
            );
        }
    }

    pub(super) fn message(
        &self,
        service: &str,
        content: peer::MessageContent,
    ) -> peer::PeerMessage {
        peer::PeerMessage {
            service: service.to_owned(),
            run: self.identity.info.run,
            name: self.identity.info.name.clone(),
            content,
        }
    }

    pub(super) fn count_bytes(&self, bytes: usize) {
        let counter = &self.context.metrics.control.control_bytes;
        counter.add(bytes as u64, &[]);
    }

    pub(super) async fn receive_datagrams(this: Rc<Self>) {
        let mut buffer = vec![0; peer::MAX_DATAGRAM_BYTES];
        loop {
            let (length, sender) = match this.peer_socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("datagram not received: {error}; the next one is awaited");
                    continue;
                }
            };
            this.receive_message(&buffer[..length], sender);
        }
    }

    pub(super) fn receive_message(self: &Rc<Self>, bytes: &[u8], sender: SocketAddr) {
        match peer::PeerMessage::decode(bytes) {
            Ok(message) => self.handle_message(message, sender),
            Err(error) => log::debug!("message from {sender} dropped: {error}"),
        }
    }

    pub(super) fn handle_message(self: &Rc<Self>, message: peer::PeerMessage, sender: SocketAddr) {
        let service = message.service;
        match message.content {
            peer::MessageContent::Report {
                leading,
                known,
                members,
                stopping,
                leaving,
                load,
            } => {
                self.note_follower(&service, &message.name, sender);
                self.note_reported_departures(&service, &leaving);
                let known = self.resolve_version(known);
                self.note_members_report(&service, &message.name, members, stopping);
                self.resend_record(&service, &message.name, known);
                let (name, run) = (message.name, message.run);
                self.handle(
                    &service,
                    interface::OwnershipEvent::InstanceSeen { name, run, leading },
                );
                if load != load::LoadReport::default() {
                    self.handle(&service, interface::OwnershipEvent::LoadReported(load));
                }
            }
            peer::MessageContent::Heartbeat {
                position,
                instances,
                relayed,
                age,
                role,
                probe,
            } => {
                self.note_relay(relayed, age, sender, role);
                let position = self.mirror.borrow().resolve(position);
                self.handle(&service, interface::OwnershipEvent::Superseded { position });
                let leading = self.leads(&service);
                if !leading {
                    self.set_instances(instances as usize);
                    if probe {
                        self.send_report(&service, sender, leading, &load::LoadReport::default());
                    }
                }
            }
            peer::MessageContent::Record { version, record } => {
                let version = self.resolve_version(version);
                self.apply_record(&service, version, record);
            }
            peer::MessageContent::Patch {
                base,
                version,
                patch,
            } => {
                let (base, version) = (self.resolve_version(base), self.resolve_version(version));
                self.apply_patch(&service, base, version, &patch);
            }
            peer::MessageContent::Changes(relayed) => self.apply_relayed_changes(relayed),
            peer::MessageContent::Forward { addresses, frame } => {
                self.forward(&addresses, &frame, sender);
            }
            peer::MessageContent::ChangesAsk { after } => self.repeat_changes(after, sender),
            peer::MessageContent::Items { era, items } => self.apply_items(era, items.into_iter()),
            peer::MessageContent::Crashes(records) => self.apply_crashes(&records),
            peer::MessageContent::Members(list) => self.apply_members(&service, list),
            peer::MessageContent::PermitAsk(ask) => {
                self.answer_ask(&service, &ask, Some(sender));
            }
            peer::MessageContent::PermitAnswer(answer) => self.apply_answer(&service, &answer),
            peer::MessageContent::LimitNotice(notice) => self.apply_notice(&service, &notice),
        }
    }

    /// Returns a version that a message states, with the present era if it states none.
    fn resolve_version(&self, version: store::AnnouncedVersion) -> store::AnnouncedVersion {
        store::AnnouncedVersion {
            position: self.mirror.borrow().resolve(version.position),
            ..version
        }
    }

    /// Notes a follower's report; a new follower gets a heartbeat at once.
    pub(super) fn note_follower(self: &Rc<Self>, service: &str, name: &str, sender: SocketAddr) {
        let now = self.now();
        {
            let mut services = self.services.borrow_mut();
            let Some(control) = services.get_mut(service) else {
                return;
            };
            if !control.core.is_leading() {
                return;
            }
            let new = || super::Follower {
                address: sender,
                last_report: now,
                sent_version: store::AnnouncedVersion::default(),
                known_version: store::AnnouncedVersion::default(),
                behind_since: None,
                no_allocator: false,
                members_sent: None,
            };
            let is_known = control.followers.contains_key(name);
            let follower = control.followers.entry(name.to_owned()).or_insert_with(new);
            follower.address = sender;
            follower.last_report = now;
            if is_known {
                return;
            }
        }
        self.send_heartbeat(service, sender, false);
    }

    /// Drops followers that timed out and counts the live instances.
    pub(super) fn count_instances(&self, service: &str) {
        let now = self.now();
        let count = {
            let mut services = self.services.borrow_mut();
            let Some(control) = services.get_mut(service) else {
                return;
            };
            let timeout = followers::instance_timeout(self.instances.get());
            let alive = |follower: &super::Follower| now < follower.last_report + timeout;
            control.followers.retain(|_, follower| alive(follower));
            control.followers.len() + 1
        };
        self.set_instances(count);
    }

    pub(super) fn set_instances(&self, count: usize) {
        if self.instances.replace(count) != count {
            self.publish();
        }
    }
}
