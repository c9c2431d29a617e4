//! Whether an upstream ran a request, which decides whether it may be retried.
//!
//! The request path in [`crate::proxy`] retries a request only if
//! [`Outcome::allows_retry`] permits it.

use std::fmt;

/// Header that states the outcome: on every response to a caller, and on an upstream's refusal.
pub const OUTCOME_HEADER: &str = "godwitloom-outcome";

/// Whether an upstream ran a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// An upstream ran the request and responded.
    Ran,
    /// No byte was sent to an upstream, or the upstream refused the request before running it.
    NotRun,
    /// The request was sent to an upstream, but no usable response arrived.
    Unknown,
}

impl Outcome {
    /// Returns whether a request with this outcome may be sent again.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Outcome::Ran => false,
            Outcome::NotRun => true,
            Outcome::Unknown => idempotent,
        }
    }

    /// Returns the outcome's name in headers and refusals.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Parses a header value; `None` if it names no outcome.
    pub fn parse(text: &str) -> Option<Outcome> {
        let outcomes = [Outcome::Ran, Outcome::NotRun, Outcome::Unknown];
        outcomes
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
