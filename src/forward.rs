//! Attempts at one request: which upstream gets it, and whether it may be retried.
//!
//! A request is queued while its key has no owner or its upstream is at its
//! request limit. It is retried only if [`outcome::Outcome::allows_retry`]
//! permits it.

use crate::ids;
use crate::message;
use crate::outcome;
use crate::proxy;
use crate::refusal;
use crate::stream;
use crate::timer;
use crate::upstream;
use crate::view;
use async_io::Timer;
use event_listener::EventListener;
use http_types::{Body, Request, Response, StatusCode};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Interval at which a queued request checks whether its key has an owner.
const ROUTE_POLL: Duration = Duration::from_millis(5);

/// Longest wait for an upstream at its request limit until the routes are checked again.
const CAPACITY_POLL: Duration = Duration::from_millis(50);

/// Backoff before the first retry; doubled for each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(5);

/// Longest backoff between two attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(80);

/// Requests that may be queued at one instance.
const MAX_QUEUED_REQUESTS: usize = 10_000;

/// Refused attempts after which a request is not retried; its caller gets the last refusal.
const MAX_REFUSED_ATTEMPTS: u32 = 3;

/// Why an attempt failed: no response arrived, or the upstream refused the request.
struct AttemptError {
    outcome: outcome::Outcome,
    kind: AttemptErrorKind,
}

enum AttemptErrorKind {
    Message(message::MessageError),
    Timeout,
    /// The upstream refused the request without running it; holds its response.
    Refused(Box<Response>),
}

/// Forwards one request, with retries.
pub struct RequestForwarder<'a> {
    context: &'a proxy::ProxyContext,
    backoff: Duration,
    refused_attempts: u32,
    /// Upstream of the last, failed attempt; another one is preferred.
    avoid: Option<ids::UpstreamKey>,
    /// When the request first had to wait for an owner or for capacity.
    waiting_since: Option<Instant>,
}

