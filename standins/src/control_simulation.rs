//! Simulation of the control core, with fakes at its interfaces.
//!
//! A [`ControlSimulation`] runs the control cores of a few instances, the
//! [`holder::HolderState`] of a few upstreams and a fake metadata store, and passes
//! messages between them on one simulated clock. All random choices derive from one
//! seed.

use godwitloom::{
    controller, election, grant, holder, ids, instance, range, record, upstream_state,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Resolution of the simulated clock.
const CLOCK_STEP: Duration = Duration::from_millis(5);

/// Interval of the instances' timer events.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Most messages in transit; with more, the cores must be sending without limit.
const MAX_IN_TRANSIT: usize = 20_000;

/// Clock reading of each process at the start; its machine has been up for a while.
const CLOCK_ORIGIN: Duration = Duration::from_secs(1000);

const INSTANCE_PORT: u16 = 1000;
const UPSTREAM_PORT: u16 = 2000;

/// Size and faults of a [`ControlSimulation`].
#[derive(Clone, Copy, Debug)]
pub struct SimulationOptions {
    pub instances: usize,
    pub upstreams: usize,
    pub ranges_per_upstream: usize,
    pub zones: usize,
    /// Messages lost in transit, per thousand.
    pub loss_permille: u32,
    pub check: holder::FenceCheck,
    pub seed: u64,
}

impl Default for SimulationOptions {
    fn default() -> SimulationOptions {
        SimulationOptions {
            instances: 5,
            upstreams: 6,
            ranges_per_upstream: 2,
            zones: 3,
            loss_permille: 0,
            check: holder::FenceCheck::Enforced,
            seed: 1,
        }
    }
}

/// Process that messages pass between and faults apply to, by its index.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Process {
    Instance(usize),
    Upstream(usize),
}

/// Behaviour of the fake metadata store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreMode {
    Up,
    Down,
    /// Writes take effect, but their responses are lost.
    LosesResponses,
}

#[derive(Debug)]
struct Instance {
    core: instance::InstanceCore,
    restarts: u64,
    alive: bool,
    suspended: bool,
    next_tick: Duration,
    store_partitioned: bool,
}

#[derive(Debug)]
struct Upstream {
    holder: holder::HolderState,
    subscribers: holder::SubscriberList<SocketAddr>,
    restarts: u64,
    alive: bool,
    suspended: bool,
    next_heartbeat: Duration,
    /// How much faster the upstream's clock runs than simulated time, in parts per
    /// million.
    clock_drift_ppm: i64,
}

#[derive(Clone, Debug)]
enum Packet {
    ToPeer {
        from: ids::InstanceKey,
        address: SocketAddr,
        message: instance::PeerMessage,
    },
    ToUpstream {
        from: ids::InstanceKey,
        address: SocketAddr,
        message: instance::UpstreamMessage,
    },
    Heartbeat(holder::Heartbeat),
    ReadRecord,
    WriteRecord {
        record: Box<record::AssignmentRecord>,
        revision: u64,
    },
    RecordRead(election::ReadResult),
    RecordWritten(controller::WriteResult),
}

/// Message in transit; `None` as sender or receiver is the store.
#[derive(Clone, Debug)]
struct Delivery {
    from: Option<Process>,
    to: Option<Process>,
    packet: Packet,
}

/// Messages sent and store calls handled so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficCounters {
    pub store_reads: u64,
    pub store_writes: u64,
    pub peer_messages: u64,
    pub upstream_messages: u64,
    pub heartbeats: u64,
}

/// Moment at which two upstreams owned one key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Overlap {
    pub at: Duration,
    /// First key hash of the range.
    pub hash: u64,
    pub upstreams: (usize, usize),
}

