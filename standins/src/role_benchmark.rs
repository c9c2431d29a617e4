//! Loads on single roles of the control cores, at a given size.

use crate::heap;
use crate::process;
use godwitloom::{controller, election, grant, holder, ids, instance, range};
use godwitloom::{record, renewer, routes, upstream_state, wire};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Duration;

/// Interval of an instance's timer.
const TICK: Duration = Duration::from_millis(25);

/// Interval of unchanged reports of a keeper about a server.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Instances among which keepers are chosen.
const PEERS: usize = 16;

/// Ranges per server.
const RANGES_PER_SERVER: usize = 4;

/// Ranges of one service of the target's largest size.
const LARGEST_RANGES: usize = 2400;

/// Instances of the target.
const TARGET_INSTANCES: u32 = 670;

/// Origin of the simulated clock.
const ORIGIN: Duration = Duration::from_secs(1000);

/// Simulated time before measuring starts.
const SETTLE: Duration = Duration::from_secs(5);

/// What one role used, per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleFigures {
    pub cpu_us_per_s: f64,
    /// Bytes of content sent.
    pub bytes_per_s: f64,
    pub datagrams_per_s: f64,
    pub frames_per_s: f64,
    pub memory_kib: f64,
}

/// Sums up while a role runs.
#[derive(Debug, Default)]
struct RoleMeter {
    cpu: Duration,
    bytes: usize,
    datagrams: usize,
    frames: usize,
}

impl RoleMeter {
    /// Counts the processor time of `work`.
    fn time<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let before = process::thread_time();
        let result = work();
        self.cpu += process::thread_time() - before;
        result
    }

    fn figures(&self, time: Duration, memory: usize) -> RoleFigures {
        let seconds = time.as_secs_f64();
        RoleFigures {
            cpu_us_per_s: self.cpu.as_secs_f64() * 1e6 / seconds,
            bytes_per_s: self.bytes as f64 / seconds,
            datagrams_per_s: self.datagrams as f64 / seconds,
            frames_per_s: self.frames as f64 / seconds,
            memory_kib: memory as f64 / 1024.0,
        }
    }
}

fn peer(index: usize) -> record::PeerInfo {
    let id = format!("instance-{index}");
    record::PeerInfo {
        key: ids::InstanceKey::derive(&id, 0),
        id,
        zone: format!("zone-{}", index % 5),
        control: SocketAddr::from((Ipv4Addr::LOCALHOST, 1000 + index as u16)),
    }
}

fn service() -> ids::ServiceKey {
    ids::ServiceKey::derive("team", "service")
}

fn upstream(index: usize) -> ids::UpstreamKey {
    ids::UpstreamKey::derive("team", "service", &format!("upstream-{index}"))
}

fn plan(servers: usize) -> controller::ServiceTopology {
    let server = |index: usize| upstream_state::UpstreamSpec {
        key: upstream(index),
        zone: format!("zone-{}", index % 5),
        grant_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 20_000 + index as u16)),
        check: holder::FenceCheck::Enforced,
        leaving: false,
    };
    controller::ServiceTopology {
        key: service(),
        upstreams: (0..servers).map(server).collect(),
        ranges_per_upstream: RANGES_PER_SERVER,
    }
}

