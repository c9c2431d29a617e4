//! The path of one request: from a caller to an upstream and back.

use crate::forward;
use crate::ids;
use crate::metrics;
use crate::range;
use crate::refusal;
use crate::settings;
use crate::stream;
use crate::view;
use arc_swap::ArcSwap;
use futures_lite::future;
use futures_lite::io::AsyncReadExt;
use http_types::{Body, Request, Response};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
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

/// Everything the request path shares between threads.
#[derive(Debug)]
pub struct ProxyContext {
    pub view: ArcSwap<view::TrafficView>,
    /// Services whose routes proved wrong.
    pub stale_services: async_channel::Sender<ids::ServiceKey>,
    pub metrics: Arc<metrics::MetricSet>,
    pub settings: settings::InstanceSettings,
    pub in_flight: AtomicUsize,
    /// When the graceful stop began.
    stop_since: OnceLock<Instant>,
    pub(crate) queued: AtomicUsize,
}

impl ProxyContext {
    /// Creates a context that knows no service yet.
    pub fn new(
        settings: settings::InstanceSettings,
        metrics: Arc<metrics::MetricSet>,
        stale_services: async_channel::Sender<ids::ServiceKey>,
    ) -> ProxyContext {
        ProxyContext {
            view: ArcSwap::from_pointee(view::TrafficView::default()),
            stale_services,
            metrics,
            settings,
            in_flight: AtomicUsize::new(0),
            stop_since: OnceLock::new(),
            queued: AtomicUsize::new(0),
        }
    }
}

impl ProxyContext {
    /// Begins the graceful stop.
    pub fn begin_stop(&self) {
        self.stop_since.get_or_init(Instant::now);
    }

    /// Returns whether the graceful stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop_since.get().is_some()
    }

    /// Returns whether connections are closed although nothing was answered on them.
    ///
    /// Until then every connection is closed by an answer that says so, which
    /// no request can cross.
    pub fn is_closing(&self) -> bool {
        let since = self.stop_since.get();
        since.is_some_and(|since| since.elapsed() >= self.settings.lame_duck)
    }
}

/// Request that was read from a caller and may be sent more than once.
pub(crate) struct ProxyRequest {
    pub(crate) service: ids::ServiceKey,
    pub(crate) hash: Option<range::KeyHash>,
    pub(crate) template: Request,
    pub(crate) body: RequestBody,
    pub(crate) timeout: Duration,
    pub(crate) deadline: Instant,
}

pub(crate) enum RequestBody {
    Kept(Vec<u8>),
    /// Sent while it is read; `None` once an attempt took it.
    Streamed(Option<Body>),
}

/// Answers one request of a caller.
pub async fn respond(
    context: &ProxyContext,
    caller: &stream::HttpStream,
    request: Request,
) -> Option<Response> {
    let started = Instant::now();
    let name = header(&request, SERVICE_HEADER)
        .unwrap_or_default()
        .to_owned();
    context.in_flight.fetch_add(1, Ordering::AcqRel);
    let answered = async { Some(handle(context, request).await) };
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
    context
        .metrics
        .record_response(&name, status, started.elapsed());
    Some(response)
}

async fn handle(
    context: &ProxyContext,
    request: Request,
) -> Result<Response, refusal::RefusalKind> {
    let mut request = admit(context, request).await?;
    forward::RequestForwarder::new(context)
        .run(&mut request)
        .await
}

pub(crate) fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
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
    found.budget.deposit();
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
    read.map_err(refusal::RefusalKind::TruncatedBody)?;
    Ok(RequestBody::Kept(bytes))
}
