//! Stand-in of callers: a bounded closed-loop load.
//!
//! Every answer is compared with its request. A caller whose instance is gone
//! goes to the next one, as the platform's balancer would make it, and repeats
//! a request only if no byte was sent or the method is GET.

use async_executor::LocalExecutor;
use godwitloom::{message, proxy, stream, timer};
use hdrhistogram::Histogram;
use http_types::{Method, Request, Response, Url};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Load of one run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    pub targets: Vec<SocketAddr>,
    pub team: String,
    pub service: String,
    /// Number of distinct keys; 0 sends no key.
    pub keys: usize,
    /// Share of requests that go to the first tenth of the keys, in percent.
    pub skew_percent: u32,
    /// Interval after which other keys are the popular ones.
    pub shift: Duration,
    pub callers: usize,
    pub duration: Duration,
    /// Pause of a caller between two requests.
    pub pause: Duration,
    pub method: Method,
    /// Service time asked of the upstream, in microseconds.
    pub work_us: u64,
}

impl LoadOptions {
    /// Returns a load without keys and pauses.
    pub fn unkeyed(team: &str, service: &str) -> LoadOptions {
        LoadOptions {
            targets: Vec::new(),
            team: team.to_owned(),
            service: service.to_owned(),
            keys: 0,
            skew_percent: 0,
            shift: Duration::ZERO,
            callers: 1,
            duration: Duration::from_secs(1),
            pause: Duration::ZERO,
            method: Method::Get,
            work_us: 0,
        }
    }

    /// Sets the only target.
    pub fn with_target(mut self, target: SocketAddr) -> LoadOptions {
        self.targets = vec![target];
        self
    }

    /// Sets the number of callers.
    pub fn with_callers(mut self, callers: usize) -> LoadOptions {
        self.callers = callers;
        self
    }

    /// Sets the length of the load.
    pub fn with_duration(mut self, duration: Duration) -> LoadOptions {
        self.duration = duration;
        self
    }
}

/// Result of one run.
#[derive(Debug)]
pub struct LoadReport {
    pub requests: u64,
    pub failed: u64,
    /// Answers that belong to another request.
    pub wrong: u64,
    /// Requests sent again after their instance was lost.
    pub repeated: u64,
    pub elapsed: Duration,
    /// Latency in microseconds.
    pub latency: Histogram<u64>,
    /// Longest time between two answers, per key.
    pub gaps: HashMap<String, Duration>,
    /// Requests answered per upstream.
    pub upstreams: HashMap<String, u64>,
}

impl LoadReport {
    fn new() -> LoadReport {
        LoadReport {
            requests: 0,
            failed: 0,
            wrong: 0,
            repeated: 0,
            elapsed: Duration::ZERO,
            latency: Histogram::new(3).expect("three digits are allowed"),
            gaps: HashMap::new(),
            upstreams: HashMap::new(),
        }
    }

    /// Returns the longest gap of any key.
    pub fn longest_gap(&self) -> Duration {
        self.gaps.values().copied().max().unwrap_or_default()
    }

    /// Returns answered requests per second.
    pub fn throughput(&self) -> f64 {
        (self.requests - self.failed) as f64 / self.elapsed.as_secs_f64()
    }
}

struct Load {
    options: LoadOptions,
    started: Instant,
    report: RefCell<LoadReport>,
    answered: RefCell<HashMap<String, Instant>>,
}

/// Runs the load to its end.
pub fn run(options: LoadOptions) -> LoadReport {
    let executor = LocalExecutor::new();
    let callers = options.callers;
    let load = Rc::new(Load {
        options,
        started: Instant::now(),
        report: RefCell::new(LoadReport::new()),
        answered: RefCell::default(),
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

async fn run_caller(load: Rc<Load>, index: usize) {
    let mut caller = Caller {
        load: load.clone(),
        target: index % load.options.targets.len(),
        connection: None,
        sent: 0,
        index,
    };
    while load.started.elapsed() < load.options.duration {
        caller.request().await;
        if !load.options.pause.is_zero() {
            async_io::Timer::after(load.options.pause).await;
        }
    }
}

struct Caller {
    load: Rc<Load>,
    target: usize,
    connection: Option<stream::HttpStream>,
    sent: u64,
    index: usize,
}

impl Caller {
    async fn request(&mut self) {
        self.sent += 1;
        let id = format!("{}-{}", self.index, self.sent);
        let key = self.load.key(self.index, self.sent);
        let started = Instant::now();
        let mut body = None;
        for _ in 0..=self.load.options.targets.len() {
            let outcome = self.exchange(&id, key.as_deref()).await;
            match outcome {
                Ok(answer) => {
                    body = Some(answer);
                    break;
                }
                Err(repeatable) => {
                    self.connection = None;
                    self.target = (self.target + 1) % self.load.options.targets.len();
                    if !repeatable {
                        break;
                    }
                    self.load.report.borrow_mut().repeated += 1;
                }
            }
        }
        self.load.note(started, &id, key, body);
    }

    /// Returns the answer, or whether the request may be sent again.
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
        let request = self.load.build(id, key);
        let method = request.method();
        let exchange = async {
            message::write_request(&stream, request).await?;
            let mut response: Response = message::read_response(&stream, method, || {}).await?;
            let status = u16::from(response.status());
            let body = response.body_string().await;
            let body = body.map_err(|e| message::MessageError::Malformed(e.to_string()))?;
            Ok::<_, message::MessageError>((status, body))
        };
        let answer = timer::within(ANSWER_TIMEOUT, exchange).await;
        let answer = answer.ok_or(false)?.map_err(|_| idempotent)?;
        if stream.is_reusable() {
            self.connection = Some(stream);
        }
        Ok(answer)
    }
}

impl Load {
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
        let shifts = match self.options.shift.as_millis() {
            0 => 0,
            millis => (self.started.elapsed().as_millis() / millis) as usize,
        };
        Some(format!("key-{}", (number + shifts * keys / 7) % keys))
    }

    fn build(&self, id: &str, key: Option<&str>) -> Request {
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

    fn note(&self, started: Instant, id: &str, key: Option<String>, body: Option<(u16, String)>) {
        let mut report = self.report.borrow_mut();
        report.requests += 1;
        let now = Instant::now();
        let micros = (now - started).as_micros() as u64;
        let _ = report.latency.record(micros);
        let Some((200, body)) = body else {
            if let Some((status, body)) = body {
                log::debug!("request {id} failed: {status} {body}");
            }
            report.failed += 1;
            return;
        };
        let answer: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        if answer["request"] != id || key.as_deref() != answer["key"].as_str() {
            report.wrong += 1;
            report.failed += 1;
            return;
        }
        let upstream = answer["upstream"].as_str().unwrap_or("?").to_owned();
        *report.upstreams.entry(upstream).or_default() += 1;
        let Some(key) = key else { return };
        let before = self.answered.borrow_mut().insert(key.clone(), now);
        let gap = now - before.unwrap_or(started);
        let longest = report.gaps.entry(key).or_default();
        *longest = (*longest).max(gap);
    }
}
