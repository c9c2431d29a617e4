//! A small deployment of real processes: kills, freezes, bad input, a graceful stop.

use godwitloom::{exchange, message, operators, outcome, proxy, stream};
use godwitloom_standins::{caller, ports};
use http_types::{Method, Request, Url};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(30);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const UPSTREAMS: usize = 3;
const INSTANCES: usize = 3;
const ZONES: [&str; 3] = ["yqr", "yxe", "ywg"];

/// Returns a binary that cargo built beside this test.
fn binary(name: &str) -> PathBuf {
    let standin = Path::new(env!("CARGO_BIN_EXE_standin"));
    standin.with_file_name(name)
}

/// Held by the deployment that runs: sites share the machine's processors.
static RUNNING: Mutex<()> = Mutex::new(());

struct TestDeployment {
    _running: MutexGuard<'static, ()>,
    directory: PathBuf,
    platform: Child,
    upstreams: Vec<Child>,
    instances: Vec<Child>,
    requests: Vec<SocketAddr>,
    callers: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
}

impl TestDeployment {
    /// Starts platform, keyed upstreams and instances, and waits for owners.
    fn start(name: &str) -> TestDeployment {
        let directory = std::env::temp_dir().join(format!("site-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("temporary directory is writable");
        let addresses = ports::free_addresses(1 + 2 * UPSTREAMS + 3 * INSTANCES);
        let (platform, rest) = addresses.split_first().expect("not empty");
        let (upstreams, instances) = rest.split_at(2 * UPSTREAMS);
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let mut deployment = TestDeployment {
            _running: running,
            platform: spawn(Command::new(binary("standin")).args([
                "platform",
                "--listen",
                &platform.to_string(),
            ])),
            directory,
            upstreams: Vec::new(),
            instances: Vec::new(),
            requests: upstreams.chunks(2).map(|pair| pair[0]).collect(),
            callers: instances.chunks(3).map(|three| three[0]).collect(),
            operators: instances.chunks(3).map(|three| three[1]).collect(),
        };
        deployment.configure(*platform, upstreams);
        for (index, three) in instances.chunks(3).enumerate() {
            deployment.start_instance(index, three, *platform);
        }
        for operators in &deployment.operators {
            wait_for("owners", || all_owned(*operators));
        }
        deployment
    }

    fn configure(&mut self, platform: SocketAddr, addresses: &[SocketAddr]) {
        let mut declared = String::new();
        for (index, pair) in addresses.chunks(2).enumerate() {
            let (name, zone) = (format!("tt-{index}"), ZONES[index % 3]);
            let (requests, grants) = (pair[0].to_string(), pair[1].to_string());
            declared += &format!(
                "\"{name}\": {{ zone: \"{zone}\", requests: \"{requests}\", grants: \"{grants}\" }},\n"
            );
            let mut command = Command::new(binary("standin"));
            command.args(["upstream", "--team", "dryline", "--service", "tagtrack"]);
            command.args([
                "--name",
                &name,
                "--requests",
                &requests,
                "--grants",
                &grants,
            ]);
            self.upstreams.push(spawn(&mut command));
        }
        let text = format!(
            "{{ services: {{ tagtrack: {{ keyed: true, upstreams: {{ {declared} }} }} }} }}"
        );
        let file = self.directory.join("dryline.json5");
        fs::write(&file, text).expect("work directory is writable");
        wait_for("configuration", || {
            let mut command = Command::new(binary("godwitloom"));
            command.args([
                "config",
                "--platform",
                &platform.to_string(),
                "put",
                "dryline",
            ]);
            command.arg(&file).args(["--edited", "0"]);
            command.stdout(Stdio::null()).stderr(Stdio::null());
            command.status().expect("binary runs").success()
        });
    }

    fn start_instance(&mut self, index: usize, addresses: &[SocketAddr], platform: SocketAddr) {
        let settings = format!(
            "{{ id: \"gw-{index}\", zone: \"{}\", platform: \"{platform}\", listen: \
             {{ callers: \"{}\", operators: \"{}\", control: \"{}\" }} }}",
            ZONES[index % 3],
            addresses[0],
            addresses[1],
            addresses[2],
        );
        let file = self.directory.join(format!("gw-{index}.json5"));
        fs::write(&file, settings).expect("work directory is writable");
        let mut command = Command::new(binary("godwitloom"));
        self.instances.push(spawn(command.arg("serve").arg(file)));
    }

    /// Returns the index of the upstream that owns `key`.
    fn owner(&self, key: &str) -> usize {
        let answer = ask(self.callers[0], key);
        let answer: serde_json::Value = serde_json::from_str(&answer.2).expect("JSON");
        let name = answer["upstream"].as_str().expect("an upstream answered");
        name.trim_start_matches("tt-").parse().expect("an index")
    }

    fn load(&self, duration: Duration) -> caller::LoadOptions {
        let mut load = caller::LoadOptions::unkeyed("dryline", "tagtrack").with_callers(8);
        load.targets = self.callers.clone();
        load.keys = 32;
        load.pause = Duration::from_millis(2);
        load.duration = duration;
        load
    }
}

impl Drop for TestDeployment {
    fn drop(&mut self) {
        let children = self.instances.iter_mut().chain(&mut self.upstreams);
        for child in children.chain([&mut self.platform]) {
            signal(child, "CONT");
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn spawn(command: &mut Command) -> Child {
    let command = command.stdout(Stdio::null()).stderr(Stdio::null());
    command.spawn().expect("binary runs")
}

fn signal(child: &Child, name: &str) {
    let id = child.id().to_string();
    let _ = Command::new("kill")
        .args([&format!("-{name}"), &id])
        .status();
}

fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(started.elapsed() < START_TIMEOUT, "no {what} in time");
        thread::sleep(Duration::from_millis(50));
    }
}

fn all_owned(operators: SocketAddr) -> bool {
    let call = exchange::call(operators, Method::Get, "/status", "", CALL_TIMEOUT);
    let Ok(answer) = async_io::block_on(call) else {
        return false;
    };
    let status: operators::InstanceStatus = serde_json::from_str(&answer.body).expect("status");
    let mut services = status.services.iter();
    services.any(|s| !s.ranges.is_empty() && s.ranges.iter().all(|r| r.owner.is_some()))
}

/// Sends one request; returns status, outcome and body.
fn ask(address: SocketAddr, key: &str) -> (u16, Option<outcome::Outcome>, String) {
    let url = Url::parse("http://service.example/").expect("constant URL");
    let mut request = Request::new(Method::Get, url);
    request.insert_header(proxy::TEAM_HEADER, "dryline");
    request.insert_header(proxy::SERVICE_HEADER, "tagtrack");
    request.insert_header(proxy::KEY_HEADER, key);
    send(address, request)
}

fn send(address: SocketAddr, request: Request) -> (u16, Option<outcome::Outcome>, String) {
    async_io::block_on(async {
        let stream = stream::HttpStream::connect(address)
            .await
            .expect("reachable");
        let method = request.method();
        message::write_request(&stream, request)
            .await
            .expect("sent");
        let response = message::read_response(&stream, method, || {}).await;
        let mut response = response.expect("answered");
        let stated = response.header(outcome::OUTCOME_HEADER);
        let stated = stated.and_then(|v| outcome::Outcome::parse(v.last().as_str()));
        let body = response.body_string().await.expect("whole");
        (u16::from(response.status()), stated, body)
    })
}

#[test]
fn killed_upstream_fails_no_idempotent_request() {
    let mut deployment = TestDeployment::start("killed");
    let load = deployment.load(Duration::from_secs(4));
    let running = thread::spawn(move || caller::run(load));
    thread::sleep(Duration::from_secs(1));
    deployment.upstreams[0].kill().expect("running");
    let report = running.join().expect("load ends");
    assert_eq!((report.failed, report.wrong), (0, 0));
}

#[test]
fn resumed_upstream_refuses_a_key_it_lost() {
    let deployment = TestDeployment::start("frozen");
    let owner = deployment.owner("suit-1");
    signal(&deployment.upstreams[owner], "STOP");
    thread::sleep(Duration::from_secs(2));
    assert_ne!(
        deployment.owner("suit-1"),
        owner,
        "served by another upstream"
    );
    signal(&deployment.upstreams[owner], "CONT");
    let (status, stated, _) = ask(deployment.requests[owner], "suit-1");
    assert_eq!((status, stated), (421, Some(outcome::Outcome::NotRun)));
}

#[test]
fn stopped_instance_fails_no_request() {
    let mut deployment = TestDeployment::start("stopped");
    let mut load = deployment.load(Duration::from_secs(4));
    load.work_us = 20_000;
    load.method = Method::Post;
    let running = thread::spawn(move || caller::run(load));
    thread::sleep(Duration::from_secs(1));
    signal(&deployment.instances[1], "TERM");
    let report = running.join().expect("load ends");
    assert_eq!((report.failed, report.wrong), (0, 0));
    let status = deployment.instances[1].wait().expect("ends");
    assert_eq!(status.code(), Some(0));
}

#[test]
fn leaving_upstream_fails_no_request() {
    let mut deployment = TestDeployment::start("left");
    let mut load = deployment.load(Duration::from_secs(5));
    load.work_us = 20_000;
    load.method = Method::Post;
    let running = thread::spawn(move || caller::run(load));
    thread::sleep(Duration::from_secs(1));
    signal(&deployment.upstreams[2], "TERM");
    let report = running.join().expect("load ends");
    assert_eq!((report.failed, report.wrong), (0, 0));
    let status = deployment.upstreams[2].wait().expect("ends");
    assert_eq!(status.code(), Some(0));
}

#[test]
fn invalid_requests_are_refused_as_not_run() {
    let deployment = TestDeployment::start("bad");
    let address = deployment.callers[0];
    let build = |headers: &[(&str, &str)]| {
        let url = Url::parse("http://service.example/").expect("constant URL");
        let mut request = Request::new(Method::Get, url);
        for (name, value) in headers {
            request.insert_header(*name, *value);
        }
        request
    };
    let team = (proxy::TEAM_HEADER, "dryline");
    let service = (proxy::SERVICE_HEADER, "tagtrack");
    let not_run = Some(outcome::Outcome::NotRun);
    let (status, stated, body) = send(address, build(&[team]));
    assert_eq!((status, stated), (400, not_run), "{body}");
    let (status, stated, body) = send(address, build(&[team, service]));
    assert_eq!((status, stated), (400, not_run), "{body}");
    assert!(body.contains(proxy::KEY_HEADER), "{body}");
    let unknown = (proxy::SERVICE_HEADER, "absent");
    let (status, stated, body) = send(address, build(&[team, unknown]));
    assert_eq!((status, stated), (404, not_run), "{body}");
    let long = "x".repeat(9000);
    let (status, stated, body) = send(address, build(&[team, service, ("x-long", &long)]));
    assert_eq!((status, stated), (431, not_run), "{body}");
}
