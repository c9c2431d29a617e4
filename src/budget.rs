//! Limit on repeated requests, so that a brown-out is not amplified.

use std::sync::atomic::{AtomicI64, Ordering};

/// Tokens that one repetition costs.
const REPEAT_COST: i64 = 1000;

/// Repetitions that one request earns, if nothing else is set.
const DEFAULT_RATIO: f64 = 0.1;

/// Most repetitions kept, if nothing else is set.
const DEFAULT_BURST: f64 = 25.0;

/// Retry budget of one service on one instance.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: AtomicI64,
    /// Tokens that one request earns.
    gain: i64,
    /// Most tokens kept.
    most: i64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(DEFAULT_RATIO, DEFAULT_BURST)
    }
}

impl RetryBudget {
    /// Creates a budget of `ratio` repetitions a request and `burst` at once.
    pub fn new(ratio: f64, burst: f64) -> RetryBudget {
        let most = (burst * REPEAT_COST as f64) as i64;
        RetryBudget {
            tokens: AtomicI64::new(most),
            gain: (ratio * REPEAT_COST as f64) as i64,
            most,
        }
    }

    /// Notes a first attempt.
    pub fn deposit(&self) {
        let earn = |tokens: i64| Some((tokens + self.gain).min(self.most));
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes the tokens of one repetition; `false` if they do not suffice.
    pub fn withdraw(&self) -> bool {
        let spend = |tokens: i64| (tokens >= REPEAT_COST).then_some(tokens - REPEAT_COST);
        let spent = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend);
        spent.is_ok()
    }
}
