//! Messages between instances.

use super::ControlThread;
use crate::fleet::peer;
use crate::ownership::{interface, load, record};
use crate::peer_connections;
use async_io::{Async, Timer};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Silence after which an instance is no longer counted.
const INSTANCE_LIFE: Duration = Duration::from_millis(1500);

/// Interval of reports to leaders; hot keys must be seen within a second.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

impl ControlThread {
    pub(super) async fn accept_links(this: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((io, sender)) => {
                    let receiver = this.clone();
                    this.spawn(async move {
                        let take = |frame: &[u8]| receiver.take_message(frame, sender);
                        if let Err(error) = peer_connections::receive_frames(io, take).await {
                            log::debug!("link from {sender} ended: {error}; it is opened again");
                        }
                    });
                }
                Err(error) => {
                    log::debug!("link not accepted: {error}; the next one follows");
                    Timer::after(super::FIRST_STORE_PAUSE).await;
                }
            }
        }
    }

    pub(super) async fn report(this: Rc<Self>) {
        loop {
            Timer::after(REPORT_INTERVAL).await;
            for (service, tally) in this.context.take_tallies() {
                if let Some(control) = this.services.borrow_mut().get_mut(&*service) {
                    control.tally.merge(tally);
                }
            }
            for name in this.names() {
                this.report_service(&name);
            }
        }
    }

    pub(super) fn report_service(self: &Rc<Self>, service: &str) {
        let (load, acting) = {
            let mut services = self.services.borrow_mut();
            let Some(control) = services.get_mut(service) else {
                return;
            };
            let tally = std::mem::take(&mut control.tally);
            (load::LoadReport::from(tally), control.core.is_leading())
        };
        if acting {
            self.handle(service, interface::OwnershipEvent::LoadReported(load));
            self.count_instances(service);
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
            self.send_report(service, address, acting, &load);
        }
    }

    pub(super) fn send_report(
        &self,
        service: &str,
        address: SocketAddr,
        acting: bool,
        report: &load::LoadReport,
    ) {
        let known = self.mirror.borrow().record_order(service);
        for load in report.split(peer::MAX_COUNTS) {
            let content = peer::MessageContent::Report {
                acting,
                known,
                load,
            };
            self.send_gossip(service, address, content);
        }
    }

    pub(super) fn send_beacon(&self, service: &str, address: SocketAddr, challenge: bool) {
        let since = {
            let services = self.services.borrow();
            let control = services.get(service);
            control.and_then(|control| control.core.leader_revision())
        };
        if let Some(revision) = since {
            let instances = self.instances.get() as u32;
            let content = peer::MessageContent::Heartbeat {
                revision,
                instances,
                relayed: self.relayed(),
                challenge,
            };
            self.send_gossip(service, address, content);
        }
    }

    pub(super) fn send_gossip(
        &self,
        service: &str,
        address: SocketAddr,
        content: peer::MessageContent,
    ) {
        let datagram = self.message(service, content).encode();
        self.count_bytes(datagram.len());
        if let Err(error) = self.gossip.get_ref().send_to(&datagram, address) {
            log::debug!("datagram to {address} not sent: {error}; it is repeated");
        }
    }

    pub(super) fn message(
        &self,
        service: &str,
        content: peer::MessageContent,
    ) -> peer::PeerMessage {
        peer::PeerMessage {
            service: service.to_owned(),
            run: self.identity.node.run,
            name: self.identity.node.name.clone(),
            content,
        }
    }

    pub(super) fn count_bytes(&self, bytes: usize) {
        let counter = &self.context.metrics.control.control_bytes;
        counter.add(bytes as u64, &[]);
    }

    pub(super) async fn receive_gossip(this: Rc<Self>) {
        let mut buffer = vec![0; peer::MAX_DATAGRAM_BYTES];
        loop {
            let (length, sender) = match this.gossip.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("datagram not received: {error}; the next one follows");
                    continue;
                }
            };
            this.take_message(&buffer[..length], sender);
        }
    }

    pub(super) fn take_message(self: &Rc<Self>, bytes: &[u8], sender: SocketAddr) {
        match peer::PeerMessage::decode(bytes) {
            Ok(message) => self.on_gossip(message, sender),
            Err(error) => log::debug!("message from {sender} dropped: {error}"),
        }
    }

    pub(super) fn on_gossip(self: &Rc<Self>, message: peer::PeerMessage, sender: SocketAddr) {
        let service = message.service;
        match message.content {
            peer::MessageContent::Report {
                acting,
                known,
                load,
            } => {
                self.note_follower(&service, &message.name, sender);
                self.resend_record(&service, &message.name, known);
                let (name, run) = (message.name, message.run);
                self.handle(
                    &service,
                    interface::OwnershipEvent::InstanceSeen {
                        name,
                        run,
                        leading: acting,
                    },
                );
                if load != load::LoadReport::default() {
                    self.handle(&service, interface::OwnershipEvent::LoadReported(load));
                }
            }
            peer::MessageContent::Heartbeat {
                revision,
                instances,
                relayed,
                challenge,
            } => {
                self.note_relay(relayed);
                self.handle(&service, interface::OwnershipEvent::Superseded { revision });
                let acting = {
                    let services = self.services.borrow();
                    let control = services.get(&service);
                    control.is_some_and(|control| control.core.is_leading())
                };
                if !acting {
                    self.set_instances(instances as usize);
                    if challenge {
                        self.send_report(&service, sender, acting, &load::LoadReport::default());
                    }
                }
            }
            peer::MessageContent::Record { order, record } => {
                self.take_record(&service, order, record);
            }
            peer::MessageContent::Patch { base, order, patch } => {
                self.take_patch(&service, base, order, &patch);
            }
            peer::MessageContent::Changes(relayed) => self.take_changes(relayed),
        }
    }

    fn note_relay(&self, relayed: Option<u64>) {
        let known = self.mirror.borrow().as_of();
        let mut relay = self.relay.borrow_mut();
        match relayed {
            Some(as_of) => relay.note_beacon(self.now(), as_of, known),
            None => relay.forget(),
        }
    }

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
                heard: now,
                sent: record::RecordVersion::default(),
                known: record::RecordVersion::default(),
                behind_since: None,
            };
            let follower = control.followers.entry(name.to_owned()).or_insert_with(new);
            follower.address = sender;
            follower.heard = now;
        }
        self.send_beacon(service, sender, false);
    }

    pub(super) fn count_instances(&self, service: &str) {
        let now = self.now();
        let count = {
            let mut services = self.services.borrow_mut();
            let Some(control) = services.get_mut(service) else {
                return;
            };
            let alive = |follower: &super::Follower| now < follower.heard + INSTANCE_LIFE;
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
