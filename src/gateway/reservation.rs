//! Reservation of an upstream for one attempt.
//!
//! A request waits for an owner or for capacity for a share of its latency
//! objective. What an upstream's limit cannot allow soon is refused at once.

use crate::gateway::{attempts, choice, pools, progress, response, view};
use crate::limits::table;
use crate::notices::pauses;
use crate::timer;
use event_listener::EventListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Share of the latency objective for which a request waits for an owner or for capacity.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Share of the latency objective for which a request waits for its turn under a limit.
const MAX_LIMIT_WAIT_SHARE: f64 = 0.25;

/// Why no attempt can be made now.
enum Unavailable {
    /// An attempt may become possible.
    Wait(WaitReason),
    Refused(response::RefusalReason),
    /// The upstreams that may get the request want none; the first one to end its pause.
    Paused(Rc<pools::UpstreamPool>),
}

/// What an attempt waits for, with a listener for when that may have changed.
enum WaitReason {
    NoOwner(EventListener),
    /// The upstreams that may get the request are at their request limit.
    AtLimit(EventListener),
}

impl attempts::AttemptRunner {
    /// Waits until an upstream may get the request.
    pub(super) async fn reserve(
        &self,
        routed: &attempts::RoutedRequest<'_>,
        progress: &mut progress::AttemptProgress,
    ) -> Result<pools::PoolPermit, response::RefusalReason> {
        let wait = routed.rule.latency_objective.mul_f64(MAX_WAIT_SHARE);
        let until = (Instant::now() + wait).min(routed.deadline);
        progress.limited.clear();
        progress.caller_turn = None;
        loop {
            let reason = match self.try_reserve(routed, progress) {
                Ok(permit) => match self.admit(routed, &permit, progress).await {
                    // What it said of itself meanwhile also counts.
                    true if self.is_closed(permit.pool()) => continue,
                    true => return Ok(permit),
                    // Another upstream may get it, unless the key has an owner.
                    false if routed.key.is_none() => continue,
                    false => return Err(response::RefusalReason::RateLimited),
                },
                Err(Unavailable::Refused(reason)) => return Err(reason),
                Err(Unavailable::Paused(pool)) => {
                    if let Some(turn) = self.next_turn(&pool) {
                        progress.note_turn(turn);
                    }
                    return Err(response::RefusalReason::UpstreamPaused);
                }
                Err(Unavailable::Wait(reason)) => reason,
            };
            let cutoff = self.context.attempt_cutoff();
            let until = cutoff.map_or(until, |cutoff| until.min(cutoff));
            let left = until.saturating_duration_since(Instant::now());
            let (listener, refusal) = match reason {
                WaitReason::NoOwner(listener) => (listener, response::RefusalReason::NoOwner),
                WaitReason::AtLimit(listener) => (listener, response::RefusalReason::Overloaded),
            };
            if left.is_zero() || timer::within(left, listener).await.is_none() {
                return Err(refusal);
            }
        }
    }

    /// Waits for the request's turn under the limit of its upstream, if there is one.
    ///
    /// Returns `false` if the limit does not allow the request soon.
    async fn admit(
        &self,
        routed: &attempts::RoutedRequest<'_>,
        permit: &pools::PoolPermit,
        progress: &mut progress::AttemptProgress,
    ) -> bool {
        let upstream = permit.pool().view.borrow().key;
        let left = routed.deadline.saturating_duration_since(Instant::now());
        let wait = routed.rule.latency_objective.min(left);
        let admission = self.context.limits.admit(
            &*self.context.clock,
            &routed.service,
            upstream,
            wait.mul_f64(MAX_LIMIT_WAIT_SHARE),
        );
        let (result, retry_after) = match admission.await {
            table::Admission::Admitted => return true,
            table::Admission::Refused(retry_after) => ("refused", retry_after),
            table::Admission::Unanswered(retry_after) => ("unanswered", retry_after),
        };
        let metrics = &self.context.metrics;
        metrics.record_limit_refusal(&routed.service, result);
        progress.note_limited(upstream, retry_after);
        false
    }

    /// Returns whether an upstream began a pause while the request waited for its turn.
    fn is_closed(&self, pool: &pools::UpstreamPool) -> bool {
        let (now, upstream) = (self.context.clock.now(), pool.view.borrow().key);
        let state = self.context.pauses.state(now, upstream);
        matches!(state, pauses::PauseState::Paused(_))
    }

    /// Returns a permit, or why there is none.
    fn try_reserve(
        &self,
        routed: &attempts::RoutedRequest<'_>,
        progress: &progress::AttemptProgress,
    ) -> Result<pools::PoolPermit, Unavailable> {
        let view_changed = self.context.view_changed.listen();
        let view = self.context.view.load();
        let Some(service) = view.services.get(&routed.service) else {
            return Err(Unavailable::Refused(response::RefusalReason::NoUpstream));
        };
        let now = self.context.clock.now();
        let Some(key) = routed.key else {
            let any_freed = self.pools.listen();
            let input = choice::ChoiceInput {
                tried: &progress.tried,
                limited: &progress.limited,
                limits: &self.context.limits,
                departures: &self.context.departures,
                pauses: &self.context.pauses,
                body_bytes: routed.request.body.len(),
                latency_objective: routed.rule.latency_objective,
                boot_now: now,
            };
            let choice = choice::choose(&self.pools, service, view.instances, &input);
            return match choice {
                choice::Choice::Found(permit) => Ok(permit),
                choice::Choice::AtLimit => Err(Unavailable::Wait(WaitReason::AtLimit(any_freed))),
                choice::Choice::NoneUsable => {
                    Err(Unavailable::Refused(response::RefusalReason::NoUpstream))
                }
                choice::Choice::RateLimited => {
                    Err(Unavailable::Refused(response::RefusalReason::RateLimited))
                }
                choice::Choice::Paused(pool) => Err(Unavailable::Paused(pool)),
            };
        };
        let view::KeyOwner::Upstream(owner) = service.owner(key) else {
            return Err(Unavailable::Wait(WaitReason::NoOwner(view_changed)));
        };
        let pool = self.pools.get(&owner);
        let freed = pool.listen();
        let drained = |since: Duration| now >= since + self.context.settings.drain_grace;
        let leaving_since = self.context.departures.since(owner.key);
        if owner.draining_since.is_some_and(drained)
            || leaving_since.is_some_and(drained)
            || pool.is_ejected(Instant::now())
        {
            return Err(Unavailable::Wait(WaitReason::NoOwner(view_changed)));
        }
        let window = match self.context.pauses.state(now, owner.key) {
            pauses::PauseState::Paused(_) => return Err(Unavailable::Paused(pool)),
            pauses::PauseState::Returning(window) => window,
            pauses::PauseState::Open => usize::MAX,
        };
        let objective = routed.rule.latency_objective;
        let instances = view.instances;
        let limit = choice::request_limit(&pool, owner.slots, instances, objective, Instant::now());
        if pool.in_flight() >= limit.min(window) {
            return Err(Unavailable::Wait(WaitReason::AtLimit(freed)));
        }
        Ok(self.pools.acquire(&pool))
    }
}
