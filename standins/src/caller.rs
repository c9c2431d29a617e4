//! Fake callers: a closed-loop load generator that runs for a given time.
//!
//! Every response is compared with its request. A caller whose request fails
//! continues at the next instance, as if the platform's load balancer directed it
//! there. It retries the request only if it could not connect, or if the method is GET
//! and the exchange failed before the response timeout.

use async_executor::LocalExecutor;
use godwitloom::{message, proxy, stream, timer};
use hdrhistogram::Histogram;
use http_types::{Method, Request, Response, Url};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// What to send, where and for how long.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Addresses of instances, or of one upstream.
    pub targets: Vec<SocketAddr>,
    pub team: String,
    pub service: String,
    /// Number of distinct keys; 0 sends no key.
    pub keys: usize,
    /// Share of requests that go to a tenth of the keys, in percent; 0 sends requests to
    /// all keys in turn.
    pub skew_percent: u32,
    /// Interval after which another tenth of the keys is the popular one; 0 for never.
    pub shift_interval: Duration,
    pub callers: usize,
    pub duration: Duration,
    /// Pause of a caller between two requests.
    pub pause: Duration,
    pub method: Method,
    /// Service time that the upstream is asked for, in microseconds.
    pub work_us: u64,
}

impl LoadOptions {
    /// Returns a load without keys, pauses or targets.
    pub fn unkeyed(team: &str, service: &str) -> LoadOptions {
        LoadOptions {
            targets: Vec::new(),
            team: team.to_owned(),
            service: service.to_owned(),
            keys: 0,
            skew_percent: 0,
            shift_interval: Duration::ZERO,
            callers: 1,
            duration: Duration::from_secs(1),
            pause: Duration::ZERO,
            method: Method::Get,
            work_us: 0,
        }
    }

    pub fn with_target(mut self, target: SocketAddr) -> LoadOptions {
        self.targets = vec![target];
        self
    }

    pub fn with_callers(mut self, callers: usize) -> LoadOptions {
        self.callers = callers;
        self
    }

    pub fn with_duration(mut self, duration: Duration) -> LoadOptions {
        self.duration = duration;
        self
    }
}

/// Results of one load.
#[derive(Debug)]
pub struct LoadReport {
    pub requests: u64,
    /// Requests without a response of status 200 that matches them.
    pub failed: u64,
    /// Responses of status 200 that belong to another request.
    pub mismatched: u64,
    /// Retries; a last attempt that failed in a way that allows a retry counts as one too.
    pub retried: u64,
    pub elapsed: Duration,
    /// Latency of all requests, failed ones included, in microseconds.
    pub latency: Histogram<u64>,
    /// Longest time between two successful responses, by key.
    pub longest_gaps: HashMap<String, Duration>,
    /// Successful responses, by upstream.
    pub responses_by_upstream: HashMap<String, u64>,
}

impl LoadReport {
    fn new() -> LoadReport {
        LoadReport {
            requests: 0,
            failed: 0,
            mismatched: 0,
            retried: 0,
            elapsed: Duration::ZERO,
            latency: Histogram::new(3).expect("three digits are allowed"),
            longest_gaps: HashMap::new(),
            responses_by_upstream: HashMap::new(),
        }
    }

    /// Returns the longest gap of any key.
    pub fn longest_gap(&self) -> Duration {
        self.longest_gaps
            .values()
            .copied()
            .max()
            .unwrap_or_default()
    }

    /// Returns successful responses per second.
    pub fn throughput(&self) -> f64 {
        (self.requests - self.failed) as f64 / self.elapsed.as_secs_f64()
    }
}

/// State that the callers of one load share.
struct LoadRun {
    options: LoadOptions,
    started: Instant,
    report: RefCell<LoadReport>,
    /// Time of the last successful response, by key.
    last_responses: RefCell<HashMap<String, Instant>>,
}

/// Runs the load for its duration and the requests then in flight to their end.
pub fn run(options: LoadOptions) -> LoadReport {
    let executor = LocalExecutor::new();
    let callers = options.callers;
    let load = Rc::new(LoadRun {
        options,
        started: Instant::now(),
        report: RefCell::new(LoadReport::new()),
        last_responses: RefCell::default(),
    });
    let spawn = |index| executor.spawn(run_caller(load.clone(), index));
    let tasks: Vec<_> = (0..callers).map(spawn).collect();
    async_io::block_on(executor.run(async {
        for task in tasks {
            task.await;
        }
    }));
    let mut report = load.report.replace(LoadReport::new());
    report.elapsed = load.started.elapsed();
    report
}

async fn run_caller(load: Rc<LoadRun>, index: usize) {
    let mut caller = Caller {
        load: load.clone(),
        target: index % load.options.targets.len(),
        connection: None,
        sent: 0,
        index,
    };
    while load.started.elapsed() < load.options.duration {
        caller.send_request().await;
        if !load.options.pause.is_zero() {
            async_io::Timer::after(load.options.pause).await;
        }
    }
}

