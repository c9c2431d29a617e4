//! Attempts at one request: which upstream gets it, and whether it may be retried.

use crate::event_log;
use crate::fleet::events;
use crate::gateway::{
    caller, context, exchange, passing, pools, progress, response, retry_delay, view,
};
use crate::limits;
use crate::notices;
use crate::outcome;
use crate::routing;
use crate::timer;
use futures_lite::future;
use serde::Serialize;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout of a request whose route sets none; its header can only shorten it.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after the deadline for which an upstream's own response is still awaited.
const TIMEOUT_SLACK: Duration = Duration::from_millis(60);

/// Longest wait before a request for a key is retried; ends when the view changes.
const MAX_OWNER_CHANGE_WAIT: Duration = Duration::from_millis(80);

/// Attempts after which a request is not retried even if the last one certainly did not run it.
const MAX_UNRUN_ATTEMPTS: usize = 4;

/// `Retry-After` of a request without a route.
const UNROUTED_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Log event of a request that needed more than one attempt or failed.
#[derive(Debug, Serialize)]
struct RequestEvent<'a> {
    /// ID of the request; empty if the caller sent none.
    request: &'a str,
    route: &'a str,
    service: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<u64>,
    status: u16,
    /// Why the instance refused the request; absent if an upstream responded.
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'static str>,
    attempts: &'a [progress::AttemptTrace],
    /// Time from the request's arrival to its response, in milliseconds.
    ms: u64,
    /// Version of the configuration.
    config: u64,
}

impl event_log::LogEvent for RequestEvent<'_> {
    const NAME: &'static str = "request";
    const CLASS: event_log::EventClass = event_log::EventClass::Request;
}

/// A request whose route is known.
pub(super) struct RoutedRequest<'a> {
    pub(super) request: &'a caller::CallerRequest,
    pub(super) rule: Arc<routing::RouteRule>,
    pub(super) service: Arc<str>,
    pub(super) key: Option<u64>,
    request_id: Option<&'a str>,
    config_version: u64,
    /// End of the caller's or the route's timeout, whichever is shorter.
    pub(super) deadline: Instant,
}

/// Routes the requests of one traffic thread and makes the attempts at them.
pub struct AttemptRunner {
    pub(super) context: Arc<context::GatewayContext>,
    pub(super) pools: Rc<pools::PoolSet>,
    /// Instances to which requests are passed on.
    pub(super) helpers: passing::HelperSet,
}

impl AttemptRunner {
    /// Creates the runner of a traffic thread.
    pub fn new(context: Arc<context::GatewayContext>, pools: Rc<pools::PoolSet>) -> AttemptRunner {
        AttemptRunner {
            context,
            pools,
            helpers: passing::HelperSet::default(),
        }
    }

    /// Forwards one request and returns the response for the caller.
    pub async fn respond(&self, request: &caller::CallerRequest) -> response::CallerResponse {
        let _guard = self.context.track_request();
        let routed = match self.route(request) {
            Ok(routed) => routed,
            Err(reason) => {
                self.context.metrics.record_response(
                    "",
                    reason.status(),
                    request.arrived.elapsed(),
                );
                self.context.metrics.record_refusal("", reason.as_str());
                return self.refuse(request, reason, Some(UNROUTED_RETRY_AFTER));
            }
        };
        let mut progress = progress::AttemptProgress::default();
        let taken = request.passed_on.then(|| self.take_passed_on());
        let result = match taken {
            Some(None) => Err(response::RefusalReason::Overloaded),
            Some(Some(_)) | None => self.run_attempts(&routed, &mut progress).await,
        };
        let (response, reason) = match result {
            Ok(response) => {
                let forwarded = response::CallerResponse::forwarded(response, &request.head.method);
                (forwarded, None)
            }
            Err(reason) => {
                let refused = retry_delay::RefusedRequest {
                    reason,
                    objective: routed.rule.latency_objective,
                    left: routed.deadline.saturating_duration_since(Instant::now()),
                    turn: progress.caller_turn,
                };
                let delay = (reason.status() == 503)
                    .then(|| retry_delay::retry_delay(&refused, fastrand::f64()));
                (self.refuse(request, reason, delay), Some(reason))
            }
        };
        self.report(&routed, &response, reason, &progress.traces);
        response
    }

    /// Returns the refusal of a request, as its caller or the instance that passed it on
    /// needs it.
    fn refuse(
        &self,
        request: &caller::CallerRequest,
        reason: response::RefusalReason,
        retry_after: Option<Duration>,
    ) -> response::CallerResponse {
        let refusal = response::CallerResponse::refusal(reason, retry_after);
        if !request.passed_on {
            return refusal;
        }
        let names = &self.context.header_names;
        let request_id = request.head.fields.get(names.request_id);
        refusal.for_passed_on(names, request_id, reason)
    }

