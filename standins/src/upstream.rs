//! Fake upstream.
//!
//! It runs a limited number of requests at once, each in a slot, and responds with
//! what it received. A request whose key it does not own, or for which there is no
//! room, is refused with the outcome "not-run". Of a request's headers, `x-work-us`
//! is its service time in microseconds and `x-answer-bytes` asks for a response body
//! of that size. `POST /standin/set?slow=N` multiplies service times by N.

use crate::http;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_lock::Semaphore;
use async_signal::{Signal, Signals};
use futures_lite::future;
use futures_lite::{AsyncReadExt, StreamExt};
use godwitloom::clock::{BootClock, Clock};
use godwitloom::{grant, holder, instance, outcome, proxy, range, wire};
use http_types::{Body, Request, Response, StatusCode};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// Requests that may wait for a slot, per slot.
const MAX_QUEUED_PER_SLOT: usize = 4;

/// Longest time from the signal until the upstream stops although it still owns keys or runs
/// requests.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Name, addresses and behaviour of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    pub name: String,
    pub key: godwitloom::ids::UpstreamKey,
    pub keyed: bool,
    pub request_address: SocketAddr,
    pub grant_address: SocketAddr,
    /// Number of requests that run at once.
    pub slots: usize,
    pub check: holder::FenceCheck,
    /// Time after the start in which requests take longer, at first by a hundredth of it
    /// and then by less and less.
    pub cold_start: Duration,
}

struct Upstream {
    options: UpstreamOptions,
    clock: BootClock,
    started: Duration,
    holder: RefCell<holder::HolderState>,
    subscribers: RefCell<holder::SubscriberList<SocketAddr>>,
    slots: Semaphore,
    /// Requests that wait for a slot or run.
    admitted: Cell<usize>,
    leaving: Cell<bool>,
    /// Factor by which service times are multiplied.
    slowdown: Cell<u32>,
    socket: Async<UdpSocket>,
}

/// Runs the upstream until it gets SIGTERM or SIGINT, and then until its keys have been moved
/// and its requests have ended, for at most `LEAVE_TIMEOUT`.
pub fn run(options: UpstreamOptions) -> io::Result<()> {
    let listener = Async::new(TcpListener::bind(options.request_address)?)?;
    let clock = BootClock;
    let state = holder::HolderState::new(options.key, fastrand::u64(1..), options.check);
    let upstream = Rc::new(Upstream {
        clock,
        started: clock.now(),
        holder: RefCell::new(state),
        subscribers: RefCell::new(holder::SubscriberList::new()),
        slots: Semaphore::new(options.slots),
        admitted: Cell::new(0),
        leaving: Cell::new(false),
        slowdown: Cell::new(1),
        socket: Async::<UdpSocket>::bind(options.grant_address)?,
        options,
    });
    let executor = Rc::new(LocalExecutor::new());
    executor.spawn(send_heartbeats(upstream.clone())).detach();
    executor.spawn(receive_datagrams(upstream.clone())).detach();
    let served = upstream.clone();
    let respond = move |request| respond(served.clone(), request);
    let serve = http::serve(executor.clone(), listener, respond);
    async_io::block_on(executor.run(future::or(serve, leave_on_signal(upstream))));
    Ok(())
}

/// Waits for a signal, asks for the keys to be moved, and returns when the upstream may
/// stop, at the earliest after 1 s.
async fn leave_on_signal(upstream: Rc<Upstream>) {
    let Ok(mut signals) = Signals::new([Signal::Term, Signal::Int]) else {
        return future::pending().await;
    };
    signals.next().await;
    upstream.leaving.set(true);
    upstream.holder.borrow_mut().leave();
    let started = upstream.clock.now();
    while upstream.clock.now() - started < LEAVE_TIMEOUT {
        Timer::after(Duration::from_millis(20)).await;
        let owns_nothing = !upstream.options.keyed || upstream.holder.borrow().drained();
        let is_idle = upstream.admitted.get() == 0;
        if owns_nothing && is_idle && upstream.clock.now() - started > Duration::from_secs(1) {
            return;
        }
    }
}

async fn send_heartbeats(upstream: Rc<Upstream>) {
    loop {
        upstream.send_heartbeat();
        Timer::after(grant::HEARTBEAT_INTERVAL).await;
    }
}

async fn receive_datagrams(upstream: Rc<Upstream>) {
    let mut buffer = vec![0; wire::MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = upstream.socket.recv_from(&mut buffer).await else {
            continue;
        };
        if let Ok(envelope) = wire::UpstreamEnvelope::decode(&buffer[..length]) {
            upstream.handle_message(sender, envelope);
        }
    }
}

impl Upstream {
    fn send_heartbeat(&self) {
        let now = self.clock.now();
        let mut holder = self.holder.borrow_mut();
        let datagram = wire::encode_heartbeat(&holder.heartbeat(now));
        let renewers = holder.set().renewers.clone();
        for address in self.subscribers.borrow().addresses(now, &renewers) {
            let _ = self.socket.get_ref().send_to(&datagram, address);
        }
    }

