//! Request path of the instances that [`crate::daemon`] runs.
//!
//! It checks a caller's request, has it forwarded, and counts the response. The
//! instances of [`crate::fleet`] use [`crate::gateway`] instead.

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

/// Header that names the team that the service belongs to.
pub const TEAM_HEADER: &str = "godwitloom-team";
/// Header that names the service.
pub const SERVICE_HEADER: &str = "godwitloom-service";
/// Header that carries the key of a request to a keyed service.
pub const KEY_HEADER: &str = "godwitloom-key";
/// Header that carries the caller's timeout in milliseconds; upstreams get what is left of it.
pub const TIMEOUT_HEADER: &str = "godwitloom-timeout-ms";

/// Longest body that is buffered so that its request can be retried, in bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// State that the traffic threads share with the control thread.
#[derive(Debug)]
pub struct ProxyContext {
    pub view: ArcSwap<view::TrafficView>,
    /// Services whose routes seem out of date; the control thread refreshes them.
    pub stale_services: async_channel::Sender<ids::ServiceKey>,
    pub metrics: Arc<metrics::MetricSet>,
    pub settings: settings::InstanceSettings,
    /// Requests that were read and have no response yet.
    pub in_flight: AtomicUsize,
    /// When the graceful stop started.
    stopping_since: OnceLock<Instant>,
    /// Requests that wait for an owner or for capacity.
    pub(crate) queued: AtomicUsize,
}

impl ProxyContext {
    /// Creates a context with an empty view.
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
            stopping_since: OnceLock::new(),
            queued: AtomicUsize::new(0),
        }
    }
}

impl ProxyContext {
    /// Starts the graceful stop; further calls change nothing.
    pub fn begin_stop(&self) {
        self.stopping_since.get_or_init(Instant::now);
    }

    /// Returns whether the graceful stop has started.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Returns whether the lame-duck period is over, so that idle connections are closed.
    ///
    /// Until then a connection is closed only after a response that announces it,
    /// so that no request can be in transit on it.
    pub fn is_closing(&self) -> bool {
        let since = self.stopping_since.get();
        since.is_some_and(|since| since.elapsed() >= self.settings.lame_duck)
    }
}

/// Request of a caller, checked and ready for its attempts.
pub(crate) struct ProxyRequest {
    pub(crate) service: ids::ServiceKey,
    /// Hash of the request's key; `None` if the service has no keys.
    pub(crate) hash: Option<range::KeyHash>,
    /// The request as received, without its body; each attempt sends a copy.
    pub(crate) template: Request,
    pub(crate) body: RequestBody,
    pub(crate) timeout: Duration,
    pub(crate) deadline: Instant,
}

pub(crate) enum RequestBody {
    Buffered(Vec<u8>),
    /// Sent while it is read, and so only once; `None` after the attempt that took it.
    Streamed(Option<Body>),
}

/// Responds to one request; `None` if the caller closed its connection, which cancels it.
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
    let handled = async { Some(handle(context, request).await) };
    let cancelled = async {
        caller.wait_close().await;
        None
    };
    let result = future::or(handled, cancelled).await;
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
    let mut request = prepare(context, request).await?;
    forward::RequestForwarder::new(context)
        .run(&mut request)
        .await
}

/// Returns the last value of a header; `None` if it is absent.
pub(crate) fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.last().as_str())
}

fn required_header<'a>(
    request: &'a Request,
    name: &'static str,
) -> Result<&'a str, refusal::RefusalKind> {
    header(request, name).ok_or(refusal::RefusalKind::MissingHeader(name))
}

/// Checks a request, and reads its body if that is short enough to be buffered.
async fn prepare(
    context: &ProxyContext,
    mut request: Request,
) -> Result<ProxyRequest, refusal::RefusalKind> {
    let team = required_header(&request, TEAM_HEADER)?;
    let name = required_header(&request, SERVICE_HEADER)?;
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
            required_header(&request, KEY_HEADER)?.as_bytes(),
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
    found.retry_budget.deposit();
    drop(view);
    let body = buffer_body(request.take_body()).await?;
    Ok(ProxyRequest {
        service,
        hash,
        template: request,
        body,
        timeout,
        deadline: Instant::now() + timeout,
    })
}

/// Buffers a short body of declared length; any other is streamed.
async fn buffer_body(mut body: Body) -> Result<RequestBody, refusal::RefusalKind> {
    let Some(length) = body
        .len()
        .filter(|length| *length <= MAX_BUFFERED_BODY_BYTES)
    else {
        return Ok(RequestBody::Streamed(Some(body)));
    };
    let mut bytes = Vec::with_capacity(length);
    let read = body.read_to_end(&mut bytes).await;
    read.map_err(refusal::RefusalKind::TruncatedBody)?;
    Ok(RequestBody::Buffered(bytes))
}
