//! Resource use of single roles of the control cores at a given size.
//!
//! Each function runs one role on a simulated clock and measures the real CPU time
//! that the role takes. What surrounds the role is faked and not measured.

use crate::heap;
use crate::process;
use godwitloom::{controller, election, grant, holder, ids, instance, range};
use godwitloom::{record, renewer, routes, upstream_state, wire};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Duration;

/// Interval of an instance's timer events.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Interval of reports by a renewer about an unchanged upstream.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Instances of the service, from which the controller chooses renewers.
const INSTANCE_COUNT: usize = 16;

const RANGES_PER_UPSTREAM: usize = 4;

/// Ranges of the largest service in the target deployment, whose size is in
/// [`crate::capacity`].
const LARGEST_SERVICE_RANGES: usize = 2400;

/// Instances of the target deployment.
const TARGET_INSTANCES: u32 = 670;

/// Start of the simulated clock.
const CLOCK_ORIGIN: Duration = Duration::from_secs(1000);

/// Simulated time before the measurement starts.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Resource use of one role.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleFigures {
    pub cpu_us_per_s: f64,
    /// Bytes of messages sent, without IP, UDP and TCP headers.
    pub bytes_per_s: f64,
    /// UDP messages sent to upstreams.
    pub datagrams_per_s: f64,
    /// TCP messages sent to other instances.
    pub frames_per_s: f64,
    /// Heap memory, in KiB.
    pub memory_kib: f64,
}

/// Totals while a role runs.
#[derive(Debug, Default)]
struct RoleMeter {
    cpu_time: Duration,
    bytes: usize,
    datagrams: usize,
    frames: usize,
}

impl RoleMeter {
    /// Runs `work` and counts its CPU time.
    fn measure<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let before = process::thread_cpu_time();
        let result = work();
        self.cpu_time += process::thread_cpu_time() - before;
        result
    }

    /// Returns the averages over `duration`; `memory` is in bytes.
    fn figures(&self, duration: Duration, memory: usize) -> RoleFigures {
        let seconds = duration.as_secs_f64();
        RoleFigures {
            cpu_us_per_s: self.cpu_time.as_secs_f64() * 1e6 / seconds,
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

fn topology(upstreams: usize) -> controller::ServiceTopology {
    let spec = |index: usize| upstream_state::UpstreamSpec {
        key: upstream(index),
        zone: format!("zone-{}", index % 5),
        grant_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 20_000 + index as u16)),
        check: holder::FenceCheck::Enforced,
        leaving: false,
    };
    controller::ServiceTopology {
        key: service(),
        upstreams: (0..upstreams).map(spec).collect(),
        ranges_per_upstream: RANGES_PER_UPSTREAM,
    }
}

/// Renews the grants of `size` upstreams, with real datagrams on the loopback interface.
pub fn renewer(size: usize, duration: Duration) -> RoleFigures {
    let before = heap::allocated_bytes();
    let renewer_socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let upstream_socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let renewer_address = renewer_socket.local_addr().expect("bound");
    let upstream_address = upstream_socket.local_addr().expect("bound");
    let me = peer(0);
    let mut table = renewer::RenewerTable::new(me.key);
    for index in 0..size {
        let order = renewer_order(index, &me, upstream_address);
        let controller = peer(1).control;
        table.step(
            CLOCK_ORIGIN,
            renewer::RenewerEvent::Order { controller, order },
        );
    }
    let memory = heap::allocated_bytes().saturating_sub(before);
    let mut holders: Vec<_> = (0..size)
        .map(|index| holder::HolderState::new(upstream(index), 1, holder::FenceCheck::Enforced))
        .collect();
    let mut meter = RoleMeter::default();
    let mut buffer = vec![0; wire::MAX_DATAGRAM_BYTES];
    let mut now = CLOCK_ORIGIN;
    while now < CLOCK_ORIGIN + duration {
        now += TICK_INTERVAL;
        let mut actions = meter.measure(|| table.step(now, renewer::RenewerEvent::Tick));
        // Each upstream sends a heartbeat every 8th tick, once per HEARTBEAT_INTERVAL.
        let phase = now.as_millis() / TICK_INTERVAL.as_millis() % 8;
        for (index, holder) in holders.iter_mut().enumerate() {
            if index as u128 % 8 != phase {
                continue;
            }
            let datagram = wire::encode_heartbeat(&holder.heartbeat(now));
            upstream_socket
                .send_to(&datagram, renewer_address)
                .expect("loopback");
            actions.extend(meter.measure(|| {
                let (length, _) = renewer_socket.recv_from(&mut buffer).expect("loopback");
                let heartbeat = wire::decode_heartbeat(&buffer[..length]).expect("own message");
                table.step(now, renewer::RenewerEvent::Heartbeat(heartbeat))
            }));
            for action in actions.drain(..) {
                let message = meter.measure(|| send(&renewer_socket, &me, action));
                count_message(&mut meter, &message);
                deliver_to_holder(&upstream_socket, &mut buffer, now, holder, &me, message);
            }
        }
    }
    meter.figures(duration, memory)
}