/// Renews `size` servers, with real datagrams on the loopback.
pub fn keeper(size: usize, time: Duration) -> RoleFigures {
    let before = heap::held_bytes();
    let own = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let other = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let own_address = own.local_addr().expect("bound");
    let other_address = other.local_addr().expect("bound");
    let me = peer(0);
    let mut table = renewer::RenewerTable::new(me.key);
    for index in 0..size {
        let order = keeper_order(index, &me, other_address);
        let controller = peer(1).control;
        table.step(ORIGIN, renewer::RenewerEvent::Order { controller, order });
    }
    let memory = heap::held_bytes().saturating_sub(before);
    let mut holders: Vec<_> = (0..size)
        .map(|index| holder::HolderState::new(upstream(index), 1, holder::FenceCheck::Enforced))
        .collect();
    let mut meter = RoleMeter::default();
    let mut buffer = vec![0; wire::MAX_DATAGRAM_BYTES];
    let mut now = ORIGIN;
    while now < ORIGIN + time {
        now += TICK;
        let mut actions = meter.time(|| table.step(now, renewer::RenewerEvent::Tick));
        let phase = now.as_millis() / TICK.as_millis() % 8;
        for (index, holder) in holders.iter_mut().enumerate() {
            if index as u128 % 8 != phase {
                continue;
            }
            let datagram = wire::encode_heartbeat(&holder.heartbeat(now));
            other.send_to(&datagram, own_address).expect("loopback");
            actions.extend(meter.time(|| {
                let (length, _) = own.recv_from(&mut buffer).expect("loopback");
                let heartbeat = wire::decode_heartbeat(&buffer[..length]).expect("own message");
                table.step(now, renewer::RenewerEvent::Heartbeat(heartbeat))
            }));
            for action in actions.drain(..) {
                let message = meter.time(|| perform(&own, &me, action));
                meter_keeper(&mut meter, &message);
                answer_holder(&other, &mut buffer, now, holder, &me, message);
            }
        }
    }
    meter.figures(time, memory)
}

enum KeeperOutput {
    Datagram(instance::UpstreamMessage, usize),
    Frame(usize),
}

fn keeper_order(index: usize, me: &record::PeerInfo, address: SocketAddr) -> renewer::RenewerOrder {
    let ranges = range::KeyRange::split_space(RANGES_PER_SERVER);
    renewer::RenewerOrder {
        service: service(),
        upstream: upstream(index),
        address,
        term: 1,
        set: Some(grant::GrantSet {
            generation: grant::GrantGeneration {
                term: 1,
                counter: index as u32 + 1,
            },
            incarnation: 1,
            renewers: [me.key, peer(1).key].into_iter().collect(),
            ranges,
        }),
        revoke: None,
    }
}

fn perform(
    socket: &UdpSocket,
    me: &record::PeerInfo,
    action: renewer::RenewerAction,
) -> KeeperOutput {
    match instance::InstanceAction::from(action) {
        instance::InstanceAction::ToUpstream { address, message } => {
            let envelope = wire::UpstreamEnvelope {
                from: me.key,
                message,
            };
            let datagram = envelope.encode();
            socket.send_to(&datagram, address).expect("loopback");
            KeeperOutput::Datagram(envelope.message, datagram.len())
        }
        instance::InstanceAction::ToPeer { message, .. } => {
            KeeperOutput::Frame(encode_frame(me, message))
        }
        _ => unreachable!("keepers only send"),
    }
}

fn encode_frame(me: &record::PeerInfo, message: instance::PeerMessage) -> usize {
    let envelope = wire::PeerEnvelope {
        from: me.key,
        address: me.control,
        message,
    };
    envelope.encode().len()
}

fn meter_keeper(meter: &mut RoleMeter, output: &KeeperOutput) {
    match output {
        KeeperOutput::Datagram(_, bytes) => {
            meter.datagrams += 1;
            meter.bytes += bytes;
        }
        KeeperOutput::Frame(bytes) => {
            meter.frames += 1;
            meter.bytes += bytes;
        }
    }
}

fn answer_holder(
    socket: &UdpSocket,
    buffer: &mut [u8],
    now: Duration,
    holder: &mut holder::HolderState,
    me: &record::PeerInfo,
    output: KeeperOutput,
) {
    let KeeperOutput::Datagram(message, _) = output else {
        return;
    };
    socket.recv_from(buffer).expect("loopback");
    match message {
        instance::UpstreamMessage::Subscribe(_) => {}
        instance::UpstreamMessage::Grant(order) => holder.on_grant(now, order),
        instance::UpstreamMessage::Renew(renewal) => holder.on_renewal(me.key, renewal),
    }
}

/// Controls a service of `size` servers in a steady state.
pub fn controller(size: usize, time: Duration) -> RoleFigures {
    let before = heap::held_bytes();
    let me = peer(0);
    let plan = plan(size);
    let first = controller::ControllerCore::first_record(&me, &plan, 1);
    let core = controller::ControllerCore::new(ORIGIN, me.clone(), 1, plan, first, 1);
    let mut site = ControllerSite {
        core,
        me,
        meter: RoleMeter::default(),
        reports: vec![None; size * PEERS],
        size,
        revision: 1,
    };
    site.run(ORIGIN, ORIGIN + SETTLE);
    let memory = heap::held_bytes().saturating_sub(before);
    site.meter = RoleMeter::default();
    site.run(ORIGIN + SETTLE, ORIGIN + SETTLE + time);
    site.meter.figures(time, memory)
}

