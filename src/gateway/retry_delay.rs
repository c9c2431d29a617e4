//! When a refused caller should return.
//!
//! The patterns: a hot key has more requests than its owner can serve, or keys are without
//! an owner until it is replaced. Both last for seconds, or several latency objectives.
//! Callers that return within a fraction of the objective are refused again by the same
//! upstream, and use up their retries. The delay therefore grows with the objective, so that
//! a returning caller can still be served within it, and differs from caller to caller.
//! An upstream that turns away some of its requests, but not all, may take the next one: its
//! callers return soon.

use crate::gateway::{progress, response};
use std::time::Duration;

/// Least delay; jitter adds up to as much again.
const MIN_DELAY: Duration = Duration::from_millis(100);

/// Share of the latency objective after which a caller returns; jitter adds up to as much.
const OBJECTIVE_SHARE: f64 = 0.33;

/// Least delay of a request whose key has no owner.
const MIN_NO_OWNER_DELAY: Duration = Duration::from_millis(500);

/// Share of the latency objective after which its caller returns, behind a wait for the
/// owner that took as long; jitter adds up to half as much.
const NO_OWNER_OBJECTIVE_SHARE: f64 = 0.5;

/// Largest share of a request's remaining time that a delay may take.
const MAX_LEFT_SHARE: f64 = 0.25;

/// Least delay in any case.
const SHORTEST_DELAY: Duration = Duration::from_millis(10);

/// A refused request.
#[derive(Clone, Copy, Debug)]
pub struct RefusedRequest {
    pub reason: response::RefusalReason,
    /// Latency objective of its route.
    pub objective: Duration,
    /// Time until its deadline.
    pub left: Duration,
    /// The caller's turn at an upstream that a limit or a pause closes.
    pub turn: Option<progress::CallerTurn>,
}

/// Returns the `Retry-After` of a refusal; `chance` is a random number from 0 to 1.
pub fn retry_delay(refused: &RefusedRequest, chance: f64) -> Duration {
    let max = refused.left.mul_f64(MAX_LEFT_SHARE);
    let delay = match (refused.reason, refused.turn) {
        (response::RefusalReason::NoOwner, _) => {
            let share = NO_OWNER_OBJECTIVE_SHARE * (1.0 + 0.5 * chance);
            MIN_NO_OWNER_DELAY.max(refused.objective.mul_f64(share))
        }
        (
            response::RefusalReason::RateLimited
            | response::RefusalReason::UpstreamPaused
            | response::RefusalReason::HelperRefused,
            Some(turn),
        ) => turn.delay(max),
        // It cannot be served while its caller waits.
        (response::RefusalReason::CrashesUpstreams, _) => max,
        (response::RefusalReason::Overloaded, _) => {
            let base = MIN_DELAY.max(refused.objective.mul_f64(OBJECTIVE_SHARE));
            base.mul_f64(1.0 + chance)
        }
        _ => MIN_DELAY.mul_f64(1.0 + chance),
    };
    delay.min(max).max(SHORTEST_DELAY)
}