/// Simulated instances, upstreams and metadata store of one service.
#[derive(Debug)]
pub struct ControlSimulation {
    pub options: SimulationOptions,
    pub now: Duration,
    pub counters: TrafficCounters,
    pub overlaps: Vec<Overlap>,
    service: ids::ServiceKey,
    topology: controller::ServiceTopology,
    instances: Vec<Instance>,
    upstreams: Vec<Upstream>,
    /// Senders and receivers between which messages are dropped.
    partitions: BTreeSet<(Process, Process)>,
    /// Ordered by delivery time, then in the order of sending.
    in_transit: BTreeMap<(Duration, u64), Delivery>,
    sent: u64,
    /// Messages to suspended processes, delivered when they resume.
    deferred: HashMap<Process, Vec<Delivery>>,
    /// Encoded record and its revision.
    store: Option<(String, u64)>,
    store_mode: StoreMode,
    random: fastrand::Rng,
    /// Start of the present gap of each range, by the range's first key hash.
    gap_starts: HashMap<u64, Duration>,
    /// Longest gap of each range since [`ControlSimulation::clear_gaps`].
    ///
    /// A gap is a time in which a range has no owner, or only suspended ones.
    pub gaps: HashMap<u64, Duration>,
}

fn instance_address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, INSTANCE_PORT + index as u16))
}

fn upstream_address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, UPSTREAM_PORT + index as u16))
}

fn process_at(address: SocketAddr) -> Process {
    let port = address.port();
    if port >= UPSTREAM_PORT {
        return Process::Upstream(usize::from(port - UPSTREAM_PORT));
    }
    Process::Instance(usize::from(port - INSTANCE_PORT))
}

fn upstream_key(index: usize) -> ids::UpstreamKey {
    ids::UpstreamKey::derive("team", "service", &format!("u{index}"))
}

impl ControlSimulation {
    /// Creates a simulation whose processes have just started.
    pub fn new(options: SimulationOptions) -> ControlSimulation {
        let service = ids::ServiceKey::derive("team", "service");
        let spec = |index: usize| upstream_state::UpstreamSpec {
            key: upstream_key(index),
            zone: format!("z{}", index % options.zones),
            grant_address: upstream_address(index),
            check: options.check,
            leaving: false,
        };
        let mut simulation = ControlSimulation {
            options,
            now: Duration::ZERO,
            counters: TrafficCounters::default(),
            overlaps: Vec::new(),
            service,
            topology: controller::ServiceTopology {
                key: service,
                upstreams: (0..options.upstreams).map(spec).collect(),
                ranges_per_upstream: options.ranges_per_upstream,
            },
            instances: Vec::new(),
            upstreams: Vec::new(),
            partitions: BTreeSet::new(),
            in_transit: BTreeMap::new(),
            sent: 0,
            deferred: HashMap::new(),
            store: None,
            store_mode: StoreMode::Up,
            random: fastrand::Rng::with_seed(options.seed),
            gap_starts: HashMap::new(),
            gaps: HashMap::new(),
        };
        for index in 0..options.instances {
            let instance = simulation.new_instance(index, 0);
            simulation.instances.push(instance);
            simulation.step_core(
                index,
                instance::InstanceEvent::Topology(simulation.topology.clone()),
            );
        }
        for index in 0..options.upstreams {
            let upstream = simulation.new_upstream(index, 0);
            simulation.upstreams.push(upstream);
        }
        simulation
    }

    fn new_instance(&mut self, index: usize, restarts: u64) -> Instance {
        let id = format!("i{index}");
        let me = record::PeerInfo {
            key: ids::InstanceKey::derive(&id, restarts),
            id,
            zone: format!("z{}", index % self.options.zones),
            control: instance_address(index),
        };
        Instance {
            core: instance::InstanceCore::new(me),
            restarts,
            alive: true,
            suspended: false,
            next_tick: self.now + Duration::from_millis(self.random.u64(0..25)),
            store_partitioned: false,
        }
    }

    fn new_upstream(&mut self, index: usize, restarts: u64) -> Upstream {
        let incarnation = self.random.u64(1..);
        Upstream {
            holder: holder::HolderState::new(upstream_key(index), incarnation, self.options.check),
            subscribers: holder::SubscriberList::new(),
            restarts,
            alive: true,
            suspended: false,
            next_heartbeat: self.now + Duration::from_millis(self.random.u64(0..200)),
            clock_drift_ppm: [0, 1000, -1000][index % 3],
        }
    }

    fn instance_now(&self) -> Duration {
        CLOCK_ORIGIN + self.now
    }

