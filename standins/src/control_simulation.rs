//! Fakes at the interfaces of the control core.
//!
//! A [`ControlSimulation`] holds a few instances' control cores, a few upstreams' holders and
//! a value store, and passes messages between them on one simulated clock.
//! Everything random comes from one seed.

use godwitloom::{
    controller, election, grant, holder, ids, instance, range, record, upstream_state,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Resolution of the simulated clock.
const STEP: Duration = Duration::from_millis(5);

/// Interval of the instances' timers.
const TICK: Duration = Duration::from_millis(25);

/// Messages under way at which the cores must have lost control.
const MAX_QUEUED: usize = 20_000;

/// Clock origin of the nodes; a machine has been up for a while.
const ORIGIN: Duration = Duration::from_secs(1000);

const INSTANCE_PORT: u16 = 1000;
const UPSTREAM_PORT: u16 = 2000;

/// Size and faults of a [`ControlSimulation`].
#[derive(Clone, Copy, Debug)]
pub struct SimulationOptions {
    pub instances: usize,
    pub upstreams: usize,
    pub ranges_per_upstream: usize,
    pub zones: usize,
    /// Lost messages in a thousand.
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

/// A process that faults apply to.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Process {
    Instance(usize),
    Upstream(usize),
}

/// Behaviour of the fake store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreMode {
    Up,
    Down,
    /// Writes take effect, their replies are lost.
    LosesResponses,
}

#[derive(Debug)]
struct Instance {
    core: instance::InstanceCore,
    runs: u64,
    alive: bool,
    suspended: bool,
    next_tick: Duration,
    store_partitioned: bool,
}

#[derive(Debug)]
struct Upstream {
    holder: holder::HolderState,
    book: holder::SubscriberList<SocketAddr>,
    runs: u64,
    alive: bool,
    suspended: bool,
    next_beat: Duration,
    /// Rate of the upstream's clock against true time, in parts per million.
    rate_ppm: i64,
}

#[derive(Clone, Debug)]
enum Packet {
    Peer {
        from: ids::InstanceKey,
        address: SocketAddr,
        message: instance::PeerMessage,
    },
    Upstream {
        from: ids::InstanceKey,
        address: SocketAddr,
        message: instance::UpstreamMessage,
    },
    Heartbeat(holder::Heartbeat),
    Read,
    Write {
        record: Box<record::AssignmentRecord>,
        revision: u64,
    },
    ReadDone(election::ReadResult),
    WriteDone(controller::WriteResult),
}

#[derive(Clone, Debug)]
struct Delivery {
    from: Option<Process>,
    /// `None` is the store.
    to: Option<Process>,
    packet: Packet,
}

/// Counted traffic.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficCounters {
    pub store_reads: u64,
    pub store_writes: u64,
    pub peer_messages: u64,
    pub upstream_messages: u64,
    pub heartbeats: u64,
}

/// A moment at which two upstreams owned one key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Overlap {
    pub at: Duration,
    pub hash: u64,
    pub upstreams: (usize, usize),
}

