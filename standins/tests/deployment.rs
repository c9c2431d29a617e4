//! Tests of a small deployment of real processes: fake metadata store and upstreams, and
//! instances. Processes are killed, suspended and stopped gracefully, and invalid requests
//! are sent.

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

/// Returns the path of a binary that cargo built beside `standin`.
fn binary(name: &str) -> PathBuf {
    let standin = Path::new(env!("CARGO_BIN_EXE_standin"));
    standin.with_file_name(name)
}

/// Held by the running deployment: only one runs at a time, since they share the CPU.
static DEPLOYMENT_LOCK: Mutex<()> = Mutex::new(());

struct TestDeployment {
    _lock: MutexGuard<'static, ()>,
    directory: PathBuf,
    store: Child,
    upstreams: Vec<Child>,
    instances: Vec<Child>,
    /// Addresses at which upstreams accept requests.
    request_addresses: Vec<SocketAddr>,
    /// Addresses at which instances accept callers' requests.
    caller_addresses: Vec<SocketAddr>,
    /// Addresses at which instances serve operators.
    operator_addresses: Vec<SocketAddr>,
}

impl TestDeployment {
    /// Starts the store, keyed upstreams and instances; waits until all ranges have an owner.
    fn start(name: &str) -> TestDeployment {
        let directory =
            std::env::temp_dir().join(format!("deployment-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("temporary directory is writable");
        let addresses = ports::free_addresses(1 + 2 * UPSTREAMS + 3 * INSTANCES);
        let (store, rest) = addresses.split_first().expect("not empty");
        let (upstreams, instances) = rest.split_at(2 * UPSTREAMS);
        let lock = DEPLOYMENT_LOCK
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut deployment = TestDeployment {
            _lock: lock,
            store: spawn(Command::new(binary("standin")).args([
                "platform",
                "--listen",
                &store.to_string(),
            ])),
            directory,
            upstreams: Vec::new(),
            instances: Vec::new(),
            request_addresses: upstreams.chunks(2).map(|pair| pair[0]).collect(),
            caller_addresses: instances.chunks(3).map(|addresses| addresses[0]).collect(),
            operator_addresses: instances.chunks(3).map(|addresses| addresses[1]).collect(),
        };
        deployment.start_upstreams(*store, upstreams);
        for (index, addresses) in instances.chunks(3).enumerate() {
            deployment.start_instance(index, addresses, *store);
        }
        for address in &deployment.operator_addresses {
            wait_for("owner of each range", || all_owned(*address));
        }
        deployment
    }

    /// Starts the upstreams and stores the configuration that declares them.
    fn start_upstreams(&mut self, store: SocketAddr, addresses: &[SocketAddr]) {
        let mut declarations = String::new();
        for (index, pair) in addresses.chunks(2).enumerate() {
            let (name, zone) = (format!("tt-{index}"), ZONES[index % 3]);
            let (requests, grants) = (pair[0].to_string(), pair[1].to_string());
            declarations += &format!(
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
        let configuration = format!(
            "{{ services: {{ tagtrack: {{ keyed: true, upstreams: {{ {declarations} }} }} }} }}"
        );
        let file = self.directory.join("dryline.json5");
        fs::write(&file, configuration).expect("temporary directory is writable");
        wait_for("stored configuration", || {
            let mut command = Command::new(binary("godwitloom"));
            command.args(["config", "--platform", &store.to_string(), "put", "dryline"]);
            command.arg(&file).args(["--edited", "0"]);
            command.stdout(Stdio::null()).stderr(Stdio::null());
            command.status().expect("binary runs").success()
        });
    }

    fn start_instance(&mut self, index: usize, addresses: &[SocketAddr], store: SocketAddr) {
        let settings = format!(
            "{{ id: \"gw-{index}\", zone: \"{}\", platform: \"{store}\", listen: \
             {{ callers: \"{}\", operators: \"{}\", control: \"{}\" }} }}",
            ZONES[index % 3],
            addresses[0],
            addresses[1],
            addresses[2],
        );
        let file = self.directory.join(format!("gw-{index}.json5"));
        fs::write(&file, settings).expect("temporary directory is writable");
        let mut command = Command::new(binary("godwitloom"));
        self.instances.push(spawn(command.arg("serve").arg(file)));
    }

    /// Returns the index of the upstream that answers a request with `key`.
    fn owner(&self, key: &str) -> usize {
        let response = send_keyed(self.caller_addresses[0], key);
        let response: serde_json::Value = serde_json::from_str(&response.2).expect("body is JSON");
        let name = response["upstream"]
            .as_str()
            .expect("response names its upstream");
        name.trim_start_matches("tt-")
            .parse()
            .expect("name ends with an index")
    }

    fn load(&self, duration: Duration) -> caller::LoadOptions {
        let mut load = caller::LoadOptions::unkeyed("dryline", "tagtrack").with_callers(8);
        load.targets = self.caller_addresses.clone();
        load.keys = 32;
        load.pause = Duration::from_millis(2);
        load.duration = duration;
        load
    }
}

impl Drop for TestDeployment {
    fn drop(&mut self) {
        let children = self.instances.iter_mut().chain(&mut self.upstreams);
        for child in children.chain([&mut self.store]) {
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

/// Sends a signal, by its name without SIG.
fn signal(child: &Child, name: &str) {
    let pid = child.id().to_string();
    let _ = Command::new("kill")
        .args([&format!("-{name}"), &pid])
        .status();
}

fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(
            started.elapsed() < START_TIMEOUT,
            "no {what} within {START_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(50));
    }
}

/// Returns whether some service has ranges and all of them have an owner, as the instance
/// at `address` reports.
fn all_owned(address: SocketAddr) -> bool {
    let call = exchange::call(address, Method::Get, "/status", "", CALL_TIMEOUT);
    let Ok(response) = async_io::block_on(call) else {
        return false;
    };
    let status: operators::InstanceStatus =
        serde_json::from_str(&response.body).expect("body is a status");
    let mut services = status.services.iter();
    services.any(|s| !s.ranges.is_empty() && s.ranges.iter().all(|r| r.owner.is_some()))
}

/// Sends a request with a key; returns the response's status, outcome and body.
fn send_keyed(address: SocketAddr, key: &str) -> (u16, Option<outcome::Outcome>, String) {
    let url = Url::parse("http://service.example/").expect("constant URL");
    let mut request = Request::new(Method::Get, url);
    request.insert_header(proxy::TEAM_HEADER, "dryline");
    request.insert_header(proxy::SERVICE_HEADER, "tagtrack");
    request.insert_header(proxy::KEY_HEADER, key);
    send(address, request)
}

/// Sends a request; returns the response's status, outcome and body.
fn send(address: SocketAddr, request: Request) -> (u16, Option<outcome::Outcome>, String) {
    async_io::block_on(async {
        let stream = stream::HttpStream::connect(address)
            .await
            .expect("address accepts connections");
        let method = request.method();
        message::write_request(&stream, request)
            .await
            .expect("request is sent");
        let response = message::read_response(&stream, method, || {}).await;
        let mut response = response.expect("response arrives");
        let values = response.header(outcome::OUTCOME_HEADER);
        let outcome = values.and_then(|v| outcome::Outcome::parse(v.last().as_str()));
        let body = response.body_string().await.expect("body is complete");
        (u16::from(response.status()), outcome, body)
    })
}

#[test]
fn killed_upstream_fails_no_idempotent_request() {
    let mut deployment = TestDeployment::start("killed");
    let load = deployment.load(Duration::from_secs(4));
    let load_thread = thread::spawn(move || caller::run(load));
    thread::sleep(Duration::from_secs(1));
    deployment.upstreams[0].kill().expect("process runs");
    let report = load_thread.join().expect("load ends without a panic");
    assert_eq!((report.failed, report.mismatched), (0, 0));
}

// The grant of a suspended upstream expires without its noticing.
#[test]
fn resumed_upstream_refuses_a_key_it_lost() {
    let deployment = TestDeployment::start("suspended");
    let owner = deployment.owner("suit-1");
    signal(&deployment.upstreams[owner], "STOP");
    thread::sleep(Duration::from_secs(2));
    assert_ne!(
        deployment.owner("suit-1"),
        owner,
        "range was not moved to another upstream"
    );
    signal(&deployment.upstreams[owner], "CONT");
    let (status, outcome, _) = send_keyed(deployment.request_addresses[owner], "suit-1");
    assert_eq!((status, outcome), (421, Some(outcome::Outcome::NotRun)));
}

#[test]
fn stopped_instance_fails_no_request() {
    let mut deployment = TestDeployment::start("stopped");
    let mut load = deployment.load(Duration::from_secs(4));
    load.work_us = 20_000;
    load.method = Method::Post;
    let load_thread = thread::spawn(move || caller::run(load));
    thread::sleep(Duration::from_secs(1));
    signal(&deployment.instances[1], "TERM");
    let report = load_thread.join().expect("load ends without a panic");
    assert_eq!((report.failed, report.mismatched), (0, 0));
    let status = deployment.instances[1].wait().expect("process ends");
    assert_eq!(status.code(), Some(0));
}

#[test]
fn leaving_upstream_fails_no_request() {
    let mut deployment = TestDeployment::start("leaving");
    let mut load = deployment.load(Duration::from_secs(5));
    load.work_us = 20_000;
    load.method = Method::Post;
    let load_thread = thread::spawn(move || caller::run(load));
    thread::sleep(Duration::from_secs(1));
    signal(&deployment.upstreams[2], "TERM");
    let report = load_thread.join().expect("load ends without a panic");
    assert_eq!((report.failed, report.mismatched), (0, 0));
    let status = deployment.upstreams[2].wait().expect("process ends");
    assert_eq!(status.code(), Some(0));
}

#[test]
fn invalid_requests_are_refused_as_not_run() {
    let deployment = TestDeployment::start("invalid");
    let address = deployment.caller_addresses[0];
    let build_request = |headers: &[(&str, &str)]| {
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
    let (status, outcome, body) = send(address, build_request(&[team]));
    assert_eq!((status, outcome), (400, not_run), "{body}");
    let (status, outcome, body) = send(address, build_request(&[team, service]));
    assert_eq!((status, outcome), (400, not_run), "{body}");
    assert!(body.contains(proxy::KEY_HEADER), "{body}");
    let unknown = (proxy::SERVICE_HEADER, "absent");
    let (status, outcome, body) = send(address, build_request(&[team, unknown]));
    assert_eq!((status, outcome), (404, not_run), "{body}");
    let long_value = "x".repeat(9000);
    let (status, outcome, body) = send(
        address,
        build_request(&[team, service, ("x-long", &long_value)]),
    );
    assert_eq!((status, outcome), (431, not_run), "{body}");
}
