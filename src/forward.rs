//! Attempts at one request: where it goes, and whether it may go again.
//!
//! A request waits while its key changes hands or its upstream is full. Nothing
//! is sent again without [`outcome::Outcome::repeatable`].

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

/// Pause before another look at the routes.
const ROUTE_POLL: Duration = Duration::from_millis(5);

/// Longest wait for a full upstream before another look at the routes.
const FULL_POLL: Duration = Duration::from_millis(50);

/// Pause before another attempt after a refusal, doubled each time.
const FIRST_BACKOFF: Duration = Duration::from_millis(5);

/// Longest pause between attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(80);

/// Requests that may wait for an owner at once.
const MAX_HELD: usize = 10_000;

/// Upstreams that may refuse one unkeyed request before its caller hears of it.
const MAX_REFUSALS: u32 = 3;

/// Why one attempt did not bring an answer.
struct AttemptError {
    outcome: outcome::Outcome,
    kind: AttemptErrorKind,
}

enum AttemptErrorKind {
    Message(message::MessageError),
    Timeout,
    /// The upstream's own refusal, with its answer.
    Refused(Box<Response>),
}

/// Progress of one request over its attempts.
pub struct RequestPath<'a> {
    context: &'a proxy::ProxyContext,
    backoff: Duration,
    refusals: u32,
    /// Upstream that the last attempt failed at.
    avoid: Option<ids::UpstreamKey>,
    /// Start of the current wait for an owner or a free connection.
    waited_since: Option<Instant>,
}