    fn upstream_now(&self, index: usize) -> Duration {
        let micros = self.now.as_micros() as i64;
        let local = micros + micros * self.upstreams[index].clock_drift_ppm / 1_000_000;
        CLOCK_ORIGIN + Duration::from_micros(local as u64)
    }

    /// Ends a process at once; it stays down until it is restarted.
    pub fn kill(&mut self, process: Process) {
        match process {
            Process::Instance(index) => self.instances[index].alive = false,
            Process::Upstream(index) => self.upstreams[index].alive = false,
        }
        self.deferred.remove(&process);
    }

    /// Starts a new run of a process, in place of the present one if it is alive.
    pub fn restart(&mut self, process: Process) {
        self.deferred.remove(&process);
        match process {
            Process::Instance(index) => {
                let restarts = self.instances[index].restarts + 1;
                self.instances[index] = self.new_instance(index, restarts);
                self.step_core(
                    index,
                    instance::InstanceEvent::Topology(self.topology.clone()),
                );
            }
            Process::Upstream(index) => {
                let restarts = self.upstreams[index].restarts + 1;
                self.upstreams[index] = self.new_upstream(index, restarts);
            }
        }
    }

    /// Suspends a process; messages to it are deferred.
    pub fn suspend(&mut self, process: Process) {
        match process {
            Process::Instance(index) => self.instances[index].suspended = true,
            Process::Upstream(index) => self.upstreams[index].suspended = true,
        }
    }

    /// Resumes a suspended process and delivers its deferred messages.
    pub fn resume(&mut self, process: Process) {
        match process {
            Process::Instance(index) => self.instances[index].suspended = false,
            Process::Upstream(index) => self.upstreams[index].suspended = false,
        }
        for delivery in self.deferred.remove(&process).unwrap_or_default() {
            self.deliver(delivery);
        }
    }

    /// Drops all messages between two processes, both ways.
    pub fn partition(&mut self, one: Process, other: Process) {
        self.partitions.insert((one, other));
        self.partitions.insert((other, one));
    }

    /// Makes all store calls of an instance fail.
    pub fn partition_from_store(&mut self, instance: usize) {
        self.instances[instance].store_partitioned = true;
    }

    /// Ends all partitions, also those from the store.
    pub fn heal_partitions(&mut self) {
        self.partitions.clear();
        for instance in &mut self.instances {
            instance.store_partitioned = false;
        }
    }

    /// Ends every fault but message loss; killed processes are restarted.
    pub fn end_faults(&mut self) {
        self.heal_partitions();
        self.set_store_mode(StoreMode::Up);
        for index in 0..self.instances.len() {
            self.end_faults_at(Process::Instance(index), self.instances[index].alive);
        }
        for index in 0..self.upstreams.len() {
            self.end_faults_at(Process::Upstream(index), self.upstreams[index].alive);
            self.set_leaving(index, false);
        }
    }

    fn end_faults_at(&mut self, process: Process, alive: bool) {
        self.resume(process);
        if !alive {
            self.restart(process);
        }
    }

    pub fn set_store_mode(&mut self, mode: StoreMode) {
        self.store_mode = mode;
    }

    /// Declares to all instances whether an upstream is leaving.
    pub fn set_leaving(&mut self, index: usize, leaving: bool) {
        self.topology.upstreams[index].leaving = leaving;
        for instance in 0..self.instances.len() {
            self.step_core(
                instance,
                instance::InstanceEvent::Topology(self.topology.clone()),
            );
        }
    }

    /// Reports to all instances that the current run of `instance` has ended.
    pub fn report_run_ended(&mut self, instance: usize) {
        let key = self.instances[instance].core.me().key;
        for index in 0..self.instances.len() {
            self.step_core(index, instance::InstanceEvent::RunEnded(key));
        }
    }

