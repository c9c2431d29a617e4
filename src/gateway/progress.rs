//! State of one request across its attempts.

use crate::gateway::{choice, exchange, response, view};
use crate::h1::reader;
use crate::ids;
use crate::outcome;
use event_listener::EventListener;
use serde::Serialize;
use smallvec::SmallVec;
use std::sync::Arc;
use std::time::Duration;

/// One attempt as it is logged.
#[derive(Clone, Debug, Serialize)]
pub struct AttemptTrace {
    /// ID of the upstream.
    pub upstream: Arc<str>,
    pub result: &'static str,
    /// Duration in milliseconds.
    pub ms: u64,
}

/// Times after which a refused caller may return.
#[derive(Clone, Copy, Debug)]
pub struct CallerTurn {
    /// When the first refused caller may be served.
    pub earliest: Duration,
    /// When it is this caller's turn, behind those that were refused before.
    pub turn: Duration,
}

impl CallerTurn {
    /// Returns when to return for a caller that can wait for `max` at most.
    ///
    /// Callers whose turn comes later spread over the time that is left for them.
    pub fn delay(self, max: Duration) -> Duration {
        match self.turn <= max {
            true => self.turn,
            false => {
                let first = self.earliest.min(max);
                first + (max - first).mul_f64(fastrand::f64())
            }
        }
    }
}

/// An attempt that ended, with or without a response.
pub struct FinishedAttempt {
    pub upstream: Arc<view::UpstreamView>,
    pub result: Result<exchange::UpstreamResponse, exchange::ExchangeError>,
    /// Connection on which the request was sent, if there was one.
    pub connection: Option<reader::ConnectionNumber>,
    pub elapsed: Duration,
}

/// Attempts at one request so far.
#[derive(Default)]
pub struct AttemptProgress {
    pub traces: SmallVec<[AttemptTrace; 4]>,
    pub tried: choice::TriedList,
    /// Upstreams whose limit allowed no attempt now.
    pub limited: choice::TriedList,
    /// When the caller may return, if an upstream that allows no attempt now tells.
    pub caller_turn: Option<CallerTurn>,
    /// Connections on which the request was sent.
    pub connections: SmallVec<[reader::ConnectionNumber; 4]>,
    /// Number of attempts in which the request ran or may have run.
    pub possible_runs: u32,
    /// Last response with a 5xx status.
    pub last_failure: Option<exchange::UpstreamResponse>,
    /// Notified when the view changes, for which the next attempt waits.
    pub view_changed: Option<EventListener>,
}

impl AttemptProgress {
    /// Adds a finished attempt.
    pub fn record(&mut self, attempt: &FinishedAttempt) {
        let (result, not_run) = match &attempt.result {
            Ok(_) => ("answered", false),
            Err(error) => (error.as_str(), error.outcome() == outcome::Outcome::NotRun),
        };
        self.possible_runs += u32::from(!not_run);
        self.connections.extend(attempt.connection);
        self.traces.push(AttemptTrace {
            upstream: attempt.upstream.id.clone(),
            result,
            ms: attempt.elapsed.as_millis() as u64,
        });
    }

    /// Notes that an upstream's limit allows no attempt for `retry_after`.
    pub fn note_limited(&mut self, upstream: ids::UpstreamKey, retry_after: Duration) {
        self.limited.push(upstream);
        self.note_turn(CallerTurn {
            earliest: retry_after,
            turn: retry_after,
        });
    }

    /// Notes when an upstream may allow an attempt.
    pub fn note_turn(&mut self, turn: CallerTurn) {
        let soonest = self.caller_turn.filter(|known| known.turn <= turn.turn);
        self.caller_turn = Some(soonest.unwrap_or(turn));
    }

    /// Ends the request with an earlier 5xx response of an upstream, or with a refusal.
    ///
    /// If the request may have run, a 503, which promises that it did not, becomes
    /// a lost response.
    pub fn give_up(
        &mut self,
        reason: response::RefusalReason,
    ) -> Result<exchange::UpstreamResponse, response::RefusalReason> {
        if let Some(response) = self.last_failure.take() {
            return Ok(response);
        }
        match self.possible_runs > 0 && reason.status() == 503 {
            true => Err(response::RefusalReason::LostResponse),
            false => Err(reason),
        }
    }
}