/// A controller among keepers that do as they are told.
struct ControllerSite {
    core: controller::ControllerCore,
    me: record::PeerInfo,
    meter: RoleMeter,
    /// Last report of each keeper about each server.
    reports: Vec<Option<renewer::RenewerReport>>,
    size: usize,
    revision: u64,
}

impl ControllerSite {
    fn run(&mut self, from: Duration, to: Duration) {
        let mut now = from;
        let mut cursor = 0;
        while now < to {
            now += TICK;
            self.step(now, controller::ControllerEvent::Tick);
            for index in 0..PEERS {
                self.step(now, controller::ControllerEvent::PeerAlive(peer(index)));
            }
            let slots = (REPORT_INTERVAL.as_millis() / TICK.as_millis()) as usize;
            let due = self.reports.len().div_ceil(slots);
            for _ in 0..due {
                cursor = (cursor + 1) % self.reports.len();
                if let Some(report) = self.reports[cursor].clone() {
                    self.report(now, cursor / self.size, report);
                }
            }
        }
    }

    fn report(&mut self, now: Duration, keeper: usize, report: renewer::RenewerReport) {
        let keeper = peer(keeper).key;
        self.step(
            now,
            controller::ControllerEvent::Report {
                renewer: keeper,
                report,
            },
        );
    }

    fn step(&mut self, now: Duration, event: controller::ControllerEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let actions = self.meter.time(|| self.core.step(now, event));
            for action in actions {
                events.extend(self.perform(action));
            }
        }
    }

    fn perform(
        &mut self,
        action: controller::ControllerAction,
    ) -> Option<controller::ControllerEvent> {
        match action {
            controller::ControllerAction::Order {
                renewer: keeper,
                order,
            } => {
                let message = instance::PeerMessage::Order(order.clone());
                let me = &self.me;
                self.meter.bytes += encode_frame(me, message);
                self.meter.frames += 1;
                Some(self.obey(usize::from(keeper.port() - 1000), order))
            }
            controller::ControllerAction::WriteRecord { .. } => {
                self.revision += 1;
                let revision = self.revision;
                let result = controller::WriteResult::Written { revision };
                Some(controller::ControllerEvent::RecordWritten(result))
            }
            _ => None,
        }
    }

    fn obey(&mut self, keeper: usize, order: renewer::RenewerOrder) -> controller::ControllerEvent {
        let index = usize::from(order.address.port() - 20_000);
        let slot = &mut self.reports[keeper * self.size + index];
        let old = slot.as_ref().map(|report| report.set.clone());
        let set = order.set.or(old).unwrap_or_default();
        let report = renewer::RenewerReport {
            service: order.service,
            upstream: order.upstream,
            term: order.term,
            revoked_up_to: order.revoke.unwrap_or_default(),
            renewed_ago: None,
            silence: Duration::from_millis(10),
            heartbeat: Some(renewer::HeartbeatSummary {
                incarnation: 1,
                accepted: set.generation,
                settled: true,
                releasing: false,
                leaving: false,
                missing_renewer: None,
            }),
            set,
        };
        *slot = Some(report.clone());
        let keeper = peer(keeper).key;
        controller::ControllerEvent::Report {
            renewer: keeper,
            report,
        }
    }
}