impl<'a> RequestPath<'a> {
    /// Creates the path of a request that was not sent yet.
    pub fn new(context: &'a proxy::ProxyContext) -> RequestPath<'a> {
        RequestPath {
            context,
            backoff: FIRST_BACKOFF,
            refusals: 0,
            avoid: None,
            waited_since: None,
        }
    }

    /// Sends the request until an upstream answers or no attempt is left.
    pub async fn run(
        &mut self,
        request: &mut proxy::ProxyRequest,
    ) -> Result<Response, refusal::RefusalKind> {
        loop {
            let service = self.service(request)?;
            let (pool, permit) = self.reserve(request).await?;
            let error = match attempt(&pool, permit, request).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            self.avoid = Some(pool.config.key);
            if !self.may_repeat(&service, request, &error) {
                return error.into_answer(request);
            }
            self.context.metrics.retried(&service.config.name);
            self.pause(request).await;
        }
    }

    fn service(
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

    fn may_repeat(
        &mut self,
        service: &view::ServiceView,
        request: &proxy::ProxyRequest,
        error: &AttemptError,
    ) -> bool {
        let idempotent = service.is_idempotent(request.template.method());
        let body_gone = matches!(request.body, proxy::RequestBody::Streamed(None));
        let late = Instant::now() >= request.deadline;
        if body_gone || late || !error.outcome.repeatable(idempotent) {
            return false;
        }
        if request.hash.is_some() {
            let _ = self.context.stale.try_send(request.service);
        }
        match error.cause() {
            RepeatCause::Moved => self.may_wait(),
            RepeatCause::Shed => {
                self.refusals += 1;
                self.refusals < MAX_REFUSALS && service.budget.spend()
            }
            RepeatCause::Lost => service.budget.spend(),
        }
    }

    /// Returns whether the wait for an owner may go on.
    fn may_wait(&mut self) -> bool {
        let since = *self.waited_since.get_or_insert_with(Instant::now);
        since.elapsed() < self.context.settings.queue_timeout
    }

    async fn pause(&mut self, request: &proxy::ProxyRequest) {
        let left = request.deadline.saturating_duration_since(Instant::now());
        let half = self.backoff / 2;
        let jitter = half.mul_f64(fastrand::f64());
        Timer::after((half + jitter).min(left)).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Waits for an upstream that may take the request now.
    async fn reserve(
        &mut self,
        request: &proxy::ProxyRequest,
    ) -> Result<(Arc<upstream::UpstreamPool>, upstream::UpstreamPermit), refusal::RefusalKind> {
        let mut reserve = self.try_reserve(request)?;
        if let Reserve::Found(pool, permit) = reserve {
            return Ok((pool, permit));
        }
        let held = HeldRequest::new(self.context)?;
        let _ = self.context.stale.try_send(request.service);
        let since = *self.waited_since.get_or_insert_with(Instant::now);
        loop {
            let freed = reserve.listen();
            reserve = self.try_reserve(request)?;
            let late = since.elapsed() >= self.context.settings.queue_timeout
                || Instant::now() >= request.deadline;
            match reserve {
                Reserve::Found(pool, permit) => {
                    drop(held);
                    return Ok((pool, permit));
                }
                Reserve::Unsettled if late => {
                    return Err(refusal::RefusalKind::Unsettled(since.elapsed()));
                }
                Reserve::Full(_) if late => return Err(refusal::RefusalKind::Overloaded),
                _ => reserve_pause(freed).await,
            }
        }
    }

    fn try_reserve(&self, request: &proxy::ProxyRequest) -> Result<Reserve, refusal::RefusalKind> {
        let service = self.service(request)?;
        let pool = match request.hash {
            Some(hash) => match service.route(hash) {
                view::KeyRoute::Owner(pool) => Some(pool),
                view::KeyRoute::Unsettled => None,
            },
            None => service.choose(self.avoid).or_else(|| service.choose(None)),
        };
        let Some(pool) = pool else {
            return Ok(Reserve::Unsettled);
        };
        Ok(match pool.acquire() {
            Some(permit) => Reserve::Found(pool, permit),
            None => Reserve::Full(pool),
        })
    }
}

enum Reserve {
    Found(Arc<upstream::UpstreamPool>, upstream::UpstreamPermit),
    Unsettled,
    Full(Arc<upstream::UpstreamPool>),
}

impl Reserve {
    /// Listens for a request that leaves a full upstream.
    fn listen(&self) -> Option<EventListener> {
        match self {
            Reserve::Full(pool) => Some(pool.listen()),
            Reserve::Found(..) | Reserve::Unsettled => None,
        }
    }
}

/// Waits until another look at the upstreams may help.
async fn reserve_pause(freed: Option<EventListener>) {
    match freed {
        Some(freed) => {
            timer::within(FULL_POLL, freed).await;
        }
        None => {
            Timer::after(ROUTE_POLL).await;
        }
    }
}

/// Count of one waiting request.
struct HeldRequest<'a> {
    context: &'a proxy::ProxyContext,
}

impl<'a> HeldRequest<'a> {
    fn new(context: &'a proxy::ProxyContext) -> Result<HeldRequest<'a>, refusal::RefusalKind> {
        if context.held.fetch_add(1, Ordering::AcqRel) >= MAX_HELD {
            context.held.fetch_sub(1, Ordering::AcqRel);
            return Err(refusal::RefusalKind::TooManyHeld);
        }
        context.metrics.held(1);
        Ok(HeldRequest { context })
    }
}

impl Drop for HeldRequest<'_> {
    fn drop(&mut self) {
        self.context.held.fetch_sub(1, Ordering::AcqRel);
        self.context.metrics.held(-1);
    }
}

/// Sends the request to one upstream and reads the head of its answer.
async fn attempt(
    pool: &Arc<upstream::UpstreamPool>,
    permit: upstream::UpstreamPermit,
    request: &mut proxy::ProxyRequest,
) -> Result<Response, AttemptError> {
    let left = request.deadline.saturating_duration_since(Instant::now());
    let connect = timer::within(left, pool.connect()).await;
    let stream = match connect {
        Some(Ok(stream)) => stream,
        Some(Err(error)) => return Err(AttemptError::not_run(error.into())),
        None => return Err(AttemptError::timeout(outcome::Outcome::NotRun)),
    };
    let outgoing = build_request(request);
    let left = request.deadline.saturating_duration_since(Instant::now());
    match timer::within(left, exchange(pool, permit, &stream, outgoing)).await {
        None => Err(AttemptError::timeout(outcome::Outcome::Unknown)),
        Some(Err(error)) if stream.written() == 0 => Err(AttemptError::not_run(error)),
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
    let kept = stream.clone();
    let on_end = move || {
        pool.release(kept);
        drop(permit);
    };
    message::read_response(stream, method, on_end).await
}

/// Sorts an upstream's refusals out of its answers.
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
    for name in names.iter().filter(|name| message::is_hop_header(name)) {
        outgoing.remove_header(name);
    }
    let left = request.deadline.saturating_duration_since(Instant::now());
    outgoing.insert_header(proxy::TIMEOUT_HEADER, left.as_millis().to_string());
    let body = match &mut request.body {
        proxy::RequestBody::Kept(bytes) => Body::from_bytes(bytes.clone()),
        proxy::RequestBody::Streamed(body) => body.take().unwrap_or_else(Body::empty),
    };
    message::set_request_body(&mut outgoing, body);
    outgoing
}

/// Why a request may be sent again.
enum RepeatCause {
    /// The upstream does not own the key or is gone.
    Moved,
    /// The upstream has no room.
    Shed,
    /// The answer is lost.
    Lost,
}

impl AttemptError {
    fn cause(&self) -> RepeatCause {
        match (&self.kind, self.outcome) {
            (AttemptErrorKind::Refused(response), _) => match response.status() {
                StatusCode::MisdirectedRequest => RepeatCause::Moved,
                _ => RepeatCause::Shed,
            },
            (_, outcome::Outcome::NotRun) => RepeatCause::Moved,
            _ => RepeatCause::Lost,
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

    /// Turns the last attempt's failure into what the caller gets.
    fn into_answer(self, request: &proxy::ProxyRequest) -> Result<Response, refusal::RefusalKind> {
        let timeout = request.timeout;
        match (self.kind, self.outcome) {
            (AttemptErrorKind::Refused(response), _) => Ok(*response),
            (AttemptErrorKind::Timeout, outcome::Outcome::NotRun) => {
                Err(refusal::RefusalKind::Unsettled(timeout))
            }
            (AttemptErrorKind::Timeout, _) => Err(refusal::RefusalKind::Timeout(timeout)),
            (AttemptErrorKind::Message(error), outcome::Outcome::NotRun) => {
                Err(refusal::RefusalKind::Unreachable(error))
            }
            (AttemptErrorKind::Message(error), _) => Err(refusal::RefusalKind::LostAnswer(error)),
        }
    }
}
