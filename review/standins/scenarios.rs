//! The scenarios of the cases.

use crate::http::{self, Connection, Message};
use crate::platform::{self, lock, sleep_ms, Deployment, Endpoint, Record, World};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HEARTBEAT: Duration = Duration::from_millis(870);

/// A route: prefix, kind, service, timeout and latency objective in milliseconds.
type Route<'a> = (&'a str, &'a str, &'a str, u64, u64);

fn config(idle_timeout_ms: u64, routes: &[Route], services: &[(&str, bool)]) -> String {
    let rules = routes.iter().map(|(prefix, kind, service, timeout_ms, target_ms)| {
        format!(
            "{{\"name\":\"r{prefix}\",\"kind\":\"{kind}\",\"target_latency_ms\":{target_ms},\
             \"priority\":1,\"match\":{{\"prefix\":\"{prefix}\"}},\"action\":{{\"service\":\
             \"{service}\",\"timeout_ms\":{timeout_ms},\"attempts\":2}}}}"
        )
    });
    let clusters = services.iter().map(|(name, sharded)| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":120,\
             \"protocol\":\"h1\",\"tls\":false,\"sharded\":{sharded}}}"
        )
    });
    format!(
        "{{\"version\":1,\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":{idle_timeout_ms}}},\"listeners\":\
         [{{\"host\":\"shop.example\",\"rules\":[{}]}}],\"clusters\":[{}]}}",
        rules.collect::<Vec<_>>().join(","),
        clusters.collect::<Vec<_>>().join(",")
    )
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::AcqRel) + 0x9c41_d07b_0000_0000)
}

/// A client request.
struct Request<'a> {
    method: &'a str,
    path: &'a str,
    work_ms: u64,
    deadline_ms: u64,
    key: Option<usize>,
    body: &'a [u8],
}

fn encode(request: &Request, id: &str) -> Vec<u8> {
    let start = format!("{} {}?work_ms={} HTTP/1.1", request.method, request.path, request.work_ms);
    let deadline = request.deadline_ms.to_string();
    let key = request.key.map(|key| key.to_string());
    let mut fields = vec![
        ("Host", "shop.example"),
        ("Godwitloom-Request-Id", id),
        ("Godwitloom-Deadline-Ms", &deadline),
    ];
    if let Some(key) = &key {
        fields.push(("Godwitloom-Shard-Key", key));
    }
    match request.method {
        "GET" => {
            let mut text = format!("{start}\r\n");
            for (name, value) in fields {
                text.push_str(&format!("{name}: {value}\r\n"));
            }
            text.push_str("\r\n");
            text.into_bytes()
        }
        _ => http::encode(&start, &fields, request.body),
    }
}

/// Sends a request and returns its id and its answer.
fn exchange(
    world: &World,
    connection: &mut Connection,
    request: &Request,
    wait_ms: u64,
) -> (String, Result<Message, String>) {
    let id = new_id();
    world.record.line(format!("client sends {id} {} work {} ms", request.path, request.work_ms));
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let sent = connection.write(&encode(request, &id));
    let answer = sent.and_then(|()| connection.read(until));
    match &answer {
        Ok(answer) => world.record.line(format!("client has {} for {id}", answer.status())),
        Err(error) => world.record.line(format!("client has no answer for {id}: {error}")),
    }
    (id, answer)
}

/// Waits until a request is served at each front.
fn await_service(deployment: &Deployment, request: &Request) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    deployment.machines.iter().all(|machine| {
        while Instant::now() < until {
            let mut connection = match Connection::open(machine.front()) {
                Ok(connection) => connection,
                Err(_) => {
                    sleep_ms(50);
                    continue;
                }
            };
            let (_, answer) = exchange(&deployment.world, &mut connection, request, 1000);
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            sleep_ms(50);
        }
        false
    })
}