    /// Counts the request in the metrics, and logs it unless it was a plain success.
    fn report(
        &self,
        routed: &RoutedRequest<'_>,
        response: &response::CallerResponse,
        reason: Option<response::RefusalReason>,
        traces: &[progress::AttemptTrace],
    ) {
        let elapsed = routed.request.arrived.elapsed();
        let metrics = &self.context.metrics;
        metrics.record_response(&routed.rule.name, response.status, elapsed);
        for trace in traces {
            metrics.record_attempt(&routed.service, trace.result);
        }
        if let Some(reason) = reason {
            metrics.record_refusal(&routed.service, reason.as_str());
        }
        let plain_success = reason.is_none() && traces.len() == 1 && response.status < 500;
        if plain_success {
            return;
        }
        self.context.log.emit(&RequestEvent {
            request: routed.request_id.unwrap_or_default(),
            route: &routed.rule.name,
            service: &routed.service,
            key: routed.key,
            status: response.status,
            reason: reason.map(response::RefusalReason::as_str),
            attempts: traces,
            ms: elapsed.as_millis() as u64,
            config: routed.config_version,
        });
    }

    fn route<'a>(
        &self,
        request: &'a caller::CallerRequest,
    ) -> Result<RoutedRequest<'a>, response::RefusalReason> {
        let view = self.context.view.load();
        let config = view.config.as_ref();
        let config = config.ok_or(response::RefusalReason::NotConfigured)?;
        let head = &request.head;
        let rule = config.route(head.host(), head.path());
        let rule = rule.ok_or(response::RefusalReason::UnknownRoute)?;
        let service = rule.pick_service();
        let spec = config.services.get(&service);
        let space = spec.and_then(|spec| spec.key_space);
        let key = match space {
            None => None,
            Some(space) => {
                let text = head.fields.get(self.context.header_names.key);
                let key = text.and_then(|text| text.parse::<u64>().ok());
                let key = key.filter(|key| *key <= space.last);
                Some(key.ok_or(response::RefusalReason::BadKey)?)
            }
        };
        // The instance that makes the attempts counts the request.
        let passes_on = self.context.links.is_stranded() && !request.passed_on;
        if let (Some(spec), Some(key), false) = (spec, key, passes_on) {
            self.context.count_request(spec, key);
        }
        let time_left_ms = head.fields.get(self.context.header_names.time_left_ms);
        let time_left_ms = time_left_ms.and_then(|text| text.parse::<u64>().ok());
        let timeout = if rule.timeout.is_zero() {
            DEFAULT_TIMEOUT
        } else {
            rule.timeout
        };
        let timeout = time_left_ms.map_or(timeout, |ms| Duration::from_millis(ms).min(timeout));
        if !passes_on {
            self.context.retry_budget(&service).deposit();
        }
        Ok(RoutedRequest {
            request,
            rule: rule.clone(),
            service,
            key,
            request_id: head.fields.get(self.context.header_names.request_id),
            config_version: config.version,
            deadline: request.arrived + timeout,
        })
    }

    /// Makes attempts until one brings the final response or none is left.
    async fn run_attempts(
        &self,
        routed: &RoutedRequest<'_>,
        progress: &mut progress::AttemptProgress,
    ) -> Result<exchange::UpstreamResponse, response::RefusalReason> {
        loop {
            if let Some(view_changed) = progress.view_changed.take() {
                timer::within(MAX_OWNER_CHANGE_WAIT, view_changed).await;
            }
            let view_changed = self.context.view_changed.listen();
            if self.context.links.is_stranded() {
                return match routed.request.passed_on {
                    true => progress.give_up(response::RefusalReason::Stranded),
                    false => self.pass_on(routed, progress).await,
                };
            }
            let permit = match self.reserve(routed, progress).await {
                Ok(permit) => permit,
                Err(reason) => return progress.give_up(reason),
            };
            let trial = match self.admit_suspect(routed) {
                Ok(trial) => trial,
                Err(reason) => return progress.give_up(reason),
            };
            let attempt = self.attempt(routed, &permit, progress).await;
            let permit_pool = permit.pool().clone();
            drop(permit);
            drop(trial);
            progress.record(&attempt);
            let upstream = attempt.upstream.key;
            let responded = match attempt.result {
                Ok(response) if self.may_retry_response(routed, &response, progress) => {
                    progress.last_failure = Some(response);
                    true
                }
                Ok(response) => return Ok(response),
                Err(error) if self.note_paused_owner(routed, &error, &permit_pool, progress) => {
                    return progress.give_up(response::RefusalReason::UpstreamPaused);
                }
                Err(error) if self.may_retry_error(routed, &error, progress) => false,
                Err(error) => return progress.give_up(refusal_reason(&error)),
            };
            if responded || routed.key.is_none() {
                progress.tried.push(upstream);
            } else {
                progress.view_changed = Some(view_changed);
            }
        }
    }

    /// Sends the request to one upstream and records the result in its statistics.
    async fn attempt(
        &self,
        routed: &RoutedRequest<'_>,
        permit: &pools::PoolPermit,
        progress: &progress::AttemptProgress,
    ) -> progress::FinishedAttempt {
        let pool = permit.pool();
        let started = Instant::now();
        let outgoing = self.outgoing(routed, progress, None);
        let sent = self.context.clock.now();
        let exchange::FinishedExchange {
            result,
            statement,
            notice,
            connection,
        } = self.run_exchange(pool, &outgoing).await;
        let elapsed = started.elapsed();
        let result = self.note_survival(routed, pool, result).await;
        let upstream = pool.view.borrow().clone();
        self.apply_notice(&routed.service, &upstream, notice, result.is_ok());
        if let Some(statement) = statement {
            self.note_limit(&routed.service, &upstream, sent, statement);
        }
        match &result {
            Ok(response) => {
                pool.record(elapsed, is_server_error(response));
                if routed.key.is_some() {
                    let context = &self.context;
                    context.record_latency(&routed.service, upstream.key, elapsed);
                }
            }
            Err(error) => record_error(pool, error, elapsed),
        }
        progress::FinishedAttempt {
            upstream,
            result,
            connection,
            elapsed,
        }
    }

    /// Returns the request as it is sent, to another instance if `passed_on` is given.
    pub(super) fn outgoing<'a>(
        &self,
        routed: &'a RoutedRequest<'_>,
        progress: &'a progress::AttemptProgress,
        passed_on: Option<IpAddr>,
    ) -> exchange::OutgoingRequest<'a> {
        exchange::OutgoingRequest {
            head: &routed.request.head,
            body: &routed.request.body,
            request_id: routed.request_id,
            used_connections: &progress.connections,
            passed_on,
            deadline: routed.deadline,
            slack: TIMEOUT_SLACK,
        }
    }

    /// Exchanges a request, at most until a graceful stop awaits no more responses.
    pub(super) async fn run_exchange(
        &self,
        pool: &Rc<pools::UpstreamPool>,
        outgoing: &exchange::OutgoingRequest<'_>,
    ) -> exchange::FinishedExchange {
        // A stopping process must still answer the caller before it ends.
        let stop = self.context.end_attempts.listen();
        let ended = async {
            stop.await;
            exchange::FinishedExchange {
                result: Err(exchange::ExchangeError::Timeout),
                statement: None,
                notice: notices::UpstreamNotice::default(),
                connection: None,
            }
        };
        let context = &self.context;
        let exchange = exchange::exchange(pool, &context.header_names, &context.memory, outgoing);
        future::or(exchange, ended).await
    }

    /// Applies what responses say of their upstream; `answered` if it took the request.
    fn apply_notice(
        &self,
        service: &Arc<str>,
        upstream: &view::UpstreamView,
        notice: notices::UpstreamNotice,
        answered: bool,
    ) {
        let now = self.context.clock.now();
        if notice.leaving {
            self.context.departures.note(now, service, upstream.key);
        }
        let Some(pause) = notice.pause else {
            if answered {
                self.context.pauses.note_accepted(now, upstream.key);
            }
            return;
        };
        if self.context.pauses.note(now, upstream.key, pause) {
            self.context.metrics.record_pause(service);
            self.context.log.emit(&events::UpstreamPaused {
                upstream: upstream.id.to_string(),
                service: service.to_string(),
                ms: pause.as_millis() as u64,
            });
        }
    }

    /// Notes what a response to a request sent at `sent` says of its upstream's limit.
    fn note_limit(
        &self,
        service: &Arc<str>,
        upstream: &view::UpstreamView,
        sent: Duration,
        statement: limits::LimitStatement,
    ) {
        let now = self.context.clock.now();
        let limits = &self.context.limits;
        if limits.rate(upstream.key).is_some() {
            self.context.metrics.record_limited_attempt(service);
        }
        if let Some(statement) = limits.note_response(service, upstream.key, sent, now, statement) {
            self.context.log.emit(&events::UpstreamLimit {
                upstream: upstream.id.to_string(),
                service: service.to_string(),
                rate: statement.rate().map(limits::RequestRate::per_second),
                source: events::LimitSource::Response,
            });
        }
    }

    /// Returns whether a request with a 5xx response may be sent to another upstream.
    fn may_retry_response(
        &self,
        routed: &RoutedRequest<'_>,
        response: &exchange::UpstreamResponse,
        progress: &progress::AttemptProgress,
    ) -> bool {
        is_server_error(response)
            && routed.rule.kind.is_idempotent()
            && self.may_run_twice(routed, progress.possible_runs)
    }

    /// Returns whether a request without a usable response may be retried.
    fn may_retry_error(
        &self,
        routed: &RoutedRequest<'_>,
        error: &exchange::ExchangeError,
        progress: &progress::AttemptProgress,
    ) -> bool {
        match error.outcome() {
            outcome::Outcome::NotRun => self.may_retry_unrun(routed, error, progress.traces.len()),
            _ => {
                routed.rule.kind.is_idempotent()
                    && self.may_run_twice(routed, progress.possible_runs)
            }
        }
    }

    /// Returns whether the owner of the request's key wants no requests now, so that a
    /// request that did not run has no place to go, and notes when the caller may return.
    fn note_paused_owner(
        &self,
        routed: &RoutedRequest<'_>,
        error: &exchange::ExchangeError,
        owner: &pools::UpstreamPool,
        progress: &mut progress::AttemptProgress,
    ) -> bool {
        if routed.key.is_none() || error.outcome() != outcome::Outcome::NotRun {
            return false;
        }
        let turn = self.next_turn(owner);
        if let Some(turn) = turn {
            progress.note_turn(turn);
        }
        turn.is_some()
    }

    /// Returns when a caller should return for whom this upstream was the only one, if
    /// the upstream wants no requests now.
    pub(super) fn next_turn(&self, pool: &pools::UpstreamPool) -> Option<progress::CallerTurn> {
        let upstream = pool.view.borrow().key;
        let (latency, _) = pool.latency(Instant::now());
        let spacing = Duration::from_secs_f64(latency.max(0.0));
        let now = self.context.clock.now();
        let next = self.context.pauses.next_return(now, upstream, spacing);
        next.map(|(earliest, turn)| progress::CallerTurn { earliest, turn })
    }

    /// Returns whether a request that may have run may be sent once more.
    ///
    /// Spends from the retry budget.
    fn may_run_twice(&self, routed: &RoutedRequest<'_>, possible_runs: u32) -> bool {
        let left = routed.deadline.saturating_duration_since(Instant::now());
        !self.is_past_cutoff()
            && possible_runs < routed.rule.max_attempts
            && left > routed.rule.latency_objective / 8
            && self.spend_retry(routed)
    }

    /// Returns whether a request that certainly did not run may be retried.
    ///
    /// Spends from the retry budget only if the request had reached an upstream.
    fn may_retry_unrun(
        &self,
        routed: &RoutedRequest<'_>,
        error: &exchange::ExchangeError,
        attempts: usize,
    ) -> bool {
        let reached_upstream = matches!(error, exchange::ExchangeError::Refused { .. });
        let late = Instant::now() >= routed.deadline || self.is_past_cutoff();
        !late && attempts < MAX_UNRUN_ATTEMPTS && (!reached_upstream || self.spend_retry(routed))
    }

    /// Returns whether the graceful stop leaves no time for another attempt.
    fn is_past_cutoff(&self) -> bool {
        let cutoff = self.context.attempt_cutoff();
        cutoff.is_some_and(|cutoff| Instant::now() >= cutoff)
    }

    fn spend_retry(&self, routed: &RoutedRequest<'_>) -> bool {
        let allowed = self.context.retry_budget(&routed.service).withdraw();
        self.context
            .metrics
            .record_budget_decision(&routed.service, allowed);
        allowed
    }
}

