//! Attempts at one request: where it goes, and whether it may go again.

use crate::event_log;
use crate::gateway::{answer, caller, choice, context, exchange, pools, progress, view};
use crate::outcome;
use crate::routing;
use crate::timer;
use event_listener::EventListener;
use serde::Serialize;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time limit of a request that states none, if its route states none either.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time past a route's timeout in which an upstream's own answer is still awaited.
const TIMEOUT_SLACK: Duration = Duration::from_millis(60);

/// Part of the latency objective for which a request waits for an owner or room.
const WAIT_SHARE: f64 = 0.5;

/// Longest pause before a request for a key is sent again; ends when the owners change.
const SETTLE_PAUSE: Duration = Duration::from_millis(80);

/// Refusals by upstreams after which a request is given up.
const MAX_REFUSALS: usize = 4;

/// Time after which a draining owner of keys gets no requests.
const DRAINING_USE: Duration = Duration::from_millis(1200);

/// Shortest pause that a refused caller is told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Pause that a caller is told whose key has no owner.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Most of a request's remaining time that a caller is told to wait.
const RETRY_AFTER_SHARE: f64 = 0.25;

/// Fate of a request that was not a plain success.
#[derive(Debug, Serialize)]
struct RequestEvent<'a> {
    request: &'a str,
    route: &'a str,
    service: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<u64>,
    status: u16,
    /// Why the instance answered itself; absent if an upstream answered.
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'static str>,
    attempts: &'a [progress::AttemptTrace],
    ms: u64,
    config: u64,
}

impl event_log::LogEvent for RequestEvent<'_> {
    const NAME: &'static str = "request";
    const CLASS: event_log::EventClass = event_log::EventClass::Request;
}

/// A request whose route is known.
struct RoutedRequest<'a> {
    request: &'a caller::CallerRequest,
    rule: Arc<routing::RouteRule>,
    service: Arc<str>,
    key: Option<u64>,
    id: Option<&'a str>,
    config: u64,
    /// When the caller or the operator gives the request up.
    deadline: Instant,
}

/// Attempts at requests by one traffic thread.
pub struct AttemptRunner {
    context: Arc<context::GatewayContext>,
    pools: Rc<pools::PoolSet>,
}

/// Why no attempt can be made now.
enum WaitReason {
    NoOwner(EventListener),
    Full(EventListener),
}

impl AttemptRunner {
    /// Creates the runner of a traffic thread.
    pub fn new(context: Arc<context::GatewayContext>, pools: Rc<pools::PoolSet>) -> AttemptRunner {
        AttemptRunner { context, pools }
    }

    /// Answers one request.
    pub async fn answer(&self, request: &caller::CallerRequest) -> answer::CallerAnswer {
        let _guard = self.context.enter();
        let routed = match self.route(request) {
            Ok(routed) => routed,
            Err(reason) => {
                self.context
                    .metrics
                    .answered("", reason.status(), request.arrived.elapsed());
                self.context.metrics.refused("", reason.as_str());
                return answer::CallerAnswer::refusal(reason, Some(MIN_RETRY_AFTER));
            }
        };
        let mut progress = progress::AttemptProgress::default();
        let result = self.run(&routed, &mut progress).await;
        let (answer, reason) = match result {
            Ok(found) => {
                let forwarded = answer::CallerAnswer::forwarded(found, &request.head.method);
                (forwarded, None)
            }
            Err(reason) => {
                let pause = (reason.status() == 503).then(|| retry_after(&routed, reason));
                (answer::CallerAnswer::refusal(reason, pause), Some(reason))
            }
        };
        self.note(&routed, &answer, reason, &progress.traces);
        answer
    }

