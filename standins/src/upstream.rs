//! Stand-in of an upstream.
//!
//! It runs requests in a few slots, refuses what it does not own or cannot take
//! as "not run", and answers with what it saw of the request. Headers of a
//! request: `x-work-us` is its service time in microseconds, `x-answer-bytes`
//! asks for a body of that size. `POST /standin/set?slow=N` multiplies service
//! times by N.

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

/// Requests that wait for a slot, per slot.
const QUEUE_PER_SLOT: usize = 4;

/// Longest wait for the last key to leave on SIGTERM.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Name, sockets and behaviour of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    pub name: String,
    pub key: godwitloom::ids::UpstreamKey,
    pub keyed: bool,
    pub requests: SocketAddr,
    pub grants: SocketAddr,
    pub slots: usize,
    pub check: holder::FenceCheck,
    /// Extra service time that shrinks to nothing over this time after start.
    pub cold_start: Duration,
}

struct Upstream {
    options: UpstreamOptions,
    clock: BootClock,
    started: Duration,
    holder: RefCell<holder::HolderState>,
    book: RefCell<holder::SubscriberList<SocketAddr>>,
    slots: Semaphore,
    admitted: Cell<usize>,
    leaving: Cell<bool>,
    slow: Cell<u32>,
    socket: Async<UdpSocket>,
}

/// Runs the upstream until SIGTERM and its keys have left.
pub fn run(options: UpstreamOptions) -> io::Result<()> {
    let listener = Async::new(TcpListener::bind(options.requests)?)?;
    let clock = BootClock;
    let state = holder::HolderState::new(options.key, fastrand::u64(1..), options.check);
    let upstream = Rc::new(Upstream {
        clock,
        started: clock.now(),
        holder: RefCell::new(state),
        book: RefCell::new(holder::SubscriberList::new()),
        slots: Semaphore::new(options.slots),
        admitted: Cell::new(0),
        leaving: Cell::new(false),
        slow: Cell::new(1),
        socket: Async::<UdpSocket>::bind(options.grants)?,
        options,
    });
    let executor = Rc::new(LocalExecutor::new());
    executor.spawn(send_heartbeats(upstream.clone())).detach();
    executor.spawn(receive_orders(upstream.clone())).detach();
    let served = upstream.clone();
    let answer = move |request| answer(served.clone(), request);
    let serve = http::serve(executor.clone(), listener, answer);
    async_io::block_on(executor.run(future::or(serve, leave(upstream))));
    Ok(())
}

async fn leave(upstream: Rc<Upstream>) {
    let Ok(mut signals) = Signals::new([Signal::Term, Signal::Int]) else {
        return future::pending().await;
    };
    signals.next().await;
    upstream.leaving.set(true);
    upstream.holder.borrow_mut().leave();
    let started = upstream.clock.now();
    while upstream.clock.now() - started < LEAVE_TIMEOUT {
        Timer::after(Duration::from_millis(20)).await;
        let drained = !upstream.options.keyed || upstream.holder.borrow().drained();
        let idle = upstream.admitted.get() == 0;
        if drained && idle && upstream.clock.now() - started > Duration::from_secs(1) {
            return;
        }
    }
}

async fn send_heartbeats(upstream: Rc<Upstream>) {
    loop {
        upstream.beat();
        Timer::after(grant::HEARTBEAT_INTERVAL).await;
    }
}

async fn receive_orders(upstream: Rc<Upstream>) {
    let mut buffer = vec![0; wire::MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = upstream.socket.recv_from(&mut buffer).await else {
            continue;
        };
        if let Ok(envelope) = wire::UpstreamEnvelope::decode(&buffer[..length]) {
            upstream.take_order(sender, envelope);
        }
    }
}

impl Upstream {
    fn beat(&self) {
        let now = self.clock.now();
        let mut holder = self.holder.borrow_mut();
        let datagram = wire::encode_heartbeat(&holder.heartbeat(now));
        let keepers = holder.set().renewers.clone();
        for address in self.book.borrow().addresses(now, &keepers) {
            let _ = self.socket.get_ref().send_to(&datagram, address);
        }
    }