    /// Handles a message; sends a heartbeat at once if it brings a grant set or its sender
    /// is a new subscriber.
    fn handle_message(&self, sender: SocketAddr, envelope: wire::UpstreamEnvelope) {
        let now = self.clock.now();
        let is_new = self
            .subscribers
            .borrow_mut()
            .subscribe(now, envelope.from, sender);
        match envelope.message {
            instance::UpstreamMessage::Subscribe(_) => {}
            instance::UpstreamMessage::Grant(order) => {
                self.holder.borrow_mut().on_grant(now, order);
                return self.send_heartbeat();
            }
            instance::UpstreamMessage::Renew(renewal) => {
                self.holder.borrow_mut().on_renewal(envelope.from, renewal);
            }
        }
        if is_new {
            self.send_heartbeat();
        }
    }

    /// Admits a request or returns the refusal; the work key is `None` for an unkeyed
    /// service.
    fn admit(&self, request: &Request) -> Result<Option<holder::WorkKey>, Box<Response>> {
        if self.admitted.get() >= self.options.slots * (1 + MAX_QUEUED_PER_SLOT) {
            return Err(refuse(
                StatusCode::ServiceUnavailable,
                "all slots are taken",
            ));
        }
        if !self.options.keyed {
            return match self.leaving.get() {
                true => Err(refuse(StatusCode::ServiceUnavailable, "upstream leaves")),
                false => Ok(None),
            };
        }
        let key = header(request, proxy::KEY_HEADER).unwrap_or_default();
        let hash = range::KeyHash::of(key.as_bytes());
        let work = self.holder.borrow_mut().begin(self.clock.now(), hash);
        let not_owned = || {
            refuse(
                StatusCode::MisdirectedRequest,
                "upstream does not own the key",
            )
        };
        work.map(Some).ok_or_else(not_owned)
    }

    fn owns(&self, request: &Request) -> bool {
        let key = header(request, proxy::KEY_HEADER).unwrap_or_default();
        let hash = range::KeyHash::of(key.as_bytes());
        self.holder.borrow().owns(self.clock.now(), hash)
    }

    fn service_time(&self, request: &Request) -> Duration {
        let work_us = header(request, "x-work-us").and_then(|text| text.parse().ok());
        let work = Duration::from_micros(work_us.unwrap_or(0)) * self.slowdown.get();
        let age = self.clock.now() - self.started;
        let cold_left = self.options.cold_start.saturating_sub(age);
        work + cold_left / 100
    }
}

fn header(request: &Request, name: &str) -> Option<String> {
    let values = request.header(name)?;
    Some(values.last().as_str().to_owned())
}

fn refuse(status: StatusCode, error: &str) -> Box<Response> {
    let mut response = http::json(status, &json!({ "error": error }));
    let outcome = outcome::Outcome::NotRun.as_str();
    response.insert_header(outcome::OUTCOME_HEADER, outcome);
    Box::new(response)
}

/// Admission of a request, which ends when it is dropped.
struct AdmittedRequest {
    upstream: Rc<Upstream>,
    work: Option<holder::WorkKey>,
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        self.upstream.admitted.set(self.upstream.admitted.get() - 1);
        if let Some(work) = self.work {
            self.upstream.holder.borrow_mut().finish(work);
        }
    }
}

/// Returns the response to a request; `None` closes the connection without one.
async fn respond(upstream: Rc<Upstream>, mut request: Request) -> Option<Response> {
    if request.url().path() == "/standin/set" {
        upstream
            .slowdown
            .set(http::query_number(&request, "slow") as u32);
        return Some(http::json(StatusCode::Ok, &json!({})));
    }
    let work = match upstream.admit(&request) {
        Ok(work) => work,
        Err(refusal) => return Some(*refusal),
    };
    upstream.admitted.set(upstream.admitted.get() + 1);
    let admitted = AdmittedRequest {
        upstream: upstream.clone(),
        work,
    };
    let length = read_body(&mut request).await?;
    let slot = upstream.slots.acquire().await;
    let service_time = upstream.service_time(&request);
    if !service_time.is_zero() {
        Timer::after(service_time).await;
    }
    drop(slot);
    // The key was lost while the request ran; the caller can't tell whether it ran.
    if upstream.options.keyed && !upstream.owns(&request) {
        return None;
    }
    drop(admitted);
    Some(build_response(&upstream, &request, length))
}

/// Reads the body and returns its length in bytes; `None` if it is incomplete.
async fn read_body(request: &mut Request) -> Option<u64> {
    let mut body = request.take_body();
    let mut buffer = vec![0; 16 * 1024];
    let mut length = 0;
    loop {
        match body.read(&mut buffer).await.ok()? {
            0 => return Some(length),
            count => length += count as u64,
        }
    }
}

/// Builds the response that describes the request, or one of the size that it asks for.
fn build_response(upstream: &Upstream, request: &Request, length: u64) -> Response {
    if let Some(bytes) = header(request, "x-answer-bytes").and_then(|text| text.parse().ok()) {
        let mut response = Response::new(StatusCode::Ok);
        let filler = futures_lite::io::repeat(b'x').take(bytes);
        let reader = futures_lite::io::BufReader::new(filler);
        response.set_body(Body::from_reader(reader, Some(bytes as usize)));
        return response;
    }
    let received = json!({
        "upstream": upstream.options.name,
        "key": header(request, proxy::KEY_HEADER),
        "request": header(request, "x-request"),
        "path": request.url().path(),
        "body_bytes": length,
        "fence": upstream.holder.borrow().set().generation.to_string(),
    });
    http::json(StatusCode::Ok, &received)
}