    /// Advances the simulated clock by `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += CLOCK_STEP;
            self.deliver_due();
            self.send_heartbeats();
            self.tick_instances();
            self.record_ownership();
        }
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.in_transit.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let delivery = entry.remove();
            self.deliver(delivery);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery.to {
            Some(process) if self.is_suspended(process) => {
                self.deferred.entry(process).or_default().push(delivery);
            }
            Some(Process::Instance(index)) => self.deliver_instance(index, delivery.packet),
            Some(Process::Upstream(index)) => self.deliver_upstream(index, delivery.packet),
            None => self.handle_store_call(delivery),
        }
    }

    fn is_suspended(&self, process: Process) -> bool {
        match process {
            Process::Instance(index) => self.instances[index].suspended,
            Process::Upstream(index) => self.upstreams[index].suspended,
        }
    }

    fn deliver_instance(&mut self, index: usize, packet: Packet) {
        let service = self.service;
        let event = match packet {
            Packet::ToPeer {
                from,
                address,
                message,
            } => instance::InstanceEvent::Peer {
                from,
                address,
                message,
            },
            Packet::Heartbeat(heartbeat) => instance::InstanceEvent::Heartbeat(heartbeat),
            Packet::RecordRead(result) => instance::InstanceEvent::RecordRead { service, result },
            Packet::RecordWritten(result) => {
                instance::InstanceEvent::RecordWritten { service, result }
            }
            _ => return,
        };
        self.step_core(index, event);
    }

    fn step_core(&mut self, index: usize, event: instance::InstanceEvent) {
        if !self.instances[index].alive {
            return;
        }
        let now = self.instance_now();
        let actions = self.instances[index].core.step(now, event);
        for action in actions {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: instance::InstanceAction) {
        let from = self.instances[index].core.me().key;
        let own_address = instance_address(index);
        let process = Process::Instance(index);
        match action {
            instance::InstanceAction::ToPeer { address, message } => {
                self.counters.peer_messages += 1;
                let packet = Packet::ToPeer {
                    from,
                    address: own_address,
                    message,
                };
                self.send(process, Some(process_at(address)), packet);
            }
            instance::InstanceAction::ToUpstream { address, message } => {
                self.counters.upstream_messages += 1;
                let packet = Packet::ToUpstream {
                    from,
                    address: own_address,
                    message,
                };
                self.send(process, Some(process_at(address)), packet);
            }
            instance::InstanceAction::ReadRecord { .. } => {
                self.send(process, None, Packet::ReadRecord)
            }
            instance::InstanceAction::WriteRecord {
                record, revision, ..
            } => self.send(process, None, Packet::WriteRecord { record, revision }),
            instance::InstanceAction::RoutesChanged { .. }
            | instance::InstanceAction::RoleChanged { .. } => {}
        }
    }

    fn send(&mut self, from: Process, to: Option<Process>, packet: Packet) {
        let lost = self.random.u32(0..1000) < self.options.loss_permille;
        if let Some(to) = to
            && (lost || self.partitions.contains(&(from, to)))
        {
            return;
        }
        let delay = Duration::from_micros(self.random.u64(300..4000));
        self.enqueue(Some(from), to, packet, delay);
    }

    fn enqueue(
        &mut self,
        from: Option<Process>,
        to: Option<Process>,
        packet: Packet,
        delay: Duration,
    ) {
        self.sent += 1;
        let in_transit = self.in_transit.len();
        assert!(
            in_transit < MAX_IN_TRANSIT,
            "{in_transit} messages in transit: cores send without limit\n{}",
            self.describe()
        );
        let delivery = Delivery { from, to, packet };
        self.in_transit
            .insert((self.now + delay, self.sent), delivery);
    }

    fn handle_store_call(&mut self, delivery: Delivery) {
        let Some(Process::Instance(index)) = delivery.from else {
            return;
        };
        let reachable =
            !self.instances[index].store_partitioned && self.store_mode != StoreMode::Down;
        let response = match delivery.packet {
            Packet::ReadRecord => Packet::RecordRead(self.read_store(reachable)),
            Packet::WriteRecord { record, revision } => {
                Packet::RecordWritten(self.write_store(reachable, *record, revision))
            }
            _ => return,
        };
        let delay = Duration::from_millis(self.random.u64(1..6));
        self.enqueue(None, delivery.from, response, delay);
    }

    fn read_store(&mut self, reachable: bool) -> election::ReadResult {
        self.counters.store_reads += 1;
        if !reachable {
            return election::ReadResult::Failed;
        }
        match &self.store {
            None => election::ReadResult::Absent,
            Some((text, revision)) => election::ReadResult::Found {
                record: Box::new(
                    record::AssignmentRecord::from_json(text)
                        .expect("the store holds only encoded records"),
                ),
                revision: *revision,
            },
        }
    }

    fn write_store(
        &mut self,
        reachable: bool,
        record: record::AssignmentRecord,
        revision: u64,
    ) -> controller::WriteResult {
        self.counters.store_writes += 1;
        if !reachable {
            return controller::WriteResult::Unknown;
        }
        let current = self.store.as_ref().map_or(0, |(_, revision)| *revision);
        if current != revision {
            let (text, revision) = self
                .store
                .as_ref()
                .expect("only a stored record has a revision");
            let record = record::AssignmentRecord::from_json(text)
                .expect("the store holds only encoded records");
            return controller::WriteResult::Conflict {
                record: Box::new(record),
                revision: *revision,
            };
        }
        self.store = Some((record.to_json(), current + 1));
        if self.store_mode == StoreMode::LosesResponses {
            return controller::WriteResult::Unknown;
        }
        controller::WriteResult::Written {
            revision: current + 1,
        }
    }

    fn deliver_upstream(&mut self, index: usize, packet: Packet) {
        let now = self.upstream_now(index);
        let upstream = &mut self.upstreams[index];
        let Packet::ToUpstream {
            from,
            address,
            message,
        } = packet
        else {
            return;
        };
        if !upstream.alive {
            return;
        }
        let new = upstream.subscribers.subscribe(now, from, address);
        match message {
            instance::UpstreamMessage::Subscribe(_) => {
                if new {
                    upstream.next_heartbeat = self.now;
                }
            }
            instance::UpstreamMessage::Grant(order) => {
                upstream.holder.on_grant(now, order);
                upstream.next_heartbeat = self.now;
            }
            instance::UpstreamMessage::Renew(renewal) => upstream.holder.on_renewal(from, renewal),
        }
    }

    fn send_heartbeats(&mut self) {
        for index in 0..self.upstreams.len() {
            let now = self.upstream_now(index);
            let upstream = &mut self.upstreams[index];
            if !upstream.alive || upstream.suspended || self.now < upstream.next_heartbeat {
                continue;
            }
            upstream.next_heartbeat = self.now + grant::HEARTBEAT_INTERVAL;
            let heartbeat = upstream.holder.heartbeat(now);
            let renewers = upstream.holder.set().renewers.clone();
            for address in upstream.subscribers.addresses(now, &renewers) {
                self.counters.heartbeats += 1;
                let to = Some(process_at(address));
                self.send(Process::Upstream(index), to, Packet::Heartbeat(heartbeat));
            }
        }
    }

    fn tick_instances(&mut self) {
        for index in 0..self.instances.len() {
            let instance = &mut self.instances[index];
            if instance.suspended || self.now < instance.next_tick {
                continue;
            }
            instance.next_tick = self.now + TICK_INTERVAL;
            self.step_core(index, instance::InstanceEvent::Tick);
        }
    }

    /// Records overlaps and gaps, with ownership judged by each upstream's own clock.
    fn record_ownership(&mut self) {
        let count = self.options.upstreams * self.options.ranges_per_upstream;
        for range in range::KeyRange::split_space(count) {
            let hash = range.first;
            let owners = self.owners(hash);
            if let [one, other, ..] = owners[..] {
                self.overlaps.push(Overlap {
                    at: self.now,
                    hash,
                    upstreams: (one, other),
                });
            }
            let served = owners.iter().any(|owner| !self.upstreams[*owner].suspended);
            self.record_gap(hash, served);
        }
    }

    fn record_gap(&mut self, hash: u64, served: bool) {
        let since = match served {
            true => self.gap_starts.remove(&hash),
            false => Some(*self.gap_starts.entry(hash).or_insert(self.now)),
        };
        if let Some(since) = since {
            let gap = self.gaps.entry(hash).or_default();
            *gap = (*gap).max(self.now - since);
        }
    }

    /// Returns the upstreams that own `hash` by their own state and clock.
    pub fn owners(&self, hash: u64) -> Vec<usize> {
        let owns = |index: &usize| {
            let upstream = &self.upstreams[*index];
            upstream.alive
                && upstream
                    .holder
                    .owns(self.upstream_now(*index), range::KeyHash(hash))
        };
        (0..self.upstreams.len()).filter(owns).collect()
    }

    pub fn clear_gaps(&mut self) {
        self.gaps.clear();
        self.gap_starts.clear();
    }

    /// Returns the longest gap of any range since [`ControlSimulation::clear_gaps`].
    pub fn longest_gap(&self) -> Duration {
        self.gaps.values().copied().max().unwrap_or_default()
    }

    /// Returns the instance that acts as controller in the highest term.
    pub fn controller(&self) -> Option<usize> {
        let term = |index: &usize| {
            let instance = &self.instances[*index];
            let election = instance.core.election(self.service)?;
            let core = election.core().filter(|_| instance.alive)?;
            Some(core.term())
        };
        let controllers = (0..self.instances.len()).filter(|index| term(index).is_some());
        controllers.max_by_key(|index| term(index))
    }

    /// Describes controllers, grants and messages in transit, for failure messages.
    pub fn describe(&self) -> String {
        let mut lines = vec![format!("at {:?}, store {:?}", self.now, self.store_mode)];
        for instance in &self.instances {
            let me = instance.core.me();
            let election = instance.core.election(self.service);
            let controller = election.and_then(|election| election.controller());
            let controller = controller.map(|(peer, term)| (peer.id.clone(), peer.key, term));
            lines.push(format!("{} {}: controller {controller:?}", me.id, me.key));
            let core = election.and_then(|election| election.core());
            for upstream in core.map_or(&[][..], |core| core.upstreams()) {
                let keys = upstream
                    .possible_renewers
                    .iter()
                    .map(|peer| peer.key.to_string());
                lines.push(format!(
                    "  upstream {} {:?}: ordered grant set {} of {} ranges, renewers {:?}",
                    upstream.spec.key,
                    upstream.phase,
                    upstream.ordered.generation,
                    upstream.ordered.ranges.len(),
                    keys.collect::<Vec<_>>()
                ));
            }
        }
        for upstream in &self.upstreams {
            let set = upstream.holder.set();
            lines.push(format!(
                "upstream holds grant set {} of {} ranges",
                set.generation,
                set.ranges.len()
            ));
        }
        let mut in_transit: BTreeMap<String, usize> = BTreeMap::new();
        for delivery in self.in_transit.values() {
            let packet = match &delivery.packet {
                Packet::ToPeer { message, .. } => format!("{message:?}"),
                packet => format!("{packet:?}"),
            };
            let kind: String = packet.chars().take_while(|c| *c != '(').collect();
            let kind = format!("{:?} to {:?}: {kind}", delivery.from, delivery.to);
            *in_transit.entry(kind).or_default() += 1;
        }
        lines.push(format!("in transit: {in_transit:?}"));
        lines.join("\n")
    }

    /// Returns the instances that the stored record names as an upstream's renewers.
    pub fn renewers(&self, upstream: usize) -> Vec<usize> {
        let Some((text, _)) = &self.store else {
            return Vec::new();
        };
        let record = record::AssignmentRecord::from_json(text)
            .expect("the store holds only encoded records");
        let renewers = record.renewers_of(upstream_key(upstream)).to_vec();
        let index = |peer: record::PeerInfo| match process_at(peer.control) {
            Process::Instance(index) => index,
            Process::Upstream(index) => index,
        };
        renewers.into_iter().map(index).collect()
    }

    /// Returns the number of ranges that each upstream holds.
    pub fn held_ranges(&self) -> Vec<usize> {
        let held = |upstream: &Upstream| upstream.holder.set().ranges.len();
        self.upstreams.iter().map(held).collect()
    }

    /// Returns whether an upstream holds no range and runs no work, and so may stop.
    pub fn drained(&self, upstream: usize) -> bool {
        self.upstreams[upstream].holder.drained()
    }

    /// Returns the control core of an instance.
    pub fn instance(&self, index: usize) -> &instance::InstanceCore {
        &self.instances[index].core
    }

    /// Returns the service to which all upstreams belong.
    pub fn service(&self) -> ids::ServiceKey {
        self.service
    }
}