fn record_error(pool: &pools::UpstreamPool, error: &exchange::ExchangeError, elapsed: Duration) {
    match error {
        exchange::ExchangeError::Unreachable(_)
        | exchange::ExchangeError::ConnectTimeout(_)
        | exchange::ExchangeError::Ended { .. } => {
            pool.record_connect_failure();
        }
        exchange::ExchangeError::Refused { status: 421, by } => {
            let expected = pool.view.borrow().id.clone();
            if by.as_ref().is_some_and(|by| **by != *expected) {
                pool.record_misdirected();
            }
        }
        exchange::ExchangeError::Refused { .. } => pool.record_refusal(),
        exchange::ExchangeError::Broken { .. }
        | exchange::ExchangeError::Unusable
        | exchange::ExchangeError::Timeout => pool.record(elapsed, true),
    }
}

fn is_server_error(response: &exchange::UpstreamResponse) -> bool {
    response.head.status >= 500
}

/// Returns the reason for the refusal after the last attempt ended with `error`.
pub(super) fn refusal_reason(error: &exchange::ExchangeError) -> response::RefusalReason {
    match (error, error.outcome()) {
        (exchange::ExchangeError::Timeout, _) => response::RefusalReason::Expired,
        (_, outcome::Outcome::NotRun) => response::RefusalReason::Refused,
        _ => response::RefusalReason::LostResponse,
    }
}