/// Requests take longer than the limit for idle connections, as some endpoints are slow; the
/// next requests on the same connections are read by nobody.
pub fn idle(record: &Arc<Record>, trouble: bool) -> i32 {
    const CONNECTIONS: usize = 78;
    const ENDPOINTS: usize = 13;
    const SLOW_ENDPOINTS: usize = 2;
    const SLOWNESS: u64 = 5;
    const WORK_MS: u64 = 3_200;
    const IDLE_MS: u64 = 15_000;
    const TIMEOUT_MS: u64 = 18_000;
    const DEADLINE_MS: u64 = 20_000;
    let deployment = Deployment::new(record, 3);
    let world = &deployment.world;
    let routes = [("/photo/", "upload", "photos", TIMEOUT_MS, 4000)];
    world.store.put("op/config", &config(IDLE_MS, &routes, &[("photos", false)]));
    let endpoints: Vec<_> = (0..ENDPOINTS)
        .map(|number| {
            let id = format!("i-{number}");
            Endpoint::start(world, deployment.endpoint_ip(), &id, "photos", 6, false)
        })
        .collect();
    platform::start_heartbeats(world, HEARTBEAT);
    deployment.start();
    let small = Request {
        method: "POST",
        path: "/photo/a",
        work_ms: 5,
        deadline_ms: 2000,
        key: None,
        body: b"p",
    };
    if !await_service(&deployment, &small) {
        record.say("no service");
        return 2;
    }
    if trouble {
        for endpoint in &endpoints[..SLOW_ENDPOINTS] {
            endpoint.set_slowness(SLOWNESS);
        }
        record.line(format!("{SLOW_ENDPOINTS} endpoints are slow"));
    }
    let [long_failed, closed, followed, late, unanswered] =
        std::array::from_fn(|_| Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|number| {
            let front = deployment.machines[number % 3].front();
            let world = world.clone();
            let counters = [&long_failed, &closed, &followed, &late, &unanswered].map(Arc::clone);
            thread::spawn(move || {
                let [long_failed, closed, followed, late, unanswered] = counters;
                // A request counts as late if it is answered in the 0.5 s after the timeout.
                let note = |sent: Instant| {
                    if sent.elapsed() > Duration::from_millis(TIMEOUT_MS) {
                        late.fetch_add(1, Ordering::AcqRel);
                    }
                };
                let mut connection = Connection::open(front).expect("connected");
                let long = Request {
                    method: "POST",
                    path: "/photo/long",
                    work_ms: WORK_MS,
                    deadline_ms: DEADLINE_MS,
                    key: None,
                    body: b"photo",
                };
                let sent = Instant::now();
                let (_, answer) = exchange(&world, &mut connection, &long, TIMEOUT_MS + 500);
                note(sent);
                let Some(answer) = answer.ok().filter(|answer| answer.status() == 200) else {
                    long_failed.fetch_add(1, Ordering::AcqRel);
                    return;
                };
                sleep_ms(300);
                let closes = answer.field("connection").is_some_and(|text| text.contains("close"));
                if closes || connection.is_closed() {
                    world.record.line("the connection was closed");
                    closed.fetch_add(1, Ordering::AcqRel);
                    return;
                }
                followed.fetch_add(1, Ordering::AcqRel);
                let next = Request { path: "/photo/next", work_ms: 5, ..long };
                let sent = Instant::now();
                let (_, answer) = exchange(&world, &mut connection, &next, TIMEOUT_MS + 500);
                match answer {
                    Ok(_) => note(sent),
                    Err(error) if error == "no answer" => {
                        unanswered.fetch_add(1, Ordering::AcqRel);
                    }
                    Err(_) => {}
                }
            })
        })
        .collect();
    sleep_ms(6_500);
    for endpoint in &endpoints {
        endpoint.set_slowness(1);
    }
    record.line("no endpoint is slow any more");
    for client in clients {
        let _ = client.join();
    }
    let [long_failed, closed, followed, late, unanswered] =
        [long_failed, closed, followed, late, unanswered]
            .map(|counter| counter.load(Ordering::Acquire));
    record.say(format!(
        "long requests {CONNECTIONS}, of them without success {long_failed}; connections closed \
         after them {closed}; requests sent after them on the same connections {followed}, of \
         them without an answer {} ms later {unanswered}; answered between the timeout and then {late}",
        TIMEOUT_MS + 500
    ));
    // CONFIG: of the requests without an answer at the route's timeout, eight or more, over a
    // quarter and more than half have none 0.5 s later.
    i32::from(unanswered >= 8 && unanswered > late)
}