/// Message that a renewer sent, with its encoded length in bytes.
enum SentMessage {
    Datagram(instance::UpstreamMessage, usize),
    Frame(usize),
}

fn renewer_order(
    index: usize,
    me: &record::PeerInfo,
    address: SocketAddr,
) -> renewer::RenewerOrder {
    let ranges = range::KeyRange::split_space(RANGES_PER_UPSTREAM);
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

/// Encodes the message of `action`; sends it if it is a datagram.
fn send(socket: &UdpSocket, me: &record::PeerInfo, action: renewer::RenewerAction) -> SentMessage {
    match instance::InstanceAction::from(action) {
        instance::InstanceAction::ToUpstream { address, message } => {
            let envelope = wire::UpstreamEnvelope {
                from: me.key,
                message,
            };
            let datagram = envelope.encode();
            socket.send_to(&datagram, address).expect("loopback");
            SentMessage::Datagram(envelope.message, datagram.len())
        }
        instance::InstanceAction::ToPeer { message, .. } => {
            SentMessage::Frame(encode_frame(me, message))
        }
        _ => unreachable!("renewers only send messages"),
    }
}

/// Encodes a message to another instance and returns its length in bytes.
fn encode_frame(me: &record::PeerInfo, message: instance::PeerMessage) -> usize {
    let envelope = wire::PeerEnvelope {
        from: me.key,
        address: me.control,
        message,
    };
    envelope.encode().len()
}

fn count_message(meter: &mut RoleMeter, message: &SentMessage) {
    match message {
        SentMessage::Datagram(_, bytes) => {
            meter.datagrams += 1;
            meter.bytes += bytes;
        }
        SentMessage::Frame(bytes) => {
            meter.frames += 1;
            meter.bytes += bytes;
        }
    }
}

/// Receives a sent datagram and gives its message to the upstream's `holder`.
fn deliver_to_holder(
    socket: &UdpSocket,
    buffer: &mut [u8],
    now: Duration,
    holder: &mut holder::HolderState,
    me: &record::PeerInfo,
    message: SentMessage,
) {
    let SentMessage::Datagram(message, _) = message else {
        return;
    };
    socket.recv_from(buffer).expect("loopback");
    match message {
        instance::UpstreamMessage::Subscribe(_) => {}
        instance::UpstreamMessage::Grant(order) => holder.on_grant(now, order),
        instance::UpstreamMessage::Renew(renewal) => holder.on_renewal(me.key, renewal),
    }
}

/// Controls a service of `size` upstreams in a steady state.
pub fn controller(size: usize, duration: Duration) -> RoleFigures {
    let before = heap::allocated_bytes();
    let me = peer(0);
    let topology = topology(size);
    let record = controller::ControllerCore::first_record(&me, &topology, 1);
    let core = controller::ControllerCore::new(CLOCK_ORIGIN, me.clone(), 1, topology, record, 1);
    let mut benchmark = ControllerBenchmark {
        core,
        me,
        meter: RoleMeter::default(),
        reports: vec![None; size * INSTANCE_COUNT],
        size,
        revision: 1,
    };
    benchmark.run(CLOCK_ORIGIN, CLOCK_ORIGIN + SETTLE_TIME);
    let memory = heap::allocated_bytes().saturating_sub(before);
    benchmark.meter = RoleMeter::default();
    benchmark.run(
        CLOCK_ORIGIN + SETTLE_TIME,
        CLOCK_ORIGIN + SETTLE_TIME + duration,
    );
    benchmark.meter.figures(duration, memory)
}

/// Controller with fake renewers, which carry out every order at once.
struct ControllerBenchmark {
    core: controller::ControllerCore,
    me: record::PeerInfo,
    meter: RoleMeter,
    /// Last report of each renewer about each upstream, ordered by renewer.
    reports: Vec<Option<renewer::RenewerReport>>,
    /// Number of upstreams.
    size: usize,
    /// Revision of the assignment record.
    revision: u64,
}

impl ControllerBenchmark {
    fn run(&mut self, from: Duration, to: Duration) {
        let mut now = from;
        let mut next = 0;
        while now < to {
            now += TICK_INTERVAL;
            self.step(now, controller::ControllerEvent::Tick);
            for index in 0..INSTANCE_COUNT {
                self.step(now, controller::ControllerEvent::PeerAlive(peer(index)));
            }
            let ticks_per_report =
                (REPORT_INTERVAL.as_millis() / TICK_INTERVAL.as_millis()) as usize;
            let reports_due = self.reports.len().div_ceil(ticks_per_report);
            for _ in 0..reports_due {
                next = (next + 1) % self.reports.len();
                if let Some(report) = self.reports[next].clone() {
                    self.report(now, next / self.size, report);
                }
            }
        }
    }

    fn report(&mut self, now: Duration, renewer: usize, report: renewer::RenewerReport) {
        let renewer = peer(renewer).key;
        self.step(now, controller::ControllerEvent::Report { renewer, report });
    }

    fn step(&mut self, now: Duration, event: controller::ControllerEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let actions = self.meter.measure(|| self.core.step(now, event));
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
            controller::ControllerAction::Order { renewer, order } => {
                let message = instance::PeerMessage::Order(order.clone());
                let me = &self.me;
                self.meter.bytes += encode_frame(me, message);
                self.meter.frames += 1;
                // The inverse of `peer`, whose ports count from 1000.
                Some(self.carry_out(usize::from(renewer.port() - 1000), order))
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

    /// Returns the report of a renewer that has carried out `order`.
    fn carry_out(
        &mut self,
        renewer: usize,
        order: renewer::RenewerOrder,
    ) -> controller::ControllerEvent {
        // The inverse of `topology`, whose ports count from 20,000.
        let upstream = usize::from(order.address.port() - 20_000);
        let last_report = &mut self.reports[renewer * self.size + upstream];
        let last_set = last_report.as_ref().map(|report| report.set.clone());
        let set = order.set.or(last_set).unwrap_or_default();
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
        *last_report = Some(report.clone());
        let renewer = peer(renewer).key;
        controller::ControllerEvent::Report { renewer, report }
    }
}

/// Answers, as the controller, the queries of `size` followers that have the latest
/// routes.
pub fn followers(size: usize, duration: Duration) -> RoleFigures {
    let before = heap::allocated_bytes();
    let me = peer(0);
    let mut core = election::ElectionCore::new(CLOCK_ORIGIN, me.clone(), service());
    core.step(CLOCK_ORIGIN, election::ElectionEvent::Topology(topology(1)));
    core.step(
        CLOCK_ORIGIN,
        election::ElectionEvent::RecordRead(election::ReadResult::Absent),
    );
    let written = controller::WriteResult::Written { revision: 1 };
    let written = controller::ControllerEvent::RecordWritten(written);
    core.step(CLOCK_ORIGIN, election::ElectionEvent::Controller(written));
    let mut meter = RoleMeter::default();
    let mut memory = 0;
    let mut queries_sent = 0.0;
    let mut now = CLOCK_ORIGIN;
    let interval = controller::query_interval(size);
    while now < CLOCK_ORIGIN + SETTLE_TIME + duration {
        now += TICK_INTERVAL;
        if now == CLOCK_ORIGIN + SETTLE_TIME {
            meter = RoleMeter::default();
            memory = heap::allocated_bytes().saturating_sub(before);
        }
        let queries_due = size as f64 * (now - CLOCK_ORIGIN).as_secs_f64() / interval.as_secs_f64();
        while queries_sent < queries_due {
            let query = routes::RouteQuery {
                service: service(),
                from: peer(1 + queries_sent as usize % size),
                term: 1,
                digest: core.table().digest(),
            };
            queries_sent += 1.0;
            let actions = meter.measure(|| core.step(now, election::ElectionEvent::Query(query)));
            for action in actions {
                if let election::ElectionAction::Update { update, .. } = action {
                    let message = instance::PeerMessage::Update(update);
                    let bytes = meter.measure(|| encode_frame(&me, message));
                    meter.bytes += bytes;
                    meter.frames += 1;
                }
            }
        }
    }
    meter.figures(duration, memory)
}

/// Follows `size` services, each with the ranges of the largest service in the target
/// deployment.
pub fn follower(size: usize, duration: Duration) -> RoleFigures {
    let before = heap::allocated_bytes();
    let me = peer(0);
    let mut core = instance::InstanceCore::new(me.clone());
    let services: Vec<_> = (0..size)
        .map(|index| ids::ServiceKey::derive("team", &format!("service-{index}")))
        .collect();
    for service in &services {
        let topology = controller::ServiceTopology {
            key: *service,
            ..topology(1)
        };
        core.step(CLOCK_ORIGIN, instance::InstanceEvent::Topology(topology));
        send_update(&mut core, CLOCK_ORIGIN, *service, LARGEST_SERVICE_RANGES);
    }
    let memory = heap::allocated_bytes().saturating_sub(before);
    let mut meter = RoleMeter::default();
    let mut now = CLOCK_ORIGIN;
    while now < CLOCK_ORIGIN + duration {
        now += TICK_INTERVAL;
        let actions = meter.measure(|| core.step(now, instance::InstanceEvent::Tick));
        for action in actions {
            let instance::InstanceAction::ToPeer { message, .. } = action else {
                continue;
            };
            if let instance::PeerMessage::Query(query) = &message {
                let service = query.service;
                meter.measure(|| send_update(&mut core, now, service, 0));
            }
            meter.bytes += meter.measure(|| encode_frame(&me, message));
            meter.frames += 1;
        }
    }
    meter.figures(duration, memory)
}

/// Sends a follower an update with the first `ranges` routes of a service.
fn send_update(
    core: &mut instance::InstanceCore,
    now: Duration,
    service: ids::ServiceKey,
    ranges: usize,
) {
    let version = grant::GrantGeneration {
        term: 1,
        counter: 1,
    };
    let entries = range::KeyRange::split_space(LARGEST_SERVICE_RANGES).into_iter();
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

/// Returns the calls to the metadata store in a steady state, per second.
///
/// Each instance always has one watch of the configuration open and repeats it every
/// 20 s; assignment records are written only when something changes.
pub fn store_calls_per_s(instances: f64, services: f64) -> f64 {
    const WATCH_WAIT_SECONDS: f64 = 20.0;
    /// Writes of one service's assignment record.
    const RECORD_WRITES_PER_DAY: f64 = 1500.0;
    const SECONDS_PER_DAY: f64 = 86_400.0;
    instances / WATCH_WAIT_SECONDS + services * RECORD_WRITES_PER_DAY / SECONDS_PER_DAY
}