/// The fakes and the cores under test.
#[derive(Debug)]
pub struct ControlSimulation {
    pub options: SimulationOptions,
    pub now: Duration,
    pub counters: TrafficCounters,
    pub overlaps: Vec<Overlap>,
    service: ids::ServiceKey,
    plan: controller::ServiceTopology,
    instances: Vec<Instance>,
    upstreams: Vec<Upstream>,
    partitions: BTreeSet<(Process, Process)>,
    queue: BTreeMap<(Duration, u64), Delivery>,
    sent: u64,
    /// Messages to suspended processes.
    held: HashMap<Process, Vec<Delivery>>,
    store: Option<(String, u64)>,
    store_mode: StoreMode,
    rng: fastrand::Rng,
    dark_since: HashMap<u64, Duration>,
    /// Longest time each range had no owner, since last cleared.
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
    /// Creates a world whose processes have just started.
    pub fn new(options: SimulationOptions) -> ControlSimulation {
        let service = ids::ServiceKey::derive("team", "service");
        let plan = |index: usize| upstream_state::UpstreamSpec {
            key: upstream_key(index),
            zone: format!("z{}", index % options.zones),
            grant_address: upstream_address(index),
            check: options.check,
            leaving: false,
        };
        let mut world = ControlSimulation {
            options,
            now: Duration::ZERO,
            counters: TrafficCounters::default(),
            overlaps: Vec::new(),
            service,
            plan: controller::ServiceTopology {
                key: service,
                upstreams: (0..options.upstreams).map(plan).collect(),
                ranges_per_upstream: options.ranges_per_upstream,
            },
            instances: Vec::new(),
            upstreams: Vec::new(),
            partitions: BTreeSet::new(),
            queue: BTreeMap::new(),
            sent: 0,
            held: HashMap::new(),
            store: None,
            store_mode: StoreMode::Up,
            rng: fastrand::Rng::with_seed(options.seed),
            dark_since: HashMap::new(),
            gaps: HashMap::new(),
        };
        for index in 0..options.instances {
            let instance = world.new_instance(index, 0);
            world.instances.push(instance);
            world.feed(index, instance::InstanceEvent::Topology(world.plan.clone()));
        }
        for index in 0..options.upstreams {
            let upstream = world.new_upstream(index, 0);
            world.upstreams.push(upstream);
        }
        world
    }

    fn new_instance(&mut self, index: usize, runs: u64) -> Instance {
        let id = format!("i{index}");
        let me = record::PeerInfo {
            key: ids::InstanceKey::derive(&id, runs),
            id,
            zone: format!("z{}", index % self.options.zones),
            control: instance_address(index),
        };
        Instance {
            core: instance::InstanceCore::new(me),
            runs,
            alive: true,
            suspended: false,
            next_tick: self.now + Duration::from_millis(self.rng.u64(0..25)),
            store_partitioned: false,
        }
    }

    fn new_upstream(&mut self, index: usize, runs: u64) -> Upstream {
        let run = self.rng.u64(1..);
        Upstream {
            holder: holder::HolderState::new(upstream_key(index), run, self.options.check),
            book: holder::SubscriberList::new(),
            runs,
            alive: true,
            suspended: false,
            next_beat: self.now + Duration::from_millis(self.rng.u64(0..200)),
            rate_ppm: [0, 1000, -1000][index % 3],
        }
    }

    fn local(&self) -> Duration {
        ORIGIN + self.now
    }

    fn upstream_now(&self, index: usize) -> Duration {
        let micros = self.now.as_micros() as i64;
        let local = micros + micros * self.upstreams[index].rate_ppm / 1_000_000;
        ORIGIN + Duration::from_micros(local as u64)
    }

    /// Stops a process for good.
    pub fn kill(&mut self, process: Process) {
        match process {
            Process::Instance(index) => self.instances[index].alive = false,
            Process::Upstream(index) => self.upstreams[index].alive = false,
        }
        self.held.remove(&process);
    }

    /// Starts a killed process anew; a live one is replaced.
    pub fn restart(&mut self, process: Process) {
        self.held.remove(&process);
        match process {
            Process::Instance(index) => {
                let runs = self.instances[index].runs + 1;
                self.instances[index] = self.new_instance(index, runs);
                self.feed(index, instance::InstanceEvent::Topology(self.plan.clone()));
            }
            Process::Upstream(index) => {
                let runs = self.upstreams[index].runs + 1;
                self.upstreams[index] = self.new_upstream(index, runs);
            }
        }
    }

    /// Suspends a process; messages to it wait.
    pub fn suspend(&mut self, process: Process) {
        match process {
            Process::Instance(index) => self.instances[index].suspended = true,
            Process::Upstream(index) => self.upstreams[index].suspended = true,
        }
    }

    /// Resumes a suspended process; it reads what waited.
    pub fn resume(&mut self, process: Process) {
        match process {
            Process::Instance(index) => self.instances[index].suspended = false,
            Process::Upstream(index) => self.upstreams[index].suspended = false,
        }
        for delivery in self.held.remove(&process).unwrap_or_default() {
            self.deliver(delivery);
        }
    }

