//! The path of one request: from a caller to an upstream and back.

use crate::ids;
use crate::message;
use crate::metrics;
use crate::outcome;
use crate::range;
use crate::refusal;
use crate::settings;
use crate::stream;
use crate::upstream;
use crate::view;
use arc_swap::ArcSwap;
use async_io::Timer;
use event_listener::EventListener;
use futures_lite::future::{self, Future};
use futures_lite::io::AsyncReadExt;
use http_types::{Body, Request, Response};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Header that names the team.
pub const TEAM_HEADER: &str = "godwitloom-team";
/// Header that names the service.
pub const SERVICE_HEADER: &str = "godwitloom-service";
/// Header that carries the key of a keyed service's request.
pub const KEY_HEADER: &str = "godwitloom-key";
/// Header that carries the caller's timeout in milliseconds.
pub const TIMEOUT_HEADER: &str = "godwitloom-timeout-ms";

/// Longest body that is kept for a repeated attempt, in bytes.
const MAX_KEPT_BODY_BYTES: usize = 64 * 1024;

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

/// Everything the request path shares between threads.
#[derive(Debug)]
pub struct ProxyContext {
    pub view: ArcSwap<view::TrafficView>,
    /// Services whose routes proved wrong.
    pub stale: async_channel::Sender<ids::ServiceKey>,
    pub metrics: Arc<metrics::MetricSet>,
    pub settings: settings::InstanceSettings,
    pub in_flight: AtomicUsize,
    pub stopping: AtomicBool,
    held: AtomicUsize,
}

impl ProxyContext {
    /// Creates a context that knows no service yet.
    pub fn new(
        settings: settings::InstanceSettings,
        metrics: Arc<metrics::MetricSet>,
        stale: async_channel::Sender<ids::ServiceKey>,
    ) -> ProxyContext {
        ProxyContext {
            view: ArcSwap::from_pointee(view::TrafficView::default()),
            stale,
            metrics,
            settings,
            in_flight: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
            held: AtomicUsize::new(0),
        }
    }
}

/// Request that was read from a caller and may be sent more than once.
struct ProxyRequest {
    service: ids::ServiceKey,
    hash: Option<range::KeyHash>,
    template: Request,
    body: RequestBody,
    timeout: Duration,
    deadline: Instant,
}

enum RequestBody {
    Kept(Vec<u8>),
    /// Sent while it is read; `None` once an attempt took it.
    Streamed(Option<Body>),
}

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

/// Answers one request of a caller.
pub async fn answer(
    context: &ProxyContext,
    caller: &stream::HttpStream,
    request: Request,
) -> Option<Response> {
    let started = Instant::now();
    let name = header(&request, SERVICE_HEADER)
        .unwrap_or_default()
        .to_owned();
    context.in_flight.fetch_add(1, Ordering::AcqRel);
    let answered = async { Some(forward(context, request).await) };
    let cancelled = async {
        caller.wait_close().await;
        None
    };
    let result = future::or(answered, cancelled).await;
    context.in_flight.fetch_sub(1, Ordering::AcqRel);
    let response = match result? {
        Ok(response) => response,
        Err(refusal) => refusal.response(),
    };
    let status = u16::from(response.status());
    context.metrics.answered(&name, status, started.elapsed());
    Some(response)
}

async fn forward(
    context: &ProxyContext,
    request: Request,
) -> Result<Response, refusal::RefusalKind> {
    let mut request = admit(context, request).await?;
    let mut path = RequestPath {
        context,
        backoff: FIRST_BACKOFF,
        refusals: 0,
        avoid: None,
        waited_since: None,
    };
    path.run(&mut request).await
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.last().as_str())
}

fn required<'a>(request: &'a Request, name: &'static str) -> Result<&'a str, refusal::RefusalKind> {
    header(request, name).ok_or(refusal::RefusalKind::MissingHeader(name))
}

/// Checks a request and reads as much of it as a repeated attempt needs.
async fn admit(
    context: &ProxyContext,
    mut request: Request,
) -> Result<ProxyRequest, refusal::RefusalKind> {
    let team = required(&request, TEAM_HEADER)?;
    let name = required(&request, SERVICE_HEADER)?;
    let service = ids::ServiceKey::derive(team, name);
    let view = context.view.load();
    let Some(found) = view.service(service) else {
        return Err(refusal::RefusalKind::UnknownService {
            team: team.to_owned(),
            service: name.to_owned(),
        });
    };
    let hash = match found.config.keyed {
        true => Some(range::KeyHash::of(
            required(&request, KEY_HEADER)?.as_bytes(),
        )),
        false => None,
    };
    let timeout = match header(&request, TIMEOUT_HEADER) {
        None => context.settings.request_timeout,
        Some(text) => {
            let millis = text.parse();
            let millis = millis.map_err(|_| refusal::RefusalKind::BadTimeout(TIMEOUT_HEADER))?;
            Duration::from_millis(millis).min(context.settings.request_timeout)
        }
    };
    found.budget.earn();
    drop(view);
    let body = keep_body(request.take_body()).await?;
    Ok(ProxyRequest {
        service,
        hash,
        template: request,
        body,
        timeout,
        deadline: Instant::now() + timeout,
    })
}