impl<'a> RequestForwarder<'a> {
    /// Creates the forwarder of a request that was not sent yet.
    pub fn new(context: &'a proxy::ProxyContext) -> RequestForwarder<'a> {
        RequestForwarder {
            context,
            backoff: FIRST_BACKOFF,
            refused_attempts: 0,
            avoid: None,
            waiting_since: None,
        }
    }

    /// Sends the request until an upstream responds or it may not be retried.
    pub async fn run(
        &mut self,
        request: &mut proxy::ProxyRequest,
    ) -> Result<Response, refusal::RefusalKind> {
        loop {
            let service = self.find_service(request)?;
            let (pool, permit) = self.reserve(request).await?;
            let error = match attempt(&pool, permit, request).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            self.avoid = Some(pool.config.key);
            if !self.may_retry(&service, request, &error) {
                return error.into_response(request);
            }
            self.context.metrics.record_retry(&service.config.name);
            self.back_off(request).await;
        }
    }

    fn find_service(
        &self,
        request: &proxy::ProxyRequest,
    ) -> Result<Arc<view::ServiceView>, refusal::RefusalKind> {
        let view = self.context.view.load();
        let service = view.service(request.service).cloned();
        service.ok_or_else(|| refusal::RefusalKind::UnknownService {
            team: proxy::header(&request.template, proxy::TEAM_HEADER)
                .unwrap_or_default()
                .to_owned(),
            service: proxy::header(&request.template, proxy::SERVICE_HEADER)
                .unwrap_or_default()
                .to_owned(),
        })
    }

    fn may_retry(
        &mut self,
        service: &view::ServiceView,
        request: &proxy::ProxyRequest,
        error: &AttemptError,
    ) -> bool {
        let idempotent = service.is_idempotent(request.template.method());
        let body_consumed = matches!(request.body, proxy::RequestBody::Streamed(None));
        let expired = Instant::now() >= request.deadline;
        if body_consumed || expired || !error.outcome.allows_retry(idempotent) {
            return false;
        }
        if request.hash.is_some() {
            let _ = self.context.stale_services.try_send(request.service);
        }
        match error.retry_cause() {
            RetryCause::WrongUpstream => self.may_wait(),
            RetryCause::Refused => {
                self.refused_attempts += 1;
                self.refused_attempts < MAX_REFUSED_ATTEMPTS && service.retry_budget.withdraw()
            }
            RetryCause::LostResponse => service.retry_budget.withdraw(),
        }
    }

    /// Returns whether the request may still wait for an owner.
    fn may_wait(&mut self) -> bool {
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        since.elapsed() < self.context.settings.queue_timeout
    }

    async fn back_off(&mut self, request: &proxy::ProxyRequest) {
        let left = request.deadline.saturating_duration_since(Instant::now());
        let half = self.backoff / 2;
        let jitter = half.mul_f64(fastrand::f64());
        Timer::after((half + jitter).min(left)).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Takes a permit for the request's upstream; queues the request until there is one.
    async fn reserve(
        &mut self,
        request: &proxy::ProxyRequest,
    ) -> Result<(Arc<upstream::UpstreamPool>, upstream::UpstreamPermit), refusal::RefusalKind> {
        let mut reservation = self.try_reserve(request)?;
        if let Reservation::Found(pool, permit) = reservation {
            return Ok((pool, permit));
        }
        let queued = QueuedRequest::new(self.context)?;
        let _ = self.context.stale_services.try_send(request.service);
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        loop {
            let freed = reservation.listen();
            reservation = self.try_reserve(request)?;
            let expired = since.elapsed() >= self.context.settings.queue_timeout
                || Instant::now() >= request.deadline;
            match reservation {
                Reservation::Found(pool, permit) => {
                    drop(queued);
                    return Ok((pool, permit));
                }
                Reservation::NoOwner if expired => {
                    return Err(refusal::RefusalKind::NoOwner(since.elapsed()));
                }
                Reservation::AtLimit(_) if expired => return Err(refusal::RefusalKind::Overloaded),
                _ => wait_for_change(freed).await,
            }
        }
    }

    fn try_reserve(
        &self,
        request: &proxy::ProxyRequest,
    ) -> Result<Reservation, refusal::RefusalKind> {
        let service = self.find_service(request)?;
        let pool = match request.hash {
            Some(hash) => match service.owner(hash) {
                view::KeyOwner::Upstream(pool) => Some(pool),
                view::KeyOwner::NoOwner => None,
            },
            None => service.choose(self.avoid).or_else(|| service.choose(None)),
        };
        let Some(pool) = pool else {
            return Ok(Reservation::NoOwner);
        };
        Ok(match pool.acquire() {
            Some(permit) => Reservation::Found(pool, permit),
            None => Reservation::AtLimit(pool),
        })
    }
}

/// Result of trying to get a permit for a request.
enum Reservation {
    Found(Arc<upstream::UpstreamPool>, upstream::UpstreamPermit),
    /// The key has no owner, or the service has no usable upstream.
    NoOwner,
    /// The upstream is at its request limit.
    AtLimit(Arc<upstream::UpstreamPool>),
}

impl Reservation {
    /// Returns a listener for the end of a request at the upstream that is at its limit.
    fn listen(&self) -> Option<EventListener> {
        match self {
            Reservation::AtLimit(pool) => Some(pool.listen()),
            Reservation::Found(..) | Reservation::NoOwner => None,
        }
    }
}

/// Waits until a permit may be available; `freed` listens to an upstream at its limit.
async fn wait_for_change(freed: Option<EventListener>) {
    match freed {
        Some(freed) => {
            timer::within(CAPACITY_POLL, freed).await;
        }
        None => {
            Timer::after(ROUTE_POLL).await;
        }
    }
}

/// Counts one request as queued until it is dropped.
struct QueuedRequest<'a> {
    context: &'a proxy::ProxyContext,
}

impl<'a> QueuedRequest<'a> {
    fn new(context: &'a proxy::ProxyContext) -> Result<QueuedRequest<'a>, refusal::RefusalKind> {
        if context.queued.fetch_add(1, Ordering::AcqRel) >= MAX_QUEUED_REQUESTS {
            context.queued.fetch_sub(1, Ordering::AcqRel);
            return Err(refusal::RefusalKind::TooManyQueued);
        }
        context.metrics.add_queued(1);
        Ok(QueuedRequest { context })
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.context.queued.fetch_sub(1, Ordering::AcqRel);
        self.context.metrics.add_queued(-1);
    }
}

/// Sends the request to one upstream and reads the head of its response.
async fn attempt(
    pool: &Arc<upstream::UpstreamPool>,
    permit: upstream::UpstreamPermit,
    request: &mut proxy::ProxyRequest,
) -> Result<Response, AttemptError> {
    let left = request.deadline.saturating_duration_since(Instant::now());
    let connected = timer::within(left, pool.connect()).await;
    let stream = match connected {
        Some(Ok(stream)) => stream,
        Some(Err(error)) => return Err(AttemptError::not_run(error.into())),
        None => return Err(AttemptError::timeout(outcome::Outcome::NotRun)),
    };
    let outgoing = build_request(request);
    let left = request.deadline.saturating_duration_since(Instant::now());
    match timer::within(left, exchange(pool, permit, &stream, outgoing)).await {
        None => Err(AttemptError::timeout(outcome::Outcome::Unknown)),
        Some(Err(error)) if stream.bytes_written() == 0 => Err(AttemptError::not_run(error)),
        Some(Err(error)) => Err(AttemptError {
            outcome: outcome::Outcome::Unknown,
            kind: AttemptErrorKind::Message(error),
        }),
        Some(Ok(response)) => classify(response).await,
    }
}

async fn exchange(
    pool: &Arc<upstream::UpstreamPool>,
    permit: upstream::UpstreamPermit,
    stream: &stream::HttpStream,
    request: Request,
) -> Result<Response, message::MessageError> {
    let method = request.method();
    message::write_request(stream, request).await?;
    let pool = pool.clone();
    let connection = stream.clone();
    let on_end = move || {
        pool.put_idle(connection);
        drop(permit);
    };
    message::read_response(stream, method, on_end).await
}

/// Turns an upstream's refusal into an error; any other response is passed on.
async fn classify(mut response: Response) -> Result<Response, AttemptError> {
    let stated = response.header(outcome::OUTCOME_HEADER);
    let stated = stated.and_then(|values| outcome::Outcome::parse(values.last().as_str()));
    if stated != Some(outcome::Outcome::NotRun) {
        return Ok(response);
    }
    let body = response.take_body().into_bytes().await.unwrap_or_default();
    response.set_body(body);
    Err(AttemptError {
        outcome: outcome::Outcome::NotRun,
        kind: AttemptErrorKind::Refused(Box::new(response)),
    })
}

fn build_request(request: &mut proxy::ProxyRequest) -> Request {
    let mut outgoing = request.template.clone();
    let names: Vec<_> = outgoing.header_names().cloned().collect();
    for name in names.iter().filter(|name| message::is_hop_by_hop(name)) {
        outgoing.remove_header(name);
    }
    let left = request.deadline.saturating_duration_since(Instant::now());
    outgoing.insert_header(proxy::TIMEOUT_HEADER, left.as_millis().to_string());
    let body = match &mut request.body {
        proxy::RequestBody::Buffered(bytes) => Body::from_bytes(bytes.clone()),
        proxy::RequestBody::Streamed(body) => body.take().unwrap_or_else(Body::empty),
    };
    message::set_request_body(&mut outgoing, body);
    outgoing
}

/// Why a request is retried, which decides what limits its retries.
enum RetryCause {
    /// The upstream does not own the key or cannot be reached; limited by the queue timeout.
    WrongUpstream,
    /// The upstream refused the request for another reason, such as overload; limited by the
    /// retry budget and [`MAX_REFUSED_ATTEMPTS`].
    Refused,
    /// The response is lost; limited by the retry budget.
    LostResponse,
}

impl AttemptError {
    fn retry_cause(&self) -> RetryCause {
        match (&self.kind, self.outcome) {
            (AttemptErrorKind::Refused(response), _) => match response.status() {
                StatusCode::MisdirectedRequest => RetryCause::WrongUpstream,
                _ => RetryCause::Refused,
            },
            (_, outcome::Outcome::NotRun) => RetryCause::WrongUpstream,
            _ => RetryCause::LostResponse,
        }
    }

    fn not_run(error: message::MessageError) -> AttemptError {
        AttemptError {
            outcome: outcome::Outcome::NotRun,
            kind: AttemptErrorKind::Message(error),
        }
    }

    fn timeout(outcome: outcome::Outcome) -> AttemptError {
        AttemptError {
            outcome,
            kind: AttemptErrorKind::Timeout,
        }
    }

    /// Converts the last attempt's error into the upstream's refusal or the instance's own.
    fn into_response(
        self,
        request: &proxy::ProxyRequest,
    ) -> Result<Response, refusal::RefusalKind> {
        let timeout = request.timeout;
        match (self.kind, self.outcome) {
            (AttemptErrorKind::Refused(response), _) => Ok(*response),
            (AttemptErrorKind::Timeout, outcome::Outcome::NotRun) => {
                Err(refusal::RefusalKind::NoOwner(timeout))
            }
            (AttemptErrorKind::Timeout, _) => Err(refusal::RefusalKind::Timeout(timeout)),
            (AttemptErrorKind::Message(error), outcome::Outcome::NotRun) => {
                Err(refusal::RefusalKind::Unreachable(error))
            }
            (AttemptErrorKind::Message(error), _) => Err(refusal::RefusalKind::LostResponse(error)),
        }
    }
}