/// A second answer to a grant arrives late, where the answer to a release is expected.
pub fn late_extra(record: &Arc<Record>, trouble: bool) -> i32 {
    const ENDPOINTS: usize = 6;
    let deployment = Deployment::new(record, 3);
    let world = &deployment.world;
    let routes = [("/tag/", "safe", "tags", 2000, 400)];
    world.store.put("op/config", &config(15_000, &routes, &[("tags", true)]));
    let endpoints: Vec<_> = (0..ENDPOINTS)
        .map(|number| {
            let id = format!("i-{number}");
            Endpoint::start(world, deployment.endpoint_ip(), &id, "tags", 6, true)
        })
        .collect();
    platform::start_heartbeats(world, HEARTBEAT);
    deployment.start();
    let probe = |key| Request {
        method: "GET",
        path: "/tag/a",
        work_ms: 5,
        deadline_ms: 2000,
        key: Some(key),
        body: b"",
    };
    if !await_service(&deployment, &probe(0)) || !await_service(&deployment, &probe(65_535)) {
        record.say("no service");
        return 2;
    }
    // Steady traffic over all keys: each request takes 300 ms.
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Mutex::new([0u64; 2]));
    let clients: Vec<_> = (0..27u64)
        .map(|number| {
            let front = deployment.machines[number as usize % 3].front();
            let (world, stop, counts) = (world.clone(), stop.clone(), counts.clone());
            thread::spawn(move || {
                let mut connection = None;
                let mut turn = number * 7;
                while !stop.load(Ordering::Acquire) {
                    turn += 1;
                    // Keys spread evenly, in no order.
                    let mixed = turn.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (number << 40);
                    let key = (mixed.wrapping_mul(0xd129_0d3b_5a8c_f2e5) >> 48) as usize;
                    let work_ms = 300;
                    let mut open = match connection.take() {
                        Some(open) => open,
                        None => match Connection::open(front) {
                            Ok(open) => open,
                            Err(_) => continue,
                        },
                    };
                    let request = Request {
                        method: "GET",
                        path: "/tag/b",
                        work_ms,
                        deadline_ms: 2000,
                        key: Some(key),
                        body: b"",
                    };
                    let (_, answer) = exchange(&world, &mut open, &request, 2500);
                    let served = answer.as_ref().is_ok_and(|answer| answer.status() == 200);
                    lock(&counts)[usize::from(!served)] += 1;
                    if answer.is_ok() {
                        connection = Some(open);
                    }
                }
            })
        })
        .collect();
    sleep_ms(2000);
    // Three of six endpoints leave, one after the other. Each has given a second answer to one
    // of its answers in the 5 s before.
    for endpoint in &endpoints[..3] {
        let (answers_before, _) = endpoint.answers();
        sleep_ms(3900);
        if trouble {
            endpoint.spoil_grants(1);
        }
        let until = Instant::now() + Duration::from_millis(1100);
        while Instant::now() < until && !(trouble && endpoint.has_spoiled()) {
            sleep_ms(1);
        }
        endpoint.drain();
        let (answers, spoiled) = endpoint.answers();
        let answers = answers - answers_before;
        record.say(format!(
            "{} gave {answers} answers in 5 s, {spoiled} of them with a second one; {} requests \
             are at work there as it begins to leave",
            endpoint.id,
            endpoint.working()
        ));
        if spoiled as f64 > answers as f64 * 0.03 {
            record.say("more than 3 in 100 answers were spoiled");
            return 2;
        }
        sleep_ms(3500);
    }
    stop.store(true, Ordering::Release);
    for client in clients {
        let _ = client.join();
    }
    let [served, failed] = *lock(&counts);
    let broken = lock(&world.broken).len();
    record.say(format!("requests served {served}, not served {failed}; OWNER broken {broken} times"));
    i32::from(broken > 0)
}

