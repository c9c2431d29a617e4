//! Rate limits that upstreams in need state in their responses.
//!
//! A limit is the number of requests a second that an upstream takes from all
//! instances together, for as long as its responses state it. One instance, the
//! limit's allocator, hands out a permit for each request; the others ask it.
//!
//! ```text
//! table::LimitTable            limits that this instance knows, and requests that
//!                              wait for a permit
//! allocator::LimitAllocator    permits of the limits that this instance allocates
//! members::MemberList          which instance allocates which limit
//! ```
//!
//! An instance that cannot reach the allocator sends nothing to a limited upstream.

pub mod allocator;
pub mod members;
pub mod table;

use std::time::Duration;

/// Least rate that is applied, in requests per second.
///
/// An upstream that states none or next to none must still get a request now and
/// then, since only its responses tell when the limit ends.
const MIN_RATE: f64 = 0.2;

/// Greatest rate that is applied, in requests per second.
const MAX_RATE: f64 = 1e6;

/// Units of a [`RequestRate`] in one request per second.
const UNITS_PER_REQUEST: f64 = 1000.0;

/// Requests per second that an upstream takes from all instances together.
///
/// Counted in thousandths, so that rates compare exactly.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Parses a decimal number of requests per second, and bounds it.
    ///
    /// Returns `None` for anything else, and for a negative number.
    pub fn parse(text: &str) -> Option<RequestRate> {
        let per_second: f64 = text.trim().parse().ok()?;
        let valid = per_second.is_finite() && per_second >= 0.0;
        let per_second = per_second.clamp(MIN_RATE, MAX_RATE);
        valid.then(|| RequestRate::from_thousandths((per_second * UNITS_PER_REQUEST) as u64))
    }

    /// Creates a rate from requests in a thousand seconds, at least one.
    pub fn from_thousandths(thousandths: u64) -> RequestRate {
        RequestRate(thousandths.max(1))
    }

    /// Returns the requests in a thousand seconds.
    pub fn thousandths(self) -> u64 {
        self.0
    }

    pub fn per_second(self) -> f64 {
        self.0 as f64 / UNITS_PER_REQUEST
    }

    /// Returns the time between two requests that are evenly spaced.
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.per_second())
    }

    /// Returns an equal share of the rate for one of `count` instances.
    pub fn share(self, count: usize) -> RequestRate {
        RequestRate::from_thousandths(self.0 / count.max(1) as u64)
    }
}

/// What a response says of its upstream's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
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
