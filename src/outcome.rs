//! Whether a request ran.
//!
//! One type carries the answer from the connection to the caller, and nothing
//! repeats a request without asking [`Outcome::allows_retry`].

use std::fmt;

/// Header that states the outcome on every answer of the system itself.
pub const OUTCOME_HEADER: &str = "godwitloom-outcome";

/// Whether an upstream ran a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// An upstream ran the request and answered.
    Ran,
    /// No byte reached an upstream, or the upstream refused before running.
    NotRun,
    /// The request reached an upstream whose answer is missing.
    Unknown,
}

impl Outcome {
    /// Returns whether the request may be sent once more.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Outcome::Ran => false,
            Outcome::NotRun => true,
            Outcome::Unknown => idempotent,
        }
    }

    /// Returns the header value.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Parses a header value.
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