    /// Drops all messages between two processes, both ways.
    pub fn partition(&mut self, one: Process, other: Process) {
        self.partitions.insert((one, other));
        self.partitions.insert((other, one));
    }

    /// Cuts an instance off from the store.
    pub fn partition_from_store(&mut self, instance: usize) {
        self.instances[instance].store_partitioned = true;
    }

    /// Ends all partitions.
    pub fn heal_partitions(&mut self) {
        self.partitions.clear();
        for instance in &mut self.instances {
            instance.store_partitioned = false;
        }
    }

    /// Ends every fault; dead processes start anew.
    pub fn end_faults(&mut self) {
        self.heal_partitions();
        self.set_store_mode(StoreMode::Up);
        for index in 0..self.instances.len() {
            self.end_faults_of(Process::Instance(index), self.instances[index].alive);
        }
        for index in 0..self.upstreams.len() {
            self.end_faults_of(Process::Upstream(index), self.upstreams[index].alive);
            self.set_leaving(index, false);
        }
    }

    fn end_faults_of(&mut self, process: Process, alive: bool) {
        self.resume(process);
        if !alive {
            self.restart(process);
        }
    }

    /// Changes the behaviour of the store.
    pub fn set_store_mode(&mut self, mode: StoreMode) {
        self.store_mode = mode;
    }

    /// Declares a upstream as leaving or not.
    pub fn set_leaving(&mut self, index: usize, leaving: bool) {
        self.plan.upstreams[index].leaving = leaving;
        for instance in 0..self.instances.len() {
            self.feed(
                instance,
                instance::InstanceEvent::Topology(self.plan.clone()),
            );
        }
    }

    /// Reports to all instances that the current run of `instance` has ended.
    pub fn report_run_ended(&mut self, instance: usize) {
        let key = self.instances[instance].core.me().key;
        for index in 0..self.instances.len() {
            self.feed(index, instance::InstanceEvent::RunEnded(key));
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver_due();
            self.tick_upstreams();
            self.tick_instances();
            self.observe();
        }
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let delivery = entry.remove();
            self.deliver(delivery);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery.to {
            Some(process) if self.is_frozen(process) => {
                self.held.entry(process).or_default().push(delivery);
            }
            Some(Process::Instance(index)) => self.deliver_instance(index, delivery.packet),
            Some(Process::Upstream(index)) => self.deliver_upstream(index, delivery.packet),
            None => self.serve_store(delivery),
        }
    }

    fn is_frozen(&self, process: Process) -> bool {
        match process {
            Process::Instance(index) => self.instances[index].suspended,
            Process::Upstream(index) => self.upstreams[index].suspended,
        }
    }

    fn deliver_instance(&mut self, index: usize, packet: Packet) {
        let service = self.service;
        let event = match packet {
            Packet::Peer {
                from,
                address,
                message,
            } => instance::InstanceEvent::Peer {
                from,
                address,
                message,
            },
            Packet::Heartbeat(heartbeat) => instance::InstanceEvent::Heartbeat(heartbeat),
            Packet::ReadDone(result) => instance::InstanceEvent::RecordRead { service, result },
            Packet::WriteDone(result) => instance::InstanceEvent::RecordWritten { service, result },
            _ => return,
        };
        self.feed(index, event);
    }

