//! Rate limits that upstreams in need state in their responses.
//!
//! A limit is the number of requests a second that an upstream takes from all
//! instances together, for as long as its responses state it.
//!
//! ```text
//! table::LimitTable    what this instance knows of the limits
//! ```

pub mod table;

/// Least rate that is applied, in requests per second.
///
/// An upstream that states none or next to none must still get a request now and
/// then, since only its responses tell when the limit ends.
const MIN_RATE: f64 = 0.2;

/// Greatest rate that is applied, in requests per second.
const MAX_RATE: f64 = 1e6;

/// Requests per second that an upstream takes from all instances together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Parses a decimal number of requests per second, and bounds it.
    ///
    /// Returns `None` for anything else, and for a negative number.
    pub fn parse(text: &str) -> Option<RequestRate> {
        let rate: f64 = text.trim().parse().ok()?;
        RequestRate::new(rate)
    }

    /// Bounds a number of requests per second; `None` if it is negative or not a number.
    pub fn new(per_second: f64) -> Option<RequestRate> {
        let valid = per_second.is_finite() && per_second >= 0.0;
        valid.then(|| RequestRate(per_second.clamp(MIN_RATE, MAX_RATE)))
    }

    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// What a response says of its upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitStatement {
    Limited(RequestRate),
    /// The response states no limit, so that none applies any more.
    Unlimited,
}

impl LimitStatement {
    /// Returns the stated rate, if any.
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            LimitStatement::Limited(rate) => Some(rate),
            LimitStatement::Unlimited => None,
        }
    }
}

impl From<Option<RequestRate>> for LimitStatement {
    fn from(rate: Option<RequestRate>) -> LimitStatement {
        rate.map_or(LimitStatement::Unlimited, LimitStatement::Limited)
    }
}