/// The machines of a zone are partitioned from all endpoints, so that new connections are
/// refused while open ones live on; an endpoint leaves without a report before.
pub fn refused_release(record: &Arc<Record>, trouble: bool) -> i32 {
    const ENDPOINTS: usize = 6;
    const LONG_MS: u64 = 2600;
    let deployment = Deployment::new(record, 2);
    let world = &deployment.world;
    let routes = [("/tag/", "safe", "tags", 4000, 1000)];
    world.store.put("op/config", &config(15_000, &routes, &[("tags", true)]));
    let endpoints: Vec<_> = (0..ENDPOINTS)
        .map(|number| {
            let id = format!("i-{number}");
            Endpoint::start(world, deployment.endpoint_ip(), &id, "tags", 6, true)
        })
        .collect();
    platform::start_heartbeats(world, HEARTBEAT);
    deployment.start();
    let probe = Request {
        method: "GET",
        path: "/tag/a",
        work_ms: 5,
        deadline_ms: 2000,
        key: Some(0),
        body: b"",
    };
    if !await_service(&deployment, &probe) {
        record.say("no service");
        return 2;
    }
    // What each client sends, work in ms and keys, or nothing. At first many clients send short
    // requests, so that the machines keep open connections to all endpoints.
    type Plan = Option<(u64, usize, usize)>;
    let plans: Arc<Mutex<Vec<Plan>>> = Arc::new(Mutex::new(vec![Some((30, 0, 65_535)); 24]));
    for number in 0..24usize {
        let front = deployment.machines[number % 2].front();
        let (world, plans) = (world.clone(), plans.clone());
        thread::spawn(move || {
            let mut connection = None;
            let mut turn = number as u64;
            loop {
                let plan = lock(&plans)[number];
                let Some((work_ms, from, to)) = plan else {
                    sleep_ms(20);
                    continue;
                };
                turn += 31;
                let mixed = turn.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
                let key = from + mixed as usize % (to - from + 1);
                let opened = connection.take().map_or_else(|| Connection::open(front).ok(), Some);
                let Some(mut open) = opened else { continue };
                let request = Request {
                    method: "GET",
                    path: "/tag/b",
                    work_ms,
                    deadline_ms: 4000,
                    key: Some(key),
                    body: b"",
                };
                let (_, answer) = exchange(&world, &mut open, &request, 4500);
                if answer.is_ok() {
                    connection = Some(open);
                }
                sleep_ms(10);
            }
        });
    }
    sleep_ms(4000);
    let leaver = &endpoints[0];
    let held = leaver.ranges();
    record.line(format!("{} holds {held:?}", leaver.id));
    let Some((from, to)) = held.iter().max_by_key(|(from, to)| to - from).copied() else {
        record.say("the endpoint holds no keys");
        return 2;
    };
    // Six long requests at the endpoint, begun one after the other, and four clients with short
    // ones.
    {
        let mut plans = lock(&plans);
        plans.fill(None);
        for plan in plans.iter_mut().take(4) {
            *plan = Some((30, 0, 65_535));
        }
    }
    for client in 10..16 {
        lock(&plans)[client] = Some((LONG_MS, from, to));
        sleep_ms(LONG_MS / 6);
    }
    if trouble {
        for endpoint in &endpoints {
            endpoint.set_refuses(true);
        }
        record.line("new connections from the machines to endpoints are refused");
    }
    sleep_ms(300);
    leaver.await_grant();
    leaver.leave_unreported();
    sleep_ms(4000);
    for endpoint in &endpoints {
        endpoint.set_refuses(false);
    }
    world.note_healed();
    record.line("new connections are accepted");
    sleep_ms(1000);
    let broken = lock(&world.broken).len();
    record.say(format!("OWNER broken {broken} times"));
    i32::from(broken > 0)
}

/// Another writer's entry, of a service that isn't named in the configuration, has the address of
/// an endpoint.
pub fn foreign_entry(record: &Arc<Record>, trouble: bool) -> i32 {
    const ENDPOINTS: usize = 6;
    let deployment = Deployment::new(record, 3);
    let world = &deployment.world;
    let routes = [("/tag/", "safe", "tags", 2000, 400)];
    world.store.put("op/config", &config(15_000, &routes, &[("tags", true)]));
    let endpoints: Vec<_> = (0..ENDPOINTS)
        .map(|number| {
            let id = format!("i-{number}");
            Endpoint::start(world, deployment.endpoint_ip(), &id, "tags", 6, true)
        })
        .collect();
    platform::start_heartbeats(world, HEARTBEAT);
    deployment.start();
    let probe = Request {
        method: "GET",
        path: "/tag/a",
        work_ms: 5,
        deadline_ms: 2000,
        key: Some(0),
        body: b"",
    };
    if !await_service(&deployment, &probe) {
        record.say("no service");
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Mutex::new([0u64; 2]));
    let clients: Vec<_> = (0..18u64)
        .map(|number| {
            let front = deployment.machines[number as usize % 3].front();
            let (world, stop, counts) = (world.clone(), stop.clone(), counts.clone());
            thread::spawn(move || {
                let mut connection = None;
                let mut turn = number * 7;
                while !stop.load(Ordering::Acquire) {
                    turn += 1;
                    let mixed = turn.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (number << 40);
                    let key = (mixed.wrapping_mul(0xd129_0d3b_5a8c_f2e5) >> 48) as usize;
                    let opened =
                        connection.take().map_or_else(|| Connection::open(front).ok(), Some);
                    let Some(mut open) = opened else { continue };
                    let request = Request {
                        method: "GET",
                        path: "/tag/b",
                        work_ms: 300,
                        deadline_ms: 2000,
                        key: Some(key),
                        body: b"",
                    };
                    let (_, answer) = exchange(&world, &mut open, &request, 2500);
                    let served = answer.as_ref().is_ok_and(|answer| answer.status() == 200);
                    lock(&counts)[usize::from(!served)] += 1;
                    if answer.is_ok() {
                        connection = Some(open);
                    }
                }
            })
        })
        .collect();
    sleep_ms(4000);
    let named = &endpoints[0];
    if trouble {
        named.write_foreign_entry("x-41c0", "stock-audit");
    }
    sleep_ms(4000);
    stop.store(true, Ordering::Release);
    for client in clients {
        let _ = client.join();
    }
    let [served, failed] = *lock(&counts);
    let broken = lock(&world.broken).len();
    record.say(format!("requests served {served}, not served {failed}; OWNER broken {broken} times"));
    i32::from(broken > 0)
}

