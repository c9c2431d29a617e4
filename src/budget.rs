//! Limit on retries, so that they do not amplify a brown-out of the upstreams.

use std::sync::atomic::{AtomicI64, Ordering};

/// Tokens that one retry costs; a request deposits a fraction of them.
const RETRY_COST: i64 = 1000;

/// Ratio of retries to requests that is allowed in the long run, unless set otherwise.
const DEFAULT_RETRY_RATIO: f64 = 0.1;

/// Retries that may be sent at once, unless set otherwise.
const DEFAULT_RETRY_BURST: f64 = 25.0;

/// Token bucket for the retries of one service on one instance.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: AtomicI64,
    /// Tokens that one request deposits.
    tokens_per_request: i64,
    max_tokens: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(DEFAULT_RETRY_RATIO, DEFAULT_RETRY_BURST)
    }
}

impl RetryBudget {
    /// Creates a full budget of `ratio` retries per request and `burst` retries at once.
    pub fn new(ratio: f64, burst: f64) -> RetryBudget {
        let max_tokens = (burst * RETRY_COST as f64) as i64;
        RetryBudget {
            tokens: AtomicI64::new(max_tokens),
            tokens_per_request: (ratio * RETRY_COST as f64) as i64,
            max_tokens: AtomicI64::new(max_tokens),
        }
    }

    /// Sets the retries at once, as this instance's share of them changes.
    ///
    /// A smaller share takes effect at once; a greater one fills up with requests.
    pub fn set_burst(&self, burst: f64) {
        let max_tokens = (burst * RETRY_COST as f64) as i64;
        if self.max_tokens.swap(max_tokens, Ordering::Relaxed) > max_tokens {
            self.tokens.fetch_min(max_tokens, Ordering::Relaxed);
        }
    }

    /// Deposits the tokens of one request; retries of it deposit none.
    pub fn deposit(&self) {
        let max_tokens = self.max_tokens.load(Ordering::Relaxed);
        let add = |tokens: i64| Some((tokens + self.tokens_per_request).min(max_tokens));
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Withdraws the tokens of one retry; returns `false` if there are too few.
    pub fn withdraw(&self) -> bool {
        let subtract = |tokens: i64| (tokens >= RETRY_COST).then_some(tokens - RETRY_COST);
        let withdrawn = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
        withdrawn.is_ok()
    }
}
