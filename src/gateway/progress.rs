//! Progress of one request over its attempts.

use crate::gateway::{answer, choice, exchange, view};
use crate::outcome;
use event_listener::EventListener;
use serde::Serialize;
use smallvec::SmallVec;
use std::sync::Arc;
use std::time::Duration;

/// One attempt, as the log shows it.
#[derive(Clone, Debug, Serialize)]
pub struct AttemptTrace {
    pub upstream: Arc<str>,
    pub result: &'static str,
    pub ms: u64,
}

/// End of one attempt.
pub struct AttemptEnd {
    pub upstream: Arc<view::UpstreamView>,
    pub result: Result<exchange::UpstreamAnswer, exchange::ExchangeError>,
    pub elapsed: Duration,
}

/// What the attempts at one request have led to.
#[derive(Default)]
pub struct AttemptProgress {
    pub traces: SmallVec<[AttemptTrace; 4]>,
    pub tried: choice::TriedList,
    /// Attempts that may have run.
    pub runs: u32,
    /// Failure that an upstream answered.
    pub last_failure: Option<exchange::UpstreamAnswer>,
    /// Listens for the owners to change before the next attempt.
    pub changed: Option<EventListener>,
}

impl AttemptProgress {
    /// Takes the end of an attempt over.
    pub fn note(&mut self, end: &AttemptEnd) {
        let (result, not_run) = match &end.result {
            Ok(_) => ("answered", false),
            Err(error) => (error.as_str(), error.outcome() == outcome::Outcome::NotRun),
        };
        self.runs += u32::from(!not_run);
        self.traces.push(AttemptTrace {
            upstream: end.upstream.id.clone(),
            result,
            ms: end.elapsed.as_millis() as u64,
        });
    }

    /// Returns an earlier failure of an upstream, or the instance's own answer.
    ///
    /// The latter promises nothing if the request may have run.
    pub fn give_up(
        &mut self,
        reason: answer::RefusalReason,
    ) -> Result<exchange::UpstreamAnswer, answer::RefusalReason> {
        if let Some(answer) = self.last_failure.take() {
            return Ok(answer);
        }
        match self.runs > 0 && reason.status() == 503 {
            true => Err(answer::RefusalReason::LostAnswer),
            false => Err(reason),
        }
    }
}