/// The store is down while the leader stores that two ranges are one; as it returns, their owner
/// is cut off from all machines.
pub fn stale_merge(record: &Arc<Record>, trouble: bool) -> i32 {
    const ENDPOINTS: usize = 6;
    const DOWN_MS: u64 = 4500;
    const CUT_MS: u64 = 5500;
    let deployment = Deployment::new(record, 3);
    let world = &deployment.world;
    let routes = [("/tag/", "safe", "tags", 2000, 400)];
    world.store.put("op/config", &config(15_000, &routes, &[("tags", true)]));
    let endpoints: Vec<_> = (0..ENDPOINTS)
        .map(|number| {
            let id = format!("i-{number}");
            Endpoint::start(world, deployment.endpoint_ip(), &id, "tags", 6, true)
        })
        .collect();
    platform::start_heartbeats(world, HEARTBEAT);
    deployment.start();
    let probe = |key| Request {
        method: "GET",
        path: "/tag/a",
        work_ms: 5,
        deadline_ms: 2000,
        key: Some(key),
        body: b"",
    };
    let is_served = |part| await_service(&deployment, &probe(part * 10_923 + 100));
    if !(0..ENDPOINTS).all(is_served) {
        record.say("no service");
        return 2;
    }
    // The endpoints in the order of their keys.
    let holds = |endpoint: &Endpoint| endpoint.ranges();
    let mut ordered: Vec<_> = endpoints.iter().collect();
    ordered.sort_by_key(|endpoint| holds(endpoint));
    let (leaver, owner) = (ordered[2], ordered[3]);
    let kept = holds(owner);
    // Requests go to the keys of all but these two, so that the leaver's neighbour has the most
    // room for its keys.
    for number in 0..4usize {
        let (world, front) = (world.clone(), deployment.machines[number % 3].front());
        let ranges = holds(ordered[[0, 1, 4, 5][number]]);
        thread::spawn(move || {
            for turn in 0usize.. {
                if let Ok(mut connection) = Connection::open(front) {
                    let (from, to) = ranges[0];
                    let request = Request {
                        method: "GET",
                        path: "/tag/b",
                        work_ms: 50,
                        deadline_ms: 2000,
                        key: Some(from + turn.wrapping_mul(4051) % (to - from + 1)),
                        body: b"",
                    };
                    let _ = exchange(&world, &mut connection, &request, 2500);
                }
                sleep_ms(50);
            }
        });
    }
    sleep_ms(3500);
    leaver.drain();
    let until = Instant::now() + Duration::from_secs(3);
    while holds(owner) == kept {
        if Instant::now() >= until {
            record.say("the keys did not go to the neighbour");
            return 2;
        }
        sleep_ms(5);
    }
    record.line(format!("{} holds {:?} now", owner.id, holds(owner)));
    sleep_ms(1200);
    if trouble {
        record.line("the store is down");
        world.store.set_down(true);
        for machine in &deployment.machines {
            machine.store.mode.store(platform::PATH_SILENT, Ordering::Release);
        }
    }
    sleep_ms(DOWN_MS);
    if trouble {
        owner.cut_with_resets();
        record.line(format!("{} is cut off from all machines", owner.id));
        world.store.set_down(false);
        for machine in &deployment.machines {
            machine.store.mode.store(platform::PATH_UP, Ordering::Release);
        }
        world.note_healed();
        record.line("the store is up");
    }
    sleep_ms(CUT_MS);
    if trouble {
        owner.set_refuses(false);
        world.note_healed();
        record.line(format!("{} is reached again", owner.id));
    }
    sleep_ms(1500);
    let broken = lock(&world.broken).len();
    record.say(format!("OWNER broken {broken} times"));
    i32::from(broken > 0)
}