    fn feed(&mut self, index: usize, event: instance::InstanceEvent) {
        if !self.instances[index].alive {
            return;
        }
        let now = self.local();
        let actions = self.instances[index].core.step(now, event);
        for action in actions {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: instance::InstanceAction) {
        let from = self.instances[index].core.me().key;
        let own = instance_address(index);
        let process = Process::Instance(index);
        match action {
            instance::InstanceAction::ToPeer { address, message } => {
                self.counters.peer_messages += 1;
                let packet = Packet::Peer {
                    from,
                    address: own,
                    message,
                };
                self.send(process, Some(process_at(address)), packet);
            }
            instance::InstanceAction::ToUpstream { address, message } => {
                self.counters.upstream_messages += 1;
                let packet = Packet::Upstream {
                    from,
                    address: own,
                    message,
                };
                self.send(process, Some(process_at(address)), packet);
            }
            instance::InstanceAction::ReadRecord { .. } => self.send(process, None, Packet::Read),
            instance::InstanceAction::WriteRecord {
                record, revision, ..
            } => self.send(process, None, Packet::Write { record, revision }),
            instance::InstanceAction::RoutesChanged { .. }
            | instance::InstanceAction::RoleChanged { .. } => {}
        }
    }

    fn send(&mut self, from: Process, to: Option<Process>, packet: Packet) {
        let lost = self.rng.u32(0..1000) < self.options.loss_permille;
        if let Some(to) = to
            && (lost || self.partitions.contains(&(from, to)))
        {
            return;
        }
        let delay = Duration::from_micros(self.rng.u64(300..4000));
        self.push(Some(from), to, packet, delay);
    }

    fn push(
        &mut self,
        from: Option<Process>,
        to: Option<Process>,
        packet: Packet,
        delay: Duration,
    ) {
        self.sent += 1;
        let queued = self.queue.len();
        assert!(queued < MAX_QUEUED, "message storm\n{}", self.describe());
        let delivery = Delivery { from, to, packet };
        self.queue.insert((self.now + delay, self.sent), delivery);
    }

    fn serve_store(&mut self, delivery: Delivery) {
        let Some(Process::Instance(index)) = delivery.from else {
            return;
        };
        let reachable =
            !self.instances[index].store_partitioned && self.store_mode != StoreMode::Down;
        let reply = match delivery.packet {
            Packet::Read => Packet::ReadDone(self.read_store(reachable)),
            Packet::Write { record, revision } => {
                Packet::WriteDone(self.write_store(reachable, *record, revision))
            }
            _ => return,
        };
        let delay = Duration::from_millis(self.rng.u64(1..6));
        self.push(None, delivery.from, reply, delay);
    }

    fn read_store(&mut self, reachable: bool) -> election::ReadResult {
        self.counters.store_reads += 1;
        if !reachable {
            return election::ReadResult::Failed;
        }
        match &self.store {
            None => election::ReadResult::Absent,
            Some((text, revision)) => election::ReadResult::Found {
                record: Box::new(record::AssignmentRecord::from_json(text).expect("own record")),
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
            let (text, revision) = self.store.as_ref().expect("revision is not 0");
            let record = record::AssignmentRecord::from_json(text).expect("own record");
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
        let Packet::Upstream {
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
        let new = upstream.book.subscribe(now, from, address);
        match message {
            instance::UpstreamMessage::Subscribe(_) => {
                if new {
                    upstream.next_beat = self.now;
                }
            }
            instance::UpstreamMessage::Grant(order) => {
                upstream.holder.on_grant(now, order);
                upstream.next_beat = self.now;
            }
            instance::UpstreamMessage::Renew(renewal) => upstream.holder.on_renewal(from, renewal),
        }
    }

    fn tick_upstreams(&mut self) {
        for index in 0..self.upstreams.len() {
            let now = self.upstream_now(index);
            let upstream = &mut self.upstreams[index];
            if !upstream.alive || upstream.suspended || self.now < upstream.next_beat {
                continue;
            }
            upstream.next_beat = self.now + grant::HEARTBEAT_INTERVAL;
            let heartbeat = upstream.holder.heartbeat(now);
            let keepers = upstream.holder.set().renewers.clone();
            for address in upstream.book.addresses(now, &keepers) {
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
            instance.next_tick = self.now + TICK;
            self.feed(index, instance::InstanceEvent::Tick);
        }
    }

    /// Checks the promise of one owner on the upstreams' own clocks.
    fn observe(&mut self) {
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
            self.observe_gap(hash, served);
        }
    }

    fn observe_gap(&mut self, hash: u64, served: bool) {
        let since = match served {
            true => self.dark_since.remove(&hash),
            false => Some(*self.dark_since.entry(hash).or_insert(self.now)),
        };
        if let Some(since) = since {
            let gap = self.gaps.entry(hash).or_default();
            *gap = (*gap).max(self.now - since);
        }
    }

    /// Returns the upstreams that hold themselves to be the owner of `hash`.
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

    /// Forgets the gaps seen so far.
    pub fn clear_gaps(&mut self) {
        self.gaps.clear();
        self.dark_since.clear();
    }

    /// Returns the longest gap since the last clearing.
    pub fn longest_gap(&self) -> Duration {
        self.gaps.values().copied().max().unwrap_or_default()
    }

    /// Returns the leading instance of the highest term.
    pub fn controller(&self) -> Option<usize> {
        let term = |index: &usize| {
            let instance = &self.instances[*index];
            let lead = instance.core.election(self.service)?;
            let core = lead.core().filter(|_| instance.alive)?;
            Some(core.term())
        };
        let leading = (0..self.instances.len()).filter(|index| term(index).is_some());
        leading.max_by_key(|index| term(index))
    }

    /// Describes the controllers and what they know, for failure messages.
    pub fn describe(&self) -> String {
        let mut lines = vec![format!("at {:?}, store {:?}", self.now, self.store_mode)];
        for instance in &self.instances {
            let me = instance.core.me();
            let lead = instance.core.election(self.service);
            let leader = lead.and_then(|lead| lead.controller());
            let leader = leader.map(|(peer, term)| (peer.id.clone(), peer.key, term));
            lines.push(format!("{} {}: follows {leader:?}", me.id, me.key));
            let core = lead.and_then(|lead| lead.core());
            for upstream in core.map_or(&[][..], |core| core.upstreams()) {
                let keys = upstream
                    .possible_renewers
                    .iter()
                    .map(|peer| peer.key.to_string());
                lines.push(format!(
                    "  {} {:?} ordered {} x{} renewers {:?}",
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
                "upstream holds {} x{}",
                set.generation,
                set.ranges.len()
            ));
        }
        let mut waiting: BTreeMap<String, usize> = BTreeMap::new();
        for delivery in self.queue.values() {
            let packet = match &delivery.packet {
                Packet::Peer { message, .. } => format!("{message:?}"),
                packet => format!("{packet:?}"),
            };
            let kind: String = packet.chars().take_while(|c| *c != '(').collect();
            let kind = format!("{:?} to {:?}: {kind}", delivery.from, delivery.to);
            *waiting.entry(kind).or_default() += 1;
        }
        lines.push(format!("under way: {waiting:?}"));
        lines.join("\n")
    }

    /// Returns the instances that the record names as keepers of a upstream.
    pub fn renewers(&self, upstream: usize) -> Vec<usize> {
        let Some((text, _)) = &self.store else {
            return Vec::new();
        };
        let record = record::AssignmentRecord::from_json(text).expect("own record");
        let keepers = record.renewers_of(upstream_key(upstream)).to_vec();
        let index = |peer: record::PeerInfo| match process_at(peer.control) {
            Process::Instance(index) => index,
            Process::Upstream(index) => index,
        };
        keepers.into_iter().map(index).collect()
    }

    /// Returns the number of ranges that each upstream holds.
    pub fn held_ranges(&self) -> Vec<usize> {
        let held = |upstream: &Upstream| upstream.holder.set().ranges.len();
        self.upstreams.iter().map(held).collect()
    }

    /// Returns whether a upstream is idle enough to stop.
    pub fn drained(&self, upstream: usize) -> bool {
        self.upstreams[upstream].holder.drained()
    }

    /// Returns the control core of an instance.
    pub fn instance(&self, index: usize) -> &instance::InstanceCore {
        &self.instances[index].core
    }

    /// Returns the service that all upstreams belong to.
    pub fn service(&self) -> ids::ServiceKey {
        self.service
    }
}