    fn note(
        &self,
        routed: &RoutedRequest<'_>,
        answer: &answer::CallerAnswer,
        reason: Option<answer::RefusalReason>,
        traces: &[progress::AttemptTrace],
    ) {
        let elapsed = routed.request.arrived.elapsed();
        let metrics = &self.context.metrics;
        metrics.answered(&routed.rule.name, answer.status, elapsed);
        for trace in traces {
            metrics.attempted(&routed.service, trace.result);
        }
        if let Some(reason) = reason {
            metrics.refused(&routed.service, reason.as_str());
        }
        let plain = reason.is_none() && traces.len() == 1 && answer.status < 500;
        if plain {
            return;
        }
        self.context.log.emit(&RequestEvent {
            request: routed.id.unwrap_or_default(),
            route: &routed.rule.name,
            service: &routed.service,
            key: routed.key,
            status: answer.status,
            reason: reason.map(answer::RefusalReason::as_str),
            attempts: traces,
            ms: elapsed.as_millis() as u64,
            config: routed.config,
        });
    }

    fn route<'a>(
        &self,
        request: &'a caller::CallerRequest,
    ) -> Result<RoutedRequest<'a>, answer::RefusalReason> {
        let view = self.context.view.load();
        let config = view.config.as_ref();
        let config = config.ok_or(answer::RefusalReason::NotConfigured)?;
        let head = &request.head;
        let rule = config.route(head.host(), head.path());
        let rule = rule.ok_or(answer::RefusalReason::UnknownRoute)?;
        let service = rule.pick_service();
        let spec = config.services.get(&service);
        let space = spec.and_then(|spec| spec.key_space);
        let key = match space {
            None => None,
            Some(space) => {
                let text = head.fields.get(self.context.header_names.key);
                let key = text.and_then(|text| text.parse::<u64>().ok());
                let key = key.filter(|key| *key <= space.last);
                Some(key.ok_or(answer::RefusalReason::BadKey)?)
            }
        };
        if let (Some(spec), Some(key)) = (spec, key) {
            self.context.count_key(spec, key);
        }
        let stated = head.fields.get(self.context.header_names.time_left_ms);
        let stated = stated.and_then(|text| text.parse::<u64>().ok());
        let timeout = if rule.timeout.is_zero() {
            DEFAULT_TIMEOUT
        } else {
            rule.timeout
        };
        let timeout = stated.map_or(timeout, |ms| Duration::from_millis(ms).min(timeout));
        self.context.budget(&service).earn();
        Ok(RoutedRequest {
            request,
            rule: rule.clone(),
            service,
            key,
            id: head.fields.get(self.context.header_names.request_id),
            config: config.version,
            deadline: request.arrived + timeout,
        })
    }

    /// Sends the request until an upstream answers or no attempt is left.
    async fn run(
        &self,
        routed: &RoutedRequest<'_>,
        progress: &mut progress::AttemptProgress,
    ) -> Result<exchange::UpstreamAnswer, answer::RefusalReason> {
        loop {
            if let Some(changed) = progress.changed.take() {
                timer::within(SETTLE_PAUSE, changed).await;
            }
            let changed = self.context.changed.listen();
            let permit = match self.reserve(routed, &progress.tried).await {
                Ok(permit) => permit,
                Err(reason) => return progress.give_up(reason),
            };
            let end = self.attempt(routed, &permit).await;
            drop(permit);
            progress.note(&end);
            let upstream = end.upstream.key;
            let again = match end.result {
                Ok(answer) if self.may_improve(routed, &answer, progress) => {
                    progress.last_failure = Some(answer);
                    true
                }
                Ok(answer) => return Ok(answer),
                Err(error) if self.may_repeat(routed, &error, progress) => false,
                Err(error) => return progress.give_up(reason_of(&error)),
            };
            if again || routed.key.is_none() {
                progress.tried.push(upstream);
            } else {
                progress.changed = Some(changed);
            }
        }
    }

    /// Sends the request to one upstream.
    async fn attempt(
        &self,
        routed: &RoutedRequest<'_>,
        permit: &pools::PoolPermit,
    ) -> progress::AttemptEnd {
        let pool = permit.pool();
        let started = Instant::now();
        let outgoing = exchange::OutgoingRequest {
            head: &routed.request.head,
            body: &routed.request.body,
            id: routed.id,
            deadline: routed.deadline,
            slack: TIMEOUT_SLACK,
        };
        let result = exchange::exchange(pool, &self.context.header_names, &outgoing).await;
        let elapsed = started.elapsed();
        let upstream = pool.view.borrow().clone();
        match &result {
            Ok(answer) => {
                pool.note(elapsed, is_failure(answer));
                if routed.key.is_some() {
                    let context = &self.context;
                    context.note_owner(&routed.service, upstream.key, elapsed);
                }
            }
            Err(error) => note_failure(pool, error, elapsed),
        }
        progress::AttemptEnd {
            upstream,
            result,
            elapsed,
        }
    }

    /// Returns whether another upstream may answer better than with a failure.
    fn may_improve(
        &self,
        routed: &RoutedRequest<'_>,
        answer: &exchange::UpstreamAnswer,
        progress: &progress::AttemptProgress,
    ) -> bool {
        is_failure(answer)
            && routed.rule.kind.is_idempotent()
            && self.may_run_again(routed, progress.runs)
    }

    /// Returns whether a request without an answer may be sent again.
    fn may_repeat(
        &self,
        routed: &RoutedRequest<'_>,
        error: &exchange::ExchangeError,
        progress: &progress::AttemptProgress,
    ) -> bool {
        match error.outcome() {
            outcome::Outcome::NotRun => self.may_move_on(routed, error, progress.traces.len()),
            _ => routed.rule.kind.is_idempotent() && self.may_run_again(routed, progress.runs),
        }
    }

    /// Returns whether a request that may have run may run at another upstream.
    fn may_run_again(&self, routed: &RoutedRequest<'_>, runs: u32) -> bool {
        let left = routed.deadline.saturating_duration_since(Instant::now());
        !self.is_ending()
            && runs < routed.rule.max_attempts
            && left > routed.rule.latency_objective / 8
            && self.spend(routed)
    }

    /// Returns whether a request that certainly did not run may be sent again.
    fn may_move_on(
        &self,
        routed: &RoutedRequest<'_>,
        error: &exchange::ExchangeError,
        sent: usize,
    ) -> bool {
        let arrived = matches!(error, exchange::ExchangeError::Refused { .. });
        let late = Instant::now() >= routed.deadline || self.is_ending();
        !late && sent < MAX_REFUSALS && (!arrived || self.spend(routed))
    }

    /// Returns whether the process ends too soon for another attempt.
    fn is_ending(&self) -> bool {
        let until = self.context.attempts_until();
        until.is_some_and(|until| Instant::now() >= until)
    }

    fn spend(&self, routed: &RoutedRequest<'_>) -> bool {
        let allowed = self.context.budget(&routed.service).spend();
        self.context.metrics.budgeted(&routed.service, allowed);
        allowed
    }

    /// Waits for an upstream that may take the request now.
    async fn reserve(
        &self,
        routed: &RoutedRequest<'_>,
        tried: &choice::TriedList,
    ) -> Result<pools::PoolPermit, answer::RefusalReason> {
        let wait = routed.rule.latency_objective.mul_f64(WAIT_SHARE);
        let until = (Instant::now() + wait).min(routed.deadline);
        loop {
            let reason = match self.try_reserve(routed, tried)? {
                Ok(permit) => return Ok(permit),
                Err(reason) => reason,
            };
            let stop = self.context.attempts_until();
            let until = stop.map_or(until, |stop| until.min(stop));
            let left = until.saturating_duration_since(Instant::now());
            let (listener, refusal) = match reason {
                WaitReason::NoOwner(listener) => (listener, answer::RefusalReason::NoOwner),
                WaitReason::Full(listener) => (listener, answer::RefusalReason::Overloaded),
            };
            if left.is_zero() || timer::within(left, listener).await.is_none() {
                return Err(refusal);
            }
        }
    }

    fn try_reserve(
        &self,
        routed: &RoutedRequest<'_>,
        tried: &choice::TriedList,
    ) -> Result<Result<pools::PoolPermit, WaitReason>, answer::RefusalReason> {
        let changed = self.context.changed.listen();
        let view = self.context.view.load();
        let service = view.services.get(&routed.service);
        let service = service.ok_or(answer::RefusalReason::NoUpstream)?;
        let now = self.context.clock.now();
        let Some(key) = routed.key else {
            let any_freed = self.pools.listen();
            let input = choice::ChoiceInput {
                tried,
                body_bytes: routed.request.body.len(),
                latency_objective: routed.rule.latency_objective,
                boot_now: now,
            };
            let choice = choice::choose(&self.pools, service, view.instances, &input);
            return match choice {
                choice::Choice::Found(permit) => Ok(Ok(permit)),
                choice::Choice::Full => Ok(Err(WaitReason::Full(any_freed))),
                choice::Choice::Nothing => Err(answer::RefusalReason::NoUpstream),
            };
        };
        let view::KeyOwner::Upstream(owner) = service.owner(key) else {
            return Ok(Err(WaitReason::NoOwner(changed)));
        };
        let pool = self.pools.get(&owner);
        let freed = pool.listen();
        let leaving = |since: Duration| now >= since + DRAINING_USE;
        if owner.draining_since.is_some_and(leaving) || pool.is_avoided(Instant::now()) {
            return Ok(Err(WaitReason::NoOwner(changed)));
        }
        let objective = routed.rule.latency_objective;
        let instances = view.instances;
        let limit = choice::limit(&pool, owner.slots, instances, objective, Instant::now());
        if pool.in_flight() >= limit {
            return Ok(Err(WaitReason::Full(freed)));
        }
        Ok(Ok(self.pools.enter(&pool)))
    }
}

