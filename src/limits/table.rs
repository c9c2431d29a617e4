//! Limits that this instance knows of, shared by its threads.

use crate::ids;
use crate::limits;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Limit of one upstream.
#[derive(Debug)]
struct KnownLimit {
    rate: limits::RequestRate,
    /// Present time on the boot clock when the limit became known.
    learned_at: Duration,
}

/// Limits by upstream.
#[derive(Debug, Default)]
pub struct LimitTable {
    /// Number of limits, read without the lock.
    count: AtomicUsize,
    limits: Mutex<HashMap<ids::UpstreamKey, KnownLimit>>,
}

impl LimitTable {
    /// Notes what a response says, whose request was sent at `sent` on the boot clock.
    ///
    /// Returns the statement if it tells whether a limit applies and that was not known.
    pub fn note_response(
        &self,
        upstream: ids::UpstreamKey,
        sent: Duration,
        now: Duration,
        statement: limits::LimitStatement,
    ) -> Option<limits::LimitStatement> {
        if statement.rate().is_none() && self.is_empty() {
            return None;
        }
        let mut limits = self.limits.lock().expect("no panic while locked");
        let known = limits.get_mut(&upstream);
        let changed = match (statement, known) {
            (limits::LimitStatement::Limited(rate), Some(known)) => {
                known.rate = rate;
                false
            }
            (limits::LimitStatement::Limited(rate), None) => {
                let learned_at = now;
                limits.insert(upstream, KnownLimit { rate, learned_at });
                true
            }
            // Responses to requests sent before the limit was known may be older than it.
            (limits::LimitStatement::Unlimited, Some(known)) if sent >= known.learned_at => {
                limits.remove(&upstream);
                true
            }
            (limits::LimitStatement::Unlimited, _) => false,
        };
        self.count.store(limits.len(), Ordering::Release);
        changed.then_some(statement)
    }

    /// Returns the limit of an upstream, if one is known.
    pub fn rate(&self, upstream: ids::UpstreamKey) -> Option<limits::RequestRate> {
        if self.is_empty() {
            return None;
        }
        let limits = self.limits.lock().expect("no panic while locked");
        limits.get(&upstream).map(|known| known.rate)
    }

    /// Returns the number of upstreams with a limit.
    pub fn len(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