/// Answers the queries of `size` followers that have the newest routes.
pub fn followers(size: usize, time: Duration) -> RoleFigures {
    let before = heap::held_bytes();
    let me = peer(0);
    let mut lead = election::ElectionCore::new(ORIGIN, me.clone(), service());
    lead.step(ORIGIN, election::ElectionEvent::Topology(plan(1)));
    lead.step(
        ORIGIN,
        election::ElectionEvent::RecordRead(election::ReadResult::Absent),
    );
    let written = controller::WriteResult::Written { revision: 1 };
    let written = controller::ControllerEvent::RecordWritten(written);
    lead.step(ORIGIN, election::ElectionEvent::Controller(written));
    let mut meter = RoleMeter::default();
    let mut memory = 0;
    let mut asked = 0.0;
    let mut now = ORIGIN;
    let interval = controller::query_interval(size);
    while now < ORIGIN + SETTLE + time {
        now += TICK;
        if now == ORIGIN + SETTLE {
            meter = RoleMeter::default();
            memory = heap::held_bytes().saturating_sub(before);
        }
        let due = size as f64 * (now - ORIGIN).as_secs_f64() / interval.as_secs_f64();
        while asked < due {
            let query = routes::RouteQuery {
                service: service(),
                from: peer(1 + asked as usize % size),
                term: 1,
                digest: lead.table().digest(),
            };
            asked += 1.0;
            let actions = meter.time(|| lead.step(now, election::ElectionEvent::Query(query)));
            for action in actions {
                if let election::ElectionAction::Update { update, .. } = action {
                    let message = instance::PeerMessage::Update(update);
                    let bytes = meter.time(|| encode_frame(&me, message));
                    meter.bytes += bytes;
                    meter.frames += 1;
                }
            }
        }
    }
    meter.figures(time, memory)
}

/// Follows `size` services of the target's largest size.
pub fn follower(size: usize, time: Duration) -> RoleFigures {
    let before = heap::held_bytes();
    let me = peer(0);
    let mut core = instance::InstanceCore::new(me.clone());
    let services: Vec<_> = (0..size)
        .map(|index| ids::ServiceKey::derive("team", &format!("service-{index}")))
        .collect();
    for service in &services {
        let plan = controller::ServiceTopology {
            key: *service,
            ..plan(1)
        };
        core.step(ORIGIN, instance::InstanceEvent::Topology(plan));
        update(&mut core, ORIGIN, *service, LARGEST_RANGES);
    }
    let memory = heap::held_bytes().saturating_sub(before);
    let mut meter = RoleMeter::default();
    let mut now = ORIGIN;
    while now < ORIGIN + time {
        now += TICK;
        let actions = meter.time(|| core.step(now, instance::InstanceEvent::Tick));
        for action in actions {
            let instance::InstanceAction::ToPeer { message, .. } = action else {
                continue;
            };
            if let instance::PeerMessage::Query(query) = &message {
                let asked = query.service;
                meter.time(|| update(&mut core, now, asked, 0));
            }
            meter.bytes += meter.time(|| encode_frame(&me, message));
            meter.frames += 1;
        }
    }
    meter.figures(time, memory)
}

/// Gives a follower an update with the first `ranges` routes.
fn update(
    core: &mut instance::InstanceCore,
    now: Duration,
    service: ids::ServiceKey,
    ranges: usize,
) {
    let version = grant::GrantGeneration {
        term: 1,
        counter: 1,
    };
    let entries = range::KeyRange::split_space(LARGEST_RANGES).into_iter();
    let entries = entries.take(ranges).map(|range| routes::RouteEntry {
        range,
        owner: Some(upstream(0)),
        version,
    });
    let update = routes::RouteUpdate {
        service,
        term: 1,
        pair: Some(routes::ControllerPair {
            controller: peer(1),
            standby: Some(peer(2)),
        }),
        leading: true,
        followers: TARGET_INSTANCES,
        entries: entries.collect(),
    };
    let event = instance::InstanceEvent::Peer {
        from: peer(1).key,
        address: peer(1).control,
        message: instance::PeerMessage::Update(update),
    };
    core.step(now, event);
}

/// Returns the calls to the platform's service in a steady state, per second.
///
/// Each instance keeps one watch of the configuration waiting and renews it
/// every 20 s; records are written only when something changes.
pub fn service_calls_per_s(instances: f64, services: f64) -> f64 {
    const WATCH_SECONDS: f64 = 20.0;
    const RECORD_WRITES_PER_DAY: f64 = 1500.0;
    const SECONDS_PER_DAY: f64 = 86_400.0;
    instances / WATCH_SECONDS + services * RECORD_WRITES_PER_DAY / SECONDS_PER_DAY
}
