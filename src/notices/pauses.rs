//! Upstreams that turned a request away and want none from this instance for a while.
//!
//! The load pattern: an upstream in need sheds what it is sent, and its callers return at
//! the same moment. During a pause nothing is sent to the upstream. Callers that have no
//! other place to go are told to return one after the other. After the pause the upstream
//! gets one request at a time, and one more at once for each that it did not turn away.

use crate::ids;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Longest pause that an upstream can ask for, in seconds.
const MAX_PAUSE_S: f64 = 3600.0;

/// Requests that may be in flight at an upstream right after its pause.
const FIRST_WINDOW: usize = 1;

/// Requests in flight from which on an upstream has returned to its ordinary limit.
const FULL_WINDOW: usize = 8;

/// Time after the end of a pause for which the return stays gradual.
const RETURN_TIME: Duration = Duration::from_secs(20);

/// Parses the seconds for which an upstream wants no requests; they may have fractions.
///
/// Returns `None` for anything but a positive number, such as a date.
pub fn parse_pause(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    let valid = seconds.is_finite() && seconds > 0.0;
    valid.then(|| Duration::from_secs_f64(seconds.min(MAX_PAUSE_S)))
}

/// What a pause allows now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PauseState {
    /// No pause, or one that is long over.
    Open,
    /// Nothing may be sent for the given time.
    Paused(Duration),
    /// The given number of requests may be in flight.
    Returning(usize),
}

/// Pause of one upstream; times are on the boot clock.
#[derive(Clone, Copy, Debug)]
struct UpstreamPause {
    until: Duration,
    window: usize,
    /// Callers that were told to return after the pause.
    returning_callers: u32,
}

/// Pauses by upstream.
#[derive(Debug, Default)]
pub struct PauseTable {
    /// Number of pauses, read without the lock.
    count: AtomicUsize,
    pauses: Mutex<HashMap<ids::UpstreamKey, UpstreamPause>>,
}

impl PauseTable {
    /// Notes that an upstream wants nothing for `pause` from now on.
    ///
    /// Returns whether no pause of it was in force.
    pub fn note(&self, now: Duration, upstream: ids::UpstreamKey, pause: Duration) -> bool {
        let mut pauses = self.pauses.lock().expect("no panic while locked");
        let until = now + pause;
        let known = pauses.get(&upstream).copied();
        let in_force = known.filter(|known| now < known.until);
        let next = UpstreamPause {
            until: in_force.map_or(until, |known| known.until.max(until)),
            window: FIRST_WINDOW,
            returning_callers: in_force.map_or(0, |known| known.returning_callers),
        };
        pauses.insert(upstream, next);
        self.count.store(pauses.len(), Ordering::Release);
        in_force.is_none()
    }

    /// Notes that an upstream did not turn a request away.
    pub fn note_accepted(&self, now: Duration, upstream: ids::UpstreamKey) {
        if self.is_empty() {
            return;
        }
        let mut pauses = self.pauses.lock().expect("no panic while locked");
        let Some(known) = pauses.get_mut(&upstream) else {
            return;
        };
        // It answers a request that was sent before the pause.
        if now < known.until {
            return;
        }
        known.window += 1;
        if known.window >= FULL_WINDOW {
            pauses.remove(&upstream);
            self.count.store(pauses.len(), Ordering::Release);
        }
    }

    /// Returns what may be sent to an upstream now.
    pub fn state(&self, now: Duration, upstream: ids::UpstreamKey) -> PauseState {
        if self.is_empty() {
            return PauseState::Open;
        }
        let pauses = self.pauses.lock().expect("no panic while locked");
        match pauses.get(&upstream) {
            Some(known) if now < known.until => PauseState::Paused(known.until - now),
            Some(known) if now < known.until + RETURN_TIME => PauseState::Returning(known.window),
            _ => PauseState::Open,
        }
    }

    /// Returns the rest of a pause, and when it is the turn of the next caller that has no
    /// other upstream to go to.
    ///
    /// Each turn comes `spacing` after the one before. `None` without a pause.
    pub fn next_return(
        &self,
        now: Duration,
        upstream: ids::UpstreamKey,
        spacing: Duration,
    ) -> Option<(Duration, Duration)> {
        if self.is_empty() {
            return None;
        }
        let mut pauses = self.pauses.lock().expect("no panic while locked");
        let known = pauses.get_mut(&upstream);
        let known = known.filter(|known| now < known.until)?;
        let turn = spacing * known.returning_callers;
        known.returning_callers = known.returning_callers.saturating_add(1);
        let left = known.until - now;
        Some((left, left + turn))
    }

    /// Forgets pauses that are long over.
    pub fn trim(&self, now: Duration) {
        if self.is_empty() {
            return;
        }
        let mut pauses = self.pauses.lock().expect("no panic while locked");
        pauses.retain(|_, known| now < known.until + RETURN_TIME);
        self.count.store(pauses.len(), Ordering::Release);
    }

    pub fn is_empty(&self) -> bool {
        self.count.load(Ordering::Acquire) == 0
    }
}