struct Caller {
    load: Rc<LoadRun>,
    /// Index of the current target.
    target: usize,
    connection: Option<stream::HttpStream>,
    /// Requests sent so far, without retries.
    sent: u64,
    index: usize,
}

impl Caller {
    /// Sends one request, with at most one retry at each target.
    async fn send_request(&mut self) {
        self.sent += 1;
        let id = format!("{}-{}", self.index, self.sent);
        let key = self.load.key(self.index, self.sent);
        let started = Instant::now();
        let mut response = None;
        for _ in 0..=self.load.options.targets.len() {
            let result = self.exchange(&id, key.as_deref()).await;
            match result {
                Ok(complete) => {
                    response = Some(complete);
                    break;
                }
                Err(may_retry) => {
                    self.connection = None;
                    self.target = (self.target + 1) % self.load.options.targets.len();
                    if !may_retry {
                        break;
                    }
                    self.load.report.borrow_mut().retried += 1;
                }
            }
        }
        self.load.record(started, &id, key, response);
    }

    /// Returns the response's status and body, or an error that says whether the request
    /// may be retried.
    async fn exchange(&mut self, id: &str, key: Option<&str>) -> Result<(u16, String), bool> {
        let idempotent = self.load.options.method == Method::Get;
        let stream = match self.connection.take().filter(stream::HttpStream::is_idle) {
            Some(stream) => stream,
            None => {
                let address = self.load.options.targets[self.target];
                stream::HttpStream::connect(address)
                    .await
                    .map_err(|_| true)?
            }
        };
        let request = self.load.build_request(id, key);
        let method = request.method();
        let exchange = async {
            message::write_request(&stream, request).await?;
            let mut response: Response = message::read_response(&stream, method, || {}).await?;
            let status = u16::from(response.status());
            let closes = announces_close(&response);
            let body = response.body_string().await;
            let body = body.map_err(|e| message::MessageError::Malformed(e.to_string()))?;
            Ok::<_, message::MessageError>((status, body, closes))
        };
        let result = timer::within(RESPONSE_TIMEOUT, exchange).await;
        let (status, body, closes) = result.ok_or(false)?.map_err(|_| idempotent)?;
        if stream.is_reusable() && !closes {
            self.connection = Some(stream);
        }
        Ok((status, body))
    }
}

/// Returns whether the peer closes the connection after the response.
fn announces_close(response: &Response) -> bool {
    let connection = response.header("connection");
    connection.is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"))
}

impl LoadRun {
    /// Returns the key of a caller's next request; `None` for an unkeyed load.
    ///
    /// Each shift interval moves the popular keys by a seventh of all keys.
    fn key(&self, index: usize, sent: u64) -> Option<String> {
        let keys = self.options.keys;
        if keys == 0 {
            return None;
        }
        let number = match self.options.skew_percent {
            0 => index + sent as usize * self.options.callers,
            skew if fastrand::u32(..100) < skew => fastrand::usize(..keys.div_ceil(10)),
            _ => fastrand::usize(..keys),
        };
        let shifts = match self.options.shift_interval.as_millis() {
            0 => 0,
            millis => (self.started.elapsed().as_millis() / millis) as usize,
        };
        Some(format!("key-{}", (number + shifts * keys / 7) % keys))
    }

    fn build_request(&self, id: &str, key: Option<&str>) -> Request {
        let url = Url::parse("http://service.example/request").expect("constant URL");
        let mut request = Request::new(self.options.method, url);
        request.insert_header(proxy::TEAM_HEADER, self.options.team.as_str());
        request.insert_header(proxy::SERVICE_HEADER, self.options.service.as_str());
        request.insert_header("x-request", id);
        if let Some(key) = key {
            request.insert_header(proxy::KEY_HEADER, key);
        }
        if self.options.work_us > 0 {
            request.insert_header("x-work-us", self.options.work_us.to_string());
        }
        request
    }

    fn record(
        &self,
        started: Instant,
        id: &str,
        key: Option<String>,
        response: Option<(u16, String)>,
    ) {
        let mut report = self.report.borrow_mut();
        report.requests += 1;
        let now = Instant::now();
        let micros = (now - started).as_micros() as u64;
        let _ = report.latency.record(micros);
        let Some((200, body)) = response else {
            if let Some((status, body)) = response {
                log::debug!("request {id} failed: {status} {body}");
            }
            report.failed += 1;
            return;
        };
        let response: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        if response["request"] != id || key.as_deref() != response["key"].as_str() {
            report.mismatched += 1;
            report.failed += 1;
            return;
        }
        let upstream = response["upstream"].as_str().unwrap_or("?").to_owned();
        *report.responses_by_upstream.entry(upstream).or_default() += 1;
        let Some(key) = key else { return };
        let last_response = self.last_responses.borrow_mut().insert(key.clone(), now);
        let gap = now - last_response.unwrap_or(started);
        let longest_gap = report.longest_gaps.entry(key).or_default();
        *longest_gap = (*longest_gap).max(gap);
    }
}
