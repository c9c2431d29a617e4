//! Limit on repeated requests, so that a brown-out is not amplified.

use std::sync::atomic::{AtomicI64, Ordering};

/// Tokens that one repetition costs.
const REPEAT_COST: i64 = 10;

/// Tokens that one request earns: one repetition per ten requests.
const REQUEST_GAIN: i64 = 1;

/// Most tokens kept.
const MAX_TOKENS: i64 = 1000;

/// Retry budget of one service on one instance.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            tokens: AtomicI64::new(MAX_TOKENS / 4),
        }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn earn(&self) {
        let earn = |tokens: i64| Some((tokens + REQUEST_GAIN).min(MAX_TOKENS));
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes the tokens of one repetition; `false` if they do not suffice.
    pub fn spend(&self) -> bool {
        let spend = |tokens: i64| (tokens >= REPEAT_COST).then_some(tokens - REPEAT_COST);
        let spent = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend);
        spent.is_ok()
    }
}