fn note_failure(pool: &pools::UpstreamPool, error: &exchange::ExchangeError, elapsed: Duration) {
    match error {
        exchange::ExchangeError::Unreachable(_) | exchange::ExchangeError::ConnectTimeout(_) => {
            pool.note_unreachable();
        }
        exchange::ExchangeError::Refused { status: 421, by } => {
            let expected = pool.view.borrow().id.clone();
            if by.as_ref().is_some_and(|by| **by != *expected) {
                pool.note_misdirected();
            }
        }
        exchange::ExchangeError::Refused { .. } => pool.note_refusal(),
        exchange::ExchangeError::Broken { .. }
        | exchange::ExchangeError::Foreign
        | exchange::ExchangeError::Timeout => pool.note(elapsed, true),
    }
}

fn is_failure(answer: &exchange::UpstreamAnswer) -> bool {
    answer.head.status >= 500
}

/// Returns what a caller is told after the last attempt.
fn reason_of(error: &exchange::ExchangeError) -> answer::RefusalReason {
    match (error, error.outcome()) {
        (exchange::ExchangeError::Timeout, _) => answer::RefusalReason::Expired,
        (_, outcome::Outcome::NotRun) => answer::RefusalReason::Refused,
        _ => answer::RefusalReason::LostAnswer,
    }
}

/// Returns the time after which a refused caller should come back.
fn retry_after(routed: &RoutedRequest<'_>, reason: answer::RefusalReason) -> Duration {
    let left = routed.deadline.saturating_duration_since(Instant::now());
    let pause = match reason {
        answer::RefusalReason::NoOwner => NO_OWNER_RETRY_AFTER,
        _ => MIN_RETRY_AFTER + MIN_RETRY_AFTER.mul_f64(fastrand::f64()),
    };
    pause
        .min(left.mul_f64(RETRY_AFTER_SHARE))
        .max(Duration::from_millis(10))
}