    fn take_order(&self, sender: SocketAddr, envelope: wire::UpstreamEnvelope) {
        let now = self.clock.now();
        let new = self.book.borrow_mut().subscribe(now, envelope.from, sender);
        match envelope.message {
            instance::UpstreamMessage::Subscribe(_) => {}
            instance::UpstreamMessage::Grant(order) => {
                self.holder.borrow_mut().on_grant(now, order);
                return self.beat();
            }
            instance::UpstreamMessage::Renew(renewal) => {
                self.holder.borrow_mut().on_renewal(envelope.from, renewal);
            }
        }
        if new {
            self.beat();
        }
    }

    /// Admits a request, or returns the refusal.
    fn admit(&self, request: &Request) -> Result<Option<holder::WorkKey>, Box<Response>> {
        if self.admitted.get() >= self.options.slots * (1 + QUEUE_PER_SLOT) {
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
        let refusal = || {
            refuse(
                StatusCode::MisdirectedRequest,
                "upstream does not own the key",
            )
        };
        work.map(Some).ok_or_else(refusal)
    }

    fn owns(&self, request: &Request) -> bool {
        let key = header(request, proxy::KEY_HEADER).unwrap_or_default();
        let hash = range::KeyHash::of(key.as_bytes());
        self.holder.borrow().owns(self.clock.now(), hash)
    }

    fn service_time(&self, request: &Request) -> Duration {
        let work = header(request, "x-work-us").and_then(|text| text.parse().ok());
        let work = Duration::from_micros(work.unwrap_or(0)) * self.slow.get();
        let age = self.clock.now() - self.started;
        let cold = self.options.cold_start.saturating_sub(age);
        work + cold / 100
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

/// Counts an admitted request until it is dropped.
struct Admitted {
    upstream: Rc<Upstream>,
    work: Option<holder::WorkKey>,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.upstream.admitted.set(self.upstream.admitted.get() - 1);
        if let Some(work) = self.work {
            self.upstream.holder.borrow_mut().finish(work);
        }
    }
}

async fn answer(upstream: Rc<Upstream>, mut request: Request) -> Option<Response> {
    if request.url().path() == "/standin/set" {
        upstream
            .slow
            .set(http::query_number(&request, "slow") as u32);
        return Some(http::json(StatusCode::Ok, &json!({})));
    }
    let work = match upstream.admit(&request) {
        Ok(work) => work,
        Err(refusal) => return Some(*refusal),
    };
    upstream.admitted.set(upstream.admitted.get() + 1);
    let admitted = Admitted {
        upstream: upstream.clone(),
        work,
    };
    let length = read_body(&mut request).await?;
    let slot = upstream.slots.acquire().await;
    let time = upstream.service_time(&request);
    if !time.is_zero() {
        Timer::after(time).await;
    }
    drop(slot);
    if upstream.options.keyed && !upstream.owns(&request) {
        return None;
    }
    drop(admitted);
    Some(describe(&upstream, &request, length))
}

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

fn describe(upstream: &Upstream, request: &Request, length: u64) -> Response {
    if let Some(bytes) = header(request, "x-answer-bytes").and_then(|text| text.parse().ok()) {
        let mut response = Response::new(StatusCode::Ok);
        let filler = futures_lite::io::repeat(b'x').take(bytes);
        let reader = futures_lite::io::BufReader::new(filler);
        response.set_body(Body::from_reader(reader, Some(bytes as usize)));
        return response;
    }
    let answer = json!({
        "upstream": upstream.options.name,
        "key": header(request, proxy::KEY_HEADER),
        "request": header(request, "x-request"),
        "path": request.url().path(),
        "body_bytes": length,
        "fence": upstream.holder.borrow().set().generation.to_string(),
    });
    http::json(StatusCode::Ok, &answer)
}