async fn keep_body(mut body: Body) -> Result<RequestBody, refusal::RefusalKind> {
    let Some(length) = body.len().filter(|length| *length <= MAX_KEPT_BODY_BYTES) else {
        return Ok(RequestBody::Streamed(Some(body)));
    };
    let mut bytes = Vec::with_capacity(length);
    let read = body.read_to_end(&mut bytes).await;
    read.map_err(refusal::RefusalKind::CutBody)?;
    Ok(RequestBody::Kept(bytes))
}

/// Progress of one request over its attempts.
struct RequestPath<'a> {
    context: &'a ProxyContext,
    backoff: Duration,
    refusals: u32,
    /// Upstream that the last attempt failed at.
    avoid: Option<ids::UpstreamKey>,
    /// Start of the current wait for an owner or a free connection.
    waited_since: Option<Instant>,
}

impl RequestPath<'_> {
    async fn run(&mut self, request: &mut ProxyRequest) -> Result<Response, refusal::RefusalKind> {
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
        request: &ProxyRequest,
    ) -> Result<Arc<view::ServiceView>, refusal::RefusalKind> {
        let view = self.context.view.load();
        let service = view.service(request.service).cloned();
        service.ok_or_else(|| refusal::RefusalKind::UnknownService {
            team: header(&request.template, TEAM_HEADER)
                .unwrap_or_default()
                .to_owned(),
            service: header(&request.template, SERVICE_HEADER)
                .unwrap_or_default()
                .to_owned(),
        })
    }

    fn may_repeat(
        &mut self,
        service: &view::ServiceView,
        request: &ProxyRequest,
        error: &AttemptError,
    ) -> bool {
        let idempotent = service.is_idempotent(request.template.method());
        let sent = matches!(request.body, RequestBody::Streamed(None));
        if sent || !error.outcome.repeatable(idempotent) || Instant::now() >= request.deadline {
            return false;
        }
        if request.hash.is_some() {
            let _ = self.context.stale.try_send(request.service);
        }
        if let AttemptErrorKind::Refused(response) = &error.kind {
            self.refusals += 1;
            let misdirected = u16::from(response.status()) == 421;
            let limit = self.context.settings.hold;
            let since = *self.waited_since.get_or_insert_with(Instant::now);
            return match misdirected {
                true => since.elapsed() < limit,
                false => self.refusals < MAX_REFUSALS && service.budget.spend(),
            };
        }
        match error.outcome {
            outcome::Outcome::NotRun => {
                let since = *self.waited_since.get_or_insert_with(Instant::now);
                since.elapsed() < self.context.settings.hold
            }
            _ => service.budget.spend(),
        }
    }

    async fn pause(&mut self, request: &ProxyRequest) {
        let left = request.deadline.saturating_duration_since(Instant::now());
        let half = self.backoff / 2;
        let jitter = half.mul_f64(fastrand::f64());
        Timer::after((half + jitter).min(left)).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Waits for an upstream that may take the request now.
    async fn reserve(
        &mut self,
        request: &ProxyRequest,
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
            let late =
                since.elapsed() >= self.context.settings.hold || Instant::now() >= request.deadline;
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

    fn try_reserve(&self, request: &ProxyRequest) -> Result<Reserve, refusal::RefusalKind> {
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
            within(FULL_POLL, freed).await;
        }
        None => {
            Timer::after(ROUTE_POLL).await;
        }
    }
}

/// Count of one waiting request.
struct HeldRequest<'a> {
    context: &'a ProxyContext,
}

impl<'a> HeldRequest<'a> {
    fn new(context: &'a ProxyContext) -> Result<HeldRequest<'a>, refusal::RefusalKind> {
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
    request: &mut ProxyRequest,
) -> Result<Response, AttemptError> {
    let left = request.deadline.saturating_duration_since(Instant::now());
    let connect = within(left, pool.connect()).await;
    let stream = match connect {
        Some(Ok(stream)) => stream,
        Some(Err(error)) => return Err(AttemptError::not_run(error.into())),
        None => return Err(AttemptError::timeout(outcome::Outcome::NotRun)),
    };
    let outgoing = build_request(request);
    let left = request.deadline.saturating_duration_since(Instant::now());
    match within(left, exchange(pool, permit, &stream, outgoing)).await {
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

fn build_request(request: &mut ProxyRequest) -> Request {
    let mut outgoing = request.template.clone();
    let names: Vec<_> = outgoing.header_names().cloned().collect();
    for name in names.iter().filter(|name| message::is_hop_header(name)) {
        outgoing.remove_header(name);
    }
    let left = request.deadline.saturating_duration_since(Instant::now());
    outgoing.insert_header(TIMEOUT_HEADER, left.as_millis().to_string());
    let body = match &mut request.body {
        RequestBody::Kept(bytes) => Body::from_bytes(bytes.clone()),
        RequestBody::Streamed(body) => body.take().unwrap_or_else(Body::empty),
    };
    message::set_request_body(&mut outgoing, body);
    outgoing
}

impl AttemptError {
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
    fn into_answer(self, request: &ProxyRequest) -> Result<Response, refusal::RefusalKind> {
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

/// Runs a future for at most `time`; `None` if it did not end.
pub async fn within<T>(time: Duration, future: impl Future<Output = T>) -> Option<T> {
    let ended = async { Some(future.await) };
    let late = async {
        Timer::after(time).await;
        None
    };
    future::or(ended, late).await
}
